#include "coordination/takeover_private.h"

#include <string.h>

#include <glib.h>

#include "coordination/primary_lease.h"

/*
 * Time until earlier proofs have expired. The margin of a twentieth covers
 * clocks that differ in rate.
 */
#define WAIT_MS (PRIMARY_LEASE_VALID_MS + PRIMARY_LEASE_VALID_MS / 20)

/* Minimum interval between two status queries to the same server. */
#define QUERY_INTERVAL_MS 80

/* Maximum wait for servers that do not answer when logs are compared. */
#define COMPARE_MS 400

/* Time after which the choice, or the write of the result, is repeated. */
#define PROMOTE_RETRY_MS 900

/* Orders to promote one server before another one is ordered in its place. */
#define ORDERS_MAX 3u

/* Time after the last of them until a server without an effect is given up. */
#define GIVE_UP_MS (2 * PROMOTE_RETRY_MS)

/*
 * Time after which another replica is fenced if the fenced one does not say
 * after the wait that the fence is still there.
 */
#define FENCE_CHECK_MS 600

/* Time after which another replica is fenced if a fence got no answer. */
#define FENCE_RETRY_MS 400

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

void takeover_enter_phase(takeover_t *takeover, takeover_phase_t phase,
			  uint64_t now_ms)
{
	takeover->phase = phase;
	takeover->phase_ms = now_ms;
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
				 .guarantee = takeover->guarantee,
				 .order = takeover->order};
	g_strlcpy(takeover->primary, primary, sizeof(takeover->primary));
	takeover_order_restart(&takeover->order, primary, now_ms);
	takeover_set_servers(takeover, servers, count);
	takeover_enter_phase(takeover, TAKEOVER_INTENT, now_ms);
	actions.write(actions.context, term, primary, term + 1);
}

static void set_server(takeover_t *takeover, const takeover_server_t *given)
{
	server_t *server = takeover_find_server(takeover, given->id);

	if (!server && takeover->count == TAKEOVER_SERVERS_MAX) {
		takeover->unlisted++;
		return;
	}
	if (!server) {
		server = &takeover->servers[takeover->count++];
		*server = (server_t){.started_ms = given->started_ms};
		g_strlcpy(server->id, given->id, sizeof(server->id));
	}
	if (server->started_ms != given->started_ms) {
		/* Its log may be gone; what it reported no longer holds. */
		server->started_ms = given->started_ms;
		server->answered = false;
		server->status = (takeover_status_t){0};
	}
	server->draining = given->draining;
	server->departed = false;
}

void takeover_set_servers(takeover_t *takeover,
			  const takeover_server_t *servers, uint32_t count)
{
	for (uint32_t i = 0; i < takeover->count; i++)
		takeover->servers[i].departed = true;
	takeover->unlisted = 0;
	for (uint32_t i = 0; i < count; i++)
		set_server(takeover, &servers[i]);
}

void takeover_set_guarantee(takeover_t *takeover,
			    const takeover_guarantee_t *guarantee)
{
	takeover->guarantee = *guarantee;
}

void takeover_assume_order(takeover_t *takeover, const char *server,
			   uint64_t until_ms)
{
	takeover_order_assume(&takeover->order, server, until_ms);
}

const char *takeover_ordered(const takeover_t *takeover)
{
	if (takeover->phase == TAKEOVER_CONFIRM)
		return takeover->candidate->id;
	return takeover->order.unknown ? NULL : takeover->order.server;
}

bool takeover_awaits_order(const takeover_t *takeover, uint64_t now_ms)
{
	return takeover->phase == TAKEOVER_CHOOSE &&
	       takeover_order_is_open(&takeover->order, now_ms);
}

uint64_t takeover_order_number(const takeover_t *takeover)
{
	return takeover->order.number;
}

void takeover_abort(takeover_t *takeover)
{
	takeover->phase = TAKEOVER_IDLE;
}

static void publish(takeover_t *takeover, uint64_t now_ms)
{
	takeover_enter_phase(takeover, TAKEOVER_PUBLISH, now_ms);
	takeover_order_seen(&takeover->order, takeover->candidate->id);
	takeover->actions.write(takeover->actions.context, takeover->new_term,
				takeover->candidate->id, 0);
}

