#include "daemon/peer_traffic.h"

#include <glib.h>

static peer_flow_t make_flow(metrics_t *metrics, const char *direction,
			     peer_lane_t lane)
{
	g_autofree char *labels = g_strdup_printf(
		"direction=\"%s\",class=\"%s\"", direction,
		lane == PEER_LANE_CONTROL ? "control" : "requests");

	return (peer_flow_t){
		.bytes = metrics_counter(metrics, "toucanhook_peer_bytes_total",
					 labels),
		.messages = metrics_counter(
			metrics, "toucanhook_peer_messages_total", labels),
	};
}

static metric_t *make_dropped(metrics_t *metrics, const char *reason)
{
	g_autofree char *labels = g_strdup_printf("reason=\"%s\"", reason);

	return metrics_counter(metrics, "toucanhook_peer_dropped_total",
			       labels);
}

peer_traffic_t peer_traffic_make(metrics_t *metrics)
{
	peer_traffic_t traffic = {
		.dropped_malformed = make_dropped(metrics, "malformed"),
		.dropped_stale = make_dropped(metrics, "stale"),
		.answers_dropped = make_dropped(metrics, "answer"),
		.duplicates = make_dropped(metrics, "request_twice"),
	};

	for (uint32_t lane = 0; lane < PEER_LANE_COUNT; lane++) {
		traffic.sent[lane] =
			make_flow(metrics, "sent", (peer_lane_t)lane);
		traffic.received[lane] =
			make_flow(metrics, "received", (peer_lane_t)lane);
	}
	return traffic;
}

peer_lane_t peer_traffic_lane(peer_message_kind_t kind)
{
	if (kind == PEER_MESSAGE_HEARTBEAT || kind == PEER_MESSAGE_NOTE)
		return PEER_LANE_CONTROL;
	return PEER_LANE_CALLS;
}

void peer_traffic_count(const peer_flow_t *flow, size_t size_bytes)
{
	metric_add(flow->messages, 1);
	metric_add(flow->bytes, size_bytes);
}
