#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include <signal.h>

#include "base/clock.h"
#include "world/fixture.h"
#include "world/world.h"
#include "world/world_query.h"

#define WAIT_MS 30000u
#define LAG_SHORT_MS 200u
#define LAG_LONG_MS 1000u
#define SHIP_DELAY_MS 100u
#define MAX_AGE_MS 4000u
#define SHORT_TIMEOUT "SET toucanhook.timeout_ms = 1500"

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

static void create_table(void)
{
	PGconn *connection = connect_to(0, 0);

	world_query_run(connection, "CREATE TABLE shifts "
				    "(key text PRIMARY KEY, value text)");
	PQfinish(connection);
}

static void set_all_servers(const char *name, uint32_t number)
{
	g_autofree char *path = g_strdup_printf("/set?%s=%u", name, number);

	for (guint i = 0; i < world->servers->len; i++) {
		const world_server_t *server = world->servers->pdata[i];

		assert_true(world_post_control(server->control_port, path));
	}
}

/*
 * Writes rows on one VM and reads each of them on another VM by a new session.
 *
 * @param token whether the reading session gets the writer's token
 */
static void read_on_every_vm(uint32_t lag_ms, bool token)
{
	PGconn *writing = connect_to(0, 0);

	set_all_servers("replay_lag_ms", lag_ms);
	for (uint32_t i = 0; i < world->nodes->len; i++) {
		g_autofree char *select = g_strdup_printf(
			"SELECT value FROM shifts WHERE key = 'k%u-%u-%d'",
			lag_ms, i, token);
		PGconn *reading = connect_to(i % 3, i / 3);

		world_query_run(writing,
				"INSERT INTO shifts VALUES ('k%u-%u-%d', 'on')",
				lag_ms, i, token);
		if (token)
			world_query_copy_token(writing, reading);
		world_query_assert_value(reading, select, "on");
		PQfinish(reading);
	}
	PQfinish(writing);
}

static void test_acknowledged_write_is_read_despite_replay_lag(void **state)
{
	create_table();
	read_on_every_vm(LAG_SHORT_MS, true);
	read_on_every_vm(LAG_SHORT_MS, false);
	read_on_every_vm(LAG_LONG_MS, true);
	read_on_every_vm(LAG_LONG_MS, false);
}

/* One caller has two sessions open at the same time on two VMs. */
static void test_concurrent_sessions_of_one_caller(void **state)
{
	PGconn *first = connect_to(1, 0);
	PGconn *second = connect_to(2, 1);

	create_table();
	set_all_servers("replay_lag_ms", LAG_LONG_MS);
	world_query_assert_value(
		second, "SELECT value FROM shifts WHERE key = 'a'", NULL);
	world_query_run(first, "INSERT INTO shifts VALUES ('a', 'first')");
	world_query_run(second, "INSERT INTO shifts VALUES ('b', 'second')");
	world_query_assert_value(
		first, "SELECT value FROM shifts WHERE key = 'a'", "first");
	world_query_assert_value(
		second, "SELECT value FROM shifts WHERE key = 'b'", "second");
	world_query_run(second, "SET toucanhook.consistency = 'strong'");
	for (int i = 0; i < 10; i++) {
		g_autofree char *select = g_strdup_printf(
			"SELECT value FROM shifts WHERE key = 's%d'", i);

		world_query_run(first,
				"INSERT INTO shifts VALUES ('s%d', 'on')", i);
		world_query_assert_value(second, select, "on");
	}
	PQfinish(first);
	PQfinish(second);
}

static bool is_replaced(void *context)
{
	return world_primary(world, database) != context &&
	       world_primary(world, database);
}

static void await_new_primary(world_server_t *old)
{
	world->failed = !world_wait(WAIT_MS, is_replaced, old);
	assert_false(world->failed);
}

/*
 * The primary is killed right after it acknowledged a write, while records are
 * slow to reach the replicas. The write must be kept.
 */
static void test_acknowledged_write_survives_loss_of_primary(void **state)
{
	world_server_t *primary = world_primary(world, database);
	PGconn *writing = connect_to(1, 0);

	create_table();
	set_all_servers("replay_lag_ms", LAG_SHORT_MS);
	set_all_servers("ship_delay_ms", SHIP_DELAY_MS);
	world_query_run(writing, "INSERT INTO shifts VALUES ('last', 'on')");
	process_signal(primary->process, SIGKILL);
	for (uint32_t i = 0; i < world->nodes->len; i++) {
		PGconn *reading = connect_to(i % 3, i / 3);

		world_query_assert_value(reading,
					 "SELECT value FROM shifts "
					 "WHERE key = 'last'",
					 "on");
		PQfinish(reading);
	}
	world_query_assert_value(
		writing, "SELECT value FROM shifts WHERE key = 'last'", "on");
	PQfinish(writing);
}

