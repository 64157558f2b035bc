#include "coordination/promotion.h"

#include <glib.h>

/** Pause before an operation at a server is repeated. */
#define PROMOTION_RETRY_MS 100

/** Time until missing fences are reported, and interval of later reports. */
#define PROMOTION_MISSING_MS 1000
#define PROMOTION_MISSING_REPEAT_MS 10000

/** Maximum attempts to promote the chosen server in one term. */
#define PROMOTION_TRIES 4

/** Minimum and random part of the pause after a higher term was seen. */
#define PROMOTION_BACKOFF_MIN_MS 400
#define PROMOTION_BACKOFF_SPREAD_MS 800

/** Maximum wait for the wanted server to catch up with a fenced primary. */
#define PROMOTION_CATCH_UP_MS 1000
#define PROMOTION_CATCH_UP_POLL_MS 10

/** Clocks of two nodes may differ in rate by one part in this number. */
#define PROMOTION_CLOCK_DRIFT 100

typedef struct {
	bool pending; /**< an operation has not ended yet */
	bool fenced;  /**< the server is fenced by this term */
	uint64_t retry_at_ms;
	server_status_t status; /**< status when the server was fenced */
} promotion_server_t;

struct promotion {
	promotion_rule_t rule;
	promotion_handlers_t handlers;
	promotion_state_t state;
	uint64_t highest; /**< highest term or fence seen */
	uint64_t term;
	uint32_t wanted;    /**< the ordered server, or PROMOTION_ANY */
	uint32_t primary;   /**< server to be fenced first, or PROMOTION_ANY */
	log_point_t target; /**< end of the fenced primary's log */
	uint64_t catch_up_until_ms;
	uint32_t chosen;	/**< the server to promote */
	uint32_t tries;		/**< attempts to promote it */
	uint64_t wait_until_ms; /**< end of the wait or backoff */
	uint64_t missing_at_ms; /**< next report of missing fences */
	uint64_t started_ms;
	uint64_t fenced_ms;
	GRand *random; /* created on first use because it is large */
	promotion_server_t servers[]; /* rule.servers of them */
};

static const char *const state_names[PROMOTION_STATE_COUNT] = {
	[PROMOTION_IDLE] = "idle",	 [PROMOTION_FENCING] = "fencing",
	[PROMOTION_WAITING] = "waiting", [PROMOTION_PROMOTING] = "promoting",
	[PROMOTION_BACKOFF] = "backoff",
};

static const char *const event_names[PROMOTION_EVENT_COUNT] = {
	[PROMOTION_STARTED] = "promotion_started",
	[PROMOTION_FENCED] = "fenced",
	[PROMOTION_CHOSEN] = "promotion_chosen",
	[PROMOTION_FENCES_MISSING] = "promotion_refused",
	[PROMOTION_HIGHER_TERM] = "promotion_outbid",
	[PROMOTION_ORDER_REFUSED] = "promotion_order_refused",
	[PROMOTION_ENDED] = "promoted",
};

promotion_t *promotion_create(promotion_rule_t rule,
			      promotion_handlers_t handlers)
{
	promotion_t *promotion;

	g_assert(rule.servers <= PROMOTION_SERVER_LIMIT);
	promotion = g_malloc0(sizeof(*promotion) +
			      rule.servers * sizeof(promotion_server_t));
	promotion->rule = rule;
	promotion->handlers = handlers;
	return promotion;
}

void promotion_destroy(promotion_t *promotion)
{
	if (!promotion)
		return;
	g_clear_pointer(&promotion->random, g_rand_free);
	g_free(promotion);
}

void promotion_seen(promotion_t *promotion, uint64_t term)
{
	promotion->highest = MAX(promotion->highest, term);
}

static bool guarded(const promotion_t *promotion, promotion_guard_t guard)
{
	return promotion->rule.guards & guard;
}

static void report_event(const promotion_t *promotion, promotion_event_t event,
			 uint32_t server)
{
	promotion->handlers.event(promotion->handlers.context, event,
				  promotion->term, server);
}

/*
 * Every set of servers that can acknowledge a commit is the primary and
 * rule.replicas replicas: this many fences reach one server of each such set.
 */
static uint32_t fences_needed(const promotion_t *promotion)
{
	const uint32_t needed =
		promotion->rule.servers - promotion->rule.replicas;

	return guarded(promotion, PROMOTION_GUARD_FENCES) ? needed : needed - 1;
}

