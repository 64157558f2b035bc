#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "daemon/operators_task.h"
#include "transport/http_client.h"

typedef struct {
	uint32_t drains;
	uint32_t promotions;
	char server[64];
	bool healthy;
} node_state_t;

typedef struct {
	struct event_base *base;
	metrics_t *metrics;
	operators_task_t *operators;
	http_client_t *client;
	node_state_t node;
	bool answered;
	uint32_t status;
	char *body;
} fixture_t;

static char *node_status(void *context)
{
	return g_strdup("{\"node\":\"akl-1\"}");
}

static bool node_healthy(void *context)
{
	return ((node_state_t *)context)->healthy;
}

static void node_drain(void *context)
{
	((node_state_t *)context)->drains++;
}

static operators_answer_t node_promote(void *context, const char *database,
				       const char *server)
{
	node_state_t *node = context;

	if (strcmp(database, "pairings"))
		return OPERATORS_UNKNOWN_NAME;
	node->promotions++;
	g_strlcpy(node->server, server ? server : "", sizeof(node->server));
	return OPERATORS_ACCEPTED;
}

static int setup(void **state)
{
	fixture_t *fixture = g_new0(fixture_t, 1);
	const settings_t settings = {.operators = {"127.0.0.1", 0}};
	const operators_handlers_t handlers = {
		node_status,  node_healthy,   node_drain,
		node_promote, &fixture->node,
	};

	fixture->base = event_base_new();
	fixture->metrics = metrics_create(16);
	fixture->operators = operators_task_create(
		fixture->base, fixture->metrics, &settings, handlers, NULL);
	assert_non_null(fixture->operators);
	fixture->client =
		http_client_create(fixture->base, "127.0.0.1",
				   operators_task_port(fixture->operators));
	*state = fixture;
	return 0;
}

static int teardown(void **state)
{
	fixture_t *fixture = *state;

	http_client_destroy(fixture->client);
	operators_task_destroy(fixture->operators);
	metrics_destroy(fixture->metrics);
	event_base_free(fixture->base);
	g_free(fixture->body);
	g_free(fixture);
	return 0;
}

static void on_done(void *context, const http_response_t *response)
{
	fixture_t *fixture = context;

	fixture->answered = true;
	fixture->status = response->status;
	g_free(fixture->body);
	fixture->body =
		g_strndup((const char *)response->bytes, response->size_bytes);
}

static uint32_t send_request(fixture_t *fixture, http_method_t method,
			     const char *path)
{
	fixture->answered = false;
	http_client_send(fixture->client, method, path,
			 method == HTTP_GET ? NULL : (const uint8_t *)"", 0,
			 60000, on_done, fixture, NULL);
	while (!fixture->answered)
		event_base_loop(fixture->base, EVLOOP_ONCE);
	return fixture->status;
}

static void test_reports_state(void **state)
{
	fixture_t *fixture = *state;

	assert_int_equal(send_request(fixture, HTTP_GET, "/status"), 200);
	assert_string_equal(fixture->body, "{\"node\":\"akl-1\"}");
	assert_int_equal(send_request(fixture, HTTP_GET, "/healthz"), 503);
	fixture->node.healthy = true;
	assert_int_equal(send_request(fixture, HTTP_GET, "/healthz"), 200);
	assert_int_equal(send_request(fixture, HTTP_GET, "/metrics"), 200);
	assert_non_null(strstr(fixture->body,
			       "toucanhook_operators_requests_total{"
			       "path=\"/status\"} 1\n"));
	assert_int_equal(send_request(fixture, HTTP_GET, "/other"), 404);
}

static void test_orders_need_post_and_confirmation(void **state)
{
	fixture_t *fixture = *state;

	assert_int_equal(send_request(fixture, HTTP_GET, "/drain"), 405);
	assert_int_equal(fixture->node.drains, 0);
	assert_int_equal(send_request(fixture, HTTP_POST, "/drain"), 202);
	assert_int_equal(fixture->node.drains, 1);
	assert_int_equal(send_request(fixture, HTTP_POST, "/promote"), 400);
	assert_int_equal(
		send_request(fixture, HTTP_POST, "/promote?database=pairings"),
		400);
	assert_int_equal(
		send_request(fixture, HTTP_POST,
			     "/promote?database=pairings&confirm=pairing"),
		400);
	assert_int_equal(
		send_request(fixture, HTTP_GET,
			     "/promote?database=pairings&confirm=pairings"),
		405);
	assert_int_equal(fixture->node.promotions, 0);
	assert_int_equal(
		send_request(
			fixture, HTTP_POST,
			"/promote?database=pairings&confirm=pairings&server=p-wlg"),
		202);
	assert_int_equal(fixture->node.promotions, 1);
	assert_string_equal(fixture->node.server, "p-wlg");
	assert_int_equal(send_request(fixture, HTTP_POST,
				      "/promote?database=none&confirm=none"),
			 404);
}

/* Names and paths were taken up to the NUL; see transport/http_address.h. */
static void test_address_with_nul_is_refused(void **state)
{
	static const char *const paths[] = {
		"/drain%00x",
		"/promote%00?database=pairings&confirm=pairings",
		"/promote?database=pairings%00x&confirm=pairings",
		"/promote?database=pairings&confirm=pairings%00",
		"/promote?database=pairings&confirm=pairings&server=p%00x",
		"/promote?database=pairings&confirm=pairings&x=%00",
	};
	fixture_t *fixture = *state;

	for (size_t i = 0; i < G_N_ELEMENTS(paths); i++)
		assert_int_equal(send_request(fixture, HTTP_POST, paths[i]),
				 400);
	assert_int_equal(fixture->node.drains, 0);
	assert_int_equal(fixture->node.promotions, 0);
	assert_int_equal(
		send_request(fixture, HTTP_POST,
			     "/promote?database=pairings&confirm=pairings"
			     "&server=a%2500"),
		202);
	assert_string_equal(fixture->node.server, "a%00");
}

static void test_address_in_use_is_an_error(void **state)
{
	fixture_t *fixture = *state;
	const settings_t settings = {
		.operators = {"127.0.0.1",
			      operators_task_port(fixture->operators)}};
	g_autoptr(GError) error = NULL;

	assert_null(operators_task_create(fixture->base, fixture->metrics,
					  &settings, (operators_handlers_t){0},
					  &error));
	assert_non_null(strstr(error->message, "cannot listen on 127.0.0.1"));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_reports_state, setup,
						teardown),
		cmocka_unit_test_setup_teardown(
			test_orders_need_post_and_confirmation, setup,
			teardown),
		cmocka_unit_test_setup_teardown(
			test_address_with_nul_is_refused, setup, teardown),
		cmocka_unit_test_setup_teardown(test_address_in_use_is_an_error,
						setup, teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
