#include "daemon/group_private.h"

#include <inttypes.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"

/** Timeout of one status request in a poll round. */
#define FAILOVER_POLL_TIMEOUT_MS 800

/** Timeout of a fence, promotion or follow order. */
#define FAILOVER_ORDER_TIMEOUT_MS 1500

/** Delay before a follow order to the same server is repeated. */
#define FAILOVER_FOLLOW_RETRY_MS 300

/** Delay until the first log line on a refused promotion. */
#define FAILOVER_REFUSAL_LOG_DELAY_MS 2000

/** Interval of the further log lines on a refused promotion. */
#define FAILOVER_REFUSAL_LOG_INTERVAL_MS 10000

/** Maximum number of owners ranked for one server. */
#define FAILOVER_OWNER_LIMIT 8

/** Maximum number of nodes ranked for one database. */
#define FAILOVER_RANK_LIMIT 32

typedef struct {
	group_database_t *database;
	uint32_t server;
	server_operation_t operation;
	uint64_t number; /**< number of the poll round, or term */
} failover_request_t;

static failover_request_t *failover_request_new(group_database_t *database,
						uint32_t server,
						server_operation_t operation,
						uint64_t number)
{
	failover_request_t *request = g_new0(failover_request_t, 1);

	request->database = database;
	request->server = server;
	request->operation = operation;
	request->number = number;
	return request;
}

static void on_poll_answer(void *context, server_result_t result,
			   const server_status_t *status)
{
	failover_request_t *request = context;

	if (!request->database->task->ending)
		detector_answer(request->database->detector, clock_now_ms(),
				request->server, request->number, result,
				status);
	g_free(request);
}

static void on_poll_request(void *context, uint32_t server, uint64_t round)
{
	group_database_t *database = context;
	const group_operation_t operation = {
		.operation = SERVER_STATUS,
		.timeout_ms = FAILOVER_POLL_TIMEOUT_MS,
	};

	group_requests_start(
		database->task->requests, &database->servers[server],
		&operation, on_poll_answer,
		failover_request_new(database, server, SERVER_STATUS, round));
}

static void rank_add(const char **nodes, uint32_t *count, const char *node)
{
	for (uint32_t i = 0; i < *count; i++)
		if (!strcmp(nodes[i], node))
			return;
	if (*count < FAILOVER_RANK_LIMIT)
		nodes[(*count)++] = node;
}

uint32_t group_failover_rank(const group_database_t *database)
{
	const group_task_t *task = database->task;
	const group_view_t view = group_table_view(task->table, database->name);
	const char *ranked[FAILOVER_RANK_LIMIT];
	const char *owners[FAILOVER_OWNER_LIMIT];
	uint32_t count = 0;

	/* The first pass adds owners of replicas, the second of the primary. */
	for (uint32_t i = 0; i < 2 * database->servers_count; i++) {
		const group_server_t *server =
			&database->servers[i % database->servers_count];
		const bool primary_pass = i >= database->servers_count;
		const uint32_t found = task->handlers.owners(
			task->handlers.context, database->name, server->name,
			owners, FAILOVER_OWNER_LIMIT);

		if (primary_pass != !strcmp(server->name, view.primary))
			continue;
		for (uint32_t j = 0; j < found; j++)
			rank_add(ranked, &count, owners[j]);
	}
	for (uint32_t i = 0; i < count; i++)
		if (!strcmp(ranked[i], task->node))
			return i;
	return count;
}

/* @return rank of this node among the owners of @p server */
static uint32_t rank_among_owners(const group_database_t *database,
				  const char *server)
{
	const group_task_t *task = database->task;
	const char *owners[FAILOVER_OWNER_LIMIT];
	const uint32_t found =
		task->handlers.owners(task->handlers.context, database->name,
				      server, owners, FAILOVER_OWNER_LIMIT);

	for (uint32_t i = 0; i < found; i++)
		if (!strcmp(owners[i], task->node))
			return i;
	return found;
}

/*
 * Returns how many other nodes start a poll round before this one. An owner
 * whose polls of the primary fail suspects the primary before other nodes do,
 * so it uses its rank among the owners of the primary.
 */
static uint32_t own_rank(group_database_t *database)
{
	const group_view_t view =
		group_table_view(database->task->table, database->name);
	const group_server_t *primary =
		group_database_server(database, view.primary);

	if (primary && primary->watch && group_watch_failures(primary->watch))
		return rank_among_owners(database, primary->name);
	return group_failover_rank(database);
}

static void on_suspect(void *context)
{
	group_database_t *database = context;
	const group_view_t view =
		group_table_view(database->task->table, database->name);

	database->suspected_ms = clock_now_ms();
	detector_set_rank(database->detector, own_rank(database));
	log_event(LOG_LEVEL_WARNING, "primary_suspect",
		  "database=%s term=%" PRIu64 " primary=%s", database->name,
		  view.term, view.primary);
}

