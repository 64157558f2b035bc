#ifndef STANDIN_BACKEND_SERVER_H
#define STANDIN_BACKEND_SERVER_H

#include <stdbool.h>
#include <stdint.h>

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>

#include "standin/backend/engine.h"
#include "standin/backend/sql.h"

/** The network relay's address for a server in another failure domain. */
typedef struct {
	char *address;
	uint16_t port;
	char *via_address;
	uint16_t via_port;
} server_route_t;

/** Counters that the control URL /state reports. */
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

/** The whole program: one database server of a group. */
typedef struct {
	struct event_base *base;
	engine_t engine;
	struct upstream *upstream; /**< stream from the primary, or NULL */
	GPtrArray *sessions;	   /**< of session_t, one per connection */
	GPtrArray *followers; /**< of follower_t, one per connected replica */
	GPtrArray *routes;    /**< of server_route_t */
	GHashTable *scripts;  /**< parsed statements by their text */
	GHashTable *inserts;  /**< committed inserts and updates, by table */
	server_counts_t counts;
	uint32_t connections_max;
	uint32_t open_delay_ms; /**< time to open a connection */
	uint32_t ship_delay_ms; /**< time from a commit to its shipping */
	uint32_t drop_answers;	/**< answers to commits left to drop */
	bool leaving;		/**< new connections are rejected with 57P03 */
	uint32_t last_pid;	/**< pid of the newest session */
	uint32_t seed;		/**< seed of the sessions' cancel keys */
	struct event *replay_timer;
} server_t;

/** Replays the records that are due and sets the timer for the next one. */
void server_replay(server_t *server);

/** Ships new records to the replicas and retries the waiting statements. */
void server_transaction_ended(server_t *server);

/** Closes every connection of callers, of replicas and to the primary. */
void server_cut_all(server_t *server);

/**
 * Parses @p text, or takes it from the cache of parsed texts.
 *
 * @return the script, with a reference for the calling function
 */
sql_script_t *server_script(server_t *server, const char *text);

/** Serves the control URLs; exits the process if it cannot listen. */
struct evhttp *control_start(server_t *server, const char *address,
			     uint16_t port);

#endif
