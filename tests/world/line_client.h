#ifndef WORLD_LINE_CLIENT_H
#define WORLD_LINE_CLIENT_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/** A blocking session of one caller over the line protocol. */
typedef struct line_client line_client_t;

/** Result of a statement. */
typedef enum {
	LINE_DONE,	/**< the statement was executed */
	LINE_NO_EFFECT, /**< an error which guarantees that nothing was written
			 */
	LINE_ERROR,	/**< any other error */
	LINE_NO_ANSWER, /**< incomplete or no answer; the connection is closed
			 */
} line_result_t;

/**
 * Opens a session with @p database at a port of this machine.
 *
 * @return the session, or NULL if it was rejected or got no answer
 */
line_client_t *line_client_open(uint16_t port, const char *database);

/**
 * Opens a session as line_client_open() does, with the caller's key.
 *
 * @param error receives the error's text if the session was rejected, or NULL;
 *              to be freed with g_free()
 */
line_client_t *line_client_open_as(uint16_t port, const char *database,
				   const char *key, char **error);

/** Closes the connection and frees the session. NULL is allowed. */
void line_client_close(line_client_t *client);

/**
 * Runs one statement and waits for its answer.
 *
 * @param row receives the first row, or NULL if there is none, to be freed
 *            with g_free(); may be NULL
 */
line_result_t line_client_run(line_client_t *client, const char *text,
			      char **row);

/** Sends a statement without waiting for its answer. */
bool line_client_send(line_client_t *client, const char *text);

/** Returns the text of the last error, "" if there was none. */
const char *line_client_error(const line_client_t *client);

/**
 * Returns the transaction status of the last answer: 'I' (idle), 'T' (in a
 * transaction) or 'E' (in a failed transaction).
 */
char line_client_status(const line_client_t *client);

#endif
