#ifndef STATE_SESSION_TOKEN_H
#define STATE_SESSION_TOKEN_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "state/log_point.h"

/** Maximum number of databases in a token. */
#define SESSION_TOKEN_DATABASES_MAX 64

/** Maximum length of a token's text, in bytes. */
#define SESSION_TOKEN_SIZE_BYTES_MAX 8192

/**
 * Log points that a session's reads must include: one for each database that
 * the session has written to. Points never decrease, except by a reset.
 */
typedef struct session_token session_token_t;

/** Why a token was rejected. */
typedef enum {
	SESSION_TOKEN_MALFORMED, /**< not DATABASE:TERM:POSITION[,...] */
	SESSION_TOKEN_TOO_LARGE, /**< too long, or too many databases */
} session_token_error_t;

#define SESSION_TOKEN_ERROR session_token_error_quark()
GQuark session_token_error_quark(void);

/** Creates an empty token. */
session_token_t *session_token_create(void);

/** Frees the token; NULL is allowed. */
void session_token_destroy(session_token_t *token);

/**
 * Merges the text of a caller's token: DATABASE:TERM:POSITION entries, joined
 * by commas; an empty text has none. Of two points of one database the later
 * one is kept.
 *
 * @return false with @p error set and the token unchanged if @p text is invalid
 */
bool session_token_merge(session_token_t *token, const char *text,
			 GError **error);

/** @return the point of @p database, or the zero point if there is none. */
log_point_t session_token_point(const session_token_t *token,
				const char *database);

/** Raises the point of @p database. @return whether the point changed */
bool session_token_raise(session_token_t *token, const char *database,
			 log_point_t point);

/** Removes every point. */
void session_token_clear(session_token_t *token);

/** @return the token's text, sorted by database; free with g_free(). */
char *session_token_format(const session_token_t *token);

G_DEFINE_AUTOPTR_CLEANUP_FUNC(session_token_t, session_token_destroy)

#endif
