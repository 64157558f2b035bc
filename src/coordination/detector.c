#include "coordination/detector.h"

#include <glib.h>

/** Failed polls, and their duration, after which a primary is suspected. */
#define DETECTOR_FAILURES 2
#define DETECTOR_FAILED_MS 100

/** Delay of a poll round for each node that ranks before this one. */
#define DETECTOR_STAGGER_MS 150

/** Maximum wait for the answers of a poll round, and pause between two. */
#define DETECTOR_ROUND_MS 800
#define DETECTOR_PAUSE_MS 100

/** Divisor of suspect_ms at replicas if the primary is unreachable, too. */
#define DETECTOR_REFUSED_DIVISOR 3

/** Multiple of suspect_ms after which an unreachable primary is lost. */
#define DETECTOR_CUT_OFF_FACTOR 3

/** Time that a promotion takes in addition to the validity of evidence. */
#define DETECTOR_PROMOTION_MS 2000

/** Pause after a change of primary; doubled for each further recent change. */
#define DETECTOR_HOLD_OFF_MS 400
#define DETECTOR_HOLD_OFF_DOUBLINGS 4
#define DETECTOR_RECENT_MS 60000

typedef struct {
	bool polled;		/**< this node polls the server */
	bool known;		/**< a poll has succeeded */
	server_status_t status; /**< result of the latest successful poll */
	uint64_t status_ms;
	uint64_t failing_since_ms; /**< 0 while polls succeed */
	uint32_t failures;	   /**< consecutive failed polls */
	bool answered; /**< an answer arrived in the current poll round */
	server_result_t result; /**< result in the current poll round */
	server_status_t answer; /**< status in the current poll round */
} detector_server_t;

struct detector {
	detector_rule_t rule;
	detector_handlers_t handlers;
	uint64_t term;
	uint32_t primary;
	uint32_t rank;	       /**< number of nodes that act before this one */
	uint64_t changed_ms;   /**< time of the latest change of primary */
	uint32_t changes;      /**< number of recent changes of primary */
	uint64_t suspected_ms; /**< start of the suspicion, or 0 */
	uint64_t refused_ms; /**< since when the primary is unreachable, or 0 */
	uint64_t fenced_ms;  /**< since when a higher fence is seen, or 0 */
	uint64_t poll_round; /**< number of the current poll round */
	uint32_t pending;    /**< bit set of servers that must still answer */
	uint64_t round_ms;   /**< start of the current poll round */
	uint64_t next_round_ms;
	uint32_t last_answers; /**< answers in the latest complete poll round */
	uint32_t last_silent;  /**< count_silent() of that poll round */
	detector_server_t servers[]; /* rule.servers of them */
};

static const char *const reason_names[DETECTOR_REASON_COUNT] = {
	[DETECTOR_SILENT] = "silent",
	[DETECTOR_REFUSED] = "refused",
	[DETECTOR_CUT_OFF] = "cut_off",
	[DETECTOR_FENCE_STUCK] = "fence_stuck",
};

const char *detector_reason_name(detector_reason_t reason)
{
	if (reason >= DETECTOR_REASON_COUNT)
		return "invalid";
	return reason_names[reason];
}

detector_t *detector_create(detector_rule_t rule, detector_handlers_t handlers)
{
	detector_t *detector;

	g_assert(rule.servers <= DETECTOR_SERVER_LIMIT);
	detector = g_malloc0(sizeof(*detector) +
			     rule.servers * sizeof(detector_server_t));
	detector->rule = rule;
	detector->handlers = handlers;
	detector->primary = UINT32_MAX;
	return detector;
}

void detector_destroy(detector_t *detector)
{
	g_free(detector);
}

void detector_set_primary(detector_t *detector, uint64_t now_ms, uint64_t term,
			  uint32_t primary)
{
	if (term <= detector->term)
		return;
	if (!detector->term)
		detector->changes = 0;
	else if (now_ms - detector->changed_ms > DETECTOR_RECENT_MS)
		detector->changes = 1;
	else
		detector->changes++;
	detector->term = term;
	detector->primary = primary;
	detector->changed_ms = now_ms;
	detector->suspected_ms = 0;
	detector->refused_ms = 0;
	detector->fenced_ms = 0;
	detector->pending = 0;
	detector->poll_round++;
}

void detector_set_rank(detector_t *detector, uint32_t rank)
{
	detector->rank = rank;
}

