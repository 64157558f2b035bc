#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include <poll.h>
#include <signal.h>

#include "coordination/ownership.h"
#include "world/fixture.h"
#include "world/load_run.h"
#include "world/world_files.h"

#define SIMULTANEOUS_LOGINS 2000u
/* Until this time after the start a VM may still take over a server. */
#define OWNERSHIP_SETTLE_US ((OWNERSHIP_TAKEOVER_MS + 1000) * 1000u)
#define RESTARTS 3u
#define LOAD_COMMITS 200
#define LOAD_ARGUMENTS                                                   \
	"--seconds=90 --sessions=40 --reads=0.5 --hand-over=0.2 --roam " \
	"--request-keys"

static world_t *world;
static char *database;

static int set_up(void **state)
{
	deployment_t deployment = deployment_tauhara();

	return fixture_start(&deployment, &world, &database);
}

static int tear_down(void **state)
{
	return fixture_end(world, database);
}

/*
 * Continues a login or statement.
 *
 * @return the poll(2) events to wait for, or 0 if it has ended
 */
typedef short (*step_t)(PGconn *conn);

static short login_step(PGconn *conn)
{
	switch (PQconnectPoll(conn)) {
	case PGRES_POLLING_READING:
		return POLLIN;
	case PGRES_POLLING_WRITING:
		return POLLOUT;
	default:
		return 0;
	}
}

static short answer_step(PGconn *conn)
{
	if (PQstatus(conn) != CONNECTION_OK || !PQconsumeInput(conn))
		return 0;
	return PQisBusy(conn) ? POLLIN : 0;
}

/* Continues the login or statement of every connection until all have ended. */
static void step_until_done(PGconn **conns, struct pollfd *polls, step_t step)
{
	uint32_t waiting = SIMULTANEOUS_LOGINS;

	while (waiting) {
		assert_true(poll(polls, SIMULTANEOUS_LOGINS,
				 (int)FIXTURE_WAIT_MS) > 0);
		for (uint32_t i = 0; i < SIMULTANEOUS_LOGINS; i++) {
			if (!polls[i].revents)
				continue;
			polls[i].events = step(conns[i]);
			if (polls[i].events)
				continue;
			polls[i].fd = -1;
			polls[i].revents = 0;
			waiting--;
		}
	}
}

static void log_in_all(PGconn **conns, struct pollfd *polls)
{
	g_autofree char *conninfo = world_conninfo(
		world, world_node(world, 0, 0), database,
		world->deployment.classes[0].name, "connect_timeout=30");

	for (uint32_t i = 0; i < SIMULTANEOUS_LOGINS; i++) {
		conns[i] = PQconnectStart(conninfo);
		assert_non_null(conns[i]);
		polls[i].fd = PQsocket(conns[i]);
		polls[i].events = POLLOUT;
	}
	step_until_done(conns, polls, login_step);
}

static void insert_by_all(PGconn **conns, struct pollfd *polls)
{
	for (uint32_t i = 0; i < SIMULTANEOUS_LOGINS; i++) {
		g_autofree char *sql = g_strdup_printf(
			"INSERT INTO shift VALUES ('worker-%u', 'on')", i);

		assert_true(PQsendQuery(conns[i], sql));
		polls[i].fd = PQsocket(conns[i]);
		polls[i].events = POLLIN;
	}
	step_until_done(conns, polls, answer_step);
}

static void create_table(void)
{
	PGconn *conn = world_connect(world, world_node(world, 0, 0), database);
	PGresult *result = PQexec(conn, "CREATE TABLE IF NOT EXISTS shift "
					"(key text PRIMARY KEY, value text)");

	assert_int_equal(PQresultStatus(result), PGRES_COMMAND_OK);
	PQclear(result);
	PQfinish(conn);
}

/*
 * Waits until the VMs open no more backend connections after the start of the
 * deployment.
 *
 * @return the number of open connections
 */
static json_int_t await_settled_connections(void)
{
	json_int_t before = -1;
	json_int_t now = fixture_count_all(world, "connections_open");

	while (now != before) {
		g_usleep(OWNERSHIP_SETTLE_US);
		before = now;
		now = fixture_count_all(world, "connections_open");
	}
	return now;
}

/*
 * Many callers log in at the same time. Logins must open no backend connection,
 * and a statement of each caller must be executed.
 */
static void test_simultaneous_logins(void **state)
{
	PGconn **conns = g_new0(PGconn *, SIMULTANEOUS_LOGINS);
	struct pollfd *polls = g_new0(struct pollfd, SIMULTANEOUS_LOGINS);
	json_int_t opened;
	uint32_t served = 0;

	create_table();
	opened = await_settled_connections();
	log_in_all(conns, polls);
	for (uint32_t i = 0; i < SIMULTANEOUS_LOGINS; i++)
		assert_int_equal(PQstatus(conns[i]), CONNECTION_OK);
	assert_true(fixture_check(
		world, fixture_count_all(world, "connections_open") == opened));
	insert_by_all(conns, polls);
	for (uint32_t i = 0; i < SIMULTANEOUS_LOGINS; i++) {
		PGresult *result = PQgetResult(conns[i]);

		served += PQresultStatus(result) == PGRES_COMMAND_OK;
		if (PQresultStatus(result) != PGRES_COMMAND_OK &&
		    served + 5 > i)
			fprintf(stderr, "%s", PQresultErrorMessage(result));
		PQclear(result);
		PQfinish(conns[i]);
	}
	fixture_check(world, served == SIMULTANEOUS_LOGINS);
	assert_int_equal(served, SIMULTANEOUS_LOGINS);
	assert_int_equal(fixture_count_all(world, "connections_refused"), 0);
	g_free(conns);
	g_free(polls);
}

static bool has_commits(void *context)
{
	return fixture_count_all(world, "commits") >= *(json_int_t *)context;
}

static void await_commits(json_int_t more)
{
	json_int_t wanted_commits = fixture_count_all(world, "commits") + more;

	assert_true(fixture_wait(world, has_commits, &wanted_commits));
}

/*
 * While VMs are killed and restarted, their views of the owners differ. The
 * VMs together must still not exceed the connection limit of a server.
 */
static void test_limit_holds_while_vms_are_replaced(void **state)
{
	const json_int_t limit = world->deployment.connections;
	g_autoptr(GError) error = NULL;
	load_run_t *load = load_run_start(world, "e2e", database,
					  world->deployment.classes[0].name,
					  LOAD_ARGUMENTS, &error);

	assert_non_null(load);
	for (uint32_t i = 0; i < RESTARTS; i++) {
		world_node_t *node = world_node(world, i % 3, i % 2);

		await_commits(LOAD_COMMITS);
		process_signal(node->process, SIGKILL);
		await_commits(LOAD_COMMITS);
		assert_true(world_start_node(world, node, &error));
	}
	await_commits(LOAD_COMMITS);
	load_run_stop(load);
	assert_true(fixture_check(
		world, load_run_finish(load, FIXTURE_WAIT_MS, NULL)));
	for (guint i = 0; i < world->servers->len; i++) {
		const world_server_t *server = world->servers->pdata[i];

		assert_in_range(fixture_count(server, "connections_highest"), 1,
				limit);
		assert_int_equal(fixture_count(server, "connections_refused"),
				 0);
	}
}

#define TEST(name) cmocka_unit_test_setup_teardown(name, set_up, tear_down)

/** @param argv name of one test to run; all tests run if absent */
int main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		TEST(test_simultaneous_logins),
		TEST(test_limit_holds_while_vms_are_replaced),
	};

	if (argc > 1)
		cmocka_set_test_filter(argv[1]);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
