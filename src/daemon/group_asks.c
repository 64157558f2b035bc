#include "daemon/group_private.h"

#include <glib.h>
#include <string.h>

#include "base/clock.h"

/** Time to wait for an owner's answer before trying the next owner. */
#define ASK_RETRY_MS 150

/** Delay before the next attempt while the server has no known owner. */
#define ASK_PAUSE_MS 50

/** Maximum number of owners to try for one server. */
#define ASK_OWNER_LIMIT 8

/** Maximum wait that a peer may request. */
#define ASK_WAIT_MS_MAX 1000

typedef struct {
	uint64_t id;
	group_server_t *server;
	group_operation_t operation;
	char primary[GROUP_SERVER_NAME_SIZE];
	group_answer_t done;
	void *context;
	uint64_t deadline_ms;
	uint64_t next_try_ms;
	uint32_t tries;
	uint32_t refusals; /**< attempts that reported a failure */
	bool maybe_run;	   /**< an attempt may have taken effect */
} group_ask_t;

/** An attempt at an owned server; the request may have ended before it. */
typedef struct {
	group_asks_t *asks;
	uint64_t id;
} ask_attempt_t;

/** An operation that runs for a peer. */
typedef struct {
	group_task_t *task;
	char *from;
	group_note_t answer;
} ask_served_t;

struct group_asks {
	group_task_t *task;
	GHashTable *open; /**< maps an id to a group_ask_t */
};

group_asks_t *group_asks_create(group_task_t *task)
{
	group_asks_t *asks = g_new0(group_asks_t, 1);

	asks->task = task;
	asks->open = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					   g_free);
	return asks;
}

void group_asks_destroy(group_asks_t *asks)
{
	g_hash_table_destroy(asks->open);
	g_free(asks);
}

static void ask_end(group_asks_t *asks, group_ask_t *ask,
		    server_result_t result, const server_status_t *status)
{
	const bool failed =
		result == SERVER_UNREACHABLE || result == SERVER_NOT_OWNED;

	g_hash_table_steal(asks->open, &ask->id);
	ask->done(ask->context,
		  failed && ask->maybe_run ? SERVER_UNKNOWN : result, status);
	g_free(ask);
}

static bool run_locally(const group_server_t *server,
			const group_operation_t *operation, group_answer_t done,
			void *context)
{
	backend_control_ask_t ask = {
		.operation = operation->operation,
		.term = operation->term,
	};
	const config_server_t *primary = NULL;
	config_place_t place;

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
		ask.primary_address = primary->address;
		ask.primary_port = primary->port;
	}
	group_watch_run(server->watch, &ask, done, context);
	return true;
}

static void ask_try(group_asks_t *asks, group_ask_t *ask);

static void ask_result(group_asks_t *asks, uint64_t id, server_result_t result,
		       const server_status_t *status)
{
	group_ask_t *ask = g_hash_table_lookup(asks->open, &id);

	if (!ask)
		return;
	if (result == SERVER_OK || result == SERVER_REFUSED) {
		ask_end(asks, ask, result, status);
		return;
	}
	ask->refusals++;
	if (result == SERVER_UNKNOWN)
		ask->maybe_run = true;
	ask_try(asks, ask);
}

static void on_attempt(void *context, server_result_t result,
		       const server_status_t *status)
{
	ask_attempt_t *attempt = context;

	if (!attempt->asks->task->ending)
		ask_result(attempt->asks, attempt->id, result, status);
	g_free(attempt);
}

static void ask_here(group_asks_t *asks, group_ask_t *ask)
{
	ask_attempt_t *attempt = g_new0(ask_attempt_t, 1);

	attempt->asks = asks;
	attempt->id = ask->id;
	ask->next_try_ms += GROUP_SERVER_TIMEOUT_MS;
	if (!run_locally(ask->server, &ask->operation, on_attempt, attempt))
		g_free(attempt);
}

static void ask_send(group_asks_t *asks, const group_ask_t *ask,
		     const char *node)
{
	const group_operation_t *operation = &ask->operation;
	group_note_t note = {
		.kind = GROUP_NOTE_ASK,
		.id = ask->id,
		.operation = operation->operation,
		.term = operation->term,
		.point = operation->point,
		.timeout_ms = operation->wait_ms,
	};

	/* The receiver announces its term if it knows a newer one. */
	if (operation->operation == SERVER_STATUS)
		note.term = ask->server->database->term;
	g_strlcpy(note.database, ask->server->database->name,
		  sizeof(note.database));
	g_strlcpy(note.server, ask->server->name, sizeof(note.server));
	g_strlcpy(note.primary, ask->primary, sizeof(note.primary));
	group_task_send(asks->task, node, &note);
}

