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
#include "relay/relay_quota.h"

/* Upper bound that also holds on a busy machine. */
#define TIMEOUT_MS 10000

#define TICKETS_MAX 8u

/* A quota leader of the test. */
typedef struct {
	struct evconnlistener *listener;
	endpoint_t endpoint;
	const char *row; /* its answer to requests, NULL for silence */
	bool refuses;	 /* refuses connections */
	uint32_t requests;
	uint32_t loans;		     /* requests of another leader */
	char last[64];		     /* text of the last request */
	struct evbuffer *unanswered; /* where its answer is expected */
} leader_t;

/* The end of one operation's wait. */
typedef struct {
	bool ended;
	bool admitted;
	uint32_t retry_after_ms;
} outcome_t;

typedef struct {
	struct event_base *base;
	GHashTable *regions;
	metrics_t *metrics;
	catalog_t *catalog;
	relay_services_t *services;
	relay_quota_leader_t *own;
	relay_quota_t *quota;
	leader_t near; /* of the node's domain, "node-2" */
	leader_t far;  /* of another, "node-3" */
	outcome_t outcomes[TICKETS_MAX];
} fixture_t;

static void answer(leader_t *leader, const char *row)
{
	evbuffer_add_printf(leader->unanswered,
			    "DATAROW %s\r\nCOMPLETE -\r\nREADY I -\r\n", row);
}

static void on_read(struct bufferevent *bev, void *context)
{
	leader_t *leader = context;
	struct evbuffer *out = bufferevent_get_output(bev);
	char *line;

	while ((line = evbuffer_readln(bufferevent_get_input(bev), NULL,
				       EVBUFFER_EOL_CRLF))) {
		if (g_str_has_prefix(line, "STARTUP")) {
			evbuffer_add_printf(out, "%s",
					    leader->refuses ?
						    "ERROR TOOMANY no\r\n" :
						    "READY I -\r\n");
		} else {
			if (g_str_has_suffix(line, " LOAN"))
				leader->loans++;
			else
				leader->requests++;
			g_strlcpy(leader->last, line, sizeof(leader->last));
			leader->unanswered = out;
			if (leader->row)
				answer(leader, leader->row);
		}
		free(line);
	}
}

static void on_event(struct bufferevent *bev, short what, void *context)
{
	bufferevent_free(bev);
}

static void on_accept(struct evconnlistener *listener, evutil_socket_t fd,
		      struct sockaddr *address, int size, void *context)
{
	struct bufferevent *bev = bufferevent_socket_new(
		evconnlistener_get_base(listener), fd, BEV_OPT_CLOSE_ON_FREE);

	bufferevent_setcb(bev, on_read, NULL, on_event, context);
	bufferevent_enable(bev, EV_READ | EV_WRITE);
}

static void open_leader(fixture_t *fixture, leader_t *leader)
{
	static char loopback[] = "127.0.0.1";
	struct sockaddr_in address = {.sin_family = AF_INET,
				      .sin_addr.s_addr =
					      htonl(INADDR_LOOPBACK)};
	socklen_t size = sizeof(address);

	leader->listener = evconnlistener_new_bind(
		fixture->base, on_accept, leader, LEV_OPT_CLOSE_ON_FREE, 8,
		(struct sockaddr *)&address, sizeof(address));
	getsockname(evconnlistener_get_fd(leader->listener),
		    (struct sockaddr *)&address, &size);
	leader->endpoint = (endpoint_t){.address = loopback,
					.port = ntohs(address.sin_port)};
}

static const endpoint_t *endpoint_of(void *context, const char *hub)
{
	fixture_t *fixture = context;

	return !strcmp(hub, "node-2") ? &fixture->near.endpoint :
	       !strcmp(hub, "node-3") ? &fixture->far.endpoint :
					NULL;
}

static bool is_hub(void *context, const char *node)
{
	return true;
}

static uint64_t heard_ms(void *context, const char *node)
{
	return clock_boot_ms();
}

