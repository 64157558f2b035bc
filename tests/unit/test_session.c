#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <unistd.h>

#include <cmocka.h>

#include "unit/fake_entry.h"

static void test_unconfirmed_change_is_unknown(void **state)
{
	PGconn *conn = connect_as_foreman("");

	g_atomic_int_set(&entry.confirms, 0);
	assert_sqlstate(conn, "INSERT INTO pairing VALUES (1)", "TH004");
	assert_sqlstate(conn, "BEGIN", "");
	assert_sqlstate(conn, "INSERT INTO pairing VALUES (1)", "");
	assert_sqlstate(conn, "COMMIT", "TH004");
	assert_int_equal(PQtransactionStatus(conn), PQTRANS_IDLE);
	assert_string_equal(PQparameterStatus(conn, "toucanhook.token"), "");
	g_atomic_int_set(&entry.confirms, 1);
	assert_sqlstate(conn, "INSERT INTO pairing VALUES (1)", "");
	PQfinish(conn);
}

/* Runs a read. @return whether a barrier ran before it */
static bool runs_barrier(PGconn *conn)
{
	const gint before = g_atomic_int_get(&entry.barriers);

	assert_sqlstate(conn, "SELECT conn", "");
	return g_atomic_int_get(&entry.barriers) > before;
}

static void test_read_after_an_unknown_change_runs_a_barrier(void **state)
{
	PGconn *conn = connect_as_foreman("");

	assert_sqlstate(conn, "INSERT INTO pairing VALUES (1)", "");
	assert_false(runs_barrier(conn));
	assert_sqlstate(conn, "die in a change", "TH004");
	assert_true(runs_barrier(conn));
	assert_false(runs_barrier(conn));
	assert_sqlstate(conn, "BEGIN", "");
	assert_sqlstate(conn, "die inside", "TH003");
	assert_sqlstate(conn, "ROLLBACK", "");
	assert_true(runs_barrier(conn));
	PQfinish(conn);
}

static void test_end_of_a_transaction_raises_the_token(void **state)
{
	PGconn *conn = connect_as_foreman("");

	assert_sqlstate(conn, "BEGIN", "");
	assert_sqlstate(conn, "fail 23505", "23505");
	assert_string_equal(PQparameterStatus(conn, "toucanhook.token"), "");
	assert_sqlstate(conn, "ROLLBACK", "");
	assert_string_equal(PQparameterStatus(conn, "toucanhook.token"),
			    "match:1:1");
	assert_false(runs_barrier(conn));
	PQfinish(conn);
}

static void assert_key(PGconn *conn, const char *expected)
{
	g_autofree char *key = query_value(conn, "SHOW toucanhook.request_key");

	assert_string_equal(key, expected);
}

static void test_request_key_is_cleared_with_its_change(void **state)
{
	PGconn *conn = connect_as_foreman("");

	assert_sqlstate(conn, "SET toucanhook.request_key = 'a'", "");
	assert_sqlstate(conn, "SELECT conn", "");
	assert_key(conn, "a");
	assert_sqlstate(conn, "fail TH001", "TH003");
	assert_key(conn, "a");
	assert_sqlstate(conn, "fail 22000", "22000");
	assert_key(conn, "");
	assert_sqlstate(conn, "BEGIN", "");
	assert_sqlstate(conn, "SET toucanhook.request_key = 'b'", "");
	assert_sqlstate(conn, "fail 23505", "23505");
	assert_sqlstate(conn, "ROLLBACK", "");
	assert_key(conn, "");
	assert_sqlstate(conn, "SET toucanhook.request_key = 'c'", "");
	assert_sqlstate(conn, "die in a change", "TH004");
	assert_key(conn, "");
	PQfinish(conn);
}

static void test_transactions_do_not_share_a_connection(void **state)
{
	PGconn *first = connect_as_foreman("");
	PGconn *second = connect_as_foreman("");
	g_autofree char *one = NULL;
	g_autofree char *two = NULL;
	g_autofree char *again = NULL;

	assert_sqlstate(first, "BEGIN", "");
	assert_sqlstate(second, "BEGIN", "");
	one = query_value(first, "SELECT conn");
	two = query_value(second, "SELECT conn");
	again = query_value(first, "SELECT conn");
	assert_string_not_equal(one, two);
	assert_string_equal(one, again);
	assert_sqlstate(first, "COMMIT", "");
	assert_sqlstate(second, "ROLLBACK", "");
	PQfinish(first);
	PQfinish(second);
	wait_for(&entry.busy, 0);
}

