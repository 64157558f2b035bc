#ifndef RELAY_RELAY_PREPARED_H
#define RELAY_RELAY_PREPARED_H

#include <glib.h>

/** Maximum number of statements that stay prepared on one connection. */
#define RELAY_PREPARED_MAX 128u

/** Maximum total size of their definitions. */
#define RELAY_PREPARED_SIZE_BYTES_MAX (64u * 1024)

/**
 * The statements that are prepared on one connection, by their definitions.
 * Each gets a name that the connection has never used, so that a name never
 * means another definition, even if the server fails to prepare or to close it.
 * The least recently used are closed when there are too many.
 */
typedef struct relay_prepared relay_prepared_t;

relay_prepared_t *relay_prepared_create(void);

/** NULL is allowed. */
void relay_prepared_destroy(relay_prepared_t *prepared);

/**
 * @return the name of the definition, valid until the next change, or NULL if
 *         it is not prepared
 */
const char *relay_prepared_find(relay_prepared_t *prepared,
				const char *definition);

/**
 * Adds a definition that is not prepared.
 *
 * @param closed receives the names (char *) that the server is to close
 * @return its name, valid until the next change
 */
const char *relay_prepared_add(relay_prepared_t *prepared,
			       const char *definition, GPtrArray *closed);

/** Drops a definition, for instance because the server did not prepare it. */
void relay_prepared_remove(relay_prepared_t *prepared, const char *definition);

/** Drops all definitions, as the server does; their names stay used. */
void relay_prepared_clear(relay_prepared_t *prepared);

G_DEFINE_AUTOPTR_CLEANUP_FUNC(relay_prepared_t, relay_prepared_destroy)

#endif
