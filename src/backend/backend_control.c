#include "backend/backend_control.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <postgresql/libpq-fe.h>

#include "base/clock.h"
#include "base/log.h"

/** Maximum number of operations that wait for one server. */
#define CONTROL_QUEUE_LIMIT 256

/** Minimum and maximum delay between two attempts to connect. */
#define CONTROL_BACKOFF_MIN_MS 20
#define CONTROL_BACKOFF_MAX_MS 320

#define CONTROL_STATEMENT_SIZE 256

typedef struct {
	char statement[CONTROL_STATEMENT_SIZE];
	server_operation_t operation;
	backend_control_done_t done;
	void *context;
	uint64_t sent_at_ms;	/**< 0 until the statement is sent */
	server_result_t failed; /**< result if rejected unsent, or SERVER_OK */
} control_entry_t;

struct backend_control {
	struct event_base *base;
	char *address;
	char *database;
	char *user;
	uint16_t port;
	uint32_t timeout_ms;
	PGconn *connection; /* NULL while closed */
	bool connected;	    /* the connection accepts statements */
	struct event *socket;
	struct event *timeout;	  /* ends an overdue connect or statement */
	struct event *wake;	  /* runs control_step() from the loop */
	GQueue *queue;		  /* control_entry_t, not sent yet */
	control_entry_t *running; /* operation that was sent, or NULL */
	void (*on_connection_failure)(void *context);
	void *context;
	uint32_t backoff_ms;  /* delay after the next failure */
	uint64_t retry_at_ms; /* earliest time of the next connect */
};

static void control_step(backend_control_t *control);

static void entry_end(control_entry_t *entry, server_result_t result,
		      const server_status_t *status)
{
	entry->done(entry->context, result, status, entry->sent_at_ms);
	g_free(entry);
}

static void control_close(backend_control_t *control)
{
	g_clear_pointer(&control->socket, event_free);
	g_clear_pointer(&control->connection, PQfinish);
	control->connected = false;
	event_del(control->timeout);
}

static void control_backoff(backend_control_t *control)
{
	control->retry_at_ms = clock_now_ms() + control->backoff_ms;
	control->backoff_ms =
		MIN(control->backoff_ms * 2, CONTROL_BACKOFF_MAX_MS);
}

/* Ends the waiting operations. They were not sent, so they did not run. */
static void control_end_waiting(backend_control_t *control)
{
	GQueue waiting = *control->queue;
	control_entry_t *entry;

	g_queue_init(control->queue);
	while ((entry = g_queue_pop_head(&waiting)))
		entry_end(entry, SERVER_UNREACHABLE, NULL);
}

/* Closes the connection. The running operation may have taken effect. */
static void control_fail(backend_control_t *control)
{
	control_entry_t *running = g_steal_pointer(&control->running);
	const bool idle = control->connected && !running;

	control_close(control);
	control_backoff(control);
	if (running)
		entry_end(running, SERVER_UNKNOWN, NULL);
	control_end_waiting(control);
	if (idle && control->on_connection_failure)
		control->on_connection_failure(control->context);
}

static void on_timeout(evutil_socket_t fd, short events, void *context)
{
	control_fail(context);
}

static void on_wake(evutil_socket_t fd, short events, void *context)
{
	control_step(context);
}

static void on_socket(evutil_socket_t fd, short events, void *context)
{
	control_step(context);
}

static void control_watch_socket(backend_control_t *control, short events)
{
	g_clear_pointer(&control->socket, event_free);
	control->socket =
		event_new(control->base, PQsocket(control->connection), events,
			  on_socket, control);
	event_add(control->socket, NULL);
}

static void control_start_timeout(backend_control_t *control)
{
	const struct timeval wait = clock_timeval(control->timeout_ms);

	event_add(control->timeout, &wait);
}

