#ifndef STATE_CONFIG_H
#define STATE_CONFIG_H

#include <stdbool.h>
#include <stdint.h>

/** Maximum size of an encoded configuration, in bytes. */
#define CONFIG_SIZE_BYTES_MAX 1000000u

/** Key of the active configuration in the platform's key-value store. */
#define CONFIG_KEY "toucanhook/config"

/** Bytes of the encoded configuration reserved for config_t.changes. */
#define CONFIG_CHANGES_SIZE_BYTES 16000u

/** Maximum number of accepted changes that a configuration records. */
#define CONFIG_CHANGES_MAX 64

/** One backend server of a database group. */
typedef struct {
	char *name;
	char *failure_domain;
	char *address; /**< IP number */
	uint16_t port;
	bool leaving; /**< being removed, takes no new work */
} config_server_t;

/** One database: a primary and its replicas, one per slot. */
typedef struct {
	char *name;
	char *first_primary; /**< server that is primary in term 1 */
	config_server_t *servers;
	uint32_t servers_count;
} config_database_t;

/** A class of callers of a service; the list is in order of priority. */
typedef struct {
	char *name;
	uint32_t weight;      /**< guaranteed share among the classes */
	uint32_t queue_limit; /**< maximum queued requests */
	uint32_t max_age_ms;  /**< default maximum age of a read, or 0 */
	uint32_t timeout_ms;  /**< default deadline of a request */
} config_class_t;

/** Login of a caller. */
typedef struct {
	char *name;
	char *class_name;
	char *verifier; /**< SCRAM-SHA-256$iterations:salt$stored:server */
} config_caller_t;

/** One service: its databases, classes and callers. */
typedef struct {
	char *name;
	uint32_t slots;		   /**< servers per database */
	uint32_t connections;	   /**< limit per backend server */
	uint32_t confirm_replicas; /**< replicas that must have a commit */
	uint32_t owners;	   /**< nodes that own each backend server */
	char *backend_user;	   /**< user name for backend servers */
	config_database_t *databases;
	uint32_t databases_count;
	config_class_t *classes;
	uint32_t classes_count;
	config_caller_t *callers;
	uint32_t callers_count;
} config_service_t;

/** A failure domain: it can be cut off from the others as a whole. */
typedef struct {
	char *name;
	char *region;
} config_domain_t;

/** A previously accepted change. */
typedef struct {
	uint64_t revision;
	char *change_id;
} config_change_t;

/** Timeouts and intervals that every node uses. */
typedef struct {
	/** Age at which evidence expires. */
	uint32_t evidence_valid_ms;
	/** Maximum wait for a commit, after which its outcome is unknown. */
	uint32_t confirm_timeout_ms;
	/** Time without an answer after which a primary is suspect. */
	uint32_t suspect_ms;
	/** Poll interval of an idle backend server. */
	uint32_t poll_ms;
	/** Maximum wait for a replica to catch up. */
	uint32_t catch_up_ms;
	/** Maximum wait of a shutdown. */
	uint32_t drain_ms;
} config_limits_t;

/** The operators' configuration of one site, checked and merged. */
typedef struct {
	uint64_t revision;
	char *change_id;
	config_change_t *changes; /**< last accepted changes, newest first */
	uint32_t changes_count;
	char *site; /**< `site` values of the overlays, joined by commas */
	config_limits_t limits;
	config_domain_t *failure_domains;
	uint32_t failure_domains_count;
	config_service_t *services;
	uint32_t services_count;
} config_t;

/** A database and the service that it belongs to. */
typedef struct {
	const config_service_t *service;
	const config_database_t *database;
} config_lookup_t;

/** Finds a database by name. @return false if there is none. */
bool config_find_database(const config_t *config, const char *name,
			  config_lookup_t *lookup);

/** @return the server of that name, or NULL. */
const config_server_t *config_find_server(const config_database_t *database,
					  const char *name);

/** Frees a configuration; NULL is allowed. */
void config_delete(config_t *config);

#endif
