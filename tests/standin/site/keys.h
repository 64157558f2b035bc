#ifndef STANDIN_SITE_KEYS_H
#define STANDIN_SITE_KEYS_H

#include <stdbool.h>
#include <stdint.h>

#include <event2/event.h>
#include <event2/http.h>
#include <glib.h>

/** A key-value store with revisions, leases, transactions and watches. */
typedef struct keys keys_t;

/** The store's injected faults. */
typedef struct {
	uint64_t down_until_ms;	  /**< calls are answered 503 until then */
	uint64_t silent_until_ms; /**< calls are not answered until then */
	uint64_t lose_until_ms;	  /**< not used */
	uint32_t slow_ms;	  /**< delay of each answer */
} keys_faults_t;

/** Creates an empty store. */
keys_t *keys_create(struct event_base *base);

/** Serves one call of the store's HTTP interface. */
void keys_serve(keys_t *keys, struct evhttp_request *request);

/** Writes a key without a lease, as the platform itself does. */
void keys_put(keys_t *keys, const char *key, const char *value);

/** Removes a key, as the platform itself does. */
void keys_remove(keys_t *keys, const char *key);

/** Drops the history of changes; watches from before it get 410. */
void keys_compact(keys_t *keys);

/** @return the store's faults, for the control URLs to set. */
keys_faults_t *keys_faults(keys_t *keys);

#endif
