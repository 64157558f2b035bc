#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "base/log.h"
#include "fake_line_caller.h"

#define GRACE_MS 6000u

/* Begins a drain that has this time left until everything is answered. */
static void begin_drain(fixture_t *fixture, uint64_t left_ms)
{
	drain_plan_t *plan = &fixture->host.drain;
	const uint64_t now_ms = clock_boot_ms();

	drain_plan_begin(plan, now_ms, GRACE_MS, 0);
	drain_plan_begin(plan, now_ms + left_ms - (plan->answer_ms - now_ms),
			 GRACE_MS, 0);
}

static void finish(fixture_t *fixture, caller_t *caller, relay_cut_t *cut)
{
	begin_drain(fixture, 0);
	*cut = (relay_cut_t){0};
	relay_session_finish(caller->session, cut);
}

/* Receives an answer and the end of the connection. */
static void assert_last_answer(fixture_t *fixture, caller_t *caller,
			       const char *wanted)
{
	assert_string_equal(receive(fixture, caller), wanted);
	if (!caller->closed) {
		const char *rest = receive_end(fixture, caller);

		assert_string_equal(rest, "");
	}
	assert_true(g_hash_table_contains(fixture->ended, caller->session));
}

/* It was begun, and cut when the process ended. */
static void test_late_statement_is_refused_at_once(void **state)
{
	fixture_t *fixture = *state;
	caller_t *caller = caller_create(fixture);

	ask(fixture, caller, "STARTUP orders u1\r\n");
	begin_drain(fixture, FAKE_LINE_NODE_TIMEOUT_MS);
	assert_non_null(strstr(ask(fixture, caller, "QUERY c1 SET a b\r\n"),
			       "COMPLETE"));
	begin_drain(fixture, 1000);
	send_text(caller, "QUERY c2 READ a\r\n");
	assert_last_answer(fixture, caller,
			   "ERROR BUSY not run, the node is leaving, "
			   "retry after 0 ms\r\nREADY I -\r\n");
	assert_string_equal(fixture->node->server->log->str, "");
	caller_destroy(caller);
}

/* It was told MALFORMED, which promises nothing. */
static void test_resting_transaction_is_rolled_back_and_told(void **state)
{
	fixture_t *fixture = *state;
	caller_t *caller = caller_create(fixture);

	ask(fixture, caller, "STARTUP orders u1\r\n");
	ask(fixture, caller, "QUERY c1 BEGIN\r\n");
	ask(fixture, caller, "QUERY c2 WRITE a x\r\n");
	begin_drain(fixture, 200);
	relay_session_drain(caller->session);
	while (fixture->node->server->sessions)
		event_base_loop(fixture->node->base, EVLOOP_NONBLOCK);
	send_text(caller, "QUERY c3 WRITE b y\r\n");
	assert_last_answer(fixture, caller,
			   "ERROR ABORTED the node is leaving, rolled back\r\n"
			   "READY I -\r\n");
	assert_null(strstr(fixture->node->server->log->str, "COMMIT"));
	caller_destroy(caller);
}

static void hold(fixture_t *fixture, caller_t *caller, const char *text)
{
	fixture->node->server->holds = strchr(strchr(text, ' ') + 1, ' ') + 1;
	send_text(caller, text);
	send_text(caller, "\r\n");
	while (!fixture->node->server->held)
		event_base_loop(fixture->node->base, EVLOOP_NONBLOCK);
}

/* The caller of a statement that still runs was told nothing. */
static void test_running_read_is_answered_at_the_end(void **state)
{
	fixture_t *fixture = *state;
	caller_t *caller = caller_create(fixture);
	relay_cut_t cut;

	ask(fixture, caller, "STARTUP orders u1\r\n");
	hold(fixture, caller, "QUERY c1 READ a");
	finish(fixture, caller, &cut);
	assert_int_equal(cut.sent, 1);
	assert_last_answer(fixture, caller,
			   "ERROR TIMEOUT no answer in time\r\n"
			   "READY I -\r\n");
	caller_destroy(caller);
}

