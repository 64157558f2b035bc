#include "relay/relay_revocation.h"

#include <inttypes.h>

#include "base/clock.h"
#include "base/log.h"
#include "coordination/lease_revocation.h"
#include "relay/relay_registration.h"

/* Delay before each poll for confirmations, and the number of polls. */
#define CONFIRM_MS 90
#define CONFIRM_POLLS_MAX 3

/* Delay before ending leases is retried after a failure. */
#define END_RETRY_MS 150

/* Delay before each poll for removed keys, and the number of polls. */
#define FORGET_MS 150
#define FORGET_POLLS_MAX 4

/* Maximum number of outdated keys that one takeover removes. */
#define REMOVALS_MAX 30

typedef enum {
	PHASE_CONFIRM, /* waiting for confirmations */
	PHASE_END,     /* ending the unconfirmed leases */
	PHASE_FORGET,  /* waiting until their proofs are over */
} phase_t;

struct relay_revocation {
	struct event_base *base;
	kv_store_t *store;
	int64_t revision; /* revision of the takeover's intent */
	relay_revocation_handlers_t handlers;
	phase_t phase;
	struct event *timer;
	lease_revocation_t *keys; /* as last listed */
	uint32_t polls;		  /* polls of the present phase */
	uint32_t pending;	  /* calls under way */
	bool failed;		  /* listing or ending a lease failed */
	bool stopped;
};

static void revocation_free(relay_revocation_t *revocation)
{
	event_free(revocation->timer);
	lease_revocation_destroy(revocation->keys);
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

/* Says for each lease that was ended whether its node is waited for. */
static void log_awaited(const relay_revocation_t *revocation)
{
	const GPtrArray *ended = lease_revocation_ended(revocation->keys);

	for (guint i = 0; i < ended->len; i++) {
		const char *key = ended->pdata[i];

		log_event(LOG_LEVEL_NOTICE, "lease_proofs",
			  "key=%s intent=%" PRId64 " state=%s", key,
			  revocation->revision,
			  lease_revocation_is_over(revocation->keys, key) ?
				  "over" :
				  "awaited");
	}
}

/* Removes a key, unless it was written since it was listed. */
static void remove_key(const relay_revocation_t *revocation,
		       const lease_revocation_key_t *key)
{
	kv_store_t *store = revocation->store;
	const kv_condition_t condition = {.key = key->key,
					  .revision = key->revision};
	const kv_transaction_t transaction = {
		.conditions = &condition,
		.conditions_count = 1,
		.removals = &key->key,
		.removals_count = 1,
	};

	log_event(LOG_LEVEL_NOTICE, "lease_key_outdated",
		  "key=%s revision=%" PRId64, key->key, key->revision);
	store->calls->commit(store->self, &transaction, NULL, NULL);
}

static void remove_outdated(const relay_revocation_t *revocation)
{
	const int64_t wall_ms = g_get_real_time() / 1000;
	g_autoptr(GArray) keys = lease_revocation_outdated(
		revocation->keys,
		wall_ms - 2 * (int64_t)RELAY_LEASE_AGE_MAX_MS);

	for (guint i = 0; i < keys->len && i < REMOVALS_MAX; i++)
		remove_key(revocation,
			   &g_array_index(keys, lease_revocation_key_t, i));
}

static void check_forgotten(relay_revocation_t *revocation, bool listed)
{
	const bool forgotten =
		listed && lease_revocation_all_over(revocation->keys);

	if (!forgotten && ++revocation->polls < FORGET_POLLS_MAX) {
		schedule(revocation, FORGET_MS);
		return;
	}
	log_awaited(revocation);
	if (listed)
		remove_outdated(revocation);
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
	handlers->revoked(handlers->context,
			  lease_revocation_ended(revocation->keys)->len);
}

static void on_ended(void *context, const kv_answer_t *answer)
{
	relay_revocation_t *revocation = context;

	if (answer->result != KV_OK && answer->result != KV_ABSENT)
		revocation->failed = true;
	if (call_complete(revocation) && !revocation->pending)
		all_ended(revocation);
}

static void end_lease(void *context, const char *key, int64_t lease)
{
	relay_revocation_t *revocation = context;
	kv_store_t *store = revocation->store;

	log_event(LOG_LEVEL_NOTICE, "lease_revoked", "key=%s intent=%" PRId64,
		  key, revocation->revision);
	revocation->pending++;
	store->calls->lease_end(store->self, lease, on_ended, revocation);
}

static void end_unconfirmed(relay_revocation_t *revocation, bool listed)
{
	/* Prevents completion while calls are still being made. */
	revocation->pending++;
	revocation->failed = !listed;
	lease_revocation_end(revocation->keys, end_lease, revocation);
	if (!--revocation->pending)
		all_ended(revocation);
}

static void check_confirmations(relay_revocation_t *revocation, bool listed)
{
	const relay_revocation_handlers_t handlers = revocation->handlers;

	if (listed && lease_revocation_is_confirmed(revocation->keys)) {
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

/* @return the last of the keys, or NULL */
static const char *add_keys(relay_revocation_t *revocation,
			    const GPtrArray *items)
{
	const kv_item_t *item = NULL;

	for (guint i = 0; i < items->len; i++) {
		item = items->pdata[i];
		lease_revocation_add(revocation->keys, item->key, item->value,
				     item->revision);
	}
	return item ? item->key : NULL;
}

static void on_listed(void *context, const kv_answer_t *answer)
{
	relay_revocation_t *revocation = context;
	const char *last;

	if (!call_complete(revocation))
		return;
	last = add_keys(revocation, answer->items);
	if (answer->result == KV_OK && answer->has_more && last) {
		list_after(revocation, last);
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

	lease_revocation_restart(revocation->keys);
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
	revocation->keys = lease_revocation_create(revision);
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
