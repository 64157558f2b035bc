#ifndef STANDIN_PLATFORM_KV_H
#define STANDIN_PLATFORM_KV_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/** Largest value, as the platform has it. */
#define KV_VALUE_SIZE_BYTES_MAX (1024u * 1024)

/** One key's value. */
typedef struct {
	GBytes *value;
	uint64_t index;	  /**< of its last change */
	char *session_id; /**< holder of the lease, or NULL */
} kv_entry_t;

/** A lease holder. */
typedef struct {
	uint64_t ttl_ms; /**< 0 for ever */
	uint64_t ends_ms;
} kv_session_t;

/** The state of the key-value service; knows no sockets and no clock. */
typedef struct {
	GHashTable *entries;  /**< of kv_entry_t by key */
	GHashTable *sessions; /**< of kv_session_t by id */
	uint64_t index;	      /**< grows with every change */
	uint64_t next_session;
} kv_t;

/** Conditions of a write. */
typedef struct {
	bool has_cas;
	uint64_t cas;	     /**< index that the key must have; 0: absent */
	const char *acquire; /**< session that takes the lease, or NULL */
	const char *release; /**< session that gives it up, or NULL */
} kv_condition_t;

void kv_open(kv_t *kv);
void kv_close(kv_t *kv);

/** @return the entry, or NULL. */
const kv_entry_t *kv_get(const kv_t *kv, const char *key);

/** Writes a key. @return false when a condition does not hold */
bool kv_put(kv_t *kv, const char *key, GBytes *value,
	    const kv_condition_t *condition);

void kv_remove(kv_t *kv, const char *key);

/** Makes a lease holder. @return its id; free with g_free() */
char *kv_session_create(kv_t *kv, uint64_t ttl_ms, uint64_t now_ms);

/** @return false when there is no such session any more. */
bool kv_session_renew(kv_t *kv, const char *id, uint64_t now_ms);

/** Ends a session and its leases. */
void kv_session_destroy(kv_t *kv, const char *id);

/** Ends all sessions whose time is over. @return whether there were any */
bool kv_expire(kv_t *kv, uint64_t now_ms);

#endif
