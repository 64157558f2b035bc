#ifndef COORDINATION_WAIT_QUEUE_H
#define COORDINATION_WAIT_QUEUE_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/**
 * Statements that wait for a connection to one server. The one that can
 * still meet its target and has least time left goes first; those that
 * can't, come after. A class of lower priority waits a little longer.
 */
typedef struct {
	GPtrArray *entries; /**< wait_entry_t, owned by who waits */
	double hold_ms;	    /**< mean time for which a connection is held */
} wait_queue_t;

/** Who waits; kept in what waits. */
typedef struct {
	bool first;	      /**< goes before all others */
	uint32_t priority;    /**< 0 goes first */
	uint64_t target_ms;   /**< when an answer is still in time */
	uint64_t deadline_ms; /**< when an answer is of no use */
	void *owner;
} wait_entry_t;

/** Mean time that is assumed before any is known. */
#define WAIT_QUEUE_HOLD_MS 30.0

void wait_queue_init(wait_queue_t *queue);
void wait_queue_clear(wait_queue_t *queue);

/** Learns for how long a connection was held. */
void wait_queue_served(wait_queue_t *queue, uint64_t held_ms);

/** @return the time after which a new entry would be served */
uint64_t wait_queue_estimate_ms(const wait_queue_t *queue,
				uint32_t connections);

/** @return whether the entry would be served before its deadline */
bool wait_queue_can_serve(const wait_queue_t *queue, const wait_entry_t *entry,
			  uint32_t connections, uint64_t now_ms);

void wait_queue_add(wait_queue_t *queue, wait_entry_t *entry);
void wait_queue_remove(wait_queue_t *queue, wait_entry_t *entry);

/** Takes the entry whose turn it is. @return NULL when none waits */
wait_entry_t *wait_queue_next(wait_queue_t *queue, uint64_t now_ms);

#endif