/* Whether an order excludes that the server is the newest primary. */
static bool is_excluded(const takeover_t *takeover, const server_t *server)
{
	return takeover_order_excludes(&takeover->order, server->id);
}

/*
 * Whether the server is primary of a higher term than the recorded one, or of
 * the recorded term if its primary was unknown, and no other was ordered later.
 */
static bool is_new_primary(const takeover_t *takeover, const server_t *server)
{
	if (!server->answered || server->status.role != SERVER_PRIMARY ||
	    is_excluded(takeover, server))
		return false;
	return server->status.term > takeover->term ||
	       (server->status.term == takeover->term && !*takeover->primary);
}

static server_t *find_new_primary(takeover_t *takeover)
{
	for (uint32_t i = 0; i < takeover->count; i++) {
		if (is_new_primary(takeover, &takeover->servers[i]))
			return &takeover->servers[i];
	}
	return NULL;
}

/*
 * Publishes the result of an earlier promotion that has already taken effect.
 * The node that requested it had ended the leases and waited, so these steps
 * are not repeated.
 *
 * @return whether there is such a primary
 */
static bool publish_new_primary(takeover_t *takeover, uint64_t now_ms)
{
	server_t *found = find_new_primary(takeover);

	if (!found)
		return false;
	takeover->candidate = found;
	takeover->new_term = found->status.term;
	publish(takeover, now_ms);
	return true;
}

static void promote(takeover_t *takeover, uint64_t now_ms)
{
	const char *id = takeover->candidate->id;

	takeover_enter_phase(takeover, TAKEOVER_PROMOTE, now_ms);
	takeover->promote_ms = now_ms;
	takeover->candidate->queried_ms = now_ms;
	takeover_order_sent(&takeover->order, id);
	if (takeover->order.sent == 1)
		takeover->was_replica =
			takeover->candidate->answered &&
			takeover->candidate->status.role == SERVER_REPLICA;
	takeover->actions.promote(takeover->actions.context, id);
}

static void query_server(takeover_t *takeover, server_t *server,
			 uint64_t now_ms)
{
	if (server->queried_ms &&
	    now_ms < server->queried_ms + QUERY_INTERVAL_MS)
		return;
	server->queried_ms = now_ms;
	takeover->actions.status(takeover->actions.context, server->id);
}

static void query_known(takeover_t *takeover, const char *id, uint64_t now_ms)
{
	server_t *server = takeover_find_server(takeover, id);

	if (server)
		query_server(takeover, server, now_ms);
}

static void query_all(takeover_t *takeover, uint64_t now_ms)
{
	for (uint32_t i = 0; i < takeover->count; i++)
		query_server(takeover, &takeover->servers[i], now_ms);
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
		takeover_enter_phase(takeover, TAKEOVER_REVOKE, now_ms);
		query_all(takeover, now_ms);
		takeover->actions.revoke(takeover->actions.context);
		takeover_fence_one(takeover, now_ms);
		return;
	case TAKEOVER_CONFIRM:
		if (written &&
		    takeover_is_promotable(takeover, takeover->candidate))
			promote(takeover, now_ms);
		else
			takeover_enter_phase(takeover, TAKEOVER_CHOOSE, now_ms);
		return;
	case TAKEOVER_PUBLISH:
		if (!written) /* takeover_step() repeats the write */
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
	takeover_enter_phase(takeover, TAKEOVER_WAIT, now_ms);
}

void takeover_revoked(takeover_t *takeover, uint64_t now_ms)
{
	if (takeover->phase != TAKEOVER_REVOKE)
		return;
	takeover->revoked = true;
	takeover->revoked_ms = now_ms;
	wait_for_proofs(takeover, now_ms);
}

void takeover_proofs_forgotten(takeover_t *takeover, uint64_t now_ms)
{
	takeover->forgotten = true;
	if (takeover->phase == TAKEOVER_WAIT)
		takeover->wait_until_ms = now_ms;
	takeover_step(takeover, now_ms);
}

