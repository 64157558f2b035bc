#ifndef STANDIN_PLATFORM_KV_H
#define STANDIN_PLATFORM_KV_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/** Maximum size of a value, the same as the platform's. */
#define KV_VALUE_SIZE_BYTES_MAX (1024u * 1024)

/** Value and lease of one key. */
typedef struct {
	GBytes *value;
	uint64_t index;	  /**< index of the key's last change */
	char *session_id; /**< session that holds the lease, or NULL */
} kv_entry_t;

/** A session, which may hold leases until it expires. */
typedef struct {
	uint64_t ttl_ms;     /**< 0 if the session never expires */
	uint64_t expires_ms; /**< when the session expires */
} kv_session_t;

/**
 * State of the key-value service, without sockets and without a clock: callers
 * pass the time in.
 */
typedef struct {
	GHashTable *entries;  /**< of kv_entry_t by key */
	GHashTable *sessions; /**< of kv_session_t by id */
	uint64_t index;	      /**< index of the last change of any key */
	uint64_t last_session_number; /**< number of the newest session's id */
} kv_t;

/** Conditions of a write; acquire and release exclude each other. */
typedef struct {
	bool has_cas;	     /**< whether cas is a condition */
	uint64_t cas;	     /**< the key's current index; 0 if it is absent */
	const char *acquire; /**< session that acquires the lease, or NULL */
	const char *release; /**< session that releases the lease, or NULL */
} kv_condition_t;

void kv_open(kv_t *kv);
void kv_close(kv_t *kv);

/** Makes @p copy a copy of all entries and sessions. */
void kv_copy(const kv_t *kv, kv_t *copy);

/** @return the entry of @p key, or NULL. */
const kv_entry_t *kv_get(const kv_t *kv, const char *key);

/** Writes a key. @return false if a condition does not hold */
bool kv_put(kv_t *kv, const char *key, GBytes *value,
	    const kv_condition_t *condition);

void kv_remove(kv_t *kv, const char *key);

/** Creates a session. @return its id; free with g_free() */
char *kv_session_create(kv_t *kv, uint64_t ttl_ms, uint64_t now_ms);

/**
 * Extends a session by its time to live.
 *
 * @return false if the session does not exist or has expired
 */
bool kv_session_renew(kv_t *kv, const char *id, uint64_t now_ms);

/** Ends a session and releases its leases. */
void kv_session_destroy(kv_t *kv, const char *id);

/** Ends all expired sessions. @return whether there were any */
bool kv_expire(kv_t *kv, uint64_t now_ms);

#endif
