#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>
#include <event2/util.h>

#include "base/clock.h"
#include "platform/line_codec.h"
#include "relay/relay_session.h"

/* Upper bound that also holds on a busy machine. */
#define ANSWER_TIMEOUT_MS 10000

/* One session of a starting node that has no server. */
typedef struct {
	relay_session_host_t host;
	catalog_t *catalog;
	relay_session_t *session;
	int caller; /* caller's end of the socket pair */
	bool ended;
	char answer[512];
} fixture_t;

static void on_ended(void *context, relay_session_t *session)
{
	((fixture_t *)context)->ended = true;
}

static int open_fixture(void **state)
{
	fixture_t *fixture = g_new0(fixture_t, 1);
	catalog_database_t *database = g_new0(catalog_database_t, 1);
	evutil_socket_t ends[2];

	database->name = g_strdup("orders");
	database->service = g_strdup("svc");
	fixture->catalog = catalog_new();
	catalog_add_database(fixture->catalog, database);
	fixture->host = (relay_session_host_t){
		.base = event_base_new(),
		.codec = &line_codec,
		.ended = on_ended,
		.context = fixture,
	};
	if (evutil_socketpair(AF_UNIX, SOCK_STREAM, 0, ends))
		return -1;
	evutil_make_socket_nonblocking(ends[0]);
	evutil_make_socket_nonblocking(ends[1]);
	fixture->caller = ends[0];
	fixture->session = relay_session_create(&fixture->host, ends[1]);
	*state = fixture;
	return 0;
}

static int close_fixture(void **state)
{
	fixture_t *fixture = *state;

	if (!fixture->ended)
		relay_session_destroy(fixture->session);
	close(fixture->caller);
	catalog_unref(fixture->catalog);
	event_base_free(fixture->host.base);
	g_free(fixture);
	return 0;
}

static void send_text(fixture_t *fixture, const char *text)
{
	assert_int_equal(send(fixture->caller, text, strlen(text), 0),
			 strlen(text));
}

/*
 * Runs the session until it sends an answer or the timeout expires.
 *
 * @return the answer, or an empty string
 */
static const char *receive(fixture_t *fixture, uint32_t timeout_ms)
{
	const uint64_t until_ms = clock_now_ms() + timeout_ms;

	while (clock_now_ms() < until_ms) {
		ssize_t size;

		event_base_loop(fixture->host.base, EVLOOP_NONBLOCK);
		size = recv(fixture->caller, fixture->answer,
			    sizeof(fixture->answer) - 1, 0);
		if (size > 0) {
			fixture->answer[size] = '\0';
			return fixture->answer;
		}
		g_usleep(1000);
	}
	return "";
}

static void test_caller_waits_for_the_first_catalog(void **state)
{
	fixture_t *fixture = *state;

	send_text(fixture, "STARTUP orders u1\r\n");
	assert_string_equal(receive(fixture, 50), "");
	fixture->host.catalog = fixture->catalog;
	relay_session_configured(fixture->session);
	assert_true(g_str_has_prefix(receive(fixture, ANSWER_TIMEOUT_MS),
				     "READY I"));
}

/*
 * The caller must be told that it can retry, not that the database does not
 * exist.
 */
static void test_wait_for_the_catalog_ends(void **state)
{
	fixture_t *fixture = *state;

	send_text(fixture, "STARTUP orders u1\r\n");
	assert_non_null(strstr(receive(fixture, ANSWER_TIMEOUT_MS), "BUSY"));
}

static void test_unknown_database_is_reported_at_once(void **state)
{
	fixture_t *fixture = *state;

	fixture->host.catalog = fixture->catalog;
	send_text(fixture, "STARTUP other u1\r\n");
	assert_non_null(strstr(receive(fixture, ANSWER_TIMEOUT_MS), "NODB"));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(
			test_caller_waits_for_the_first_catalog, open_fixture,
			close_fixture),
		cmocka_unit_test_setup_teardown(test_wait_for_the_catalog_ends,
						open_fixture, close_fixture),
		cmocka_unit_test_setup_teardown(
			test_unknown_database_is_reported_at_once, open_fixture,
			close_fixture),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
