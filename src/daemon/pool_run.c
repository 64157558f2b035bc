#include "daemon/pool_run.h"

#include <inttypes.h>

#include "base/clock.h"
#include "base/log.h"
#include "daemon/pool_server.h"

#define CONFIRM_TIMEOUT_MS_DEFAULT 2000
#define CATCH_UP_MS_DEFAULT 200
#define LABELS_SIZE 256

/*
 * Refers to a run by its id. The group task holds it as a callback context,
 * and may call back after the run has ended.
 */
typedef struct {
	pool_task_t *pool;
	uint64_t run_id;
} run_handle_t;

static run_handle_t *run_handle_new(const pool_run_t *run)
{
	run_handle_t *handle = g_new(run_handle_t, 1);

	handle->pool = run->pool;
	handle->run_id = run->run_id;
	return handle;
}

static pool_run_t *run_handle_resolve(run_handle_t *handle)
{
	pool_run_t *run =
		g_hash_table_lookup(handle->pool->runs, &handle->run_id);

	g_free(handle);
	return run;
}

void pool_run_free(pool_run_t *run)
{
	g_hash_table_remove(run->pool->runs, &run->run_id);
	event_free(run->timer);
	exchange_destroy(run->exchange);
	request_delete(run->request);
	g_free(run);
}

static bool has_ended(pool_task_t *pool, uint64_t run_id)
{
	return !g_hash_table_contains(pool->runs, &run_id);
}

static void end_run(pool_run_t *run, answer_t answer)
{
	const pool_group_t group = run->pool->group;
	const answer_sink_t sink = run->sink;
	const uint64_t request_id = run->request->request_id;

	group.fill_newest_primary(group.context, run->request->database,
				  &answer);
	pool_run_free(run);
	sink.end(sink.context, request_id, &answer);
}

void pool_run_refuse(pool_run_t *run, reason_t reason)
{
	const request_t *request = run->request;
	const pool_group_t *group = &run->pool->group;
	answer_t answer = {
		.outcome = OUTCOME_NOT_RUN,
		.reason = reason,
		.transaction_status = 'I',
	};

	/* Routing estimates the replica's lag from its replayed point. */
	if (reason == REASON_BEHIND)
		answer.point = group->replayed(
			group->context, request->database, request->server);
	end_run(run, answer);
}

/* Writes to the sink. @return false if the run was cancelled in the call */
static bool write_chunk(pool_run_t *run, GBytes *bytes)
{
	pool_task_t *pool = run->pool;
	const uint64_t run_id = run->run_id;

	if (!bytes)
		return true;
	run->sink.chunk(run->sink.context, run->request->request_id, bytes);
	g_bytes_unref(bytes);
	return !has_ended(pool, run_id);
}

bool pool_run_flush(pool_run_t *run)
{
	return write_chunk(run, exchange_take_ready(run->exchange));
}

static void end_with_result(pool_run_t *run, outcome_t outcome, reason_t reason)
{
	const exchange_result_t *result = &run->result;
	answer_t answer = {
		.outcome = outcome,
		.reason = reason,
		.transaction_status = result->transaction_status,
		.lease_id = run->request->lease_id,
		.point = result->point,
	};

	if (run->request->kind == REQUEST_READ)
		answer.point = run->replayed;
	if (outcome == OUTCOME_DONE &&
	    !write_chunk(run, exchange_take_buffered(run->exchange)))
		return;
	end_run(run, answer);
}

static void on_confirmed(void *context, bool confirmed)
{
	pool_run_t *run = run_handle_resolve(context);

	if (!run)
		return;
	if (confirmed)
		end_with_result(run, OUTCOME_DONE, REASON_NONE);
	else
		end_with_result(run, run->result.unconfirmed,
				REASON_UNCONFIRMED);
}

static uint32_t time_left_ms(const pool_run_t *run)
{
	const uint64_t now_ms = clock_now_ms();

	return now_ms >= run->deadline_ms ?
		       0 :
		       (uint32_t)(run->deadline_ms - now_ms);
}

static void confirm(pool_run_t *run)
{
	const pool_group_t *group = &run->pool->group;
	const config_t *config = run->pool->config;
	const uint32_t limit_ms = config && config->limits.confirm_timeout_ms ?
					  config->limits.confirm_timeout_ms :
					  CONFIRM_TIMEOUT_MS_DEFAULT;

	run->state = POOL_RUN_CONFIRMING;
	group->confirm(group->context, run->request->database,
		       run->result.point, MIN(limit_ms, time_left_ms(run)),
		       on_confirmed, run_handle_new(run));
}

/*
 * Detaches the connection from a run that was answered: leases it to the open
 * transaction, returns it to the pool or closes it.
 */