static bool replica_answers(void *context)
{
	const int64_t before = world_metric(world, "toucanhook_reads_total",
					    "server=\"replica\"");

	world_query_assert_value(
		context, "SELECT value FROM shifts WHERE key = 'a'", "on");
	return world_metric(world, "toucanhook_reads_total",
			    "server=\"replica\"") > before;
}

/*
 * Runs a read. A read that began after @p end_ms must not succeed.
 *
 * @param served counts the reads that succeeded
 *
 * @return whether a read that began after @p end_ms was rejected
 */
static bool read_is_rejected(PGconn *reading, uint64_t end_ms, uint32_t *served)
{
	const uint64_t began_ms = clock_now_ms();
	g_autofree char *value = NULL;
	g_autofree char *sqlstate = world_query(
		reading, "SELECT value FROM shifts WHERE key = 'a'", &value);

	if (sqlstate) {
		assert_string_equal(sqlstate, "TH003");
		return began_ms > end_ms;
	}
	assert_string_equal(value, "on");
	assert_true(began_ms <= end_ms);
	(*served)++;
	return false;
}

/*
 * While the primary and one replica are paused, no server can prove that its
 * data is fresh. The other replica must serve reads until the accepted age is
 * reached, and no longer.
 */
static void test_accepted_age_holds_while_primary_is_paused(void **state)
{
	PGconn *reading = connect_to(2, 0);
	uint32_t served = 0;
	uint64_t end_ms;

	create_table();
	world_query_run(reading, "INSERT INTO shifts VALUES ('a', 'on')");
	world_query_run(reading, SHORT_TIMEOUT);
	world_query_run(reading, "SET toucanhook.consistency = 'age'");
	world_query_run(reading, "SET toucanhook.max_age_ms = %u", MAX_AGE_MS);
	world->failed = !world_wait(WAIT_MS, replica_answers, reading);
	assert_false(world->failed);
	for (uint32_t i = 0; i < 2; i++)
		process_signal(world_server(world, database, i)->process,
			       SIGSTOP);
	end_ms = clock_now_ms() + MAX_AGE_MS;
	while (!read_is_rejected(reading, end_ms, &served))
		g_usleep(5000);
	assert_true(served > 0);
	PQfinish(reading);
}

static void assert_rejected(PGconn *connection, const char *statement)
{
	g_autofree char *sqlstate = world_query(connection, statement, NULL);

	world->failed = !sqlstate;
	assert_non_null(sqlstate);
	if (g_strcmp0(sqlstate, "TH003") != 0)
		assert_string_equal(sqlstate, "TH004");
}

/*
 * A VM that is cut off together with the primary must acknowledge no write, and
 * must serve no read once another primary has been promoted.
 */
static void test_primary_cut_off_with_its_vm(void **state)
{
	world_server_t *primary = world_primary(world, database);
	PGconn *inside = connect_to(primary->domain, 0);
	PGconn *outside = connect_to((primary->domain + 1) % 3, 0);
	PGconn *fresh;

	create_table();
	world_query_run(outside, "INSERT INTO shifts VALUES ('a', 'old')");
	world_query_run(inside, SHORT_TIMEOUT);
	assert_true(world_cut_domain(world, primary->domain, true));
	assert_rejected(inside, "INSERT INTO shifts VALUES ('b', 'lost')");
	await_new_primary(primary);
	world_query_run(outside, "INSERT INTO shifts VALUES ('c', 'new')");
	fresh = connect_to(primary->domain, 1);
	world_query_run(fresh, SHORT_TIMEOUT);
	assert_rejected(fresh, "SELECT value FROM shifts WHERE key = 'c'");
	assert_rejected(fresh, "INSERT INTO shifts VALUES ('d', 'lost')");
	assert_true(world_cut_domain(world, primary->domain, false));
	world_query_run(fresh, "SET toucanhook.timeout_ms = 10000");
	world_query_assert_value(
		fresh, "SELECT value FROM shifts WHERE key = 'c'", "new");
	PQfinish(inside);
	PQfinish(outside);
	PQfinish(fresh);
}

#define TEST(name) cmocka_unit_test_setup_teardown(name, set_up, tear_down)

/** @param argv name of one test to run; all tests run if absent */
int main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		TEST(test_acknowledged_write_is_read_despite_replay_lag),
		TEST(test_concurrent_sessions_of_one_caller),
		TEST(test_acknowledged_write_survives_loss_of_primary),
		TEST(test_accepted_age_holds_while_primary_is_paused),
		TEST(test_primary_cut_off_with_its_vm),
	};

	if (argc > 1)
		cmocka_set_test_filter(argv[1]);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