static int open_fixture(void **state)
{
	static char domains[][8] = {"akl-a", "wlg-a"};
	static char regions[][8] = {"akl", "wlg"};
	fixture_t *fixture = g_new0(fixture_t, 1);
	catalog_customer_t *customer = catalog_customer_new("acme");

	fixture->base = event_base_new();
	fixture->regions = g_hash_table_new(g_str_hash, g_str_equal);
	for (guint i = 0; i < G_N_ELEMENTS(domains); i++)
		g_hash_table_insert(fixture->regions, domains[i], regions[i]);
	fixture->metrics = metrics_create(16);
	fixture->services = relay_services_create((relay_services_settings_t){
		.base = fixture->base,
		.codec = &line_codec,
		.metrics = fixture->metrics,
		.node = "node-1",
		.failure_domain = "akl-a",
		.regions = fixture->regions,
	});
	fixture->own = relay_quota_leader_create(
		fixture->base, NULL, "node-1", "akl-a", (quota_share_t){2, 0},
		(relay_quota_leader_handlers_t){.is_hub = is_hub,
						.heard_ms = heard_ms});
	fixture->quota = relay_quota_create(
		fixture->services, fixture->own,
		(relay_quota_handlers_t){.endpoint = endpoint_of,
					 .context = fixture});
	customer->has_quota = true;
	customer->rate_per_s = 1;
	customer->burst = 30;
	fixture->catalog = catalog_new();
	catalog_add_customer(fixture->catalog, customer);
	relay_quota_configure(fixture->quota, fixture->catalog);
	open_leader(fixture, &fixture->near);
	open_leader(fixture, &fixture->far);
	*state = fixture;
	return 0;
}

static int close_fixture(void **state)
{
	fixture_t *fixture = *state;

	relay_quota_destroy(fixture->quota);
	relay_quota_leader_destroy(fixture->own);
	relay_services_destroy(fixture->services);
	evconnlistener_free(fixture->near.listener);
	evconnlistener_free(fixture->far.listener);
	event_base_loop(fixture->base, EVLOOP_NONBLOCK);
	event_base_free(fixture->base);
	metrics_destroy(fixture->metrics);
	catalog_unref(fixture->catalog);
	g_hash_table_destroy(fixture->regions);
	g_free(fixture);
	return 0;
}

static void set_record(fixture_t *fixture, const char *domain,
		       const char *value)
{
	g_autofree char *key = g_strconcat(RELAY_QUOTA_PREFIX, domain, NULL);
	g_autoptr(GBytes) bytes = g_bytes_new(value, strlen(value));
	const kv_item_t item = {.key = key, .value = bytes, .revision = 1};

	relay_quota_key_changed(fixture->quota, &item);
}

static void on_done(void *context, bool admitted, uint32_t retry_after_ms)
{
	outcome_t *outcome = context;

	assert_false(outcome->ended);
	*outcome = (outcome_t){.ended = true,
			       .admitted = admitted,
			       .retry_after_ms = retry_after_ms};
}

static relay_quota_ticket_t *acquire(fixture_t *fixture, uint32_t i)
{
	return relay_quota_acquire(fixture->quota, "acme", "s1", on_done,
				   &fixture->outcomes[i]);
}

static void run_until_ended(fixture_t *fixture, uint32_t i)
{
	const uint64_t end_ms = clock_boot_ms() + TIMEOUT_MS;

	while (!fixture->outcomes[i].ended && clock_boot_ms() < end_ms)
		event_base_loop(fixture->base, EVLOOP_ONCE);
	assert_true(fixture->outcomes[i].ended);
}

static void run_until_asked(fixture_t *fixture, const leader_t *leader)
{
	const uint64_t end_ms = clock_boot_ms() + TIMEOUT_MS;

	while (!leader->requests && clock_boot_ms() < end_ms)
		event_base_loop(fixture->base, EVLOOP_ONCE);
	assert_int_equal(leader->requests, 1);
}

/* A burst must not cost a message for each of its operations. */
static void test_waiting_operations_share_a_request(void **state)
{
	fixture_t *fixture = *state;

	fixture->near.row = "2 700";
	set_record(fixture, "akl-a", "node-2 1 leading");
	for (uint32_t i = 0; i < 3; i++)
		assert_non_null(acquire(fixture, i));
	for (uint32_t i = 0; i < 3; i++)
		run_until_ended(fixture, i);
	assert_string_equal(fixture->near.last, "QUERY - ADMIT acme 3");
	assert_true(fixture->outcomes[0].admitted);
	assert_true(fixture->outcomes[1].admitted);
	assert_false(fixture->outcomes[2].admitted);
	assert_in_range(fixture->outcomes[2].retry_after_ms, 1, 1400);
	/* It is known that there is no token now. */
	assert_non_null(acquire(fixture, 3));
	run_until_ended(fixture, 3);
	assert_int_equal(fixture->near.requests, 1);
}