static void control_connect(backend_control_t *control)
{
	char port[8];
	const char *const keys[] = {
		"hostaddr", "port",	  "dbname",	      "user",
		"sslmode",  "gssencmode", "application_name", NULL};
	const char *const values[] = {
		control->address,     port,	 control->database,
		control->user,	      "disable", "disable",
		"toucanhook_control", NULL};

	snprintf(port, sizeof(port), "%u", control->port);
	control->connection = PQconnectStartParams(keys, values, 0);
	if (!control->connection ||
	    PQstatus(control->connection) == CONNECTION_BAD) {
		control_fail(control);
		return;
	}
	PQsetnonblocking(control->connection, 1);
	control_start_timeout(control);
	control_watch_socket(control, EV_WRITE);
}

static void control_poll_connect(backend_control_t *control)
{
	switch (PQconnectPoll(control->connection)) {
	case PGRES_POLLING_READING:
		control_watch_socket(control, EV_READ);
		return;
	case PGRES_POLLING_WRITING:
		control_watch_socket(control, EV_WRITE);
		return;
	case PGRES_POLLING_OK:
		break;
	default:
		control_fail(control);
		return;
	}
	event_del(control->timeout);
	control->connected = true;
	control->backoff_ms = CONTROL_BACKOFF_MIN_MS;
	control_watch_socket(control, EV_READ | EV_PERSIST);
	event_active(control->wake, 0, 0);
}

static bool control_send_next(backend_control_t *control)
{
	control_entry_t *entry = g_queue_pop_head(control->queue);

	if (!entry)
		return true;
	control->running = entry;
	entry->sent_at_ms = clock_now_ms();
	if (!PQsendQuery(control->connection, entry->statement) ||
	    PQflush(control->connection) < 0)
		return false;
	control_start_timeout(control);
	return true;
}

static bool result_number(const PGresult *result, const char *name,
			  uint64_t *number)
{
	const int column = PQfnumber(result, name);
	const char *text;
	char *end;

	if (column < 0 || PQgetisnull(result, 0, column))
		return false;
	text = PQgetvalue(result, 0, column);
	if (!g_ascii_isdigit(*text))
		return false;
	*number = g_ascii_strtoull(text, &end, 10);
	return !*end;
}

static bool result_role(const PGresult *result, server_role_t *role)
{
	const int column = PQfnumber(result, "role");
	const char *text;

	if (column < 0)
		return false;
	text = PQgetvalue(result, 0, column);
	*role = strcmp(text, "primary") ? SERVER_REPLICA : SERVER_PRIMARY;
	return *role == SERVER_PRIMARY || !strcmp(text, "replica");
}

static bool result_status(const PGresult *result, server_status_t *status)
{
	uint64_t age_ms;

	*status = (server_status_t){0};
	if (PQntuples(result) != 1 || !result_role(result, &status->role) ||
	    !result_number(result, "term", &status->term) ||
	    !result_number(result, "fence", &status->fence) ||
	    !result_number(result, "last_term", &status->last.term) ||
	    !result_number(result, "position", &status->last.position) ||
	    !result_number(result, "replay_term", &status->replayed.term) ||
	    !result_number(result, "replay_position",
			   &status->replayed.position) ||
	    !result_number(result, "upstream_age_ms", &age_ms))
		return false;
	status->upstream_age_ms = (uint32_t)MIN(age_ms, UINT32_MAX);
	return true;
}

/* Only a SQLSTATE of the group's functions proves that nothing ran. */
static bool result_is_refusal(const PGresult *result)
{
	const char *code = PQresultErrorField(result, PG_DIAG_SQLSTATE);

	return code && g_str_has_prefix(code, "TH0");
}

/* @return false if the connection cannot be used any longer */
static bool control_handle_result(backend_control_t *control, PGresult *result)
{
	control_entry_t *entry = control->running;
	server_status_t status;
	const ExecStatusType kind = PQresultStatus(result);

	if (!entry || (kind != PGRES_TUPLES_OK && kind != PGRES_FATAL_ERROR))
		return false;
	if (kind == PGRES_FATAL_ERROR) {
		if (!result_is_refusal(result))
			return false;
		control->running = NULL;
		entry_end(entry, SERVER_REFUSED, NULL);
		return true;
	}
	if (!result_status(result, &status)) {
		log_event(LOG_LEVEL_WARNING, "backend_status_invalid",
			  "server_address=%s port=%u", control->address,
			  control->port);
		return false;
	}
	control->running = NULL;
	entry_end(entry, SERVER_OK, &status);
	return true;
}

