/*
 * Measures the longest gap between acknowledged writes when the primary fails,
 * for several faults and link conditions, and compares the gap with its
 * target. Also checks that lossy links alone cause no promotion.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <argtable2.h>

#include "world/fixture.h"
#include "world/load_run.h"
#include "world/world.h"

#define RUNS_DEFAULT 10
#define RUNS_MAX 1000
#define FAULT_AFTER_COMMITS 150
#define COMMITS_AFTER_FAULT 150
#define COMMITS_AFTER_HEAL 400
#define TIMEOUT_MS 30000u
#define LOAD_ARGUMENTS \
	"--seconds=60 --sessions=12 --reads=0.5 --request-keys --rate=400"
#define NO_FAULT_LOAD_ARGUMENTS \
	"--seconds=20 --sessions=12 --reads=0.5 --request-keys --rate=400"
#define NO_FAULT_TIMEOUT_MS 60000u
/* Longest allowed gap between acknowledged writes. */
#define TARGET_KILLED_MS 3000
#define TARGET_CUT_MS 5000
#define TARGET_ANY_FAULT_MS 17000

#define LOSS_PERCENT 1
#define LOSS_JITTER_MS 3
#define DISTANT_DELAY_MS 20

/** A fault that makes the primary fail. */
typedef struct {
	const char *name;
	void (*inject)(world_t *world, world_server_t *primary);
	void (*repair)(world_t *world, world_server_t *primary);
	double target_ms;	     /**< longest allowed gap between writes */
	bool continues_after_repair; /**< the load continues after the repair */
} fault_t;

/** Conditions of the links between the failure domains. */
typedef struct {
	const char *name;
	uint32_t loss_percent;
	uint32_t jitter_ms;
	uint32_t delay_ms; /**< one way; 0 for the site's own delay */
} links_t;

/** Progress to wait for: commits of any server but one. */
typedef struct {
	const world_t *world;
	const world_server_t *except; /**< server that is not queried */
	json_int_t commits;	      /**< commits to wait for */
} progress_t;

static void kill_primary(world_t *world, world_server_t *primary)
{
	process_signal(primary->process, SIGKILL);
}

static void freeze_primary(world_t *world, world_server_t *primary)
{
	process_signal(primary->process, SIGSTOP);
}

static void resume_primary(world_t *world, world_server_t *primary)
{
	process_signal(primary->process, SIGCONT);
}

static void cut_primary_domain(world_t *world, world_server_t *primary)
{
	world_cut_domain(world, primary->domain, true);
}

static void restore_primary_domain(world_t *world, world_server_t *primary)
{
	world_cut_domain(world, primary->domain, false);
}

static void repair_nothing(world_t *world, world_server_t *primary)
{
}

static const fault_t faults[] = {
	{"killed", kill_primary, repair_nothing, TARGET_KILLED_MS, false},
	{"frozen", freeze_primary, resume_primary, TARGET_ANY_FAULT_MS, false},
	{"domain cut", cut_primary_domain, restore_primary_domain,
	 TARGET_CUT_MS, false},
	{"domain cut and healed", cut_primary_domain, restore_primary_domain,
	 TARGET_CUT_MS, true},
};

static const links_t links[] = {
	{"clean", 0, 0, 0},
	{"loss", LOSS_PERCENT, LOSS_JITTER_MS, 0},
	{"distant", 0, 0, DISTANT_DELAY_MS},
};

static bool has_progressed(void *context)
{
	const progress_t *wanted = context;

	for (guint i = 0; i < wanted->world->servers->len; i++) {
		const world_server_t *server = wanted->world->servers->pdata[i];

		if (server != wanted->except &&
		    fixture_count(server, "commits") >= wanted->commits)
			return true;
	}
	return false;
}

/*
 * Injects one fault under load.
 *
 * @return the longest gap between acknowledged writes in milliseconds, -1 if
 *         writes did not resume or a guarantee was violated, -2 if the
 *         deployment could not be started
 */
static double measure(const deployment_t *deployment, const fault_t *fault)
{
	g_autoptr(GError) error = NULL;
	world_t *world = world_create(deployment, &error);
	g_autofree char *database = NULL;
	progress_t before = {world, NULL, FAULT_AFTER_COMMITS};
	progress_t after = {world, NULL, COMMITS_AFTER_FAULT};
	progress_t healed = {world, NULL, COMMITS_AFTER_HEAL};
	world_server_t *primary;
	json_t *results = NULL;
	load_run_t *load;
	double gap_ms = -1;

	if (!world) {
		fprintf(stderr, "%s\n", error->message);
		return -2;
	}
	database = world_database(world, 0, 0);
	load = load_run_start(world, "bench", database,
			      deployment->classes[0].name, LOAD_ARGUMENTS,
			      NULL);
	world_wait(TIMEOUT_MS, has_progressed, &before);
	primary = world_primary(world, database);
	after.except = primary;
	fault->inject(world, primary);
	if (world_wait(TIMEOUT_MS, has_progressed, &after))
		gap_ms = 0;
	fault->repair(world, primary);
	healed.except = primary;
	if (fault->continues_after_repair &&
	    !world_wait(TIMEOUT_MS, has_progressed, &healed))
		gap_ms = -1;
	load_run_stop(load);
	if (!load_run_finish(load, TIMEOUT_MS, &results))
		gap_ms = -1;
	if (gap_ms >= 0)
		gap_ms = load_run_number(results, "longest_write_gap_ms");
	json_decref(results);
	world_destroy(world);
	return gap_ms;
}

