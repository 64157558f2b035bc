#ifndef STATE_SESSION_TOKEN_H
#define STATE_SESSION_TOKEN_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "state/log_point.h"

/** Most databases that one token names. */
#define SESSION_TOKEN_DATABASES_MAX 64

/** Longest text of a token, in bytes. */
#define SESSION_TOKEN_SIZE_BYTES_MAX 8192

/**
 * What a session must see: a point for each database that it wrote to.
 * Points only grow.
 */
typedef struct session_token session_token_t;

/** Why a token was not taken in. */
typedef enum {
	SESSION_TOKEN_MALFORMED, /**< not DATABASE:TERM:POSITION[,...] */
	SESSION_TOKEN_TOO_LARGE, /**< too long, or too many databases */
} session_token_error_t;

#define SESSION_TOKEN_ERROR session_token_error_quark()
GQuark session_token_error_quark(void);

session_token_t *session_token_create(void);
void session_token_destroy(session_token_t *token);

/**
 * Takes in a token as a caller gives it: DATABASE:TERM:POSITION, several
 * joined by commas, none in an empty text. Of two points of one database
 * the later one stays.
 *
 * @return false with @p error set, and the token as it was
 */
bool session_token_merge(session_token_t *token, const char *text,
			 GError **error);

/** @return the point of @p database, zero when there is none. */
log_point_t session_token_point(const session_token_t *token,
				const char *database);

/** Raises the point of @p database. @return whether it changed */
bool session_token_raise(session_token_t *token, const char *database,
			 log_point_t point);

/** Forgets every point. */
void session_token_clear(session_token_t *token);

/** @return the token's text, sorted by database; free with g_free(). */
char *session_token_format(const session_token_t *token);

G_DEFINE_AUTOPTR_CLEANUP_FUNC(session_token_t, session_token_destroy)

#endif
