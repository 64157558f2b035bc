#include "relay/relay_coordinator_private.h"

#include <inttypes.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "relay/relay_control.h"

/* Timeout of a control operation at a server. */
#define CONTROL_TIMEOUT_MS 400

/* Interval of the line that says what a takeover waits for. */
#define WAIT_LOG_MS 1000

/* One asynchronous action of a takeover. */
typedef struct {
	coordinator_service_t *entry;
	uint64_t round; /* number of the takeover that started the action */
	uint64_t order; /* number of the order, if it is one */
	int64_t token;	/* of the duty that was held, 0 for none */
	char *server;
} action_t;

static action_t *action_new(coordinator_service_t *entry, const char *server)
{
	action_t *action = g_new0(action_t, 1);

	action->entry = entry;
	action->round = entry->round;
	action->order = takeover_order_number(entry->takeover);
	action->token = entry->coordinator->held_revision;
	action->server = g_strdup(server);
	return action;
}

static void action_free(action_t *action)
{
	g_free(action->server);
	g_free(action);
}

/* @return whether the takeover that started the action still runs */
static bool is_current(const action_t *action)
{
	return action->round == action->entry->round &&
	       takeover_phase(action->entry->takeover) != TAKEOVER_IDLE;
}

static relay_service_t *service_of(const coordinator_service_t *entry)
{
	return relay_services_find(entry->coordinator->services, entry->name);
}

/* Says which holder of the duty changed a server, and to what fence. */
static void log_control(const action_t *action, const char *event,
			const relay_control_answer_t *answer)
{
	log_event(LOG_LEVEL_NOTICE, event,
		  "service=%s server=%s token=%" PRId64 " held=%" PRId64
		  " result=%s fence=%" PRIu64,
		  action->entry->name, action->server, action->token,
		  action->entry->coordinator->held_revision,
		  relay_control_result_name(answer->result),
		  answer->status.fence);
}

static void log_step(const coordinator_service_t *entry, const char *step,
		     const char *detail)
{
	log_event(LOG_LEVEL_NOTICE, "takeover_step",
		  "service=%s phase=%s step=%s detail=%s", entry->name,
		  takeover_phase_name(takeover_phase(entry->takeover)), step,
		  detail);
}

static void complete_write(coordinator_service_t *entry, kv_result_t result,
			   int64_t revision)
{
	entry->pending_write = NULL;
	log_step(entry, "written", kv_result_name(result));
	if (result == KV_OK && revision >= entry->revision) {
		entry->revision = revision;
		entry->record = entry->pending_record;
		entry->current = true;
	}
	takeover_written(entry->takeover, result == KV_OK, clock_boot_ms());
}

static void on_written(void *context, const kv_answer_t *answer)
{
	action_t *action = context;
	coordinator_service_t *entry = action->entry;

	if (is_current(action) && entry->pending_write == action)
		complete_write(entry, answer->result, answer->revision);
	else if (entry->pending_write == action)
		entry->pending_write = NULL;
	action_free(action);
}

/* The answer to a write may be lost after the write took effect. */
void coordinator_takeover_record_seen(coordinator_service_t *entry,
				      const primary_record_t *record,
				      int64_t revision)
{
	const primary_record_t *pending_record = &entry->pending_record;

	if (!entry->pending_write ||
	    takeover_phase(entry->takeover) == TAKEOVER_IDLE ||
	    record->term != pending_record->term ||
	    record->takeover_term != pending_record->takeover_term ||
	    record->token != pending_record->token ||
	    record->attempt != pending_record->attempt ||
	    strcmp(record->primary, pending_record->primary))
		return;
	complete_write(entry, KV_OK, revision);
}

static void new_holders(const coordinator_service_t *entry,
			primary_record_t *record)
{
	if (!coordinator_sync_replicas(entry))
		return;
	sync_holders_new_term(&record->holders, record->primary,
			      entry->record.primary, entry->primary_started_ms);
	coordinator_holders_update(entry, record->primary, &record->holders);
}

