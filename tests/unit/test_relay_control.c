#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <arpa/inet.h>
#include <cmocka.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>

#include "base/clock.h"
#include "platform/line_codec.h"
#include "relay/relay_control.h"

#define TIMEOUT_MS 1000

/*
 * A server whose start-up answer the test sets, and another node that has no
 * connection to forward over.
 */
typedef struct {
	struct event_base *base;
	struct evconnlistener *server;
	struct evconnlistener *forwarding_node;
	relay_services_t *services;
	const char *server_answer;
	const char *forwarding_answer;
	bool done;
	relay_control_answer_t answer;
} fixture_t;

/* Sends the first line on start-up and the rest in reply to a request. */
static void on_read(struct bufferevent *bev, void *context)
{
	const char *answer = context;
	const size_t size = strcspn(answer, "\n") + 1;
	char *line;

	while ((line = evbuffer_readln(bufferevent_get_input(bev), NULL,
				       EVBUFFER_EOL_CRLF))) {
		if (g_str_has_prefix(line, "STARTUP"))
			bufferevent_write(bev, answer, size);
		else
			bufferevent_write(bev, answer + size,
					  strlen(answer + size));
		free(line);
	}
}

static void answer_with(struct evconnlistener *listener, evutil_socket_t fd,
			const char *answer)
{
	struct bufferevent *bev = bufferevent_socket_new(
		evconnlistener_get_base(listener), fd, BEV_OPT_CLOSE_ON_FREE);

	bufferevent_setcb(bev, on_read, NULL, NULL, (void *)answer);
	bufferevent_enable(bev, EV_READ | EV_WRITE);
}

static void on_server(struct evconnlistener *listener, evutil_socket_t fd,
		      struct sockaddr *address, int size, void *context)
{
	answer_with(listener, fd, ((fixture_t *)context)->server_answer);
}

static void on_forwarding_node(struct evconnlistener *listener,
			       evutil_socket_t fd, struct sockaddr *address,
			       int size, void *context)
{
	answer_with(listener, fd, ((fixture_t *)context)->forwarding_answer);
}

static struct evconnlistener *
listen_to(fixture_t *fixture, evconnlistener_cb accept, endpoint_t *endpoint)
{
	struct sockaddr_in address = {.sin_family = AF_INET,
				      .sin_addr.s_addr =
					      htonl(INADDR_LOOPBACK)};
	socklen_t size = sizeof(address);
	struct evconnlistener *listener = evconnlistener_new_bind(
		fixture->base, accept, fixture, LEV_OPT_CLOSE_ON_FREE, 8,
		(struct sockaddr *)&address, sizeof(address));

	getsockname(evconnlistener_get_fd(listener),
		    (struct sockaddr *)&address, &size);
	*endpoint = (endpoint_t){.address = g_strdup("127.0.0.1"),
				 .port = ntohs(address.sin_port)};
	return listener;
}

static void ignore_failure(void *context, const char *service,
			   const char *server)
{
}

static GPtrArray *peers_new(endpoint_t forwarding)
{
	GPtrArray *peers =
		g_ptr_array_new_with_free_func((GDestroyNotify)relay_peer_free);
	relay_peer_t *peer = g_new0(relay_peer_t, 1);

	peer->name = g_strdup("node-2");
	peer->failure_domain = g_strdup("akl-a");
	peer->forwarding = forwarding;
	g_ptr_array_add(peers, peer);
	return peers;
}

static const endpoint_t *no_hub(void *context, const char *server,
				uint32_t failures)
{
	return NULL;
}

static int open_fixture(void **state)
{
	fixture_t *fixture = g_new0(fixture_t, 1);
	backend_entry_t *entry = g_new0(backend_entry_t, 1);
	endpoint_t forwarding;

	fixture->base = event_base_new();
	fixture->server_answer = "READY I 1.5\r\n";
	fixture->forwarding_answer = "ERROR BUSY no connection\r\n";
	fixture->services = relay_services_create((relay_services_settings_t){
		.base = fixture->base,
		.codec = &line_codec,
		.node = "node-1",
		.failure_domain = "akl-a",
		.hub = no_hub,
		.on_connection_failure = ignore_failure,
	});
	relay_services_set_hub(fixture->services, true);
	entry->id = g_strdup("i-1");
	entry->service = g_strdup("svc");
	entry->failure_domain = g_strdup("akl-a");
	fixture->server = listen_to(fixture, on_server, &entry->endpoint);
	fixture->forwarding_node =
		listen_to(fixture, on_forwarding_node, &forwarding);
	relay_services_put(fixture->services, entry);
	relay_services_set_nodes(fixture->services, peers_new(forwarding));
	*state = fixture;
	return 0;
}

