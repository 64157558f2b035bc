#include "relay/relay_join.h"

#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/text.h"
#include "coordination/hub_slots.h"
#include "relay/relay_registration.h"

/* Interval of looking for free keys among those that the hubs report. */
#define TICK_MS 250

/* Initial and maximum delay before a failed read is repeated; it doubles. */
#define RETRY_MS 150
#define RETRY_MS_MAX 1500

/*
 * Time without an answer of a hub after which the keys are read from the
 * store, and the interval between such reads.
 */
#define UNANSWERED_MS 1000
#define REREAD_MS 700

/* What the next read of the keys is for. */
typedef enum {
	PURPOSE_LOOK,  /* to find the hubs; a free key is claimed after a delay
			*/
	PURPOSE_CLAIM, /* to claim a key that is still free */
} purpose_t;

struct relay_join {
	struct event_base *base;
	kv_store_t *store;
	const relay_settings_t *settings;
	relay_join_handlers_t handlers;
	struct event *timer;
	GRand *random;
	purpose_t purpose;
	bool reading;	   /* a read is under way */
	bool listed;	   /* the keys were read at least once */
	bool claimed;	   /* the node is a hub, or about to be */
	bool stopped;	   /* the node leaves */
	uint64_t read_ms;  /* when the last read was sent */
	uint64_t claim_ms; /* when the delayed claim is due, or 0 */
	uint32_t retry_ms; /* delay after the next failed read */
};

/* The holders of the domain's keys. */
typedef struct {
	char *names[HUB_SLOTS]; /* NULL for a free key */
} holders_t;

static void holders_clear(holders_t *holders)
{
	for (uint32_t i = 0; i < HUB_SLOTS; i++)
		g_free(holders->names[i]);
}

G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC(holders_t, holders_clear)

char *relay_hub_key_encode(const char *name, const endpoint_t *forwarding)
{
	return g_strdup_printf("%s %s:%u", name, forwarding->address,
			       forwarding->port);
}

bool relay_hub_key_decode(const char *key, const char *value,
			  relay_hub_key_t *hub)
{
	const char *space = strchr(value, ' ');
	const char *place;
	const char *slash;

	*hub = (relay_hub_key_t){0};
	if (!g_str_has_prefix(key, RELAY_HUBS_PREFIX) || !space ||
	    !endpoint_parse(space + 1, &hub->forwarding))
		return false;
	place = key + strlen(RELAY_HUBS_PREFIX);
	slash = strchr(place, '/');
	if (!slash || slash == place || space == value) {
		relay_hub_key_clear(hub);
		return false;
	}
	hub->domain = text_new(place, (gsize)(slash - place));
	hub->name = text_new(value, (gsize)(space - value));
	return true;
}

void relay_hub_key_clear(relay_hub_key_t *hub)
{
	g_clear_pointer(&hub->domain, g_free);
	g_clear_pointer(&hub->name, g_free);
	g_clear_pointer(&hub->forwarding.address, g_free);
}

static char *slot_key(const relay_join_t *join, int slot)
{
	return g_strdup_printf(RELAY_HUBS_PREFIX "%s/%d",
			       join->settings->failure_domain, slot);
}

/* Reads the holder of a slot from the value of its key. */
static char *holder_of(const char *value)
{
	const char *space = value ? strchr(value, ' ') : NULL;

	return space ? text_new(value, (gsize)(space - value)) : NULL;
}

static void schedule(relay_join_t *join, uint64_t delay_ms)
{
	const struct timeval delay = clock_timeval(delay_ms);

	event_add(join->timer, &delay);
}

static const kv_item_t *find_item(const GPtrArray *items, const char *key)
{
	for (guint i = 0; i < items->len; i++) {
		const kv_item_t *item = items->pdata[i];

		if (!strcmp(item->key, key))
			return item;
	}
	return NULL;
}

static char *item_text(const kv_item_t *item)
{
	return item ? text_from_bytes(item->value) : NULL;
}

static void claim(relay_join_t *join, int slot, int64_t revision)
{
	g_autofree char *key = slot_key(join, slot);

	join->claimed = true;
	join->claim_ms = 0;
	log_event(LOG_LEVEL_NOTICE, "hub_claimed", "key=%s restarted=%d", key,
		  revision != 0);
	join->handlers.claim(join->handlers.context, key, revision);
}

static uint32_t claim_delay_ms(relay_join_t *join, const hub_slots_t *slots)
{
	return hub_slots_delay_ms(slots, join->settings->processor_share,
				  g_rand_double(join->random));
}

