#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include "protocol/exchange.h"

/* An exchange with a server that the test simulates. */
typedef struct {
	exchange_t *exchange;
	exchange_state_t state;
} dialog_t;

static dialog_t dialog_start(request_kind_t kind, const char *sql,
			     const char *key, exchange_connection_t connection)
{
	g_autoptr(request_t) request = request_new();
	GByteArray *bytes = g_byte_array_new();
	dialog_t dialog = {0};

	pg_write_query(bytes, sql);
	request->kind = kind;
	request->term = 3;
	request->request_key = g_strdup(key);
	request->bytes = g_byte_array_free_to_bytes(bytes);
	dialog.exchange = exchange_create(request, connection);
	return dialog;
}

/* @return the queries that the exchange sends next, joined by '|' */
static char *next_queries(dialog_t *dialog)
{
	g_autoptr(GByteArray) bytes = g_byte_array_new();
	GString *text = g_string_new("");
	pg_message_t message = {0};
	size_t used = 0;

	exchange_send(dialog->exchange, bytes);
	while (pg_frame_next(bytes->data + used, bytes->len - used, SIZE_MAX,
			     &message) == PG_FRAME_READY) {
		g_string_append_printf(text, "%s%s", used ? "|" : "",
				       (const char *)message.body);
		used += message.size_bytes;
	}
	return g_string_free(text, FALSE);
}

static void assert_sent(dialog_t *dialog, const char *expected)
{
	g_autofree char *text = next_queries(dialog);

	assert_string_equal(text, expected);
}

static void feed(dialog_t *dialog, GByteArray *bytes)
{
	pg_message_t message = {0};
	size_t used = 0;

	while (pg_frame_next(bytes->data + used, bytes->len - used, SIZE_MAX,
			     &message) == PG_FRAME_READY) {
		dialog->state =
			exchange_handle_message(dialog->exchange, &message);
		used += message.size_bytes;
	}
	g_byte_array_unref(bytes);
}

static void feed_complete(dialog_t *dialog, const char *tag, char status)
{
	GByteArray *bytes = g_byte_array_new();

	pg_write_text(bytes, 'C', tag);
	pg_write_ready(bytes, status);
	feed(dialog, bytes);
}

static void feed_error(dialog_t *dialog, const char *sqlstate, char status)
{
	GByteArray *bytes = g_byte_array_new();

	pg_write_error(bytes, "ERROR", sqlstate, "x", NULL);
	pg_write_ready(bytes, status);
	feed(dialog, bytes);
}

static void feed_point(dialog_t *dialog, const char *term, const char *position)
{
	GByteArray *bytes = g_byte_array_new();
	const char *const values[] = {term, position};

	pg_write_row(bytes, values, 2);
	pg_write_text(bytes, 'C', "SELECT 1");
	pg_write_ready(bytes, 'I');
	feed(dialog, bytes);
}

/* @return the SQLSTATE or command tag that the caller would get, or "" */
static char *caller_answer(dialog_t *dialog)
{
	g_autoptr(GBytes) ready = exchange_take_ready(dialog->exchange);
	g_autoptr(GBytes) held = exchange_take_buffered(dialog->exchange);
	GBytes *bytes = held ? held : ready;
	pg_message_t message = {0};
	gsize size = 0;
	const uint8_t *data = bytes ? g_bytes_get_data(bytes, &size) : NULL;

	if (!data ||
	    pg_frame_next(data, size, SIZE_MAX, &message) != PG_FRAME_READY)
		return g_strdup("");
	if (message.type == 'E')
		return g_strdup(pg_error_field(&message, 'C'));
	return g_strdup((const char *)message.body);
}

static void assert_caller_gets(dialog_t *dialog, const char *expected)
{
	g_autofree char *text = caller_answer(dialog);

	assert_string_equal(text, expected);
}

static const exchange_connection_t without_term = {.term = 0};
static const exchange_connection_t at_term = {.term = 3};
static const exchange_connection_t in_open_transaction = {.term = 3,
							  .in_transaction =
								  true};

