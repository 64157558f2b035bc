#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>
#include <event2/util.h>

#include "base/clock.h"
#include "platform/documents.h"
#include "platform/line_codec.h"
#include "relay/relay_caller.h"
#include "relay/relay_session_private.h"

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
		.metrics = metrics_create(8),
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
	metrics_destroy(fixture->host.metrics);
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

#define KEY_OF_ACME ",\"tenants\":[{\"name\":\"acme\",\"api_keys\":[\"u1\"]}]"
#define KEY_OF_TAHI ",\"tenants\":[{\"name\":\"tahi\",\"api_keys\":[\"u1\"]}]"
#define KEY_WITHDRAWN ",\"tenants\":[{\"name\":\"acme\",\"api_keys\":[]}]"
#define NO_CUSTOMERS ""

/* Applies a configuration to the session as the node does. */
static void configure(fixture_t *fixture, int version, bool is_public,
		      const char *customers)
{
	g_autofree char *text = g_strdup_printf(
		"{\"version\":%d,\"routes\":[{\"database\":\"orders\","
		"\"service\":\"svc\",\"route_type\":\"primary\","
		"\"public\":%s}],\"services\":[]%s}",
		version, is_public ? "true" : "false", customers);
	g_autoptr(GBytes) bytes = g_bytes_new(text, strlen(text));
	const kv_item_t item = {.value = bytes};
	catalog_t *catalog = relay_source_newer_catalog(
		&documents_source, &item, fixture->host.catalog);

	if (!catalog)
		return;
	catalog_unref(fixture->catalog);
	fixture->catalog = catalog;
	fixture->host.catalog = catalog;
	relay_session_configured(fixture->session);
}

static void assert_answer(fixture_t *fixture, const char *text,
			  const char *expected)
{
	const char *answer;

	send_text(fixture, text);
	answer = receive(fixture, ANSWER_TIMEOUT_MS);
	if (!strstr(answer, expected))
		fail_msg("%s answered by %s", text, answer);
}

/* Asserts that a statement is rejected and the session is closed. */
static void assert_unauthorized(fixture_t *fixture, const char *text,
				const char *reason)
{
	g_autofree char *labels = metrics_labels("reason", reason, NULL);

	assert_answer(fixture, text, "ERROR UNAUTH");
	assert_null(strstr(fixture->answer, "u1"));
	assert_string_equal(receive(fixture, 50), "");
	assert_true(fixture->ended);
	assert_int_equal(metric_value(metrics_counter(
				 fixture->host.metrics,
				 "toucanhook_unauthorized_total", labels)),
			 1);
}

static void test_unknown_key_is_rejected(void **state)
{
	configure(*state, 1, false, KEY_OF_ACME);
	assert_unauthorized(*state, "STARTUP orders u2\r\n", "unknown");
}

static void test_missing_key_is_rejected(void **state)
{
	configure(*state, 1, false, KEY_OF_ACME);
	assert_unauthorized(*state, "STARTUP orders\r\n", "unknown");
}

/* The first catalog must not let a waiting caller pass unchecked. */
static void test_unknown_key_waits_for_the_first_catalog(void **state)
{
	fixture_t *fixture = *state;

	send_text(fixture, "STARTUP orders u2\r\n");
	assert_string_equal(receive(fixture, 50), "");
	configure(fixture, 1, false, KEY_OF_ACME);
	assert_answer(fixture, "", "ERROR UNAUTH");
}

/* Statements that no server sees are checked as well. */
static void test_withdrawn_key_is_rejected_in_an_idle_session(void **state)
{
	static const char *const statements[] = {
		"QUERY a SET unit mm\r\n", "QUERY a PREPARE p READ x\r\n",
		"QUERY a ROLLBACK\r\n",	   "QUERY a BEGIN\r\n",
		"QUERY a READ x\r\n",	   "QUERY a nonsense\r\n",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(statements); i++) {
		void *other = NULL;

		if (open_fixture(&other)) {
			fail_msg("no socket pair");
			return;
		}
		configure(other, 1, false, KEY_OF_ACME);
		assert_answer(other, "STARTUP orders u1\r\n", "READY I");
		assert_answer(other, "QUERY 1 SET a b\r\n", "COMPLETE");
		configure(other, 2, false, KEY_WITHDRAWN);
		assert_unauthorized(other, statements[i], "withdrawn");
		close_fixture(&other);
	}
}