void takeover_fenced(takeover_t *takeover, const char *id,
		     const takeover_status_t *status, uint64_t now_ms)
{
	server_t *server = takeover_find_server(takeover, id);

	if (!server || takeover->phase == TAKEOVER_IDLE)
		return;
	if (!status->answered || status->fence <= takeover->term) {
		if (takeover->phase == TAKEOVER_REVOKE && !takeover->fenced_ms)
			takeover_fence_one(takeover, now_ms);
		return;
	}
	server->fenced = true;
	server->fenced_ms = now_ms;
	server->fence_seen_ms = status->sent_ms;
	if (takeover->phase != TAKEOVER_REVOKE)
		return;
	takeover->fenced_ms = now_ms;
	wait_for_proofs(takeover, now_ms);
}

static void begin_choice(takeover_t *takeover, uint64_t now_ms)
{
	takeover_enter_phase(takeover, TAKEOVER_CHOOSE, now_ms);
	takeover->candidate = NULL;
	for (uint32_t i = 0; i < takeover->count; i++) {
		takeover->servers[i].answered = false;
		takeover->servers[i].queried_ms = 0;
		query_server(takeover, &takeover->servers[i], now_ms);
	}
}

/* Whether a server may have been promoted without this node's knowledge. */
static bool is_unclear(const takeover_t *takeover)
{
	return takeover->kind == TAKEOVER_RESTORED ||
	       takeover->kind == TAKEOVER_UNFINISHED;
}

static bool has_open_order(const takeover_t *takeover, uint64_t now_ms)
{
	return takeover_order_is_open(&takeover->order, now_ms);
}

/*
 * An order without a visible effect leaves it unclear which server is primary,
 * also when it can no longer take effect: its server may just not answer.
 */
static void check_order(takeover_t *takeover, uint64_t now_ms)
{
	if (!is_unclear(takeover) && !has_open_order(takeover, now_ms) &&
	    takeover_order_excludes(&takeover->order, takeover->primary))
		takeover->kind = TAKEOVER_UNFINISHED;
}

static void keep_primary(takeover_t *takeover, server_t *old, uint64_t now_ms)
{
	takeover->candidate = old;
	takeover->new_term = takeover->term;
	publish(takeover, now_ms);
}

/*
 * Writes the record once more before an order: it names the server, and proves
 * that the lease is held. If another one was ordered before, either may lead.
 */
static void confirm(takeover_t *takeover, uint64_t now_ms)
{
	if (is_excluded(takeover, takeover->candidate))
		takeover->kind = TAKEOVER_RESTORED;
	takeover_enter_phase(takeover, TAKEOVER_CONFIRM, now_ms);
	takeover->actions.write(takeover->actions.context, takeover->term,
				takeover->primary, takeover->term + 1);
}

/*
 * Orders the server, once it is certain that no node can have got a proof of
 * the old primary meanwhile.
 */
static void order(takeover_t *takeover, server_t *best, uint64_t now_ms)
{
	const uint64_t waited_ms = now_ms - takeover->phase_ms;

	takeover->candidate = best;
	if (takeover_is_fence_seen(takeover))
		confirm(takeover, now_ms);
	else if (waited_ms >= FENCE_CHECK_MS)
		takeover_fence_anew(takeover, now_ms);
}

static void choose_unclear(takeover_t *takeover, uint64_t now_ms)
{
	const uint64_t waited_ms = now_ms - takeover->phase_ms;
	const bool open = has_open_order(takeover, now_ms);
	server_t *best = open ? takeover_find_ordered(takeover) :
				takeover_find_unclear(takeover, waited_ms);

	/* While an order was open, nobody could be chosen who catches up. */
	if (open)
		takeover->order_open_ms = now_ms;
	else if (best && best->draining)
		best = takeover_find_successor(
			takeover, best,
			now_ms - MAX(takeover->phase_ms,
				     takeover->order_open_ms));

	query_all(takeover, now_ms);
	takeover_lift_surplus(takeover);
	if (!best && !open && waited_ms >= TAKEOVER_CATCH_UP_MS)
		takeover_forget_refusals(takeover);
	if (!best ||
	    (!takeover_all_answered(takeover) && waited_ms < COMPARE_MS))
		return;
	order(takeover, best, now_ms);
}

