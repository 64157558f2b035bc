#ifndef COORDINATION_ADMISSION_H
#define COORDINATION_ADMISSION_H

#include <stdbool.h>
#include <stdint.h>

/**
 * The queue of requests that wait for a connection to a backend server. The
 * module does no I/O and reads no clock. Every queued request is removed
 * exactly once: by admission_next(), or by admission_cancel() when the request
 * is cancelled or its deadline has passed.
 *
 * Tenants are served by weighted fair queueing. Within a tenant, classes are
 * served in order of priority; the weights bound how often a lower class is
 * passed over.
 */
typedef struct admission admission_t;

/** A request to be queued. */
typedef struct {
	uint64_t id;		/**< unique among queued requests, not 0 */
	const char *tenant;	/**< name, copied by the queue */
	uint32_t tenant_weight; /**< share among tenants, at least 1 */
	uint32_t class_index;	/**< 0 is first; below ADMISSION_CLASSES_MAX */
	uint32_t class_weight;	/**< share within the tenant, at least 1 */
	uint32_t queue_limit;	/**< maximum queued requests of this class */
	uint64_t deadline_ms;	/**< on the clock of @p now_ms */
} admission_request_t;

/** Maximum number of classes of a tenant. */
#define ADMISSION_CLASSES_MAX 16

typedef enum {
	ADMISSION_QUEUED,
	ADMISSION_FULL,		 /**< rejected: the queue limit is reached */
	ADMISSION_PAST_DEADLINE, /**< rejected: the expected wait exceeds the
				    deadline */
} admission_result_t;

admission_t *admission_create(void);
void admission_destroy(admission_t *admission);

/**
 * Queues a request, or rejects it.
 *
 * @param connections number of connections that serve the queue; 0 counts as 1
 */
admission_result_t admission_offer(admission_t *admission,
				   const admission_request_t *request,
				   uint32_t connections, uint64_t now_ms);

/**
 * Removes the request that is to be served next.
 *
 * @return its id, or 0 if the queue is empty
 */
uint64_t admission_next(admission_t *admission);

/** Removes a request from the queue. @return false if it is not queued */
bool admission_cancel(admission_t *admission, uint64_t id);

/** Records a service time, from which later waits are estimated. */
void admission_served(admission_t *admission, uint64_t service_us);

/** @return the number of queued requests. */
uint32_t admission_count(const admission_t *admission);

#endif
