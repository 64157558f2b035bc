#ifndef WORLD_WORLD_QUERY_H
#define WORLD_WORLD_QUERY_H

#include <libpq-fe.h>

/**
 * Runs a statement.
 *
 * @param value receives the first value of the result, to be freed with
 *              g_free(), or NULL if there is no row; may be NULL
 * @return NULL on success, else the SQLSTATE, to be freed with g_free(); "" if
 *         the connection failed
 */
char *world_query(PGconn *connection, const char *statement, char **value);

/** Runs a formatted statement and fails the test if it returns an error. */
void world_query_run(PGconn *connection, const char *format, ...)
	__attribute__((format(printf, 2, 3)));

/**
 * Asserts the first value of a statement's result.
 *
 * @param wanted expected value, or NULL if no row is expected
 */
void world_query_assert_value(PGconn *connection, const char *statement,
			      const char *wanted);

/** Sets the token of session @p to to the current token of @p from. */
void world_query_copy_token(PGconn *from, PGconn *to);

#endif
