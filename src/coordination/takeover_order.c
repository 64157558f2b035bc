#include "coordination/takeover_order.h"

#include <string.h>

#include <glib.h>

void takeover_order_assume(takeover_order_t *order, const char *server,
			   uint64_t until_ms)
{
	*order = (takeover_order_t){
		.number = order->number + 1,
		.unknown = !server,
		.assumed = !server || *server,
		.until_ms = until_ms,
	};
	if (server)
		g_strlcpy(order->server, server, sizeof(order->server));
}

void takeover_order_restart(takeover_order_t *order, const char *primary,
			    uint64_t now_ms)
{
	if (!takeover_order_is_open(order, now_ms) &&
	    !takeover_order_excludes(order, primary))
		*order = (takeover_order_t){.number = order->number};
	order->accepted_ms = 0;
}

void takeover_order_sent(takeover_order_t *order, const char *server)
{
	if (order->unknown || strcmp(order->server, server)) {
		*order = (takeover_order_t){.number = order->number};
		g_strlcpy(order->server, server, sizeof(order->server));
	}
	order->number++;
	order->sent++;
	order->before_ms = order->until_ms;
	order->until_ms = UINT64_MAX;
}

/* The last order has no effect. */
static void take_back(takeover_order_t *order)
{
	order->sent--;
	order->until_ms = order->before_ms;
	if (!order->sent && !order->assumed)
		*order = (takeover_order_t){.number = order->number};
}

void takeover_order_answered(takeover_order_t *order,
			     takeover_promoted_t result, uint64_t now_ms)
{
	if (takeover_order_is_answered(order))
		return;
	if (result == TAKEOVER_NOT_RUNNING || result == TAKEOVER_NOT_DONE) {
		take_back(order);
		return;
	}
	order->until_ms = now_ms + TAKEOVER_ORDER_EFFECT_MS;
	if (result == TAKEOVER_PROMOTED && !order->accepted_ms)
		order->accepted_ms = now_ms;
}

void takeover_order_seen(takeover_order_t *order, const char *server)
{
	if (!order->assumed && order->sent == 1 && order->accepted_ms &&
	    !strcmp(order->server, server))
		*order = (takeover_order_t){.number = order->number};
}

void takeover_order_doubted(takeover_order_t *order)
{
	order->accepted_ms = 0;
}

bool takeover_order_is_answered(const takeover_order_t *order)
{
	return order->until_ms != UINT64_MAX;
}

bool takeover_order_is_open(const takeover_order_t *order, uint64_t now_ms)
{
	return (order->unknown || *order->server) && now_ms < order->until_ms;
}

bool takeover_order_excludes(const takeover_order_t *order, const char *server)
{
	return order->unknown ||
	       (*order->server && strcmp(order->server, server));
}
