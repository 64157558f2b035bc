#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include "base/clock.h"
#include "world/line_client.h"
#include "world/site_world.h"

/* Timeouts with a margin for a busy machine. */
#define START_TIMEOUT_MS 30000
#define SERVE_TIMEOUT_MS 30000
#define RETRY_MS 50

/* Two hubs share one of three failure domains; the others have one each. */
#define NODES 4u

/* Rate per second and burst of the customer. */
#define QUOTA 60u
#define KEY "caller-secret-1"
#define NO_QUOTA_KEY "caller-secret-2"
#define UNKNOWN_KEY "caller-secret-9"

/* Operations of each node in the test of the whole quota. */
#define OPERATIONS 2000u

/* More than a third of what the leaders' full buckets hold together. */
#define BURST 40u

/* Before it knows the customers, a node accepts any key, without a quota. */
static bool wait_for_customers(const site_world_t *world)
{
	const uint64_t deadline_ms = clock_now_ms() + SERVE_TIMEOUT_MS;

	for (uint32_t i = 0; i < NODES; i++) {
		const uint16_t port = site_world_callers_port(world, i);
		g_autofree char *error = NULL;
		line_client_t *client;

		while ((client = line_client_open_as(port, "own-0", UNKNOWN_KEY,
						     &error))) {
			line_client_close(client);
			if (clock_now_ms() >= deadline_ms)
				return false;
			g_usleep(RETRY_MS * 1000);
		}
	}
	return true;
}

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
	site_world_inject_fault(world, "config?customer=idle&key=" NO_QUOTA_KEY
				       "&quota=0");
	site_world_inject_fault(world,
				"config?customer=acme&key=" KEY "&quota=60");
	*state = world;
	return wait_for_customers(world) ? 0 : -1;
}

static int close_site(void **state)
{
	site_world_destroy(*state);
	return 0;
}

/* Opens a session as soon as the node knows the key. */
static line_client_t *open_when_known(site_world_t *world, uint32_t node,
				      const char *key)
{
	const uint64_t deadline_ms = clock_now_ms() + SERVE_TIMEOUT_MS;

	while (clock_now_ms() < deadline_ms) {
		g_autofree char *error = NULL;
		line_client_t *client = line_client_open_as(
			site_world_callers_port(world, node), "own-0", key,
			&error);

		if (client)
			return client;
		g_usleep(RETRY_MS * 1000);
	}
	fail_msg("node %u does not know the key", node);
	return NULL;
}

static void run_until_done(line_client_t *client, const char *text)
{
	const uint64_t deadline_ms = clock_now_ms() + SERVE_TIMEOUT_MS;

	while (clock_now_ms() < deadline_ms) {
		if (line_client_run(client, text, NULL) == LINE_DONE)
			return;
		g_usleep(RETRY_MS * 1000);
	}
	fail_msg("%s: %s", text, line_client_error(client));
}

static bool is_over_quota(const line_client_t *client)
{
	return strstr(line_client_error(client), "quota");
}

/* Callers of all nodes together must not get more than the quota. */
static void test_quota_holds_over_all_nodes(void **state)
{
	line_client_t *clients[NODES];
	const uint64_t start_ms = clock_now_ms();
	uint32_t done = 0;
	uint32_t rejected = 0;
	uint64_t elapsed_ms;

	for (uint32_t i = 0; i < NODES; i++) {
		clients[i] = open_when_known(*state, i, KEY);
		run_until_done(clients[i], "WRITE item data");
		done++;
	}
	for (uint32_t i = 0; i < OPERATIONS * NODES; i++) {
		line_client_t *client = clients[i % NODES];

		if (line_client_run(client, "READ item", NULL) == LINE_DONE)
			done++;
		else if (is_over_quota(client))
			rejected++;
	}
	elapsed_ms = clock_now_ms() - start_ms;
	print_message("done %u, rejected %u in %u ms\n", done, rejected,
		      (uint32_t)elapsed_ms);
	assert_in_range(done, NODES,
			(QUOTA * elapsed_ms / 1000 + QUOTA) * 11 / 10 + 20);
	assert_true(rejected > 0);
	for (uint32_t i = 0; i < NODES; i++)
		line_client_close(clients[i]);
}

/* One node must get what the leaders of other domains have. */
static void test_one_node_gets_the_whole_quota(void **state)
{
	line_client_t *client = open_when_known(*state, 1, KEY);
	uint32_t rejected = 0;

	/* All buckets fill in 1.2 s. */
	g_usleep(3 * G_USEC_PER_SEC);
	for (uint32_t i = 0; i < BURST; i++)
		if (line_client_run(client, "READ item", NULL) != LINE_DONE)
			rejected += is_over_quota(client);
	assert_int_equal(rejected, 0);
	line_client_close(client);
}