static void test_withdrawn_key_aborts_the_transaction(void **state)
{
	static const char *const statements[] = {
		"QUERY a READ x\r\n",	 "QUERY a SET unit mm\r\n",
		"QUERY a COMMIT\r\n",	 "QUERY a ROLLBACK\r\n",
		"QUERY a WRITE x y\r\n",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(statements); i++) {
		void *other = NULL;

		if (open_fixture(&other)) {
			fail_msg("no socket pair");
			return;
		}
		configure(other, 1, false, KEY_OF_ACME);
		assert_answer(other, "STARTUP orders u1\r\n", "READY I");
		assert_answer(other, "QUERY 1 BEGIN\r\n", "READY T");
		configure(other, 2, false, KEY_WITHDRAWN);
		assert_answer(other, statements[i], "ERROR ABORTED");
		assert_non_null(
			strstr(((fixture_t *)other)->answer, "READY I"));
		assert_unauthorized(other, "QUERY b BEGIN\r\n", "withdrawn");
		close_fixture(&other);
	}
}

static void test_withdrawn_key_ends_a_failed_transaction(void **state)
{
	configure(*state, 1, false, KEY_OF_ACME);
	assert_answer(*state, "STARTUP orders u1\r\n", "READY I");
	assert_answer(*state, "QUERY 1 BEGIN\r\n", "READY T");
	assert_answer(*state, "QUERY 2 BEGIN\r\n", "READY E");
	configure(*state, 2, false, KEY_WITHDRAWN);
	assert_answer(*state, "QUERY 3 READ x\r\n", "ERROR ABORTED");
	assert_unauthorized(*state, "QUERY 4 SET a b\r\n", "withdrawn");
}

/*
 * The transaction's connection was opened for the earlier customer, so it must
 * not run statements of the new one.
 */
static void test_moved_key_aborts_only_the_open_transaction(void **state)
{
	configure(*state, 1, false, KEY_OF_ACME);
	assert_answer(*state, "STARTUP orders u1\r\n", "READY I");
	assert_answer(*state, "QUERY 1 BEGIN\r\n", "READY T");
	configure(*state, 2, false, KEY_OF_TAHI);
	assert_answer(*state, "QUERY 2 COMMIT\r\n", "ERROR ABORTED");
	assert_answer(*state, "QUERY 3 BEGIN\r\n", "READY T");
	configure(*state, 3, false, KEY_OF_TAHI);
	assert_answer(*state, "QUERY 4 SET a b\r\n", "READY T");
	assert_answer(*state, "QUERY 5 ROLLBACK\r\n", "READY I");
}

/* The customer of the first operation must not be kept for the next one. */
static void test_customer_follows_the_newest_catalog(void **state)
{
	fixture_t *fixture = *state;
	relay_caller_t caller;
	const catalog_database_t *database;

	relay_caller_init(&caller, g_strdup("u1"));
	configure(fixture, 1, false, KEY_OF_ACME);
	database = catalog_database(fixture->catalog, "orders");
	assert_int_equal(
		relay_caller_identify(&caller, fixture->catalog, database),
		RELAY_CALLER_KNOWN);
	assert_string_equal(caller.customer->name, "acme");
	configure(fixture, 2, false, KEY_OF_TAHI);
	database = catalog_database(fixture->catalog, "orders");
	relay_caller_identify(&caller, fixture->catalog, database);
	assert_string_equal(caller.customer->name, "tahi");
	configure(fixture, 3, true, KEY_WITHDRAWN);
	database = catalog_database(fixture->catalog, "orders");
	assert_int_equal(
		relay_caller_identify(&caller, fixture->catalog, database),
		RELAY_CALLER_KNOWN);
	assert_null(caller.customer);
}

static void test_public_database_needs_no_key(void **state)
{
	configure(*state, 1, true, KEY_OF_ACME);
	assert_answer(*state, "STARTUP orders\r\n", "READY I");
	assert_answer(*state, "QUERY 1 BEGIN\r\n", "READY T");
	configure(*state, 2, true, KEY_WITHDRAWN);
	assert_answer(*state, "QUERY 2 SET a b\r\n", "READY T");
	configure(*state, 3, false, KEY_OF_ACME);
	assert_answer(*state, "QUERY 3 SET a b\r\n", "ERROR ABORTED");
	assert_unauthorized(*state, "QUERY 4 SET a b\r\n", "unknown");
}

