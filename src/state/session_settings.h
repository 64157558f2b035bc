#ifndef STATE_SESSION_SETTINGS_H
#define STATE_SESSION_SETTINGS_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "state/session_token.h"

/** Prefix of the settings that are ours. */
#define SESSION_SETTINGS_PREFIX "toucanhook."

/** Name of the token's setting, as it is set, shown and reported. */
#define SESSION_SETTINGS_TOKEN "toucanhook.token"

/** Longest idempotency key, in bytes. */
#define SESSION_SETTINGS_KEY_SIZE_BYTES_MAX 200

/** Longest deadline of a statement, in milliseconds. */
#define SESSION_SETTINGS_TIMEOUT_MS_MAX 3600000

/** What a session's reads must see. */
typedef enum {
	CONSISTENCY_SESSION, /**< its own changes */
	CONSISTENCY_STRONG,  /**< all acknowledged before the statement */
	CONSISTENCY_AGE,     /**< as old as max_age_ms */
} consistency_t;

/** The settings of one session, see docs/DESIGN.md; plain data. */
typedef struct {
	session_token_t *token;
	consistency_t consistency;
	uint32_t max_age_ms; /**< 0 for the class's own */
	uint32_t timeout_ms; /**< 0 for the class's own */
	char *request_key;   /**< of the next change, which takes it; or NULL */
} session_settings_t;

/** Why a setting was not taken. */
typedef enum {
	SESSION_SETTINGS_UNKNOWN, /**< there is no such setting of ours */
	SESSION_SETTINGS_VALUE,	  /**< the value is out of bounds */
	SESSION_SETTINGS_FOREIGN, /**< server connections are shared, so only
				       the value in force is accepted */
} session_settings_error_t;

#define SESSION_SETTINGS_ERROR session_settings_error_quark()
GQuark session_settings_error_quark(void);

session_settings_t *session_settings_new(void);

/** Frees the settings; NULL is allowed. */
void session_settings_delete(session_settings_t *settings);

/**
 * Sets one setting, ours or the server's.
 *
 * Settings of the server are neither kept nor replayed: many sessions share
 * a server connection, so a setting would have to travel with every request.
 * Drivers set a few at their start; these are accepted when they ask for the
 * value that every server connection has, all else is an error.
 *
 * @param name  lower case
 * @param value NULL for one that is no constant
 */
bool session_settings_set(session_settings_t *settings, const char *name,
			  const char *value, GError **error);

/**
 * Gives a setting its first value; all but the token when @p name is NULL,
 * since a token only makes what the session sees fresher.
 */
bool session_settings_reset(session_settings_t *settings, const char *name,
			    GError **error);

/** @return the value of a setting of ours, free with g_free(), or NULL. */
char *session_settings_show(const session_settings_t *settings,
			    const char *name, GError **error);

/** Sets what the start-up option "-c name=value --name=value" asks for. */
bool session_settings_options(session_settings_t *settings, const char *options,
			      GError **error);

/** @return the SQLSTATE of an error of these functions or of the token. */
const char *session_settings_sqlstate(const GError *error);

G_DEFINE_AUTOPTR_CLEANUP_FUNC(session_settings_t, session_settings_delete)

#endif
