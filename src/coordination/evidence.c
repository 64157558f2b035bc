#include "coordination/evidence.h"

#include <glib.h>

/** Maximum time by which a replica may delay its answer. */
#define EVIDENCE_DELAY_MS_MAX 100

/** Age of a round at which the next one starts despite missing answers. */
#define EVIDENCE_ROUND_MS 60

/** Age of a round at which the next one starts for later waiters. */
#define EVIDENCE_OVERLAP_MS 10

/** Pause after a round whose answers have all arrived. */
#define EVIDENCE_PAUSE_MS 5

/** Number of rounds whose start times are kept for late answers. */
#define EVIDENCE_ROUNDS_KEPT 64

/** Maximum number of unanswered queries to one server. */
#define EVIDENCE_PENDING_LIMIT 8

typedef struct {
	bool barrier;
	log_point_t point;
	uint64_t first_round; /**< first round started after it was added */
	uint64_t deadline_ms;
	evidence_done_t done;
	void *context;
} evidence_waiter_t;

typedef struct {
	bool known;		/**< an answer was received */
	uint64_t round;		/**< round of the newest answer */
	server_status_t status; /**< the newest answer */
	uint32_t pending;	/**< queries without an answer */
} evidence_server_t;

typedef struct {
	log_point_t point;
	uint64_t oldest_ms; /**< start of the oldest round that is used */
} evidence_proof_t;

struct evidence {
	evidence_rule_t rule;
	evidence_handlers_t handlers;
	uint64_t round_start_ms[EVIDENCE_ROUNDS_KEPT];
	uint64_t round;	     /**< newest round */
	uint32_t unanswered; /**< bit set of servers yet to answer */
	uint64_t pause_until_ms;
	GQueue *waiters;
	evidence_server_t servers[]; /* rule.servers of them */
};

evidence_t *evidence_create(evidence_rule_t rule, evidence_handlers_t handlers)
{
	evidence_t *evidence;

	g_assert(rule.servers <= EVIDENCE_SERVER_LIMIT);
	evidence = g_malloc0(sizeof(*evidence) +
			     rule.servers * sizeof(evidence_server_t));
	evidence->rule = rule;
	evidence->handlers = handlers;
	evidence->waiters = g_queue_new();
	return evidence;
}

void evidence_destroy(evidence_t *evidence)
{
	if (!evidence)
		return;
	g_queue_free_full(evidence->waiters, g_free);
	g_free(evidence);
}

static evidence_waiter_t *waiter_add(evidence_t *evidence, uint64_t deadline_ms,
				     evidence_done_t done, void *context)
{
	evidence_waiter_t *waiter = g_new0(evidence_waiter_t, 1);

	waiter->deadline_ms = deadline_ms;
	waiter->done = done;
	waiter->context = context;
	waiter->first_round = evidence->round + 1;
	if (g_queue_get_length(evidence->waiters) >= EVIDENCE_WAITER_LIMIT)
		waiter->deadline_ms = 0;
	g_queue_push_tail(evidence->waiters, waiter);
	return waiter;
}

void evidence_commit(evidence_t *evidence, log_point_t point,
		     uint64_t deadline_ms, evidence_done_t done, void *context)
{
	waiter_add(evidence, deadline_ms, done, context)->point = point;
}

void evidence_barrier(evidence_t *evidence, uint64_t deadline_ms,
		      evidence_done_t done, void *context)
{
	waiter_add(evidence, deadline_ms, done, context)->barrier = true;
}

static bool guarded(const evidence_t *evidence, evidence_guard_t guard)
{
	return evidence->rule.guards & guard;
}

static uint64_t round_time_ms(const evidence_t *evidence, uint64_t round)
{
	return evidence->round_start_ms[round % EVIDENCE_ROUNDS_KEPT];
}

