#include "load/worker.h"

#include <string.h>

#include "base/clock.h"
#include "load/operation.h"

#define RECONNECT_MS 20u
#define CONNECT_TIMEOUT_MS 10000u

static void on_socket(evutil_socket_t fd, short what, void *context);
static void worker_connect(worker_t *worker);

static void set_timer(worker_t *worker, uint32_t delay_ms)
{
	struct timeval wait = {.tv_sec = delay_ms / 1000,
			       .tv_usec = delay_ms % 1000 * 1000};

	event_add(worker->timer, &wait);
}

static void watch_socket(worker_t *worker, short what)
{
	if (worker->socket_event)
		event_free(worker->socket_event);
	worker->socket_event =
		event_new(worker->load->base, PQsocket(worker->connection),
			  what, on_socket, worker);
	event_add(worker->socket_event, NULL);
}

static void close_connection(worker_t *worker)
{
	if (worker->socket_event)
		event_free(worker->socket_event);
	worker->socket_event = NULL;
	if (worker->connection)
		PQfinish(worker->connection);
	worker->connection = NULL;
	worker->ready = false;
}

/*
 * Marks the worker as ready; a closed loop starts the next operation. A worker
 * that changes its target reconnects first.
 */
static void set_idle(worker_t *worker)
{
	load_t *load = worker->load;

	event_del(worker->timer);
	if (worker->change_target && !load->ending) {
		worker->change_target = false;
		worker->target++;
		close_connection(worker);
		set_timer(worker, 0);
		return;
	}
	worker->ready = true;
	if (worker->load->ending || load->options.rate_per_second)
		return;
	worker_start(worker, clock_now_us());
}

/* Copies the session's token if the server reported a new one. */
static void update_token(worker_t *worker)
{
	const char *token =
		PQparameterStatus(worker->connection, "toucanhook.token");

	if (!token || !g_strcmp0(token, worker->token))
		return;
	g_free(worker->token);
	worker->token = g_strdup(token);
}

static void send_step(worker_t *worker)
{
	const operation_t *operation = &worker->operation;
	const char *text = operation->step < operation->steps_count ?
				   operation->steps[operation->step] :
				   "ROLLBACK";

	if (worker->load->options.extended)
		PQsendQueryParams(worker->connection, text, 0, NULL, NULL, NULL,
				  NULL, 0);
	else
		PQsendQuery(worker->connection, text);
	while (PQflush(worker->connection) > 0)
		;
	watch_socket(worker, EV_READ | EV_PERSIST);
}

static void send_operation(worker_t *worker)
{
	worker->ready = false;
	worker->operation.step = 0;
	worker->operation.failed = false;
	worker->operation.code[0] = '\0';
	set_timer(worker, worker->load->options.timeout_ms);
	send_step(worker);
}

/* Evaluates a finished operation; sends it again or starts the next one. */
static void end_operation(worker_t *worker)
{
	operation_t *operation = &worker->operation;
	bool connecting = operation->kind == OPERATION_CONNECT;

	update_token(worker);
	if (operation_end(worker)) {
		send_operation(worker);
		return;
	}
	if (!connecting)
		worker->load->running_count--;
	if (worker->load->ending && !worker->load->running_count)
		event_base_loopbreak(worker->load->base);
	set_idle(worker);
}

/*
 * Handles a lost connection: ends the running operation, unless it is sent
 * again, and reconnects to the next target.
 */
static void handle_lost_connection(worker_t *worker)
{
	operation_t *operation = &worker->operation;
	bool running = operation->kind != OPERATION_NONE;
	bool connecting = operation->kind == OPERATION_CONNECT;

	if (running && !connecting) {
		/* The server may have sent an error before it closed. */
		if (!operation->failed)
			operation->code[0] = '\0';
		operation->failed = true;
		if (operation_end(worker)) {
			close_connection(worker);
			worker->target++;
			set_timer(worker, RECONNECT_MS);
			return;
		}
		worker->load->running_count--;
	}
	if (connecting)
		operation_clear(operation);
	close_connection(worker);
	worker->target++;
	if (worker->load->ending && !worker->load->running_count)
		event_base_loopbreak(worker->load->base);
	set_timer(worker, RECONNECT_MS);
}