static void detach_connection(pool_run_t *run, pool_connection_t *connection)
{
	lease_table_t *leases = run->pool->leases;
	const uint64_t connection_id = connection->connection_id;
	const uint64_t now_ms = clock_now_ms();
	uint64_t lease_id = lease_table_for_connection(leases, connection_id);
	const bool open = run->result.transaction_status != 'I';

	run->connection = NULL;
	connection->run = NULL;
	connection->term = run->result.term;
	run->request->lease_id = 0;
	if (!run->result.reusable ||
	    (open && run->request->kind != REQUEST_TRANSACTION)) {
		pool_connection_close(connection);
		return;
	}
	if (!open) {
		if (lease_id)
			lease_table_end(leases, lease_id, NULL);
		connection->state = POOL_CONNECTION_IDLE;
		pool_server_wake(connection->server);
		return;
	}
	if (lease_id)
		lease_table_release(leases, lease_id, now_ms);
	else
		lease_id = lease_table_grant(leases, connection_id,
					     run->request->session_id, now_ms);
	connection->state = POOL_CONNECTION_LEASED;
	run->request->lease_id = lease_id;
}

void pool_run_complete(pool_run_t *run)
{
	const exchange_result_t result = exchange_result(run->exchange);

	if (!pool_run_flush(run))
		return;
	run->result = result;
	admission_served(run->server->admission,
			 clock_now_us() - run->started_us);
	detach_connection(run, run->connection);
	if (result.needs_confirm)
		confirm(run);
	else
		end_with_result(run, result.outcome, result.reason);
}

void pool_run_end_disconnected(pool_run_t *run, reason_t reason)
{
	const exchange_result_t result =
		exchange_result_on_failure(run->exchange, reason);
	const answer_t answer = {
		.outcome = result.outcome,
		.reason = result.reason,
		.transaction_status = 'I',
	};

	end_run(run, answer);
}

void pool_run_cancel(pool_run_t *run)
{
	pool_connection_t *connection = run->connection;

	if (run->state == POOL_RUN_QUEUED)
		admission_cancel(run->server->admission, run->run_id);
	if (connection)
		pool_connection_abandon(connection);
	pool_run_free(run);
}

void pool_run_abort(pool_run_t *run, reason_t reason)
{
	pool_connection_abandon(run->connection);
	pool_run_end_disconnected(run, reason);
}

static void expire_queued(pool_run_t *run)
{
	admission_cancel(run->server->admission, run->run_id);
	pool_run_refuse(run, run->server->full ? REASON_OVERLOADED :
						 REASON_DEADLINE);
}

static void on_timer(evutil_socket_t fd, short what, void *context)
{
	pool_run_t *run = context;

	switch (run->state) {
	case POOL_RUN_REFUSED:
		pool_run_refuse(run, run->refusal);
		return;
	case POOL_RUN_WAITING:
		pool_run_refuse(run, REASON_BEHIND);
		return;
	case POOL_RUN_QUEUED:
		expire_queued(run);
		return;
	case POOL_RUN_RUNNING:
		pool_run_abort(run, REASON_DEADLINE);
		return;
	case POOL_RUN_CONFIRMING:
		end_with_result(run, run->result.unconfirmed,
				REASON_UNCONFIRMED);
		return;
	}
}

/* Refuses the run once the call that submitted it has returned. */
static void refuse_later(pool_run_t *run, reason_t reason)
{
	run->state = POOL_RUN_REFUSED;
	run->refusal = reason;
	event_active(run->timer, EV_TIMEOUT, 0);
}

static const char *class_name(const pool_run_t *run)
{
	const config_service_t *service = run->server->service;

	if (!service || run->request->class_index >= service->classes_count)
		return "none";
	return service->classes[run->request->class_index].name;
}

static void record_wait(const pool_run_t *run)
{
	char labels[LABELS_SIZE];

	g_snprintf(labels, sizeof(labels), "tenant=\"%s\",class=\"%s\"",
		   run->request->tenant, class_name(run));
	metric_histogram_record(metrics_histogram(run->pool->metrics,
						  "toucanhook_queue_wait_us",
						  labels),
				run->started_us - run->queued_us);
}

static void start(pool_run_t *run, pool_connection_t *connection,
		  bool in_transaction)
{
	const exchange_connection_t connection_info = {
		.term = connection->term,
		.in_transaction = in_transaction,
	};

	run->state = POOL_RUN_RUNNING;
	run->connection = connection;
	run->started_us = clock_now_us();
	run->exchange = exchange_create(run->request, connection_info);
	record_wait(run);
	pool_connection_start(connection, run);
}

void pool_run_begin(pool_run_t *run, pool_connection_t *connection)
{
	start(run, connection, false);
}