/* Whether a server's newest answer may be used for a waiter. */
static bool answer_usable(const evidence_t *evidence,
			  const evidence_server_t *server,
			  const evidence_waiter_t *waiter, uint64_t now_ms)
{
	if (!server->known)
		return false;
	if (guarded(evidence, EVIDENCE_GUARD_AGE) &&
	    now_ms >= round_time_ms(evidence, server->round) +
			      evidence->rule.valid_ms)
		return false;
	return !waiter->barrier ||
	       !guarded(evidence, EVIDENCE_GUARD_NEW_ROUND) ||
	       server->round >= waiter->first_round;
}

static bool fence_allows(const evidence_t *evidence,
			 const server_status_t *status, uint64_t term)
{
	return !guarded(evidence, EVIDENCE_GUARD_FENCE) ||
	       status->fence <= term;
}

/* Returns the primary whose answer can prove the waiter, or NULL. */
static const evidence_server_t *find_primary(const evidence_t *evidence,
					     const evidence_waiter_t *waiter,
					     uint64_t now_ms)
{
	const evidence_server_t *found = NULL;

	for (uint32_t i = 0; i < evidence->rule.servers; i++) {
		const evidence_server_t *server = &evidence->servers[i];
		const server_status_t *status = &server->status;

		if (!answer_usable(evidence, server, waiter, now_ms) ||
		    status->role != SERVER_PRIMARY ||
		    !fence_allows(evidence, status, status->term))
			continue;
		if (!waiter->barrier && status->term != waiter->point.term)
			continue;
		if (!found || found->status.term < status->term)
			found = server;
	}
	return found;
}

static bool replica_counts(const evidence_t *evidence,
			   const server_status_t *status,
			   const evidence_waiter_t *waiter, uint64_t term)
{
	if (!fence_allows(evidence, status, term))
		return false;
	if (waiter->barrier)
		return status->term == term;
	if (guarded(evidence, EVIDENCE_GUARD_TERM) && status->last.term != term)
		return false;
	return status->last.position >= waiter->point.position;
}

static bool waiter_proven(const evidence_t *evidence,
			  const evidence_waiter_t *waiter, uint64_t now_ms,
			  evidence_proof_t *proof)
{
	const evidence_server_t *primary =
		find_primary(evidence, waiter, now_ms);
	const uint64_t term = waiter->barrier && primary ?
				      primary->status.term :
				      waiter->point.term;
	uint32_t held = 0;

	if (!primary &&
	    (waiter->barrier || guarded(evidence, EVIDENCE_GUARD_PRIMARY)))
		return false;
	proof->oldest_ms =
		primary ? round_time_ms(evidence, primary->round) : now_ms;
	for (uint32_t i = 0; i < evidence->rule.servers; i++) {
		const evidence_server_t *server = &evidence->servers[i];

		if (server == primary ||
		    server->status.role == SERVER_PRIMARY ||
		    !answer_usable(evidence, server, waiter, now_ms) ||
		    !replica_counts(evidence, &server->status, waiter, term))
			continue;
		held++;
		proof->oldest_ms = MIN(proof->oldest_ms,
				       round_time_ms(evidence, server->round));
	}
	proof->point = waiter->barrier ? primary->status.last : waiter->point;
	return held >= evidence->rule.replicas ||
	       !guarded(evidence, EVIDENCE_GUARD_REPLICAS);
}

static void waiter_end(evidence_waiter_t *waiter, bool proven,
		       log_point_t point, uint64_t age_ms)
{
	waiter->done(waiter->context, proven, point, age_ms);
	g_free(waiter);
}

/*
 * Ends proven and expired waiters. The queue is detached first, because
 * callbacks may add waiters.
 */
static void waiters_end(evidence_t *evidence, uint64_t now_ms)
{
	GQueue waiting = *evidence->waiters;
	evidence_waiter_t *waiter;

	g_queue_init(evidence->waiters);
	while ((waiter = g_queue_pop_head(&waiting))) {
		evidence_proof_t proof = {0};

		if (now_ms >= waiter->deadline_ms)
			waiter_end(waiter, false, (log_point_t){0}, 0);
		else if (waiter_proven(evidence, waiter, now_ms, &proof))
			waiter_end(waiter, true, proof.point,
				   now_ms - proof.oldest_ms);
		else
			g_queue_push_tail(evidence->waiters, waiter);
	}
}

