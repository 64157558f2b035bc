#include "relay/relay_duty_private.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "relay/relay_control.h"
#include "relay/relay_registration.h"

/* Longest wait for an operation at a server. */
#define CONTROL_TIMEOUT_MS 400

/* Pause before leases that could not be ended are ended again. */
#define REVOKE_AGAIN_MS 150

/* Pause before it is looked whether all nodes have registered anew. */
#define LOOK_AGAIN_MS 150
#define LOOKS_MAX 4

/* Wait before fences are lifted after a promotion. */
#define RELEASE_MS (PRIMARY_LEASE_VALID_MS + PRIMARY_LEASE_VALID_MS / 10)

/* Keys that one transaction may remove. */
#define REMOVALS_MAX 30

/* One action of a takeover under way. */
typedef struct {
	duty_service_t *entry;
	uint64_t round;
	char *server;
} action_t;

/* The ending of all leases that stood in the store. */
typedef struct {
	action_t *action;
	GPtrArray *keys;
	uint32_t pending;
	bool failed;
	uint32_t looks;
	struct event *timer;
} revocation_t;

static void revoke(void *context);

static action_t *action_new(duty_service_t *entry, const char *server)
{
	action_t *action = g_new0(action_t, 1);

	action->entry = entry;
	action->round = entry->round;
	action->server = g_strdup(server);
	return action;
}

static void action_free(action_t *action)
{
	g_free(action->server);
	g_free(action);
}

static bool is_current(const action_t *action)
{
	return action->round == action->entry->round &&
	       takeover_phase(action->entry->takeover) != TAKEOVER_IDLE;
}

static relay_service_t *service_of(const duty_service_t *entry)
{
	return relay_services_find(entry->duty->services, entry->name);
}

static void log_step(const duty_service_t *entry, const char *step,
		     const char *detail)
{
	log_event(LOG_LEVEL_NOTICE, "takeover_step",
		  "service=%s phase=%s step=%s detail=%s", entry->name,
		  takeover_phase_name(takeover_phase(entry->takeover)), step,
		  detail);
}

static void take_written(duty_service_t *entry, kv_result_t result,
			 int64_t revision)
{
	entry->writing = NULL;
	log_step(entry, "written", kv_result_name(result));
	if (result == KV_OK && revision >= entry->revision) {
		entry->revision = revision;
		entry->record = entry->written;
	}
	takeover_written(entry->takeover, result == KV_OK, clock_boot_ms());
}

static void on_written(void *context, const kv_answer_t *answer)
{
	action_t *action = context;
	duty_service_t *entry = action->entry;

	if (is_current(action) && entry->writing == action)
		take_written(entry, answer->result, answer->revision);
	else if (entry->writing == action)
		entry->writing = NULL;
	action_free(action);
}

/* The answer may be lost after the write took effect. */
void duty_takeover_seen(duty_service_t *entry, const primary_record_t *record,
			int64_t revision)
{
	const primary_record_t *written = &entry->written;

	if (!entry->writing ||
	    takeover_phase(entry->takeover) == TAKEOVER_IDLE ||
	    record->term != written->term ||
	    record->takeover_term != written->takeover_term ||
	    record->token != written->token ||
	    record->attempt != written->attempt ||
	    strcmp(record->primary, written->primary))
		return;
	take_written(entry, KV_OK, revision);
}

static void write_record(void *context, uint64_t term, const char *primary,
			 uint64_t takeover_term)
{
	duty_service_t *entry = context;
	primary_record_t record = {
		.term = term,
		.takeover_term = takeover_term,
		.token = (uint64_t)entry->duty->held_revision,
		.attempt = ++entry->duty->attempts,
	};
	action_t *action;

	if (takeover_phase(entry->takeover) == TAKEOVER_INTENT)
		entry->round++;
	g_strlcpy(record.primary, primary, sizeof(record.primary));
	action = action_new(entry, primary);
	entry->writing = action;
	entry->written = record;
	duty_write(entry, &record, on_written, action);
}

static void revocation_free(revocation_t *revocation)
{
	if (revocation->timer)
		event_free(revocation->timer);
	g_ptr_array_unref(revocation->keys);
	action_free(revocation->action);
	g_free(revocation);
}

static void on_revoke_again(evutil_socket_t fd, short what, void *context)
{
	revocation_t *revocation = context;
	duty_service_t *entry = revocation->action->entry;
	const bool current = is_current(revocation->action);

	revocation_free(revocation);
	if (current)
		revoke(entry);
}

/* @return whether another lease of the key's node stands in the store */
static bool has_newer(const GPtrArray *items, const char *key)
{
	const char *lease = strrchr(key, '/');
	const size_t size = (size_t)(lease - key) + 1;

	for (guint i = 0; i < items->len; i++) {
		const kv_item_t *item = items->pdata[i];

		if (!strncmp(item->key, key, size) && strcmp(item->key, key))
			return true;
	}
	return false;
}

