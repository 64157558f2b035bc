#ifndef WORLD_DEPLOYMENT_H
#define WORLD_DEPLOYMENT_H

#include <stdbool.h>
#include <stdint.h>

/** Most failure domains of a world. */
#define WORLD_DOMAINS_MAX 4u
/** Most classes of callers of a service. */
#define WORLD_CLASSES_MAX 4u

/** A failure domain. */
typedef struct {
	const char *name;
	const char *region;
} deployment_domain_t;

/** A class of callers, with one caller of the same name. */
typedef struct {
	const char *name;
	uint32_t weight;
	uint32_t max_age_ms; /**< age that its reads accept; 0 for none */
} deployment_class_t;

/** What a world consists of. */
typedef struct {
	const char *site;
	deployment_domain_t domains[WORLD_DOMAINS_MAX];
	uint32_t domains_count;
	uint32_t nodes_per_domain;
	const char *service; /**< name; a number is added */
	uint32_t services;
	uint32_t databases; /**< of each service */
	uint32_t slots;	    /**< servers of a database, one per domain */
	uint32_t connections;
	uint32_t confirm_replicas;
	uint32_t owners;
	deployment_class_t classes[WORLD_CLASSES_MAX];
	uint32_t classes_count;
	uint32_t open_delay_ms; /**< of a backend connection */
	uint32_t ship_delay_ms;
	uint32_t replay_lag_ms;
	uint32_t domain_delay_ms; /**< one way, between failure domains */
	uint32_t caller_delay_ms; /**< one way, to callers */
	uint32_t jitter_ms;	  /**< of all links */
	uint32_t loss_percent;	  /**< of segments between failure domains */
	bool relay;		  /**< links between domains can be cut */
	bool backends_only;	  /**< no entry VMs, for baselines */
	uint64_t seed;
} deployment_t;

/** @return Tauhara's sizes of today, with one service and database. */
deployment_t deployment_tauhara(void);

/** @return Tikva's sizes of today, with one service and database. */
deployment_t deployment_tikva(void);

#endif
