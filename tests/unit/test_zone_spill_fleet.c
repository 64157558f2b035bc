#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include <string.h>

#include <glib.h>

#include "coordination/send_budget.h"
#include "coordination/zone_spill.h"

/*
 * Replays load on a queue model of three servers, one in each region. The nodes
 * of the first region decide where to read; the other regions' reads are a
 * constant load on their own servers.
 */

#define NODES 14
#define SERVERS 3
#define SLOTS 3
#define QUEUE 24
#define SECONDS 120
#define DURATION_MS (1000 * SECONDS)
#define ANSWERS_MAX 200
#define NEEDED_MS 266
#define TIMEOUT_MS 1200

/* What happens on one day of the model. */
typedef struct {
	bool old_rule;
	uint32_t interval_ms;	    /* between the reads of the first region */
	uint32_t burst_interval_ms; /* the same during the trouble */
	uint32_t work_ms;	    /* of the first server during the trouble */
	uint32_t reject_one_in;	    /* it rejects every nth read then, or 0 */
	uint32_t queue;		    /* length of its queue then */
	uint32_t far_interval_ms[2]; /* own reads of the other servers */
	uint32_t from_ms;
	uint32_t until_ms;
} day_t;

typedef struct {
	uint64_t slots[SLOTS]; /* when each is free */
	uint32_t arrived;
	uint32_t rejected[SECONDS];
} model_server_t;

typedef struct {
	uint32_t node;
	uint32_t server;
	uint32_t run_ms;
	bool rejected;
} answer_t;

typedef struct {
	zone_spill_t spill;
	zone_server_t servers[SERVERS];
	send_budget_t budgets[SERVERS];
	double run_ms[SERVERS]; /* as in relay_server */
} node_t;

typedef struct {
	day_t day;
	model_server_t servers[SERVERS];
	node_t nodes[NODES];
	GArray *answers[DURATION_MS + 4000];
	uint32_t reads[SECONDS];
	uint32_t away[SECONDS];
	uint64_t latency_ms[SECONDS];
} model_t;

static bool in_trouble(const day_t *day, uint64_t now_ms)
{
	return now_ms >= day->from_ms && now_ms < day->until_ms;
}

/* @return the time until the server has run a read, or 0 if it rejects it */
static uint32_t server_run(model_t *model, uint32_t index, uint64_t now_ms)
{
	model_server_t *server = &model->servers[index];
	const bool trouble = !index && in_trouble(&model->day, now_ms);
	const uint32_t work_ms = trouble ? model->day.work_ms : 15;
	uint64_t *slot = &server->slots[0];

	for (uint32_t i = 1; i < SLOTS; i++)
		if (server->slots[i] < *slot)
			slot = &server->slots[i];
	server->arrived++;
	if ((trouble && model->day.reject_one_in &&
	     !(server->arrived % model->day.reject_one_in)) ||
	    *slot > now_ms + (trouble ? model->day.queue : QUEUE) * work_ms /
				     SLOTS) {
		server->rejected[now_ms / 1000]++;
		return 0;
	}
	*slot = MAX(*slot, now_ms) + work_ms;
	return (uint32_t)(*slot - now_ms);
}

static void send_to(model_t *model, uint32_t node, uint32_t server,
		    uint64_t now_ms)
{
	const uint32_t network_ms = server ? 40 : 3;
	const uint32_t run_ms = server_run(model, server, now_ms);
	const answer_t answer = {.node = node,
				 .server = server,
				 .run_ms = run_ms + network_ms,
				 .rejected = !run_ms};
	GArray **due = &model->answers[now_ms + answer.run_ms];

	if (!*due)
		*due = g_array_new(false, false, sizeof(answer_t));
	g_array_append_val(*due, answer);
	model->reads[now_ms / 1000]++;
	model->away[now_ms / 1000] += !!server;
	model->latency_ms[now_ms / 1000] +=
		answer.rejected ? TIMEOUT_MS : answer.run_ms;
}

static void read_at(model_t *model, uint32_t index, uint64_t now_ms)
{
	const zone_spill_read_t read = {.needed_ms = NEEDED_MS,
					.remaining_ms = TIMEOUT_MS};
	node_t *node = &model->nodes[index];
	read_candidate_t candidates[SERVERS];
	zone_server_t *servers[SERVERS];
	int chosen;

	for (uint32_t i = 0; i < SERVERS; i++) {
		const bool allowed =
			send_budget_allows(&node->budgets[i], 14, now_ms);

		servers[i] = &node->servers[i];
		candidates[i] =
			(read_candidate_t){.usable = allowed,
					   .held_back = !allowed,
					   .same_region = !i,
					   .run_ms = (uint64_t)node->run_ms[i]};
	}
	if (model->day.old_rule)
		chosen = read_placement_choose(candidates, SERVERS);
	else
		chosen = zone_spill_choose(&node->spill, &read, candidates,
					   servers, SERVERS, now_ms)
				 .server;
	if (chosen < 0) {
		model->reads[now_ms / 1000]++;
		model->latency_ms[now_ms / 1000] += TIMEOUT_MS;
		return;
	}
	send_budget_offered(&node->budgets[chosen], 14, true, now_ms);
	send_to(model, index, (uint32_t)chosen, now_ms);
}