static void test_site_without_customers_needs_no_key(void **state)
{
	configure(*state, 1, false, NO_CUSTOMERS);
	assert_answer(*state, "STARTUP orders u9\r\n", "READY I");
	assert_answer(*state, "QUERY 1 BEGIN\r\n", "READY T");
	configure(*state, 2, false, NO_CUSTOMERS);
	assert_answer(*state, "QUERY 2 ROLLBACK\r\n", "READY I");
}

/* A restored store or an older hub must not bring a withdrawn key back. */
static void test_older_configuration_does_not_restore_a_key(void **state)
{
	configure(*state, 1, false, KEY_OF_ACME);
	assert_answer(*state, "STARTUP orders u1\r\n", "READY I");
	configure(*state, 3, false, KEY_WITHDRAWN);
	configure(*state, 2, false, KEY_OF_ACME);
	assert_unauthorized(*state, "QUERY 1 SET a b\r\n", "withdrawn");
}

#define QUOTA_OF_ACME                                             \
	",\"tenants\":[{\"name\":\"acme\",\"api_keys\":[\"u1\"]," \
	"\"rate_per_s\":10,\"burst\":10}]"

/* What a node needs for quotas; its only domain has no leader. */
typedef struct {
	GHashTable *regions;
	relay_services_t *services;
	relay_quota_leader_t *leader;
} quota_parts_t;

static quota_parts_t open_quota(fixture_t *fixture)
{
	static char domain[] = "akl-a";
	quota_parts_t parts = {
		.regions = g_hash_table_new(g_str_hash, g_str_equal)};

	g_hash_table_insert(parts.regions, domain, domain);
	parts.services = relay_services_create((relay_services_settings_t){
		.base = fixture->host.base,
		.codec = &line_codec,
		.metrics = fixture->host.metrics,
		.node = "node-1",
		.failure_domain = domain,
		.regions = parts.regions,
	});
	parts.leader = relay_quota_leader_create(
		fixture->host.base, NULL, "node-1", domain,
		(quota_share_t){1, 0}, (relay_quota_leader_handlers_t){0});
	fixture->host.quota = relay_quota_create(parts.services, parts.leader,
						 (relay_quota_handlers_t){0});
	return parts;
}

static void close_quota(fixture_t *fixture, const quota_parts_t *parts)
{
	relay_quota_destroy(fixture->host.quota);
	relay_quota_leader_destroy(parts->leader);
	relay_services_destroy(parts->services);
	g_hash_table_destroy(parts->regions);
}

/* The wait for a token must not use the memory of a session that has ended. */
static void test_caller_disconnects_while_waiting_for_a_token(void **state)
{
	fixture_t *fixture = *state;
	const quota_parts_t parts = open_quota(fixture);

	configure(fixture, 1, false, QUOTA_OF_ACME);
	assert_answer(fixture, "STARTUP orders u1\r\n", "READY I");
	send_text(fixture, "QUERY 1 READ x\r\n");
	assert_string_equal(receive(fixture, 50), "");
	assert_true(relay_session_is_busy(fixture->session));
	relay_session_drain(fixture->session);
	relay_session_end_transaction(fixture->session);
	shutdown(fixture->caller, SHUT_RDWR);
	receive(fixture, 400);
	assert_true(fixture->ended);
	close_quota(fixture, &parts);
}

/* A new configuration must not free what the waiting statement uses. */
static void test_statement_without_a_token_is_rejected(void **state)
{
	fixture_t *fixture = *state;
	const quota_parts_t parts = open_quota(fixture);

	configure(fixture, 1, false, QUOTA_OF_ACME);
	assert_answer(fixture, "STARTUP orders u1\r\n", "READY I");
	send_text(fixture, "QUERY 1 READ x\r\n");
	assert_string_equal(receive(fixture, 50), "");
	configure(fixture, 2, false, KEY_WITHDRAWN);
	assert_answer(fixture, "", "ERROR BUSY not run");
	assert_unauthorized(fixture, "QUERY 2 READ x\r\n", "withdrawn");
	close_quota(fixture, &parts);
}

static void test_transaction_without_a_token_fails(void **state)
{
	fixture_t *fixture = *state;
	const quota_parts_t parts = open_quota(fixture);

	configure(fixture, 1, false, QUOTA_OF_ACME);
	assert_answer(fixture, "STARTUP orders u1\r\n", "READY I");
	assert_answer(fixture, "QUERY 1 BEGIN\r\n", "READY T");
	assert_answer(fixture, "QUERY 2 WRITE x y\r\n", "ERROR ABORTED");
	assert_non_null(strstr(fixture->answer, "READY E"));
	assert_answer(fixture, "QUERY 3 ROLLBACK\r\n", "READY I");
	assert_answer(fixture, "QUERY 4 BEGIN\r\n", "READY T");
	assert_answer(fixture, "QUERY 5 COMMIT\r\n", "ERROR ABORTED");
	assert_non_null(strstr(fixture->answer, "READY I"));
	relay_session_destroy(fixture->session);
	fixture->ended = true;
	close_quota(fixture, &parts);
}

