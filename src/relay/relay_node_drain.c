/* How a node leaves; the order is that of coordination/drain_plan.h. */
#include "relay/relay_node_private.h"

#include <inttypes.h>

#include "base/clock.h"
#include "base/log.h"

/* Time in which the load balancer may still send callers to a draining node. */
#define DRAIN_ACCEPT_MS 2500

/* Timer interval while draining. */
#define DRAIN_TICK_MS 50

static void count_cut(const relay_node_t *node, const char *kind,
		      uint32_t count)
{
	g_autofree char *labels = metrics_labels("kind", kind, NULL);

	metric_add(metrics_counter(node->metrics, "toucanhook_drain_cut_total",
				   labels),
		   count);
}

static bool is_served(const relay_node_t *node)
{
	return !relay_callers_count(node->callers) &&
	       !relay_forwarding_count(node->forwarding);
}

/* Answers what is accepted; the answers of servers would come too late. */
static void finish(relay_node_t *node)
{
	const uint32_t forwarded = relay_forwarding_finish(node->forwarding);
	const relay_cut_t cut = relay_callers_finish(node->callers);

	log_event(LOG_LEVEL_NOTICE, "drain_cut",
		  "unsent=%u sent=%u transactions=%u forwarded=%u", cut.unsent,
		  cut.sent, cut.transactions, forwarded);
	count_cut(node, "unsent", cut.unsent);
	count_cut(node, "sent", cut.sent);
	count_cut(node, "transaction", cut.transactions);
	count_cut(node, "forwarded", forwarded);
}

/* Gives up what the node holds; no answer needs it any more. */
static void leave(relay_node_t *node)
{
	relay_callers_close(node->callers);
	log_event(LOG_LEVEL_NOTICE, "drained",
		  "reason=%s callers=%u after_ms=%" PRIu64,
		  node->drain.answered ? "time" : "idle",
		  relay_callers_count(node->callers),
		  node->drain.left_ms - node->drain.begun_ms);
	/* Without its key a takeover would not wait for the proofs it gave. */
	if (!node->hub || relay_hub_is_settled(node->hub))
		relay_registration_leave(node->registration);
	else
		relay_services_forget_proofs(node->services);
}

void relay_node_on_drain(evutil_socket_t fd, short what, void *context)
{
	relay_node_t *node = context;

	relay_callers_drain(node->callers, &node->drain);
	relay_forwarding_drain(node->forwarding);
	switch (drain_plan_next(&node->drain, clock_boot_ms(),
				is_served(node))) {
	case DRAIN_ACCEPT:
		break;
	case DRAIN_CLOSE:
		relay_callers_close(node->callers);
		break;
	case DRAIN_ANSWER:
		finish(node);
		break;
	case DRAIN_LEAVE:
		leave(node);
		break;
	case DRAIN_EXIT:
		event_base_loopexit(node->base, NULL);
	}
}

void relay_node_drain(relay_node_t *node)
{
	const struct timeval step = clock_timeval(DRAIN_TICK_MS);

	if (drain_plan_is_begun(&node->drain))
		return;
	drain_plan_begin(&node->drain, clock_boot_ms(),
			 node->settings->grace_ms, DRAIN_ACCEPT_MS);
	log_event(LOG_LEVEL_NOTICE, "draining", "callers=%u",
		  relay_callers_count(node->callers));
	relay_coordinator_resign(node->coordinator);
	relay_quota_leader_resign(node->quota_leader);
	relay_join_stop(node->join);
	if (node->hub)
		relay_hub_close(node->hub);
	relay_callers_drain(node->callers, &node->drain);
	event_add(node->drain_timer, &step);
}