static void
test_transaction_without_connection_fails_until_its_end(void **state)
{
	PGconn *conn = connect_as_foreman("");

	assert_sqlstate(conn, "BEGIN", "");
	assert_sqlstate(conn, "INSERT INTO pairing VALUES (1)", "");
	assert_sqlstate(conn, "die now", "TH003");
	assert_int_equal(PQtransactionStatus(conn), PQTRANS_INERROR);
	assert_sqlstate(conn, "INSERT INTO pairing VALUES (2)", "25P02");
	assert_sqlstate(conn, "COMMIT", "");
	assert_int_equal(PQtransactionStatus(conn), PQTRANS_IDLE);
	assert_sqlstate(conn, "INSERT INTO pairing VALUES (3)", "");
	PQfinish(conn);
}

static void test_refused_statement_fails_its_transaction(void **state)
{
	PGconn *conn = connect_as_foreman("");
	g_autofree char *statements = NULL;

	assert_sqlstate(conn, "LISTEN a", "0A000");
	assert_sqlstate(conn, "COPY a FROM STDIN", "0A000");
	assert_sqlstate(conn, "SET search_path = a", "0A000");
	assert_int_equal(PQtransactionStatus(conn), PQTRANS_IDLE);
	assert_sqlstate(conn, "BEGIN", "");
	assert_sqlstate(conn, "INSERT INTO pairing VALUES (1)", "");
	assert_sqlstate(conn, "LISTEN a", "0A000");
	assert_int_equal(PQtransactionStatus(conn), PQTRANS_INERROR);
	assert_sqlstate(conn, "COMMIT", "");
	wait_for(&entry.busy, 0);
	statements = fake_statements(entry.backend);
	assert_non_null(strstr(statements, "ROLLBACK"));
	assert_null(strstr(statements, "COMMIT"));
	PQfinish(conn);
}

static void
test_broken_change_is_unknown_and_broken_read_is_not_run(void **state)
{
	PGconn *conn = connect_as_foreman("");

	assert_sqlstate(conn, "INSERT INTO pairing VALUES (1)", "");
	assert_sqlstate(conn, "die in a change", "TH004");
	assert_sqlstate(conn, "fail TH001", "TH003");
	assert_sqlstate(conn, "fail 42P01", "42P01");
	assert_sqlstate(conn, "SET toucanhook.timeout_ms = 100", "");
	assert_sqlstate(conn, "SELECT hang()", "TH004");
	PQfinish(conn);
}

static void test_cancelled_answer_never_reaches_the_next_request(void **state)
{
	PGconn *conn = connect_as_foreman("");
	PGcancel *key = PQgetCancel(conn);
	char error[256];
	g_autofree char *statements = NULL;

	assert_int_equal(PQsendQuery(conn, "SELECT hang()"), 1);
	wait_for(&entry.busy, 1);
	assert_int_equal(PQcancel(key, error, sizeof(error)), 1);
	PQfreeCancel(key);
	PQclear(PQgetResult(conn));
	while (PQgetResult(conn))
		;
	wait_for(&entry.busy, 0);
	wait_for(&entry.backend->open, 0);
	assert_sqlstate(conn, "SELECT conn", "");
	PQfinish(conn);
}

static void test_large_answer_is_complete(void **state)
{
	PGconn *conn = connect_as_foreman("");
	PGresult *result = PQexec(conn, "SELECT rows 10000 1024");

	assert_int_equal(PQresultStatus(result), PGRES_TUPLES_OK);
	assert_int_equal(PQntuples(result), 10000);
	assert_int_equal(PQgetlength(result, 9999, 0), 1024);
	PQclear(result);
	result = PQexec(conn, "SELECT rows 1 10485760");
	assert_int_equal(PQgetlength(result, 0, 0), 10485760);
	PQclear(result);
	PQfinish(conn);
}

static void test_prepared_statement_works_on_any_connection(void **state)
{
	PGconn *conn = connect_as_foreman("");
	PGconn *other = connect_as_foreman("");
	PGresult *result = PQprepare(conn, "p", "SELECT conn", 0, NULL);
	g_autofree char *first = NULL;
	g_autofree char *second = NULL;

	assert_int_equal(PQresultStatus(result), PGRES_COMMAND_OK);
	PQclear(result);
	result = PQexecPrepared(conn, "p", 0, NULL, NULL, NULL, 0);
	assert_int_equal(PQresultStatus(result), PGRES_TUPLES_OK);
	first = g_strdup(PQgetvalue(result, 0, 0));
	PQclear(result);
	assert_sqlstate(other, "BEGIN", "");
	g_free(query_value(other, "SELECT conn"));
	result = PQexecPrepared(conn, "p", 0, NULL, NULL, NULL, 0);
	assert_int_equal(PQresultStatus(result), PGRES_TUPLES_OK);
	second = g_strdup(PQgetvalue(result, 0, 0));
	PQclear(result);
	assert_string_not_equal(first, second);
	result = PQexecPrepared(conn, "none", 0, NULL, NULL, NULL, 0);
	assert_string_equal(PQresultErrorField(result, PG_DIAG_SQLSTATE),
			    "26000");
	PQclear(result);
	result = PQexecParams(conn, "SET toucanhook.token = 'a:1:2'", 0, NULL,
			      NULL, NULL, NULL, 0);
	assert_int_equal(PQresultStatus(result), PGRES_COMMAND_OK);
	PQclear(result);
	PQfinish(conn);
	PQfinish(other);
}

