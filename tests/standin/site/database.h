#ifndef STANDIN_SITE_DATABASE_H
#define STANDIN_SITE_DATABASE_H

#include <stdbool.h>
#include <stdint.h>

#include <event2/event.h>
#include <glib.h>

/** Number of servers in each group. */
#define DATABASE_COPIES 3

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
	uint64_t term;
	uint64_t fence; /**< rejects replication in lower terms */
	GPtrArray *log; /**< of commit_t, owned by the group */
	struct evconnlistener *listener; /**< NULL while the server is down */
	GHashTable *sessions;		 /**< set of the open connections */
	uint64_t silent_until_ms; /**< messages are not handled until then */
	uint64_t deaf_until_ms;	  /**< replication stops until then */
	uint64_t down_until_ms;	  /**< an old primary steps down then */
	uint32_t lose_percent;	  /**< percentage of lost answers to writes */
} database_t;

/** A replicated group of servers and the record of its commits. */
struct group {
	struct event_base *base;
	char *name;
	database_t servers[DATABASE_COPIES];
	GPtrArray *commits;	 /**< of commit_t, all commits ever made */
	GHashTable *rolled_back; /**< set of the data of rolled-back commits */
	uint64_t next_serial;
	uint32_t work_ms; /**< time to execute a command */
	uint32_t lag_ms;  /**< not used */
	uint32_t connections_max;
	GRand *random;
	uint64_t promotions;
	uint64_t twice; /**< writes whose data was in the log already */
	/** Called when a server starts or changes its role. */
	void (*changed)(void *context, database_t *server, bool present);
	void *context;
	struct event *ship; /**< replication timer */
};

/**
 * Starts a group of servers on consecutive ports, the first of them as primary.
 *
 * @param seed of the random loss of answers
 * @param changed called when a server starts or changes its role
 */
group_t *group_create(struct event_base *base, const char *name, uint16_t port,
		      uint32_t seed,
		      void (*changed)(void *context, database_t *server,
				      bool present),
		      void *context);

/** Starts to promote a server. @return false if it is unknown or down */
bool group_promote(group_t *group, const char *id);

/** @return the server with an id, or NULL */
database_t *group_server(group_t *group, const char *id);

/** Stops the server and restarts it after @p for_ms. */
void database_crash(database_t *server, uint32_t for_ms);

/** @return the latest data of an item in the server's log, or NULL */
const char *database_lookup(const database_t *server, const char *item);

/** @return the primary of the highest term, or NULL */
database_t *group_primary(group_t *group);

#endif
