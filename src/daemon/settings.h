#ifndef DAEMON_SETTINGS_H
#define DAEMON_SETTINGS_H

#include <stdint.h>

#include <glib.h>

#include "state/endpoint.h"

/** An endpoint of another failure domain as it is reached from here. */
typedef struct {
	endpoint_t endpoint;
	endpoint_t via;
} settings_route_t;

/** The settings of one process, read once and checked. */
typedef struct {
	char *node; /**< name of this VM, unique in the fleet */
	char *region;
	char *failure_domain;
	endpoint_t callers;
	endpoint_t peers;
	endpoint_t operators;
	endpoint_t platform;
	char *fleet_public_key; /**< CURVE key, Z85; the same on every node */
	char *fleet_secret_key; /**< CURVE key, Z85 */
	char *tls_certificate;	/**< path, or NULL for no TLS */
	char *tls_key;		/**< path, or NULL for no TLS */
	char *log_level;	/**< error warning notice info debug */
	endpoint_t *seeds;	/**< peers asked before the list is known */
	uint32_t seeds_count;
	settings_route_t *routes; /**< address translations, mostly none */
	uint32_t routes_count;
} settings_t;

/**
 * Reads and checks a YAML file.
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
