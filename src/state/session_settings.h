#ifndef STATE_SESSION_SETTINGS_H
#define STATE_SESSION_SETTINGS_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "state/session_token.h"

/** Prefix of the proxy's own settings; all others are the server's. */
#define SESSION_SETTINGS_PREFIX "toucanhook."

/** Name of the setting that holds the session token. */
#define SESSION_SETTINGS_TOKEN "toucanhook.token"

/** Maximum length of an idempotency key, in bytes. */
#define SESSION_SETTINGS_KEY_SIZE_BYTES_MAX 200

/** Maximum of max_age_ms and timeout_ms, in milliseconds. */
#define SESSION_SETTINGS_TIMEOUT_MS_MAX 3600000

/** Changes that a session's reads must see. */
typedef enum {
	CONSISTENCY_SESSION, /**< the session's own changes */
	CONSISTENCY_STRONG,  /**< all changes acknowledged so far */
	CONSISTENCY_AGE,     /**< changes older than max_age_ms */
} consistency_t;

/** Settings of one session, see docs/DESIGN.md. */
typedef struct {
	session_token_t *token;
	consistency_t consistency;
	uint32_t max_age_ms; /**< 0 for the default of the caller's class */
	uint32_t timeout_ms; /**< 0 for the default of the caller's class */
	char *request_key;   /**< idempotency key of the next change, or NULL */
} session_settings_t;

/** Why a setting was rejected. */
typedef enum {
	SESSION_SETTINGS_UNKNOWN, /**< the proxy has no such setting */
	SESSION_SETTINGS_VALUE,	  /**< the value is invalid */
	SESSION_SETTINGS_FIXED,	  /**< a server setting, whose value is fixed */
} session_settings_error_t;

#define SESSION_SETTINGS_ERROR session_settings_error_quark()
GQuark session_settings_error_quark(void);

/** Creates settings with their default values. */
session_settings_t *session_settings_new(void);

/** Frees the settings; NULL is allowed. */
void session_settings_delete(session_settings_t *settings);

/**
 * Changes a setting of the proxy or checks one of the backend server.
 *
 * Server settings are neither stored nor replayed: many sessions share a server
 * connection, so a setting would have to be sent with every request. Drivers
 * set some of them when they connect. These are accepted if the requested value
 * is the one that every server connection has; all others are an error.
 *
 * @param name  name in lower case
 * @param value new value, or NULL if the statement's value is not a constant
 * @return false with @p error set if the setting was rejected
 */
bool session_settings_set(session_settings_t *settings, const char *name,
			  const char *value, GError **error);

/**
 * Resets a setting to its default. If @p name is NULL, resets all settings but
 * the token: a token can only make the session's reads fresher.
 */
bool session_settings_reset(session_settings_t *settings, const char *name,
			    GError **error);

/** @return the value of a proxy setting, free with g_free(); NULL on error. */
char *session_settings_show(const session_settings_t *settings,
			    const char *name, GError **error);

/** Applies the start-up parameter `options`: "-c name=value --name=value". */
bool session_settings_options(session_settings_t *settings, const char *options,
			      GError **error);

/** @return the SQLSTATE of an error of these functions or of a token. */
const char *session_settings_sqlstate(const GError *error);

G_DEFINE_AUTOPTR_CLEANUP_FUNC(session_settings_t, session_settings_delete)

#endif
