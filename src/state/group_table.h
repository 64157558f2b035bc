#ifndef STATE_GROUP_TABLE_H
#define STATE_GROUP_TABLE_H

#include <stdbool.h>
#include <stdint.h>

/** Buffer size of a server's name, with the terminating NUL. */
#define GROUP_SERVER_NAME_SIZE 64

/** The primary of a database, as far as this node knows. */
typedef struct {
	uint64_t term;
	char primary[GROUP_SERVER_NAME_SIZE]; /**< empty while none is known */
} group_view_t;

/** Newest known primary of every database. Terms never decrease. */
typedef struct group_table group_table_t;

/** Creates an empty table. */
group_table_t *group_table_create(void);

/** Frees the table; NULL is allowed. */
void group_table_destroy(group_table_t *table);

/**
 * Records the primary of a database if @p term is above the recorded term.
 *
 * @return whether the table was changed
 */
bool group_table_update(group_table_t *table, const char *database,
			uint64_t term, const char *primary);

/** @return the newest view; term 0 and an empty name when none is known. */
group_view_t group_table_view(const group_table_t *table, const char *database);

/** Calls @p visit for every recorded database. */
void group_table_each(const group_table_t *table,
		      void (*visit)(void *context, const char *database,
				    const group_view_t *view),
		      void *context);

#endif
