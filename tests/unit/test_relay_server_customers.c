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
#include "relay/relay_customer_links.h"
#include "relay/relay_server.h"
#include "relay/relay_server_private.h"

#define CUSTOMERS 6
#define ROOM 3
#define STEPS 400

/* Users at the same time; more than the room. */
#define USERS 5

/* A connection as the server sees it. */
typedef struct {
	struct fixture *fixture;
	char *user; /* second field of the start-up */
} accepted_t;

/* One user of connections of the node. */
typedef struct {
	struct fixture *fixture;
	relay_waiter_t waiter;
	relay_link_t *link;
	char *customer;
	bool busy; /* waits or runs */
	bool sent;
} user_t;

/*
 * A server that closes connections, rejects new ones at its limit, and checks
 * that each statement runs on a connection of its customer.
 */
typedef struct fixture {
	struct event_base *base;
	struct evconnlistener *listener;
	GRand *random;
	endpoint_t endpoint;
	relay_server_host_t host;
	relay_server_t *server;
	user_t users[USERS];
	const endpoint_t *hub;
	uint32_t accepted;
	uint32_t open; /* connections that were started up */
	uint32_t open_max;
	uint32_t statements;
	uint32_t wrong; /* on another customer's connection */
	bool faults;
	bool no_customers; /* the site has none */
	GString *received; /* lines of the first connection */
} fixture_t;

static void close_accepted(struct bufferevent *bev, accepted_t *accepted)
{
	accepted->fixture->accepted--;
	accepted->fixture->open -= accepted->user != NULL;
	g_free(accepted->user);
	g_free(accepted);
	bufferevent_free(bev);
}

static bool chance(fixture_t *fixture, double share)
{
	return fixture->faults && g_rand_double(fixture->random) < share;
}

static const char *answer(accepted_t *accepted, const char *line)
{
	g_auto(GStrv) fields = g_strsplit(line, " ", 0);
	fixture_t *fixture = accepted->fixture;

	g_string_append_printf(fixture->received, "%s\n", line);
	if (!strcmp(fields[0], "STARTUP")) {
		accepted->user = g_strdup(fields[2]);
		fixture->open++;
		fixture->open_max = MAX(fixture->open_max, fixture->open);
		return chance(fixture, 0.1) ? "ERROR TOOMANY full\r\n" :
					      "READY I 1.5\r\n";
	}
	if (!strcmp(fields[2], "READ")) {
		fixture->statements++;
		fixture->wrong += strcmp(fields[3], accepted->user) != 0;
	}
	return "COMPLETE -\r\nREADY I 1.5\r\n";
}

static void on_read(struct bufferevent *bev, void *context)
{
	accepted_t *accepted = context;
	char *line;

	while ((line = evbuffer_readln(bufferevent_get_input(bev), NULL,
				       EVBUFFER_EOL_CRLF))) {
		const char *text = answer(accepted, line);

		free(line);
		if (chance(accepted->fixture, 0.05)) {
			close_accepted(bev, accepted);
			return;
		}
		bufferevent_write(bev, text, strlen(text));
	}
}

static void on_event(struct bufferevent *bev, short what, void *context)
{
	close_accepted(bev, context);
}

static void on_accept(struct evconnlistener *listener, evutil_socket_t fd,
		      struct sockaddr *address, int size, void *context)
{
	fixture_t *fixture = context;
	accepted_t *accepted = g_new0(accepted_t, 1);
	struct bufferevent *bev = bufferevent_socket_new(fixture->base, fd,
							 BEV_OPT_CLOSE_ON_FREE);

	accepted->fixture = fixture;
	fixture->accepted++;
	bufferevent_setcb(bev, on_read, NULL, on_event, accepted);
	bufferevent_enable(bev, EV_READ | EV_WRITE);
}

static void on_opened(void *context, relay_server_t *server, log_point_t point,
		      uint64_t requested_ms)
{
}

static const endpoint_t *no_node(void *context, const relay_server_t *server)
{
	return NULL;
}

static const endpoint_t *find_hub(void *context, const relay_server_t *server,
				  uint32_t failures)
{
	return ((fixture_t *)context)->hub;
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
	fixture->random = g_rand_new_with_seed(3);
	fixture->received = g_string_new("");
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
		.hub = find_hub,
		.forwarding_node = no_node,
		.on_connection_failure = ignore_connection_failure,
		.context = fixture,
	};
	entry->id = g_strdup("i-1");
	entry->service = g_strdup("svc");
	entry->failure_domain = g_strdup("akl-a");
	entry->endpoint = (endpoint_t){.address = g_strdup("127.0.0.1"),
				       .port = fixture->endpoint.port};
	fixture->server = relay_server_create(&fixture->host, entry);
	relay_server_set_customer_limit(fixture->server, 0, ROOM, 2);
	for (uint32_t i = 0; i < USERS; i++)
		fixture->users[i].fixture = fixture;
	*state = fixture;
	return 0;
}

static int close_fixture(void **state)
{
	fixture_t *fixture = *state;

	relay_server_destroy(fixture->server);
	event_base_loop(fixture->base, EVLOOP_NONBLOCK);
	while (fixture->accepted)
		event_base_loop(fixture->base, EVLOOP_ONCE);
	evconnlistener_free(fixture->listener);
	event_base_free(fixture->base);
	for (uint32_t i = 0; i < USERS; i++)
		g_free(fixture->users[i].customer);
	g_rand_free(fixture->random);
	g_string_free(fixture->received, TRUE);
	g_free(fixture);
	return 0;
}

static void on_answer(void *context, const relay_answer_t *result)
{
	user_t *user = context;

	if (result->broken)
		relay_server_discard(user->fixture->server, user->link);
	else
		relay_server_release(user->fixture->server, user->link, 1);
	user->link = NULL;
	user->busy = false;
}