/* Lists the other owners; a watch of this node is always tried first. */
static uint32_t other_owners(const group_task_t *task,
			     const group_server_t *server, const char **nodes)
{
	uint32_t count = task->handlers.owners(
		task->handlers.context, server->database->name, server->name,
		nodes, ASK_OWNER_LIMIT);
	uint32_t kept = 0;

	for (uint32_t i = 0; i < count; i++)
		if (strcmp(nodes[i], task->node))
			nodes[kept++] = nodes[i];
	return kept;
}

static void ask_try(group_asks_t *asks, group_ask_t *ask)
{
	const char *nodes[ASK_OWNER_LIMIT];
	const uint32_t others = other_owners(asks->task, ask->server, nodes);
	const uint32_t here = ask->server->watch ? 1 : 0;
	const uint64_t now_ms = clock_now_ms();
	uint32_t turn;

	ask->next_try_ms = now_ms + ASK_PAUSE_MS;
	if (others + here == 0)
		return;
	if (ask->refusals >= others + here) {
		ask->deadline_ms = MIN(ask->deadline_ms, now_ms);
		return;
	}
	ask->next_try_ms = now_ms + ask->operation.wait_ms + ASK_RETRY_MS;
	turn = ask->tries++ % (others + here);
	if (here && !turn)
		ask_here(asks, ask);
	else
		ask_send(asks, ask, nodes[turn - here]);
}

void group_asks_start(group_asks_t *asks, group_server_t *server,
		      const group_operation_t *operation, group_answer_t done,
		      void *context)
{
	group_ask_t *ask = g_new0(group_ask_t, 1);

	ask->id = asks->task->next_id++;
	ask->server = server;
	ask->operation = *operation;
	if (operation->primary)
		g_strlcpy(ask->primary, operation->primary,
			  sizeof(ask->primary));
	ask->operation.primary = ask->primary;
	ask->done = done;
	ask->context = context;
	ask->deadline_ms = clock_now_ms() + operation->timeout_ms;
	g_hash_table_insert(asks->open, &ask->id, ask);
	ask_try(asks, ask);
}

static void on_served(void *context, server_result_t result,
		      const server_status_t *status)
{
	ask_served_t *served = context;

	served->answer.result = result;
	served->answer.has_status = status != NULL;
	if (status)
		served->answer.status = *status;
	if (!served->task->ending)
		group_task_send(served->task, served->from, &served->answer);
	g_free(served->from);
	g_free(served);
}

void group_asks_serve(group_asks_t *asks, const char *from,
		      const group_note_t *note)
{
	group_database_t *database =
		g_hash_table_lookup(asks->task->databases, note->database);
	const group_server_t *server =
		database ? group_database_server(database, note->server) : NULL;
	const group_operation_t operation = {
		.operation = note->operation,
		.term = note->term,
		.point = note->point,
		.wait_ms = MIN(note->timeout_ms, ASK_WAIT_MS_MAX),
		.primary = note->primary,
	};
	ask_served_t *served = g_new0(ask_served_t, 1);

	served->task = asks->task;
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

void group_asks_answered(group_asks_t *asks, const group_note_t *note)
{
	const group_ask_t *ask = g_hash_table_lookup(asks->open, &note->id);

	if (!ask || strcmp(ask->server->name, note->server) ||
	    strcmp(ask->server->database->name, note->database))
		return;
	ask_result(asks, note->id, note->result,
		   note->has_status ? &note->status : NULL);
}

static GPtrArray *asks_list(group_asks_t *asks)
{
	GPtrArray *list = g_ptr_array_new();
	GHashTableIter iter;
	gpointer ask;

	g_hash_table_iter_init(&iter, asks->open);
	while (g_hash_table_iter_next(&iter, NULL, &ask))
		g_ptr_array_add(list, ask);
	return list;
}

void group_asks_step(group_asks_t *asks, uint64_t now_ms)
{
	g_autoptr(GPtrArray) list = asks_list(asks);

	for (guint i = 0; i < list->len; i++) {
		group_ask_t *ask = list->pdata[i];
		const bool reached = ask->refusals > 0;

		if (now_ms >= ask->deadline_ms) {
			ask_end(asks, ask,
				reached ? SERVER_UNREACHABLE : SERVER_UNKNOWN,
				NULL);
		} else if (now_ms >= ask->next_try_ms) {
			ask->maybe_run = true;
			ask_try(asks, ask);
		}
	}
}

void group_asks_forget(group_asks_t *asks, const group_database_t *database)
{
	g_autoptr(GPtrArray) list = asks_list(asks);

	for (guint i = 0; i < list->len; i++) {
		group_ask_t *ask = list->pdata[i];

		if (ask->server->database == database)
			ask_end(asks, ask, SERVER_UNKNOWN, NULL);
	}
}
