#ifndef STATE_GROUP_TABLE_H
#define STATE_GROUP_TABLE_H

#include <stdbool.h>
#include <stdint.h>

#define GROUP_SERVER_NAME_SIZE 64

/** Which server leads a database, as far as this node knows. */
typedef struct {
	uint64_t term;
	char primary[GROUP_SERVER_NAME_SIZE]; /**< empty while none is known */
} group_view_t;

/** Newest known primary of every database; a lower term never replaces. */
typedef struct group_table group_table_t;

group_table_t *group_table_create(void);
void group_table_destroy(group_table_t *table);

/**
 * Takes in a view.
 *
 * @return true if it was newer than what was known
 */
bool group_table_offer(group_table_t *table, const char *database,
		       uint64_t term, const char *primary);

/** @return the newest view; term 0 and an empty name when none is known. */
group_view_t group_table_view(const group_table_t *table, const char *database);

/** Calls @p visit for every database known. */
void group_table_each(const group_table_t *table,
		      void (*visit)(void *context, const char *database,
				    const group_view_t *view),
		      void *context);

#endif
