#include "daemon/group_private.h"

#include <glib.h>
#include <string.h>

#include "base/clock.h"

/** Time to wait for an owner's answer before trying the next owner. */
#define REQUEST_RETRY_MS 150

/** Delay before the next attempt while the server has no known owner. */
#define REQUEST_NO_OWNER_RETRY_MS 50

/** Maximum number of owners to try for one server. */
#define REQUEST_OWNER_LIMIT 8

/** Maximum wait that a peer may request. */
#define REQUEST_WAIT_MS_MAX 1000

typedef struct {
	uint64_t id;
	group_server_t *server;
	group_operation_t operation;
	char primary[GROUP_SERVER_NAME_SIZE];
	group_operation_done_t done;
	void *context;
	uint64_t deadline_ms;
	uint64_t next_try_ms;
	uint32_t tries;
	uint32_t failures; /**< attempts that reported a failure */
	bool may_have_run; /**< an attempt may have taken effect */
} group_request_t;

/** An attempt at an owned server; the request may have ended before it. */
typedef struct {
	group_requests_t *requests;
	uint64_t id;
} request_attempt_t;

/** An operation that runs for a peer. */
typedef struct {
	group_task_t *task;
	char *from;
	group_note_t answer;
} served_operation_t;

struct group_requests {
	group_task_t *task;
	GHashTable *open; /**< maps an id to a group_request_t */
};

group_requests_t *group_requests_create(group_task_t *task)
{
	group_requests_t *requests = g_new0(group_requests_t, 1);

	requests->task = task;
	requests->open = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					       NULL, g_free);
	return requests;
}

void group_requests_destroy(group_requests_t *requests)
{
	g_hash_table_destroy(requests->open);
	g_free(requests);
}

static void request_end(group_requests_t *requests, group_request_t *request,
			server_result_t result, const server_status_t *status)
{
	const bool failed =
		result == SERVER_UNREACHABLE || result == SERVER_NOT_OWNED;

	g_hash_table_steal(requests->open, &request->id);
	request->done(request->context,
		      failed && request->may_have_run ? SERVER_UNKNOWN : result,
		      status);
	g_free(request);
}

static bool run_locally(const group_server_t *server,
			const group_operation_t *operation,
			group_operation_done_t done, void *context)
{
	backend_control_request_t request = {
		.operation = operation->operation,
		.term = operation->term,
	};
	const config_server_t *primary = NULL;
	config_lookup_t place;

	if (operation->operation == SERVER_STATUS) {
		group_watch_wait(server->watch, GROUP_WAIT_HELD,
				 operation->point, operation->wait_ms, done,
				 context);
		return true;
	}
	if (operation->operation == SERVER_FOLLOW) {
		const group_database_t *database = server->database;

		if (config_find_database(database->task->config, database->name,
					 &place))
			primary = config_find_server(place.database,
						     operation->primary);
		if (!primary)
			return false;
		request.primary_address = primary->address;
		request.primary_port = primary->port;
	}
	group_watch_run(server->watch, &request, done, context);
	return true;
}

static void request_try_next(group_requests_t *requests,
			     group_request_t *request);

static void request_handle_result(group_requests_t *requests, uint64_t id,
				  server_result_t result,
				  const server_status_t *status)
{
	group_request_t *request = g_hash_table_lookup(requests->open, &id);

	if (!request)
		return;
	if (result == SERVER_OK || result == SERVER_REFUSED) {
		request_end(requests, request, result, status);
		return;
	}
	request->failures++;
	if (result == SERVER_UNKNOWN)
		request->may_have_run = true;
	request_try_next(requests, request);
}

static void on_attempt(void *context, server_result_t result,
		       const server_status_t *status)
{
	request_attempt_t *attempt = context;

	if (!attempt->requests->task->ending)
		request_handle_result(attempt->requests, attempt->id, result,
				      status);
	g_free(attempt);
}

static void request_run_here(group_requests_t *requests,
			     group_request_t *request)
{
	request_attempt_t *attempt = g_new0(request_attempt_t, 1);

	attempt->requests = requests;
	attempt->id = request->id;
	request->next_try_ms += GROUP_SERVER_TIMEOUT_MS;
	if (!run_locally(request->server, &request->operation, on_attempt,
			 attempt))
		g_free(attempt);
}

static void request_send(group_requests_t *requests,
			 const group_request_t *request, const char *node)
{
	const group_operation_t *operation = &request->operation;
	group_note_t note = {
		.kind = GROUP_NOTE_REQUEST,
		.id = request->id,
		.operation = operation->operation,
		.term = operation->term,
		.point = operation->point,
		.timeout_ms = operation->wait_ms,
	};

	/*
	 * The receiver announces its term if it knows a newer one. An order to
	 * follow carries the newest term already.
	 */
	if (operation->operation == SERVER_STATUS)
		note.term = request->server->database->term;
	g_strlcpy(note.database, request->server->database->name,
		  sizeof(note.database));
	g_strlcpy(note.server, request->server->name, sizeof(note.server));
	g_strlcpy(note.primary, request->primary, sizeof(note.primary));
	group_task_send(requests->task, node, &note);
}