static void on_lost(void *context, detector_reason_t reason,
		    uint64_t suspected_ms)
{
	group_database_t *database = context;
	const uint64_t now_ms = clock_now_ms();

	log_event(LOG_LEVEL_WARNING, "primary_lost",
		  "database=%s reason=%s suspected_for_ms=%" PRIu64,
		  database->name, detector_reason_name(reason),
		  now_ms - suspected_ms);
	promotion_start(database->promotion, now_ms);
	group_database_wake(database);
}

static void on_order_answer(void *context, server_result_t result,
			    const server_status_t *status)
{
	failover_request_t *request = context;
	group_database_t *database = request->database;

	if (!database->task->ending) {
		promotion_answer(database->promotion, clock_now_ms(),
				 request->server, request->operation,
				 request->number, result, status);
		group_database_wake(database);
	}
	g_free(request);
}

static void on_promotion_request(void *context, uint32_t server,
				 server_operation_t order, uint64_t term)
{
	group_database_t *database = context;
	const group_operation_t operation = {
		.operation = order,
		.term = term,
		.timeout_ms = FAILOVER_ORDER_TIMEOUT_MS,
	};

	group_requests_start(
		database->task->requests, &database->servers[server],
		&operation, on_order_answer,
		failover_request_new(database, server, order, term));
}

static void announce(group_database_t *database, uint64_t term,
		     const char *primary)
{
	const group_task_t *task = database->task;
	group_note_t note = {
		.kind = GROUP_NOTE_ANNOUNCE,
		.term = term,
	};

	g_strlcpy(note.database, database->name, sizeof(note.database));
	g_strlcpy(note.server, primary, sizeof(note.server));
	for (uint32_t i = 0; task->view && i < task->view->members_count; i++) {
		const member_t *member = &task->view->members[i];

		if (strcmp(member->name, task->node))
			group_task_send(database->task, member->name, &note);
	}
}

static void record_phase(const group_database_t *database, const char *phase,
			 uint64_t from_ms, uint64_t to_ms)
{
	g_autofree char *labels = g_strdup_printf("part=\"%s\"", phase);

	metric_histogram_record(
		metrics_histogram(database->task->metrics,
				  "toucanhook_failover_microseconds", labels),
		to_ms > from_ms ? (to_ms - from_ms) * 1000 : 0);
}

static void promotion_ended(group_database_t *database, uint64_t term,
			    const group_server_t *server)
{
	const promotion_report_t report = promotion_report(database->promotion);
	const uint64_t now_ms = clock_now_ms();

	if (database->suspected_ms)
		record_phase(database, "detect", database->suspected_ms,
			     report.started_ms);
	record_phase(database, "fence", report.started_ms, report.fenced_ms);
	record_phase(database, "promote", report.fenced_ms, now_ms);
	database->suspected_ms = 0;
	announce(database, term, server->name);
	group_database_update_primary(database, term, server->name);
	group_record_write(database);
}

static void count_event(const group_database_t *database,
			promotion_event_t event)
{
	g_autofree char *labels =
		g_strdup_printf("event=\"%s\"", promotion_event_name(event));

	metric_add(metrics_counter(database->task->metrics,
				   "toucanhook_promotions_total", labels),
		   1);
}

static void on_promotion_event(void *context, promotion_event_t event,
			       uint64_t term, uint32_t server)
{
	group_database_t *database = context;
	const promotion_report_t report = promotion_report(database->promotion);
	const group_server_t *subject = server < database->servers_count ?
						&database->servers[server] :
						NULL;

	log_event(event == PROMOTION_FENCES_MISSING ? LOG_LEVEL_WARNING :
						      LOG_LEVEL_NOTICE,
		  promotion_event_name(event),
		  "database=%s term=%" PRIu64 " server=%s fenced=%u needed=%u "
		  "after_ms=%" PRIu64,
		  database->name, term, subject ? subject->name : "",
		  report.fenced, report.needed,
		  clock_now_ms() - report.started_ms);
	count_event(database, event);
	if (event == PROMOTION_ENDED)
		promotion_ended(database, term, subject);
}

void group_failover_open(group_database_t *database)
{
	const detector_rule_t detector_rule = {
		.servers = database->servers_count,
		.replicas = database->replicas,
		.suspect_ms = database->limits.suspect_ms,
		.valid_ms = database->limits.evidence_valid_ms,
	};
	const detector_handlers_t detector_handlers = {
		.send_request = on_poll_request,
		.suspect = on_suspect,
		.lost = on_lost,
		.context = database,
	};
	const promotion_rule_t promotion_rule = {
		.servers = database->servers_count,
		.replicas = database->replicas,
		.valid_ms = database->limits.evidence_valid_ms,
		.identity = database->task->identity,
		.guards = PROMOTION_GUARD_ALL,
	};
	const promotion_handlers_t promotion_handlers = {
		.send_request = on_promotion_request,
		.event = on_promotion_event,
		.context = database,
	};
	database->detector = detector_create(detector_rule, detector_handlers);
	database->promotion =
		promotion_create(promotion_rule, promotion_handlers);
}

void group_failover_close(group_database_t *database)
{
	detector_destroy(database->detector);
	promotion_destroy(database->promotion);
}

