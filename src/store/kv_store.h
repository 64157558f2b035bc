#ifndef STORE_KV_STORE_H
#define STORE_KV_STORE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

/**
 * A key-value service with revisions, transactions, leases and watches.
 * Every call is asynchronous and leads to exactly one callback, which never
 * runs before the call returns.
 */
typedef struct kv_store kv_store_t;

/** Result of a call. */
typedef enum {
	KV_OK,
	KV_ABSENT,    /**< the key or lease does not exist */
	KV_CONFLICT,  /**< a condition of the transaction failed */
	KV_COMPACTED, /**< the requested history was compacted */
	KV_REFUSED,   /**< the service refused; nothing changed */
	KV_UNKNOWN,   /**< no answer; a write may have taken effect */
	KV_TOO_LARGE, /**< the answer is too large to be read */
} kv_result_t;

/** State or change of one key. */
typedef struct {
	char *key;
	GBytes *value; /**< NULL if deleted */
	int64_t revision;
	bool deleted;
} kv_item_t;

/** Answer to a call. */
typedef struct {
	kv_result_t result;
	/**
	 * Rises by one each time the service was restored from an older copy;
	 * 0 if there was no answer or the service does not tell.
	 */
	int64_t era;
	GPtrArray *items; /**< kv_item_t of a range, watch or get */
	int64_t revision; /**< of the service or the transaction */
	int64_t lease;	  /**< id of the new lease */
	bool has_more;	  /**< the range has keys after the last one */
} kv_answer_t;

/** Receives the answer to a call, which is valid only during the callback. */
typedef void (*kv_done_t)(void *context, const kv_answer_t *answer);

/** Requires that a key has this revision; 0 requires that the key is absent. */
typedef struct {
	const char *key;
	int64_t revision;
} kv_condition_t;

/** A key to write. */
typedef struct {
	const char *key;
	const char *value;
	int64_t lease; /**< lease that the key is bound to, or 0 */
} kv_put_t;

/** Writes and removals that take effect together if all conditions hold. */
typedef struct {
	const kv_condition_t *conditions;
	size_t conditions_count;
	const kv_put_t *puts;
	size_t puts_count;
	const char *const *removals;
	size_t removals_count;
} kv_transaction_t;

/** Implementation of a key-value service. */
typedef struct {
	/** Lists keys under a prefix after @p after_key, or all if NULL. */
	void (*range)(void *self, const char *prefix, const char *after_key,
		      kv_done_t done, void *context);
	/**
	 * Lists the first keys under a prefix as they were up to seconds ago,
	 * at a fraction of the cost of a range.
	 */
	void (*range_stale)(void *self, const char *prefix, kv_done_t done,
			    void *context);
	/** Waits up to @p wait_ms for changes after a revision. */
	void (*watch)(void *self, const char *prefix, int64_t after_revision,
		      uint32_t wait_ms, kv_done_t done, void *context);
	/** Executes a transaction. */
	void (*commit)(void *self, const kv_transaction_t *transaction,
		       kv_done_t done, void *context);
	/** Creates a lease that expires @p ttl_ms after its last renewal. */
	void (*lease_open)(void *self, uint32_t ttl_ms, kv_done_t done,
			   void *context);
	void (*lease_renew)(void *self, int64_t lease, kv_done_t done,
			    void *context);
	/** Ends a lease before it expires. */
	void (*lease_end)(void *self, int64_t lease, kv_done_t done,
			  void *context);
	void (*destroy)(void *self);
} kv_store_calls_t;

struct kv_store {
	const kv_store_calls_t *calls;
	void *self;
	/**
	 * Called when the service was restored from an older copy; NULL for
	 * none. Set by the store's user.
	 */
	void (*restored)(void *context);
	void *restored_context;
};

/** Frees the store; pending callbacks are not called. NULL is allowed. */
void kv_store_destroy(kv_store_t *store);

/** @return a lower-case name for logs; never NULL. */
const char *kv_result_name(kv_result_t result);

/** Frees an item. */
void kv_item_free(kv_item_t *item);

#endif