/* Lists the owners but this node, whose own watch is tried first. */
static uint32_t other_owners(const group_task_t *task,
			     const group_server_t *server, const char **nodes)
{
	uint32_t count = task->handlers.owners(
		task->handlers.context, server->database->name, server->name,
		nodes, REQUEST_OWNER_LIMIT);
	uint32_t kept = 0;

	for (uint32_t i = 0; i < count; i++)
		if (strcmp(nodes[i], task->node))
			nodes[kept++] = nodes[i];
	return kept;
}

static void request_try_next(group_requests_t *requests,
			     group_request_t *request)
{
	const char *nodes[REQUEST_OWNER_LIMIT];
	const uint32_t others =
		other_owners(requests->task, request->server, nodes);
	const uint32_t owned_here = request->server->watch ? 1 : 0;
	const uint64_t now_ms = clock_now_ms();
	uint32_t turn;

	request->next_try_ms = now_ms + REQUEST_NO_OWNER_RETRY_MS;
	if (others + owned_here == 0)
		return;
	if (request->failures >= others + owned_here) {
		request->deadline_ms = MIN(request->deadline_ms, now_ms);
		return;
	}
	request->next_try_ms =
		now_ms + request->operation.wait_ms + REQUEST_RETRY_MS;
	turn = request->tries++ % (others + owned_here);
	if (owned_here && !turn)
		request_run_here(requests, request);
	else
		request_send(requests, request, nodes[turn - owned_here]);
}

void group_requests_start(group_requests_t *requests, group_server_t *server,
			  const group_operation_t *operation,
			  group_operation_done_t done, void *context)
{
	group_request_t *request = g_new0(group_request_t, 1);

	request->id = requests->task->next_id++;
	request->server = server;
	request->operation = *operation;
	if (operation->primary)
		g_strlcpy(request->primary, operation->primary,
			  sizeof(request->primary));
	request->operation.primary = request->primary;
	request->done = done;
	request->context = context;
	request->deadline_ms = clock_now_ms() + operation->timeout_ms;
	g_hash_table_insert(requests->open, &request->id, request);
	request_try_next(requests, request);
}

static void on_served(void *context, server_result_t result,
		      const server_status_t *status)
{
	served_operation_t *served = context;

	served->answer.result = result;
	served->answer.has_status = status != NULL;
	if (status)
		served->answer.status = *status;
	if (!served->task->ending)
		group_task_send(served->task, served->from, &served->answer);
	g_free(served->from);
	g_free(served);
}

void group_requests_serve(group_requests_t *requests, const char *from,
			  const group_note_t *note)
{
	group_database_t *database =
		g_hash_table_lookup(requests->task->databases, note->database);
	const group_server_t *server =
		database ? group_database_server(database, note->server) : NULL;
	const group_operation_t operation = {
		.operation = note->operation,
		.term = note->term,
		.point = note->point,
		.wait_ms = MIN(note->timeout_ms, REQUEST_WAIT_MS_MAX),
		.primary = note->primary,
	};
	served_operation_t *served = g_new0(served_operation_t, 1);

	served->task = requests->task;
	served->from = g_strdup(from);
	served->answer.kind = GROUP_NOTE_ANSWER;
	served->answer.id = note->id;
	served->answer.operation = note->operation;
	g_strlcpy(served->answer.database, note->database,
		  sizeof(served->answer.database));
	g_strlcpy(served->answer.server, note->server,
		  sizeof(served->answer.server));
	if (!server || !server->watch ||
	    !run_locally(server, &operation, on_served, served))
		on_served(served, SERVER_NOT_OWNED, NULL);
}

void group_requests_handle_answer(group_requests_t *requests,
				  const group_note_t *note)
{
	const group_request_t *request =
		g_hash_table_lookup(requests->open, &note->id);

	if (!request || strcmp(request->server->name, note->server) ||
	    strcmp(request->server->database->name, note->database))
		return;
	request_handle_result(requests, note->id, note->result,
			      note->has_status ? &note->status : NULL);
}

static GPtrArray *requests_list(group_requests_t *requests)
{
	GPtrArray *list = g_ptr_array_new();
	GHashTableIter iter;
	gpointer request;

	g_hash_table_iter_init(&iter, requests->open);
	while (g_hash_table_iter_next(&iter, NULL, &request))
		g_ptr_array_add(list, request);
	return list;
}

void group_requests_step(group_requests_t *requests, uint64_t now_ms)
{
	g_autoptr(GPtrArray) list = requests_list(requests);

	for (guint i = 0; i < list->len; i++) {
		group_request_t *request = list->pdata[i];
		const bool reached = request->failures > 0;

		if (now_ms >= request->deadline_ms) {
			request_end(requests, request,
				    reached ? SERVER_UNREACHABLE :
					      SERVER_UNKNOWN,
				    NULL);
		} else if (now_ms >= request->next_try_ms) {
			request->may_have_run = true;
			request_try_next(requests, request);
		}
	}
}

void group_requests_forget(group_requests_t *requests,
			   const group_database_t *database)
{
	g_autoptr(GPtrArray) list = requests_list(requests);

	for (guint i = 0; i < list->len; i++) {
		group_request_t *request = list->pdata[i];

		if (request->server->database == database)
			request_end(requests, request, SERVER_UNKNOWN, NULL);
	}
}
