#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include <signal.h>

#include "world/fixture.h"
#include "world/load_run.h"

#define FAULT_AFTER_COMMITS 100
#define COMMITS_AFTER_FAULT 100
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

	return fixture_start(&deployment, &world, &database);
}

static int tear_down(void **state)
{
	return fixture_end(world, database);
}

static void start_load(const char *arguments)
{
	const fixture_progress_t wanted = {NULL, 1, FAULT_AFTER_COMMITS};
	g_autoptr(GError) error = NULL;

	load = load_run_start(world, "e2e", database,
			      world->deployment.classes[0].name, arguments,
			      &error);
	assert_non_null(load);
	assert_true(fixture_wait_progress(world, &wanted));
	old_primary = world_primary(world, database);
	assert_non_null(old_primary);
}

/* Waits until a primary of a later term has committed writes. */
static void await_new_primary(void)
{
	const fixture_progress_t wanted = {old_primary, 2, COMMITS_AFTER_FAULT};

	assert_true(fixture_wait_progress(world, &wanted));
}

static void await_commits(json_int_t more)
{
	const fixture_progress_t wanted = {
		.term = 1,
		.commits = fixture_count(old_primary, "commits") + more,
	};

	assert_true(fixture_wait_progress(world, &wanted));
}

/* Ends the load; toucanload has checked the consistency of every answer. */
static void assert_load_consistent(json_t **results)
{
	load_run_stop(load);
	assert_true(fixture_check(
		world, load_run_finish(load, FIXTURE_WAIT_MS, results)));
}

static void test_killed_primary(void **state)
{
	start_load(LOAD_ARGUMENTS);
	process_signal(old_primary->process, SIGKILL);
	await_new_primary();
	assert_load_consistent(NULL);
}

static bool has_rejoined(void *context)
{
	const world_server_t *server = context;
	json_t *state = http_get_json(server->control_port, "/state");
	bool rejoined = load_run_number(state, "last_term") > 1;

	json_decref(state);
	return rejoined;
}

/* A server that restarts empty must rejoin as a replica. */
static void test_replaced_server_rejoins(void **state)
{
	start_load(LOAD_ARGUMENTS);
	process_signal(old_primary->process, SIGKILL);
	await_new_primary();
	assert_true(world_start_server(world, old_primary, true, NULL));
	assert_true(fixture_wait(world, has_rejoined, old_primary));
	assert_load_consistent(NULL);
}

/*
 * A primary that resumes after its replacement must not acknowledge a write
 * that the new primary does not have.
 */
static void test_paused_primary_that_resumes(void **state)
{
	start_load(LOAD_ARGUMENTS);
	process_signal(old_primary->process, SIGSTOP);
	await_new_primary();
	process_signal(old_primary->process, SIGCONT);
	await_commits(COMMITS_AFTER_FAULT);
	assert_load_consistent(NULL);
}

static void test_primary_domain_cut_off_and_healed(void **state)
{
	start_load(LOAD_ARGUMENTS);
	assert_true(world_cut_domain(world, old_primary->domain, true));
	await_new_primary();
	assert_true(world_cut_domain(world, old_primary->domain, false));
	old_primary = world_primary(world, database);
	await_commits(COMMITS_AFTER_FAULT);
	assert_load_consistent(NULL);
}

static void test_killed_primary_in_an_outage_of_the_platform(void **state)
{
	start_load(LOAD_ARGUMENTS);
	assert_true(world_post_control(world->platform_control_port,
				       "/fault?outage=60000"));
	process_signal(old_primary->process, SIGKILL);
	await_new_primary();
	assert_load_consistent(NULL);
}

static void test_killed_vm_and_primary_at_once(void **state)
{
	start_load(LOAD_ARGUMENTS);
	process_signal(world_node(world, old_primary->domain, 0)->process,
		       SIGKILL);
	process_signal(old_primary->process, SIGKILL);
	await_new_primary();
	assert_load_consistent(NULL);
}

static void test_killed_vm(void **state)
{
	start_load(LOAD_ARGUMENTS);
	process_signal(world_node(world, 0, 0)->process, SIGKILL);
	await_commits(COMMITS_AFTER_FAULT);
	assert_load_consistent(NULL);
}

/* Answers to commits are lost between the server and the owner. */
static void test_lost_answers_of_commits(void **state)
{
	start_load(LOAD_ARGUMENTS);
	assert_true(world_post_control(old_primary->control_port,
				       "/set?drop_answer=20"));
	await_commits(COMMITS_AFTER_FAULT);
	assert_load_consistent(NULL);
}

/* A planned stop aborts no request: every request must be answered. */
static void test_drained_vm_cuts_no_request(void **state)
{
	world_node_t *leaving = world_node(world, 0, 0);
	json_t *results = NULL;
	int status = -1;

	start_load("--seconds=90 --sessions=12 --reads=0.6 --roam "
		   "--transactions=0.3");
	process_signal(leaving->process, SIGTERM);
	assert_true(process_wait(leaving->process, FIXTURE_WAIT_MS, &status));
	assert_int_equal(status, 0);
	await_commits(COMMITS_AFTER_FAULT);
	assert_load_consistent(&results);
	if (!fixture_check(world, load_run_number(results, "unknown") == 0))
		json_dumpf(results, stderr, JSON_INDENT(2));
	assert_false(world->failed);
	json_decref(results);
}

#define TEST(name) cmocka_unit_test_setup_teardown(name, set_up, tear_down)

/** @param argv name of one test to run; all tests run if absent */
int main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		TEST(test_killed_primary),
		TEST(test_replaced_server_rejoins),
		TEST(test_paused_primary_that_resumes),
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
