#include "coordination/takeover.h"

#include <string.h>

#include <glib.h>

#include "coordination/primary_lease.h"

/* Proofs run out; clocks of two machines may differ a little in rate. */
#define WAIT_MS (PRIMARY_LEASE_VALID_MS + PRIMARY_LEASE_VALID_MS / 20)

/* Pause between two questions to the same server. */
#define ASK_MS 80

/* Longest wait for a replica to catch up with a primary that answers. */
#define CATCH_UP_MS 1200

/* Time within which logs are compared, though a server does not answer. */
#define COMPARE_MS 400

/* Time after which the promotion is asked for again. */
#define PROMOTE_AGAIN_MS 900

/* Time after which a fence that was not answered is tried elsewhere. */
#define FENCE_AGAIN_MS 400

typedef struct {
	char id[64];
	bool draining;
	uint64_t started_ms;
	bool fenced;
	bool fence_asked;
	uint64_t fence_asked_ms;
	bool answered; /* since the logs are compared */
	uint64_t asked_ms;
	bool refused; /* it can't be promoted */
	takeover_status_t status;
} server_t;

struct takeover {
	takeover_actions_t actions;
	takeover_phase_t phase;
	uint64_t phase_ms; /* when the phase began */
	uint64_t term;
	char primary[64];
	takeover_kind_t kind;
	server_t servers[TAKEOVER_SERVERS_MAX];
	uint32_t count;
	bool revoked;
	bool forgotten;
	uint64_t revoked_ms;
	uint64_t fenced_ms; /* 0: none yet */
	uint64_t wait_until_ms;
	server_t *candidate;
	uint64_t promote_ms;
	uint64_t new_term;
};

takeover_t *takeover_create(takeover_actions_t actions)
{
	takeover_t *takeover = g_new0(takeover_t, 1);

	takeover->actions = actions;
	return takeover;
}

void takeover_destroy(takeover_t *takeover)
{
	g_free(takeover);
}

static void enter(takeover_t *takeover, takeover_phase_t phase, uint64_t now_ms)
{
	takeover->phase = phase;
	takeover->phase_ms = now_ms;
}

static server_t *find(takeover_t *takeover, const char *id)
{
	for (uint32_t i = 0; i < takeover->count; i++)
		if (!strcmp(takeover->servers[i].id, id))
			return &takeover->servers[i];
	return NULL;
}

static bool is_primary(const takeover_t *takeover, const server_t *server)
{
	return !strcmp(server->id, takeover->primary);
}

void takeover_start(takeover_t *takeover, uint64_t term, const char *primary,
		    takeover_kind_t kind, const takeover_server_t *servers,
		    uint32_t count, uint64_t now_ms)
{
	const takeover_actions_t actions = takeover->actions;

	if (takeover->phase != TAKEOVER_IDLE)
		return;
	*takeover = (takeover_t){.actions = actions,
				 .term = term,
				 .kind = kind,
				 .count = MIN(count, TAKEOVER_SERVERS_MAX)};
	g_strlcpy(takeover->primary, primary, sizeof(takeover->primary));
	for (uint32_t i = 0; i < takeover->count; i++) {
		g_strlcpy(takeover->servers[i].id, servers[i].id,
			  sizeof(takeover->servers[i].id));
		takeover->servers[i].draining = servers[i].draining;
		takeover->servers[i].started_ms = servers[i].started_ms;
	}
	enter(takeover, TAKEOVER_INTENT, now_ms);
	actions.write(actions.context, term, primary, term + 1);
}

void takeover_abort(takeover_t *takeover)
{
	takeover->phase = TAKEOVER_IDLE;
}

static server_t *choose_to_fence(takeover_t *takeover)
{
	server_t *chosen = NULL;

	for (uint32_t i = 0; i < takeover->count; i++) {
		server_t *server = &takeover->servers[i];

		if (is_primary(takeover, server) || server->fence_asked)
			continue;
		if (!chosen || server->started_ms < chosen->started_ms)
			chosen = server;
	}
	return chosen;
}