static void record_result(worker_t *worker, PGresult *result)
{
	operation_t *operation = &worker->operation;
	ExecStatusType status = PQresultStatus(result);

	if (status == PGRES_FATAL_ERROR && !operation->failed) {
		operation->failed = true;
		g_strlcpy(operation->code,
			  PQresultErrorField(result, PG_DIAG_SQLSTATE) ?: "",
			  sizeof(operation->code));
	}
	if (status == PGRES_TUPLES_OK && PQntuples(result)) {
		operation->row_found = true;
		operation->value =
			g_ascii_strtoull(PQgetvalue(result, 0, 0), NULL, 10);
	}
	PQclear(result);
}

/*
 * Sends the next statement after all results of one arrived. Rolls back a
 * failed transaction.
 */
static void end_step(worker_t *worker)
{
	operation_t *operation = &worker->operation;

	if (!operation->failed &&
	    operation->step + 1 < operation->steps_count) {
		operation->step++;
		send_step(worker);
		return;
	}
	if (operation->failed && operation->step < operation->steps_count &&
	    PQtransactionStatus(worker->connection) != PQTRANS_IDLE) {
		operation->step = operation->steps_count;
		send_step(worker);
		return;
	}
	end_operation(worker);
}

static void read_results(worker_t *worker)
{
	PGresult *result;

	if (!PQconsumeInput(worker->connection)) {
		handle_lost_connection(worker);
		return;
	}
	while (!PQisBusy(worker->connection)) {
		result = PQgetResult(worker->connection);
		if (result) {
			record_result(worker, result);
			continue;
		}
		if (PQstatus(worker->connection) == CONNECTION_BAD)
			handle_lost_connection(worker);
		else if (worker->operation.kind != OPERATION_NONE)
			end_step(worker);
		return;
	}
}

static void continue_connecting(worker_t *worker)
{
	switch (PQconnectPoll(worker->connection)) {
	case PGRES_POLLING_READING:
		watch_socket(worker, EV_READ);
		return;
	case PGRES_POLLING_WRITING:
		watch_socket(worker, EV_WRITE);
		return;
	case PGRES_POLLING_OK:
		worker->load->results.connects++;
		PQsetnonblocking(worker->connection, 1);
		operation_connect(worker);
		send_operation(worker);
		return;
	default:
		operation_count_code(worker->load, "connect");
		handle_lost_connection(worker);
	}
}

static void on_socket(evutil_socket_t fd, short what, void *context)
{
	worker_t *worker = context;

	if (PQstatus(worker->connection) == CONNECTION_OK)
		read_results(worker);
	else
		continue_connecting(worker);
}

static void on_timer(evutil_socket_t fd, short what, void *context)
{
	worker_t *worker = context;

	if (!worker->connection) {
		worker_connect(worker);
		return;
	}
	if (worker->operation.kind != OPERATION_NONE)
		operation_count_code(worker->load, "timeout");
	handle_lost_connection(worker);
}

static void worker_connect(worker_t *worker)
{
	const load_options_t *options = &worker->load->options;

	worker->target %= worker->is_reader ? options->replicas_count :
					      options->targets_count;
	worker->connection = PQconnectStart(
		worker->is_reader ? options->replicas[worker->target] :
				    options->targets[worker->target]);
	set_timer(worker, CONNECT_TIMEOUT_MS);
	if (PQstatus(worker->connection) == CONNECTION_BAD) {
		handle_lost_connection(worker);
		return;
	}
	watch_socket(worker, EV_WRITE);
}

void worker_open(worker_t *worker, load_t *load, uint32_t index,
		 worker_t *reader)
{
	worker->load = load;
	worker->index = index;
	worker->target = index;
	worker->timer = event_new(load->base, -1, 0, on_timer, worker);
	worker->reader = reader;
	if (reader) {
		reader->is_reader = true;
		worker_open(reader, load, index, NULL);
	}
	worker_connect(worker);
}

void worker_close(worker_t *worker)
{
	if (worker->reader)
		worker_close(worker->reader);
	close_connection(worker);
	event_free(worker->timer);
	operation_clear(&worker->operation);
	g_free(worker->token);
}

bool worker_ready(const worker_t *worker)
{
	return worker->ready && (!worker->reader || worker->reader->ready);
}

void worker_start(worker_t *worker, uint64_t due_us)
{
	worker_t *reader = worker->reader;

	worker->load->running_count++;
	operation_choose(worker, due_us);
	if (worker->operation.kind == OPERATION_WRITE || !reader ||
	    clock_now_us() < worker->reader_from_us) {
		send_operation(worker);
		return;
	}
	reader->operation = worker->operation;
	worker->operation = (operation_t){0};
	send_operation(reader);
}
