#ifndef STORE_KV_STORE_H
#define STORE_KV_STORE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

/**
 * A key-value service with revisions, transactions, leases and watches.
 * Every call is asynchronous and ends in exactly one callback, never from
 * inside the call.
 */
typedef struct kv_store kv_store_t;

/** How a call ended. */
typedef enum {
	KV_OK,
	KV_ABSENT,    /**< no such key or lease */
	KV_CONFLICT,  /**< a condition of the transaction did not hold */
	KV_COMPACTED, /**< the history that was asked for is gone */
	KV_REFUSED,   /**< the service said no; nothing changed */
	KV_UNKNOWN,   /**< no answer; a write may have taken effect */
} kv_result_t;

/** One key as it stands, or as it changed. */
typedef struct {
	char *key;
	GBytes *value; /**< NULL when deleted */
	int64_t revision;
	bool deleted;
} kv_item_t;

/** What came back. */
typedef struct {
	kv_result_t result;
	GPtrArray *items; /**< kv_item_t; of a range, watch or get */
	int64_t revision; /**< the service's, or that of the transaction */
	int64_t lease;	  /**< of a new lease */
	bool has_more;	  /**< the range goes on behind its last key */
} kv_answer_t;

typedef void (*kv_done_t)(void *context, const kv_answer_t *answer);

/** A condition of a transaction; revision 0 means that the key is absent. */
typedef struct {
	const char *key;
	int64_t revision;
} kv_condition_t;

typedef struct {
	const char *key;
	const char *value;
	int64_t lease; /**< 0 for none */
} kv_put_t;

/** All or nothing. */
typedef struct {
	const kv_condition_t *conditions;
	size_t conditions_count;
	const kv_put_t *puts;
	size_t puts_count;
	const char *const *removals;
	size_t removals_count;
} kv_transaction_t;

/** The calls of one kind of service. */
typedef struct {
	/** Lists keys of a prefix behind @p after_key, NULL for all. */
	void (*range)(void *self, const char *prefix, const char *after_key,
		      kv_done_t done, void *context);
	/** Waits up to @p wait_ms for changes behind a revision. */
	void (*watch)(void *self, const char *prefix, int64_t after_revision,
		      uint32_t wait_ms, kv_done_t done, void *context);
	void (*commit)(void *self, const kv_transaction_t *transaction,
		       kv_done_t done, void *context);
	void (*lease_open)(void *self, uint32_t ttl_ms, kv_done_t done,
			   void *context);
	void (*lease_renew)(void *self, int64_t lease, kv_done_t done,
			    void *context);
	void (*lease_end)(void *self, int64_t lease, kv_done_t done,
			  void *context);
	void (*destroy)(void *self);
} kv_store_calls_t;

struct kv_store {
	const kv_store_calls_t *calls;
	void *self;
};

/** Ends the store; callbacks that wait are not called. */
void kv_store_destroy(kv_store_t *store);

/** @return a lower-case name for logs; never NULL. */
const char *kv_result_name(kv_result_t result);

void kv_item_free(kv_item_t *item);

#endif
