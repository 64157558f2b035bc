#include "daemon/peer_traffic.h"

#include <glib.h>

#include "daemon/peers_task.h"

static const char *const class_names[PEER_CLASS_COUNT] = {
	[PEER_CLASS_CONTROL] = "control",
	[PEER_CLASS_GROUPS] = "groups",
	[PEER_CLASS_REQUESTS] = "requests",
};

static peer_flow_t make_flow(metrics_t *metrics, const char *direction,
			     peer_class_t class)
{
	g_autofree char *labels = g_strdup_printf(
		"direction=\"%s\",class=\"%s\"", direction, class_names[class]);

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

	for (uint32_t i = 0; i < PEER_CLASS_COUNT; i++) {
		const peer_class_t class = (peer_class_t)i;

		traffic.sent[i] = make_flow(metrics, "sent", class);
		traffic.received[i] = make_flow(metrics, "received", class);
	}
	return traffic;
}

peer_lane_t peer_traffic_lane(peer_message_kind_t kind)
{
	if (kind == PEER_MESSAGE_HEARTBEAT || kind == PEER_MESSAGE_NOTE)
		return PEER_LANE_CONTROL;
	return PEER_LANE_CALLS;
}

peer_class_t peer_traffic_class(const peer_message_t *message)
{
	if (peer_traffic_lane(message->kind) != PEER_LANE_CONTROL)
		return PEER_CLASS_REQUESTS;
	if (message->kind == PEER_MESSAGE_NOTE &&
	    message->note_kind == PEERS_NOTE_GROUP)
		return PEER_CLASS_GROUPS;
	return PEER_CLASS_CONTROL;
}

void peer_traffic_count(const peer_flow_t *flow, size_t size_bytes)
{
	metric_add(flow->messages, 1);
	metric_add(flow->bytes, size_bytes);
}