static void fence_one(takeover_t *takeover, uint64_t now_ms)
{
	server_t *server = choose_to_fence(takeover);

	if (!server) {
		for (uint32_t i = 0; i < takeover->count; i++)
			takeover->servers[i].fence_asked =
				takeover->servers[i].fenced;
		return;
	}
	server->fence_asked = true;
	server->fence_asked_ms = now_ms;
	takeover->actions.fence(takeover->actions.context, server->id,
				takeover->term + 1);
}

static void publish(takeover_t *takeover, uint64_t now_ms)
{
	enter(takeover, TAKEOVER_PUBLISH, now_ms);
	takeover->actions.write(takeover->actions.context, takeover->new_term,
				takeover->candidate->id, 0);
}

/*
 * A higher term than the recorded one, or the recorded one if its primary was
 * not known.
 */
static bool leads_newer(const takeover_t *takeover, const server_t *server)
{
	if (!server->answered || server->status.role != SERVER_PRIMARY)
		return false;
	return server->status.term > takeover->term ||
	       (server->status.term == takeover->term && !*takeover->primary);
}

static server_t *leader(takeover_t *takeover)
{
	for (uint32_t i = 0; i < takeover->count; i++) {
		if (leads_newer(takeover, &takeover->servers[i]))
			return &takeover->servers[i];
	}
	return NULL;
}

/*
 * A promotion that took effect already: who asked for it had ended the leases
 * and waited, so it is only published. @return whether there is one
 */
static bool publish_leader(takeover_t *takeover, uint64_t now_ms)
{
	server_t *leads = leader(takeover);

	if (!leads)
		return false;
	takeover->candidate = leads;
	takeover->new_term = leads->status.term;
	publish(takeover, now_ms);
	return true;
}

static void promote(takeover_t *takeover, uint64_t now_ms)
{
	enter(takeover, TAKEOVER_PROMOTE, now_ms);
	takeover->promote_ms = now_ms;
	takeover->candidate->asked_ms = now_ms;
	takeover->actions.promote(takeover->actions.context,
				  takeover->candidate->id);
}

static void ask(takeover_t *takeover, server_t *server, uint64_t now_ms)
{
	if (server->asked_ms && now_ms < server->asked_ms + ASK_MS)
		return;
	server->asked_ms = now_ms;
	takeover->actions.status(takeover->actions.context, server->id);
}

static void ask_all(takeover_t *takeover, uint64_t now_ms)
{
	for (uint32_t i = 0; i < takeover->count; i++)
		ask(takeover, &takeover->servers[i], now_ms);
}

void takeover_written(takeover_t *takeover, bool written, uint64_t now_ms)
{
	switch (takeover->phase) {
	case TAKEOVER_INTENT:
		if (!written) {
			takeover->phase = TAKEOVER_IDLE;
			takeover->actions.done(takeover->actions.context, false,
					       takeover->term,
					       takeover->primary,
					       takeover->primary);
			return;
		}
		enter(takeover, TAKEOVER_REVOKE, now_ms);
		ask_all(takeover, now_ms);
		takeover->actions.revoke(takeover->actions.context);
		fence_one(takeover, now_ms);
		return;
	case TAKEOVER_CONFIRM:
		if (written)
			promote(takeover, now_ms);
		else
			enter(takeover, TAKEOVER_CHOOSE, now_ms);
		return;
	case TAKEOVER_PUBLISH:
		if (!written) /* asked again by the step */
			return;
		takeover->phase = TAKEOVER_IDLE;
		takeover->actions.done(takeover->actions.context, true,
				       takeover->new_term, takeover->primary,
				       takeover->candidate->id);
		return;
	default:
		return;
	}
}

static void wait_for_proofs(takeover_t *takeover, uint64_t now_ms)
{
	const uint64_t since_ms =
		MAX(takeover->revoked_ms, takeover->fenced_ms);

	if (takeover->phase != TAKEOVER_REVOKE || !takeover->revoked ||
	    !takeover->fenced_ms)
		return;
	takeover->wait_until_ms =
		takeover->forgotten ? now_ms : since_ms + WAIT_MS;
	enter(takeover, TAKEOVER_WAIT, now_ms);
}

