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

#define WAIT_MS 40000u
#define COMMITS 100
#define LOAD_ARGUMENTS                                                   \
	"--seconds=90 --sessions=12 --reads=0.6 --hand-over=0.3 --roam " \
	"--request-keys"

static world_t *world;
static char *database;
static load_run_t *load;

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
	load = load_run_start(world, "e2e", database,
			      world->deployment.classes[0].name, LOAD_ARGUMENTS,
			      &error);
	return load ? 0 : -1;
}

static int tear_down(void **state)
{
	world_destroy(world);
	g_free(database);
	return 0;
}

static json_int_t count_commits(void)
{
	json_int_t sum = 0;

	for (guint i = 0; i < world->servers->len; i++) {
		const world_server_t *server = world->servers->pdata[i];
		json_t *state = http_get_json(server->control_port, "/state");

		sum += json_integer_value(json_object_get(
			json_object_get(state, "counts"), "commits"));
		json_decref(state);
	}
	return sum;
}

static bool has_commits(void *context)
{
	return count_commits() >= *(json_int_t *)context;
}

static void await_commits(void)
{
	json_int_t wanted_commits = count_commits() + COMMITS;

	world->failed = !world_wait(WAIT_MS, has_commits, &wanted_commits);
	assert_false(world->failed);
}

static void signal_owners(uint32_t domain, int signal_number)
{
	for (uint32_t i = 0; i < world->deployment.nodes_per_domain; i++)
		process_signal(world_node(world, domain, i)->process,
			       signal_number);
}

static void assert_load_consistent(void)
{
	bool passed;

	load_run_stop(load);
	passed = load_run_finish(load, WAIT_MS, NULL);
	world->failed = !passed;
	assert_true(passed);
}

/*
 * All owners of the primary are paused while their evidence is valid. Other VMs
 * must become owners of the server, and answers that the paused VMs give after
 * they resume must be consistent.
 */
static void test_paused_owners_resume(void **state)
{
	uint32_t domain;

	await_commits();
	domain = world_primary(world, database)->domain;
	signal_owners(domain, SIGSTOP);
	await_commits();
	signal_owners(domain, SIGCONT);
	await_commits();
	assert_load_consistent();
}

/*
 * All owners of the primary are paused together with it, and the primary is
 * replaced meanwhile. Answers after all of them resume must be consistent.
 */
static void test_owners_resume_after_the_primary_was_replaced(void **state)
{
	world_server_t *primary;

	await_commits();
	primary = world_primary(world, database);
	signal_owners(primary->domain, SIGSTOP);
	process_signal(primary->process, SIGSTOP);
	await_commits();
	process_signal(primary->process, SIGCONT);
	signal_owners(primary->domain, SIGCONT);
	await_commits();
	assert_load_consistent();
}

#define TEST(name) cmocka_unit_test_setup_teardown(name, set_up, tear_down)

/** @param argv name of one test to run; all tests run if absent */
int main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		TEST(test_paused_owners_resume),
		TEST(test_owners_resume_after_the_primary_was_replaced),
	};

	if (argc > 1)
		cmocka_set_test_filter(argv[1]);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