/* Decides after a read of the keys. */
static void decide(relay_join_t *join, const GPtrArray *items)
{
	const char *node = join->settings->node;
	g_auto(holders_t) holders = {{NULL}};
	int64_t revisions[HUB_SLOTS] = {0};
	hub_slots_t slots = {{NULL}};
	const purpose_t purpose = join->purpose;
	int slot;

	for (uint32_t i = 0; i < HUB_SLOTS; i++) {
		g_autofree char *key = slot_key(join, (int)i);
		const kv_item_t *item = find_item(items, key);
		g_autofree char *text = item_text(item);

		slots.holders[i] = holders.names[i] = holder_of(text);
		revisions[i] = item ? item->revision : 0;
	}
	slot = hub_slots_claimable(&slots, node);
	join->purpose = PURPOSE_LOOK;
	join->claim_ms = 0;
	if (slot < 0)
		return;
	if (purpose == PURPOSE_CLAIM || hub_slots_is_own(&slots, slot, node))
		claim(join, slot, revisions[slot]);
	else
		join->claim_ms = clock_boot_ms() + claim_delay_ms(join, &slots);
}

static void read_keys(relay_join_t *join);

static void on_read(void *context, const kv_answer_t *answer)
{
	relay_join_t *join = context;

	join->reading = false;
	if (join->claimed || join->stopped)
		return;
	if (answer->result != KV_OK) {
		schedule(join, join->retry_ms);
		join->retry_ms = MIN(2 * join->retry_ms, RETRY_MS_MAX);
		return;
	}
	join->retry_ms = RETRY_MS;
	join->listed = true;
	join->handlers.listed(join->handlers.context, answer->items);
	decide(join, answer->items);
	schedule(join,
		 join->claim_ms ? join->claim_ms - clock_boot_ms() : TICK_MS);
}

/*
 * The first read may be stale: it finds the hubs of a running deployment, and
 * the node's own key. Keys that it shows to be free are read again.
 */
static void read_keys(relay_join_t *join)
{
	const kv_store_calls_t *calls = join->store->calls;

	join->reading = true;
	join->read_ms = clock_boot_ms();
	if (join->listed || join->purpose == PURPOSE_CLAIM)
		calls->range(join->store->self, RELAY_HUBS_PREFIX, NULL,
			     on_read, join);
	else
		calls->range_stale(join->store->self, RELAY_HUBS_PREFIX,
				   on_read, join);
}

/* Arms a claim when the keys that the hubs report show a free one. */
static void look_at_reported(relay_join_t *join)
{
	GHashTable *hubs = join->handlers.hubs(join->handlers.context);
	g_auto(holders_t) holders = {{NULL}};
	hub_slots_t slots = {{NULL}};

	for (uint32_t i = 0; i < HUB_SLOTS; i++) {
		g_autofree char *key = slot_key(join, (int)i);

		slots.holders[i] = holders.names[i] =
			holder_of(g_hash_table_lookup(hubs, key));
	}
	if (!hub_slots_free(&slots))
		join->claim_ms = 0;
	else if (!join->claim_ms)
		join->claim_ms = clock_boot_ms() + claim_delay_ms(join, &slots);
}

static bool is_unanswered(const relay_join_t *join, uint64_t now_ms)
{
	return now_ms >= join->handlers.answered_ms(join->handlers.context) +
				 UNANSWERED_MS &&
	       now_ms >= join->read_ms + REREAD_MS;
}

static void on_timer(evutil_socket_t fd, short what, void *context)
{
	relay_join_t *join = context;
	const uint64_t now_ms = clock_boot_ms();

	if (join->claimed || join->stopped || join->reading)
		return;
	if (join->claim_ms && now_ms >= join->claim_ms) {
		join->purpose = PURPOSE_CLAIM;
		read_keys(join);
		return;
	}
	if (!join->listed || is_unanswered(join, now_ms)) {
		read_keys(join);
		return;
	}
	look_at_reported(join);
	schedule(join, TICK_MS);
}

relay_join_t *relay_join_create(struct event_base *base, kv_store_t *store,
				const relay_settings_t *settings,
				relay_join_handlers_t handlers)
{
	relay_join_t *join = g_new0(relay_join_t, 1);

	join->base = base;
	join->store = store;
	join->settings = settings;
	join->handlers = handlers;
	join->retry_ms = RETRY_MS;
	join->random = g_rand_new_with_seed(g_str_hash(settings->node));
	join->timer = evtimer_new(base, on_timer, join);
	schedule(join, 0);
	return join;
}

void relay_join_destroy(relay_join_t *join)
{
	if (!join)
		return;
	event_free(join->timer);
	g_rand_free(join->random);
	g_free(join);
}

void relay_join_taken(relay_join_t *join)
{
	join->claimed = false;
	join->purpose = PURPOSE_CLAIM;
	if (!join->reading && !join->stopped)
		read_keys(join);
}

void relay_join_stop(relay_join_t *join)
{
	join->stopped = true;
}
