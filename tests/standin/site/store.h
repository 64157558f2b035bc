#ifndef STANDIN_SITE_STORE_H
#define STANDIN_SITE_STORE_H

#include <stdbool.h>
#include <stdint.h>

#include <event2/event.h>
#include <event2/http.h>
#include <glib.h>

/** A key-value store with revisions, leases, transactions and watches. */
typedef struct site_store site_store_t;

/** The store's injected faults. */
typedef struct {
	uint64_t down_until_ms; /**< calls are answered 503 until then */
	/** calls are not answered until then */
	uint64_t unresponsive_until_ms;
	uint64_t lose_until_ms; /**< not used */
	uint32_t slow_ms;	/**< delay of each answer */
} site_store_faults_t;

/** Creates an empty store. */
site_store_t *site_store_create(struct event_base *base);

/** Serves one call of the store's HTTP interface. */
void site_store_serve(site_store_t *store, struct evhttp_request *request);

/** Writes a key without a lease, as the platform itself does. */
void site_store_put(site_store_t *store, const char *key, const char *value);

/** Removes a key, as the platform itself does. */
void site_store_remove(site_store_t *store, const char *key);

/** Drops the history of changes; watches from before it get 410. */
void site_store_compact(site_store_t *store);

/** Keeps a copy of all keys, leases and the history. */
void site_store_keep_copy(site_store_t *store);

/**
 * Goes back to the copy, if there is one: later writes and leases are lost,
 * revisions and leases' ids are given out again, and the era rises by one.
 */
void site_store_restore(site_store_t *store);

/** @return the store's faults, for the control URLs to set. */
site_store_faults_t *site_store_faults(site_store_t *store);

#endif