static uint32_t fences_held(const promotion_t *promotion)
{
	uint32_t held = 0;

	for (uint32_t i = 0; i < promotion->rule.servers; i++)
		held += promotion->servers[i].fenced;
	return held;
}

/* The identity makes the terms of two coordinators differ in every round. */
static uint64_t next_term(const promotion_t *promotion)
{
	const uint64_t mask = (UINT64_C(1) << PROMOTION_IDENTITY_BITS) - 1;
	const uint64_t round =
		(promotion->highest >> PROMOTION_IDENTITY_BITS) + 1;

	return round << PROMOTION_IDENTITY_BITS |
	       (promotion->rule.identity & mask);
}

static void start_operation(promotion_t *promotion, uint32_t server,
			    server_operation_t operation)
{
	promotion->servers[server].pending = true;
	promotion->handlers.send_request(promotion->handlers.context, server,
					 operation, promotion->term);
}

static void fence_servers(promotion_t *promotion, uint64_t now_ms)
{
	for (uint32_t i = 0; i < promotion->rule.servers; i++) {
		const promotion_server_t *server = &promotion->servers[i];

		if (!server->pending && !server->fenced &&
		    now_ms >= server->retry_at_ms)
			start_operation(promotion, i, SERVER_FENCE);
	}
}

static void take_term(promotion_t *promotion, uint64_t now_ms)
{
	promotion->term = next_term(promotion);
	promotion_seen(promotion, promotion->term);
	promotion->tries = 0;
	promotion->started_ms = now_ms;
	promotion->missing_at_ms = now_ms + PROMOTION_MISSING_MS;
	for (uint32_t i = 0; i < promotion->rule.servers; i++)
		promotion->servers[i] = (promotion_server_t){0};
	report_event(promotion, PROMOTION_STARTED, promotion->wanted);
}

void promotion_start(promotion_t *promotion, uint64_t now_ms)
{
	if (promotion->state != PROMOTION_IDLE)
		return;
	promotion->wanted = PROMOTION_ANY;
	promotion->primary = PROMOTION_ANY;
	promotion->state = PROMOTION_FENCING;
	take_term(promotion, now_ms);
	fence_servers(promotion, now_ms);
}

void promotion_order(promotion_t *promotion, uint64_t now_ms, uint32_t primary,
		     uint32_t wanted)
{
	if (promotion->state != PROMOTION_IDLE)
		return;
	g_assert(primary < promotion->rule.servers);
	promotion->wanted = wanted;
	promotion->primary = primary;
	promotion->target = (log_point_t){0};
	promotion->state = PROMOTION_HANDOVER;
	promotion->catch_up_until_ms = now_ms + PROMOTION_CATCH_UP_MS;
	take_term(promotion, now_ms);
	start_operation(promotion, primary, SERVER_FENCE);
}

void promotion_stop(promotion_t *promotion)
{
	promotion->state = PROMOTION_IDLE;
}

/* Logs are ranked by their last record; a fence adds no record to a log. */
static log_point_t log_rank(const promotion_t *promotion,
			    const server_status_t *status)
{
	log_point_t rank = status->last;

	if (!guarded(promotion, PROMOTION_GUARD_FENCE_TERM))
		rank.term = status->term;
	if (!guarded(promotion, PROMOTION_GUARD_LAST_TERM))
		rank.term = 0;
	return rank;
}

static uint32_t find_longest_log(const promotion_t *promotion)
{
	uint32_t best = PROMOTION_ANY;
	log_point_t rank = {0};

	for (uint32_t i = 0; i < promotion->rule.servers; i++) {
		const promotion_server_t *server = &promotion->servers[i];
		log_point_t found;
		int order;

		if (!server->fenced)
			continue;
		found = log_rank(promotion, &server->status);
		order = log_point_compare(found, rank);
		if (best != PROMOTION_ANY &&
		    (order < 0 || (!order && i != promotion->wanted)))
			continue;
		best = i;
		rank = found;
	}
	return best;
}

