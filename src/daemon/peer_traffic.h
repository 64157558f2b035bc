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

/** Metrics of the messages between peers. */
typedef struct {
	peer_flow_t sent[PEER_LANE_COUNT];
	peer_flow_t received[PEER_LANE_COUNT];
	metric_t *dropped_malformed; /**< messages out of bounds */
	metric_t *dropped_stale;     /**< of or for an ended incarnation */
	metric_t *answers_dropped;   /**< late, crossed or twice */
	metric_t *duplicates;	     /**< requests that came twice */
} peer_traffic_t;

peer_traffic_t peer_traffic_make(metrics_t *metrics);

/** @return the lane, which is also the class, of a kind of message. */
peer_lane_t peer_traffic_lane(peer_message_kind_t kind);

/** Counts one message. */
void peer_traffic_count(const peer_flow_t *flow, size_t size_bytes);

#endif