static void choose(takeover_t *takeover, uint64_t now_ms)
{
	server_t *old = takeover_find_server(takeover, takeover->primary);
	const uint64_t waited_ms = now_ms - takeover->phase_ms;
	const bool open = has_open_order(takeover, now_ms);
	server_t *best =
		open ? takeover_find_ordered(takeover) :
		       takeover_find_candidate(takeover, old, waited_ms);

	if (takeover->kind != TAKEOVER_RESTORED &&
	    publish_new_primary(takeover, now_ms))
		return;
	check_order(takeover, now_ms);
	if (is_unclear(takeover)) {
		choose_unclear(takeover, now_ms);
		return;
	}
	query_all(takeover, now_ms);
	takeover_lift_surplus(takeover);
	if (old && takeover_is_lost_in_handover(takeover, old, waited_ms))
		takeover->kind = TAKEOVER_LOST;
	if (old && !is_excluded(takeover, old) &&
	    takeover_must_keep(takeover, old, best, waited_ms)) {
		keep_primary(takeover, old, now_ms);
		return;
	}
	if (!best && !open && waited_ms >= TAKEOVER_CATCH_UP_MS)
		takeover_forget_refusals(takeover);
	if (!best ||
	    (!takeover_all_answered(takeover) && waited_ms < COMPARE_MS))
		return;
	if (old && old->answered && waited_ms < TAKEOVER_CATCH_UP_MS &&
	    !takeover_has_caught_up(best, old))
		return;
	if (takeover->kind == TAKEOVER_HANDOVER && old && !old->answered)
		return;
	order(takeover, best, now_ms);
}

/*
 * Handles a promotion without a visible effect. The server may be primary and
 * too busy to answer, so that it is promoted again, which changes nothing then;
 * only one that stays silent is replaced.
 */
static void retry_promotion(takeover_t *takeover, uint64_t now_ms)
{
	if (!takeover_is_promotable(takeover, takeover->candidate)) {
		begin_choice(takeover, now_ms);
		return;
	}
	if (takeover->order.sent < ORDERS_MAX) {
		if (!takeover_restore_fence(takeover, now_ms))
			confirm(takeover, now_ms);
		return;
	}
	if (now_ms < takeover->promote_ms + GIVE_UP_MS ||
	    has_open_order(takeover, now_ms))
		return;
	takeover->candidate->refused = true;
	begin_choice(takeover, now_ms);
}

static uint64_t highest_term(const takeover_t *takeover)
{
	uint64_t term = 0;

	for (uint32_t i = 0; i < takeover->count; i++)
		if (takeover->servers[i].answered)
			term = MAX(term, takeover->servers[i].status.term);
	return term;
}

/* Fences another replica, or all above a term that nobody is known to lead. */
static void retry_fence(takeover_t *takeover, uint64_t now_ms)
{
	takeover->phase_ms = now_ms;
	query_all(takeover, now_ms);
	if (has_open_order(takeover, now_ms) ||
	    highest_term(takeover) <= takeover->term) {
		takeover_fence_one(takeover, now_ms);
		return;
	}
	takeover->kind = TAKEOVER_RESTORED;
	takeover_raise_term(takeover, highest_term(takeover), now_ms);
}

/*
 * Whether the order has made the server primary. If another one may have been
 * promoted after it before, what it says of an earlier term counts for nothing.
 */
static bool has_become_primary(const takeover_t *takeover,
			       const server_t *server)
{
	return is_new_primary(takeover, server) &&
	       (takeover->kind != TAKEOVER_RESTORED || takeover->was_replica);
}

/*
 * Whether an order has shown that the server was primary before: nothing has
 * changed in the time in which it would have taken effect.
 */
static bool is_confirmed_primary(const takeover_t *takeover,
				 const server_t *server, uint64_t now_ms)
{
	const uint64_t accepted_ms = takeover->order.accepted_ms;

	return is_unclear(takeover) && accepted_ms &&
	       now_ms >= accepted_ms + TAKEOVER_ORDER_EFFECT_MS &&
	       server->answered && server->status.role == SERVER_PRIMARY &&
	       server->status.term >= takeover->term;
}

/* Whether the next order is still to be sent. */
static bool is_before_order(const takeover_t *takeover)
{
	return takeover->phase >= TAKEOVER_REVOKE &&
	       takeover->phase <= TAKEOVER_CONFIRM;
}

