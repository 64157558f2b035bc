#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include <signal.h>
#include <sys/wait.h>

#include "coordination/ownership.h"
#include "world/load_run.h"
#include "world/fixture.h"
#include "world/world.h"
#include "world/world_query.h"
#include "world/world_files.h"

#define WAIT_MS 30000u
#define ROUNDS 24u
/* Within this time a started VM has begun to watch the servers that it owns. */
#define OWNERSHIP_SETTLE_US ((OWNERSHIP_TAKEOVER_MS + 1000) * 1000u)

static world_t *world;
static char *database;

static int set_up(void **state)
{
	const deployment_t deployment = deployment_tauhara();

	return fixture_start(&deployment, &world, &database);
}

static int tear_down(void **state)
{
	return fixture_end(world, database);
}

static PGconn *connect_to(uint32_t domain, uint32_t index)
{
	PGconn *connection = world_connect(
		world, world_node(world, domain, index), database);

	if (PQstatus(connection) != CONNECTION_OK)
		fail_msg("%s", PQerrorMessage(connection));
	return connection;
}

/* Runs toucanctl and asserts that it succeeds. */
static void run_tool(char *const *tool_arguments)
{
	g_autofree char *program =
		g_build_filename(world->programs, "toucanctl", NULL);
	g_autofree char *log =
		g_build_filename(world->directory, "tool.log", NULL);
	char *arguments[8] = {program};
	process_t *tool;
	int status = -1;

	for (uint32_t i = 0; tool_arguments[i]; i++)
		arguments[i + 1] = tool_arguments[i];
	tool = process_start("toucanctl", log, arguments, NULL);
	assert_non_null(tool);
	assert_true(process_wait(tool, WAIT_MS, &status));
	if (status)
		process_print_log(tool, 20);
	process_destroy(tool);
	assert_int_equal(status, 0);
}

static bool has_revision(void *context)
{
	for (guint i = 0; i < world->nodes->len; i++) {
		const world_node_t *node = world->nodes->pdata[i];
		json_t *status = http_get_json(node->operators_port, "/status");
		const json_int_t revision = json_integer_value(
			json_object_get(status, "config_revision"));

		json_decref(status);
		if (revision < 2)
			return false;
	}
	return true;
}

/*
 * Marks a server as leaving with an overlay file and waits until all VMs have
 * applied the configuration.
 */
static void mark_leaving(const world_server_t *server)
{
	g_autofree char *base = world_files_base(world);
	g_autofree char *base_path =
		g_build_filename(world->directory, "operators.yaml", NULL);
	g_autofree char *path =
		g_build_filename(world->directory, "leaving.yaml", NULL);
	g_autofree char *text = g_strdup_printf(
		"site: tauhara\nservices:\n  - name: %s-1\n    databases:\n"
		"      - name: %s\n        servers:\n          - name: %s\n"
		"            leaving: true\n",
		world->deployment.service, database, server->name);
	g_autofree char *platform = g_strdup_printf("--platform=127.0.0.1:%u",
						    world->platform_port);
	g_autofree char *base_argument =
		g_strdup_printf("--base=%s", base_path);
	g_autofree char *overlay = g_strdup_printf("--overlay=%s", path);
	char *tool_arguments[] = {"apply", platform, base_argument, overlay,
				  NULL};

	assert_true(g_file_set_contents(base_path, base, -1, NULL));
	assert_true(g_file_set_contents(path, text, -1, NULL));
	run_tool(tool_arguments);
	world->failed = !world_wait(WAIT_MS, has_revision, NULL);
	assert_false(world->failed);
}

static double reads_of(const world_server_t *server)
{
	json_t *state = http_get_json(server->control_port, "/state");
	const double reads = load_run_number(state, "counts.reads");

	json_decref(state);
	return reads;
}

static void create_table(void)
{
	PGconn *connection = connect_to(0, 0);

	world_query_run(connection, "CREATE TABLE lots "
				    "(key text PRIMARY KEY, value text)");
	world_query_run(connection, "INSERT INTO lots VALUES ('a', 'on')");
	PQfinish(connection);
}

/* Reads on every VM, by new sessions whose reads replicas may serve. */
static void read_on_every_vm(void)
{
	for (uint32_t i = 0; i < ROUNDS; i++) {
		PGconn *connection = connect_to(i % 3, i / 3 % 2);

		world_query_assert_value(
			connection, "SELECT value FROM lots WHERE key = 'a'",
			"on");
		PQfinish(connection);
	}
}

