#ifndef STORE_STORE_H
#define STORE_STORE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <event2/event.h>

#include "state/member_view.h"

/**
 * The platform's key-value service and its list of VMs. Every call is
 * asynchronous and leads to exactly one callback, which never runs before the
 * call returns.
 */
typedef struct store store_t;

/** Result of a call. */
typedef enum {
	STORE_OK,
	STORE_ABSENT,	/**< the key does not exist */
	STORE_CONFLICT, /**< the key has another modification index */
	STORE_REFUSED,	/**< the service refused; nothing changed */
	STORE_UNKNOWN,	/**< no answer; a write may have taken effect */
} store_result_t;

/**
 * Receives the result of a read or swap.
 *
 * @param index modification index of the value, for the next swap; 0 after a
 *        swap and for an absent key
 */
typedef void (*store_value_t)(void *context, store_result_t result,
			      const uint8_t *bytes, size_t size_bytes,
			      uint64_t index);

/** Receives the list of VMs. */
typedef void (*store_members_t)(void *context, store_result_t result,
				const member_t *members, uint32_t members_count,
				uint64_t index);

/** Implementation of a platform's store. */
typedef struct {
	/**
	 * Reads a key. If @p after_index is not 0, waits up to @p wait_ms for a
	 * higher modification index.
	 */
	void (*get)(void *self, const char *key, uint64_t after_index,
		    uint32_t wait_ms, store_value_t done, void *context);
	/** Writes a key if its index is @p index; 0 creates the key. */
	void (*swap)(void *self, const char *key, const uint8_t *bytes,
		     size_t size_bytes, uint64_t index, store_value_t done,
		     void *context);
	/** Lists the VMs that run nodes; waits as get does. */
	void (*members)(void *self, uint64_t after_index, uint32_t wait_ms,
			store_members_t done, void *context);
	void (*destroy)(void *self);
} store_calls_t;

struct store {
	const store_calls_t *calls;
	void *self;
};

/** Creates a client of the Consul-style HTTP API, see docs/DESIGN.md. */
store_t *store_consul_create(struct event_base *base, const char *address,
			     uint16_t port);

/** Frees the store; pending callbacks are not called. NULL is allowed. */
void store_destroy(store_t *store);

#endif
