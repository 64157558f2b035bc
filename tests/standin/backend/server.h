#ifndef STANDIN_BACKEND_SERVER_H
#define STANDIN_BACKEND_SERVER_H

#include <stdbool.h>
#include <stdint.h>

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>

#include "standin/backend/engine.h"
#include "standin/backend/sql.h"

/** Where an address of another failure domain is reached. */
typedef struct {
	char *address;
	uint16_t port;
	char *via_address;
	uint16_t via_port;
} server_route_t;

/** What tests want to know of a server. */
typedef struct {
	uint32_t connections_open;
	uint32_t connections_highest;
	uint64_t connections_accepted;
	uint64_t connections_refused;
	uint64_t statements;
	uint64_t reads;
	uint64_t commits;
	uint64_t bytes_in;
	uint64_t bytes_out;
} server_counts_t;

struct upstream;
struct session;

/** The whole stand-in: one database server of a group. */
typedef struct {
	struct event_base *base;
	engine_t engine;
	struct upstream *upstream;
	GPtrArray *sessions;  /**< of struct session, the connections */
	GPtrArray *followers; /**< of replicas that are shipped to */
	GPtrArray *routes;    /**< of server_route_t */
	GHashTable *scripts;  /**< parsed statements by their text */
	GHashTable *inserts;  /**< rows ever inserted, by table */
	server_counts_t counts;
	uint32_t connections_max;
	uint32_t open_delay_ms;
	uint32_t ship_delay_ms;
	uint32_t drop_answers; /**< commits whose answer gets lost */
	bool leaving;
	uint32_t next_session;
	uint32_t seed;
	struct event *replay_timer;
} server_t;

/** Applies what is due now and comes back when more is. */
void server_replay(server_t *server);

/** Tells the replicas and those that wait for a lock. */
void server_committed(server_t *server);

/** Cuts every connection, of callers and of replicas. */
void server_cut_all(server_t *server);

/** @return the parsed text, with a reference for the caller. */
sql_script_t *server_script(server_t *server, const char *text);

/** Starts the HTTP control; the process ends if the port is taken. */
struct evhttp *control_start(server_t *server, const char *address,
			     uint16_t port);

#endif
