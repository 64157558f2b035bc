#ifndef COORDINATION_HUB_CONTACT_H
#define COORDINATION_HUB_CONTACT_H

#include <stdbool.h>
#include <stdint.h>

/**
 * Determines how long a node waits for a hub to accept its connection, and
 * when it tries again.
 *
 * Load pattern: all VMs come back from a power loss within 0.3 s of each other,
 * in any order, and their processes find the hubs' keys of before. A connection
 * request to a VM that is still off is lost, and the kernel repeats it only
 * after 1 s. So a node that has had no answer of a hub yet drops the request
 * early and sends another one. Later a silent hub is the exception, and the
 * other hubs of the domain serve meanwhile.
 */
typedef struct {
	bool near;	      /**< the hub is in the node's failure domain */
	bool answered;	      /**< some hub has answered this run of the node */
	uint32_t run_time_ms; /**< time since the node began to ask hubs */
} hub_contact_t;

/** How a connection to a hub failed. */
typedef enum {
	HUB_CONTACT_REFUSED, /**< the hub does not serve nodes, maybe not yet */
	HUB_CONTACT_FAILED,  /**< any other failure */
} hub_contact_failure_t;

/** @return the time after which the opening of a connection has failed */
uint32_t hub_contact_open_timeout_ms(const hub_contact_t *contact);

/** @return the delay before the next attempt after a failure */
uint32_t hub_contact_retry_ms(const hub_contact_t *contact,
			      hub_contact_failure_t failure);

/**
 * Time after which a hub that sends nothing counts as unresponsive: it holds a
 * request for up to 400 ms.
 */
#define HUB_CONTACT_ANSWER_TIMEOUT_MS 750u

/**
 * A request to a hub that is not answered yet. All nodes of a domain that start
 * together request the whole configuration and all servers, hundreds of
 * kilobytes on a large site, over the hubs' links of 10 Mbit/s: an answer may
 * take seconds, and requesting it again would only add to the queue.
 */
typedef struct {
	uint64_t sent_ms;  /**< when the request was sent */
	uint64_t heard_ms; /**< when bytes last arrived from the hub */
} hub_contact_request_t;

/** @return whether a part of the answer arrived a moment ago */
bool hub_contact_is_receiving(const hub_contact_request_t *request,
			      uint64_t now_ms);

/** @return whether the hub counts as unresponsive */
bool hub_contact_is_unresponsive(const hub_contact_request_t *request,
				 uint64_t now_ms);

/**
 * @param request to another hub, for the whole state
 * @return whether one more hub may be asked for the whole state
 */
bool hub_contact_may_ask_another(const hub_contact_request_t *request,
				 uint64_t now_ms);

#endif