/* Returns the status of a pipeline's next result and reads its final NULL. */
static ExecStatusType next_status(PGconn *conn)
{
	PGresult *result = PQgetResult(conn);
	const ExecStatusType status = PQresultStatus(result);

	PQclear(result);
	if (status != PGRES_PIPELINE_SYNC)
		assert_null(PQgetResult(conn));
	return status;
}

static void send_params(PGconn *conn, const char *sql)
{
	assert_int_equal(
		PQsendQueryParams(conn, sql, 0, NULL, NULL, NULL, NULL, 0), 1);
}

static void test_pipeline_is_answered_batch_by_batch(void **state)
{
	PGconn *conn = connect_as_foreman("");

	assert_int_equal(PQenterPipelineMode(conn), 1);
	send_params(conn, "SELECT conn");
	send_params(conn, "fail 22000");
	send_params(conn, "SELECT conn");
	assert_int_equal(PQpipelineSync(conn), 1);
	send_params(conn, "LISTEN a");
	assert_int_equal(PQpipelineSync(conn), 1);
	send_params(conn, "INSERT INTO pairing VALUES (1)");
	assert_int_equal(PQpipelineSync(conn), 1);
	assert_int_equal(next_status(conn), PGRES_TUPLES_OK);
	assert_int_equal(next_status(conn), PGRES_FATAL_ERROR);
	assert_int_equal(next_status(conn), PGRES_PIPELINE_ABORTED);
	assert_int_equal(next_status(conn), PGRES_PIPELINE_SYNC);
	assert_int_equal(next_status(conn), PGRES_FATAL_ERROR);
	assert_int_equal(next_status(conn), PGRES_PIPELINE_SYNC);
	assert_int_equal(next_status(conn), PGRES_COMMAND_OK);
	assert_int_equal(next_status(conn), PGRES_PIPELINE_SYNC);
	assert_int_equal(PQexitPipelineMode(conn), 1);
	PQfinish(conn);
}

static void test_flush_is_answered_or_refused(void **state)
{
	PGconn *conn = connect_as_foreman("");

	assert_int_equal(PQenterPipelineMode(conn), 1);
	assert_int_equal(PQsendPrepare(conn, "p", "SELECT conn", 0, NULL), 1);
	assert_int_equal(PQsendFlushRequest(conn), 1);
	assert_int_equal(PQflush(conn), 0);
	assert_int_equal(next_status(conn), PGRES_COMMAND_OK);
	assert_int_equal(PQsendQueryPrepared(conn, "p", 0, NULL, NULL, NULL, 0),
			 1);
	assert_int_equal(PQpipelineSync(conn), 1);
	assert_int_equal(next_status(conn), PGRES_TUPLES_OK);
	assert_int_equal(next_status(conn), PGRES_PIPELINE_SYNC);
	send_params(conn, "SELECT conn");
	assert_int_equal(PQsendFlushRequest(conn), 1);
	assert_int_equal(PQflush(conn), 0);
	assert_int_equal(next_status(conn), PGRES_FATAL_ERROR);
	assert_int_equal(PQpipelineSync(conn), 1);
	assert_int_equal(next_status(conn), PGRES_PIPELINE_SYNC);
	PQfinish(conn);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		TEST(test_unconfirmed_change_is_unknown),
		TEST(test_read_after_an_unknown_change_runs_a_barrier),
		TEST(test_end_of_a_transaction_raises_the_token),
		TEST(test_request_key_is_cleared_with_its_change),
		TEST(test_transactions_do_not_share_a_connection),
		TEST(test_transaction_without_connection_fails_until_its_end),
		TEST(test_refused_statement_fails_its_transaction),
		TEST(test_broken_change_is_unknown_and_broken_read_is_not_run),
		TEST(test_cancelled_answer_never_reaches_the_next_request),
		TEST(test_large_answer_is_complete),
		TEST(test_prepared_statement_works_on_any_connection),
		TEST(test_pipeline_is_answered_batch_by_batch),
		TEST(test_flush_is_answered_or_refused),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
