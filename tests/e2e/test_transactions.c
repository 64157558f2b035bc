#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include <signal.h>

#include "world/world.h"
#include "world/world_query.h"

#define WAIT_MS 30000u
#define SHIP_DELAY_MS 1500u
#define FAILED_TRANSACTION "25P02"

static world_t *world;
static char *database;
static world_server_t *primary;
static world_node_t *owner;

/* Starts one VM in each failure domain, so that the primary has one owner. */
static int set_up(void **state)
{
	deployment_t deployment = deployment_tauhara();
	g_autoptr(GError) error = NULL;

	deployment.nodes_per_domain = 1;
	deployment.owners = 1;
	world = world_create(&deployment, &error);
	if (!world) {
		fprintf(stderr, "%s\n", error->message);
		return -1;
	}
	database = world_database(world, 0, 0);
	primary = world_primary(world, database);
	owner = world_node(world, primary->domain, 0);
	return 0;
}

static int tear_down(void **state)
{
	world_destroy(world);
	g_free(database);
	return 0;
}

/* @param place 0 for the owner, 1 or 2 for the other VMs */
static PGconn *connect_to(uint32_t offset)
{
	const uint32_t domain = (primary->domain + offset) % 3;
	PGconn *connection =
		world_connect(world, world_node(world, domain, 0), database);

	if (PQstatus(connection) != CONNECTION_OK)
		fail_msg("%s", PQerrorMessage(connection));
	return connection;
}

static void create_table(void)
{
	PGconn *connection = connect_to(1);

	world_query_run(connection, "CREATE TABLE lots "
				    "(key text PRIMARY KEY, value text)");
	PQfinish(connection);
}

static json_int_t count_of(const char *name)
{
	json_t *state = http_get_json(primary->control_port, "/state");
	const json_int_t count = json_integer_value(
		json_object_get(json_object_get(state, "counts"), name));

	json_decref(state);
	return count;
}

static bool has_no_connection(void *context)
{
	return count_of("connections_open") == 0;
}

static void assert_error(PGconn *connection, const char *statement,
			 const char *wanted)
{
	g_autofree char *sqlstate = world_query(connection, statement, NULL);

	assert_non_null(sqlstate);
	assert_string_equal(sqlstate, wanted);
}

/*
 * Asserts that the open transaction has failed, ends it, and asserts that the
 * session is idle again.
 */
static void end_failed_transaction(PGconn *connection)
{
	assert_error(connection, "INSERT INTO lots VALUES ('x', 'x')", "TH003");
	assert_int_equal(PQtransactionStatus(connection), PQTRANS_INERROR);
	assert_error(connection, "SELECT value FROM lots WHERE key = 'a'",
		     FAILED_TRANSACTION);
	world_query_run(connection, "COMMIT");
	assert_int_equal(PQtransactionStatus(connection), PQTRANS_IDLE);
}

/*
 * Two VMs have open transactions on connections that the owner forwards, and a
 * third transaction belongs to a session of the owner itself. After the owner
 * is killed, nothing of them must be left at the server.
 */
static void test_killed_owner_leaves_nothing_of_open_transactions(void **state)
{
	PGconn *first = connect_to(1);
	PGconn *second = connect_to(2);
	PGconn *inside = connect_to(0);

	create_table();
	world_query_run(first, "BEGIN");
	world_query_run(first, "INSERT INTO lots VALUES ('a', 'first')");
	world_query_run(second, "BEGIN");
	world_query_run(second, "INSERT INTO lots VALUES ('b', 'second')");
	world_query_run(inside, "BEGIN");
	world_query_run(inside, "INSERT INTO lots VALUES ('c', 'third')");
	world_query_assert_value(first, "SELECT count(*) FROM lots", "1");
	world_query_assert_value(second, "SELECT count(*) FROM lots", "1");
	process_signal(owner->process, SIGKILL);
	end_failed_transaction(first);
	end_failed_transaction(second);
	assert_error(inside, "COMMIT", "");
	world_query_assert_value(first, "SELECT count(*) FROM lots", "0");
	world_query_run(second, "INSERT INTO lots VALUES ('a', 'again')");
	world_query_assert_value(first, "SELECT count(*) FROM lots", "1");
	PQfinish(first);
	PQfinish(second);
	PQfinish(inside);
}

