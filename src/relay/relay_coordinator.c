#include "relay/relay_coordinator_private.h"

#include <inttypes.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "coordination/primary_survey.h"
#include "state/store_revision.h"

/* Time to live of the coordinator lease. */
#define COORDINATOR_TTL_MS 2000

/* Interval between renewals. */
#define COORDINATOR_RENEW_MS 400

/* Maximum age of the last renewal at which a promotion may be requested. */
#define COORDINATOR_RENEWAL_AGE_MAX_MS 1000

/*
 * Time after an acquisition in which orders of earlier holders take effect: a
 * call under way may reach the platform until its timeout of 0.8 s.
 */
#define COORDINATOR_SETTLE_MS (TAKEOVER_ORDER_EFFECT_MS + 800)

/* Timer intervals while a probe or takeover is under way, and otherwise. */
#define COORDINATOR_BUSY_TICK_MS 50
#define COORDINATOR_IDLE_TICK_MS 200

/* Upper bound of the random delay before a node tries to acquire the lease. */
#define COORDINATOR_ACQUIRE_JITTER_MS 300

/* A renewal of the lease. */
typedef struct {
	relay_coordinator_t *coordinator;
	int64_t lease;
	uint64_t sent_ms;
} renewal_t;

bool coordinator_may_promote(const relay_coordinator_t *coordinator)
{
	const uint64_t now_ms = clock_boot_ms();

	return coordinator->held_revision &&
	       now_ms <
		       coordinator->renewed_ms + COORDINATOR_RENEWAL_AGE_MAX_MS;
}

bool relay_coordinator_is_held(const relay_coordinator_t *coordinator)
{
	return coordinator->held_revision;
}

coordinator_service_t *coordinator_service_get(relay_coordinator_t *coordinator,
					       const char *name)
{
	coordinator_service_t *entry =
		g_hash_table_lookup(coordinator->entries, name);

	if (entry)
		return entry;
	entry = g_new0(coordinator_service_t, 1);
	entry->coordinator = coordinator;
	entry->name = g_strdup(name);
	entry->statuses =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	coordinator_service_reset(entry);
	coordinator_takeover_create(entry);
	g_hash_table_insert(coordinator->entries, entry->name, entry);
	return entry;
}

void coordinator_service_free(gpointer data)
{
	coordinator_service_t *entry = data;

	relay_revocation_stop(entry->revocation);
	takeover_destroy(entry->takeover);
	g_hash_table_destroy(entry->statuses);
	g_free(entry->name);
	g_free(entry);
}

static void drop_lease(relay_coordinator_t *coordinator, const char *reason)
{
	GHashTableIter iter;
	gpointer value;

	if (!coordinator->held_revision)
		return;
	log_event(LOG_LEVEL_NOTICE, "duty_lost", "token=%" PRId64 " reason=%s",
		  coordinator->held_revision, reason);
	coordinator->held_revision = 0;
	coordinator->lease = 0;
	g_hash_table_iter_init(&iter, coordinator->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		coordinator_service_t *entry = value;

		coordinator_takeover_stop(entry);
		fence_release_cancel(&entry->release);
	}
}

/* An earlier holder may have left fences that nobody else lifts. */
static void reset_services(relay_coordinator_t *coordinator)
{
	const uint64_t now_ms = clock_boot_ms();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, coordinator->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		coordinator_service_t *entry = value;

		coordinator_service_reset(entry);
		entry->settled = false;
		entry->order_assumed = false;
		if (coordinator->settling)
			fence_release_schedule(&entry->release, now_ms);
	}
}

static void on_acquired(void *context, const kv_answer_t *answer)
{
	relay_coordinator_t *coordinator = context;
	const coordinator_holder_t *last = &coordinator->last_holder;
	const uint64_t now_ms = clock_boot_ms();

	coordinator->acquiring = false;
	/* A node that leaves has ended the lease meanwhile. */
	if (answer->result != KV_OK || coordinator->leaving) {
		coordinator->lease = 0;
		return;
	}
	coordinator->held_revision = answer->revision;
	coordinator->key_revision = answer->revision;
	coordinator->renewed_ms = coordinator->renew_sent_ms;
	reset_services(coordinator);
	coordinator->settled_ms =
		coordinator->settling ? now_ms + COORDINATOR_SETTLE_MS : now_ms;
	log_event(LOG_LEVEL_NOTICE, "duty_held",
		  "token=%" PRId64 " last_holder=%s settle_ms=%" PRIu64,
		  answer->revision, last->node ? last->node : "-",
		  coordinator->settled_ms - now_ms);
	coordinator_holder_clear(&coordinator->last_holder);
	coordinator->last_holder = coordinator->next_holder;
	coordinator->next_holder = (coordinator_holder_t){0};
	coordinator->holder_revision = answer->revision;
}

