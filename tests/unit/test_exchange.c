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
} talk_t;

static talk_t talk(request_kind_t kind, const char *sql, const char *key,
		   exchange_connection_t connection)
{
	g_autoptr(request_t) request = request_new();
	GByteArray *bytes = g_byte_array_new();
	talk_t talk = {0};

	pg_write_query(bytes, sql);
	request->kind = kind;
	request->term = 3;
	request->request_key = g_strdup(key);
	request->bytes = g_byte_array_free_to_bytes(bytes);
	talk.exchange = exchange_create(request, connection);
	return talk;
}

/* @return the queries that the exchange sends next, joined by '|' */
static char *sent(talk_t *talk)
{
	g_autoptr(GByteArray) bytes = g_byte_array_new();
	GString *text = g_string_new("");
	pg_message_t message = {0};
	size_t used = 0;

	exchange_send(talk->exchange, bytes);
	while (pg_frame_next(bytes->data + used, bytes->len - used, SIZE_MAX,
			     &message) == PG_FRAME_READY) {
		g_string_append_printf(text, "%s%s", used ? "|" : "",
				       (const char *)message.body);
		used += message.size_bytes;
	}
	return g_string_free(text, FALSE);
}

static void assert_sent(talk_t *talk, const char *expected)
{
	g_autofree char *text = sent(talk);

	assert_string_equal(text, expected);
}

static void feed(talk_t *talk, GByteArray *bytes)
{
	pg_message_t message = {0};
	size_t used = 0;

	while (pg_frame_next(bytes->data + used, bytes->len - used, SIZE_MAX,
			     &message) == PG_FRAME_READY) {
		talk->state = exchange_take(talk->exchange, &message);
		used += message.size_bytes;
	}
	g_byte_array_unref(bytes);
}

static void done(talk_t *talk, const char *tag, char status)
{
	GByteArray *bytes = g_byte_array_new();

	pg_write_text(bytes, 'C', tag);
	pg_write_ready(bytes, status);
	feed(talk, bytes);
}

static void error(talk_t *talk, const char *sqlstate, char status)
{
	GByteArray *bytes = g_byte_array_new();

	pg_write_error(bytes, "ERROR", sqlstate, "x", NULL);
	pg_write_ready(bytes, status);
	feed(talk, bytes);
}

static void point(talk_t *talk, const char *term, const char *position)
{
	GByteArray *bytes = g_byte_array_new();
	const char *const values[] = {term, position};

	pg_write_row(bytes, values, 2);
	pg_write_text(bytes, 'C', "SELECT 1");
	pg_write_ready(bytes, 'I');
	feed(talk, bytes);
}