void takeover_revoked(takeover_t *takeover, uint64_t now_ms)
{
	if (takeover->phase != TAKEOVER_REVOKE)
		return;
	takeover->revoked = true;
	takeover->revoked_ms = now_ms;
	wait_for_proofs(takeover, now_ms);
}

void takeover_forgotten(takeover_t *takeover, uint64_t now_ms)
{
	takeover->forgotten = true;
	if (takeover->phase == TAKEOVER_WAIT)
		takeover->wait_until_ms = now_ms;
	takeover_step(takeover, now_ms);
}

void takeover_fenced(takeover_t *takeover, const char *id,
		     const takeover_status_t *status, uint64_t now_ms)
{
	server_t *server = find(takeover, id);

	if (!server || takeover->phase == TAKEOVER_IDLE)
		return;
	if (!status->answered || status->fence <= takeover->term) {
		if (takeover->phase == TAKEOVER_REVOKE && !takeover->fenced_ms)
			fence_one(takeover, now_ms);
		return;
	}
	server->fenced = true;
	if (takeover->phase != TAKEOVER_REVOKE)
		return;
	takeover->fenced_ms = now_ms;
	wait_for_proofs(takeover, now_ms);
}

static void begin_choice(takeover_t *takeover, uint64_t now_ms)
{
	enter(takeover, TAKEOVER_CHOOSE, now_ms);
	takeover->candidate = NULL;
	for (uint32_t i = 0; i < takeover->count; i++) {
		takeover->servers[i].answered = false;
		takeover->servers[i].asked_ms = 0;
		ask(takeover, &takeover->servers[i], now_ms);
	}
}

static bool better(const server_t *a, const server_t *b)
{
	const int order =
		log_point_compare(a->status.received, b->status.received);

	if (a->draining != b->draining)
		return !a->draining;
	return order > 0;
}

static server_t *longest_log(takeover_t *takeover)
{
	server_t *best = NULL;

	for (uint32_t i = 0; i < takeover->count; i++) {
		server_t *server = &takeover->servers[i];

		if (!server->answered || server->refused ||
		    is_primary(takeover, server))
			continue;
		if (!best || better(server, best))
			best = server;
	}
	return best;
}

/* A lost primary was asked while proofs ran out: it is not waited for. */
static bool all_answered(const takeover_t *takeover)
{
	for (uint32_t i = 0; i < takeover->count; i++) {
		const server_t *server = &takeover->servers[i];

		if (server->answered || server->status.unreachable)
			continue;
		if (is_primary(takeover, server) &&
		    takeover->kind == TAKEOVER_LOST)
			continue;
		return false;
	}
	return true;
}

/* The old primary is well: nothing is replaced. */
static bool leads_still(const takeover_t *takeover, const server_t *old)
{
	return old->answered && old->status.role == SERVER_PRIMARY &&
	       old->status.term == takeover->term;
}

static void keep_primary(takeover_t *takeover, server_t *old, uint64_t now_ms)
{
	takeover->candidate = old;
	takeover->new_term = takeover->term;
	publish(takeover, now_ms);
}

static bool has_caught_up(const server_t *server, const server_t *old)
{
	return log_point_covers(server->status.received, old->status.received);
}

/* A primary that was well when its relief began. */
static bool is_lost_meanwhile(const takeover_t *takeover, const server_t *old,
			      uint64_t waited_ms)
{
	return takeover->kind == TAKEOVER_RELIEF && !old->answered &&
	       (old->status.unreachable || waited_ms >= CATCH_UP_MS);
}

static bool must_keep(const takeover_t *takeover, const server_t *old,
		      const server_t *best, uint64_t waited_ms)
{
	switch (takeover->kind) {
	case TAKEOVER_LOST:
		return leads_still(takeover, old);
	case TAKEOVER_LEAVING:
		return leads_still(takeover, old) && !best &&
		       waited_ms >= CATCH_UP_MS;
	case TAKEOVER_RELIEF:
		return old->answered && waited_ms >= CATCH_UP_MS &&
		       !(best && has_caught_up(best, old));
	}
	return false;
}

