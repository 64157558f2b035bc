#ifndef COORDINATION_ADMISSION_H
#define COORDINATION_ADMISSION_H

#include <stdbool.h>
#include <stdint.h>

/**
 * The queue in front of a backend server's connections. Pure: the time is an
 * argument and every request that was admitted leaves exactly once, by
 * admission_next() or, cancelled or past its deadline, admission_cancel().
 *
 * Tenants take turns by their weights. Within a tenant the first class goes
 * first, but a lower one is passed over only so often as the weights allow.
 */
typedef struct admission admission_t;

/** A request that asks to be queued. */
typedef struct {
	uint64_t id;		/**< not 0, not queued yet */
	const char *tenant;	/**< copied */
	uint32_t tenant_weight; /**< share among tenants, at least 1 */
	uint32_t class_index;	/**< below ADMISSION_CLASSES_MAX, 0 first */
	uint32_t class_weight;	/**< share within the tenant, at least 1 */
	uint32_t queue_limit;	/**< most queued requests of this class */
	uint64_t deadline_ms;
} admission_ask_t;

/** Most classes of a tenant. */
#define ADMISSION_CLASSES_MAX 16

typedef enum {
	ADMISSION_QUEUED,
	ADMISSION_FULL, /**< the class has no place left */
	ADMISSION_LATE, /**< its turn would come after its deadline */
} admission_result_t;

admission_t *admission_create(void);
void admission_destroy(admission_t *admission);

/** @param connections that serve the queue; 0 counts as 1 */
admission_result_t admission_offer(admission_t *admission,
				   const admission_ask_t *ask,
				   uint32_t connections, uint64_t now_ms);

/** Takes the request whose turn it is. @return its id, or 0 */
uint64_t admission_next(admission_t *admission);

/** Takes a request out. @return false if it is not queued */
bool admission_cancel(admission_t *admission, uint64_t id);

/** Tells how long a connection was held; later estimates follow it. */
void admission_served(admission_t *admission, uint64_t service_us);

/** @return requests queued. */
uint32_t admission_count(const admission_t *admission);

#endif
