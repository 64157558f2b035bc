#include "coordination/takeover_private.h"

#include <glib.h>

/* The fences of a takeover: which replica is fenced, whether it still is. */

static server_t *choose_to_fence(takeover_t *takeover)
{
	server_t *chosen = NULL;

	for (uint32_t i = 0; i < takeover->count; i++) {
		server_t *server = &takeover->servers[i];

		if (takeover_is_primary(takeover, server) || server->fence_sent)
			continue;
		if (!chosen || server->started_ms < chosen->started_ms)
			chosen = server;
	}
	return chosen;
}

void takeover_fence_one(takeover_t *takeover, uint64_t now_ms)
{
	server_t *server = choose_to_fence(takeover);

	if (!server) {
		for (uint32_t i = 0; i < takeover->count; i++)
			takeover->servers[i].fence_sent =
				takeover->servers[i].fenced;
		return;
	}
	server->fence_sent = true;
	server->fence_sent_ms = now_ms;
	takeover->actions.fence(takeover->actions.context, server->id,
				takeover->term + 1);
}

static bool has_fence(const takeover_t *takeover)
{
	for (uint32_t i = 0; i < takeover->count; i++)
		if (takeover->servers[i].fenced)
			return true;
	return false;
}

bool takeover_is_fence_seen(const takeover_t *takeover)
{
	for (uint32_t i = 0; i < takeover->count; i++) {
		const server_t *server = &takeover->servers[i];

		if (server->fenced &&
		    server->fence_seen_ms >= takeover->wait_until_ms)
			return true;
	}
	return takeover->forgotten;
}

void takeover_note_fence(const takeover_t *takeover, server_t *server,
			 const takeover_status_t *status)
{
	if (!server->fenced || !status->answered)
		return;
	if (status->fence > takeover->term || status->term > takeover->term) {
		server->fence_seen_ms =
			MAX(server->fence_seen_ms, status->sent_ms);
	} else if (status->sent_ms >= server->fenced_ms) {
		server->fenced = false;
		server->fence_sent = false;
	}
}

void takeover_fence_anew(takeover_t *takeover, uint64_t now_ms)
{
	takeover->fenced_ms = 0;
	for (uint32_t i = 0; i < takeover->count; i++)
		takeover->servers[i].fenced = false;
	takeover_enter_phase(takeover, TAKEOVER_REVOKE, now_ms);
	takeover_fence_one(takeover, now_ms);
}

bool takeover_restore_fence(takeover_t *takeover, uint64_t now_ms)
{
	if (!takeover->fenced_ms || takeover->forgotten || has_fence(takeover))
		return false;
	takeover_fence_anew(takeover, now_ms);
	return true;
}

static bool shows_fence(const takeover_t *takeover, const server_t *server)
{
	return server->answered && server->status.role == SERVER_REPLICA &&
	       server->status.term <= takeover->term &&
	       server->status.fence > takeover->term;
}

void takeover_lift_surplus(takeover_t *takeover)
{
	const server_t *kept = NULL;

	for (uint32_t i = 0; i < takeover->count && !kept; i++)
		if (takeover->servers[i].fenced &&
		    shows_fence(takeover, &takeover->servers[i]))
			kept = &takeover->servers[i];
	for (uint32_t i = 0; i < takeover->count && kept; i++) {
		server_t *server = &takeover->servers[i];

		if (server == kept || !shows_fence(takeover, server))
			continue;
		server->fenced = false;
		server->status.fence = 0; /* until it says otherwise */
		takeover->actions.release(takeover->actions.context,
					  server->id);
	}
}

void takeover_raise_term(takeover_t *takeover, uint64_t term, uint64_t now_ms)
{
	takeover->term = term;
	takeover->fenced_ms = 0;
	for (uint32_t i = 0; i < takeover->count; i++) {
		takeover->servers[i].fenced = false;
		takeover->servers[i].fence_sent = false;
	}
	takeover_enter_phase(takeover, TAKEOVER_REVOKE, now_ms);
	takeover_fence_one(takeover, now_ms);
}
