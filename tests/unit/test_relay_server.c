#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <arpa/inet.h>
#include <cmocka.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>

#include "platform/line_codec.h"
#include "relay/relay_server.h"

/* Longer than the time after which a server counts as cut off. */
#define UNRESPONSIVE_MS 600

/*
 * A server that accepts connections and answers no statement; it also stands
 * for the forwarding node.
 */
typedef struct {
	struct event_base *base;
	struct evconnlistener *listener;
	endpoint_t endpoint;
	relay_server_host_t host;
	relay_server_t *server;
	relay_link_t *granted;
} fixture_t;

static void on_read(struct bufferevent *bev, void *context)
{
	static const char ready[] = "READY I 1.5\r\n";
	struct evbuffer *input = bufferevent_get_input(bev);
	char *line = evbuffer_readln(input, NULL, EVBUFFER_EOL_CRLF);

	if (line && g_str_has_prefix(line, "STARTUP"))
		bufferevent_write(bev, ready, strlen(ready));
	free(line);
}

static void on_accept(struct evconnlistener *listener, evutil_socket_t fd,
		      struct sockaddr *address, int size, void *context)
{
	struct bufferevent *bev = bufferevent_socket_new(
		evconnlistener_get_base(listener), fd, BEV_OPT_CLOSE_ON_FREE);

	bufferevent_setcb(bev, on_read, NULL, NULL, NULL);
	bufferevent_enable(bev, EV_READ | EV_WRITE);
}

static void on_opened(void *context, relay_server_t *server, log_point_t point,
		      uint64_t asked_ms)
{
}

static const endpoint_t *find_forwarding_node(void *context,
					      const relay_server_t *server)
{
	return &((fixture_t *)context)->endpoint;
}

static const endpoint_t *no_hub(void *context, const relay_server_t *server,
				uint32_t failures)
{
	return NULL;
}

static void ignore_connection_failure(void *context, relay_server_t *server)
{
}

static int open_fixture(void **state)
{
	fixture_t *fixture = g_new0(fixture_t, 1);
	backend_entry_t *entry = g_new0(backend_entry_t, 1);
	struct sockaddr_in address = {.sin_family = AF_INET,
				      .sin_addr.s_addr =
					      htonl(INADDR_LOOPBACK)};
	socklen_t size = sizeof(address);

	fixture->base = event_base_new();
	fixture->listener = evconnlistener_new_bind(
		fixture->base, on_accept, fixture, LEV_OPT_CLOSE_ON_FREE, 8,
		(struct sockaddr *)&address, sizeof(address));
	getsockname(evconnlistener_get_fd(fixture->listener),
		    (struct sockaddr *)&address, &size);
	fixture->endpoint = (endpoint_t){.address = "127.0.0.1",
					 .port = ntohs(address.sin_port)};
	fixture->host = (relay_server_host_t){
		.base = fixture->base,
		.codec = &line_codec,
		.opened = on_opened,
		.hub = no_hub,
		.forwarding_node = find_forwarding_node,
		.on_connection_failure = ignore_connection_failure,
		.context = fixture,
	};
	entry->id = g_strdup("i-1");
	entry->service = g_strdup("svc");
	entry->failure_domain = g_strdup("akl-a");
	entry->endpoint = (endpoint_t){.address = g_strdup("127.0.0.1"),
				       .port = fixture->endpoint.port};
	fixture->server = relay_server_create(&fixture->host, entry);
	relay_server_set_limit(fixture->server, 2, 2);
	*state = fixture;
	return 0;
}

static int close_fixture(void **state)
{
	fixture_t *fixture = *state;

	relay_server_destroy(fixture->server);
	event_base_loop(fixture->base, EVLOOP_NONBLOCK);
	evconnlistener_free(fixture->listener);
	event_base_free(fixture->base);
	g_free(fixture);
	return 0;
}

static void on_granted(void *context, relay_server_t *server,
		       relay_link_t *link)
{
	((fixture_t *)context)->granted = link;
}

static void on_refused(void *context, relay_server_t *server)
{
	fail();
}

static relay_link_t *acquire_link(fixture_t *fixture)
{
	relay_waiter_t waiter = {.granted = on_granted,
				 .refused = on_refused,
				 .context = fixture};

	fixture->granted = NULL;
	relay_server_acquire(fixture->server, &waiter);
	while (!fixture->granted)
		event_base_loop(fixture->base, EVLOOP_ONCE);
	return fixture->granted;
}

/*
 * A partition drops packets: open connections hang and new ones would hang, so
 * that the server must be reached through another node.
 */
static void test_cut_off_server_is_reached_through_a_node(void **state)
{
	fixture_t *fixture = *state;
	relay_link_t *link = acquire_link(fixture);

	assert_false(relay_link_is_forwarded(link));
	g_usleep(UNRESPONSIVE_MS * 1000);
	relay_server_record_timeout(fixture->server);
	relay_server_record_timeout(fixture->server);
	relay_server_discard(fixture->server, link);
	link = acquire_link(fixture);
	assert_true(relay_link_is_forwarded(link));
	relay_server_discard(fixture->server, link);
}

/* A slow server that has sent data recently must not count as cut off. */
static void test_slow_server_is_not_cut_off(void **state)
{
	fixture_t *fixture = *state;
	relay_link_t *link = acquire_link(fixture);

	relay_server_record_timeout(fixture->server);
	relay_server_record_timeout(fixture->server);
	relay_server_discard(fixture->server, link);
	link = acquire_link(fixture);
	assert_false(relay_link_is_forwarded(link));
	relay_server_discard(fixture->server, link);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(
			test_cut_off_server_is_reached_through_a_node,
			open_fixture, close_fixture),
		cmocka_unit_test_setup_teardown(test_slow_server_is_not_cut_off,
						open_fixture, close_fixture),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