static void test_leaving_replica_takes_no_statement(void **state)
{
	const world_server_t *leaving = world_server(world, database, 1);
	const world_server_t *other = world_server(world, database, 2);
	double before;
	double other_before;

	create_table();
	before = reads_of(leaving);
	read_on_every_vm();
	/*
	 * The server must have served reads, or the check below that it
	 * serves none would prove nothing.
	 */
	assert_true(reads_of(leaving) > before);
	mark_leaving(leaving);
	before = reads_of(leaving);
	other_before = reads_of(other);
	read_on_every_vm();
	assert_true(reads_of(leaving) == before);
	assert_true(reads_of(other) > other_before);
}

static bool is_primary(void *context)
{
	return world_primary(world, database) == context;
}

static void promote(world_server_t *server)
{
	g_autofree char *node = g_strdup_printf(
		"--node=127.0.0.1:%u", world_node(world, 0, 0)->operators_port);
	g_autofree char *wanted = g_strdup_printf("--server=%s", server->name);
	g_autofree char *confirm = g_strdup_printf("--confirm=%s", database);
	char *tool_arguments[] = {"promote", node,     wanted,
				  confirm,   database, NULL};

	run_tool(tool_arguments);
	world->failed = !world_wait(WAIT_MS, is_primary, server);
	assert_false(world->failed);
}

/* An operator promotes another server, then marks the primary as leaving. */
static void test_primary_leaves_after_a_promotion(void **state)
{
	world_server_t *leaving = world_primary(world, database);
	world_server_t *next =
		world_server(world, database, (leaving->domain + 1) % 3);
	double before;

	create_table();
	promote(next);
	mark_leaving(leaving);
	before = reads_of(leaving);
	for (uint32_t i = 0; i < ROUNDS; i++) {
		PGconn *connection = connect_to(i % 3, i / 3 % 2);

		world_query_run(connection,
				"INSERT INTO lots VALUES ('w%u', 'on')", i);
		world_query_assert_value(
			connection, "SELECT value FROM lots WHERE key = 'a'",
			"on");
		PQfinish(connection);
	}
	assert_true(reads_of(leaving) == before);
}

/*
 * A primary is marked as leaving without a promotion before: a server that
 * stays must be promoted automatically.
 */
static void test_leaving_primary_is_replaced(void **state)
{
	world_server_t *leaving = world_primary(world, database);
	world_server_t *primary;

	create_table();
	mark_leaving(leaving);
	for (uint32_t i = 0; i < ROUNDS; i++) {
		PGconn *connection = connect_to(i % 3, i / 3 % 2);

		world_query_run(connection,
				"INSERT INTO lots VALUES ('h%u', 'on')", i);
		PQfinish(connection);
	}
	primary = world_primary(world, database);
	assert_non_null(primary);
	assert_string_not_equal(primary->name, leaving->name);
}

static json_int_t term_of(const world_server_t *server)
{
	json_t *state = http_get_json(server->control_port, "/state");
	const double term = load_run_number(state, "term");

	json_decref(state);
	return (json_int_t)term;
}

static bool write_succeeds(void *context)
{
	PGconn *connection = world_connect(world, context, database);
	g_autofree char *sqlstate = world_query(connection,
						"UPDATE lots SET value = 'off' "
						"WHERE key = 'a'",
						NULL);

	PQfinish(connection);
	return !sqlstate;
}

/*
 * VMs that start know the initial primary, which is leaving, from the
 * configuration before they learn which server is primary now. That must not
 * cause another promotion.
 */
static void test_restarted_vms_start_no_second_handover(void **state)
{
	world_server_t *leaving = world_primary(world, database);
	world_server_t *primary;
	json_int_t term;

	create_table();
	mark_leaving(leaving);
	assert_true(
		world_wait(WAIT_MS, write_succeeds, world_node(world, 1, 0)));
	primary = world_primary(world, database);
	assert_string_not_equal(primary->name, leaving->name);
	term = term_of(primary);
	for (guint i = 0; i < world->nodes->len; i++)
		process_signal(
			((world_node_t *)world->nodes->pdata[i])->process,
			SIGKILL);
	for (guint i = 0; i < world->nodes->len; i++)
		assert_true(
			world_start_node(world, world->nodes->pdata[i], NULL));
	g_usleep(OWNERSHIP_SETTLE_US);
	for (guint i = 0; i < world->nodes->len; i++)
		assert_true(world_wait(WAIT_MS, write_succeeds,
				       world->nodes->pdata[i]));
	assert_int_equal(term_of(primary), term);
}

#define TEST(name) cmocka_unit_test_setup_teardown(name, set_up, tear_down)

/** @param argv name of one test to run; all tests run if absent */
int main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		TEST(test_leaving_replica_takes_no_statement),
		TEST(test_primary_leaves_after_a_promotion),
		TEST(test_leaving_primary_is_replaced),
		TEST(test_restarted_vms_start_no_second_handover),
	};

	if (argc > 1)
		cmocka_set_test_filter(argv[1]);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
