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
	uint32_t to_second[SECONDS]; /* of these, to the second server */
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
	model->to_second[now_ms / 1000] += server == 1;
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

/* What the first region's reads did in a period, in windows of two seconds. */
typedef struct {
	double min; /* share of reads sent away */
	double max;
	double mean;
	double latency_ms; /* a rejected read counts as TIMEOUT_MS */
	uint32_t far_rejected;
	uint32_t to_second;
} period_t;

static double share_of(const model_t *model, uint32_t second)
{
	return (double)(model->away[second] + model->away[second + 1]) /
	       (model->reads[second] + model->reads[second + 1]);
}

static period_t period_of(const model_t *model, uint32_t from, uint32_t until)
{
	period_t period = {.min = 1};
	uint64_t reads = 0;
	uint64_t latency_ms = 0;

	for (uint32_t i = from; i < until; i += 2) {
		const double share = share_of(model, i);

		period.min = MIN(period.min, share);
		period.max = MAX(period.max, share);
		period.mean += share * 2 / (until - from);
		for (uint32_t j = i; j < i + 2; j++) {
			reads += model->reads[j];
			latency_ms += model->latency_ms[j];
			period.to_second += model->to_second[j];
			period.far_rejected += model->servers[1].rejected[j] +
					       model->servers[2].rejected[j];
		}
	}
	period.latency_ms = (double)latency_ms / (double)reads;
	return period;
}

/* The last 30 s of a trouble of 60 s, and the end of the 50 s after it. */
typedef struct {
	period_t settled;
	period_t after;
} outcome_t;

static outcome_t run(const char *name, day_t day, bool old_rule)
{
	static model_t model;
	outcome_t outcome;

	day.old_rule = old_rule;
	model_run(&model, &day);
	outcome = (outcome_t){.settled = period_of(&model, 40, 70),
			      .after = period_of(&model, 116, 120)};
	print_message("%s, %s rule: away %.2f to %.2f, mean %.2f; latency %.0f "
		      "ms; rejected far away %u; afterwards %.2f\n",
		      name, old_rule ? "old" : "new", outcome.settled.min,
		      outcome.settled.max, outcome.settled.mean,
		      outcome.settled.latency_ms, outcome.settled.far_rejected,
		      outcome.after.mean);
	return outcome;
}

/* 84 reads per second; a server runs 200 per second. */
static const day_t quiet_day = {
	.interval_ms = 12,
	.burst_interval_ms = 12,
	.work_ms = 15,
	.queue = QUEUE,
	.far_interval_ms = {11, 11},
	.from_ms = 10000,
	.until_ms = 70000,
};

static void assert_settled(const outcome_t *outcome, double min, double max)
{
	assert_true(outcome->settled.min >= min);
	assert_true(outcome->settled.max <= max);
	assert_int_equal(outcome->settled.far_rejected, 0);
	assert_true(outcome->after.mean <= 0.1);
}

/* Guards against reads that leave although nothing is wrong. */
static void test_quiet(void **state)
{
	assert_true(run("quiet", quiet_day, true).settled.max == 0);
	assert_true(run("quiet", quiet_day, false).settled.max == 0);
}

/*
 * At 150 ms the server runs 20 reads per second, so 76 % must leave. The old
 * rule does not bring them back: without reads the run time stays as it was.
 */
static void test_ten_times_slower(void **state)
{
	day_t day = quiet_day;
	outcome_t outcome;

	day.work_ms = 150;
	assert_true(run("10 times slower", day, true).after.mean > 0.7);
	outcome = run("10 times slower", day, false);
	assert_settled(&outcome, 0.7, 0.9);
}

/* 60 reads per second remain possible, so 28 % must leave. */
static void test_three_times_slower(void **state)
{
	day_t day = quiet_day;
	outcome_t outcome;

	day.work_ms = 50;
	outcome = run("3 times slower", day, true);
	assert_true(outcome.settled.mean > 0.5);
	outcome = run("3 times slower", day, false);
	assert_settled(&outcome, 0.2, 0.38);
}

/* 57 reads per second of each other region's capacity are not in use. */
static void test_little_room_elsewhere(void **state)
{
	day_t day = quiet_day;
	outcome_t outcome;

	day.work_ms = 150;
	day.far_interval_ms[0] = 7;
	day.far_interval_ms[1] = 7;
	run("little room", day, true);
	outcome = run("little room", day, false);
	assert_settled(&outcome, 0.7, 0.9);
}

/* The server rejects what exceeds two thirds of the load. */
static void test_rejects_a_third(void **state)
{
	day_t day = quiet_day;
	outcome_t outcome;

	day.work_ms = 53;
	day.queue = 2;
	run("rejects a third", day, true);
	outcome = run("rejects a third", day, false);
	assert_settled(&outcome, 0.25, 0.5);
}

/* Less load does not help here, so nearly all reads leave. */
static void test_rejects_every_third_read(void **state)
{
	day_t day = quiet_day;
	outcome_t outcome;

	day.reject_one_in = 3;
	run("rejects every third", day, true);
	outcome = run("rejects every third", day, false);
	assert_true(outcome.settled.max - outcome.settled.min < 0.1);
	assert_true(outcome.settled.latency_ms < 150);
	assert_int_equal(outcome.settled.far_rejected, 0);
	assert_true(outcome.after.mean <= 0.2);
}

/* 250 reads per second, 20 % more than the server runs. */
static void test_burst(void **state)
{
	day_t day = quiet_day;
	outcome_t outcome;

	day.burst_interval_ms = 4;
	run("burst", day, true);
	outcome = run("burst", day, false);
	assert_settled(&outcome, 0.12, 0.3);
}

/* The second server has more reads of its own than it can run. */
static void test_full_server_gets_no_reads(void **state)
{
	day_t day = quiet_day;
	outcome_t outcome;

	day.work_ms = 150;
	day.far_interval_ms[0] = 4;
	run("full server", day, true);
	outcome = run("full server", day, false);
	print_message("reads sent to the full server: %u\n",
		      outcome.settled.to_second);
	assert_true(outcome.settled.min >= 0.7);
	assert_true(outcome.settled.to_second <= 25); /* 1 % */
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_quiet),
		cmocka_unit_test(test_ten_times_slower),
		cmocka_unit_test(test_three_times_slower),
		cmocka_unit_test(test_little_room_elsewhere),
		cmocka_unit_test(test_rejects_a_third),
		cmocka_unit_test(test_rejects_every_third_read),
		cmocka_unit_test(test_burst),
		cmocka_unit_test(test_full_server_gets_no_reads),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