/*
 * Inserts a row. The server returns 40P01 if it waited too long for a row that
 * an open transaction has locked.
 *
 * @return whether the row was inserted
 */
static bool row_is_free(void *context)
{
	g_autofree char *sqlstate = world_query(
		context, "INSERT INTO lots VALUES ('a', 'again')", NULL);

	if (sqlstate)
		assert_string_equal(sqlstate, "40P01");
	return !sqlstate;
}

/*
 * The VM of a caller with an open transaction is killed. The owner must roll
 * the transaction back before it uses the connection again.
 */
static void test_killed_caller_vm_leaves_nothing_at_the_owner(void **state)
{
	PGconn *first = connect_to(1);
	PGconn *inside = connect_to(0);
	json_int_t commits;

	create_table();
	commits = count_of("commits");
	world_query_run(first, "BEGIN");
	world_query_run(first, "INSERT INTO lots VALUES ('a', 'first')");
	process_signal(world_node(world, (primary->domain + 1) % 3, 0)->process,
		       SIGKILL);
	assert_error(first, "COMMIT", "");
	world->failed = !world_wait(WAIT_MS, row_is_free, inside);
	assert_false(world->failed);
	for (uint32_t i = 0; i < world->deployment.connections; i++)
		world_query_run(inside, "INSERT INTO lots VALUES ('r%u', 'x')",
				i);
	world_query_assert_value(
		inside, "SELECT value FROM lots WHERE key = 'a'", "again");
	assert_int_equal(count_of("commits"),
			 commits + 1 + world->deployment.connections);
	PQfinish(first);
	PQfinish(inside);
}

static bool has_committed(void *context)
{
	return count_of("commits") > *(const json_int_t *)context;
}

static void begin_keyed_insert(PGconn *connection, const char *key)
{
	world_query_run(connection, "SET toucanhook.request_key = 'form-7'");
	world_query_run(connection, "BEGIN");
	world_query_run(connection, "INSERT INTO lots VALUES ('%s', 'on')",
			key);
}

/* The owner is killed after the commit and before its confirmation. */
static void
test_outcome_of_commit_is_unknown_after_owner_is_killed(void **state)
{
	PGconn *connection = connect_to(1);
	g_autofree char *slow =
		g_strdup_printf("/set?ship_delay_ms=%u", SHIP_DELAY_MS);
	json_int_t commits;
	PGresult *result;

	create_table();
	begin_keyed_insert(connection, "first");
	assert_true(world_post_control(primary->control_port, slow));
	commits = count_of("commits");
	assert_true(PQsendQuery(connection, "COMMIT"));
	world->failed = !world_wait(WAIT_MS, has_committed, &commits);
	assert_false(world->failed);
	process_signal(owner->process, SIGKILL);
	assert_true(world_wait(WAIT_MS, has_no_connection, NULL));
	result = PQgetResult(connection);
	assert_int_equal(PQresultStatus(result), PGRES_FATAL_ERROR);
	assert_string_equal(PQresultErrorField(result, PG_DIAG_SQLSTATE),
			    "TH004");
	PQclear(result);
	assert_null(PQgetResult(connection));
	assert_int_equal(PQtransactionStatus(connection), PQTRANS_IDLE);
	assert_true(world_post_control(primary->control_port,
				       "/set?ship_delay_ms=0"));
	/* The commit took effect, which the retry must report (TH005). */
	begin_keyed_insert(connection, "second");
	assert_error(connection, "COMMIT", "TH005");
	world_query_assert_value(connection, "SELECT count(*) FROM lots", "1");
	world_query_assert_value(
		connection, "SELECT value FROM lots WHERE key = 'first'", "on");
	PQfinish(connection);
}

#define TEST(name) cmocka_unit_test_setup_teardown(name, set_up, tear_down)

/** @param argv name of one test to run; all tests run if absent */
int main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		TEST(test_killed_owner_leaves_nothing_of_open_transactions),
		TEST(test_killed_caller_vm_leaves_nothing_at_the_owner),
		TEST(test_outcome_of_commit_is_unknown_after_owner_is_killed),
	};

	if (argc > 1)
		cmocka_set_test_filter(argv[1]);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