/* @return whether the key was written longer ago than any proof lasts */
static bool is_outdated(const GPtrArray *items, const char *key)
{
	const int64_t wall_ms = g_get_real_time() / 1000;

	for (guint i = 0; i < items->len; i++) {
		const kv_item_t *item = items->pdata[i];
		g_autofree char *text = NULL;
		const char *written;

		if (strcmp(item->key, key) || !item->value)
			continue;
		text = g_strndup(g_bytes_get_data(item->value, NULL),
				 g_bytes_get_size(item->value));
		written = strchr(text, ' ');
		return written && wall_ms - atoll(written) >
					  2 * (int64_t)RELAY_LEASE_AGE_MAX_MS;
	}
	return false;
}

/* A node that has not registered anew may still use other proofs: its key
 * stays, so that the next takeover waits for them, too. */
static void remove_keys(const revocation_t *revocation, const GPtrArray *items)
{
	kv_store_t *store = revocation->action->entry->duty->store;
	g_autoptr(GPtrArray) keys = g_ptr_array_new();

	for (guint i = 0; i < revocation->keys->len; i++) {
		char *key = revocation->keys->pdata[i];

		if (has_newer(items, key) || is_outdated(items, key))
			g_ptr_array_add(keys, key);
	}
	for (guint i = 0; i < keys->len; i += REMOVALS_MAX) {
		const kv_transaction_t transaction = {
			.removals = (const char *const *)&keys->pdata[i],
			.removals_count = MIN(keys->len - i, REMOVALS_MAX),
		};

		store->calls->commit(store->self, &transaction, NULL, NULL);
	}
}

static bool all_newer(const revocation_t *revocation, const GPtrArray *items)
{
	for (guint i = 0; i < revocation->keys->len; i++)
		if (!has_newer(items, revocation->keys->pdata[i]))
			return false;
	return true;
}

/* A node that registered anew has forgotten what it had proved. */
static void on_looked(void *context, const kv_answer_t *answer)
{
	revocation_t *revocation = context;
	duty_service_t *entry = revocation->action->entry;
	const struct timeval look = clock_timeval(LOOK_AGAIN_MS);
	const bool forgotten = answer->result == KV_OK && !answer->has_more &&
			       all_newer(revocation, answer->items);

	if (is_current(revocation->action) && !forgotten &&
	    ++revocation->looks < LOOKS_MAX) {
		event_add(revocation->timer, &look);
		return;
	}
	if (is_current(revocation->action) && forgotten) {
		log_step(entry, "proofs_forgotten", "all");
		takeover_forgotten(entry->takeover, clock_boot_ms());
	}
	remove_keys(revocation, answer->items);
	revocation_free(revocation);
}

static void on_look_again(evutil_socket_t fd, short what, void *context)
{
	revocation_t *revocation = context;
	kv_store_t *store = revocation->action->entry->duty->store;

	store->calls->range(store->self, RELAY_LEASES_PREFIX, NULL, on_looked,
			    revocation);
}

static void revocation_end(revocation_t *revocation)
{
	duty_service_t *entry = revocation->action->entry;
	const struct timeval delay = clock_timeval(REVOKE_AGAIN_MS);
	const struct timeval look = clock_timeval(LOOK_AGAIN_MS);
	g_autofree char *count = g_strdup_printf("%u", revocation->keys->len);

	if (revocation->failed) {
		revocation->timer = evtimer_new(entry->duty->base,
						on_revoke_again, revocation);
		event_add(revocation->timer, &delay);
		return;
	}
	if (!is_current(revocation->action)) {
		revocation_free(revocation);
		return;
	}
	log_step(entry, "leases_ended", count);
	takeover_revoked(entry->takeover, clock_boot_ms());
	revocation->timer =
		evtimer_new(entry->duty->base, on_look_again, revocation);
	event_add(revocation->timer, &look);
}

static void on_lease_ended(void *context, const kv_answer_t *answer)
{
	revocation_t *revocation = context;

	if (answer->result != KV_OK && answer->result != KV_ABSENT)
		revocation->failed = true;
	if (!--revocation->pending)
		revocation_end(revocation);
}

static void on_leases(void *context, const kv_answer_t *answer)
{
	revocation_t *revocation = context;
	kv_store_t *store = revocation->action->entry->duty->store;

	/* One more, so that it does not end while calls are still made. */
	revocation->pending = 1;
	revocation->failed = answer->result != KV_OK || answer->has_more;
	for (guint i = 0; i < answer->items->len; i++) {
		const kv_item_t *item = answer->items->pdata[i];
		gsize size;
		const char *text =
			item->value ? g_bytes_get_data(item->value, &size) :
				      NULL;
		g_autofree char *number = text ? g_strndup(text, size) : NULL;
		const int64_t lease = number ? atoll(number) : 0;

		if (!lease)
			continue;
		g_ptr_array_add(revocation->keys, g_strdup(item->key));
		revocation->pending++;
		store->calls->lease_end(store->self, lease, on_lease_ended,
					revocation);
	}
	if (!--revocation->pending)
		revocation_end(revocation);
}