static void write_record(void *context, uint64_t term, const char *primary,
			 uint64_t takeover_term)
{
	coordinator_service_t *entry = context;
	const char *ordered = takeover_ordered(entry->takeover);
	primary_record_t record = {
		.term = term,
		.takeover_term = takeover_term,
		.token = (uint64_t)entry->coordinator->held_revision,
		.attempt = ++entry->coordinator->write_attempts,
		.restored = takeover_term &&
			    takeover_kind(entry->takeover) == TAKEOVER_RESTORED,
		.order_unknown = !ordered,
		.holders = entry->record.holders,
	};
	action_t *action;

	if (takeover_phase(entry->takeover) == TAKEOVER_INTENT)
		entry->round++;
	g_strlcpy(record.primary, primary, sizeof(record.primary));
	if (ordered)
		g_strlcpy(record.ordered, ordered, sizeof(record.ordered));
	if (term != entry->record.term)
		new_holders(entry, &record);
	action = action_new(entry, primary);
	entry->pending_write = action;
	entry->pending_record = record;
	coordinator_write_record(entry, &record, on_written, action);
}

static void on_revoked(void *context, uint32_t ended)
{
	coordinator_service_t *entry = context;
	g_autofree char *count = g_strdup_printf("%u", ended);

	log_step(entry, "leases_ended", count);
	takeover_revoked(entry->takeover, clock_boot_ms());
}

static void on_forgotten(void *context)
{
	coordinator_service_t *entry = context;

	if (!coordinator_knows_all_nodes(entry->coordinator))
		return;
	log_step(entry, "proofs_forgotten", "all");
	takeover_proofs_forgotten(entry->takeover, clock_boot_ms());
}

static void revoke(void *context)
{
	coordinator_service_t *entry = context;
	const relay_revocation_handlers_t handlers = {
		.revoked = on_revoked,
		.forgotten = on_forgotten,
		.context = entry,
	};

	relay_revocation_stop(entry->revocation);
	entry->revocation = relay_revocation_start(entry->coordinator->base,
						   entry->coordinator->store,
						   entry->revision, handlers);
}

static void log_wait(coordinator_service_t *entry, uint64_t now_ms)
{
	const char *server = takeover_ordered(entry->takeover);

	if (!takeover_awaits_order(entry->takeover, now_ms) ||
	    now_ms < entry->wait_logged_ms + WAIT_LOG_MS)
		return;
	entry->wait_logged_ms = now_ms;
	log_event(LOG_LEVEL_NOTICE, "takeover_waits",
		  "service=%s reason=promotion_under_way server=%s",
		  entry->name, server ? server : "unknown");
}

/* Says that the fence was found lifted, or its server silent. */
static void log_fence_anew(const coordinator_service_t *entry,
			   takeover_phase_t before, const char *server)
{
	if (before > TAKEOVER_REVOKE &&
	    takeover_phase(entry->takeover) == TAKEOVER_REVOKE)
		log_step(entry, "fence_anew", server);
}

void coordinator_takeover_step(coordinator_service_t *entry, uint64_t now_ms)
{
	const takeover_phase_t before = takeover_phase(entry->takeover);

	takeover_step(entry->takeover, now_ms);
	log_fence_anew(entry, before, "-");
	log_wait(entry, now_ms);
}

void coordinator_takeover_stop(coordinator_service_t *entry)
{
	relay_revocation_stop(entry->revocation);
	entry->revocation = NULL;
	takeover_abort(entry->takeover);
}

static takeover_status_t status_of(const relay_control_answer_t *answer)
{
	return (takeover_status_t){
		.answered = answer->result == RELAY_CONTROL_DONE,
		.unreachable = answer->result == RELAY_CONTROL_UNREACHABLE,
		.busy = answer->result == RELAY_CONTROL_BUSY,
		.sent_ms = answer->sent_ms,
		.role = answer->status.role,
		.term = answer->status.term,
		.fence = answer->status.fence,
		.received = answer->status.received,
	};
}

static void on_status(void *context, const relay_control_answer_t *answer)
{
	action_t *action = context;
	coordinator_service_t *entry = action->entry;
	const takeover_status_t status = status_of(answer);
	const takeover_phase_t before = takeover_phase(entry->takeover);

	if (is_current(action)) {
		takeover_status(entry->takeover, action->server, &status,
				clock_boot_ms());
		log_fence_anew(entry, before, action->server);
	}
	action_free(action);
}

