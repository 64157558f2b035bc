#ifndef STANDIN_SITE_STORE_DATA_H
#define STANDIN_SITE_STORE_DATA_H

#include <stdint.h>

#include <glib.h>

/** The value of a key. */
typedef struct {
	char *key;
	char *value;	  /**< base64 */
	int64_t revision; /**< revision of the last write */
	int64_t created;  /**< revision of the first write */
	int64_t lease;	  /**< lease that the key ends with, or 0 */
} store_item_t;

/** A write or removal in the history. */
typedef struct {
	char *key;
	char *value; /**< base64, or NULL for a removal */
	int64_t revision;
	int64_t lease; /**< lease that the key ends with, or 0 */
} store_change_t;

typedef struct {
	uint64_t expires_ms; /**< when the lease expires */
	uint32_t ttl_ms;
} store_lease_t;

/** All that the store keeps; a copy of it can be restored later. */
typedef struct {
	GTree *items;	       /**< of store_item_t by key */
	GPtrArray *changes;    /**< of store_change_t, the history */
	int64_t compacted;     /**< last revision dropped from the history */
	int64_t revision;      /**< current revision */
	int64_t last_lease_id; /**< id of the newest lease */
	GHashTable *leases;    /**< of store_lease_t by id */
} store_data_t;

store_data_t *store_data_create(void);
void store_data_destroy(store_data_t *data);

/** @return a copy of @p data */
store_data_t *store_data_copy(const store_data_t *data);

/** Writes a key at the current revision. */
void store_data_set(store_data_t *data, const char *key, const char *value,
		    int64_t lease);

/** Removes a key, if it exists, at the current revision. */
void store_data_drop(store_data_t *data, const char *key);

#endif
