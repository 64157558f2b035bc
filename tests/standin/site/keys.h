#ifndef STANDIN_SITE_KEYS_H
#define STANDIN_SITE_KEYS_H

#include <stdbool.h>
#include <stdint.h>

#include <event2/event.h>
#include <event2/http.h>
#include <glib.h>

/** A small store with revisions, leases, transactions and watches. */
typedef struct keys keys_t;

/** How it misbehaves. */
typedef struct {
	uint64_t down_until_ms;	  /**< every call is answered 503 */
	uint64_t silent_until_ms; /**< no call is answered */
	uint64_t lose_until_ms;	  /**< writes are done and not answered */
	uint32_t slow_ms;	  /**< added to each answer */
} keys_faults_t;

keys_t *keys_create(struct event_base *base);

/** Serves a call; every call of the store's interface comes here. */
void keys_serve(keys_t *keys, struct evhttp_request *request);

/** Writes a key as the platform itself does. */
void keys_put(keys_t *keys, const char *key, const char *value);
void keys_remove(keys_t *keys, const char *key);

/** Drops the history that watches go on from. */
void keys_compact(keys_t *keys);

keys_faults_t *keys_faults(keys_t *keys);

#endif