/* What one session may keep of the next test's budget, in bytes. */
#define SESSION_BYTES 1000

/* Sends a statement whose last field has @p size_bytes characters. */
static void assert_kept(fixture_t *fixture, const char *statement,
			size_t size_bytes, const char *answer)
{
	g_autofree char *value = g_strnfill(size_bytes, 'x');
	g_autofree char *text =
		g_strdup_printf("QUERY 1 %s%s\r\n", statement, value);

	assert_answer(fixture, text, answer);
}

/*
 * Guards against callers whose prepared statements and variables fill the
 * node's memory until the VM kills it (review/8).
 */
static void test_session_keeps_no_more_than_its_share(void **state)
{
	fixture_t *fixture = *state;

	fixture->host.memory =
		memory_budget_create(SESSION_BYTES * MEMORY_BUDGET_HOLDER_PART);
	configure(fixture, 1, false, NO_CUSTOMERS);
	assert_answer(fixture, "STARTUP orders u1\r\n", "READY I");
	assert_kept(fixture, "PREPARE s1 READ ", 500, "COMPLETE");
	assert_kept(fixture, "PREPARE s2 READ ", 500, "ERROR BUSY not run: ");
	assert_non_null(strstr(fixture->answer, "READY I"));
	assert_kept(fixture, "SET v ", 500, "ERROR BUSY not run: ");
	assert_kept(fixture, "PREPARE s1 READ ", 900, "ERROR BUSY not run: ");
	/* The refused definition replaces nothing. */
	assert_answer(fixture, "QUERY 1 CLOSE s1\r\n", "COMPLETE");
	assert_int_equal(memory_budget_held(fixture->host.memory), 0);
	assert_kept(fixture, "SET v ", 500, "COMPLETE");
	assert_kept(fixture, "SET v ", 800, "COMPLETE");
	assert_kept(fixture, "SET w ", 100, "ERROR BUSY not run: ");
	assert_kept(fixture, "SET v ", 100, "COMPLETE");
	assert_kept(fixture, "PREPARE s2 READ ", 500, "COMPLETE");
	assert_answer(fixture, "QUERY 1 CLOSE s3\r\n", "ERROR UNKNOWN");
	assert_answer(fixture, "QUERY 1 BEGIN\r\n", "READY T");
	assert_kept(fixture, "SET w ", 500, "ERROR ABORTED not run: ");
	assert_non_null(strstr(fixture->answer, "READY E"));
	assert_int_equal(
		metric_value(metrics_counter(
			fixture->host.metrics,
			"toucanhook_session_memory_refused_total", "")),
		5);
	relay_session_destroy(fixture->session);
	fixture->ended = true;
	assert_int_equal(memory_budget_held(fixture->host.memory), 0);
	memory_budget_destroy(fixture->host.memory);
}

/* Runs the event loop for a time, also if it always has something to do. */
static void run_for(fixture_t *fixture, uint32_t time_ms)
{
	const struct timeval time = clock_timeval(time_ms);

	event_base_loopexit(fixture->host.base, &time);
	event_base_loop(fixture->host.base, 0);
}

/* More than a session reads ahead, in statements that it answers itself. */
#define FLOOD_STATEMENTS 70000

static GString *flood_new(void)
{
	GString *text = g_string_new(NULL);

	for (uint32_t i = 0; i < FLOOD_STATEMENTS; i++)
		g_string_append(text, "QUERY 1 CLOSE none\r\n");
	return text;
}

/* Sends as much of a flood as the connection takes. @return what is left */
static const char *send_some(fixture_t *fixture, const char *flood)
{
	const ssize_t sent =
		send(fixture->caller, flood, strlen(flood), MSG_NOSIGNAL);

	return sent > 0 ? flood + sent : flood;
}