/* A retry before a token can be had is lost; callers have few. */
static void test_time_to_retry_is_as_expected_and_bounded(void **state)
{
	static const struct {
		const char *row;
		uint32_t min_ms;
		uint32_t max_ms;
	} cases[] = {
		{"0 20 0 600", 500, 1000},
		{"0 20 0 1000", 900, 1000},
		{"0 5000 0 1000", 900, 1000},
	};

	for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
		void *other;
		fixture_t *fixture;

		open_fixture(&other);
		fixture = other;
		fixture->near.row = cases[i].row;
		set_record(fixture, "akl-a", "node-2 1 leading");
		assert_non_null(acquire(fixture, 0));
		run_until_ended(fixture, 0);
		assert_in_range(fixture->outcomes[0].retry_after_ms,
				cases[i].min_ms, cases[i].max_ms);
		close_fixture(&other);
	}
}

static void test_other_domain_is_asked_next(void **state)
{
	static const char *const rows[] = {"0 500", "0 0", NULL};

	for (guint i = 0; i < G_N_ELEMENTS(rows); i++) {
		void *other;
		fixture_t *fixture;

		open_fixture(&other);
		fixture = other;
		fixture->near.row = rows[i];
		fixture->far.row = "1 0";
		set_record(fixture, "akl-a", "node-2 1 leading");
		set_record(fixture, "wlg-a", "node-3 1 leading");
		assert_non_null(acquire(fixture, 0));
		run_until_ended(fixture, 0);
		assert_true(fixture->outcomes[0].admitted);
		assert_int_equal(fixture->near.requests, 1);
		close_fixture(&other);
	}
}

/* The token of a caller that has left must not be lost, nor its memory used. */
static void test_token_of_cancelled_operation_is_kept(void **state)
{
	fixture_t *fixture = *state;
	relay_quota_ticket_t *ticket;

	set_record(fixture, "akl-a", "node-2 1 leading");
	fixture->near.row = "1 500";
	ticket = acquire(fixture, 0);
	run_until_asked(fixture, &fixture->near);
	relay_quota_cancel(ticket);
	assert_non_null(acquire(fixture, 1));
	run_until_ended(fixture, 1);
	assert_true(fixture->outcomes[1].admitted);
	assert_false(fixture->outcomes[0].ended);
	assert_int_equal(fixture->near.requests, 1);
}

static void test_unused_token_is_kept(void **state)
{
	fixture_t *fixture = *state;

	relay_quota_keep(fixture->quota, "acme");
	assert_null(acquire(fixture, 0));
	assert_non_null(acquire(fixture, 1));
	run_until_ended(fixture, 1);
	assert_false(fixture->outcomes[1].admitted);
	assert_false(fixture->outcomes[0].ended);
}

/* A starting node must not reject what a leader will admit in a moment. */
static void test_operation_waits_for_a_leader(void **state)
{
	fixture_t *fixture = *state;

	fixture->near.row = "1 500";
	set_record(fixture, "akl-a", "node-2 1 settling");
	assert_non_null(acquire(fixture, 0));
	event_base_loop(fixture->base, EVLOOP_NONBLOCK);
	assert_false(fixture->outcomes[0].ended);
	set_record(fixture, "akl-a", "node-2 1 leading");
	run_until_ended(fixture, 0);
	assert_true(fixture->outcomes[0].admitted);
}

/* The wait must end, with an answer, whatever the leader does. */
static void test_wait_for_a_leader_ends(void **state)
{
	fixture_t *fixture = *state;

	fixture->near.refuses = true;
	set_record(fixture, "akl-a", "node-2 1 leading");
	set_record(fixture, "wlg-a", "node-9 1 leading");
	assert_non_null(acquire(fixture, 0));
	run_until_ended(fixture, 0);
	assert_false(fixture->outcomes[0].admitted);
	assert_true(fixture->outcomes[0].retry_after_ms > 0);
	assert_int_equal(fixture->near.requests, 0);
}

/* A leader that is replaced while it is asked may not answer any more. */
static void test_operation_asks_the_next_leader(void **state)
{
	fixture_t *fixture = *state;

	fixture->far.row = "1 500";
	set_record(fixture, "akl-a", "node-2 1 leading");
	assert_non_null(acquire(fixture, 0));
	run_until_asked(fixture, &fixture->near);
	set_record(fixture, "akl-a", "node-3 1 leading");
	run_until_ended(fixture, 0);
	assert_true(fixture->outcomes[0].admitted);
}