static void write_keys(relay_coordinator_t *coordinator)
{
	g_autofree char *holder =
		coordinator_holder_encode(&coordinator->next_holder);
	const kv_condition_t conditions[] = {
		{.key = COORDINATOR_KEY, .revision = coordinator->key_revision},
		{.key = COORDINATOR_HOLDER_KEY,
		 .revision = coordinator->holder_revision},
	};
	const kv_put_t puts[] = {
		{.key = COORDINATOR_KEY,
		 .value = coordinator->node,
		 .lease = coordinator->lease},
		{.key = COORDINATOR_HOLDER_KEY, .value = holder},
	};
	const kv_transaction_t transaction = {
		.conditions = conditions,
		.conditions_count = G_N_ELEMENTS(conditions),
		.puts = puts,
		.puts_count = G_N_ELEMENTS(puts),
	};

	coordinator->store->calls->commit(coordinator->store->self,
					  &transaction, on_acquired,
					  coordinator);
}

/*
 * Whether the key came back with a copy of the store: its holder has lost the
 * lease, as every lease of an earlier era.
 */
static bool is_key_restored(const relay_coordinator_t *coordinator)
{
	const int64_t acquired = coordinator->last_holder.era;

	return acquired &&
	       acquired != store_revision_era(coordinator->key_revision);
}

static bool may_acquire(const relay_coordinator_t *coordinator)
{
	return !coordinator->key_revision || is_key_restored(coordinator);
}

/*
 * Whether a promotion may be under way that was ordered before: also by this
 * node, which may have lost the lease or been restarted since. After a restore
 * the store may not know that somebody held the lease.
 */
static bool must_settle(const relay_coordinator_t *coordinator)
{
	return coordinator->last_holder.node ||
	       coordinator->next_holder.restored_ms;
}

static void on_lease_opened(void *context, const kv_answer_t *answer)
{
	relay_coordinator_t *coordinator = context;

	if (answer->result != KV_OK || !answer->lease) {
		coordinator->acquiring = false;
		return;
	}
	/* This node leaves, or another one has acquired the key meanwhile. */
	if (coordinator->leaving || !may_acquire(coordinator)) {
		coordinator->acquiring = false;
		coordinator->store->calls->lease_end(coordinator->store->self,
						     answer->lease, NULL, NULL);
		return;
	}
	coordinator->lease = answer->lease;
	coordinator_holder_clear(&coordinator->next_holder);
	coordinator->next_holder =
		coordinator_holder_next(coordinator, answer->era);
	/* The watch may report this node as the holder before the answer. */
	coordinator->settling = must_settle(coordinator);
	write_keys(coordinator);
}

/* The lease runs from the sending of the renewal that was answered. */
static void on_renewed(void *context, const kv_answer_t *answer)
{
	const renewal_t renewal = *(const renewal_t *)context;
	relay_coordinator_t *coordinator = renewal.coordinator;

	g_hash_table_remove(coordinator->renewals, context);
	if (renewal.lease != coordinator->lease)
		return;
	if (answer->result == KV_OK)
		coordinator->renewed_ms =
			MAX(coordinator->renewed_ms, renewal.sent_ms);
	else if (answer->result == KV_ABSENT)
		drop_lease(coordinator, "lease_ended");
}

static void acquire(relay_coordinator_t *coordinator, uint64_t now_ms)
{
	if (coordinator->acquiring || now_ms < coordinator->acquire_at_ms)
		return;
	coordinator->acquiring = true;
	coordinator->acquire_at_ms =
		now_ms + COORDINATOR_TTL_MS / 4 +
		g_rand_int_range(coordinator->random, 0,
				 COORDINATOR_ACQUIRE_JITTER_MS);
	coordinator->renew_sent_ms = now_ms;
	coordinator->store->calls->lease_open(coordinator->store->self,
					      COORDINATOR_TTL_MS,
					      on_lease_opened, coordinator);
}

