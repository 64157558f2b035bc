#ifndef STATE_CUSTOMER_INDEX_H
#define STATE_CUSTOMER_INDEX_H

#include "state/catalog.h"

/** Maximum number of different keys in an index; further ones are ignored. */
#define CUSTOMER_INDEX_KEYS_MAX 65536u

/**
 * Finds a customer by one of its keys. Holds hashes only, computed with a
 * random secret of this process, and compares them in constant time: neither
 * the duration of a look-up nor a dump of the index reveals parts of a key.
 */
typedef struct customer_index customer_index_t;

/** Hash of a key, the same for all indexes of a process. */
typedef struct {
	uint8_t hash[16];
	bool is_set; /**< false for a missing or empty key, which is unknown */
} customer_key_t;

/** Hashes a key. @param key NULL if the caller sent none */
customer_key_t customer_key_of(const char *key);

customer_index_t *customer_index_create(void);

/** NULL is allowed. */
void customer_index_destroy(customer_index_t *index);

/**
 * Adds all keys of a customer, which must outlive the index. A key that
 * another customer holds as well identifies none of the two from then on.
 */
void customer_index_add(customer_index_t *index,
			const catalog_customer_t *customer);

/** @return the only customer that holds the key, or NULL. */
const catalog_customer_t *customer_index_find(const customer_index_t *index,
					      const customer_key_t *key);

/** @return the number of keys that more than one customer holds */
uint32_t customer_index_shared(const customer_index_t *index);

/** @return the number of keys ignored above CUSTOMER_INDEX_KEYS_MAX */
uint32_t customer_index_ignored(const customer_index_t *index);

#endif