/* @return the SQLSTATE or command tag that the caller would get, or "" */
static char *shown(talk_t *talk)
{
	g_autoptr(GBytes) ready = exchange_ready(talk->exchange);
	g_autoptr(GBytes) held = exchange_held(talk->exchange);
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

static void assert_shown(talk_t *talk, const char *expected)
{
	g_autofree char *text = shown(talk);

	assert_string_equal(text, expected);
}

static const exchange_connection_t fresh = {.term = 0};
static const exchange_connection_t at_term = {.term = 3};
static const exchange_connection_t inside = {.term = 3, .in_transaction = true};

static void test_nothing_runs_before_the_term_is_set(void **state)
{
	talk_t t = talk(REQUEST_WRITE, "w", NULL, fresh);

	assert_sent(&t, "SET replication.term = '3'");
	done(&t, "SET", 'I');
	assert_int_equal(t.state, EXCHANGE_SEND);
	assert_sent(&t, "w|SELECT * FROM group_point()");
	exchange_destroy(t.exchange);

	t = talk(REQUEST_WRITE, "w", NULL, fresh);
	assert_sent(&t, "SET replication.term = '3'");
	error(&t, "42601", 'I');
	assert_int_equal(t.state, EXCHANGE_ENDED);
	assert_int_equal(exchange_result(t.exchange).outcome, OUTCOME_NOT_RUN);
	exchange_destroy(t.exchange);
}

static void test_change_is_held_until_it_is_confirmed(void **state)
{
	talk_t t = talk(REQUEST_WRITE, "w", NULL, at_term);
	exchange_result_t result;

	assert_sent(&t, "w|SELECT * FROM group_point()");
	done(&t, "INSERT 0 1", 'I');
	assert_null(exchange_ready(t.exchange));
	point(&t, "3", "77");
	result = exchange_result(t.exchange);
	assert_true(result.needs_confirm);
	assert_int_equal(result.point.position, 77);
	assert_shown(&t, "INSERT 0 1");
	exchange_destroy(t.exchange);
}

static void test_change_without_a_point_is_unknown(void **state)
{
	talk_t t = talk(REQUEST_WRITE, "w", NULL, at_term);

	g_free(sent(&t));
	done(&t, "INSERT 0 1", 'I');
	error(&t, "TH001", 'I');
	assert_int_equal(exchange_result(t.exchange).outcome, OUTCOME_UNKNOWN);
	exchange_destroy(t.exchange);
}

static void test_other_term_and_read_only_prove_not_run(void **state)
{
	talk_t t = talk(REQUEST_WRITE, "w", NULL, at_term);

	g_free(sent(&t));
	error(&t, "TH001", 'I');
	error(&t, "TH001", 'I');
	assert_int_equal(exchange_result(t.exchange).reason, REASON_OTHER_TERM);
	assert_shown(&t, "");
	exchange_destroy(t.exchange);

	t = talk(REQUEST_READ, "r", NULL, at_term);
	g_free(sent(&t));
	error(&t, "25006", 'I');
	assert_int_equal(exchange_result(t.exchange).reason,
			 REASON_NOT_PRIMARY);
	exchange_destroy(t.exchange);

	t = talk(REQUEST_TRANSACTION, "w", NULL, inside);
	g_free(sent(&t));
	error(&t, "25006", 'E');
	assert_int_equal(exchange_result(t.exchange).outcome, OUTCOME_DONE);
	assert_shown(&t, "25006");
	exchange_destroy(t.exchange);
}

static void test_error_needs_no_point_unless_it_tells_of_rows(void **state)
{
	talk_t t = talk(REQUEST_WRITE, "w", NULL, at_term);

	g_free(sent(&t));
	error(&t, "42P01", 'I');
	point(&t, "3", "77");
	assert_false(exchange_result(t.exchange).needs_confirm);
	exchange_destroy(t.exchange);

	t = talk(REQUEST_WRITE, "w", NULL, at_term);
	g_free(sent(&t));
	error(&t, "23505", 'I');
	point(&t, "3", "77");
	assert_true(exchange_result(t.exchange).needs_confirm);
	exchange_destroy(t.exchange);
}

static void test_commit_is_held_with_its_point(void **state)
{
	talk_t t = talk(REQUEST_TRANSACTION, "COMMIT", NULL, inside);

	assert_sent(&t, "COMMIT|SELECT * FROM group_point()");
	done(&t, "COMMIT", 'I');
	assert_null(exchange_ready(t.exchange));
	point(&t, "3", "5");
	assert_true(exchange_result(t.exchange).needs_confirm);
	assert_shown(&t, "COMMIT");
	exchange_destroy(t.exchange);
}

static void test_commit_that_was_not_foreseen_asks_for_its_point(void **state)
{
	talk_t t = talk(REQUEST_TRANSACTION, "CALL f()", NULL, inside);

	assert_sent(&t, "CALL f()");
	done(&t, "COMMIT", 'I');
	assert_int_equal(t.state, EXCHANGE_SEND);
	assert_sent(&t, "SELECT * FROM group_point()");
	point(&t, "3", "5");
	assert_true(exchange_result(t.exchange).needs_confirm);
	exchange_destroy(t.exchange);
}

static void test_rollback_brings_a_point_but_waits_for_nobody(void **state)
{
	talk_t t = talk(REQUEST_TRANSACTION, "ROLLBACK", NULL, inside);

	assert_sent(&t, "ROLLBACK");
	done(&t, "ROLLBACK", 'I');
	assert_int_equal(t.state, EXCHANGE_SEND);
	assert_sent(&t, "SELECT * FROM group_point()");
	point(&t, "3", "5");
	assert_int_equal(t.state, EXCHANGE_ENDED);
	assert_int_equal(exchange_result(t.exchange).point.position, 5);
	assert_false(exchange_result(t.exchange).needs_confirm);
	exchange_destroy(t.exchange);
}

static void test_key_is_written_in_the_same_transaction(void **state)
{
	talk_t t = talk(REQUEST_WRITE, "w", "it's\\", at_term);

	assert_sent(&t, "BEGIN|INSERT INTO toucanhook_requests (key, value) "
			"VALUES (E'it''s\\\\', '')");
	done(&t, "BEGIN", 'T');
	done(&t, "INSERT 0 1", 'T');
	assert_int_equal(t.state, EXCHANGE_SEND);
	assert_sent(&t, "w|COMMIT|SELECT * FROM group_point()");
	done(&t, "UPDATE 1", 'T');
	done(&t, "COMMIT", 'I');
	point(&t, "3", "9");
	assert_true(exchange_result(t.exchange).needs_confirm);
	assert_shown(&t, "UPDATE 1");
	exchange_destroy(t.exchange);
}

static void test_key_that_is_there_stops_the_change(void **state)
{
	talk_t t = talk(REQUEST_WRITE, "w", "k", at_term);

	g_free(sent(&t));
	done(&t, "BEGIN", 'T');
	error(&t, "23505", 'E');
	assert_int_equal(t.state, EXCHANGE_SEND);
	assert_sent(&t, "COMMIT|SELECT * FROM group_point()");
	done(&t, "ROLLBACK", 'I');
	point(&t, "3", "9");
	assert_true(exchange_result(t.exchange).needs_confirm);
	assert_shown(&t, "TH005");
	exchange_destroy(t.exchange);
}

static void test_key_goes_in_before_commit(void **state)
{
	talk_t t = talk(REQUEST_TRANSACTION, "COMMIT", "k", inside);

	assert_sent(&t, "INSERT INTO toucanhook_requests (key, value) VALUES "
			"(E'k', '')|COMMIT|SELECT * FROM group_point()");
	error(&t, "23505", 'E');
	done(&t, "ROLLBACK", 'I');
	point(&t, "3", "9");
	assert_shown(&t, "TH005");
	exchange_destroy(t.exchange);
}

static outcome_t broken(request_kind_t kind, const char *sql, bool sends,
			exchange_connection_t connection)
{
	talk_t t = talk(kind, sql, NULL, connection);
	outcome_t outcome;

	if (sends)
		g_free(sent(&t));
	outcome = exchange_broken(t.exchange, REASON_UNREACHABLE).outcome;
	exchange_destroy(t.exchange);
	return outcome;
}

static void test_break_is_unknown_only_where_it_may_have_run(void **state)
{
	assert_int_equal(broken(REQUEST_WRITE, "w", false, at_term),
			 OUTCOME_NOT_RUN);
	assert_int_equal(broken(REQUEST_WRITE, "w", true, fresh),
			 OUTCOME_NOT_RUN);
	assert_int_equal(broken(REQUEST_WRITE, "w", true, at_term),
			 OUTCOME_UNKNOWN);
	assert_int_equal(broken(REQUEST_READ, "r", true, at_term),
			 OUTCOME_NOT_RUN);
	assert_int_equal(broken(REQUEST_TRANSACTION, "w", true, inside),
			 OUTCOME_NOT_RUN);
	assert_int_equal(broken(REQUEST_TRANSACTION, "END", true, inside),
			 OUTCOME_UNKNOWN);
}

static void test_large_answer_of_a_change_is_not_kept(void **state)
{
	talk_t t = talk(REQUEST_WRITE, "w", NULL, at_term);
	g_autofree char *value = g_strnfill(EXCHANGE_HOLD_SIZE_BYTES, 'x');
	const char *const values[] = {value};
	GByteArray *rows = g_byte_array_new();
	g_autoptr(GBytes) ready = NULL;

	g_free(sent(&t));
	pg_write_row(rows, values, 1);
	feed(&t, rows);
	ready = exchange_ready(t.exchange);
	assert_non_null(ready);
	done(&t, "SELECT 1", 'I');
	assert_null(exchange_ready(t.exchange));
	assert_int_equal(exchange_broken(t.exchange, REASON_DEADLINE).outcome,
			 OUTCOME_UNKNOWN);
	exchange_destroy(t.exchange);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_nothing_runs_before_the_term_is_set),
		cmocka_unit_test(test_change_is_held_until_it_is_confirmed),
		cmocka_unit_test(test_change_without_a_point_is_unknown),
		cmocka_unit_test(test_other_term_and_read_only_prove_not_run),
		cmocka_unit_test(
			test_error_needs_no_point_unless_it_tells_of_rows),
		cmocka_unit_test(test_commit_is_held_with_its_point),
		cmocka_unit_test(
			test_commit_that_was_not_foreseen_asks_for_its_point),
		cmocka_unit_test(
			test_rollback_brings_a_point_but_waits_for_nobody),
		cmocka_unit_test(test_key_is_written_in_the_same_transaction),
		cmocka_unit_test(test_key_that_is_there_stops_the_change),
		cmocka_unit_test(test_key_goes_in_before_commit),
		cmocka_unit_test(
			test_break_is_unknown_only_where_it_may_have_run),
		cmocka_unit_test(test_large_answer_of_a_change_is_not_kept),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