static void renew(relay_coordinator_t *coordinator, uint64_t now_ms)
{
	renewal_t *renewal;

	if (now_ms < coordinator->renew_sent_ms + COORDINATOR_RENEW_MS)
		return;
	coordinator->renew_sent_ms = now_ms;
	renewal = g_new(renewal_t, 1);
	*renewal = (renewal_t){coordinator, coordinator->lease, now_ms};
	g_hash_table_add(coordinator->renewals, renewal);
	coordinator->store->calls->lease_renew(coordinator->store->self,
					       coordinator->lease, on_renewed,
					       renewal);
}

static bool step_services(relay_coordinator_t *coordinator, uint64_t now_ms)
{
	g_autoptr(GPtrArray) names =
		relay_services_names(coordinator->services);
	const bool large = relay_services_is_large(coordinator->services);
	bool busy = false;

	coordinator->polls_left = primary_survey_polls_max(names->len);
	coordinator->first += coordinator->polls_left;
	for (guint i = 0; i < names->len; i++) {
		coordinator_service_t *entry = coordinator_service_get(
			coordinator,
			names->pdata[(coordinator->first + i) % names->len]);

		coordinator_service_step(entry, now_ms);
		/* Among many, some primary is always being probed. */
		busy |= large ? entry->watch.failures != 0 : entry->probing;
		busy |= takeover_phase(entry->takeover) != TAKEOVER_IDLE;
	}
	busy |= large && !coordinator->polls_left;
	coordinator_initial_write(coordinator, now_ms);
	return busy;
}

static void on_timer(evutil_socket_t fd, short what, void *context)
{
	relay_coordinator_t *coordinator = context;
	const uint64_t now_ms = clock_boot_ms();
	bool busy = false;
	struct timeval delay;

	if (coordinator->leaving)
		return;
	if (coordinator->held_revision) {
		if (now_ms >= coordinator->renewed_ms + COORDINATOR_TTL_MS) {
			drop_lease(coordinator, "not_renewed");
		} else {
			renew(coordinator, now_ms);
			busy = step_services(coordinator, now_ms);
		}
	} else if (coordinator->enabled && coordinator->synced &&
		   may_acquire(coordinator)) {
		acquire(coordinator, now_ms);
	}
	relay_services_set_coordinator(coordinator->services,
				       coordinator->held_revision);
	if (coordinator->enabled)
		coordinator_recall_step(coordinator, now_ms);
	delay = clock_timeval(busy ? COORDINATOR_BUSY_TICK_MS :
				     COORDINATOR_IDLE_TICK_MS);
	event_add(coordinator->timer, &delay);
}

relay_coordinator_t *
relay_coordinator_create(struct event_base *base, kv_store_t *store,
			 relay_services_t *services, relay_promoter_t promoter,
			 const char *node, void (*on_takeover)(void *context),
			 void *context)
{
	relay_coordinator_t *coordinator = g_new0(relay_coordinator_t, 1);
	const struct timeval delay = clock_timeval(COORDINATOR_IDLE_TICK_MS);

	coordinator->base = base;
	coordinator->store = store;
	coordinator->services = services;
	coordinator->promoter = promoter;
	coordinator->node = g_strdup(node);
	coordinator->on_takeover = on_takeover;
	coordinator->context = context;
	coordinator->random = g_rand_new_with_seed(g_str_hash(node));
	coordinator->entries = g_hash_table_new_full(
		g_str_hash, g_str_equal, NULL, coordinator_service_free);
	coordinator->renewals = g_hash_table_new_full(NULL, NULL, g_free, NULL);
	coordinator->timer = evtimer_new(base, on_timer, coordinator);
	event_add(coordinator->timer, &delay);
	return coordinator;
}

void relay_coordinator_destroy(relay_coordinator_t *coordinator)
{
	if (!coordinator)
		return;
	event_free(coordinator->timer);
	g_hash_table_destroy(coordinator->entries);
	g_hash_table_destroy(coordinator->renewals);
	g_rand_free(coordinator->random);
	coordinator->promoter.destroy(coordinator->promoter.self);
	coordinator_holder_clear(&coordinator->last_holder);
	coordinator_holder_clear(&coordinator->next_holder);
	g_free(coordinator->node);
	g_free(coordinator);
}

