#include "relay/relay_duty_private.h"

#include <inttypes.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"

/* Time to live of the coordinator lease. */
#define DUTY_TTL_MS 2000

/* Interval between renewals. */
#define DUTY_RENEW_MS 400

/* Largest age of the last renewal at which a promotion may be requested. */
#define DUTY_SAFE_MS 1000

/* Time that a new holder waits for promotions requested by the previous one. */
#define DUTY_SETTLE_MS 1200

/* Timer intervals while a probe or takeover is under way, and otherwise. */
#define DUTY_STEP_MS 50
#define DUTY_REST_MS 200

/* Upper bound of the random delay before a node tries to acquire the lease. */
#define DUTY_TRY_SPREAD_MS 300

bool duty_is_safe(const relay_duty_t *duty)
{
	const uint64_t now_ms = clock_boot_ms();

	return duty->held_revision && now_ms >= duty->settled_ms &&
	       now_ms < duty->renewed_ms + DUTY_SAFE_MS;
}

bool relay_duty_is_held(const relay_duty_t *duty)
{
	return duty->held_revision;
}

duty_service_t *duty_service_get(relay_duty_t *duty, const char *name)
{
	duty_service_t *entry = g_hash_table_lookup(duty->entries, name);

	if (entry)
		return entry;
	entry = g_new0(duty_service_t, 1);
	entry->duty = duty;
	entry->name = g_strdup(name);
	entry->statuses =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	duty_service_reset(entry);
	duty_takeover_create(entry);
	g_hash_table_insert(duty->entries, entry->name, entry);
	return entry;
}

void duty_service_free(gpointer data)
{
	duty_service_t *entry = data;

	relay_revocation_stop(entry->revocation);
	takeover_destroy(entry->takeover);
	event_free(entry->release);
	g_hash_table_destroy(entry->statuses);
	g_free(entry->name);
	g_free(entry);
}

static void lose(relay_duty_t *duty, const char *reason)
{
	GHashTableIter iter;
	gpointer entry;

	if (!duty->held_revision)
		return;
	log_event(LOG_LEVEL_NOTICE, "duty_lost", "token=%" PRId64 " reason=%s",
		  duty->held_revision, reason);
	duty->held_revision = 0;
	duty->lease = 0;
	g_hash_table_iter_init(&iter, duty->entries);
	while (g_hash_table_iter_next(&iter, NULL, &entry))
		duty_takeover_stop(entry);
}

static void on_acquired(void *context, const kv_answer_t *answer)
{
	relay_duty_t *duty = context;
	const uint64_t now_ms = clock_boot_ms();
	GHashTableIter iter;
	gpointer entry;

	duty->acquiring = false;
	if (answer->result != KV_OK) {
		duty->lease = 0;
		return;
	}
	duty->held_revision = answer->revision;
	duty->key_revision = answer->revision;
	duty->renewed_ms = duty->renew_sent_ms;
	g_hash_table_iter_init(&iter, duty->entries);
	while (g_hash_table_iter_next(&iter, NULL, &entry))
		duty_service_reset(entry);
	duty->settled_ms =
		duty->last_holder && strcmp(duty->last_holder, duty->node) ?
			now_ms + DUTY_SETTLE_MS :
			now_ms;
	log_event(LOG_LEVEL_NOTICE, "duty_held",
		  "token=%" PRId64 " last_holder=%s settle_ms=%" PRIu64,
		  answer->revision, duty->last_holder ? duty->last_holder : "-",
		  duty->settled_ms - now_ms);
}

static void on_lease(void *context, const kv_answer_t *answer)
{
	relay_duty_t *duty = context;
	const kv_condition_t condition = {.key = DUTY_KEY};
	const kv_put_t puts[] = {
		{.key = DUTY_KEY, .value = duty->node, .lease = answer->lease},
		{.key = DUTY_HOLDER_KEY, .value = duty->node},
	};
	const kv_transaction_t transaction = {
		.conditions = &condition,
		.conditions_count = 1,
		.puts = puts,
		.puts_count = G_N_ELEMENTS(puts),
	};

	if (answer->result != KV_OK || !answer->lease || duty->leaving) {
		duty->acquiring = false;
		return;
	}
	duty->lease = answer->lease;
	duty->store->calls->commit(duty->store->self, &transaction, on_acquired,
				   duty);
}

