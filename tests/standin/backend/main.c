#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <argtable2.h>
#include <event2/listener.h>

#include "base/clock.h"
#include "base/log.h"
#include "standin/backend/server.h"
#include "standin/backend/session.h"
#include "standin/backend/stream.h"
#include "standin/common/http.h"

#define CONNECTIONS_DEFAULT 100
#define ROUTES_MAX 64
#define LISTEN_BACKLOG 512

typedef struct {
	struct arg_str *name;
	struct arg_str *listen;
	struct arg_str *control;
	struct arg_str *follow;
	struct arg_lit *spare;
	struct arg_str *route;
	struct arg_int *connections;
	struct arg_int *open_delay_ms;
	struct arg_int *ship_delay_ms;
	struct arg_int *replay_lag_ms;
	struct arg_int *seed;
	struct arg_lit *help;
	struct arg_end *end;
} options_t;

static void options_make(options_t *options)
{
	options->name = arg_str1(NULL, "name", "NAME", "name of the server");
	options->listen = arg_str1(NULL, "listen", "ADDRESS:PORT",
				   "where callers and replicas connect");
	options->control =
		arg_str1(NULL, "control", "ADDRESS:PORT",
			 "where tests inject faults and read counters");
	options->follow = arg_str0(NULL, "follow", "ADDRESS:PORT",
				   "start as a replica of term 1");
	options->spare = arg_lit0(
		NULL, "spare", "start as an empty replica without a primary");
	options->route =
		arg_strn(NULL, "route", "ADDRESS:PORT=VIA:PORT", 0, ROUTES_MAX,
			 "connect to a primary through a relay");
	options->connections = arg_int0(NULL, "connections", "N",
					"maximum number of connections");
	options->open_delay_ms = arg_int0(NULL, "open-delay-ms", "MS",
					  "time to open a connection");
	options->ship_delay_ms = arg_int0(NULL, "ship-delay-ms", "MS",
					  "time before a record is shipped");
	options->replay_lag_ms = arg_int0(NULL, "replay-lag-ms", "MS",
					  "time before a record is replayed");
	options->seed = arg_int0(NULL, "seed", "N", "seed of cancel keys");
	options->help = arg_lit0(NULL, "help", "print this and exit");
	options->end = arg_end(8);
	options->connections->ival[0] = CONNECTIONS_DEFAULT;
	options->open_delay_ms->ival[0] = 0;
	options->ship_delay_ms->ival[0] = 0;
	options->replay_lag_ms->ival[0] = 0;
	options->seed->ival[0] = 1;
}

static endpoint_t parse_endpoint(const char *text)
{
	endpoint_t endpoint;

	if (!endpoint_parse(text, &endpoint)) {
		fprintf(stderr, "not ADDRESS:PORT: %s\n", text);
		exit(EXIT_FAILURE);
	}
	return endpoint;
}

static void add_route(server_t *server, const char *text)
{
	g_auto(GStrv) sides = g_strsplit(text, "=", 2);
	server_route_t *route = g_new0(server_route_t, 1);
	endpoint_t target = parse_endpoint(sides[0]);
	endpoint_t via = parse_endpoint(sides[1] ?: "");

	route->address = g_strdup(target.address);
	route->port = target.port;
	route->via_address = g_strdup(via.address);
	route->via_port = via.port;
	g_ptr_array_add(server->routes, route);
}

static void on_accept(struct evconnlistener *listener, evutil_socket_t fd,
		      struct sockaddr *address, int size, void *context)
{
	session_create(context, fd);
}

static void on_replay_due(evutil_socket_t fd, short what, void *context)
{
	server_replay(context);
}

static void server_open(server_t *server, const options_t *options)
{
	bool primary = !options->follow->count && !options->spare->count;

	server->base = event_base_new();
	engine_open(&server->engine, options->name->sval[0], primary,
		    options->spare->count ? 0 : 1, clock_now_ms());
	server->engine.replay_lag_ms =
		(uint32_t)options->replay_lag_ms->ival[0];
	server->sessions = g_ptr_array_new();
	server->followers = g_ptr_array_new();
	server->routes = g_ptr_array_new();
	server->scripts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
						sql_script_unref);
	server->inserts =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	server->connections_max = (uint32_t)options->connections->ival[0];
	server->open_delay_ms = (uint32_t)options->open_delay_ms->ival[0];
	server->ship_delay_ms = (uint32_t)options->ship_delay_ms->ival[0];
	server->seed = (uint32_t)options->seed->ival[0];
	server->replay_timer =
		event_new(server->base, -1, 0, on_replay_due, server);
	for (int i = 0; i < options->route->count; i++)
		add_route(server, options->route->sval[i]);
}

static void server_listen(server_t *server, const char *text)
{
	struct sockaddr_storage address;
	int size = sizeof(address);

	if (evutil_parse_sockaddr_port(text, (struct sockaddr *)&address,
				       &size) ||
	    !evconnlistener_new_bind(server->base, on_accept, server,
				     LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_FREE,
				     LISTEN_BACKLOG,
				     (struct sockaddr *)&address, size)) {
		log_event(LOG_LEVEL_ERROR, "listen_failed", "address=%s", text);
		exit(EXIT_FAILURE);
	}
}

int main(int argc, char **argv)
{
	static server_t server;
	options_t options;
	endpoint_t control;
	endpoint_t primary;

	options_make(&options);
	if (arg_parse(argc, argv, (void **)&options) || options.help->count) {
		arg_print_errors(stderr, options.end, argv[0]);
		arg_print_glossary(stderr, (void **)&options, NULL);
		return EXIT_FAILURE;
	}
	signal(SIGPIPE, SIG_IGN);
	log_open("standin-backend", LOG_LEVEL_INFO);
	server_open(&server, &options);
	server_listen(&server, options.listen->sval[0]);
	control = parse_endpoint(options.control->sval[0]);
	control_start(&server, control.address, control.port);
	if (options.follow->count) {
		primary = parse_endpoint(options.follow->sval[0]);
		upstream_start(&server, primary.address, primary.port);
	}
	log_event(LOG_LEVEL_NOTICE, "serving", "server=%s address=%s",
		  server.engine.name, options.listen->sval[0]);
	event_base_dispatch(server.base);
	return EXIT_SUCCESS;
}