void detector_record_poll(detector_t *detector, uint64_t now_ms,
			  uint32_t server, const server_status_t *status,
			  uint32_t failures)
{
	detector_server_t *entry = &detector->servers[server];

	g_assert(server < detector->rule.servers);
	entry->polled = true;
	entry->failures = failures;
	if (status) {
		entry->known = true;
		entry->status = *status;
		entry->status_ms = now_ms;
		entry->failing_since_ms = 0;
	} else if (!entry->failing_since_ms) {
		entry->failing_since_ms = now_ms;
	}
}

void detector_forget(detector_t *detector, uint32_t server)
{
	detector->servers[server] = (detector_server_t){0};
}

/* Whether a server receives nothing from the primary of the newest term. */
static bool server_silent(const detector_t *detector,
			  const server_status_t *status, uint32_t bound_ms,
			  uint64_t now_ms)
{
	/* The order to follow the new primary takes some time to arrive. */
	if (status->term < detector->term)
		return now_ms - detector->changed_ms >= bound_ms;
	return status->role == SERVER_REPLICA &&
	       status->upstream_age_ms >= bound_ms;
}

static bool server_suspects(const detector_t *detector, uint32_t index,
			    uint64_t now_ms)
{
	const detector_server_t *server = &detector->servers[index];

	if (!server->polled)
		return false;
	if (server->failures) {
		return index == detector->primary &&
		       server->failures >= DETECTOR_FAILURES &&
		       now_ms - server->failing_since_ms >= DETECTOR_FAILED_MS;
	}
	if (!server->known)
		return false;
	if (server->status.fence > detector->term)
		return true;
	return index != detector->primary &&
	       server_silent(detector, &server->status,
			     detector->rule.suspect_ms, now_ms);
}

static bool is_primary_suspect(const detector_t *detector, uint64_t now_ms)
{
	for (uint32_t i = 0; i < detector->rule.servers; i++)
		if (server_suspects(detector, i, now_ms))
			return true;
	return false;
}

static uint64_t hold_off_ms(const detector_t *detector)
{
	if (!detector->changes)
		return 0;
	return (uint64_t)DETECTOR_HOLD_OFF_MS
	       << MIN(detector->changes - 1, DETECTOR_HOLD_OFF_DOUBLINGS);
}

static void poll_round_start(detector_t *detector, uint64_t now_ms)
{
	const uint64_t poll_round = ++detector->poll_round;

	detector->round_ms = now_ms;
	detector->pending = (1u << detector->rule.servers) - 1;
	for (uint32_t i = 0; i < detector->rule.servers; i++)
		detector->servers[i].answered = false;
	for (uint32_t i = 0; i < detector->rule.servers; i++)
		detector->handlers.send_request(detector->handlers.context, i,
						poll_round);
}

static uint32_t count_answers(const detector_t *detector)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < detector->rule.servers; i++)
		count += detector->servers[i].answered &&
			 detector->servers[i].result == SERVER_OK;
	return count;
}

static uint32_t count_silent(const detector_t *detector, uint32_t bound_ms,
			     uint64_t now_ms)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < detector->rule.servers; i++) {
		const detector_server_t *server = &detector->servers[i];

		if (i == detector->primary || !server->answered ||
		    server->result != SERVER_OK)
			continue;
		count += server_silent(detector, &server->answer, bound_ms,
				       now_ms);
	}
	return count;
}

static bool fence_seen(const detector_t *detector)
{
	for (uint32_t i = 0; i < detector->rule.servers; i++)
		if (detector->servers[i].answered &&
		    detector->servers[i].result == SERVER_OK &&
		    detector->servers[i].answer.fence > detector->term)
			return true;
	return false;
}

static const detector_server_t *primary_answer(const detector_t *detector)
{
	const detector_server_t *primary;

	if (detector->primary >= detector->rule.servers)
		return NULL;
	primary = &detector->servers[detector->primary];
	return primary->answered ? primary : NULL;
}

static void update_times(detector_t *detector, uint64_t now_ms)
{
	const detector_server_t *primary = primary_answer(detector);

	if (primary && primary->result == SERVER_OK)
		detector->refused_ms = 0;
	else if (primary && primary->result == SERVER_UNREACHABLE &&
		 !detector->refused_ms)
		detector->refused_ms = now_ms;
	/* Only a complete poll round shows that there is no fence. */
	if (fence_seen(detector)) {
		if (!detector->fenced_ms)
			detector->fenced_ms = now_ms;
	} else if (!detector->pending) {
		detector->fenced_ms = 0;
	}
}

