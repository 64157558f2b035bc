#ifndef STATE_CATALOG_H
#define STATE_CATALOG_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/** Which servers may run the reads of a database. */
typedef enum {
	READS_AT_PRIMARY, /**< all acknowledged changes are seen */
	READS_BOUNDED,	  /**< as old as the catalog allows */
	READS_OWN_WRITES, /**< as READS_BOUNDED, and the session's changes */
} catalog_reads_t;

/** One database as callers name it. */
typedef struct {
	char *name;
	char *service;
	catalog_reads_t reads;
	uint32_t max_age_ms;
	uint32_t timeout_ms;	    /**< of one statement */
	uint32_t target_latency_ms; /**< of a whole operation */
	uint32_t priority;	    /**< 0 goes first */
} catalog_database_t;

/** One replicated service behind the databases. */
typedef struct {
	char *name;
	uint32_t connections_max; /**< at each server, from all nodes */
	uint32_t sync_replicas;
} catalog_service_t;

/** The operators' configuration of a site. */
typedef struct {
	uint64_t version;
	GHashTable *databases; /**< name -> catalog_database_t */
	GHashTable *services;  /**< name -> catalog_service_t */
	uint32_t transaction_idle_ms;
	uint32_t references; /**< private */
} catalog_t;

/** @return an empty catalog with one reference */
catalog_t *catalog_new(void);

catalog_t *catalog_ref(catalog_t *catalog);

/** Gives back a reference; NULL is allowed. */
void catalog_unref(catalog_t *catalog);

/** Takes over @p database, whose name must not be in the catalog. */
void catalog_add_database(catalog_t *catalog, catalog_database_t *database);

/** Takes over @p service, whose name must not be in the catalog. */
void catalog_add_service(catalog_t *catalog, catalog_service_t *service);

const catalog_database_t *catalog_database(const catalog_t *catalog,
					   const char *name);
const catalog_service_t *catalog_service(const catalog_t *catalog,
					 const char *name);

G_DEFINE_AUTOPTR_CLEANUP_FUNC(catalog_t, catalog_unref)

#endif
