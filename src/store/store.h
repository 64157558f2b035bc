#ifndef STORE_STORE_H
#define STORE_STORE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <event2/event.h>

#include "state/member_view.h"

/**
 * The platform's key-value service and its list of VMs. Every call is
 * asynchronous and ends in exactly one callback, never from inside the call.
 */
typedef struct store store_t;

/** How a call ended. */
typedef enum {
	STORE_OK,
	STORE_ABSENT,	/**< there is no such key */
	STORE_CONFLICT, /**< the compare-and-swap met another index */
	STORE_REFUSED,	/**< the service said no; nothing changed */
	STORE_UNKNOWN,	/**< no answer; a write may have taken effect */
} store_result_t;

/**
 * @param index modification index of the value, for the next swap; 0 after a
 *        swap and for an absent key
 */
typedef void (*store_value_t)(void *context, store_result_t result,
			      const uint8_t *bytes, size_t size_bytes,
			      uint64_t index);

typedef void (*store_members_t)(void *context, store_result_t result,
				const member_t *members, uint32_t members_count,
				uint64_t index);

/** The calls of one kind of platform. */
typedef struct {
	/** Reads a key; with @p after_index waits up to @p wait_ms for more. */
	void (*get)(void *self, const char *key, uint64_t after_index,
		    uint32_t wait_ms, store_value_t done, void *context);
	/** Writes a key if its index is still @p index; 0 for a new key. */
	void (*swap)(void *self, const char *key, const uint8_t *bytes,
		     size_t size_bytes, uint64_t index, store_value_t done,
		     void *context);
	/** Lists the entry VMs; waits as get does. */
	void (*members)(void *self, uint64_t after_index, uint32_t wait_ms,
			store_members_t done, void *context);
	void (*destroy)(void *self);
} store_calls_t;

struct store {
	const store_calls_t *calls;
	void *self;
};

/** The Consul-style HTTP interface, see docs/DESIGN.md. */
store_t *store_consul_create(struct event_base *base, const char *address,
			     uint16_t port);

/** Ends the store; callbacks that wait are not called. */
void store_destroy(store_t *store);

#endif