static void choose(promotion_t *promotion, uint64_t now_ms)
{
	const uint32_t valid_ms = promotion->rule.valid_ms;

	promotion->chosen = find_longest_log(promotion);
	promotion->state = PROMOTION_WAITING;
	promotion->fenced_ms = now_ms;
	promotion->wait_until_ms = now_ms;
	/* Evidence queried before the last fence stays valid for valid_ms. */
	if (guarded(promotion, PROMOTION_GUARD_WAIT))
		promotion->wait_until_ms +=
			valid_ms + valid_ms / PROMOTION_CLOCK_DRIFT + 1;
	report_event(promotion, PROMOTION_FENCED, PROMOTION_ANY);
	if (promotion->wanted != PROMOTION_ANY &&
	    promotion->wanted != promotion->chosen)
		report_event(promotion, PROMOTION_ORDER_REFUSED,
			     promotion->wanted);
	report_event(promotion, PROMOTION_CHOSEN, promotion->chosen);
}

static void back_off(promotion_t *promotion, uint64_t now_ms)
{
	if (!promotion->random)
		promotion->random =
			g_rand_new_with_seed((guint32)promotion->rule.identity);
	promotion->state = PROMOTION_BACKOFF;
	promotion->wait_until_ms =
		now_ms + PROMOTION_BACKOFF_MIN_MS +
		(uint64_t)g_rand_int_range(promotion->random, 0,
					   PROMOTION_BACKOFF_SPREAD_MS);
	report_event(promotion, PROMOTION_HIGHER_TERM, PROMOTION_ANY);
}

/*
 * Whether enough servers are fenced. If an operator ordered a server, that
 * server gets until catch_up_until_ms to be fenced as well.
 */
static bool ready_to_choose(const promotion_t *promotion, uint64_t now_ms)
{
	if (fences_held(promotion) < fences_needed(promotion))
		return false;
	return promotion->wanted == PROMOTION_ANY ||
	       promotion->servers[promotion->wanted].fenced ||
	       now_ms >= promotion->catch_up_until_ms;
}

static void handover_end(promotion_t *promotion, uint64_t now_ms)
{
	if (promotion->state != PROMOTION_HANDOVER)
		return;
	promotion->state = PROMOTION_FENCING;
	fence_servers(promotion, now_ms);
}

static void catch_up_answer(promotion_t *promotion, uint64_t now_ms,
			    promotion_server_t *server,
			    const server_status_t *status)
{
	server->retry_at_ms = now_ms + PROMOTION_CATCH_UP_POLL_MS;
	if (!status || log_point_covers(status->last, promotion->target))
		handover_end(promotion, now_ms);
}

static void fence_answer(promotion_t *promotion, uint64_t now_ms,
			 promotion_server_t *server, server_result_t result,
			 const server_status_t *status)
{
	/* A fence of this term is this node's own: its answer was lost. */
	const bool taken = status && status->fence == promotion->term;

	server->retry_at_ms = now_ms + PROMOTION_RETRY_MS;
	if (promotion->state != PROMOTION_FENCING &&
	    promotion->state != PROMOTION_HANDOVER)
		return;
	if (status && status->fence > promotion->term) {
		back_off(promotion, now_ms);
		return;
	}
	if (!taken || (result != SERVER_OK && result != SERVER_REFUSED)) {
		handover_end(promotion, now_ms);
		return;
	}
	server->fenced = true;
	server->status = *status;
	if (promotion->state == PROMOTION_HANDOVER) {
		promotion->target = status->last;
		start_operation(promotion, promotion->wanted, SERVER_STATUS);
		return;
	}
	if (ready_to_choose(promotion, now_ms))
		choose(promotion, now_ms);
}

/*
 * Repeats the promotion of the chosen server. No other server may be promoted
 * in this term, because the chosen one may already be its primary.
 */
static void promote_again(promotion_t *promotion, uint64_t now_ms)
{
	if (promotion->tries >= PROMOTION_TRIES) {
		back_off(promotion, now_ms);
		return;
	}
	if (!guarded(promotion, PROMOTION_GUARD_ONE_PER_TERM))
		for (uint32_t i = 0; i < promotion->rule.servers; i++)
			if (i != promotion->chosen &&
			    promotion->servers[i].fenced) {
				promotion->chosen = i;
				break;
			}
	promotion->wait_until_ms = now_ms + PROMOTION_RETRY_MS;
	promotion->state = PROMOTION_WAITING;
}

static void promote_answer(promotion_t *promotion, uint64_t now_ms,
			   uint32_t server, server_result_t result,
			   const server_status_t *status)
{
	if (promotion->state != PROMOTION_PROMOTING ||
	    server != promotion->chosen)
		return;
	if (status && status->role == SERVER_PRIMARY &&
	    status->term == promotion->term) {
		promotion->state = PROMOTION_IDLE;
		report_event(promotion, PROMOTION_ENDED, server);
	} else if (result == SERVER_REFUSED) {
		back_off(promotion, now_ms);
	} else {
		promote_again(promotion, now_ms);
	}
}

