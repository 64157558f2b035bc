#include "relay/relay_revocation.h"

#include <inttypes.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "relay/relay_registration.h"
#include "state/lease_record.h"

/* Delay before each poll for confirmations, and the number of polls. */
#define CONFIRM_MS 90
#define CONFIRM_POLLS_MAX 3

/* Delay before ending leases is retried after a failure. */
#define END_RETRY_MS 150

/* Delay before each poll for new registrations, and the number of polls. */
#define FORGET_MS 150
#define FORGET_POLLS_MAX 4

/* Maximum number of keys that one transaction removes. */
#define REMOVALS_MAX 30

typedef enum {
	PHASE_CONFIRM, /* waiting for confirmations */
	PHASE_END,     /* ending the unconfirmed leases */
	PHASE_FORGET,  /* waiting until those nodes registered again */
} phase_t;

struct relay_revocation {
	struct event_base *base;
	kv_store_t *store;
	int64_t revision; /* revision of the takeover's intent */
	relay_revocation_handlers_t handlers;
	phase_t phase;
	struct event *timer;
	GPtrArray *items; /* kv_item_t, lease records from the last listing */
	GPtrArray *ended; /* keys of the leases that were ended */
	uint32_t polls;	  /* polls of the present phase */
	uint32_t pending; /* calls under way */
	bool failed;	  /* listing or ending a lease failed */
	bool stopped;
};

static void revocation_free(relay_revocation_t *revocation)
{
	event_free(revocation->timer);
	g_ptr_array_unref(revocation->items);
	g_ptr_array_unref(revocation->ended);
	g_free(revocation);
}

static void schedule(relay_revocation_t *revocation, uint64_t delay_ms)
{
	const struct timeval delay = clock_timeval(delay_ms);

	event_add(revocation->timer, &delay);
}

/*
 * Accounts for a completed call.
 *
 * @return false if the revocation was stopped; the last call then frees it
 */
static bool call_complete(relay_revocation_t *revocation)
{
	revocation->pending--;
	if (!revocation->stopped)
		return true;
	if (!revocation->pending)
		revocation_free(revocation);
	return false;
}

static bool has_confirmed(const relay_revocation_t *revocation,
			  const kv_item_t *item)
{
	lease_record_t record;

	return lease_record_decode(item->value, &record) &&
	       record.seen_revision >= revocation->revision;
}

/* @return whether the key was written longer ago than any proof can last */
static bool is_outdated(const kv_item_t *item)
{
	const int64_t wall_ms = g_get_real_time() / 1000;
	lease_record_t record;

	return lease_record_decode(item->value, &record) &&
	       wall_ms - record.written_ms >
		       2 * (int64_t)RELAY_LEASE_AGE_MAX_MS;
}

/* @return whether the record stands for the node's earlier leases as well */
static bool stands_for_earlier(const kv_item_t *item)
{
	lease_record_t record;

	return lease_record_decode(item->value, &record) &&
	       record.seen_revision >= LEASE_RECORD_SETTLED;
}

/*
 * @return whether the key's node has another lease in the store that stands
 *         for this one
 */
static bool has_newer(const relay_revocation_t *revocation, const char *key)
{
	const char *lease = strrchr(key, '/');
	const size_t size = (size_t)(lease - key) + 1;
	const GPtrArray *items = revocation->items;

	for (guint i = 0; i < items->len; i++) {
		const kv_item_t *item = items->pdata[i];

		if (!strncmp(item->key, key, size) &&
		    strcmp(item->key, key) != 0 && stands_for_earlier(item))
			return true;
	}
	return false;
}

/*
 * @return whether the key's node has confirmed or registered again. A node that
 *         has done neither may still use other proofs. Its key stays, so that
 *         the next takeover waits for this node as well.
 */
static bool is_settled(const relay_revocation_t *revocation, const char *key)
{
	const GPtrArray *items = revocation->items;

	for (guint i = 0; i < items->len; i++) {
		const kv_item_t *item = items->pdata[i];

		if (!strcmp(item->key, key) && has_confirmed(revocation, item))
			return true;
	}
	return has_newer(revocation, key);
}

/* Says for each lease that was ended whether its node is waited for. */
static void log_awaited(const relay_revocation_t *revocation)
{
	for (guint i = 0; i < revocation->ended->len; i++) {
		const char *key = revocation->ended->pdata[i];

		log_event(LOG_LEVEL_NOTICE, "lease_proofs",
			  "key=%s intent=%" PRId64 " state=%s", key,
			  revocation->revision,
			  is_settled(revocation, key) ? "over" : "awaited");
	}
}

static void remove_keys(const relay_revocation_t *revocation)
{
	kv_store_t *store = revocation->store;
	const GPtrArray *items = revocation->items;
	g_autoptr(GPtrArray) keys = g_ptr_array_new();

	for (guint i = 0; i < items->len; i++) {
		const kv_item_t *item = items->pdata[i];

		if (has_confirmed(revocation, item))
			continue;
		if (is_outdated(item) ||
		    (g_ptr_array_find_with_equal_func(
			     revocation->ended, item->key, g_str_equal, NULL) &&
		     has_newer(revocation, item->key)))
			g_ptr_array_add(keys, item->key);
	}
	for (guint i = 0; i < keys->len; i += REMOVALS_MAX) {
		const kv_transaction_t transaction = {
			.removals = (const char *const *)&keys->pdata[i],
			.removals_count = MIN(keys->len - i, REMOVALS_MAX),
		};

		store->calls->commit(store->self, &transaction, NULL, NULL);
	}
}

static bool all_settled(const relay_revocation_t *revocation)
{
	for (guint i = 0; i < revocation->ended->len; i++)
		if (!is_settled(revocation, revocation->ended->pdata[i]))
			return false;
	return true;
}

