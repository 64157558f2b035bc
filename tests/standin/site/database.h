#ifndef STANDIN_SITE_DATABASE_H
#define STANDIN_SITE_DATABASE_H

#include <stdbool.h>
#include <stdint.h>

#include <event2/event.h>
#include <glib.h>

/** Servers of each group. */
#define DATABASE_COPIES 3

/** One commit of a group's log. */
typedef struct {
	uint64_t term;
	uint64_t number;
	uint64_t serial;   /**< unique within the group */
	GPtrArray *writes; /**< char *: item, data, and so on */
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
	uint64_t fence;
	GPtrArray *log;			 /**< commit_t, not owned */
	struct evconnlistener *listener; /**< NULL while it is down */
	GHashTable *sessions;
	uint64_t silent_until_ms; /**< it neither reads nor answers */
	uint64_t deaf_until_ms;	  /**< it receives nothing */
	uint64_t down_until_ms;
	uint32_t lose_percent; /**< of answers, which are never sent */
} database_t;

/** A group of servers and what became of its changes. */
struct group {
	struct event_base *base;
	char *name;
	database_t servers[DATABASE_COPIES];
	GPtrArray *commits;	 /**< commit_t, all that ever were */
	GHashTable *rolled_back; /**< data that was lost with its commit */
	uint64_t next_serial;
	uint32_t work_ms;
	uint32_t lag_ms;
	uint32_t connections_max;
	GRand *random;
	uint64_t promotions;
	uint64_t twice; /**< changes that took effect a second time */
	/** A server's role changed or it came or went. */
	void (*changed)(void *context, database_t *server, bool present);
	void *context;
	struct event *ship;
};

group_t *group_create(struct event_base *base, const char *name, uint16_t port,
		      uint32_t seed,
		      void (*changed)(void *context, database_t *server,
				      bool present),
		      void *context);

/** @return whether the promotion was accepted */
bool group_promote(group_t *group, const char *id);

database_t *group_server(group_t *group, const char *id);

/** Ends all connections and refuses new ones for a while. */
void database_crash(database_t *server, uint32_t for_ms);

/** @return the data of an item, as this server's log has it, or NULL */
const char *database_lookup(const database_t *server, const char *item);

/** @return the server that leads the highest term */
database_t *group_primary(group_t *group);

#endif