static void on_renewed(void *context, const kv_answer_t *answer)
{
	relay_duty_t *duty = context;

	if (answer->result == KV_OK)
		duty->renewed_ms = duty->renew_sent_ms;
	else if (answer->result == KV_ABSENT)
		lose(duty, "lease_ended");
}

static void acquire(relay_duty_t *duty, uint64_t now_ms)
{
	if (duty->acquiring || now_ms < duty->try_at_ms)
		return;
	duty->acquiring = true;
	duty->try_at_ms = now_ms + DUTY_TTL_MS / 4 +
			  g_rand_int_range(duty->random, 0, DUTY_TRY_SPREAD_MS);
	duty->renew_sent_ms = now_ms;
	duty->store->calls->lease_open(duty->store->self, DUTY_TTL_MS, on_lease,
				       duty);
}

static void renew(relay_duty_t *duty, uint64_t now_ms)
{
	if (now_ms < duty->renew_sent_ms + DUTY_RENEW_MS)
		return;
	duty->renew_sent_ms = now_ms;
	duty->store->calls->lease_renew(duty->store->self, duty->lease,
					on_renewed, duty);
}

static bool step_services(relay_duty_t *duty, uint64_t now_ms)
{
	g_autoptr(GPtrArray) names = relay_services_names(duty->services);
	bool busy = false;

	for (guint i = 0; i < names->len; i++) {
		duty_service_t *entry = duty_service_get(duty, names->pdata[i]);

		duty_service_step(entry, now_ms);
		busy |= entry->asking ||
			takeover_phase(entry->takeover) != TAKEOVER_IDLE;
	}
	duty_first_write(duty, now_ms);
	return busy;
}

static void on_timer(evutil_socket_t fd, short what, void *context)
{
	relay_duty_t *duty = context;
	const uint64_t now_ms = clock_boot_ms();
	bool busy = false;
	struct timeval delay;

	if (duty->leaving)
		return;
	if (duty->held_revision) {
		if (now_ms >= duty->renewed_ms + DUTY_TTL_MS) {
			lose(duty, "not_renewed");
		} else {
			renew(duty, now_ms);
			busy = step_services(duty, now_ms);
		}
	} else if (duty->synced && !duty->key_revision) {
		acquire(duty, now_ms);
	}
	delay = clock_timeval(busy ? DUTY_STEP_MS : DUTY_REST_MS);
	event_add(duty->timer, &delay);
}

relay_duty_t *relay_duty_create(struct event_base *base, kv_store_t *store,
				relay_services_t *services,
				relay_promoter_t promoter, const char *node,
				void (*takeover)(void *context), void *context)
{
	relay_duty_t *duty = g_new0(relay_duty_t, 1);
	const struct timeval delay = clock_timeval(DUTY_REST_MS);

	duty->base = base;
	duty->store = store;
	duty->services = services;
	duty->promoter = promoter;
	duty->node = g_strdup(node);
	duty->takeover = takeover;
	duty->context = context;
	duty->random = g_rand_new_with_seed(g_str_hash(node));
	duty->entries = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					      duty_service_free);
	duty->timer = evtimer_new(base, on_timer, duty);
	event_add(duty->timer, &delay);
	return duty;
}

void relay_duty_destroy(relay_duty_t *duty)
{
	if (!duty)
		return;
	event_free(duty->timer);
	g_hash_table_destroy(duty->entries);
	g_rand_free(duty->random);
	duty->promoter.destroy(duty->promoter.self);
	g_free(duty->last_holder);
	g_free(duty->node);
	g_free(duty);
}

static void take_duty_key(relay_duty_t *duty, const kv_item_t *item)
{
	duty->key_revision = item->deleted ? 0 : item->revision;
	if (item->deleted) {
		if (item->revision > duty->held_revision)
			lose(duty, "key_removed");
		duty->try_at_ms = clock_boot_ms() +
				  (uint64_t)g_rand_int_range(
					  duty->random, 0, DUTY_TRY_SPREAD_MS);
	} else if (item->revision > duty->held_revision) {
		lose(duty, "key_taken");
	}
}