static void apply_key(relay_coordinator_t *coordinator, const kv_item_t *item)
{
	coordinator->key_revision = item->deleted ? 0 : item->revision;
	if (item->deleted) {
		if (item->revision > coordinator->held_revision)
			drop_lease(coordinator, "key_removed");
		coordinator->acquire_at_ms =
			clock_boot_ms() +
			(uint64_t)g_rand_int_range(
				coordinator->random, 0,
				COORDINATOR_ACQUIRE_JITTER_MS);
	} else if (item->revision > coordinator->held_revision) {
		drop_lease(coordinator, "key_taken");
	}
}

void relay_coordinator_key_changed(relay_coordinator_t *coordinator,
				   const kv_item_t *item)
{
	if (!strcmp(item->key, COORDINATOR_KEY)) {
		apply_key(coordinator, item);
	} else if (!strcmp(item->key, COORDINATOR_HOLDER_KEY)) {
		coordinator_holder_seen(coordinator, item);
	} else if (g_str_has_prefix(item->key, COORDINATOR_SERVICE_PREFIX)) {
		coordinator_record_seen(coordinator, item);
	}
}

void relay_coordinator_enable(relay_coordinator_t *coordinator)
{
	coordinator->enabled = true;
}

void relay_coordinator_restored(relay_coordinator_t *coordinator)
{
	const bool held =
		coordinator->last_holder.node &&
		!strcmp(coordinator->last_holder.node, coordinator->node);

	/* The last holder goes first, so that the others need not try. */
	coordinator->acquire_at_ms =
		held ? 0 :
		       clock_boot_ms() + COORDINATOR_ACQUIRE_JITTER_MS +
				(uint64_t)g_rand_int_range(
					coordinator->random, 0,
					COORDINATOR_ACQUIRE_JITTER_MS);
	coordinator->restored_ms = g_get_real_time() / 1000;
	coordinator->synced = false;
	drop_lease(coordinator, "restored");
}

void relay_coordinator_connection_failed(relay_coordinator_t *coordinator,
					 const char *service,
					 const char *server)
{
	coordinator_service_t *entry =
		g_hash_table_lookup(coordinator->entries, service);

	if (!coordinator->held_revision || !entry ||
	    strcmp(entry->record.primary, server))
		return;
	entry->watch.heard_ms =
		MIN(entry->watch.heard_ms,
		    clock_boot_ms() - PRIMARY_WATCH_PROBE_AFTER_MS);
	event_active(coordinator->timer, EV_TIMEOUT, 0);
}

void relay_coordinator_resign(relay_coordinator_t *coordinator)
{
	if (coordinator->leaving)
		return;
	coordinator->leaving = true;
	if (coordinator->lease)
		coordinator->store->calls->lease_end(coordinator->store->self,
						     coordinator->lease, NULL,
						     NULL);
	drop_lease(coordinator, "leaving");
}

void coordinator_write_records(relay_coordinator_t *coordinator,
			       coordinator_service_t *const *entries,
			       const primary_record_t *records, uint32_t count,
			       kv_done_t done, void *context)
{
	g_autofree kv_condition_t *conditions =
		g_new0(kv_condition_t, count + 1);
	g_autofree kv_put_t *puts = g_new0(kv_put_t, count);
	g_autoptr(GPtrArray) texts = g_ptr_array_new_with_free_func(g_free);
	const kv_transaction_t transaction = {
		.conditions = conditions,
		.conditions_count = count + 1,
		.puts = puts,
		.puts_count = count,
	};

	for (uint32_t i = 0; i < count; i++) {
		char *key = g_strconcat(COORDINATOR_SERVICE_PREFIX,
					entries[i]->name, NULL);
		primary_record_t record = records[i];
		char *value;

		record.era = store_revision_era(coordinator->held_revision);
		value = primary_record_encode(&record);
		g_ptr_array_add(texts, key);
		g_ptr_array_add(texts, value);
		conditions[i] = (kv_condition_t){
			.key = key, .revision = entries[i]->revision};
		puts[i] = (kv_put_t){.key = key, .value = value};
	}
	conditions[count] = (kv_condition_t){
		.key = COORDINATOR_KEY, .revision = coordinator->held_revision};
	coordinator->store->calls->commit(coordinator->store->self,
					  &transaction, done, context);
}

void coordinator_write_record(coordinator_service_t *entry,
			      const primary_record_t *record, kv_done_t done,
			      void *context)
{
	coordinator_write_records(entry->coordinator, &entry, record, 1, done,
				  context);
}
