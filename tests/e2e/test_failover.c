#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include <signal.h>

#include "world/load_run.h"
#include "world/world.h"

#define FAULT_AFTER_COMMITS 100
#define COMMITS_AFTER_FAULT 100
#define WAIT_MS 30000u
#define LOAD_ARGUMENTS                                                   \
	"--seconds=90 --sessions=12 --reads=0.6 --hand-over=0.3 --roam " \
	"--transactions=0.2 --request-keys"

static world_t *world;
static char *database;
static load_run_t *load;
static world_server_t *old_primary;

static int set_up(void **state)
{
	deployment_t deployment = deployment_tauhara();
	g_autoptr(GError) error = NULL;

	world = world_create(&deployment, &error);
	if (!world) {
		fprintf(stderr, "%s\n", error->message);
		return -1;
	}
	database = world_database(world, 0, 0);
	return 0;
}

static int tear_down(void **state)
{
	world_destroy(world);
	g_free(database);
	return 0;
}

/** Commits that a server made itself in at least some term. */
typedef struct {
	const world_server_t *except; /**< not asked, as it may not answer */
	json_int_t term;
	json_int_t commits;
} progress_t;

static bool has_progressed(void *context)
{
	const progress_t *wanted = context;
	bool progressed = false;

	for (guint i = 0; i < world->servers->len; i++) {
		const world_server_t *server = world->servers->pdata[i];
		json_t *state;

		if (server == wanted->except)
			continue;
		state = http_ask_json(server->control_port, "/state");
		if (json_integer_value(json_object_get(state, "term")) >=
			    wanted->term &&
		    load_run_number(state, "counts.commits") >=
			    (double)wanted->commits)
			progressed = true;
		json_decref(state);
	}
	return progressed;
}

static void start_load(const char *arguments)
{
	progress_t enough = {NULL, 1, FAULT_AFTER_COMMITS};
	g_autoptr(GError) error = NULL;

	load = load_run_start(world, "e2e", database,
			      world->deployment.classes[0].name, arguments,
			      &error);
	assert_non_null(load);
	assert_true(world_wait(WAIT_MS, has_progressed, &enough));
	old_primary = world_primary(world, database);
	assert_non_null(old_primary);
}

/* Writes must go on at a primary of a later term. */
static void await_new_primary(void)
{
	progress_t enough = {old_primary, 2, COMMITS_AFTER_FAULT};

	world->failed = !world_wait(WAIT_MS, has_progressed, &enough);
	assert_false(world->failed);
}

static void await_commits(json_int_t more)
{
	json_t *state = http_ask_json(old_primary->control_port, "/state");
	progress_t enough = {
		.term = 1,
		.commits =
			(json_int_t)load_run_number(state, "counts.commits") +
			more,
	};

	json_decref(state);
	world->failed = !world_wait(WAIT_MS, has_progressed, &enough);
	assert_false(world->failed);
}

/* Ends the load; the tool has checked every promise. */
static void assert_promises_kept(json_t **results)
{
	bool kept;

	load_run_stop(load);
	kept = load_run_finish(load, WAIT_MS, results);
	world->failed = !kept;
	assert_true(kept);
}

static void test_killed_primary(void **state)
{
	start_load(LOAD_ARGUMENTS);
	process_signal(old_primary->process, SIGKILL);
	await_new_primary();
	assert_promises_kept(NULL);
}

/* A primary that wakes up must not acknowledge what its successor lacks. */
static void test_frozen_primary_that_wakes(void **state)
{
	start_load(LOAD_ARGUMENTS);
	process_signal(old_primary->process, SIGSTOP);
	await_new_primary();
	process_signal(old_primary->process, SIGCONT);
	await_commits(COMMITS_AFTER_FAULT);
	assert_promises_kept(NULL);
}

static void test_primary_domain_cut_off_and_healed(void **state)
{
	start_load(LOAD_ARGUMENTS);
	assert_true(world_cut_domain(world, old_primary->domain, true));
	await_new_primary();
	assert_true(world_cut_domain(world, old_primary->domain, false));
	old_primary = world_primary(world, database);
	await_commits(COMMITS_AFTER_FAULT);
	assert_promises_kept(NULL);
}

static void test_killed_primary_in_an_outage_of_the_platform(void **state)
{
	start_load(LOAD_ARGUMENTS);
	assert_true(world_fault(world->platform_control_port,
				"/fault?outage=60000"));
	process_signal(old_primary->process, SIGKILL);
	await_new_primary();
	assert_promises_kept(NULL);
}

static void test_killed_vm_and_primary_at_once(void **state)
{
	start_load(LOAD_ARGUMENTS);
	process_signal(world_node(world, old_primary->domain, 0)->process,
		       SIGKILL);
	process_signal(old_primary->process, SIGKILL);
	await_new_primary();
	assert_promises_kept(NULL);
}

static void test_killed_vm(void **state)
{
	start_load(LOAD_ARGUMENTS);
	process_signal(world_node(world, 0, 0)->process, SIGKILL);
	await_commits(COMMITS_AFTER_FAULT);
	assert_promises_kept(NULL);
}

/* The answer of a commit is lost on its way to the owner. */
static void test_lost_answers_of_commits(void **state)
{
	start_load(LOAD_ARGUMENTS);
	assert_true(
		world_fault(old_primary->control_port, "/set?drop_answer=20"));
	await_commits(COMMITS_AFTER_FAULT);
	assert_promises_kept(NULL);
}

/* A planned stop cuts nothing: every request is answered. */
static void test_drained_vm_cuts_no_request(void **state)
{
	world_node_t *leaving = world_node(world, 0, 0);
	json_t *results = NULL;
	int status = -1;

	start_load("--seconds=90 --sessions=12 --reads=0.6 --roam "
		   "--transactions=0.3");
	process_signal(leaving->process, SIGTERM);
	assert_true(process_wait(leaving->process, WAIT_MS, &status));
	assert_int_equal(status, 0);
	await_commits(COMMITS_AFTER_FAULT);
	assert_promises_kept(&results);
	world->failed = load_run_number(results, "unknown") != 0;
	if (world->failed)
		json_dumpf(results, stderr, JSON_INDENT(2));
	assert_false(world->failed);
	json_decref(results);
}

#define TEST(name) cmocka_unit_test_setup_teardown(name, set_up, tear_down)

/** @param argv one test's name, or none for all */
int main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		TEST(test_killed_primary),
		TEST(test_frozen_primary_that_wakes),
		TEST(test_primary_domain_cut_off_and_healed),
		TEST(test_killed_primary_in_an_outage_of_the_platform),
		TEST(test_killed_vm_and_primary_at_once),
		TEST(test_killed_vm),
		TEST(test_lost_answers_of_commits),
		TEST(test_drained_vm_cuts_no_request),
	};

	if (argc > 1)
		cmocka_set_test_filter(argv[1]);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