void promotion_answer(promotion_t *promotion, uint64_t now_ms, uint32_t server,
		      server_operation_t operation, uint64_t term,
		      server_result_t result, const server_status_t *status)
{
	promotion_server_t *entry = &promotion->servers[server];

	g_assert(server < promotion->rule.servers);
	if (status)
		promotion_seen(promotion, MAX(status->term, status->fence));
	if (term != promotion->term || promotion->state == PROMOTION_IDLE)
		return;
	entry->pending = false;
	if (operation == SERVER_FENCE)
		fence_answer(promotion, now_ms, entry, result, status);
	else if (operation == SERVER_STATUS)
		catch_up_answer(promotion, now_ms, entry, status);
	else if (operation == SERVER_PROMOTE)
		promote_answer(promotion, now_ms, server, result, status);
}

static void handover_step(promotion_t *promotion, uint64_t now_ms)
{
	const promotion_server_t *wanted =
		&promotion->servers[promotion->wanted];

	if (now_ms >= promotion->catch_up_until_ms)
		handover_end(promotion, now_ms);
	else if (promotion->servers[promotion->primary].fenced &&
		 !wanted->pending && now_ms >= wanted->retry_at_ms)
		start_operation(promotion, promotion->wanted, SERVER_STATUS);
}

static void fencing_step(promotion_t *promotion, uint64_t now_ms)
{
	fence_servers(promotion, now_ms);
	if (ready_to_choose(promotion, now_ms)) {
		choose(promotion, now_ms);
		return;
	}
	if (now_ms < promotion->missing_at_ms)
		return;
	promotion->missing_at_ms = now_ms + PROMOTION_MISSING_REPEAT_MS;
	report_event(promotion, PROMOTION_FENCES_MISSING, PROMOTION_ANY);
}

void promotion_step(promotion_t *promotion, uint64_t now_ms)
{
	switch (promotion->state) {
	case PROMOTION_HANDOVER:
		handover_step(promotion, now_ms);
		return;
	case PROMOTION_FENCING:
		fencing_step(promotion, now_ms);
		return;
	case PROMOTION_WAITING:
		if (now_ms < promotion->wait_until_ms)
			return;
		promotion->state = PROMOTION_PROMOTING;
		promotion->tries++;
		start_operation(promotion, promotion->chosen, SERVER_PROMOTE);
		return;
	case PROMOTION_BACKOFF:
		/*
		 * The coordinator of the higher term may have finished. If
		 * not, the detector reports the primary lost again.
		 */
		if (now_ms >= promotion->wait_until_ms)
			promotion->state = PROMOTION_IDLE;
		return;
	default:
		return;
	}
}

uint64_t promotion_due_ms(const promotion_t *promotion)
{
	uint64_t due_ms = promotion->missing_at_ms;
	const promotion_server_t *wanted;

	if (promotion->state == PROMOTION_WAITING ||
	    promotion->state == PROMOTION_BACKOFF)
		return promotion->wait_until_ms;
	if (promotion->state == PROMOTION_HANDOVER) {
		wanted = &promotion->servers[promotion->wanted];
		if (wanted->pending ||
		    !promotion->servers[promotion->primary].fenced)
			return promotion->catch_up_until_ms;
		return wanted->retry_at_ms;
	}
	if (promotion->state != PROMOTION_FENCING)
		return UINT64_MAX;
	for (uint32_t i = 0; i < promotion->rule.servers; i++) {
		const promotion_server_t *server = &promotion->servers[i];

		if (!server->pending && !server->fenced)
			due_ms = MIN(due_ms, server->retry_at_ms);
	}
	return due_ms;
}

promotion_report_t promotion_report(const promotion_t *promotion)
{
	return (promotion_report_t){
		.state = promotion->state,
		.term = promotion->term,
		.fenced = fences_held(promotion),
		.needed = fences_needed(promotion),
		.started_ms = promotion->started_ms,
		.fenced_ms = promotion->fenced_ms,
	};
}

const char *promotion_state_name(promotion_state_t state)
{
	return state < PROMOTION_STATE_COUNT ? state_names[state] : "invalid";
}

const char *promotion_event_name(promotion_event_t event)
{
	return event < PROMOTION_EVENT_COUNT ? event_names[event] : "invalid";
}
