#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "world/load_run.h"
#include "world/world.h"
#include "world/world_ask.h"

#define WAIT_MS 30000u
#define FLOODS 32u
#define FLOOD_COMMITS 200
#define FLOOD_STATEMENT "SELECT big(256)"
#define LOAD_ARGUMENTS "--seconds=90 --sessions=200 --reads=0.5 --roam"
#define QUIET_REQUESTS 60u

static world_t *world;
static char *loud;
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
	loud = world_database(world, 0, 0);
	quiet = world_database(world, 1, 0);
	return 0;
}

static int tear_down(void **state)
{
	world_destroy(world);
	g_free(loud);
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

static json_int_t loud_commits(void)
{
	const world_server_t *server = world_primary(world, loud);
	json_t *state = http_ask_json(server->control_port, "/state");
	const double commits = load_run_number(state, "counts.commits");

	json_decref(state);
	return (json_int_t)commits;
}

static bool has_commits(void *context)
{
	return loud_commits() >= *(const json_int_t *)context;
}

static void await_loud_commits(json_int_t commits)
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

		world_ask_run(connections[i % 2],
			      "INSERT INTO notes VALUES ('%s-%u', 'on')",
			      prefix, i);
		world_ask_assert(connections[i % 2], select, "on");
	}
	for (uint32_t i = 0; i < 2; i++)
		PQfinish(connections[i]);
}

static void create_table(void)
{
	PGconn *connection = connect_to(quiet, 0, 0);

	world_ask_run(connection, "CREATE TABLE notes "
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
	bool kept;

	create_table();
	load = load_run_start(world, "loud", loud,
			      world->deployment.classes[0].name, LOAD_ARGUMENTS,
			      &error);
	assert_non_null(load);
	await_loud_commits(FLOOD_COMMITS);
	before = loud_commits();
	serve_quiet("many");
	await_loud_commits(before + FLOOD_COMMITS);
	load_run_stop(load);
	kept = load_run_finish(load, WAIT_MS, NULL);
	world->failed = !kept;
	assert_true(kept);
}

/* A caller of the noisy tenant, with its own thread. */
typedef struct {
	PGconn *connection;
	gint *stop;
	gint served; /* answers received */
} flood_t;

static gpointer flood(gpointer context)
{
	flood_t *flood = context;

	while (!g_atomic_int_get(flood->stop)) {
		g_autofree char *sqlstate =
			world_ask(flood->connection, FLOOD_STATEMENT, NULL);

		if (!sqlstate)
			g_atomic_int_inc(&flood->served);
	}
	return NULL;
}

static bool floods_are_served(void *context)
{
	flood_t *floods = context;

	for (uint32_t i = 0; i < FLOODS; i++)
		if (!g_atomic_int_get(&floods[i].served))
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
	static flood_t floods[FLOODS];
	static gint stop;
	GThread *threads[FLOODS];

	create_table();
	for (uint32_t i = 0; i < FLOODS; i++) {
		floods[i].connection = connect_to(loud, 1, 0);
		floods[i].stop = &stop;
		threads[i] = g_thread_new("flood", flood, &floods[i]);
	}
	world->failed = !world_wait(WAIT_MS, floods_are_served, floods);
	assert_false(world->failed);
	serve_quiet("large");
	for (uint32_t i = 0; i < FLOODS; i++)
		g_atomic_int_set(&floods[i].served, 0);
	world->failed = !world_wait(WAIT_MS, floods_are_served, floods);
	assert_false(world->failed);
	g_atomic_int_set(&stop, 1);
	for (uint32_t i = 0; i < FLOODS; i++) {
		g_thread_join(threads[i]);
		PQfinish(floods[i].connection);
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