static void choose(takeover_t *takeover, uint64_t now_ms)
{
	server_t *old = find(takeover, takeover->primary);
	server_t *best = longest_log(takeover);
	const uint64_t waited_ms = now_ms - takeover->phase_ms;

	if (publish_leader(takeover, now_ms))
		return;
	ask_all(takeover, now_ms);
	if (old && is_lost_meanwhile(takeover, old, waited_ms))
		takeover->kind = TAKEOVER_LOST;
	if (old && must_keep(takeover, old, best, waited_ms)) {
		keep_primary(takeover, old, now_ms);
		return;
	}
	if (!best || (!all_answered(takeover) && waited_ms < COMPARE_MS))
		return;
	if (old && old->answered && waited_ms < CATCH_UP_MS &&
	    !has_caught_up(best, old))
		return;
	if (takeover->kind == TAKEOVER_RELIEF && old && !old->answered)
		return;
	takeover->candidate = best;
	enter(takeover, TAKEOVER_CONFIRM, now_ms);
	takeover->actions.write(takeover->actions.context, takeover->term,
				takeover->primary, takeover->term + 1);
}

void takeover_status(takeover_t *takeover, const char *id,
		     const takeover_status_t *status, uint64_t now_ms)
{
	server_t *server = find(takeover, id);

	if (!server || takeover->phase == TAKEOVER_IDLE)
		return;
	server->status = *status;
	server->answered = status->answered;
	if (takeover->phase == TAKEOVER_CHOOSE) {
		choose(takeover, now_ms);
		return;
	}
	if (takeover->phase == TAKEOVER_REVOKE ||
	    takeover->phase == TAKEOVER_WAIT) {
		if (!publish_leader(takeover, now_ms) &&
		    takeover->kind == TAKEOVER_LOST &&
		    is_primary(takeover, server) &&
		    leads_still(takeover, server))
			keep_primary(takeover, server, now_ms);
		return;
	}
	if (takeover->phase != TAKEOVER_PROMOTE ||
	    server != takeover->candidate || !leads_newer(takeover, server))
		return;
	takeover->new_term = status->term;
	publish(takeover, now_ms);
}

void takeover_promoted(takeover_t *takeover, takeover_promoted_t result,
		       uint64_t now_ms)
{
	if (takeover->phase != TAKEOVER_PROMOTE)
		return;
	if (result == TAKEOVER_NOT_RUNNING) {
		takeover->candidate->refused = true;
		begin_choice(takeover, now_ms);
	}
}

void takeover_step(takeover_t *takeover, uint64_t now_ms)
{
	switch (takeover->phase) {
	case TAKEOVER_REVOKE:
		if (!takeover->fenced_ms &&
		    now_ms >= takeover->phase_ms + FENCE_AGAIN_MS) {
			takeover->phase_ms = now_ms;
			ask_all(takeover, now_ms);
			fence_one(takeover, now_ms);
		}
		return;
	case TAKEOVER_WAIT:
		if (now_ms >= takeover->wait_until_ms)
			begin_choice(takeover, now_ms);
		else if (find(takeover, takeover->primary))
			ask(takeover, find(takeover, takeover->primary),
			    now_ms);
		return;
	case TAKEOVER_CHOOSE:
		choose(takeover, now_ms);
		return;
	case TAKEOVER_PROMOTE:
		ask(takeover, takeover->candidate, now_ms);
		if (now_ms >= takeover->promote_ms + PROMOTE_AGAIN_MS)
			begin_choice(takeover, now_ms);
		return;
	case TAKEOVER_PUBLISH:
		if (now_ms >= takeover->phase_ms + PROMOTE_AGAIN_MS)
			publish(takeover, now_ms);
		return;
	default:
		return;
	}
}

takeover_phase_t takeover_phase(const takeover_t *takeover)
{
	return takeover->phase;
}

const char *takeover_phase_name(takeover_phase_t phase)
{
	static const char *const names[] = {"idle",    "intent", "revoke",
					    "wait",    "choose", "confirm",
					    "promote", "publish"};

	return names[phase];
}