static void on_granted(void *context, relay_server_t *server,
		       relay_link_t *link)
{
	user_t *user = context;
	g_autofree char *text = g_strconcat(
		"READ ", user->customer ? user->customer : "toucanhook", NULL);

	user->link = link;
	relay_link_run(link, "1", (log_point_t){0}, text, on_answer, user);
}

static void on_refused(void *context, relay_server_t *server)
{
	((user_t *)context)->busy = false;
}

/* @param customer number, or -1 for a control statement */
static void start(user_t *user, int32_t customer)
{
	g_free(user->customer);
	user->customer = customer < 0 ? NULL : g_strdup_printf("c%d", customer);
	user->waiter = (relay_waiter_t){
		.customer = user->customer,
		.urgent = customer < 0 && !user->fixture->no_customers,
		.granted = on_granted,
		.refused = on_refused,
		.context = user,
	};
	user->busy = true;
	relay_server_acquire(user->fixture->server, &user->waiter);
}

static void wait_for(user_t *user)
{
	while (user->busy)
		event_base_loop(user->fixture->base, EVLOOP_ONCE);
}

/*
 * A statement must never run on another customer's connection, whatever the
 * order of customers, closed connections and rejections by the server.
 */
static void test_statement_runs_for_its_customer_alone(void **state)
{
	fixture_t *fixture = *state;

	fixture->faults = true;
	for (uint32_t i = 0; i < STEPS; i++) {
		user_t *user = &fixture->users[i % USERS];

		wait_for(user);
		start(user, g_rand_int_range(fixture->random, -1, CUSTOMERS));
	}
	for (uint32_t i = 0; i < USERS; i++)
		wait_for(&fixture->users[i]);
	assert_int_equal(fixture->wrong, 0);
	assert_true(fixture->statements > STEPS / 2);
}

/* A rejected connection costs the server a slot; the node must know its room.
 */
static void test_connections_stay_within_the_room(void **state)
{
	fixture_t *fixture = *state;

	for (uint32_t i = 0; i < STEPS; i++) {
		user_t *user = &fixture->users[i % USERS];

		wait_for(user);
		start(user, g_rand_int_range(fixture->random, 0, CUSTOMERS));
	}
	for (uint32_t i = 0; i < USERS; i++)
		wait_for(&fixture->users[i]);
	assert_int_equal(fixture->statements, STEPS);
	assert_true(relay_server_open_count(fixture->server) <= ROOM);
	assert_int_equal(fixture->open_max, ROOM);
}

/*
 * When all VMs lose power, servers count their connections for 3 s more. What
 * is idle must leave room for the VMs that are back.
 */
static void test_half_of_the_room_is_not_kept_idle(void **state)
{
	fixture_t *fixture = *state;
	relay_customer_links_t links = {
		.pool = &fixture->server->pool,
		.queue = &fixture->server->queue,
		.uses = &fixture->server->uses,
		.room = ROOM,
	};
	relay_link_t *link;

	for (uint32_t i = 0; i < STEPS; i++) {
		user_t *user = &fixture->users[i % USERS];

		wait_for(user);
		start(user, (int32_t)(i % CUSTOMERS));
	}
	for (uint32_t i = 0; i < USERS; i++)
		wait_for(&fixture->users[i]);
	assert_int_equal(relay_server_open_count(fixture->server), ROOM);
	links.now_ms = clock_boot_ms() + 1000;
	while ((link = relay_customer_links_expired(&links)))
		relay_link_pool_close(links.pool, link);
	assert_int_equal(relay_server_open_count(fixture->server), ROOM / 2);
	links.now_ms += 10000;
	while ((link = relay_customer_links_expired(&links)))
		relay_link_pool_close(links.pool, link);
	assert_int_equal(relay_server_open_count(fixture->server), 0);
}

/* A hub forwards statements of all customers over the same connections. */
static void test_forwarded_connection_serves_all_customers(void **state)
{
	fixture_t *fixture = *state;

	fixture->hub = &fixture->endpoint;
	for (int32_t i = 0; i < 10; i++) {
		start(&fixture->users[0], i % 2);
		wait_for(&fixture->users[0]);
	}
	assert_int_equal(fixture->open, 1);
	assert_true(g_str_has_prefix(fixture->received->str,
				     "STARTUP svc toucanhook i-1\n"));
}

/* Without customers any idle connection serves any statement, as before. */
static void test_without_customers_connections_are_shared(void **state)
{
	fixture_t *fixture = *state;

	fixture->no_customers = true;
	relay_server_set_limit(fixture->server, 2, 2);
	for (uint32_t i = 0; i < 20; i++) {
		user_t *user = &fixture->users[i % USERS];

		wait_for(user);
		start(user, -1);
	}
	for (uint32_t i = 0; i < USERS; i++)
		wait_for(&fixture->users[i]);
	assert_int_equal(fixture->statements, 20);
	assert_int_equal(fixture->wrong, 0);
	assert_int_equal(fixture->open_max, 2);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(
			test_statement_runs_for_its_customer_alone,
			open_fixture, close_fixture),
		cmocka_unit_test_setup_teardown(
			test_half_of_the_room_is_not_kept_idle, open_fixture,
			close_fixture),
		cmocka_unit_test_setup_teardown(
			test_connections_stay_within_the_room, open_fixture,
			close_fixture),
		cmocka_unit_test_setup_teardown(
			test_forwarded_connection_serves_all_customers,
			open_fixture, close_fixture),
		cmocka_unit_test_setup_teardown(
			test_without_customers_connections_are_shared,
			open_fixture, close_fixture),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
