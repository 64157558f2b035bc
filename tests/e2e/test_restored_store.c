#include <inttypes.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>
#include <jansson.h>

#include "base/clock.h"
#include "world/http_request.h"
#include "world/line_client.h"
#include "world/site_world.h"

/* Timeouts with a margin for a busy machine. */
#define START_TIMEOUT_MS 30000
#define SERVE_TIMEOUT_MS 30000
#define RETRY_MS 50

#define NODES 3

static int open_site(void **state)
{
	static const site_plan_t plan = {
		.nodes = NODES, .groups = 1, .seed = 1};
	g_autoptr(GError) error = NULL;
	site_world_t *world = site_world_create(&plan, &error);

	if (!world) {
		print_error("%s\n", error->message);
		return -1;
	}
	if (!site_world_wait_ready(world, START_TIMEOUT_MS)) {
		site_world_print_logs(world);
		return -1;
	}
	*state = world;
	return 0;
}

static int close_site(void **state)
{
	site_world_destroy(*state);
	return 0;
}

static bool is_served(site_world_t *world, uint32_t node, const char *database)
{
	line_client_t *client = line_client_open(
		site_world_callers_port(world, node), database);

	if (client)
		line_client_close(client);
	return client;
}

static void wait_served_everywhere(site_world_t *world, const char *database)
{
	const uint64_t deadline_ms = clock_now_ms() + SERVE_TIMEOUT_MS;

	for (uint32_t node = 0; node < NODES; node++)
		while (!is_served(world, node, database)) {
			if (clock_now_ms() >= deadline_ms) {
				site_world_print_logs(world);
				fail_msg("%s is not served by node %u",
					 database, node);
			}
			g_usleep(RETRY_MS * 1000);
		}
}

/* Writes new data until a write is acknowledged. */
static void write_until_done(site_world_t *world, uint32_t node)
{
	const uint64_t deadline_ms = clock_now_ms() + SERVE_TIMEOUT_MS;
	static uint32_t writes;
	line_client_t *client = NULL;
	line_result_t result = LINE_NO_ANSWER;

	while (result != LINE_DONE) {
		g_autofree char *text =
			g_strdup_printf("WRITE item v%u", ++writes);

		if (clock_now_ms() >= deadline_ms) {
			site_world_print_logs(world);
			fail_msg("node %u does not write", node);
		}
		if (!client)
			client = line_client_open(
				site_world_callers_port(world, node),
				"strict-0");
		if (client)
			result = line_client_run(client, text, NULL);
		if (client && result == LINE_NO_ANSWER)
			g_clear_pointer(&client, line_client_close);
		if (result != LINE_DONE)
			g_usleep(RETRY_MS * 1000);
	}
	line_client_close(client);
}

static int64_t report_number(site_world_t *world, const char *field)
{
	json_t *report = http_get_json(site_world_port(world), "/report");
	int64_t number;

	assert_non_null(report);
	number = json_integer_value(json_object_get(report, field));
	json_decref(report);
	return number;
}

static void wait_promotions(site_world_t *world, int64_t count)
{
	const uint64_t deadline_ms = clock_now_ms() + SERVE_TIMEOUT_MS;

	while (report_number(world, "promotions") < count) {
		if (clock_now_ms() >= deadline_ms) {
			site_world_print_logs(world);
			fail_msg("not promoted %" PRId64 " times", count);
		}
		g_usleep(RETRY_MS * 1000);
	}
}

static void test_route_added_after_a_restore_is_served(void **state)
{
	site_world_t *world = *state;

	site_world_inject_fault(world, "store-copy");
	/* These use up the revisions that are given out again later. */
	site_world_inject_fault(world, "config?route=lost-1");
	site_world_inject_fault(world, "config?route=lost-2");
	site_world_inject_fault(world, "config?route=lost-3");
	site_world_inject_fault(world, "config?route=lost-4");
	site_world_inject_fault(world, "config?route=lost-5");
	site_world_inject_fault(world, "config?route=lost-6");
	site_world_inject_fault(world, "config?route=lost-7");
	wait_served_everywhere(world, "lost-7");
	site_world_inject_fault(world, "store-restore?for_ms=700");
	g_usleep(1200 * 1000);
	site_world_inject_fault(world, "config?route=added");
	wait_served_everywhere(world, "added");
	wait_served_everywhere(world, "lost-7");
}

/* Has the primary replaced, and then restores a copy that does not know it. */
static void promote_and_restore(site_world_t *world)
{
	write_until_done(world, 0);
	site_world_inject_fault(world, "store-copy");
	site_world_inject_fault(world, "crash?server=group0-0&for_ms=1500");
	wait_promotions(world, 1);
	write_until_done(world, 1);
	site_world_inject_fault(world, "store-restore?for_ms=700");
}

static void test_promotion_that_the_copy_lacks_stays(void **state)
{
	site_world_t *world = *state;
	int64_t promotions;

	promote_and_restore(world);
	promotions = report_number(world, "promotions");
	g_usleep(3000 * 1000);
	for (uint32_t node = 0; node < NODES; node++)
		write_until_done(world, node);
	assert_int_equal(report_number(world, "promotions"), promotions);
}

/* The revisions of the record and of the servers' entries went back. */
static void test_primary_that_leaves_after_a_restore_hands_over(void **state)
{
	site_world_t *world = *state;
	int64_t promotions;

	promote_and_restore(world);
	promotions = report_number(world, "promotions");
	g_usleep(3000 * 1000);
	site_world_inject_fault(world, "drain?server=group0-1");
	site_world_inject_fault(world, "drain?server=group0-2");
	wait_promotions(world, promotions + 1);
	for (uint32_t node = 0; node < NODES; node++)
		write_until_done(world, node);
	assert_int_equal(report_number(world, "token_steps_back"), 0);
	assert_int_equal(report_number(world, "twice"), 0);
}

#define SITE_TEST(test) \
	cmocka_unit_test_setup_teardown(test, open_site, close_site)

int main(void)
{
	const struct CMUnitTest tests[] = {
		SITE_TEST(test_route_added_after_a_restore_is_served),
		SITE_TEST(test_promotion_that_the_copy_lacks_stays),
		SITE_TEST(test_primary_that_leaves_after_a_restore_hands_over),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