static int compare(const void *a, const void *b)
{
	double first = *(const double *)a;
	double second = *(const double *)b;

	return (first > second) - (first < second);
}

/* Repeats a fault and prints the gaps. @return whether the target was met */
static bool run_fault(const deployment_t *deployment, const char *name,
		      const fault_t *fault, int runs)
{
	g_autofree double *gaps = g_new0(double, runs);
	int failed = 0;
	int not_started = 0;
	int succeeded = 0;
	bool missed;

	for (int i = 0; i < runs; i++) {
		double gap_ms = measure(deployment, fault);

		if (gap_ms < -1)
			not_started++;
		else if (gap_ms < 0)
			failed++;
		else
			gaps[succeeded++] = gap_ms;
	}
	qsort(gaps, (size_t)succeeded, sizeof(*gaps), compare);
	if (!succeeded) {
		printf("failover %s %s: runs %d, failed %d, not started %d%s\n",
		       name, fault->name, runs, failed, not_started,
		       failed ? ", target missed" : "");
		return false;
	}
	missed = failed || gaps[succeeded - 1] >
				   MIN(fault->target_ms, TARGET_ANY_FAULT_MS);
	printf("failover %s %s: runs %d, failed %d, not started %d, gap ms min %.0f "
	       "median %.0f max %.0f%s\n",
	       name, fault->name, runs, failed, not_started, gaps[0],
	       gaps[succeeded / 2], gaps[succeeded - 1],
	       missed ? ", target missed" : "");
	return !missed && !not_started;
}

/* Checks that no replica is promoted without a fault on lossy links. */
static bool run_without_fault(const deployment_t *deployment, const char *name)
{
	g_autoptr(GError) error = NULL;
	world_t *world = world_create(deployment, &error);
	g_autofree char *database = NULL;
	load_run_t *load;
	int64_t started;
	int64_t promoted;
	bool guarantees_kept = false;

	if (!world) {
		fprintf(stderr, "%s\n", error->message);
		return false;
	}
	database = world_database(world, 0, 0);
	started = world_promotions(world, "promotion_started");
	promoted = world_promotions(world, "promoted");
	load = load_run_start(world, "quiet", database,
			      deployment->classes[0].name,
			      NO_FAULT_LOAD_ARGUMENTS, NULL);
	if (load)
		guarantees_kept =
			load_run_finish(load, NO_FAULT_TIMEOUT_MS, NULL);
	started = world_promotions(world, "promotion_started") - started;
	promoted = world_promotions(world, "promoted") - promoted;
	printf("failover %s no fault: %" G_GINT64_FORMAT
	       " promotions begun, %" G_GINT64_FORMAT
	       " promotions, guarantees kept: %s%s\n",
	       name, started, promoted, guarantees_kept ? "yes" : "no",
	       promoted ? ", target missed" : "");
	world_destroy(world);
	return guarantees_kept && !promoted;
}

/* Runs all faults with one kind of links. @return whether targets were met */
static bool run_links(deployment_t deployment, const links_t *chosen, int runs)
{
	g_autofree char *name = NULL;
	bool passed = true;

	if (chosen->delay_ms)
		deployment.domain_delay_ms = chosen->delay_ms;
	if (chosen->jitter_ms) {
		/*
		 * A site with jitter keeps its mean delay, which is the delay
		 * plus half the jitter.
		 */
		if (deployment.jitter_ms)
			deployment.domain_delay_ms -=
				(chosen->jitter_ms - deployment.jitter_ms) / 2;
		deployment.jitter_ms = chosen->jitter_ms;
	}
	deployment.loss_percent = chosen->loss_percent;
	name = g_strdup_printf("%s %s (%u ms + up to %u ms, loss %u %%)",
			       deployment.site, chosen->name,
			       deployment.domain_delay_ms, deployment.jitter_ms,
			       deployment.loss_percent);
	if (chosen->loss_percent)
		passed &= run_without_fault(&deployment, name);
	for (size_t i = 0; i < G_N_ELEMENTS(faults); i++)
		passed &= run_fault(&deployment, name, &faults[i], runs);
	return passed;
}

int main(int argc, char **argv)
{
	struct arg_int *runs =
		arg_int0(NULL, "runs", "N", "runs of each fault");
	struct arg_lit *tikva =
		arg_lit0(NULL, "tikva", "Tikva's sizes instead of Tauhara's");
	struct arg_str *links_name = arg_str0(
		NULL, "links", "NAME", "only clean, loss or distant links");
	struct arg_end *end = arg_end(4);
	void *options[] = {runs, tikva, links_name, end};
	deployment_t deployment;
	bool passed = true;

	runs->ival[0] = RUNS_DEFAULT;
	if (arg_parse(argc, argv, options)) {
		arg_print_errors(stderr, end, argv[0]);
		return EXIT_FAILURE;
	}
	setvbuf(stdout, NULL, _IOLBF, 0);
	deployment = tikva->count ? deployment_tikva() : deployment_tauhara();
	for (size_t i = 0; i < G_N_ELEMENTS(links); i++)
		if (!links_name->count ||
		    !strcmp(links_name->sval[0], links[i].name))
			passed &= run_links(deployment, &links[i],
					    CLAMP(runs->ival[0], 1, RUNS_MAX));
	return passed ? EXIT_SUCCESS : EXIT_FAILURE;
}