/* The answers must promise that nothing was run, in the words for it. */
static void test_rejections_state_that_nothing_was_run(void **state)
{
	line_client_t *client = open_when_known(*state, 0, NO_QUOTA_KEY);

	assert_int_equal(line_client_run(client, "READ item", NULL),
			 LINE_NO_EFFECT);
	assert_true(g_str_has_prefix(line_client_error(client), "BUSY"));
	assert_non_null(strstr(line_client_error(client), "retry after"));
	assert_int_equal(line_client_status(client), 'I');
	assert_int_equal(line_client_run(client, "BEGIN", NULL), LINE_DONE);
	assert_int_equal(line_client_run(client, "WRITE item other", NULL),
			 LINE_NO_EFFECT);
	assert_true(g_str_has_prefix(line_client_error(client), "ABORTED"));
	assert_int_equal(line_client_status(client), 'E');
	assert_int_equal(line_client_run(client, "ROLLBACK", NULL), LINE_DONE);
	assert_int_equal(line_client_run(client, "BEGIN", NULL), LINE_DONE);
	assert_int_equal(line_client_run(client, "COMMIT", NULL),
			 LINE_NO_EFFECT);
	assert_int_equal(line_client_status(client), 'I');
	line_client_close(client);
	assert_true(site_world_logs_contain(*state, "quota_rejected"));
}

/* A transaction is one operation: its further statements need no token. */
static void test_transaction_needs_one_token(void **state)
{
	line_client_t *client = open_when_known(*state, 2, KEY);

	run_until_done(client, "READ item");
	run_until_done(client, "BEGIN");
	run_until_done(client, "READ item");
	for (uint32_t i = 0; i < 2 * QUOTA; i++)
		assert_int_equal(line_client_run(client, "READ item", NULL),
				 LINE_DONE);
	assert_int_equal(line_client_run(client, "COMMIT", NULL), LINE_DONE);
	line_client_close(client);
}

/* A caller that does not wait for its answer must not harm its node. */
static void test_callers_may_disconnect_while_waiting(void **state)
{
	line_client_t *client;

	for (uint32_t i = 0; i < 200; i++) {
		client = open_when_known(*state, i % NODES, KEY);
		line_client_send(client, "READ item");
		line_client_close(client);
	}
	client = open_when_known(*state, 0, KEY);
	run_until_done(client, "READ item");
	line_client_close(client);
	for (uint32_t i = 0; i < NODES; i++)
		assert_true(site_world_is_running(*state, i));
}

/* Each leader must work again as soon as it has read its record. */
static void test_leaders_return_after_a_loss_of_power(void **state)
{
	const uint64_t deadline_ms = clock_now_ms() + SERVE_TIMEOUT_MS;
	line_client_t *client;

	for (uint32_t i = 0; i < NODES; i++)
		site_world_signal(*state, i, SIGKILL);
	for (uint32_t i = 0; i < NODES; i++)
		while (!site_world_restart(*state, i)) {
			assert_true(clock_now_ms() < deadline_ms);
			g_usleep(RETRY_MS * 1000);
		}
	for (uint32_t i = 0; i < NODES; i++) {
		client = open_when_known(*state, i, KEY);
		run_until_done(client, "READ item");
		line_client_close(client);
	}
}

/* A leader that was killed and one that leaves must be followed by one. */
static void test_leaders_return_after_a_restart(void **state)
{
	static const int signals[NODES] = {SIGTERM, SIGTERM, SIGKILL, SIGTERM};

	for (uint32_t i = 0; i < NODES; i++) {
		const uint64_t deadline_ms = clock_now_ms() + SERVE_TIMEOUT_MS;
		line_client_t *client;

		site_world_signal(*state, i, signals[i]);
		while (!site_world_restart(*state, i)) {
			assert_true(clock_now_ms() < deadline_ms);
			g_usleep(RETRY_MS * 1000);
		}
		client = open_when_known(*state, i, KEY);
		run_until_done(client, "READ item");
		line_client_close(client);
	}
	assert_true(site_world_logs_contain(*state, "released"));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_quota_holds_over_all_nodes),
		cmocka_unit_test(test_one_node_gets_the_whole_quota),
		cmocka_unit_test(test_rejections_state_that_nothing_was_run),
		cmocka_unit_test(test_transaction_needs_one_token),
		cmocka_unit_test(test_callers_may_disconnect_while_waiting),
		cmocka_unit_test(test_leaders_return_after_a_loss_of_power),
		cmocka_unit_test(test_leaders_return_after_a_restart),
	};

	return cmocka_run_group_tests(tests, open_site, close_site);
}