/* @return whether the answers so far show that the primary is lost */
static bool is_primary_lost(const detector_t *detector, uint64_t now_ms,
			    detector_reason_t *reason)
{
	const uint32_t suspect_ms = detector->rule.suspect_ms;
	const uint32_t needed =
		detector->rule.servers - detector->rule.replicas;
	const detector_server_t *primary = primary_answer(detector);

	/* Another node may be promoting: wait for as long as that can take. */
	if (detector->fenced_ms) {
		*reason = DETECTOR_FENCE_STUCK;
		return count_answers(detector) >= needed &&
		       now_ms - detector->fenced_ms >=
			       detector->rule.valid_ms + DETECTOR_PROMOTION_MS;
	}
	*reason = DETECTOR_SILENT;
	if (count_silent(detector, suspect_ms, now_ms) >= needed)
		return true;
	*reason = DETECTOR_REFUSED;
	if (primary && primary->result == SERVER_UNREACHABLE &&
	    count_silent(detector, suspect_ms / DETECTOR_REFUSED_DIVISOR,
			 now_ms) >= needed)
		return true;
	*reason = DETECTOR_CUT_OFF;
	return detector->refused_ms && count_answers(detector) >= needed &&
	       now_ms - detector->refused_ms >=
		       (uint64_t)suspect_ms * DETECTOR_CUT_OFF_FACTOR;
}

static void poll_round_evaluate(detector_t *detector, uint64_t now_ms)
{
	detector_reason_t reason;

	update_times(detector, now_ms);
	if (is_primary_lost(detector, now_ms, &reason)) {
		detector->pending = 0;
		detector->poll_round++;
		detector->next_round_ms = now_ms + detector->rule.valid_ms +
					  DETECTOR_PROMOTION_MS;
		detector->handlers.lost(detector->handlers.context, reason,
					detector->suspected_ms);
		return;
	}
	if (detector->pending &&
	    now_ms < detector->round_ms + DETECTOR_ROUND_MS)
		return;
	detector->last_answers = count_answers(detector);
	detector->last_silent =
		count_silent(detector, detector->rule.suspect_ms, now_ms);
	detector->pending = 0;
	detector->poll_round++;
	detector->next_round_ms = now_ms + DETECTOR_PAUSE_MS;
}

void detector_answer(detector_t *detector, uint64_t now_ms, uint32_t server,
		     uint64_t poll_round, server_result_t result,
		     const server_status_t *status)
{
	detector_server_t *entry = &detector->servers[server];

	g_assert(server < detector->rule.servers);
	if (poll_round != detector->poll_round || !detector->pending)
		return;
	detector->pending &= ~(1u << server);
	entry->answered = true;
	entry->result = status ? result : MAX(result, SERVER_REFUSED);
	if (status)
		entry->answer = *status;
	poll_round_evaluate(detector, now_ms);
}

void detector_step(detector_t *detector, uint64_t now_ms)
{
	if (detector->pending) {
		poll_round_evaluate(detector, now_ms);
		return;
	}
	if (!is_primary_suspect(detector, now_ms)) {
		detector->suspected_ms = 0;
		detector->refused_ms = 0;
		detector->fenced_ms = 0;
		return;
	}
	if (!detector->suspected_ms) {
		detector->suspected_ms = now_ms;
		detector->handlers.suspect(detector->handlers.context);
	}
	if (now_ms >= detector->next_round_ms &&
	    now_ms >= detector->changed_ms + hold_off_ms(detector) &&
	    now_ms >= detector->suspected_ms +
			      (uint64_t)detector->rank * DETECTOR_STAGGER_MS)
		poll_round_start(detector, now_ms);
}

detector_report_t detector_report(const detector_t *detector)
{
	return (detector_report_t){
		.suspected_ms = detector->suspected_ms,
		.answers = detector->last_answers,
		.silent = detector->last_silent,
		.needed = detector->rule.servers - detector->rule.replicas,
	};
}

uint64_t detector_due_ms(const detector_t *detector)
{
	if (detector->pending)
		return detector->round_ms + DETECTOR_ROUND_MS;
	return UINT64_MAX;
}
