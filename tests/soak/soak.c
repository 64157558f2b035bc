/*
 * Runs a site of real processes and concurrent callers under random faults.
 * Afterwards checks that all callers are served again, that no acknowledged
 * write was lost, that no write which failed without effect was kept, that no
 * write took effect twice, and that no read was staler than allowed.
 */
#include <stdio.h>
#include <stdlib.h>

#include <argtable2.h>

#include "base/clock.h"
#include "soak/caller.h"
#include "soak/faults.h"
#include "world/http_request.h"

/* Timeouts that allow for a heavily loaded machine. */
#define READY_TIMEOUT_MS 30000
#define RECOVER_TIMEOUT_MS 40000

#define STEP_MS 10
#define CALLERS_MAX 400

typedef struct {
	site_plan_t plan;
	uint32_t callers;
	uint32_t seconds;
} options_t;

typedef struct {
	options_t options;
	site_world_t *world;
	caller_t *callers[CALLERS_MAX];
	GPtrArray *problems; /* descriptions of the failed checks, char * */
} soak_t;

/* @return the acknowledged writes of all callers */
static uint32_t total_acknowledged_writes(const soak_t *soak)
{
	uint32_t sum = 0;

	for (uint32_t i = 0; i < soak->options.callers; i++)
		sum += caller_acknowledged_writes(soak->callers[i]);
	return sum;
}

/* Injects faults for the configured time, then removes all of them. */
static void inject_faults(soak_t *soak)
{
	faults_t *faults = faults_create(soak->world, &soak->options.plan);
	const uint64_t until_ms =
		clock_now_ms() + soak->options.seconds * 1000ull;

	while (clock_now_ms() < until_ms) {
		faults_step(faults, clock_now_ms());
		g_usleep(STEP_MS * 1000);
	}
	faults_undo_all(faults);
	faults_destroy(faults);
}

/* @return whether every caller had a write acknowledged since @p before */
static bool all_callers_progressed(const soak_t *soak, const uint32_t *before)
{
	for (uint32_t i = 0; i < soak->options.callers; i++)
		if (caller_acknowledged_writes(soak->callers[i]) <= before[i])
			return false;
	return true;
}

/* Checks that every caller has a write acknowledged after the faults. */
static void check_recovery(soak_t *soak)
{
	const uint64_t until_ms = clock_now_ms() + RECOVER_TIMEOUT_MS;
	uint32_t before[CALLERS_MAX];

	site_world_wait_ready(soak->world, READY_TIMEOUT_MS);
	for (uint32_t i = 0; i < soak->options.callers; i++)
		before[i] = caller_acknowledged_writes(soak->callers[i]);
	while (!all_callers_progressed(soak, before) &&
	       clock_now_ms() < until_ms)
		g_usleep(STEP_MS * 1000);
	if (!all_callers_progressed(soak, before))
		g_ptr_array_add(soak->problems,
				g_strdup("not all callers had a write "
					 "acknowledged after the faults"));
}

/* Checks that a counter of violations in the stand-in's report is 0. */
static void check_counter_is_zero(soak_t *soak, json_t *report,
				  const char *name)
{
	const json_int_t number =
		json_integer_value(json_object_get(report, name));

	if (number)
		g_ptr_array_add(
			soak->problems,
			g_strdup_printf("%s: %lld", name, (long long)number));
}

/*
 * Gets the stand-in's report once it is complete: a server that is still down
 * has not told yet which of its commits are rolled back.
 */
static json_t *wait_for_report(soak_t *soak)
{
	const uint64_t until_ms = clock_now_ms() + RECOVER_TIMEOUT_MS;
	const uint16_t port = site_world_port(soak->world);
	json_t *report = http_get_json(port, "/report");

	while (report && !json_is_true(json_object_get(report, "complete")) &&
	       clock_now_ms() < until_ms) {
		json_decref(report);
		g_usleep(STEP_MS * 1000);
		report = http_get_json(port, "/report");
	}
	return report;
}