static void check_forgotten(relay_revocation_t *revocation, bool listed)
{
	const bool forgotten = listed && all_settled(revocation);

	if (!forgotten && ++revocation->polls < FORGET_POLLS_MAX) {
		schedule(revocation, FORGET_MS);
		return;
	}
	log_awaited(revocation);
	remove_keys(revocation);
	if (forgotten)
		revocation->handlers.forgotten(revocation->handlers.context);
}

static void all_ended(relay_revocation_t *revocation)
{
	const relay_revocation_handlers_t *handlers = &revocation->handlers;

	if (revocation->failed) {
		schedule(revocation, END_RETRY_MS);
		return;
	}
	revocation->phase = PHASE_FORGET;
	revocation->polls = 0;
	schedule(revocation, FORGET_MS);
	handlers->revoked(handlers->context, revocation->ended->len);
}

static void on_ended(void *context, const kv_answer_t *answer)
{
	relay_revocation_t *revocation = context;

	if (answer->result != KV_OK && answer->result != KV_ABSENT)
		revocation->failed = true;
	if (call_complete(revocation) && !revocation->pending)
		all_ended(revocation);
}

static void end_lease(relay_revocation_t *revocation, const kv_item_t *item)
{
	kv_store_t *store = revocation->store;
	lease_record_t record;

	if (!lease_record_decode(item->value, &record)) {
		log_event(LOG_LEVEL_WARNING, "lease_record_invalid", "key=%s",
			  item->key);
		return;
	}
	if (!g_ptr_array_find_with_equal_func(revocation->ended, item->key,
					      g_str_equal, NULL)) {
		g_ptr_array_add(revocation->ended, g_strdup(item->key));
		log_event(LOG_LEVEL_NOTICE, "lease_revoked",
			  "key=%s seen=%" PRId64 " intent=%" PRId64, item->key,
			  record.seen_revision, revocation->revision);
	}
	revocation->pending++;
	store->calls->lease_end(store->self, record.lease, on_ended,
				revocation);
}

static void end_unconfirmed(relay_revocation_t *revocation, bool listed)
{
	const GPtrArray *items = revocation->items;

	/* Prevents completion while calls are still being made. */
	revocation->pending++;
	revocation->failed = !listed;
	for (guint i = 0; i < items->len; i++)
		if (!has_confirmed(revocation, items->pdata[i]))
			end_lease(revocation, items->pdata[i]);
	if (!--revocation->pending)
		all_ended(revocation);
}

static bool all_confirmed(const relay_revocation_t *revocation)
{
	for (guint i = 0; i < revocation->items->len; i++)
		if (!has_confirmed(revocation, revocation->items->pdata[i]))
			return false;
	return true;
}

static void check_confirmations(relay_revocation_t *revocation, bool listed)
{
	const relay_revocation_handlers_t handlers = revocation->handlers;

	if (listed && all_confirmed(revocation)) {
		handlers.revoked(handlers.context, 0);
		handlers.forgotten(handlers.context);
		return;
	}
	if (++revocation->polls < CONFIRM_POLLS_MAX) {
		schedule(revocation, CONFIRM_MS);
		return;
	}
	revocation->phase = PHASE_END;
	end_unconfirmed(revocation, listed);
}

static void advance(relay_revocation_t *revocation, bool listed)
{
	switch (revocation->phase) {
	case PHASE_CONFIRM:
		check_confirmations(revocation, listed);
		break;
	case PHASE_END:
		end_unconfirmed(revocation, listed);
		break;
	case PHASE_FORGET:
		check_forgotten(revocation, listed);
		break;
	}
}

static void list_after(relay_revocation_t *revocation, const char *key);

static void on_listed(void *context, const kv_answer_t *answer)
{
	relay_revocation_t *revocation = context;
	const kv_item_t *last;

	if (!call_complete(revocation))
		return;
	while (answer->items->len)
		g_ptr_array_add(revocation->items,
				g_ptr_array_steal_index(answer->items, 0));
	if (answer->result == KV_OK && answer->has_more &&
	    revocation->items->len) {
		last = revocation->items->pdata[revocation->items->len - 1];
		list_after(revocation, last->key);
		return;
	}
	advance(revocation, answer->result == KV_OK);
}

static void list_after(relay_revocation_t *revocation, const char *key)
{
	kv_store_t *store = revocation->store;

	revocation->pending++;
	store->calls->range(store->self, RELAY_LEASES_PREFIX, key, on_listed,
			    revocation);
}

static void on_timer(evutil_socket_t fd, short what, void *context)
{
	relay_revocation_t *revocation = context;

	g_ptr_array_set_size(revocation->items, 0);
	list_after(revocation, NULL);
}

relay_revocation_t *relay_revocation_start(struct event_base *base,
					   kv_store_t *store, int64_t revision,
					   relay_revocation_handlers_t handlers)
{
	relay_revocation_t *revocation = g_new0(relay_revocation_t, 1);

	revocation->base = base;
	revocation->store = store;
	revocation->revision = revision;
	revocation->handlers = handlers;
	revocation->items =
		g_ptr_array_new_with_free_func((GDestroyNotify)kv_item_free);
	revocation->ended = g_ptr_array_new_with_free_func(g_free);
	revocation->timer = evtimer_new(base, on_timer, revocation);
	schedule(revocation, CONFIRM_MS);
	return revocation;
}

void relay_revocation_stop(relay_revocation_t *revocation)
{
	if (!revocation)
		return;
	revocation->stopped = true;
	event_del(revocation->timer);
	if (!revocation->pending)
		revocation_free(revocation);
}