static void test_nothing_runs_before_the_term_is_set(void **state)
{
	dialog_t t = dialog_start(REQUEST_WRITE, "w", NULL, without_term);

	assert_sent(&t, "SET replication.term = '3'");
	feed_complete(&t, "SET", 'I');
	assert_int_equal(t.state, EXCHANGE_SEND);
	assert_sent(&t, "w|SELECT * FROM group_point()");
	exchange_destroy(t.exchange);

	t = dialog_start(REQUEST_WRITE, "w", NULL, without_term);
	assert_sent(&t, "SET replication.term = '3'");
	feed_error(&t, "42601", 'I');
	assert_int_equal(t.state, EXCHANGE_ENDED);
	assert_int_equal(exchange_result(t.exchange).outcome, OUTCOME_NOT_RUN);
	exchange_destroy(t.exchange);
}

static void test_change_is_buffered_until_confirmed(void **state)
{
	dialog_t t = dialog_start(REQUEST_WRITE, "w", NULL, at_term);
	exchange_result_t result;

	assert_sent(&t, "w|SELECT * FROM group_point()");
	feed_complete(&t, "INSERT 0 1", 'I');
	assert_null(exchange_take_ready(t.exchange));
	feed_point(&t, "3", "77");
	result = exchange_result(t.exchange);
	assert_true(result.needs_confirm);
	assert_int_equal(result.point.position, 77);
	assert_caller_gets(&t, "INSERT 0 1");
	exchange_destroy(t.exchange);
}

static void test_change_without_a_point_is_unknown(void **state)
{
	dialog_t t = dialog_start(REQUEST_WRITE, "w", NULL, at_term);

	g_free(next_queries(&t));
	feed_complete(&t, "INSERT 0 1", 'I');
	feed_error(&t, "TH001", 'I');
	assert_int_equal(exchange_result(t.exchange).outcome, OUTCOME_UNKNOWN);
	exchange_destroy(t.exchange);
}

static void test_other_term_and_read_only_mean_not_run(void **state)
{
	dialog_t t = dialog_start(REQUEST_WRITE, "w", NULL, at_term);

	g_free(next_queries(&t));
	feed_error(&t, "TH001", 'I');
	feed_error(&t, "TH001", 'I');
	assert_int_equal(exchange_result(t.exchange).reason, REASON_OTHER_TERM);
	assert_caller_gets(&t, "");
	exchange_destroy(t.exchange);

	t = dialog_start(REQUEST_READ, "r", NULL, at_term);
	g_free(next_queries(&t));
	feed_error(&t, "25006", 'I');
	assert_int_equal(exchange_result(t.exchange).reason,
			 REASON_NOT_PRIMARY);
	exchange_destroy(t.exchange);

	t = dialog_start(REQUEST_TRANSACTION, "w", NULL, in_open_transaction);
	g_free(next_queries(&t));
	feed_error(&t, "25006", 'E');
	assert_int_equal(exchange_result(t.exchange).outcome, OUTCOME_DONE);
	assert_caller_gets(&t, "25006");
	exchange_destroy(t.exchange);
}

static void test_only_integrity_errors_need_confirmation(void **state)
{
	dialog_t t = dialog_start(REQUEST_WRITE, "w", NULL, at_term);

	g_free(next_queries(&t));
	feed_error(&t, "42P01", 'I');
	feed_point(&t, "3", "77");
	assert_false(exchange_result(t.exchange).needs_confirm);
	exchange_destroy(t.exchange);

	t = dialog_start(REQUEST_WRITE, "w", NULL, at_term);
	g_free(next_queries(&t));
	feed_error(&t, "23505", 'I');
	feed_point(&t, "3", "77");
	assert_true(exchange_result(t.exchange).needs_confirm);
	exchange_destroy(t.exchange);
}

