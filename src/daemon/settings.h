#ifndef DAEMON_SETTINGS_H
#define DAEMON_SETTINGS_H

#include <stdint.h>

#include <glib.h>

#include "state/endpoint.h"

/** Address translation of an endpoint in another failure domain. */
typedef struct {
	endpoint_t endpoint; /**< address and port that peers publish */
	endpoint_t via;	     /**< address and port to connect to instead */
} settings_route_t;

/** Settings of one process, read and validated at startup. */
typedef struct {
	char *node; /**< name of this VM, unique in the fleet */
	char *region;
	char *failure_domain;
	endpoint_t callers;	/**< listens for callers */
	endpoint_t peers;	/**< listens for peers */
	endpoint_t operators;	/**< listens for operators, over HTTP */
	endpoint_t platform;	/**< the platform's store to connect to */
	char *fleet_public_key; /**< CURVE key, Z85; the same on every node */
	char *fleet_secret_key; /**< CURVE key, Z85 */
	char *tls_certificate;	/**< path, or NULL for no TLS */
	char *tls_key;		/**< path, or NULL for no TLS */
	char *log_level;	/**< error warning notice info debug */
	endpoint_t *seeds; /**< peers to contact while no member is known */
	uint32_t seeds_count;
	settings_route_t *routes; /**< address translations, usually empty */
	uint32_t routes_count;
} settings_t;

/**
 * Reads and validates a YAML file.
 *
 * @return the settings, or NULL with @p error set to file, line, path and
 *         what was expected
 */
settings_t *settings_load(const char *path, GError **error);

/** @return the endpoint to connect to for @p address and @p port. */
endpoint_t settings_route(const settings_t *settings, const char *address,
			  uint16_t port);

/** Frees the settings; NULL is allowed. */
void settings_delete(settings_t *settings);

#endif