/* A leader that is busy for a moment must not be lost, nor its tokens. */
static void test_late_answer_counts(void **state)
{
	fixture_t *fixture = *state;
	const uint64_t end_ms = clock_boot_ms() + TIMEOUT_MS;

	fixture->far.row = "1 500";
	set_record(fixture, "akl-a", "node-2 1 leading");
	set_record(fixture, "wlg-a", "node-3 1 leading");
	assert_non_null(acquire(fixture, 0));
	run_until_ended(fixture, 0);
	assert_true(fixture->outcomes[0].admitted);
	assert_int_equal(fixture->far.requests, 1);
	answer(&fixture->near, "1 0");
	while (acquire(fixture, 1) && clock_boot_ms() < end_ms) {
		run_until_ended(fixture, 1);
		fixture->outcomes[1].ended = false;
	}
	assert_int_equal(fixture->near.requests, 1);
}

/* Makes the node the leader of its domain, with an empty bucket. */
static void lead(fixture_t *fixture)
{
	static char key[] = RELAY_QUOTA_PREFIX "akl-a";
	static const char value[] = "node-1 0 leading";
	g_autoptr(GBytes) bytes = g_bytes_new_static(value, strlen(value));
	const kv_item_t item = {.key = key, .value = bytes, .revision = 1};

	relay_quota_leader_configure(fixture->own, fixture->catalog);
	relay_quota_leader_set_hub(fixture->own, true);
	relay_quota_leader_key_changed(fixture->own, &item);
	relay_quota_leader_synced(fixture->own, 1, clock_boot_ms());
	relay_quota_key_changed(fixture->quota, &item);
	assert_true(relay_quota_leader_is_active(fixture->own));
}

static int64_t borrowed(const fixture_t *fixture)
{
	return metric_value(metrics_counter(fixture->metrics,
					    "toucanhook_quota_tokens_total",
					    "kind=\"borrowed\""));
}

/* Operations of a domain with most callers must not all wait for others. */
static void test_leader_without_tokens_borrows(void **state)
{
	fixture_t *fixture = *state;
	const uint64_t end_ms = clock_boot_ms() + TIMEOUT_MS;

	fixture->far.row = "1 0 9";
	set_record(fixture, "wlg-a", "node-3 1 leading");
	lead(fixture);
	while (!borrowed(fixture) && clock_boot_ms() < end_ms) {
		fixture->outcomes[0].ended = false;
		if (!acquire(fixture, 0))
			continue;
		run_until_ended(fixture, 0);
		event_base_loop(fixture->base, EVLOOP_NONBLOCK);
	}
	assert_int_equal(borrowed(fixture), fixture->far.loans);
	/* A loan without an answer must not end the borrowing. */
	fixture->far.row = NULL;
	fixture->far.loans = 0;
	while (fixture->far.loans < 2 && clock_boot_ms() < end_ms) {
		quota_admission_t admission;

		relay_quota_leader_admit(fixture->own, "acme", 9, &admission);
		event_base_loop(fixture->base, EVLOOP_ONCE);
	}
	assert_true(fixture->far.loans >= 2);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(
			test_waiting_operations_share_a_request, open_fixture,
			close_fixture),
		cmocka_unit_test(test_time_to_retry_is_as_expected_and_bounded),
		cmocka_unit_test(test_other_domain_is_asked_next),
		cmocka_unit_test_setup_teardown(
			test_token_of_cancelled_operation_is_kept, open_fixture,
			close_fixture),
		cmocka_unit_test_setup_teardown(test_unused_token_is_kept,
						open_fixture, close_fixture),
		cmocka_unit_test_setup_teardown(
			test_operation_waits_for_a_leader, open_fixture,
			close_fixture),
		cmocka_unit_test_setup_teardown(test_wait_for_a_leader_ends,
						open_fixture, close_fixture),
		cmocka_unit_test_setup_teardown(
			test_operation_asks_the_next_leader, open_fixture,
			close_fixture),
		cmocka_unit_test_setup_teardown(test_late_answer_counts,
						open_fixture, close_fixture),
		cmocka_unit_test_setup_teardown(
			test_leader_without_tokens_borrows, open_fixture,
			close_fixture),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