static log_point_t highest_wanted(const evidence_t *evidence)
{
	log_point_t wanted = {0};

	for (GList *link = evidence->waiters->head; link; link = link->next) {
		const evidence_waiter_t *waiter = link->data;

		if (!waiter->barrier)
			wanted = log_point_max(wanted, waiter->point);
	}
	return wanted;
}

static void round_start(evidence_t *evidence, uint64_t now_ms)
{
	const log_point_t wanted = highest_wanted(evidence);
	const uint32_t delay_ms =
		MIN(evidence->rule.valid_ms / 3, EVIDENCE_DELAY_MS_MAX);

	evidence->round++;
	evidence->unanswered = 0;
	evidence->round_start_ms[evidence->round % EVIDENCE_ROUNDS_KEPT] =
		now_ms;
	for (uint32_t i = 0; i < evidence->rule.servers; i++) {
		if (evidence->servers[i].pending >= EVIDENCE_PENDING_LIMIT)
			continue;
		evidence->servers[i].pending++;
		evidence->unanswered |= 1u << i;
		evidence->handlers.send_request(evidence->handlers.context, i,
						evidence->round, wanted,
						delay_ms);
	}
	/* No server could be queried: the next round starts after a pause. */
	if (!evidence->unanswered)
		evidence->pause_until_ms = now_ms + EVIDENCE_PAUSE_MS;
}

/* Returns when the next round may start, UINT64_MAX without waiters. */
static uint64_t round_due_ms(const evidence_t *evidence)
{
	const evidence_waiter_t *first = g_queue_peek_head(evidence->waiters);
	const evidence_waiter_t *newest = g_queue_peek_tail(evidence->waiters);
	const uint64_t started_ms = round_time_ms(evidence, evidence->round);

	if (!first)
		return UINT64_MAX;
	if (first->first_round > evidence->round)
		return 0;
	if (!evidence->unanswered)
		return evidence->pause_until_ms;
	if (newest->first_round > evidence->round)
		return started_ms + EVIDENCE_OVERLAP_MS;
	return started_ms + EVIDENCE_ROUND_MS;
}

void evidence_step(evidence_t *evidence, uint64_t now_ms)
{
	waiters_end(evidence, now_ms);
	if (now_ms >= round_due_ms(evidence))
		round_start(evidence, now_ms);
}

void evidence_answer(evidence_t *evidence, uint64_t now_ms, uint32_t server,
		     uint64_t round, const server_status_t *status)
{
	evidence_server_t *entry = &evidence->servers[server];

	g_assert(server < evidence->rule.servers);
	if (entry->pending)
		entry->pending--;
	if (round == evidence->round) {
		evidence->unanswered &= ~(1u << server);
		if (!evidence->unanswered)
			evidence->pause_until_ms = now_ms + EVIDENCE_PAUSE_MS;
	}
	if (!status || round + EVIDENCE_ROUNDS_KEPT <= evidence->round ||
	    (entry->known && entry->round > round))
		return;
	entry->known = true;
	entry->round = round;
	entry->status = *status;
	waiters_end(evidence, now_ms);
}

uint64_t evidence_due_ms(const evidence_t *evidence)
{
	uint64_t due_ms = round_due_ms(evidence);

	for (GList *link = evidence->waiters->head; link; link = link->next) {
		const evidence_waiter_t *waiter = link->data;

		due_ms = MIN(due_ms, waiter->deadline_ms);
	}
	return due_ms;
}

void evidence_replaced(evidence_t *evidence, uint64_t term)
{
	for (GList *link = evidence->waiters->head; link; link = link->next) {
		evidence_waiter_t *waiter = link->data;

		if (!waiter->barrier && waiter->point.term < term)
			waiter->deadline_ms = 0;
	}
}

void evidence_abandon(evidence_t *evidence)
{
	waiters_end(evidence, UINT64_MAX);
}

uint32_t evidence_waiting(const evidence_t *evidence)
{
	return g_queue_get_length(evidence->waiters);
}

uint64_t evidence_rounds(const evidence_t *evidence)
{
	return evidence->round;
}
