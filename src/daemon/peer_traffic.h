#ifndef DAEMON_PEER_TRAFFIC_H
#define DAEMON_PEER_TRAFFIC_H

#include <stddef.h>

#include "base/metrics.h"
#include "protocol/peer_message.h"
#include "transport/peer_socket.h"

/** What one way and class of messages amounts to. */
typedef struct {
	metric_t *bytes;
	metric_t *messages;
} peer_flow_t;

/** Classes that messages are counted by. */
typedef enum {
	PEER_CLASS_CONTROL, /**< members and configuration */
	PEER_CLASS_GROUPS,  /**< evidence, fences and terms */
	PEER_CLASS_REQUESTS,
	PEER_CLASS_COUNT,
} peer_class_t;

/** Metrics of the messages between peers. */
typedef struct {
	peer_flow_t sent[PEER_CLASS_COUNT];
	peer_flow_t received[PEER_CLASS_COUNT];
	metric_t *dropped_malformed; /**< messages out of bounds */
	metric_t *dropped_stale;     /**< of or for an ended incarnation */
	metric_t *answers_dropped;   /**< late, crossed or twice */
	metric_t *duplicates;	     /**< requests that came twice */
} peer_traffic_t;

peer_traffic_t peer_traffic_make(metrics_t *metrics);

/** @return the lane of a kind of message. */
peer_lane_t peer_traffic_lane(peer_message_kind_t kind);

/** @return the class that a message is counted by. */
peer_class_t peer_traffic_class(const peer_message_t *message);

/** Counts one message. */
void peer_traffic_count(const peer_flow_t *flow, size_t size_bytes);

#endif