static void test_commit_is_buffered_until_its_point_is_known(void **state)
{
	dialog_t t = dialog_start(REQUEST_TRANSACTION, "COMMIT", NULL,
				  in_open_transaction);

	assert_sent(&t, "COMMIT|SELECT * FROM group_point()");
	feed_complete(&t, "COMMIT", 'I');
	assert_null(exchange_take_ready(t.exchange));
	feed_point(&t, "3", "5");
	assert_true(exchange_result(t.exchange).needs_confirm);
	assert_caller_gets(&t, "COMMIT");
	exchange_destroy(t.exchange);
}

static void test_unplanned_commit_queries_its_point(void **state)
{
	dialog_t t = dialog_start(REQUEST_TRANSACTION, "CALL f()", NULL,
				  in_open_transaction);

	assert_sent(&t, "CALL f()");
	feed_complete(&t, "COMMIT", 'I');
	assert_int_equal(t.state, EXCHANGE_SEND);
	assert_sent(&t, "SELECT * FROM group_point()");
	feed_point(&t, "3", "5");
	assert_true(exchange_result(t.exchange).needs_confirm);
	exchange_destroy(t.exchange);
}

static void test_rollback_has_a_point_without_confirmation(void **state)
{
	dialog_t t = dialog_start(REQUEST_TRANSACTION, "ROLLBACK", NULL,
				  in_open_transaction);

	assert_sent(&t, "ROLLBACK");
	feed_complete(&t, "ROLLBACK", 'I');
	assert_int_equal(t.state, EXCHANGE_SEND);
	assert_sent(&t, "SELECT * FROM group_point()");
	feed_point(&t, "3", "5");
	assert_int_equal(t.state, EXCHANGE_ENDED);
	assert_int_equal(exchange_result(t.exchange).point.position, 5);
	assert_false(exchange_result(t.exchange).needs_confirm);
	exchange_destroy(t.exchange);
}

static void test_key_is_written_in_the_same_transaction(void **state)
{
	dialog_t t = dialog_start(REQUEST_WRITE, "w", "it's\\", at_term);

	assert_sent(&t, "BEGIN; INSERT INTO toucanhook_requests (key, value) "
			"VALUES (E'it''s\\\\', '')");
	feed_complete(&t, "INSERT 0 1", 'T');
	assert_int_equal(t.state, EXCHANGE_SEND);
	assert_sent(&t, "w|COMMIT|SELECT * FROM group_point()");
	feed_complete(&t, "UPDATE 1", 'T');
	feed_complete(&t, "COMMIT", 'I');
	feed_point(&t, "3", "9");
	assert_true(exchange_result(t.exchange).needs_confirm);
	assert_caller_gets(&t, "UPDATE 1");
	exchange_destroy(t.exchange);
}

/*
 * Guards against a key that is inserted on its own behind a BEGIN that fails:
 * the caller's next try was told that the change had been made already.
 */
static void test_key_is_not_written_without_its_transaction(void **state)
{
	dialog_t t = dialog_start(REQUEST_WRITE, "w", "k", at_term);
	g_autofree char *sent = next_queries(&t);

	assert_true(g_str_has_prefix(sent, "BEGIN; INSERT "));
	assert_null(strchr(sent, '|'));
	feed_error(&t, "53000", 'I');
	assert_sent(&t, "COMMIT|SELECT * FROM group_point()");
	feed_complete(&t, "COMMIT", 'I');
	feed_point(&t, "3", "9");
	assert_caller_gets(&t, "53000");
	exchange_destroy(t.exchange);
}

static void test_existing_key_prevents_the_change(void **state)
{
	dialog_t t = dialog_start(REQUEST_WRITE, "w", "k", at_term);

	g_free(next_queries(&t));
	feed_error(&t, "23505", 'E');
	assert_int_equal(t.state, EXCHANGE_SEND);
	assert_sent(&t, "COMMIT|SELECT * FROM group_point()");
	feed_complete(&t, "ROLLBACK", 'I');
	feed_point(&t, "3", "9");
	assert_true(exchange_result(t.exchange).needs_confirm);
	assert_caller_gets(&t, "TH005");
	exchange_destroy(t.exchange);
}

