#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>
#include <jansson.h>

#include "base/clock.h"
#include "world/http_request.h"
#include "world/line_client.h"
#include "world/site_world.h"

/* Timeouts with a margin for a busy machine. */
#define START_TIMEOUT_MS 30000
#define SERVE_TIMEOUT_MS 30000
#define RETRY_MS 50

/* Four nodes in each of three domains, one of which is no hub. */
#define NODES 12

/* Nesting and size of the odd values. */
#define NESTING 100000
#define LARGE_BYTES (1000 * 1000)

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

/* Sends a transaction of another writer to the store. */
static void commit(site_world_t *world, json_t *puts, json_t *removals)
{
	json_t *body = json_pack("{s:[],s:o,s:o}", "expected_rev", "puts", puts,
				 "remove", removals);
	char *text = json_dumps(body, JSON_COMPACT);

	assert_int_equal(http_request(HTTP_REQUEST_POST, site_world_port(world),
				      "/kv-txn", text, NULL),
			 200);
	free(text);
	json_decref(body);
}

static void put(site_world_t *world, const char *key, const char *value)
{
	g_autofree char *encoded =
		g_base64_encode((const guchar *)value, strlen(value));

	commit(world,
	       json_pack("[{s:s,s:s,s:i}]", "key", key, "value", encoded,
			 "lease", 0),
	       json_array());
}

static void drop(site_world_t *world, const char *key)
{
	commit(world, json_array(), json_pack("[s]", key));
}

/* Values of each sort that other writers have left, and of our own. */
static GPtrArray *odd_values(void)
{
	GPtrArray *values = g_ptr_array_new_with_free_func(g_free);
	char *deep = g_strnfill(NESTING, '[');
	char *large = g_strnfill(LARGE_BYTES, 'x');
	GString *wide = g_string_new("[");

	for (uint32_t i = 0; i < LARGE_BYTES / 3; i++)
		g_string_append(wide, "{},");
	g_string_append(wide, "{}]");
	g_ptr_array_add(values, deep);
	g_ptr_array_add(values, large);
	g_ptr_array_add(values, g_string_free(wide, FALSE));
	g_ptr_array_add(values, g_strdup(""));
	g_ptr_array_add(values, g_strdup("\xff\xfe\x01"));
	g_ptr_array_add(values, g_strdup("{\"sequence\":1e999}"));
	g_ptr_array_add(values,
			g_strdup("{\"service\":\"group0\",\"address\":"
				 "\"127.0.0.1:99999\",\"zone\":\"z-a\","
				 "\"version\":\"v1\",\"slots\":3,"
				 "\"state\":\"ready\",\"cold_remaining_ms\":0,"
				 "\"db_role\":\"primary\",\"sequence\":4}"));
	g_ptr_array_add(values,
			g_strdup("{\"service\":\"group0\",\"address\":"
				 "\"127.0.0.1:9\",\"zone\":\"z-a\","
				 "\"version\":\"v1\",\"slots\":3,"
				 "\"state\":\"ready\",\"cold_remaining_ms\":0,"
				 "\"db_role\":\"primary\",\"sequence\":"
				 "99999999999999999999999999}"));
	g_ptr_array_add(values,
			g_strdup("{\"service\":\"no such\",\"address\":"
				 "\"127.0.0.1:9\",\"zone\":\"z a\","
				 "\"version\":\"v1\",\"slots\":3,"
				 "\"state\":\"ready\",\"cold_remaining_ms\":0,"
				 "\"db_role\":\"primary\",\"sequence\":1}"));
	return values;
}

static bool is_served(site_world_t *world, uint32_t node, const char *database)
{
	line_client_t *client = line_client_open(
		site_world_callers_port(world, node), database);

	if (client)
		line_client_close(client);
	return client;
}

/* Waits until each node follows the configuration that has the database. */
static void wait_followed(site_world_t *world, const char *database)
{
	g_autofree char *fault = g_strdup_printf("config?route=%s", database);
	const uint64_t deadline_ms = clock_now_ms() + SERVE_TIMEOUT_MS;

	site_world_inject_fault(world, fault);
	for (uint32_t node = 0; node < NODES; node++)
		while (!is_served(world, node, database)) {
			if (clock_now_ms() >= deadline_ms) {
				site_world_print_logs(world);
				fail_msg("node %u does not follow the store",
					 node);
			}
			g_usleep(RETRY_MS * 1000);
		}
}

/* Writes at a node until that is acknowledged. */
static void write_at(site_world_t *world, uint32_t node)
{
	const uint64_t deadline_ms = clock_now_ms() + SERVE_TIMEOUT_MS;
	static uint32_t writes;
	line_result_t result = LINE_NO_ANSWER;

	while (result != LINE_DONE) {
		g_autofree char *text =
			g_strdup_printf("WRITE item v%u", ++writes);
		line_client_t *client = line_client_open(
			site_world_callers_port(world, node), "strict-0");

		if (clock_now_ms() >= deadline_ms) {
			site_world_print_logs(world);
			fail_msg("node %u does not write", node);
		}
		if (client) {
			result = line_client_run(client, text, NULL);
			line_client_close(client);
		}
		if (result != LINE_DONE)
			g_usleep(RETRY_MS * 1000);
	}
}

