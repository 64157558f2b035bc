#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include "base/clock.h"
#include "relay/relay_job.h"

/* A node whose only service is without a primary: a takeover is under way. */
typedef struct {
	struct event_base *base;
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
	});
	fixture->database = g_new0(catalog_database_t, 1);
	fixture->database->name = g_strdup("orders");
	fixture->database->service = g_strdup("svc");
	fixture->catalog = catalog_new();
	catalog_add_database(fixture->catalog, fixture->database);
	relay_services_configure(fixture->services, fixture->catalog);
	relay_service_set_primary(relay_services_find(fixture->services, "svc"),
				  1, "i-1", true, 1);
	*state = fixture;
	return 0;
}

static int close_fixture(void **state)
{
	fixture_t *fixture = *state;

	if (!fixture->done)
		relay_job_cancel(fixture->job);
	relay_services_destroy(fixture->services);
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

	start_write(fixture, 20000);
	event_base_loopexit(fixture->base, &several_checks);
	event_base_dispatch(fixture->base);
	assert_false(fixture->done);
	assert_int_equal(relay_service_parked_count(service), 1);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(
			test_hopeless_statement_is_rejected_at_once,
			open_fixture, close_fixture),
		cmocka_unit_test_setup_teardown(
			test_statement_that_may_be_served_waits, open_fixture,
			close_fixture),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
