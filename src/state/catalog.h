#ifndef STATE_CATALOG_H
#define STATE_CATALOG_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/** Consistency level of a database's reads. */
typedef enum {
	READS_AT_PRIMARY, /**< see all acknowledged changes */
	READS_BOUNDED,	  /**< may be as old as max_age_ms */
	READS_OWN_WRITES, /**< as READS_BOUNDED, plus the session's writes */
} catalog_reads_t;

/** One database under the name that callers use. */
typedef struct {
	char *name;
	char *service;
	catalog_reads_t reads;
	uint32_t max_age_ms;	    /**< maximum age of a bounded read */
	uint32_t timeout_ms;	    /**< deadline of one statement */
	uint32_t target_latency_ms; /**< target duration of an operation */
	uint32_t priority;	    /**< 0 is the highest */
	bool is_public;		    /**< callers need no key */
} catalog_database_t;

/** One customer, whose callers identify themselves by its keys. */
typedef struct {
	char *name;
	GPtrArray *keys;     /**< char *; secret, never to be logged */
	bool has_quota;	     /**< the next two limits apply */
	uint32_t rate_per_s; /**< operations per second */
	uint32_t burst;	     /**< operations above the rate at once */
	uint32_t priority;   /**< 0 is the highest */
} catalog_customer_t;

/** One replicated service that stores databases. */
typedef struct {
	char *name;
	uint32_t connections_max; /**< limit per server, over all nodes */
	uint32_t sync_replicas;	  /**< synchronous replicas */
} catalog_service_t;

/** The operators' configuration of a site. */
typedef struct {
	uint64_t version;
	GHashTable *databases;	      /**< name -> catalog_database_t */
	GHashTable *services;	      /**< name -> catalog_service_t */
	GHashTable *customers;	      /**< name -> catalog_customer_t */
	bool identifies_callers;      /**< the site has customers with keys */
	struct customer_index *keys;  /**< keys of all customers */
	uint32_t transaction_idle_ms; /**< idle timeout of a transaction */
	uint32_t references;	      /**< private */
} catalog_t;

/** Creates an empty catalog with one reference. */
catalog_t *catalog_new(void);

/** Takes a reference. @return @p catalog */
catalog_t *catalog_ref(catalog_t *catalog);

/** Drops a reference; NULL is allowed. */
void catalog_unref(catalog_t *catalog);

/** Takes ownership of @p database; its name must be new in the catalog. */
void catalog_add_database(catalog_t *catalog, catalog_database_t *database);

/** Takes ownership of @p service; its name must be new in the catalog. */
void catalog_add_service(catalog_t *catalog, catalog_service_t *service);

/**
 * Takes ownership of @p customer, which must have all its keys; its name must
 * be new in the catalog.
 */
void catalog_add_customer(catalog_t *catalog, catalog_customer_t *customer);

/** Creates a customer without keys and quota. */
catalog_customer_t *catalog_customer_new(const char *name);

/** NULL is allowed. */
void catalog_customer_delete(catalog_customer_t *customer);

/** @return the database of that name, or NULL. */
const catalog_database_t *catalog_database(const catalog_t *catalog,
					   const char *name);

/** @return the service of that name, or NULL. */
const catalog_service_t *catalog_service(const catalog_t *catalog,
					 const char *name);

/** @return the customer of that name, or NULL. */
const catalog_customer_t *catalog_customer(const catalog_t *catalog,
					   const char *name);

/** @return whether any customer has a quota */
bool catalog_has_quotas(const catalog_t *catalog);

G_DEFINE_AUTOPTR_CLEANUP_FUNC(catalog_customer_t, catalog_customer_delete)
G_DEFINE_AUTOPTR_CLEANUP_FUNC(catalog_t, catalog_unref)

#endif