/* All nodes live, follow the store and serve with the good servers. */
static void assert_well(site_world_t *world, const char *database)
{
	wait_followed(world, database);
	for (uint32_t node = 0; node < NODES; node++)
		write_at(world, node);
	for (uint32_t node = 0; node < NODES; node++)
		assert_true(site_world_is_running(world, node));
}

static int64_t invalid_count(site_world_t *world, uint32_t node)
{
	static const char name[] =
		"\ntoucanhook_server_entries_invalid_total{} ";
	g_autofree char *metrics = NULL;
	const char *line;

	assert_int_equal(http_request(HTTP_REQUEST_GET,
				      site_world_metrics_port(world, node),
				      "/metrics", NULL, &metrics),
			 200);
	line = strstr(metrics, name);
	return line ? g_ascii_strtoll(line + strlen(name), NULL, 10) : 0;
}

/* The nodes that read the store count; the others are told of no odd entry. */
static int64_t invalid_count_max(site_world_t *world)
{
	int64_t count = 0;

	for (uint32_t node = 0; node < NODES; node++)
		count = MAX(count, invalid_count(world, node));
	return count;
}

/* Guards against a watch that ends, or stops, at an odd entry; then gone. */
static void test_odd_entries_in_watch_events(void **state)
{
	site_world_t *world = *state;
	g_autoptr(GPtrArray) values = odd_values();

	for (guint i = 0; i < values->len; i++) {
		g_autofree char *key = g_strdup_printf("servers/odd-%u", i);

		put(world, key, values->pdata[i]);
	}
	assert_well(world, "watched");
	assert_int_equal(invalid_count_max(world), values->len);
	assert_true(site_world_logs_contain(world, "server_entry_invalid"));
	for (guint i = 0; i < values->len; i++) {
		g_autofree char *key = g_strdup_printf("servers/odd-%u", i);

		drop(world, key);
	}
	assert_well(world, "gone");
}

/* Guards against odd ids, which become fields of lines and records. */
static void test_odd_ids(void **state)
{
	site_world_t *world = *state;
	g_autoptr(GPtrArray) values = odd_values();
	const char *value = values->pdata[values->len - 1];
	g_autofree char *name = g_strnfill(150, 'n');
	g_autofree char *name_key = g_strconcat("servers/", name, NULL);

	put(world, "servers/", value);
	put(world, "servers/i 1", value);
	put(world, "servers/i\r\nTERMINATE", value);
	put(world, "servers/i\"quoted\\", value);
	put(world, name_key, value);
	assert_well(world, "ids");
}

/* Guards against a good server that is lost for good to an odd entry. */
static void test_odd_entry_in_place_of_a_good_one(void **state)
{
	site_world_t *world = *state;
	g_autoptr(GPtrArray) values = odd_values();

	for (guint i = 0; i < values->len; i++) {
		put(world, "servers/group0-0", values->pdata[i]);
		put(world, "servers/group0-1", values->pdata[i]);
	}
	assert_well(world, "replaced");
}

/* Guards against a node that cannot start beside odd entries. */
static void test_odd_entries_in_the_first_reading(void **state)
{
	site_world_t *world = *state;
	g_autoptr(GPtrArray) values = odd_values();

	for (guint i = 0; i < values->len; i++) {
		g_autofree char *key = g_strdup_printf("servers/odd-%u", i);

		put(world, key, values->pdata[i]);
	}
	for (uint32_t node = 0; node < NODES; node++) {
		site_world_signal(world, node, SIGKILL);
		while (!site_world_restart(world, node))
			g_usleep(RETRY_MS * 1000);
	}
	assert_true(site_world_wait_ready(world, START_TIMEOUT_MS));
	assert_well(world, "first");
}

/* Guards against odd texts where nodes, and not the servers, write. */
static void test_odd_texts_of_nodes(void **state)
{
	static const char *const keys[] = {
		"toucanhook/hubs/z-a/0",
		"toucanhook/hubs/z-a/9",
		"toucanhook/hubs/",
		"toucanhook/primaries/service/group0",
		"toucanhook/primaries/service/none",
		"toucanhook/primaries/holder",
		"toucanhook/primaries/none",
		"toucanhook/leases/none/7",
		"op/none",
	};
	site_world_t *world = *state;
	g_autoptr(GPtrArray) values = odd_values();

	for (guint i = 0; i < G_N_ELEMENTS(keys); i++)
		put(world, keys[i], values->pdata[i % values->len]);
	assert_well(world, "texts");
	/* A takeover needs the records. */
	site_world_inject_fault(world, "crash?server=group0-0&for_ms=60000");
	for (uint32_t node = 0; node < NODES; node++)
		write_at(world, node);
}

#define SITE_TEST(test) \
	cmocka_unit_test_setup_teardown(test, open_site, close_site)

int main(void)
{
	const struct CMUnitTest tests[] = {
		SITE_TEST(test_odd_entries_in_watch_events),
		SITE_TEST(test_odd_ids),
		SITE_TEST(test_odd_entry_in_place_of_a_good_one),
		SITE_TEST(test_odd_entries_in_the_first_reading),
		SITE_TEST(test_odd_texts_of_nodes),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
