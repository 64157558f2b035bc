#ifndef DAEMON_PEER_TRAFFIC_H
#define DAEMON_PEER_TRAFFIC_H

#include <stddef.h>

#include "base/metrics.h"
#include "protocol/peer_message.h"
#include "transport/peer_socket.h"

/** Counters of one direction and class of messages. */
typedef struct {
	metric_t *bytes;
	metric_t *messages;
} peer_flow_t;

/** Traffic classes by which messages are counted. */
typedef enum {
	PEER_CLASS_CONTROL,  /**< members and configuration */
	PEER_CLASS_GROUPS,   /**< evidence, fences and terms */
	PEER_CLASS_REQUESTS, /**< forwarded requests and answers */
	PEER_CLASS_COUNT,
} peer_class_t;

/** Metrics of the messages between peers. */
typedef struct {
	peer_flow_t sent[PEER_CLASS_COUNT];
	peer_flow_t received[PEER_CLASS_COUNT];
	metric_t *dropped_malformed; /**< messages that fail to decode */
	metric_t *dropped_stale;   /**< messages from or for an ended process */
	metric_t *answers_dropped; /**< late, misdirected or duplicate */
	metric_t *duplicates;	   /**< duplicate requests */
} peer_traffic_t;

/** Registers the metrics. */
peer_traffic_t peer_traffic_make(metrics_t *metrics);

/** @return the lane on which messages of a kind are sent. */
peer_lane_t peer_traffic_lane(peer_message_kind_t kind);

/** @return the traffic class of a message. */
peer_class_t peer_traffic_class(const peer_message_t *message);

/** Counts one message of @p size_bytes. */
void peer_traffic_count(const peer_flow_t *flow, size_t size_bytes);

#endif