/* @return false if the connection cannot be used any longer */
static bool control_read(backend_control_t *control)
{
	if (PQflush(control->connection) < 0 ||
	    !PQconsumeInput(control->connection))
		return false;
	while (!PQisBusy(control->connection)) {
		PGresult *result = PQgetResult(control->connection);
		bool usable;

		if (!result)
			break;
		usable = control_handle_result(control, result);
		PQclear(result);
		if (!usable)
			return false;
	}
	if (!control->running)
		event_del(control->timeout);
	return PQstatus(control->connection) == CONNECTION_OK;
}

static void control_end_rejected(backend_control_t *control)
{
	for (GList *link = control->queue->head; link;) {
		GList *next = link->next;
		control_entry_t *entry = link->data;

		if (entry->failed != SERVER_OK) {
			g_queue_delete_link(control->queue, link);
			entry_end(entry, entry->failed, NULL);
			next = control->queue->head;
		}
		link = next;
	}
}

static void control_step(backend_control_t *control)
{
	control_end_rejected(control);
	if (!control->connection) {
		if (g_queue_is_empty(control->queue))
			return;
		/* A new operation must not delay the next attempt. */
		if (clock_now_ms() < control->retry_at_ms) {
			control_end_waiting(control);
			return;
		}
		control_connect(control);
		return;
	}
	if (!control->connected) {
		control_poll_connect(control);
		return;
	}
	if (!control_read(control)) {
		control_fail(control);
		return;
	}
	if (!control->running &&
	    PQtransactionStatus(control->connection) == PQTRANS_IDLE &&
	    !control_send_next(control))
		control_fail(control);
}

backend_control_t *
backend_control_create(struct event_base *base,
		       const backend_control_params_t *params)
{
	backend_control_t *control = g_new0(backend_control_t, 1);

	control->base = base;
	control->address = g_strdup(params->address);
	control->port = params->port;
	control->database = g_strdup(params->database);
	control->user = g_strdup(params->user);
	control->timeout_ms = params->timeout_ms;
	control->on_connection_failure = params->on_connection_failure;
	control->context = params->context;
	control->backoff_ms = CONTROL_BACKOFF_MIN_MS;
	control->queue = g_queue_new();
	control->timeout = evtimer_new(base, on_timeout, control);
	control->wake = event_new(base, -1, 0, on_wake, control);
	return control;
}

void backend_control_destroy(backend_control_t *control)
{
	if (!control)
		return;
	control->on_connection_failure = NULL;
	control_fail(control);
	g_queue_free_full(control->queue, g_free);
	event_free(control->timeout);
	event_free(control->wake);
	g_free(control->address);
	g_free(control->database);
	g_free(control->user);
	g_free(control);
}

static void statement_write(const backend_control_request_t *request,
			    char *statement)
{
	switch (request->operation) {
	case SERVER_FENCE:
	case SERVER_PROMOTE:
		snprintf(statement, CONTROL_STATEMENT_SIZE,
			 "SELECT * FROM group_%s('%" PRIu64 "')",
			 server_operation_name(request->operation),
			 request->term);
		return;
	case SERVER_FOLLOW:
		snprintf(statement, CONTROL_STATEMENT_SIZE,
			 "SELECT * FROM group_follow('%" PRIu64
			 "', '%.45s', '%u')",
			 request->term, request->primary_address,
			 request->primary_port);
		return;
	default:
		g_strlcpy(statement, "SELECT * FROM group_status()",
			  CONTROL_STATEMENT_SIZE);
	}
}

void backend_control_submit(backend_control_t *control,
			    const backend_control_request_t *request,
			    backend_control_done_t done, void *context)
{
	control_entry_t *entry = g_new0(control_entry_t, 1);

	entry->operation = request->operation;
	entry->done = done;
	entry->context = context;
	statement_write(request, entry->statement);
	if (g_queue_get_length(control->queue) >= CONTROL_QUEUE_LIMIT)
		entry->failed = SERVER_UNREACHABLE;
	g_queue_push_tail(control->queue, entry);
	event_active(control->wake, 0, 0);
}