void takeover_status(takeover_t *takeover, const char *id,
		     const takeover_status_t *status, uint64_t now_ms)
{
	server_t *server = takeover_find_server(takeover, id);

	if (!server || takeover->phase == TAKEOVER_IDLE)
		return;
	server->status = *status;
	server->answered = status->answered;
	if (status->answered)
		server->received =
			log_point_max(server->received, status->received);
	takeover_note_fence(takeover, server, status);
	if (is_before_order(takeover) &&
	    takeover_restore_fence(takeover, now_ms))
		return;
	if (takeover->phase == TAKEOVER_CHOOSE) {
		choose(takeover, now_ms);
		return;
	}
	if (takeover->phase == TAKEOVER_REVOKE ||
	    takeover->phase == TAKEOVER_WAIT) {
		if (takeover->kind == TAKEOVER_RESTORED) {
			if (status->answered && status->term > takeover->term)
				takeover_raise_term(takeover, status->term,
						    now_ms);
			return;
		}
		if (!publish_new_primary(takeover, now_ms) &&
		    takeover->kind == TAKEOVER_LOST &&
		    takeover_is_primary(takeover, server) &&
		    takeover_is_still_primary(takeover, server) &&
		    !is_excluded(takeover, server))
			keep_primary(takeover, server, now_ms);
		return;
	}
	if (takeover->phase != TAKEOVER_PROMOTE ||
	    server != takeover->candidate)
		return;
	if (!status->answered && !status->busy)
		takeover_order_doubted(&takeover->order);
	if (!(has_become_primary(takeover, server) ||
	      is_confirmed_primary(takeover, server, now_ms)))
		return;
	takeover->new_term = status->term;
	publish(takeover, now_ms);
}

void takeover_promoted(takeover_t *takeover, takeover_promoted_t result,
		       uint64_t now_ms)
{
	takeover_order_answered(&takeover->order, result, now_ms);
	if (takeover->phase != TAKEOVER_PROMOTE)
		return;
	if (result == TAKEOVER_NOT_RUNNING) {
		takeover->candidate->refused = true;
		begin_choice(takeover, now_ms);
	}
}

/* Whether an accepted order may yet show that the server was primary before. */
static bool awaits_confirmation(const takeover_t *takeover, uint64_t now_ms)
{
	const uint64_t accepted_ms = takeover->order.accepted_ms;

	return is_unclear(takeover) && accepted_ms &&
	       now_ms < accepted_ms + TAKEOVER_ORDER_EFFECT_MS +
				PROMOTE_RETRY_MS;
}

/* Whoever lifts the fence shows only in what the server says. */
static void query_fenced(takeover_t *takeover, uint64_t now_ms)
{
	for (uint32_t i = 0; i < takeover->count; i++)
		if (takeover->servers[i].fenced && !takeover->forgotten)
			query_server(takeover, &takeover->servers[i], now_ms);
}

void takeover_step(takeover_t *takeover, uint64_t now_ms)
{
	if (is_before_order(takeover) &&
	    takeover_restore_fence(takeover, now_ms))
		return;
	switch (takeover->phase) {
	case TAKEOVER_REVOKE:
		if (!takeover->fenced_ms &&
		    now_ms >= takeover->phase_ms + FENCE_RETRY_MS)
			retry_fence(takeover, now_ms);
		return;
	case TAKEOVER_WAIT:
		if (now_ms >= takeover->wait_until_ms) {
			begin_choice(takeover, now_ms);
			return;
		}
		query_known(takeover, takeover->primary, now_ms);
		query_known(takeover, takeover->order.server, now_ms);
		query_fenced(takeover, now_ms);
		return;
	case TAKEOVER_CHOOSE:
		choose(takeover, now_ms);
		return;
	case TAKEOVER_PROMOTE:
		query_server(takeover, takeover->candidate, now_ms);
		query_fenced(takeover, now_ms);
		if (now_ms >= takeover->promote_ms + PROMOTE_RETRY_MS &&
		    takeover_order_is_answered(&takeover->order) &&
		    !awaits_confirmation(takeover, now_ms))
			retry_promotion(takeover, now_ms);
		return;
	case TAKEOVER_PUBLISH:
		if (now_ms >= takeover->phase_ms + PROMOTE_RETRY_MS)
			publish(takeover, now_ms);
		return;
	default:
		return;
	}
}

takeover_kind_t takeover_kind(const takeover_t *takeover)
{
	return takeover->kind;
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
