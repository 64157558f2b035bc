#include "coordination/takeover_private.h"

#include <string.h>

#include <glib.h>

/* Choice of the server to promote, from what the servers say. */

server_t *takeover_find_server(takeover_t *takeover, const char *id)
{
	for (uint32_t i = 0; i < takeover->count; i++)
		if (!strcmp(takeover->servers[i].id, id))
			return &takeover->servers[i];
	return NULL;
}

bool takeover_is_primary(const takeover_t *takeover, const server_t *server)
{
	return !strcmp(server->id, takeover->primary);
}

/* Whether the server has started anew, or was rolled back, unnoticed so far. */
static bool has_lost_log(const server_t *server)
{
	return !log_point_covers(server->status.received, server->received);
}

uint32_t takeover_unheard(const takeover_t *takeover)
{
	uint32_t unheard = takeover->guarantee.departed + takeover->unlisted;

	for (uint32_t i = 0; i < takeover->count; i++) {
		const server_t *server = &takeover->servers[i];

		unheard += (!server->answered || has_lost_log(server)) &&
			   !server->departed &&
			   !takeover_is_primary(takeover, server);
	}
	return unheard;
}

bool takeover_is_promotable(const takeover_t *takeover, const server_t *server)
{
	return !takeover->guarantee.sync_replicas ||
	       (server->answered && !has_lost_log(server));
}

static bool is_better_candidate(const server_t *a, const server_t *b)
{
	const int order =
		log_point_compare(a->status.received, b->status.received);

	if (a->draining != b->draining)
		return !a->draining;
	return order > 0;
}

static server_t *find_longest_log(takeover_t *takeover)
{
	server_t *best = NULL;

	for (uint32_t i = 0; i < takeover->count; i++) {
		server_t *server = &takeover->servers[i];

		if (!server->answered || server->refused ||
		    takeover_is_primary(takeover, server))
			continue;
		if (!best || is_better_candidate(server, best))
			best = server;
	}
	return best;
}

bool takeover_is_still_primary(const takeover_t *takeover, const server_t *old)
{
	return old->answered && old->status.role == SERVER_PRIMARY &&
	       old->status.term == takeover->term;
}

bool takeover_has_caught_up(const server_t *server, const server_t *old)
{
	return log_point_covers(server->status.received, old->status.received);
}

/* Whether the server has as much as any other replica that answers. */
static bool has_longest_log(const takeover_t *takeover, const server_t *server)
{
	for (uint32_t i = 0; i < takeover->count; i++) {
		const server_t *other = &takeover->servers[i];

		if (other->answered && !takeover_is_primary(takeover, other) &&
		    !takeover_has_caught_up(server, other))
			return false;
	}
	return true;
}

/* Whether the server is known to have every acknowledged commit. */
static bool holds_all(const takeover_t *takeover, const server_t *server,
		      const server_t *old)
{
	if (has_lost_log(server))
		return false;
	if (old && takeover_is_still_primary(takeover, old))
		return takeover_has_caught_up(server, old);
	return takeover_unheard(takeover) < takeover->guarantee.sync_replicas &&
	       has_longest_log(takeover, server);
}

/*
 * @return the server to promote where commits are guaranteed, or NULL while
 *         none is known to have all of them; one that stays is preferred
 */
static server_t *find_holder(takeover_t *takeover, const server_t *old,
			     uint64_t waited_ms)
{
	/* While the primary serves, another one that stays may catch up. */
	const bool may_leave = !old ||
			       !takeover_is_still_primary(takeover, old) ||
			       (takeover->kind == TAKEOVER_LEAVING &&
				waited_ms >= TAKEOVER_CATCH_UP_MS);
	server_t *best = NULL;

	for (uint32_t i = 0; i < takeover->count; i++) {
		server_t *server = &takeover->servers[i];

		if (!server->answered || server->refused ||
		    takeover_is_primary(takeover, server) ||
		    !holds_all(takeover, server, old))
			continue;
		if (server->draining && !may_leave)
			continue;
		if (!best || is_better_candidate(server, best))
			best = server;
	}
	return best;
}

server_t *takeover_find_candidate(takeover_t *takeover, const server_t *old,
				  uint64_t waited_ms)
{
	if (takeover->guarantee.sync_replicas)
		return find_holder(takeover, old, waited_ms);
	return find_longest_log(takeover);
}

server_t *takeover_find_unclear(takeover_t *takeover, uint64_t waited_ms)
{
	server_t *best = NULL;

	for (uint32_t i = 0; i < takeover->count; i++) {
		server_t *server = &takeover->servers[i];
		const bool primary = server->status.role == SERVER_PRIMARY;

		if (!server->answered || server->refused || !primary ||
		    server->status.term < takeover->term)
			continue;
		if (!best || server->status.term > best->status.term)
			best = server;
	}
	return best ? best : takeover_find_candidate(takeover, NULL, waited_ms);
}

server_t *takeover_find_ordered(takeover_t *takeover)
{
	server_t *server =
		takeover_find_server(takeover, takeover->order.server);

	if (!server || server->refused ||
	    takeover_is_primary(takeover, server) ||
	    !takeover_is_promotable(takeover, server))
		return NULL;
	return server;
}

void takeover_forget_refusals(takeover_t *takeover)
{
	for (uint32_t i = 0; i < takeover->count; i++)
		takeover->servers[i].refused = false;
}

bool takeover_all_answered(const takeover_t *takeover)
{
	for (uint32_t i = 0; i < takeover->count; i++) {
		const server_t *server = &takeover->servers[i];

		if (server->answered || server->status.unreachable)
			continue;
		if (takeover_is_primary(takeover, server) &&
		    takeover->kind == TAKEOVER_LOST)
			continue;
		return false;
	}
	return true;
}

bool takeover_is_lost_in_handover(const takeover_t *takeover,
				  const server_t *old, uint64_t waited_ms)
{
	return takeover->kind == TAKEOVER_HANDOVER && !old->answered &&
	       (old->status.unreachable || waited_ms >= TAKEOVER_CATCH_UP_MS);
}

bool takeover_must_keep(const takeover_t *takeover, const server_t *old,
			const server_t *best, uint64_t waited_ms)
{
	switch (takeover->kind) {
	case TAKEOVER_LOST:
		return takeover_is_still_primary(takeover, old);
	case TAKEOVER_LEAVING:
		/* With a guarantee it waits for a replica to catch up. */
		return takeover_is_still_primary(takeover, old) && !best &&
		       !takeover->guarantee.sync_replicas &&
		       waited_ms >= TAKEOVER_CATCH_UP_MS;
	case TAKEOVER_HANDOVER:
		return old->answered && waited_ms >= TAKEOVER_CATCH_UP_MS &&
		       !(best && takeover_has_caught_up(best, old));
	case TAKEOVER_RESTORED:
	case TAKEOVER_UNFINISHED:
		return false;
	}
	return false;
}

server_t *takeover_find_successor(takeover_t *takeover, server_t *leaving,
				  uint64_t waited_ms)
{
	server_t *best = find_longest_log(takeover);

	if (!best || best->draining || waited_ms >= TAKEOVER_CATCH_UP_MS)
		return leaving;
	return takeover_has_caught_up(best, leaving) ? best : NULL;
}
