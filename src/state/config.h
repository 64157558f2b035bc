#ifndef STATE_CONFIG_H
#define STATE_CONFIG_H

#include <stdbool.h>
#include <stdint.h>

/** Largest stored form of a configuration, in bytes. */
#define CONFIG_SIZE_BYTES_MAX 1000000u

/** Key of the platform's service that holds the configuration in force. */
#define CONFIG_KEY "toucanhook/config"

/** Room for the changes that are remembered, in bytes of the stored form. */
#define CONFIG_CHANGES_SIZE_BYTES 16000u

/** Most accepted changes that a configuration remembers. */
#define CONFIG_CHANGES_MAX 64

/** One backend server of a database group. */
typedef struct {
	char *name;
	char *failure_domain;
	char *address; /**< IP number */
	uint16_t port;
	bool leaving; /**< takes no new work */
} config_server_t;

/** One database: a primary and its replicas, one per slot. */
typedef struct {
	char *name;
	char *first_primary; /**< server that leads term 1 */
	config_server_t *servers;
	uint32_t servers_count;
} config_database_t;

/** A class of callers within a service; the first listed is served first. */
typedef struct {
	char *name;
	uint32_t weight;
	uint32_t queue_limit;
	uint32_t max_age_ms; /**< age a read accepts; 0 for the caller's own */
	uint32_t timeout_ms; /**< deadline of a request */
} config_class_t;

/** A caller that may log in. */
typedef struct {
	char *name;
	char *class_name;
	char *verifier; /**< SCRAM-SHA-256$iterations:salt$stored:server */
} config_caller_t;

/** One service: its databases, classes and callers. */
typedef struct {
	char *name;
	uint32_t slots;		   /**< servers of each database */
	uint32_t connections;	   /**< limit of each backend server */
	uint32_t confirm_replicas; /**< replicas that must hold a commit */
	uint32_t owners;	   /**< nodes that share a server */
	char *backend_user;	   /**< user name towards backend servers */
	config_database_t *databases;
	uint32_t databases_count;
	config_class_t *classes;
	uint32_t classes_count;
	config_caller_t *callers;
	uint32_t callers_count;
} config_service_t;

/** A part of the network that can be cut off from the others. */
typedef struct {
	char *name;
	char *region;
} config_domain_t;

/** A change that was accepted before. */
typedef struct {
	uint64_t revision;
	char *change_id;
} config_change_t;

/** Bounds of time that every node applies. */
typedef struct {
	uint32_t evidence_valid_ms;  /**< age at which evidence is asked anew */
	uint32_t confirm_timeout_ms; /**< wait before a commit is unknown */
	uint32_t suspect_ms;	     /**< silence before a primary is suspect */
	uint32_t poll_ms;	     /**< idle poll of a backend server */
	uint32_t catch_up_ms;	     /**< wait for a replica to catch up */
	uint32_t drain_ms;	     /**< longest wait of a shutdown */
} config_limits_t;

/** The operators' configuration of one site, checked and merged. */
typedef struct {
	uint64_t revision;
	char *change_id;
	config_change_t *changes; /**< the last ones accepted, newest first */
	uint32_t changes_count;
	char *site; /**< overlays that it was made with, joined by commas */
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
} config_place_t;

/** Finds a database by name. @return false if there is none. */
bool config_find_database(const config_t *config, const char *name,
			  config_place_t *place);

/** @return the server of that name, or NULL. */
const config_server_t *config_find_server(const config_database_t *database,
					  const char *name);

/** Frees a configuration and all that it owns; NULL is allowed. */
void config_delete(config_t *config);

#endif