static void answer_arrives(model_t *model, const answer_t *answer,
			   uint64_t now_ms)
{
	node_t *node = &model->nodes[answer->node];
	zone_server_t *server = &node->servers[answer->server];
	double *run_ms = &node->run_ms[answer->server];

	*run_ms += 0.1 * (answer->run_ms - *run_ms);
	send_budget_answered(&node->budgets[answer->server], !answer->rejected,
			     now_ms);
	if (answer->rejected)
		zone_server_rejected(server, now_ms);
	else
		zone_server_answered(server, answer->run_ms, now_ms);
}

static void model_run(model_t *model, const day_t *day)
{
	memset(model, 0, sizeof(*model));
	model->day = *day;
	for (uint32_t i = 0; i < NODES * SERVERS; i++)
		model->nodes[i / SERVERS].run_ms[i % SERVERS] = 25;
	for (uint64_t now_ms = 0; now_ms < DURATION_MS; now_ms++) {
		const uint32_t interval_ms = in_trouble(day, now_ms) ?
						     day->burst_interval_ms :
						     day->interval_ms;
		GArray *due = model->answers[now_ms];

		for (guint i = 0; due && i < due->len; i++)
			answer_arrives(model, &g_array_index(due, answer_t, i),
				       now_ms);
		if (!(now_ms % interval_ms))
			read_at(model, (uint32_t)(now_ms / interval_ms) % NODES,
				now_ms);
		for (uint32_t i = 0; i < SERVERS - 1; i++)
			if (!(now_ms % day->far_interval_ms[i]))
				server_run(model, i + 1, now_ms);
	}
	for (uint32_t i = 0; i < G_N_ELEMENTS(model->answers); i++)
		if (model->answers[i])
			g_array_unref(model->answers[i]);
}

/* The share of reads sent away, in windows of two seconds. */
typedef struct {
	double min;
	double max;
	double mean;
	double latency_ms;
	uint32_t turns; /* changes of direction by more than 0.1 */
	uint32_t far_rejected;
} summary_t;

static double share_of(const model_t *model, uint32_t second)
{
	return (double)(model->away[second] + model->away[second + 1]) /
	       (model->reads[second] + model->reads[second + 1]);
}

static summary_t summary_of(const model_t *model, uint32_t from, uint32_t until)
{
	summary_t summary = {.min = 1};
	uint64_t reads = 0;
	uint64_t latency_ms = 0;
	double extreme = share_of(model, from);
	int direction = 0;

	for (uint32_t i = from; i + 1 < until; i += 2) {
		const double share = share_of(model, i);

		summary.min = MIN(summary.min, share);
		summary.max = MAX(summary.max, share);
		summary.mean += share * 2 / (until - from);
		reads += model->reads[i] + model->reads[i + 1];
		latency_ms += model->latency_ms[i] + model->latency_ms[i + 1];
		for (uint32_t j = 1; j < SERVERS; j++)
			summary.far_rejected +=
				model->servers[j].rejected[i] +
				model->servers[j].rejected[i + 1];
		if (direction >= 0 ? share > extreme : share < extreme)
			extreme = share;
		if (share > extreme + 0.1 || share < extreme - 0.1) {
			summary.turns += direction != 0;
			direction = share > extreme ? 1 : -1;
			extreme = share;
		}
	}
	summary.latency_ms = (double)latency_ms / (double)reads;
	return summary;
}

static void both(const char *name, day_t day, summary_t *old, summary_t *new)
{
	static model_t model;

	day.old_rule = true;
	model_run(&model, &day);
	*old = summary_of(&model, 30, 70);
	g_print("%s old", name);
	for (uint32_t i = 0; i < SECONDS; i += 2)
		g_print(" %.0f", 100 * share_of(&model, i));
	g_print("\n");
	day.old_rule = false;
	model_run(&model, &day);
	*new = summary_of(&model, 30, 70);
	g_print("%s new", name);
	for (uint32_t i = 0; i < SECONDS; i += 2)
		g_print(" %.0f", 100 * share_of(&model, i));
	g_print("\n");
	for (int i = 0; i < 2; i++) {
		const summary_t *s = i ? new : old;

		g_print("%s %s: min %.2f max %.2f mean %.2f turns %u latency "
			"%.0f far rejected %u\n",
			name, i ? "new" : "old", s->min, s->max, s->mean,
			s->turns, s->latency_ms, s->far_rejected);
	}
}

static const day_t QUIET = {
	.interval_ms = 11,
	.burst_interval_ms = 11,
	.work_ms = 15,
	.queue = QUEUE,
	.far_interval_ms = {11, 11},
	.from_ms = 10000,
	.until_ms = 70000,
};

static void test_all(void **state)
{
	summary_t old;
	summary_t new;
	day_t day = QUIET;

	both("quiet", day, &old, &new);
	day.work_ms = 150;
	both("slow", day, &old, &new);
	day = QUIET;
	day.work_ms = 50;
	both("slow3", day, &old, &new);
	day = QUIET;
	day.reject_one_in = 3;
	both("rejects", day, &old, &new);
	day = QUIET;
	day.burst_interval_ms = 4;
	both("burst", day, &old, &new);
	day.burst_interval_ms = 3;
	both("burst4", day, &old, &new);
	day = QUIET;
	day.work_ms = 50;
	day.queue = 2;
	both("rejects-cap", day, &old, &new);
	day = QUIET;
	day.work_ms = 150;
	day.far_interval_ms[0] = 5;
	both("farfull", day, &old, &new);
	day.far_interval_ms[0] = 7;
	day.far_interval_ms[1] = 7;
	both("tight", day, &old, &new);
	day.work_ms = 50;
	day.far_interval_ms[0] = 6;
	day.far_interval_ms[1] = 6;
	both("tight3", day, &old, &new);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_all),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
