#ifndef WORLD_DEPLOYMENT_H
#define WORLD_DEPLOYMENT_H

#include <stdbool.h>
#include <stdint.h>

/** Maximum number of failure domains of a test deployment. */
#define WORLD_DOMAINS_MAX 4u
/** Maximum number of caller classes of a service. */
#define WORLD_CLASSES_MAX 4u

/** A failure domain and the region that contains it. */
typedef struct {
	const char *name;
	const char *region;
} deployment_domain_t;

/** A caller class; the deployment has one caller of the same name. */
typedef struct {
	const char *name;
	uint32_t weight;     /**< share of the connections, relative */
	uint32_t max_age_ms; /**< staleness accepted by reads; 0: none */
} deployment_class_t;

/** Sizes, delays and faults of a test deployment. */
typedef struct {
	const char *site;
	deployment_domain_t domains[WORLD_DOMAINS_MAX];
	uint32_t domains_count;
	uint32_t nodes_per_domain;
	const char *service; /**< name prefix; "-1", "-2", ... is appended */
	uint32_t services;
	uint32_t databases;	   /**< number of databases of each service */
	uint32_t slots;		   /**< servers of a database, one per domain */
	uint32_t connections;	   /**< connection limit of a server */
	uint32_t confirm_replicas; /**< replicas that confirm a commit */
	uint32_t owners;	   /**< nodes that own a server */
	deployment_class_t classes[WORLD_CLASSES_MAX];
	uint32_t classes_count;
	uint32_t open_delay_ms;	  /**< time to open a backend connection */
	uint32_t ship_delay_ms;	  /**< delay before records are sent */
	uint32_t replay_lag_ms;	  /**< delay before replicas apply records */
	uint32_t domain_delay_ms; /**< one-way, between failure domains */
	uint32_t caller_delay_ms; /**< one-way, between callers and VMs */
	uint32_t jitter_ms;	  /**< maximum extra delay of all links */
	uint32_t loss_percent;	  /**< of segments between failure domains */
	bool relay;		  /**< uses a relay that can cut the links */
	bool backends_only;	  /**< starts no entry VMs, for baselines */
	uint64_t seed;		  /**< seed of every random choice */
} deployment_t;

/**
 * Describes the site Tauhara at its present size, with one service and one
 * database.
 */
deployment_t deployment_tauhara(void);

/**
 * Describes the site Tikva at its present size, with one service and one
 * database.
 */
deployment_t deployment_tikva(void);

#endif