/*
 * Checks the stand-in's counters of violations and each caller's history
 * against the logs of the servers.
 */
static void check_consistency(soak_t *soak)
{
	json_t *report = wait_for_report(soak);

	if (!report) {
		g_ptr_array_add(soak->problems, g_strdup("no report from the "
							 "stand-in"));
		return;
	}
	check_counter_is_zero(soak, report, "twice");
	check_counter_is_zero(soak, report, "token_steps_back");
	for (uint32_t i = 0; i < soak->options.callers; i++)
		history_check(caller_history(soak->callers[i]), report,
			      soak->problems);
	printf("promotions: %lld, rolled back: %zu\n",
	       (long long)json_integer_value(
		       json_object_get(report, "promotions")),
	       json_object_size(json_object_get(report, "rolled_back")));
	json_decref(report);
}

static bool run(soak_t *soak)
{
	for (uint32_t i = 0; i < soak->options.callers; i++)
		soak->callers[i] =
			caller_start(soak->world, &soak->options.plan, i);
	inject_faults(soak);
	check_recovery(soak);
	for (uint32_t i = 0; i < soak->options.callers; i++)
		caller_stop(soak->callers[i]);
	check_consistency(soak);
	printf("seed %u: %u writes acknowledged, %u problems\n",
	       soak->options.plan.seed, total_acknowledged_writes(soak),
	       soak->problems->len);
	for (guint i = 0; i < soak->problems->len; i++)
		printf("problem: %s\n", (char *)soak->problems->pdata[i]);
	if (soak->problems->len)
		site_world_print_logs(soak->world);
	for (uint32_t i = 0; i < soak->options.callers; i++)
		caller_destroy(soak->callers[i]);
	return !soak->problems->len;
}

static int soak_main(const options_t *options)
{
	g_autoptr(GError) error = NULL;
	soak_t soak = {.options = *options};
	bool passed = false;

	soak.problems = g_ptr_array_new_with_free_func(g_free);
	soak.world = site_world_create(&options->plan, &error);
	if (!soak.world)
		fprintf(stderr, "%s\n", error->message);
	else if (!site_world_wait_ready(soak.world, READY_TIMEOUT_MS))
		site_world_print_logs(soak.world);
	else
		passed = run(&soak);
	site_world_destroy(soak.world);
	g_ptr_array_unref(soak.problems);
	return passed ? EXIT_SUCCESS : EXIT_FAILURE;
}

int main(int argc, char **argv)
{
	struct arg_int *seed =
		arg_int0("s", "seed", "N", "seed of all random choices");
	struct arg_int *seconds = arg_int0("t", "seconds", "N",
					   "duration of the fault injection");
	struct arg_int *nodes = arg_int0("n", "nodes", "N", "number of nodes");
	struct arg_int *groups =
		arg_int0("g", "groups", "N", "number of groups of 3 servers");
	struct arg_int *callers =
		arg_int0("c", "callers", "N", "number of caller threads");
	struct arg_end *end = arg_end(8);
	void *table[] = {seed, seconds, nodes, groups, callers, end};
	options_t options;

	seed->ival[0] = 1;
	seconds->ival[0] = 15;
	nodes->ival[0] = 4;
	groups->ival[0] = 2;
	callers->ival[0] = 12;
	if (arg_parse(argc, argv, table)) {
		arg_print_errors(stderr, end, argv[0]);
		return EXIT_FAILURE;
	}
	options = (options_t){
		.plan = {.nodes = (uint32_t)CLAMP(nodes->ival[0], 1,
						  SITE_NODES_MAX),
			 .groups = (uint32_t)CLAMP(groups->ival[0], 1,
						   SITE_GROUPS_MAX),
			 .seed = (uint32_t)seed->ival[0]},
		.callers = (uint32_t)CLAMP(callers->ival[0], 1, CALLERS_MAX),
		.seconds = (uint32_t)seconds->ival[0],
	};
	return soak_main(&options);
}
