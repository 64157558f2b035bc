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
#include "relay/relay_job.h"

/* A node whose only service has a primary that accepts no session. */
typedef struct {
	struct event_base *base;
	struct evconnlistener *listener;
	metrics_t *metrics;
	catalog_t *catalog;
	relay_services_t *services;
	GHashTable *regions;
	catalog_database_t *database;
	relay_job_t *job;
	bool done;
	bool failed;
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

/* @param accept NULL to accept nothing, so that connections stay silent */
static uint16_t listen_on(fixture_t *fixture, struct evconnlistener **listener,
			  evconnlistener_cb accept, void *context)
{
	struct sockaddr_in address = {.sin_family = AF_INET,
				      .sin_addr.s_addr =
					      htonl(INADDR_LOOPBACK)};
	socklen_t size = sizeof(address);

	*listener = evconnlistener_new_bind(
		fixture->base, accept, context, LEV_OPT_CLOSE_ON_FREE, 8,
		(struct sockaddr *)&address, sizeof(address));
	getsockname(evconnlistener_get_fd(*listener),
		    (struct sockaddr *)&address, &size);
	return ntohs(address.sin_port);
}

static backend_entry_t *entry_new(const char *id, const char *domain,
				  uint16_t port)
{
	backend_entry_t *entry = g_new0(backend_entry_t, 1);

	entry->id = g_strdup(id);
	entry->service = g_strdup("svc");
	entry->failure_domain = g_strdup(domain);
	entry->endpoint =
		(endpoint_t){.address = g_strdup("127.0.0.1"), .port = port};
	return entry;
}

static void add_primary(fixture_t *fixture)
{
	const uint16_t port =
		listen_on(fixture, &fixture->listener, NULL, NULL);

	relay_services_put(fixture->services, entry_new("i-1", "hlz-a", port));
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
	fixture->regions = g_hash_table_new(g_str_hash, g_str_equal);
	fixture->services = relay_services_create((relay_services_settings_t){
		.base = fixture->base,
		.metrics = fixture->metrics,
		.node = "node-1",
		.failure_domain = "akl-a",
		.regions = fixture->regions,
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
	g_hash_table_destroy(fixture->regions);
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
	fixture->failed = result->failed;
	fixture->error = result->error;
	g_strlcpy(fixture->text, result->text ? result->text : "",
		  sizeof(fixture->text));
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

/* A replica with one answer to all statements. */
typedef struct {
	struct evconnlistener *listener;
	const char *answer;
	uint32_t statements;
} replica_t;

static void on_read(struct bufferevent *bev, void *context)
{
	static const char ready[] = "READY I 1.5\r\n";
	replica_t *replica = context;
	const char *answer;
	char *line;

	while ((line = evbuffer_readln(bufferevent_get_input(bev), NULL,
				       EVBUFFER_EOL_CRLF))) {
		const bool starts = g_str_has_prefix(line, "STARTUP");

		replica->statements += !starts;
		answer = starts ? "" : replica->answer;
		bufferevent_write(bev, answer, strlen(answer));
		bufferevent_write(bev, ready, strlen(ready));
		free(line);
	}
}

static void on_closed(struct bufferevent *bev, short what, void *context)
{
	bufferevent_free(bev);
}

static void on_accept(struct evconnlistener *listener, evutil_socket_t fd,
		      struct sockaddr *address, int size, void *context)
{
	struct bufferevent *bev = bufferevent_socket_new(
		evconnlistener_get_base(listener), fd, BEV_OPT_CLOSE_ON_FREE);

	bufferevent_setcb(bev, on_read, NULL, on_closed, context);
	bufferevent_enable(bev, EV_READ | EV_WRITE);
}

static void add_replica(fixture_t *fixture, replica_t *replica, const char *id,
			const char *domain)
{
	const uint16_t port =
		listen_on(fixture, &replica->listener, on_accept, replica);

	relay_services_put(fixture->services, entry_new(id, domain, port));
}

static void wait_until_done(fixture_t *fixture)
{
	while (!fixture->done)
		event_base_loop(fixture->base, EVLOOP_ONCE);
}

/*
 * A replica is dark: the hubs answer that they have no connection to it. Reads
 * went there, being nearest, until their timeout.
 */
static void test_read_leaves_a_replica_that_is_out_of_reach(void **state)
{
	fixture_t *fixture = *state;
	replica_t dark = {.answer = "ERROR TOOMANY no connection\r\n"};
	replica_t far = {.answer = "COMPLETE -\r\n"};
	const relay_request_t request = {
		.id = "1",
		.text = "GET",
		.kind = COMMAND_READ,
		.database = fixture->database,
		.received_ms = clock_boot_ms(),
	};

	add_replica(fixture, &dark, "i-2", "akl-a");
	add_replica(fixture, &far, "i-3", "wlg-a");
	point_samples_add(relay_service_samples(relay_services_find(
				  fixture->services, "svc")),
			  clock_boot_ms(), (log_point_t){1, 5});
	fixture->database->reads = READS_BOUNDED;
	fixture->database->max_age_ms = 60000;
	fixture->database->timeout_ms = 1000;
	fixture->job =
		relay_job_start(fixture->services, &request, on_done, fixture);
	wait_until_done(fixture);
	assert_false(fixture->failed);
	assert_int_equal(dark.statements, 2);
	assert_int_equal(far.statements, 1);
	evconnlistener_free(dark.listener);
	evconnlistener_free(far.listener);
}

#define TEST(name) \
	cmocka_unit_test_setup_teardown(name, open_fixture, close_fixture)

int main(void)
{
	const struct CMUnitTest tests[] = {
		TEST(test_hopeless_statement_is_rejected_at_once),
		TEST(test_statement_that_may_be_served_waits),
		TEST(test_takeover_ends_the_wait_for_a_connection),
		TEST(test_read_leaves_a_replica_that_is_out_of_reach),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