static void revoke(void *context)
{
	duty_service_t *entry = context;
	kv_store_t *store = entry->duty->store;
	revocation_t *revocation = g_new0(revocation_t, 1);

	revocation->action = action_new(entry, "");
	revocation->keys = g_ptr_array_new_with_free_func(g_free);
	store->calls->range(store->self, RELAY_LEASES_PREFIX, NULL, on_leases,
			    revocation);
}

static takeover_status_t status_of(const relay_control_answer_t *answer)
{
	return (takeover_status_t){
		.answered = answer->result == RELAY_CONTROL_DONE,
		.unreachable = answer->result == RELAY_CONTROL_UNREACHABLE,
		.role = answer->status.role,
		.term = answer->status.term,
		.fence = answer->status.fence,
		.received = answer->status.received,
	};
}

static void on_status(void *context, const relay_control_answer_t *answer)
{
	action_t *action = context;
	const takeover_status_t status = status_of(answer);

	if (is_current(action))
		takeover_status(action->entry->takeover, action->server,
				&status, clock_boot_ms());
	action_free(action);
}

static void ask_status(void *context, const char *server)
{
	duty_service_t *entry = context;

	relay_control_ask(service_of(entry), server, RELAY_CONTROL_STATUS, 0,
			  CONTROL_TIMEOUT_MS, on_status,
			  action_new(entry, server));
}

static void on_fenced(void *context, const relay_control_answer_t *answer)
{
	action_t *action = context;
	const takeover_status_t status = status_of(answer);

	log_step(action->entry, "fenced",
		 relay_control_result_name(answer->result));
	if (is_current(action))
		takeover_fenced(action->entry->takeover, action->server,
				&status, clock_boot_ms());
	action_free(action);
}

static void fence(void *context, const char *server, uint64_t term)
{
	duty_service_t *entry = context;

	relay_control_ask(service_of(entry), server, RELAY_CONTROL_FENCE, term,
			  CONTROL_TIMEOUT_MS, on_fenced,
			  action_new(entry, server));
}

static void on_promoted(void *context, takeover_promoted_t result)
{
	static const char *const names[] = {"accepted", "not_running",
					    "unknown"};
	action_t *action = context;

	log_step(action->entry, "promoted", names[result]);
	if (is_current(action))
		takeover_promoted(action->entry->takeover, result,
				  clock_boot_ms());
	action_free(action);
}

static void promote(void *context, const char *server)
{
	duty_service_t *entry = context;
	relay_duty_t *duty = entry->duty;
	const relay_promotion_t promotion = {
		.service = entry->name,
		.server = server,
		.holder = duty->node,
		.token = (uint64_t)duty->held_revision,
	};

	if (!duty_is_safe(duty)) {
		log_step(entry, "promotion_unsafe", server);
		return;
	}
	log_step(entry, "promoting", server);
	duty->promoter.promote(duty->promoter.self, &promotion, on_promoted,
			       action_new(entry, server));
}

static void on_released(void *context, const relay_control_answer_t *answer)
{
	action_t *action = context;

	log_event(LOG_LEVEL_INFO, "server_released",
		  "service=%s server=%s result=%s", action->entry->name,
		  action->server, relay_control_result_name(answer->result));
	action_free(action);
}

static void control(duty_service_t *entry, const char *server,
		    relay_control_t operation, uint64_t term)
{
	relay_control_ask(service_of(entry), server, operation, term,
			  CONTROL_TIMEOUT_MS, on_released,
			  action_new(entry, server));
}

/* Lifts all fences; a holder that died may have left some behind, too. */
static void on_release(evutil_socket_t fd, short what, void *context)
{
	duty_service_t *entry = context;
	const GPtrArray *servers = relay_service_servers(service_of(entry));

	if (takeover_phase(entry->takeover) != TAKEOVER_IDLE)
		return;
	for (guint i = 0; i < servers->len; i++) {
		const char *id = relay_server_entry(servers->pdata[i])->id;

		if (strcmp(id, entry->record.primary))
			control(entry, id, RELAY_CONTROL_RELEASE, 0);
	}
}

static void on_done(void *context, bool led, uint64_t term, const char *old,
		    const char *primary)
{
	duty_service_t *entry = context;
	const struct timeval delay = clock_timeval(RELEASE_MS);

	log_event(LOG_LEVEL_NOTICE, led ? "takeover_done" : "takeover_failed",
		  "service=%s term=%" PRIu64 " primary=%s", entry->name, term,
		  primary);
	duty_service_reset(entry);
	/* What replicas proved before the promotion must run out first. */
	event_add(entry->release, &delay);
	if (led && strcmp(old, primary))
		control(entry, old, RELAY_CONTROL_STEP_DOWN, term);
}

void duty_takeover_create(duty_service_t *entry)
{
	entry->release = evtimer_new(entry->duty->base, on_release, entry);
	entry->takeover = takeover_create((takeover_actions_t){
		.write = write_record,
		.revoke = revoke,
		.status = ask_status,
		.fence = fence,
		.promote = promote,
		.done = on_done,
		.context = entry,
	});
}