/* Guards against a node that spins while a caller's input is full. */
static void test_full_input_costs_no_time(void **state)
{
	fixture_t *fixture = *state;
	g_autoptr(GString) text = flood_new();
	const char *flood = text->str;

	/* The session waits for the first catalog, and handles nothing. */
	send_text(fixture, "STARTUP orders u1\r\n");
	for (uint32_t i = 0; i < 100; i++) {
		flood = send_some(fixture, flood);
		run_for(fixture, 1);
	}
	assert_true(*flood);
	assert_string_equal(receive(fixture, 0), "");
	assert_int_equal(event_base_get_num_events(fixture->host.base,
						   EVENT_BASE_COUNT_ACTIVE),
			 0);
	/* All of it is read and answered once there is a catalog. */
	configure(fixture, 1, false, NO_CUSTOMERS);
	while (*receive(fixture, 50) || *flood)
		flood = send_some(fixture, flood);
	assert_answer(fixture, "QUERY 2 BEGIN\r\n", "READY T");
}

/* Guards against answers that a caller does not read filling the memory. */
static void test_caller_that_does_not_read_is_paused(void **state)
{
	static const char ready[] = "READY I -\r\n";
	fixture_t *fixture = *state;
	g_autoptr(GString) text = flood_new();
	const char *flood = text->str;
	const char *answer;
	size_t largest_bytes = 0;
	uint32_t matched = 0;
	uint32_t answered = 0;

	configure(fixture, 1, false, NO_CUSTOMERS);
	assert_answer(fixture, "STARTUP orders u1\r\n", "READY I");
	for (uint32_t i = 0; i < 200; i++) {
		flood = send_some(fixture, flood);
		run_for(fixture, 1);
		largest_bytes = MAX(largest_bytes,
				    evbuffer_get_length(relay_session_output(
					    fixture->session)));
	}
	assert_in_range(largest_bytes, 256 * 1024, 257 * 1024);
	/* Each statement is answered as the caller reads. */
	while (*(answer = receive(fixture, 50)) || *flood) {
		flood = send_some(fixture, flood);
		for (const char *c = answer; *c; c++) {
			matched = *c == ready[matched] ? matched + 1 :
							 *c == ready[0];
			if (ready[matched])
				continue;
			matched = 0;
			answered++;
		}
	}
	assert_int_equal(answered, FLOOD_STATEMENTS);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_full_input_costs_no_time,
						open_fixture, close_fixture),
		cmocka_unit_test_setup_teardown(
			test_caller_that_does_not_read_is_paused, open_fixture,
			close_fixture),
		cmocka_unit_test_setup_teardown(
			test_session_keeps_no_more_than_its_share, open_fixture,
			close_fixture),
		cmocka_unit_test_setup_teardown(
			test_caller_waits_for_the_first_catalog, open_fixture,
			close_fixture),
		cmocka_unit_test_setup_teardown(test_wait_for_the_catalog_ends,
						open_fixture, close_fixture),
		cmocka_unit_test_setup_teardown(
			test_unknown_database_is_reported_at_once, open_fixture,
			close_fixture),
		cmocka_unit_test_setup_teardown(test_unknown_key_is_rejected,
						open_fixture, close_fixture),
		cmocka_unit_test_setup_teardown(test_missing_key_is_rejected,
						open_fixture, close_fixture),
		cmocka_unit_test_setup_teardown(
			test_unknown_key_waits_for_the_first_catalog,
			open_fixture, close_fixture),
		cmocka_unit_test_setup_teardown(
			test_withdrawn_key_ends_a_failed_transaction,
			open_fixture, close_fixture),
		cmocka_unit_test_setup_teardown(
			test_moved_key_aborts_only_the_open_transaction,
			open_fixture, close_fixture),
		cmocka_unit_test_setup_teardown(
			test_customer_follows_the_newest_catalog, open_fixture,
			close_fixture),
		cmocka_unit_test_setup_teardown(
			test_public_database_needs_no_key, open_fixture,
			close_fixture),
		cmocka_unit_test_setup_teardown(
			test_site_without_customers_needs_no_key, open_fixture,
			close_fixture),
		cmocka_unit_test_setup_teardown(
			test_older_configuration_does_not_restore_a_key,
			open_fixture, close_fixture),
		cmocka_unit_test_setup_teardown(
			test_caller_disconnects_while_waiting_for_a_token,
			open_fixture, close_fixture),
		cmocka_unit_test_setup_teardown(
			test_statement_without_a_token_is_rejected,
			open_fixture, close_fixture),
		cmocka_unit_test_setup_teardown(
			test_transaction_without_a_token_fails, open_fixture,
			close_fixture),
		cmocka_unit_test(
			test_withdrawn_key_is_rejected_in_an_idle_session),
		cmocka_unit_test(test_withdrawn_key_aborts_the_transaction),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
