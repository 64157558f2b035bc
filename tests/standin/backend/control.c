#include "standin/backend/server.h"

#include <stdlib.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/log.h"
#include "standin/backend/stream.h"
#include "standin/common/http.h"

/** Delay of a fault, in which the answer to the request is sent. */
#define FAULT_DELAY_MS 20

typedef struct {
	server_t *server;
	uint64_t freeze_ms;
} fault_t;

static json_t *state_counts(const server_t *server)
{
	const server_counts_t *counts = &server->counts;

	return json_pack(
		"{s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I}", "connections_open",
		(json_int_t)counts->connections_open, "connections_highest",
		(json_int_t)counts->connections_highest, "connections_accepted",
		(json_int_t)counts->connections_accepted, "connections_refused",
		(json_int_t)counts->connections_refused, "statements",
		(json_int_t)counts->statements, "reads",
		(json_int_t)counts->reads, "commits",
		(json_int_t)counts->commits, "bytes_in",
		(json_int_t)counts->bytes_in, "bytes_out",
		(json_int_t)counts->bytes_out);
}

static json_t *state_inserts(const server_t *server)
{
	json_t *inserts = json_object();
	GHashTableIter iterator;
	void *table;
	void *count;

	g_hash_table_iter_init(&iterator, server->inserts);
	while (g_hash_table_iter_next(&iterator, &table, &count))
		json_object_set_new(inserts, table,
				    json_integer((json_int_t)(uintptr_t)count));
	return inserts;
}

static void on_state(struct evhttp_request *request, void *context)
{
	const server_t *server = context;
	const engine_t *engine = &server->engine;
	log_point_t last = journal_end(&engine->journal);
	log_point_t replayed = engine_replay_point(engine);
	json_t *state = json_pack(
		"{s:s,s:s,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:b}", "server",
		engine->name, "role", engine->primary ? "primary" : "replica",
		"term", (json_int_t)engine->term, "fence",
		(json_int_t)engine->fence, "last_term", (json_int_t)last.term,
		"position", (json_int_t)last.position, "replay_term",
		(json_int_t)replayed.term, "replay_position",
		(json_int_t)replayed.position, "upstream_age_ms",
		(json_int_t)engine_upstream_age_ms(engine, clock_now_ms()),
		"followers", (json_int_t)server->followers->len, "leaving",
		server->leaving);

	json_object_set_new(state, "counts", state_counts(server));
	json_object_set_new(state, "inserts", state_inserts(server));
	http_reply_json(request, state);
}

static void on_set(struct evhttp_request *request, void *context)
{
	server_t *server = context;

	server->engine.replay_lag_ms = (uint32_t)http_number(
		request, "replay_lag_ms", server->engine.replay_lag_ms);
	server->ship_delay_ms = (uint32_t)http_number(request, "ship_delay_ms",
						      server->ship_delay_ms);
	server->open_delay_ms = (uint32_t)http_number(request, "open_delay_ms",
						      server->open_delay_ms);
	server->connections_max = (uint32_t)http_number(
		request, "connections", server->connections_max);
	server->drop_answers = (uint32_t)http_number(request, "drop_answer",
						     server->drop_answers);
	server->leaving = http_number(request, "leaving", server->leaving);
	server_replay(server);
	follower_ship_all(server);
	http_reply_text(request, HTTP_OK, "ok\n");
}

/* Blocks the whole process, as in a paused VM. */
static void on_freeze_due(evutil_socket_t fd, short what, void *context)
{
	fault_t *fault = context;

	g_usleep(fault->freeze_ms * 1000);
	g_free(fault);
}

static void on_fault(struct evhttp_request *request, void *context)
{
	struct timeval soon = {.tv_usec = FAULT_DELAY_MS * 1000};
	server_t *server = context;
	fault_t *fault;

	if (http_number(request, "cut", 0))
		server_cut_all(server);
	if (http_number(request, "freeze", 0) > 0) {
		fault = g_new0(fault_t, 1);
		fault->server = server;
		fault->freeze_ms = (uint64_t)http_number(request, "freeze", 0);
		event_base_once(server->base, -1, EV_TIMEOUT, on_freeze_due,
				fault, &soon);
	}
	http_reply_text(request, HTTP_OK, "ok\n");
}

static void on_kill_due(evutil_socket_t fd, short what, void *context)
{
	_exit(0);
}

static void on_kill(struct evhttp_request *request, void *context)
{
	struct timeval soon = {.tv_usec = FAULT_DELAY_MS * 1000};
	server_t *server = context;

	event_base_once(server->base, -1, EV_TIMEOUT, on_kill_due, NULL, &soon);
	http_reply_text(request, HTTP_OK, "ok\n");
}

struct evhttp *control_start(server_t *server, const char *address,
			     uint16_t port)
{
	struct evhttp *http = http_listen(server->base, address, port);

	if (!http) {
		log_event(LOG_LEVEL_ERROR, "listen_failed", "control=%s:%u",
			  address, port);
		exit(EXIT_FAILURE);
	}
	evhttp_set_cb(http, "/state", on_state, server);
	evhttp_set_cb(http, "/set", on_set, server);
	evhttp_set_cb(http, "/fault", on_fault, server);
	evhttp_set_cb(http, "/kill", on_kill, server);
	return http;
}
