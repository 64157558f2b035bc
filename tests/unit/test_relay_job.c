#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <arpa/inet.h>
#include <cmocka.h>
#include <event2/listener.h>

#include "base/clock.h"
#include "platform/line_codec.h"
#include "relay/relay_job.h"

/* A node whose only service has a primary that accepts no session. */
typedef struct {
	struct event_base *base;
	struct evconnlistener *listener;
	metrics_t *metrics;
	catalog_t *catalog;
	relay_services_t *services;
	catalog_database_t *database;
	relay_job_t *job;
	bool done;
	relay_error_t error;
	char text[64];
} fixture_t;

static const endpoint_t *no_hub(void *context, const char *server,
				uint32_t failures)
{
	return NULL;
}

static void on_connection_failure(void *context, const char *service,
				  const char *server)
{
}

/* Listens, but never accepts, so that connections stay without an answer. */
static uint16_t listen_only(fixture_t *fixture)
{
	struct sockaddr_in address = {.sin_family = AF_INET,
				      .sin_addr.s_addr =
					      htonl(INADDR_LOOPBACK)};
	socklen_t size = sizeof(address);

	fixture->listener = evconnlistener_new_bind(
		fixture->base, NULL, NULL, LEV_OPT_CLOSE_ON_FREE, 8,
		(struct sockaddr *)&address, sizeof(address));
	getsockname(evconnlistener_get_fd(fixture->listener),
		    (struct sockaddr *)&address, &size);
	return ntohs(address.sin_port);
}

static void add_primary(fixture_t *fixture)
{
	backend_entry_t *entry = g_new0(backend_entry_t, 1);

	entry->id = g_strdup("i-1");
	entry->service = g_strdup("svc");
	entry->failure_domain = g_strdup("akl-a");
	entry->endpoint = (endpoint_t){.address = g_strdup("127.0.0.1"),
				       .port = listen_only(fixture)};
	relay_services_put(fixture->services, entry);
	relay_services_lease(fixture->services)->registered_at = 1;
	node_lease_renewed(relay_services_lease(fixture->services),
			   clock_boot_ms());
	relay_service_set_primary(relay_services_find(fixture->services, "svc"),
				  1, "i-1", false, 1);
}

static void begin_takeover(fixture_t *fixture)
{
	relay_service_set_primary(relay_services_find(fixture->services, "svc"),
				  1, "i-1", true, 2);
}

static int open_fixture(void **state)
{
	fixture_t *fixture = g_new0(fixture_t, 1);

	fixture->base = event_base_new();
	fixture->metrics = metrics_create(20);
	fixture->services = relay_services_create((relay_services_settings_t){
		.base = fixture->base,
		.metrics = fixture->metrics,
		.node = "node-1",
		.failure_domain = "akl-a",
		.hub = no_hub,
		.codec = &line_codec,
		.on_connection_failure = on_connection_failure,
	});
	fixture->database = g_new0(catalog_database_t, 1);
	fixture->database->name = g_strdup("orders");
	fixture->database->service = g_strdup("svc");
	fixture->catalog = catalog_new();
	catalog_add_database(fixture->catalog, fixture->database);
	relay_services_configure(fixture->services, fixture->catalog);
	add_primary(fixture);
	*state = fixture;
	return 0;
}

static int close_fixture(void **state)
{
	fixture_t *fixture = *state;

	if (!fixture->done)
		relay_job_cancel(fixture->job);
	relay_services_destroy(fixture->services);
	event_base_loop(fixture->base, EVLOOP_NONBLOCK);
	evconnlistener_free(fixture->listener);
	catalog_unref(fixture->catalog);
	metrics_destroy(fixture->metrics);
	event_base_free(fixture->base);
	g_free(fixture);
	return 0;
}

static void on_done(void *context, const relay_result_t *result)
{
	fixture_t *fixture = context;

	fixture->done = true;
	fixture->error = result->error;
	g_strlcpy(fixture->text, result->text, sizeof(fixture->text));
}

static void start_write(fixture_t *fixture, uint32_t timeout_ms)
{
	const relay_request_t request = {
		.id = "1",
		.text = "INSERT",
		.kind = COMMAND_WRITE,
		.writes = true,
		.database = fixture->database,
		.received_ms = clock_boot_ms(),
	};

	fixture->database->timeout_ms = timeout_ms;
	fixture->job =
		relay_job_start(fixture->services, &request, on_done, fixture);
}

/*
 * No takeover is as quick as this timeout. The statement was held until the
 * timeout, and its caller told to come back after 300 ms in any case.
 */
static void test_hopeless_statement_is_rejected_at_once(void **state)
{
	fixture_t *fixture = *state;
	g_autofree char *labels =
		metrics_labels("service", "svc", "reason", "takeover", NULL);

	begin_takeover(fixture);
	start_write(fixture, 200);
	event_base_loop(fixture->base, EVLOOP_ONCE);
	assert_true(fixture->done);
	assert_int_equal(fixture->error, RELAY_ERROR_OVERLOADED);
	assert_true(g_str_has_prefix(fixture->text, "not run, retry after "));
	assert_true(g_ascii_strtoull(fixture->text +
					     strlen("not run, retry after "),
				     NULL, 10) > 1500);
	assert_int_equal(
		metric_value(metrics_counter(
			fixture->metrics, "toucanhook_statements_refused_total",
			labels)),
		1);
}

/* The takeover may end in time: a rejection would waste one of two retries. */
static void test_statement_that_may_be_served_waits(void **state)
{
	fixture_t *fixture = *state;
	const struct timeval several_checks = {.tv_usec = 150000};
	const relay_service_t *service =
		relay_services_find(fixture->services, "svc");

	begin_takeover(fixture);
	start_write(fixture, 20000);
	event_base_loopexit(fixture->base, &several_checks);
	event_base_dispatch(fixture->base);
	assert_false(fixture->done);
	assert_int_equal(relay_service_parked_count(service), 1);
}

/*
 * The takeover becomes known while the statement waits for a connection to the
 * former primary. It stayed there until its timeout, or was sent to that server
 * and ended in doubt.
 */
static void test_takeover_ends_the_wait_for_a_connection(void **state)
{
	fixture_t *fixture = *state;
	const struct timeval several_checks = {.tv_usec = 150000};
	const relay_service_t *service =
		relay_services_find(fixture->services, "svc");

	start_write(fixture, 20000);
	assert_int_equal(relay_service_parked_count(service), 0);
	begin_takeover(fixture);
	event_base_loopexit(fixture->base, &several_checks);
	event_base_dispatch(fixture->base);
	assert_int_equal(relay_service_parked_count(service), 1);
}

#define TEST(name) \
	cmocka_unit_test_setup_teardown(name, open_fixture, close_fixture)

int main(void)
{
	const struct CMUnitTest tests[] = {
		TEST(test_hopeless_statement_is_rejected_at_once),
		TEST(test_statement_that_may_be_served_waits),
		TEST(test_takeover_ends_the_wait_for_a_connection),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