static void query_status(void *context, const char *server)
{
	coordinator_service_t *entry = context;

	relay_control_run(service_of(entry), server, RELAY_CONTROL_STATUS, 0,
			  CONTROL_TIMEOUT_MS, on_status,
			  action_new(entry, server));
}

static void on_fenced(void *context, const relay_control_answer_t *answer)
{
	action_t *action = context;
	const takeover_status_t status = status_of(answer);

	log_control(action, "server_fenced", answer);
	if (is_current(action))
		takeover_fenced(action->entry->takeover, action->server,
				&status, clock_boot_ms());
	action_free(action);
}

static void fence(void *context, const char *server, uint64_t term)
{
	coordinator_service_t *entry = context;

	relay_control_run(service_of(entry), server, RELAY_CONTROL_FENCE, term,
			  CONTROL_TIMEOUT_MS, on_fenced,
			  action_new(entry, server));
}

static void release(void *context, const char *server)
{
	coordinator_service_t *entry = context;

	if (coordinator_may_promote(entry->coordinator))
		coordinator_lift_fence(entry, server);
}

static void on_promoted(void *context, takeover_promoted_t result)
{
	static const char *const names[] = {"accepted", "not_running",
					    "unknown", "not_done"};
	action_t *action = context;
	takeover_t *takeover = action->entry->takeover;

	log_step(action->entry, "promoted", names[result]);
	/* An order counts until it is answered, also beyond its takeover. */
	if (action->order == takeover_order_number(takeover))
		takeover_promoted(takeover, result, clock_boot_ms());
	action_free(action);
}

static void promote(void *context, const char *server)
{
	coordinator_service_t *entry = context;
	relay_coordinator_t *coordinator = entry->coordinator;
	const relay_promotion_t promotion = {
		.service = entry->name,
		.server = server,
		.holder = coordinator->node,
		.token = (uint64_t)coordinator->held_revision,
	};

	if (!coordinator_may_promote(coordinator)) {
		log_step(entry, "promotion_unsafe", server);
		takeover_promoted(entry->takeover, TAKEOVER_NOT_DONE,
				  clock_boot_ms());
		return;
	}
	log_step(entry, "promoting", server);
	coordinator->promoter.promote(coordinator->promoter.self, &promotion,
				      on_promoted, action_new(entry, server));
}

static void on_stepped_down(void *context, const relay_control_answer_t *answer)
{
	action_t *action = context;

	log_control(action, "server_stepped_down", answer);
	action_free(action);
}

/* A primary that a restore of the store has made unknown stops as well. */
static void step_down_others(coordinator_service_t *entry, uint64_t term,
			     const char *primary)
{
	const GPtrArray *servers = relay_service_servers(service_of(entry));

	for (guint i = 0; i < servers->len; i++) {
		const char *id = relay_server_entry(servers->pdata[i])->id;

		if (strcmp(id, primary))
			relay_control_run(service_of(entry), id,
					  RELAY_CONTROL_STEP_DOWN, term,
					  CONTROL_TIMEOUT_MS, on_stepped_down,
					  action_new(entry, id));
	}
}

static void on_done(void *context, bool succeeded, uint64_t term,
		    const char *old, const char *primary)
{
	coordinator_service_t *entry = context;

	log_event(LOG_LEVEL_NOTICE,
		  succeeded ? "takeover_done" : "takeover_failed",
		  "service=%s term=%" PRIu64 " primary=%s", entry->name, term,
		  primary);
	relay_revocation_stop(entry->revocation);
	entry->revocation = NULL;
	coordinator_service_reset(entry);
	fence_release_schedule(&entry->release, clock_boot_ms());
	if (succeeded)
		step_down_others(entry, term, primary);
}

void coordinator_takeover_create(coordinator_service_t *entry)
{
	entry->takeover = takeover_create((takeover_actions_t){
		.write = write_record,
		.revoke = revoke,
		.status = query_status,
		.fence = fence,
		.release = release,
		.promote = promote,
		.done = on_done,
		.context = entry,
	});
}