static void test_key_is_inserted_before_commit(void **state)
{
	dialog_t t = dialog_start(REQUEST_TRANSACTION, "COMMIT", "k",
				  in_open_transaction);

	assert_sent(&t, "INSERT INTO toucanhook_requests (key, value) VALUES "
			"(E'k', '')|COMMIT|SELECT * FROM group_point()");
	feed_error(&t, "23505", 'E');
	feed_complete(&t, "ROLLBACK", 'I');
	feed_point(&t, "3", "9");
	assert_caller_gets(&t, "TH005");
	exchange_destroy(t.exchange);
}

static outcome_t outcome_on_failure(request_kind_t kind, const char *sql,
				    bool sends,
				    exchange_connection_t connection)
{
	dialog_t t = dialog_start(kind, sql, NULL, connection);
	outcome_t outcome;

	if (sends)
		g_free(next_queries(&t));
	outcome = exchange_result_on_failure(t.exchange, REASON_UNREACHABLE)
			  .outcome;
	exchange_destroy(t.exchange);
	return outcome;
}

static void test_failure_is_unknown_only_if_it_may_have_run(void **state)
{
	assert_int_equal(outcome_on_failure(REQUEST_WRITE, "w", false, at_term),
			 OUTCOME_NOT_RUN);
	assert_int_equal(
		outcome_on_failure(REQUEST_WRITE, "w", true, without_term),
		OUTCOME_NOT_RUN);
	assert_int_equal(outcome_on_failure(REQUEST_WRITE, "w", true, at_term),
			 OUTCOME_UNKNOWN);
	assert_int_equal(outcome_on_failure(REQUEST_READ, "r", true, at_term),
			 OUTCOME_NOT_RUN);
	assert_int_equal(outcome_on_failure(REQUEST_TRANSACTION, "w", true,
					    in_open_transaction),
			 OUTCOME_NOT_RUN);
	assert_int_equal(outcome_on_failure(REQUEST_TRANSACTION, "END", true,
					    in_open_transaction),
			 OUTCOME_UNKNOWN);
}

static void test_large_answer_of_a_change_is_not_buffered(void **state)
{
	dialog_t t = dialog_start(REQUEST_WRITE, "w", NULL, at_term);
	g_autofree char *value = g_strnfill(EXCHANGE_BUFFER_SIZE_BYTES, 'x');
	const char *const values[] = {value};
	GByteArray *rows = g_byte_array_new();
	g_autoptr(GBytes) ready = NULL;

	g_free(next_queries(&t));
	pg_write_row(rows, values, 1);
	feed(&t, rows);
	ready = exchange_take_ready(t.exchange);
	assert_non_null(ready);
	feed_complete(&t, "SELECT 1", 'I');
	assert_null(exchange_take_ready(t.exchange));
	assert_int_equal(
		exchange_result_on_failure(t.exchange, REASON_DEADLINE).outcome,
		OUTCOME_UNKNOWN);
	exchange_destroy(t.exchange);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_nothing_runs_before_the_term_is_set),
		cmocka_unit_test(test_change_is_buffered_until_confirmed),
		cmocka_unit_test(test_change_without_a_point_is_unknown),
		cmocka_unit_test(test_other_term_and_read_only_mean_not_run),
		cmocka_unit_test(test_only_integrity_errors_need_confirmation),
		cmocka_unit_test(
			test_commit_is_buffered_until_its_point_is_known),
		cmocka_unit_test(test_unplanned_commit_queries_its_point),
		cmocka_unit_test(
			test_rollback_has_a_point_without_confirmation),
		cmocka_unit_test(test_key_is_written_in_the_same_transaction),
		cmocka_unit_test(
			test_key_is_not_written_without_its_transaction),
		cmocka_unit_test(test_existing_key_prevents_the_change),
		cmocka_unit_test(test_key_is_inserted_before_commit),
		cmocka_unit_test(
			test_failure_is_unknown_only_if_it_may_have_run),
		cmocka_unit_test(test_large_answer_of_a_change_is_not_buffered),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
