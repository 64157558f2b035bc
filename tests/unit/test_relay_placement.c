#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include "base/clock.h"
#include "relay/relay_explain.h"
#include "relay/relay_placement.h"

/* A node in the domain a1, which has no server; a2 is in its region. */
typedef struct {
	GHashTable *regions;
	metrics_t *metrics;
	relay_services_t *services;
	relay_service_t *service;
	catalog_database_t database;
	relay_request_t request;
} fixture_t;

static const endpoint_t *no_hub(void *context, const char *server,
				uint32_t failures)
{
	return NULL;
}

static void ignore_failure(void *context, const char *service,
			   const char *server)
{
}

static void put(fixture_t *fixture, const char *id, const char *domain)
{
	backend_entry_t *entry = g_new0(backend_entry_t, 1);

	entry->id = g_strdup(id);
	entry->service = g_strdup("svc");
	entry->failure_domain = g_strdup(domain);
	entry->endpoint.address = g_strdup("127.0.0.1");
	relay_services_put(fixture->services, entry);
}

static int open_fixture(void **state)
{
	fixture_t *fixture = g_new0(fixture_t, 1);

	fixture->regions = g_hash_table_new(g_str_hash, g_str_equal);
	g_hash_table_insert(fixture->regions, (char *)"a1", (char *)"a");
	g_hash_table_insert(fixture->regions, (char *)"a2", (char *)"a");
	g_hash_table_insert(fixture->regions, (char *)"b1", (char *)"b");
	fixture->metrics = metrics_create(100);
	fixture->services = relay_services_create((relay_services_settings_t){
		.base = event_base_new(),
		.metrics = fixture->metrics,
		.node = "node",
		.failure_domain = "a1",
		.regions = fixture->regions,
		.hub = no_hub,
		.on_connection_failure = ignore_failure,
	});
	put(fixture, "near", "a2");
	put(fixture, "far", "b1");
	fixture->service = relay_services_find(fixture->services, "svc");
	point_samples_add(relay_service_samples(fixture->service),
			  clock_boot_ms(), (log_point_t){1, 1});
	fixture->database = (catalog_database_t){.name = (char *)"orders",
						 .service = (char *)"svc",
						 .reads = READS_BOUNDED,
						 .max_age_ms = 1500,
						 .timeout_ms = 1200,
						 .target_latency_ms = 800};
	fixture->request = (relay_request_t){.database = &fixture->database,
					     .received_ms = clock_boot_ms()};
	*state = fixture;
	return 0;
}

static int close_fixture(void **state)
{
	fixture_t *fixture = *state;
	struct event_base *base =
		relay_services_settings(fixture->services)->base;

	relay_services_destroy(fixture->services);
	event_base_loop(base, EVLOOP_NONBLOCK); /* frees the servers */
	event_base_free(base);
	metrics_destroy(fixture->metrics);
	g_hash_table_destroy(fixture->regions);
	g_free(fixture);
	return 0;
}

static relay_server_t *choose(fixture_t *fixture)
{
	relay_placement_t placement = {.service = fixture->service,
				       .request = &fixture->request,
				       .deadline_ms = clock_boot_ms() + 1200};

	return relay_placement_choose(&placement, (log_point_t){1, 1});
}

static void assert_counted(fixture_t *fixture, const char *place,
			   const char *reason, int64_t count)
{
	g_autofree char *labels =
		metrics_labels("place", place, "reason", reason, NULL);

	assert_int_equal(metric_value(metrics_counter(
				 fixture->metrics,
				 "toucanhook_reads_placed_total", labels)),
			 count);
}

/* Guards against a node without a near server that counts as far away. */
static void test_reads_stay_in_the_region_and_are_counted(void **state)
{
	fixture_t *fixture = *state;

	assert_string_equal(relay_server_entry(choose(fixture))->id, "near");
	assert_counted(fixture, "region", "stays", 1);
	assert_counted(fixture, "elsewhere", "slow", 0);
}

/* Answers must reach the estimate: slow ones move a share, rejections too. */
static void test_slow_answers_move_reads(void **state)
{
	fixture_t *fixture = *state;
	relay_server_t *near = relay_service_server(fixture->service, "near");
	const uint64_t now_ms = clock_boot_ms();
	const relay_answer_t answer = {.sent_ms = now_ms - 600};
	const relay_placement_t placement = {.service = fixture->service,
					     .request = &fixture->request};

	relay_placement_record_answer(&placement, near, &answer, now_ms);
	choose(fixture);
	assert_true(
		relay_server_zone(relay_service_server(fixture->service, "far"))
			->share > 0);
	relay_placement_record_answer(
		&placement, near,
		&(relay_answer_t){.failed = true,
				  .error = RELAY_ERROR_OVERLOADED},
		now_ms);
	assert_true(relay_server_zone(near)->rejected > 0);
}

/* The repetition of a read must not use up the share of another read. */
static void test_repeated_read_leaves_the_shares(void **state)
{
	fixture_t *fixture = *state;
	relay_server_t *near = relay_service_server(fixture->service, "near");
	relay_server_t *far = relay_service_server(fixture->service, "far");
	relay_placement_t placement = {.service = fixture->service,
				       .request = &fixture->request,
				       .deadline_ms = clock_boot_ms() + 1200};

	relay_server_zone(far)->share = 0.5;
	relay_server_zone(far)->credit = 0.75;
	assert_ptr_equal(relay_placement_choose(&placement, (log_point_t){0}),
			 far);
	assert_ptr_equal(relay_placement_choose(&placement, (log_point_t){0}),
			 near);
	assert_true(relay_server_zone(far)->credit == 0.25);
}

static void test_explain_shows_the_choice_and_changes_nothing(void **state)
{
	fixture_t *fixture = *state;
	relay_server_t *far = relay_service_server(fixture->service, "far");
	const zone_spill_t before = *relay_service_spill(fixture->service);
	g_autofree char *text = NULL;

	relay_server_zone(far)->share = 0.5;
	relay_server_zone(far)->credit = 0.75;
	text = relay_explain(fixture->services, &fixture->database, false);
	assert_non_null(strstr(text, "server=near place=region usable=1"));
	assert_non_null(strstr(text, "server=far place=elsewhere usable=1"));
	assert_non_null(strstr(text, "choice server=far reason="));
	assert_true(relay_server_zone(far)->credit == 0.75);
	assert_memory_equal(relay_service_spill(fixture->service), &before,
			    sizeof(before));
	assert_int_equal(relay_server_open_count(far), 0);
	assert_counted(fixture, "elsewhere", "stays", 0);
}

static void test_explain_without_a_primary(void **state)
{
	fixture_t *fixture = *state;
	g_autofree char *text =
		relay_explain(fixture->services, &fixture->database, true);

	assert_non_null(
		strstr(text, "choice server=- reason=waits_for_primary"));
}

#define TEST(name) \
	cmocka_unit_test_setup_teardown(name, open_fixture, close_fixture)

int main(void)
{
	const struct CMUnitTest tests[] = {
		TEST(test_reads_stay_in_the_region_and_are_counted),
		TEST(test_slow_answers_move_reads),
		TEST(test_repeated_read_leaves_the_shares),
		TEST(test_explain_shows_the_choice_and_changes_nothing),
		TEST(test_explain_without_a_primary),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
