#ifndef WORLD_LINE_CLIENT_H
#define WORLD_LINE_CLIENT_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/** A caller of the line protocol that waits for each answer. */
typedef struct line_client line_client_t;

/** What became of a statement. */
typedef enum {
	LINE_DONE,
	LINE_NOT_KEPT, /**< an error that promises that nothing is kept */
	LINE_ERROR,    /**< any other error */
	LINE_LOST,     /**< no whole answer; the connection is closed */
} line_result_t;

/** @return a session with @p database, or NULL when it cannot be had */
line_client_t *line_client_open(uint16_t port, const char *database);
void line_client_close(line_client_t *client);

/**
 * Runs one statement.
 *
 * @param row receives the first row, to be freed with g_free(), or NULL
 */
line_result_t line_client_run(line_client_t *client, const char *text,
			      char **row);

/** @return the text of the last error, or "" */
const char *line_client_error(const line_client_t *client);

/** @return the state of the last answer: 'I', 'T' or 'E' */
char line_client_status(const line_client_t *client);

#endif
