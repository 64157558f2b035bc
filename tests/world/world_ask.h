#ifndef WORLD_WORLD_ASK_H
#define WORLD_WORLD_ASK_H

#include <libpq-fe.h>

/**
 * Runs a statement.
 *
 * @param value receives the answer's first value, to be freed, or NULL if
 *              there is no row; may be NULL
 * @return NULL when it was answered, else the SQLSTATE, to be freed; "" when
 *         the connection broke
 */
char *world_ask(PGconn *connection, const char *statement, char **value);

/** Runs a formatted statement that must be answered. */
void world_ask_run(PGconn *connection, const char *format, ...)
	__attribute__((format(printf, 2, 3)));

/** Asserts the first value of a statement's answer; NULL means no row. */
void world_ask_assert(PGconn *connection, const char *statement,
		      const char *wanted);

/** Sets the session's token to the one that another has reached. */
void world_ask_hand_token(PGconn *from, PGconn *to);

#endif
