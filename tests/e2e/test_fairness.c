#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "world/load_run.h"
#include "world/world.h"
#include "world/world_query.h"

#define WAIT_MS 30000u
#define NOISY_CALLERS 32u
#define NOISY_COMMITS 200
#define LARGE_STATEMENT "SELECT big(256)"
#define LOAD_ARGUMENTS "--seconds=90 --sessions=200 --reads=0.5 --roam"
#define QUIET_REQUESTS 60u

static world_t *world;
static char *noisy;
static char *quiet;

/* Starts a deployment in which two services share the VMs. */
static int set_up(void **state)
{
	deployment_t deployment = deployment_tauhara();
	g_autoptr(GError) error = NULL;

	deployment.services = 2;
	world = world_create(&deployment, &error);
	if (!world) {
		fprintf(stderr, "%s\n", error->message);
		return -1;
	}
	noisy = world_database(world, 0, 0);
	quiet = world_database(world, 1, 0);
	return 0;
}

static int tear_down(void **state)
{
	world_destroy(world);
	g_free(noisy);
	g_free(quiet);
	return 0;
}

static PGconn *connect_to(const char *database, uint32_t domain, uint32_t index)
{
	PGconn *connection = world_connect(
		world, world_node(world, domain, index), database);

	if (PQstatus(connection) != CONNECTION_OK)
		fail_msg("%s", PQerrorMessage(connection));
	return connection;
}

static json_int_t noisy_commits(void)
{
	const world_server_t *server = world_primary(world, noisy);
	json_t *state = http_get_json(server->control_port, "/state");
	const double commits = load_run_number(state, "counts.commits");

	json_decref(state);
	return (json_int_t)commits;
}

static bool has_commits(void *context)
{
	return noisy_commits() >= *(const json_int_t *)context;
}

static void await_noisy_commits(json_int_t commits)
{
	world->failed = !world_wait(WAIT_MS, has_commits, &commits);
	assert_false(world->failed);
}

/*
 * Runs small requests of the quiet tenant on the overloaded VM and on the other
 * VM of its failure domain.
 */
static void serve_quiet(const char *prefix)
{
	PGconn *connections[2];

	for (uint32_t i = 0; i < 2; i++)
		connections[i] = connect_to(quiet, 1, i);
	for (uint32_t i = 0; i < QUIET_REQUESTS; i++) {
		g_autofree char *select = g_strdup_printf(
			"SELECT value FROM notes WHERE key = '%s-%u'", prefix,
			i);

		world_query_run(connections[i % 2],
				"INSERT INTO notes VALUES ('%s-%u', 'on')",
				prefix, i);
		world_query_assert_value(connections[i % 2], select, "on");
	}
	for (uint32_t i = 0; i < 2; i++)
		PQfinish(connections[i]);
}

static void create_table(void)
{
	PGconn *connection = connect_to(quiet, 0, 0);

	world_query_run(connection, "CREATE TABLE notes "
				    "(key text PRIMARY KEY, value text)");
	PQfinish(connection);
}

/*
 * Sessions that outnumber the connections send requests to one database without
 * a pause. The other tenant must still be served.
 */
static void test_many_sessions_of_one_tenant(void **state)
{
	g_autoptr(GError) error = NULL;
	load_run_t *load;
	json_int_t before;
	bool passed;

	create_table();
	load = load_run_start(world, "loud", noisy,
			      world->deployment.classes[0].name, LOAD_ARGUMENTS,
			      &error);
	assert_non_null(load);
	await_noisy_commits(NOISY_COMMITS);
	before = noisy_commits();
	serve_quiet("many");
	await_noisy_commits(before + NOISY_COMMITS);
	load_run_stop(load);
	passed = load_run_finish(load, WAIT_MS, NULL);
	world->failed = !passed;
	assert_true(passed);
}

/* A caller of the noisy tenant, with its own thread. */
typedef struct {
	PGconn *connection;
	gint *stop;
	gint served; /* answers received */
} noisy_caller_t;

static gpointer run_noisy_caller(gpointer context)
{
	noisy_caller_t *caller = context;

	while (!g_atomic_int_get(caller->stop)) {
		g_autofree char *sqlstate =
			world_query(caller->connection, LARGE_STATEMENT, NULL);

		if (!sqlstate)
			g_atomic_int_inc(&caller->served);
	}
	return NULL;
}

static bool all_are_served(void *context)
{
	noisy_caller_t *noisy_callers = context;

	for (uint32_t i = 0; i < NOISY_CALLERS; i++)
		if (!g_atomic_int_get(&noisy_callers[i].served))
			return false;
	return true;
}

/*
 * One VM forwards large answers without a pause. The other tenant must still be
 * served, and so must every caller of the noisy one.
 */
static void test_large_answers_of_one_tenant(void **state)
{
	/* Static, as the threads keep running if an assertion fails. */
	static noisy_caller_t noisy_callers[NOISY_CALLERS];
	static gint stop;
	GThread *threads[NOISY_CALLERS];

	create_table();
	for (uint32_t i = 0; i < NOISY_CALLERS; i++) {
		noisy_callers[i].connection = connect_to(noisy, 1, 0);
		noisy_callers[i].stop = &stop;
		threads[i] = g_thread_new("caller", run_noisy_caller,
					  &noisy_callers[i]);
	}
	world->failed = !world_wait(WAIT_MS, all_are_served, noisy_callers);
	assert_false(world->failed);
	serve_quiet("large");
	for (uint32_t i = 0; i < NOISY_CALLERS; i++)
		g_atomic_int_set(&noisy_callers[i].served, 0);
	world->failed = !world_wait(WAIT_MS, all_are_served, noisy_callers);
	assert_false(world->failed);
	g_atomic_int_set(&stop, 1);
	for (uint32_t i = 0; i < NOISY_CALLERS; i++) {
		g_thread_join(threads[i]);
		PQfinish(noisy_callers[i].connection);
	}
}

#define TEST(name) cmocka_unit_test_setup_teardown(name, set_up, tear_down)

/** @param argv name of one test to run; all tests run if absent */
int main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		TEST(test_many_sessions_of_one_tenant),
		TEST(test_large_answers_of_one_tenant),
	};

	if (argc > 1)
		cmocka_set_test_filter(argv[1]);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
