#ifndef COORDINATION_WAIT_QUEUE_H
#define COORDINATION_WAIT_QUEUE_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/** Private: what one customer was granted. */
typedef struct wait_share wait_share_t;

/**
 * Queue of statements that wait for a connection to one server, ordered by the
 * earliest target time. Statements that can no longer meet their target are
 * served after those that can. Each step of lower priority adds a fixed delay.
 *
 * Entries may bear the name of a customer. Then each customer that waits gets
 * an equal share of the connections granted, and the order above holds among
 * the entries of one customer; every eighth grant of a customer goes to its
 * earliest target, whatever its priority and also if that has passed, so that
 * none is starved. Entries without a customer share as one customer; if there
 * are no others, only the order above applies.
 *
 * Load pattern: a burst of 2.1 to 2.5 times the usual load of one kind while
 * one customer sends six times its usual load. Without shares that customer's
 * statements fill the queue and all others miss their targets with it.
 */
typedef struct {
	GPtrArray *entries; /**< wait_entry_t, owned by the callers */
	double hold_ms;	    /**< mean time for which a connection is held */
	GHashTable *shares; /**< private: customer -> what it was granted */
	uint64_t granted;   /**< private: share of the last customer served */
} wait_queue_t;

/** An entry of the queue, embedded in the waiting statement. */
typedef struct {
	bool first;	      /**< is served before all other entries */
	bool continues;	      /**< of an open transaction: next after those */
	uint32_t priority;    /**< 0 is the highest */
	uint64_t target_ms;   /**< time by which the answer is wanted */
	uint64_t deadline_ms; /**< time from which the answer is useless */
	const char *customer; /**< its name while the entry waits, or NULL */
	void *owner;	      /**< the waiting statement */
	wait_share_t *share;  /**< private; NULL unless the entry waits */
} wait_entry_t;

/** Mean hold time that is assumed before any was recorded. */
#define WAIT_QUEUE_HOLD_MS 30.0

void wait_queue_init(wait_queue_t *queue);
void wait_queue_clear(wait_queue_t *queue);

/** Records the time for which a connection was held. */
void wait_queue_served(wait_queue_t *queue, uint64_t held_ms);

/** @return the expected wait of a new entry */
uint64_t wait_queue_estimate_ms(const wait_queue_t *queue,
				uint32_t connections);

/**
 * @return whether the entry would be served before its deadline; of the other
 *         customers, only what shares put before it counts
 */
bool wait_queue_can_serve(const wait_queue_t *queue, const wait_entry_t *entry,
			  uint32_t connections, uint64_t now_ms);

void wait_queue_add(wait_queue_t *queue, wait_entry_t *entry);
void wait_queue_remove(wait_queue_t *queue, wait_entry_t *entry);

/** Removes the entry to be served next. @return NULL if the queue is empty */
wait_entry_t *wait_queue_next(wait_queue_t *queue, uint64_t now_ms);

/** @return whether an entry can be served now */
typedef bool (*wait_queue_accepts_t)(void *context, const wait_entry_t *entry);

/**
 * Removes the entry to be served next of those that @p accepts.
 *
 * @return NULL if there is none
 */
wait_entry_t *wait_queue_next_accepted(wait_queue_t *queue, uint64_t now_ms,
				       wait_queue_accepts_t accepts,
				       void *context);

/** Adds an entry again that wait_queue_next() returned and was not served. */
void wait_queue_return(wait_queue_t *queue, wait_entry_t *entry);

#endif