void group_failover_update_view(group_database_t *database,
				const group_view_t *view)
{
	const group_server_t *primary =
		group_database_server(database, view->primary);

	detector_set_primary(database->detector, clock_now_ms(), view->term,
			     primary ? primary->index : UINT32_MAX);
	promotion_seen(database->promotion, view->term);
	if (promotion_report(database->promotion).term < view->term)
		promotion_stop(database->promotion);
	for (uint32_t i = 0; i < database->servers_count; i++)
		database->servers[i].follow_at_ms = 0;
}

void group_failover_record_poll(group_server_t *server,
				const server_status_t *status,
				uint32_t failures)
{
	detector_record_poll(server->database->detector, clock_now_ms(),
			     server->index, status, failures);
}

void group_failover_forget(group_server_t *server)
{
	detector_forget(server->database->detector, server->index);
}

static void on_follow_answer(void *context, server_result_t result,
			     const server_status_t *status)
{
}

/* Orders owned servers of an older term to follow the current primary. */
static void reconcile(group_database_t *database, uint64_t now_ms)
{
	const group_view_t view =
		group_table_view(database->task->table, database->name);

	for (uint32_t i = 0; i < database->servers_count; i++) {
		group_server_t *server = &database->servers[i];
		const group_operation_t operation = {
			.operation = SERVER_FOLLOW,
			.term = view.term,
			.primary = view.primary,
			.timeout_ms = FAILOVER_ORDER_TIMEOUT_MS,
		};

		if (!server->watch || !server->known ||
		    server->status.term >= view.term ||
		    server->status.fence > view.term ||
		    !strcmp(server->name, view.primary) ||
		    now_ms < server->follow_at_ms)
			continue;
		server->follow_at_ms = now_ms + FAILOVER_FOLLOW_RETRY_MS;
		log_event(LOG_LEVEL_NOTICE, "follow_ordered",
			  "database=%s server=%s term=%" PRIu64 " primary=%s",
			  database->name, server->name, view.term,
			  view.primary);
		group_requests_start(database->task->requests, server,
				     &operation, on_follow_answer, NULL);
	}
}

/* Logs why a suspected primary has not been replaced yet. */
static void log_refusal(group_database_t *database, uint64_t now_ms)
{
	const detector_report_t suspicion = detector_report(database->detector);

	if (!suspicion.suspected_ms) {
		database->refusal_log_at_ms = 0;
		return;
	}
	if (!database->refusal_log_at_ms)
		database->refusal_log_at_ms =
			now_ms + FAILOVER_REFUSAL_LOG_DELAY_MS;
	if (now_ms < database->refusal_log_at_ms)
		return;
	database->refusal_log_at_ms = now_ms + FAILOVER_REFUSAL_LOG_INTERVAL_MS;
	log_event(LOG_LEVEL_WARNING, "promotion_refused",
		  "database=%s reason=%s answers=%u silent=%u needed=%u",
		  database->name,
		  suspicion.answers < suspicion.needed ? "too_few_answers" :
							 "primary_heard",
		  suspicion.answers, suspicion.silent, suspicion.needed);
}

/*
 * Returns the index of the replica with the highest known end of its log, or
 * PROMOTION_ANY if all replicas are leaving.
 */
static uint32_t most_advanced_replica(const group_database_t *database,
				      uint32_t primary)
{
	uint32_t found = PROMOTION_ANY;

	for (uint32_t i = 0; i < database->servers_count; i++) {
		const group_server_t *server = &database->servers[i];

		if (i == primary || server->leaving)
			continue;
		if (found == PROMOTION_ANY ||
		    (server->known &&
		     log_point_compare(server->status.last,
				       database->servers[found].status.last) >
			     0))
			found = i;
	}
	return found;
}

void group_failover_order(group_database_t *database, const char *server)
{
	const group_view_t view =
		group_table_view(database->task->table, database->name);
	const group_server_t *primary =
		group_database_server(database, view.primary);
	const group_server_t *wanted =
		server ? group_database_server(database, server) : NULL;
	uint32_t index;

	if (!primary || (server && !wanted))
		return;
	index = wanted ? wanted->index :
			 most_advanced_replica(database, primary->index);
	if (index == PROMOTION_ANY || index == primary->index) {
		log_event(LOG_LEVEL_NOTICE, "promotion_order_refused",
			  "database=%s server=%s reason=already_primary",
			  database->name, view.primary);
		return;
	}
	promotion_order(database->promotion, clock_now_ms(), primary->index,
			index);
	group_database_wake(database);
}

uint64_t group_failover_step(group_database_t *database, uint64_t now_ms)
{
	reconcile(database, now_ms);
	promotion_step(database->promotion, now_ms);
	if (promotion_report(database->promotion).state == PROMOTION_IDLE)
		detector_step(database->detector, now_ms);
	log_refusal(database, now_ms);
	group_handover_step(database, now_ms);
	return MIN(promotion_due_ms(database->promotion),
		   detector_due_ms(database->detector));
}