static int close_fixture(void **state)
{
	fixture_t *fixture = *state;

	relay_services_destroy(fixture->services);
	event_base_loop(fixture->base, EVLOOP_NONBLOCK);
	evconnlistener_free(fixture->server);
	evconnlistener_free(fixture->forwarding_node);
	event_base_free(fixture->base);
	g_free(fixture);
	return 0;
}

static void on_done(void *context, const relay_control_answer_t *answer)
{
	fixture_t *fixture = context;

	fixture->answer = *answer;
	fixture->done = true;
}

static relay_control_result_t query_status(fixture_t *fixture)
{
	fixture->done = false;
	relay_control_run(relay_services_find(fixture->services, "svc"), "i-1",
			  RELAY_CONTROL_STATUS, 0, TIMEOUT_MS, on_done,
			  fixture);
	while (!fixture->done)
		event_base_loop(fixture->base, EVLOOP_ONCE);
	return fixture->answer.result;
}

/*
 * Guards against taking a server at its connection limit for a dead one. After
 * a power loss of all nodes, the server counts their old connections for some
 * seconds and refuses new ones, and no other node has a connection either.
 */
static void test_a_full_server_is_not_unreachable(void **state)
{
	fixture_t *fixture = *state;

	fixture->server_answer = "ERROR TOOMANY 61\r\n";
	for (int i = 0; i < 6; i++)
		assert_int_equal(query_status(fixture), RELAY_CONTROL_BUSY);
}

/*
 * The same failure if the other node accepts the connection but refuses the
 * request.
 */
static void test_refused_forwarding_is_not_unreachable(void **state)
{
	fixture_t *fixture = *state;

	fixture->server_answer = "ERROR TOOMANY 61\r\n";
	fixture->forwarding_answer = "READY I -\r\nERROR BUSY no connection\r\n"
				     "READY I -\r\n";
	for (int i = 0; i < 6; i++)
		assert_int_equal(query_status(fixture), RELAY_CONTROL_BUSY);
}

/*
 * The answer to an older watch may arrive after that to a newer read. It must
 * not move the time of verification back: connections opened in between stay
 * verified.
 */
static void test_late_watch_keeps_newer_verification(void **state)
{
	fixture_t *fixture = *state;
	const relay_service_t *service =
		relay_services_find(fixture->services, "svc");

	relay_services_records_unchanged(fixture->services, 10, 5000);
	relay_services_records_unchanged(fixture->services, 11, 1000);
	assert_int_equal(relay_service_verified_ms(service), 5000);
}

/*
 * A lagging replica answers a read and is promoted before the answer arrives.
 * The position in the answer is older than what the new primary has and must
 * not become a sample of the primary's log.
 */
static void test_answer_from_before_a_promotion_is_no_sample(void **state)
{
	fixture_t *fixture = *state;
	relay_service_t *service =
		relay_services_find(fixture->services, "svc");
	relay_server_t *server = relay_service_server(service, "i-1");
	node_lease_t *lease = relay_services_lease(fixture->services);
	const uint64_t asked_ms = clock_boot_ms() - 20;
	log_point_t point;

	lease->lease = 1;
	lease->registered_at = 5;
	node_lease_renewed(lease, clock_boot_ms());
	relay_service_set_primary(service, 2, "i-1", false, 10);
	assert_ptr_equal(relay_service_primary(service), server);
	relay_service_record_point(service, server, (log_point_t){1, 52},
				   asked_ms);
	assert_false(
		point_samples_since(relay_service_samples(service), 0, &point));
	relay_service_record_point(service, server, (log_point_t){1, 200},
				   clock_boot_ms());
	assert_true(
		point_samples_since(relay_service_samples(service), 0, &point));
	assert_int_equal(point.position, 200);
}

static void test_a_closed_port_is_unreachable(void **state)
{
	fixture_t *fixture = *state;

	evconnlistener_free(fixture->forwarding_node);
	evconnlistener_free(fixture->server);
	assert_int_equal(query_status(fixture), RELAY_CONTROL_UNREACHABLE);
	fixture->server = listen_to(fixture, on_server, &(endpoint_t){0});
	fixture->forwarding_node =
		listen_to(fixture, on_forwarding_node, &(endpoint_t){0});
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(
			test_a_full_server_is_not_unreachable, open_fixture,
			close_fixture),
		cmocka_unit_test_setup_teardown(
			test_refused_forwarding_is_not_unreachable,
			open_fixture, close_fixture),
		cmocka_unit_test_setup_teardown(
			test_late_watch_keeps_newer_verification, open_fixture,
			close_fixture),
		cmocka_unit_test_setup_teardown(
			test_answer_from_before_a_promotion_is_no_sample,
			open_fixture, close_fixture),
		cmocka_unit_test_setup_teardown(
			test_a_closed_port_is_unreachable, open_fixture,
			close_fixture),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