static void enqueue(pool_run_t *run)
{
	pool_server_t *server = run->server;
	const config_service_t *service = server->service;
	const uint32_t index = run->request->class_index;
	admission_request_t admission_request = {
		.id = run->run_id,
		.tenant = run->request->tenant,
		.tenant_weight = 1,
		.class_index = index,
		.deadline_ms = run->deadline_ms,
	};

	if (index >= service->classes_count) {
		refuse_later(run, REASON_OVERLOADED);
		return;
	}
	admission_request.class_weight = service->classes[index].weight;
	admission_request.queue_limit = service->classes[index].queue_limit;
	run->state = POOL_RUN_QUEUED;
	if (admission_offer(server->admission, &admission_request,
			    server->share,
			    clock_now_ms()) != ADMISSION_QUEUED) {
		refuse_later(run, REASON_OVERLOADED);
		return;
	}
	pool_server_wake(server);
}

static void on_replayed(void *context, bool replayed)
{
	pool_run_t *run = run_handle_resolve(context);

	if (!run || run->state != POOL_RUN_WAITING)
		return;
	if (!replayed) {
		pool_run_refuse(run, REASON_BEHIND);
		return;
	}
	run->replayed = run->request->at_least;
	enqueue(run);
}

/* Queues the read once the replica is fresh enough and has replayed at_least.
 */
static void check_replica(pool_run_t *run)
{
	const pool_group_t *group = &run->pool->group;
	const request_t *request = run->request;
	const config_t *config = run->pool->config;
	const uint32_t catch_up_ms = config->limits.catch_up_ms ?
					     config->limits.catch_up_ms :
					     CATCH_UP_MS_DEFAULT;

	if (request->max_age_ms &&
	    !group->is_fresh(group->context, request->database, request->server,
			     request->max_age_ms)) {
		refuse_later(run, REASON_STALE);
		return;
	}
	run->replayed = group->replayed(group->context, request->database,
					request->server);
	if (log_point_covers(run->replayed, request->at_least)) {
		enqueue(run);
		return;
	}
	run->state = POOL_RUN_WAITING;
	group->wait_replayed(group->context, request->database, request->server,
			     request->at_least,
			     MIN(catch_up_ms, time_left_ms(run)), on_replayed,
			     run_handle_new(run));
}

static void start_on_lease(pool_run_t *run)
{
	pool_task_t *pool = run->pool;
	const request_t *request = run->request;
	uint64_t connection_id = 0;
	pool_connection_t *connection = NULL;

	if (lease_table_acquire(pool->leases, request->lease_id,
				request->session_id,
				&connection_id) != LEASE_ACQUIRED) {
		refuse_later(run, REASON_UNKNOWN_LEASE);
		return;
	}
	connection = g_hash_table_lookup(pool->connections, &connection_id);
	run->server = connection->server;
	start(run, connection, true);
}

/* @return why the server may not be used now, or REASON_NONE */
static reason_t check_server(const pool_server_t *server,
			     const request_t *request)
{
	if (!server || !server->share || !server->config)
		return REASON_NOT_OWNER;
	if (server->config->leaving)
		return REASON_LEAVING;
	/* Only a term proves that a change reaches the primary. */
	if (request->kind != REQUEST_READ && !request->term)
		return REASON_NOT_PRIMARY;
	if (server->unreachable && server->connections->len == 0 &&
	    clock_now_ms() < server->retry_at_ms)
		return REASON_UNREACHABLE;
	return REASON_NONE;
}

static void set_deadline(pool_run_t *run)
{
	const uint32_t timeout_ms = run->request->timeout_ms;
	const struct timeval timeout = {
		.tv_sec = timeout_ms / 1000,
		.tv_usec = (suseconds_t)(timeout_ms % 1000) * 1000,
	};

	run->deadline_ms = clock_now_ms() + timeout_ms;
	run->timer = evtimer_new(run->pool->base, on_timer, run);
	event_add(run->timer, &timeout);
}

static pool_run_t *run_new(pool_task_t *pool, const request_t *request,
			   answer_sink_t sink)
{
	pool_run_t *run = g_new0(pool_run_t, 1);

	run->pool = pool;
	run->run_id = ++pool->next_run_id;
	run->request = request_copy(request);
	run->sink = sink;
	run->queued_us = clock_now_us();
	set_deadline(run);
	g_hash_table_insert(pool->runs, &run->run_id, run);
	return run;
}

void pool_run_submit_refused(pool_task_t *pool, const request_t *request,
			     answer_sink_t sink, reason_t reason)
{
	refuse_later(run_new(pool, request, sink), reason);
}

void pool_run_submit(pool_task_t *pool, const request_t *request,
		     answer_sink_t sink)
{
	pool_run_t *run = run_new(pool, request, sink);
	reason_t reason;

	if (request->lease_id) {
		start_on_lease(run);
		return;
	}
	run->server =
		pool_find_server(pool, request->database, request->server);
	reason = check_server(run->server, request);
	if (reason != REASON_NONE)
		refuse_later(run, reason);
	else if (request->kind == REQUEST_READ && !request->term)
		check_replica(run);
	else
		enqueue(run);
}