static void test_running_commit_is_in_doubt_at_the_end(void **state)
{
	fixture_t *fixture = *state;
	caller_t *caller = caller_create(fixture);
	relay_cut_t cut;

	ask(fixture, caller, "STARTUP orders u1\r\n");
	ask(fixture, caller, "QUERY c1 BEGIN\r\n");
	ask(fixture, caller, "QUERY c2 WRITE a x\r\n");
	hold(fixture, caller, "QUERY c3 COMMIT");
	finish(fixture, caller, &cut);
	assert_int_equal(cut.sent, 1);
	assert_last_answer(fixture, caller,
			   "ERROR INDOUBT no answer in time\r\n"
			   "READY I -\r\n");
	caller_destroy(caller);
}

static void begin_takeover(fixture_t *fixture)
{
	relay_service_set_primary(
		relay_services_find(fixture->node->services, "svc"), 1, "i-1",
		true, 2);
}

/* What waits has not run, and what rests is rolled back. */
static void test_waiting_statement_is_refused_at_the_end(void **state)
{
	fixture_t *fixture = *state;
	caller_t *rests = caller_create(fixture);
	caller_t *waits = caller_create(fixture);
	relay_cut_t cut;

	ask(fixture, rests, "STARTUP orders u1\r\n");
	ask(fixture, waits, "STARTUP orders u1\r\n");
	ask(fixture, rests, "QUERY c1 BEGIN\r\n");
	ask(fixture, rests, "QUERY c2 WRITE a x\r\n");
	begin_takeover(fixture);
	send_text(waits, "QUERY d1 WRITE b y\r\n");
	while (!relay_session_is_busy(waits->session))
		event_base_loop(fixture->node->base, EVLOOP_NONBLOCK);
	finish(fixture, waits, &cut);
	assert_int_equal(cut.unsent, 1);
	assert_true(g_str_has_prefix(receive(fixture, waits),
				     "ERROR BUSY not run, retry after "));
	finish(fixture, rests, &cut);
	assert_int_equal(cut.transactions, 1);
	receive_end(fixture, rests);
	assert_string_equal(fixture->node->server->log->str,
			    "BEGIN\nWRITE a x\n");
	caller_destroy(waits);
	caller_destroy(rests);
}

/* A statement that is read, but not looked at yet, is answered as well. */
static void test_unread_statement_is_answered_at_the_end(void **state)
{
	fixture_t *fixture = *state;
	caller_t *caller = caller_create(fixture);
	relay_cut_t cut;

	ask(fixture, caller, "STARTUP orders u1\r\n");
	hold(fixture, caller, "QUERY c1 READ a");
	send_text(caller, "QUERY c2 READ b\r\nQUERY c3 READ c\r\n");
	event_base_loop(fixture->node->base, EVLOOP_NONBLOCK);
	event_base_loop(fixture->node->base, EVLOOP_NONBLOCK);
	finish(fixture, caller, &cut);
	receive_end(fixture, caller);
	assert_string_equal((const char *)caller->answers->data,
			    "ERROR TIMEOUT no answer in time\r\n"
			    "READY I -\r\n"
			    "ERROR BUSY not run, the node is leaving, "
			    "retry after 0 ms\r\nREADY I -\r\n"
			    "ERROR BUSY not run, the node is leaving, "
			    "retry after 0 ms\r\nREADY I -\r\n");
	caller_destroy(caller);
}

#define TEST(name) \
	cmocka_unit_test_setup_teardown(name, open_fixture, close_fixture)

int main(void)
{
	const struct CMUnitTest tests[] = {
		TEST(test_late_statement_is_refused_at_once),
		TEST(test_resting_transaction_is_rolled_back_and_told),
		TEST(test_running_read_is_answered_at_the_end),
		TEST(test_running_commit_is_in_doubt_at_the_end),
		TEST(test_waiting_statement_is_refused_at_the_end),
		TEST(test_unread_statement_is_answered_at_the_end),
	};

	log_open("test", LOG_LEVEL_ERROR);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
