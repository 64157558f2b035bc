#ifndef STANDIN_SITE_DATABASE_H
#define STANDIN_SITE_DATABASE_H

#include <stdbool.h>
#include <stdint.h>

#include <event2/event.h>
#include <glib.h>

/** Number of servers in each group. */
#define GROUP_SERVERS_COUNT 3

/** One commit in a server's log. */
typedef struct {
	uint64_t term;
	uint64_t number;   /**< position in the log */
	uint64_t serial;   /**< unique within the group */
	GPtrArray *writes; /**< of char *, item and data in turn */
} commit_t;

typedef struct group group_t;

/** One server of a replicated group, with its log and its connections. */
typedef struct {
	group_t *group;
	char *id;
	char *zone;
	uint16_t port;
	bool primary;
	bool draining;	  /**< reported as leaving */
	uint64_t reports; /**< number of entries reported so far */
	uint64_t term;
	uint64_t fence; /**< rejects replication in lower terms */
	GPtrArray *log; /**< of commit_t, owned by the group */
	struct evconnlistener *listener; /**< NULL while the server is down */
	GHashTable *sessions;		 /**< set of the open connections */
	/** messages are not handled until then */
	uint64_t unresponsive_until_ms;
	/** replication to and from the server stops until then */
	uint64_t replication_stopped_until_ms;
	uint64_t step_down_at_ms; /**< an old primary steps down then */
	/** percentage of answers to writes and commits that are not sent */
	uint32_t answer_loss_percent;
} db_server_t;

/** A replicated group of servers and the record of its commits. */
struct group {
	struct event_base *base;
	char *name;
	db_server_t servers[GROUP_SERVERS_COUNT];
	GPtrArray *commits;	 /**< of commit_t, all commits ever made */
	GHashTable *rolled_back; /**< set of the data of rolled-back commits */
	GHashTable *users;	 /**< set of "ITEM USER" of statements run */
	uint64_t last_serial;
	uint32_t work_ms; /**< time to execute a command */
	uint32_t lag_ms;  /**< not used */
	uint32_t connections_max;
	GRand *random;
	uint64_t promotions;
	/** writes whose data was in the log already */
	uint64_t repeated_writes;
	/** Called when a server starts or changes its role. */
	void (*on_server_change)(void *context, db_server_t *server,
				 bool present);
	void *context;
	struct event *ship; /**< replication timer */
};

/**
 * Starts a group of servers on consecutive ports, the first of them as primary.
 *
 * @param seed of the random loss of answers
 * @param on_server_change called when a server starts or changes its role
 */
group_t *group_create(struct event_base *base, const char *name, uint16_t port,
		      uint32_t seed,
		      void (*on_server_change)(void *context,
					       db_server_t *server,
					       bool present),
		      void *context);

/** Starts to promote a server. @return false if it is unknown or down */
bool group_promote(group_t *group, const char *id);

/** @return the server with an id, or NULL */
db_server_t *group_server(group_t *group, const char *id);

/** Stops the server and restarts it after @p for_ms. */
void db_server_crash(db_server_t *server, uint32_t for_ms);

/** @return the latest data of an item in the server's log, or NULL */
const char *db_server_lookup(const db_server_t *server, const char *item);

/** @return the primary of the highest term, or NULL */
db_server_t *group_primary(group_t *group);

/**
 * @return whether no server has commits that the primary lacks; one that is
 *         down or cut off keeps them until it follows the primary
 */
bool group_is_rolled_back(group_t *group);

#endif