/*
 * Reports a takeover once for each holder and term. The same takeover continued
 * by another holder is reported again.
 */
static void note_takeover(duty_service_t *entry, const primary_record_t *record)
{
	const bool known = record->takeover_term == entry->seen_takeover &&
			   record->token == entry->seen_token;

	entry->seen_takeover = record->takeover_term;
	entry->seen_token = record->token;
	if (record->takeover_term && !known)
		entry->duty->takeover(entry->duty->context);
}

static void take_record(relay_duty_t *duty, const kv_item_t *item)
{
	const char *name = item->key + strlen(DUTY_SERVICE_PREFIX);
	relay_service_t *service = relay_services_find(duty->services, name);
	duty_service_t *entry = duty_service_get(duty, name);
	primary_record_t record;

	if (item->deleted || !item->value ||
	    !primary_record_decode(item->value, &record)) {
		log_event(LOG_LEVEL_WARNING, "primary_record_invalid",
			  "service=%s revision=%" PRId64 " deleted=%d", name,
			  item->revision, item->deleted);
		return;
	}
	if (service)
		relay_service_lead(service, record.term, record.primary,
				   record.takeover_term, item->revision);
	note_takeover(entry, &record);
	if (item->revision <= entry->revision)
		return;
	duty_takeover_seen(entry, &record, item->revision);
	if (strcmp(entry->record.primary, record.primary))
		duty_service_reset(entry);
	entry->revision = item->revision;
	entry->record = record;
	entry->first_ms = 0;
}

void relay_duty_changed(relay_duty_t *duty, const kv_item_t *item)
{
	if (!strcmp(item->key, DUTY_KEY)) {
		take_duty_key(duty, item);
	} else if (!strcmp(item->key, DUTY_HOLDER_KEY) && item->value) {
		gsize size;
		const char *text = g_bytes_get_data(item->value, &size);

		g_free(duty->last_holder);
		duty->last_holder = g_strndup(text, size);
	} else if (g_str_has_prefix(item->key, DUTY_SERVICE_PREFIX)) {
		take_record(duty, item);
	}
}

/* Applies the records of services that were unknown when the record arrived. */
static void lead_again(relay_duty_t *duty)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, duty->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const duty_service_t *entry = value;
		relay_service_t *service =
			relay_services_find(duty->services, entry->name);

		if (service && entry->revision)
			relay_service_lead(service, entry->record.term,
					   entry->record.primary,
					   entry->record.takeover_term,
					   entry->revision);
	}
}

void relay_duty_synced(relay_duty_t *duty)
{
	duty->synced = true;
	lead_again(duty);
}

void relay_duty_troubled(relay_duty_t *duty, const char *service,
			 const char *server)
{
	duty_service_t *entry = g_hash_table_lookup(duty->entries, service);

	if (!duty->held_revision || !entry ||
	    strcmp(entry->record.primary, server))
		return;
	entry->watch.heard_ms = MIN(entry->watch.heard_ms,
				    clock_boot_ms() - PRIMARY_WATCH_SILENCE_MS);
	event_active(duty->timer, EV_TIMEOUT, 0);
}

void relay_duty_leave(relay_duty_t *duty)
{
	if (duty->leaving)
		return;
	duty->leaving = true;
	if (duty->lease)
		duty->store->calls->lease_end(duty->store->self, duty->lease,
					      NULL, NULL);
	lose(duty, "leaving");
}

void duty_write_all(relay_duty_t *duty, duty_service_t *const *entries,
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
		char *key = g_strconcat(DUTY_SERVICE_PREFIX, entries[i]->name,
					NULL);
		char *value = primary_record_encode(&records[i]);

		g_ptr_array_add(texts, key);
		g_ptr_array_add(texts, value);
		conditions[i] = (kv_condition_t){
			.key = key, .revision = entries[i]->revision};
		puts[i] = (kv_put_t){.key = key, .value = value};
	}
	conditions[count] = (kv_condition_t){.key = DUTY_KEY,
					     .revision = duty->held_revision};
	duty->store->calls->commit(duty->store->self, &transaction, done,
				   context);
}

void duty_write(duty_service_t *entry, const primary_record_t *record,
		kv_done_t done, void *context)
{
	duty_write_all(entry->duty, &entry, record, 1, done, context);
}
