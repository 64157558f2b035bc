#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "base/clock.h"
#include "world/fixture.h"

#define LARGE_ANSWER_ROWS 10240
#define LARGE_ANSWER_ROW_SIZE_BYTES 1024
#define CANCEL_TIMEOUT_MS 20000u

static world_t *world;
static char *database;

static int set_up(void **state)
{
	deployment_t deployment = deployment_tikva();

	deployment.relay = false;
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

/*
 * Runs a statement and fails the test if it returns an error.
 *
 * @return the first value of the result, or NULL if there is no row
 */
static char *query(PGconn *connection, const char *statement)
{
	PGresult *result = PQexec(connection, statement);
	ExecStatusType status = PQresultStatus(result);
	char *value = NULL;

	if (status != PGRES_COMMAND_OK && status != PGRES_TUPLES_OK)
		fail_msg("%s: %s", statement, PQresultErrorMessage(result));
	if (PQntuples(result))
		value = g_strdup(PQgetvalue(result, 0, 0));
	PQclear(result);
	return value;
}

static void query_run(PGconn *connection, const char *statement)
{
	g_free(query(connection, statement));
}

static void assert_value(PGconn *connection, const char *statement,
			 const char *wanted)
{
	g_autofree char *value = query(connection, statement);

	if (!wanted)
		assert_null(value);
	else if (!value)
		fail_msg("%s: no row", statement);
	else
		assert_string_equal(value, wanted);
}

static void assert_error(PGconn *connection, const char *statement,
			 const char *sqlstate)
{
	PGresult *result = PQexec(connection, statement);

	assert_int_equal(PQresultStatus(result), PGRES_FATAL_ERROR);
	assert_string_equal(PQresultErrorField(result, PG_DIAG_SQLSTATE),
			    sqlstate);
	PQclear(result);
}

static void make_table(PGconn *connection, const char *name)
{
	g_autofree char *statement = g_strdup_printf(
		"CREATE TABLE %s (key text PRIMARY KEY, value text)", name);

	query_run(connection, statement);
}

static void test_own_write_is_read_on_every_vm(void **state)
{
	PGconn *writing = connect_to(0, 0);
	g_autofree char *set_token = NULL;

	make_table(writing, "bookings");
	query_run(writing, "INSERT INTO bookings VALUES ('lot-7', 'Mira')");
	assert_value(writing, "SELECT value FROM bookings WHERE key = 'lot-7'",
		     "Mira");
	set_token =
		g_strdup_printf("SET toucanhook.token = '%s'",
				PQparameterStatus(writing, "toucanhook.token"));
	for (guint i = 0; i < world->nodes->len; i++) {
		const world_node_t *node = world->nodes->pdata[i];
		PGconn *reading = connect_to(node->domain, i % 2);

		query_run(reading, set_token);
		assert_value(reading,
			     "SELECT value FROM bookings WHERE key = 'lot-7'",
			     "Mira");
		PQfinish(reading);
	}
	PQfinish(writing);
}

/* A new session without a token must see every write acknowledged before. */
static void test_new_session_sees_what_was_acknowledged(void **state)
{
	PGconn *writing = connect_to(1, 0);

	make_table(writing, "shifts");
	for (int i = 0; i < 20; i++) {
		g_autofree char *insert = g_strdup_printf(
			"INSERT INTO shifts VALUES ('s%d', 'on')", i);
		g_autofree char *select = g_strdup_printf(
			"SELECT value FROM shifts WHERE key = 's%d'", i);
		PGconn *reading = NULL;

		query_run(writing, insert);
		reading = connect_to((uint32_t)i % 3, 1);
		assert_value(reading, select, "on");
		PQfinish(reading);
	}
	PQfinish(writing);
}

static void test_extended_queries(void **state)
{
	const char *const row[] = {"crate-1", "oil ' ; -- \\ \xc3\xa9"};
	PGconn *connection = connect_to(2, 0);
	PGresult *result;

	make_table(connection, "crates");
	result = PQexecParams(connection,
			      "INSERT INTO crates (key, value) VALUES ($1, $2)",
			      2, NULL, row, NULL, NULL, 0);
	assert_int_equal(PQresultStatus(result), PGRES_COMMAND_OK);
	PQclear(result);
	result = PQprepare(connection, "find",
			   "SELECT value FROM crates WHERE key = $1", 1, NULL);
	assert_int_equal(PQresultStatus(result), PGRES_COMMAND_OK);
	PQclear(result);
	for (int i = 0; i < 10; i++) {
		result = PQexecPrepared(connection, "find", 1, row, NULL, NULL,
					0);
		assert_int_equal(PQntuples(result), 1);
		assert_string_equal(PQgetvalue(result, 0, 0), row[1]);
		PQclear(result);
	}
	PQfinish(connection);
}

static void test_transactions_are_isolated(void **state)
{
	PGconn *first = connect_to(0, 0);
	PGconn *second = connect_to(0, 0);

	make_table(first, "lots");
	query_run(first, "BEGIN");
	query_run(first, "INSERT INTO lots VALUES ('a', '1')");
	query_run(second, "BEGIN");
	query_run(second, "INSERT INTO lots VALUES ('b', '2')");
	assert_value(first, "SELECT count(*) FROM lots", "1");
	assert_value(second, "SELECT value FROM lots WHERE key = 'a'", NULL);
	query_run(first, "ROLLBACK");
	query_run(second, "COMMIT");
	assert_value(first, "SELECT count(*) FROM lots", "1");
	assert_value(first, "SELECT value FROM lots WHERE key = 'b'", "2");
	PQfinish(first);
	PQfinish(second);
}

static void test_abandoned_transaction_leaves_nothing(void **state)
{
	PGconn *first = connect_to(1, 1);
	PGconn *second = connect_to(1, 1);

	make_table(second, "drafts");
	query_run(first, "BEGIN");
	query_run(first, "INSERT INTO drafts VALUES ('a', '1')");
	PQfinish(first);
	query_run(second, "INSERT INTO drafts VALUES ('a', '2')");
	assert_value(second, "SELECT value FROM drafts WHERE key = 'a'", "2");
	PQfinish(second);
}

static void test_errors_reach_the_caller(void **state)
{
	PGconn *connection = connect_to(0, 1);

	make_table(connection, "errors");
	query_run(connection, "INSERT INTO errors VALUES ('a', '1')");
	assert_error(connection, "INSERT INTO errors VALUES ('a', '2')",
		     "23505");
	assert_error(connection, "SELEC", "42601");
	assert_error(connection, "SELECT value FROM nowhere WHERE key = 'a'",
		     "42P01");
	query_run(connection, "BEGIN");
	assert_error(connection, "INSERT INTO errors VALUES ('a', '2')",
		     "23505");
	assert_int_equal(PQtransactionStatus(connection), PQTRANS_INERROR);
	assert_error(connection, "INSERT INTO errors VALUES ('b', '2')",
		     "25P02");
	query_run(connection, "ROLLBACK");
	assert_value(connection, "SELECT count(*) FROM errors", "1");
	PQfinish(connection);
}

static void test_request_key_prevents_second_execution(void **state)
{
	PGconn *connection = connect_to(0, 0);

	make_table(connection, "keyed");
	query_run(connection, "SET toucanhook.request_key = 'form-1'");
	query_run(connection, "INSERT INTO keyed VALUES ('a', '1')");
	query_run(connection, "SET toucanhook.request_key = 'form-1'");
	assert_error(connection, "INSERT INTO keyed VALUES ('b', '1')",
		     "TH005");
	assert_value(connection, "SELECT count(*) FROM keyed", "1");
	PQfinish(connection);
}

static void assert_large_answer(PGconn *connection)
{
	PGresult *result = PQexec(connection, "SELECT big(10240)");

	if (PQresultStatus(result) != PGRES_TUPLES_OK)
		fail_msg("%s", PQresultErrorMessage(result));
	assert_int_equal(PQntuples(result), LARGE_ANSWER_ROWS);
	for (int i = 0; i < LARGE_ANSWER_ROWS; i++) {
		assert_int_equal(PQgetlength(result, i, 0),
				 LARGE_ANSWER_ROW_SIZE_BYTES);
		assert_int_equal(atoi(PQgetvalue(result, i, 0)), i);
	}
	PQclear(result);
}

static void test_large_answers_are_complete(void **state)
{
	for (uint32_t domain = 0; domain < 3; domain++)
		for (uint32_t index = 0; index < 2; index++) {
			PGconn *connection = connect_to(domain, index);

			assert_large_answer(connection);
			assert_value(connection, "SELECT 7", "7");
			PQfinish(connection);
		}
}

static void test_cancel_ends_only_the_statement(void **state)
{
	PGconn *connection = connect_to(0, 0);
	PGcancel *cancel = PQgetCancel(connection);
	uint64_t end_ms = clock_now_ms() + CANCEL_TIMEOUT_MS;
	char error[256];
	PGresult *result;

	assert_true(PQsendQuery(connection, "SELECT pg_sleep(600)"));
	while (PQisBusy(connection) && clock_now_ms() < end_ms) {
		assert_true(PQcancel(cancel, error, sizeof(error)));
		g_usleep(20000);
		PQconsumeInput(connection);
	}
	assert_false(PQisBusy(connection));
	result = PQgetResult(connection);
	assert_string_equal(PQresultErrorField(result, PG_DIAG_SQLSTATE),
			    "57014");
	PQclear(result);
	assert_null(PQgetResult(connection));
	assert_value(connection, "SELECT 7", "7");
	PQfreeCancel(cancel);
	PQfinish(connection);
}

static void test_wrong_password_is_refused(void **state)
{
	g_autofree char *conninfo = g_strdup_printf(
		"host=127.0.0.1 port=%u dbname=%s user=%s password=wrong "
		"gssencmode=disable",
		world_node(world, 0, 0)->callers_port, database,
		world->deployment.classes[0].name);
	PGconn *connection = PQconnectdb(conninfo);

	assert_int_equal(PQstatus(connection), CONNECTION_BAD);
	PQfinish(connection);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_own_write_is_read_on_every_vm),
		cmocka_unit_test(test_new_session_sees_what_was_acknowledged),
		cmocka_unit_test(test_extended_queries),
		cmocka_unit_test(test_transactions_are_isolated),
		cmocka_unit_test(test_abandoned_transaction_leaves_nothing),
		cmocka_unit_test(test_errors_reach_the_caller),
		cmocka_unit_test(test_request_key_prevents_second_execution),
		cmocka_unit_test(test_large_answers_are_complete),
		cmocka_unit_test(test_cancel_ends_only_the_statement),
		cmocka_unit_test(test_wrong_password_is_refused),
	};

	return cmocka_run_group_tests(tests, set_up, tear_down);
}
