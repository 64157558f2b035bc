#include <inttypes.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <arpa/inet.h>
#include <cmocka.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>

#include "base/clock.h"
#include "coordination/owner.h"
#include "platform/line_codec.h"
#include "relay/relay_subscription.h"
#include "state/store_revision.h"

/* Hubs of other domains; more than are asked at a time. */
#define FAR_HUBS 4u

/* Time in which the node must hear of a change, whichever hub knows it. */
#define NEWS_MS 4000

/* A hub of the test; it answers each request at once with the same head. */
typedef struct {
	struct evconnlistener *listener;
	relay_peer_t peer;
	const char *head;     /* first entry of its answer, NULL for silence */
	const char *item;     /* further entry, or NULL */
	uint32_t connections; /* accepted so far */
	uint32_t requests;    /* received so far */
	uint32_t named;	      /* of them, those with the field for names */
	char *names;	      /* that field of the last one that names any */
} hub_t;

typedef struct {
	struct event_base *base;
	relay_services_t *services;
	relay_subscription_t *subscription;
	hub_t near;
	hub_t far[FAR_HUBS];
	uint32_t changes; /* changes reported */
	char *key;	  /* key of the last one */
} fixture_t;

static void write_line(struct bufferevent *bev, const char *word,
		       const char *rest)
{
	evbuffer_add_printf(bufferevent_get_output(bev), "%s %s\r\n", word,
			    rest);
}

static void note_request(hub_t *hub, const char *line)
{
	const char *names = strstr(line, " =");

	hub->requests++;
	hub->named += names != NULL;
	if (!names || !names[2])
		return;
	g_free(hub->names);
	hub->names = g_strdup(names + 1);
}

static void on_line(struct bufferevent *bev, hub_t *hub, const char *line)
{
	if (!g_str_has_prefix(line, "STARTUP")) {
		note_request(hub, line);
		if (!hub->head)
			return;
		write_line(bev, "DATAROW", hub->head);
		if (hub->item)
			write_line(bev, "DATAROW", hub->item);
		write_line(bev, "COMPLETE", "-");
	}
	write_line(bev, "READY", "I -");
}

static void on_read(struct bufferevent *bev, void *context)
{
	char *line;

	while ((line = evbuffer_readln(bufferevent_get_input(bev), NULL,
				       EVBUFFER_EOL_CRLF))) {
		on_line(bev, context, line);
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

	((hub_t *)context)->connections++;
	bufferevent_setcb(bev, on_read, NULL, on_event, context);
	bufferevent_enable(bev, EV_READ | EV_WRITE);
}

static void open_hub(fixture_t *fixture, hub_t *hub, char *name, char *domain)
{
	struct sockaddr_in address = {.sin_family = AF_INET,
				      .sin_addr.s_addr =
					      htonl(INADDR_LOOPBACK)};
	socklen_t size = sizeof(address);

	hub->listener = evconnlistener_new_bind(
		fixture->base, on_accept, hub, LEV_OPT_CLOSE_ON_FREE, 8,
		(struct sockaddr *)&address, sizeof(address));
	getsockname(evconnlistener_get_fd(hub->listener),
		    (struct sockaddr *)&address, &size);
	hub->peer = (relay_peer_t){
		.name = name,
		.failure_domain = domain,
		.forwarding = {.address = "127.0.0.1",
			       .port = ntohs(address.sin_port)},
	};
}

static void on_changed(void *context, hub_stream_t stream,
		       const kv_item_t *item)
{
	fixture_t *fixture = context;

	fixture->changes++;
	g_free(fixture->key);
	fixture->key = g_strdup(item->key);
}

static void on_synced(void *context, hub_stream_t stream, int64_t revision)
{
}

static const endpoint_t *no_hub(void *context, const char *server,
				uint32_t failures)
{
	return NULL;
}

static int open_fixture(void **state)
{
	static char near_name[] = "node-2";
	static char far_names[FAR_HUBS][8];
	static char near_domain[] = "akl-a";
	static char far_domain[] = "wlg-a";
	fixture_t *fixture = g_new0(fixture_t, 1);
	g_autoptr(GPtrArray) hubs = g_ptr_array_new();

	fixture->base = event_base_new();
	fixture->services = relay_services_create((relay_services_settings_t){
		.base = fixture->base,
		.codec = &line_codec,
		.node = "node-1",
		.failure_domain = "akl-a",
		.hub = no_hub,
	});
	open_hub(fixture, &fixture->near, near_name, near_domain);
	for (uint32_t i = 0; i < FAR_HUBS; i++) {
		g_snprintf(far_names[i], sizeof(far_names[i]), "node-%u",
			   3 + i);
		open_hub(fixture, &fixture->far[i], far_names[i], far_domain);
		g_ptr_array_add(hubs, &fixture->far[i].peer);
	}
	fixture->subscription = relay_subscription_create(
		fixture->services,
		(relay_subscription_handlers_t){.changed = on_changed,
						.synced = on_synced,
						.context = fixture});
	g_ptr_array_add(hubs, &fixture->near.peer);
	relay_subscription_set_hubs(fixture->subscription, hubs);
	*state = fixture;
	return 0;
}

static int close_fixture(void **state)
{
	fixture_t *fixture = *state;

	relay_subscription_destroy(fixture->subscription);
	g_free(fixture->near.names);
	relay_services_destroy(fixture->services);
	evconnlistener_free(fixture->near.listener);
	for (uint32_t i = 0; i < FAR_HUBS; i++)
		evconnlistener_free(fixture->far[i].listener);
	event_base_loop(fixture->base, EVLOOP_NONBLOCK);
	event_base_free(fixture->base);
	g_free(fixture->key);
	g_free(fixture);
	return 0;
}

static void wait_for_change(fixture_t *fixture, const char *key)
{
	const uint64_t deadline_ms = clock_boot_ms() + NEWS_MS;

	while (g_strcmp0(fixture->key, key) != 0 &&
	       clock_boot_ms() < deadline_ms)
		event_base_loop(fixture->base, EVLOOP_ONCE);
	assert_string_equal(fixture->key, key);
}

/* Lets far hubs know the newest state. */
static void set_far(fixture_t *fixture, uint32_t first, uint32_t count)
{
	for (uint32_t i = first; i < first + count; i++) {
		fixture->far[i].head = "H 1000 2200 9 1 9 1";
		fixture->far[i].item = "I 0 9 p eA== new";
	}
}

/* @return the far hub that the node ranks last */
static uint32_t last_far(const fixture_t *fixture)
{
	uint64_t lowest = UINT64_MAX;
	uint32_t last = 0;

	for (uint32_t i = 0; i < FAR_HUBS; i++) {
		const uint64_t weight =
			owner_weight(owner_key(fixture->far[i].peer.name),
				     owner_key("node-1"));

		if (weight >= lowest)
			continue;
		lowest = weight;
		last = i;
	}
	return last;
}

static void test_hubs_of_the_domain_suffice(void **state)
{
	fixture_t *fixture = *state;

	fixture->near.head = "H 1000 2200 9 1 9 1";
	fixture->near.item = "I 0 9 p eA== op/config";
	wait_for_change(fixture, "op/config");
	assert_true(relay_subscription_answered_ms(fixture->subscription));
	assert_non_null(relay_subscription_route(fixture->subscription, "i-1",
						 0, NULL));
	assert_null(relay_subscription_route(fixture->subscription, "i-1", 1,
					     NULL));
	assert_int_equal(fixture->changes, 1);
}

/*
 * The store turns all hubs of a domain away for nine seconds and serves the
 * other domains. They answer as ever, without proofs, and with an old
 * configuration.
 */
static void test_change_reaches_a_domain_without_the_store(void **state)
{
	fixture_t *fixture = *state;

	fixture->near.head = "H 1000 0 5 1 5 1";
	fixture->near.item = "I 0 5 p eA== old";
	set_far(fixture, 0, FAR_HUBS);
	wait_for_change(fixture, "old");
	/* The keys of the whole answer replace the old one. */
	wait_for_change(fixture, "new");
}

/* The same while the store also turns away some hubs of other domains. */
static void test_change_is_found_at_the_one_hub_that_knows(void **state)
{
	fixture_t *fixture = *state;

	fixture->near.head = "H 1000 0 5 1 5 1";
	fixture->near.item = "I 0 5 p eA== old";
	for (uint32_t i = 0; i < FAR_HUBS; i++)
		fixture->far[i].head = "H 1000 0 5 0 5 0";
	wait_for_change(fixture, "old");
	/* The hub that ranks last of all, which is asked last. */
	set_far(fixture, last_far(fixture), 1);
	wait_for_change(fixture, "new");
}

/* A hub that ranks first for a server connects to it itself. */
static void test_hub_ranks_itself_too(void **state)
{
	fixture_t *fixture = *state;
	const char *servers[] = {"i-1", "i-2", "i-3", "i-4", "i-5", "i-6"};
	uint32_t direct = 0;

	set_far(fixture, 0, FAR_HUBS);
	fixture->near.head = "H 1000 2200 9 1 9 1";
	fixture->near.item = "I 0 9 p eA== op/config";
	wait_for_change(fixture, "op/config");
	for (uint32_t i = 0; i < G_N_ELEMENTS(servers); i++) {
		const bool first = !relay_subscription_route(
			fixture->subscription, servers[i], 0, "node-1");

		/* The other one is used after a failure. */
		assert_int_equal(
			!relay_subscription_route(fixture->subscription,
						  servers[i], 1, "node-1"),
			!first);
		direct += first;
	}
	assert_in_range(direct, 1, G_N_ELEMENTS(servers) - 1);
}

/* A frozen hub keeps its connection open and answers nothing. */
static void test_silent_hub_is_not_used(void **state)
{
	fixture_t *fixture = *state;

	set_far(fixture, 0, FAR_HUBS);
	wait_for_change(fixture, "new");
	assert_null(relay_subscription_route(fixture->subscription, "i-1", 0,
					     NULL));
	assert_true(fixture->near.connections >= 1);
}

static relay_service_t *add_service(fixture_t *fixture)
{
	g_autoptr(catalog_t) catalog = catalog_new();
	catalog_service_t *service = g_new0(catalog_service_t, 1);

	service->name = g_strdup("svc");
	service->connections_max = 10;
	catalog_add_service(catalog, service);
	relay_services_configure(fixture->services, catalog);
	return relay_services_find(fixture->services, "svc");
}

static void wait_for_answer(fixture_t *fixture)
{
	const uint64_t since_ms =
		relay_subscription_answered_ms(fixture->subscription);
	const uint64_t end_ms = clock_boot_ms() + NEWS_MS;

	while (relay_subscription_answered_ms(fixture->subscription) ==
		       since_ms &&
	       clock_boot_ms() < end_ms)
		event_base_loop(fixture->base, EVLOOP_ONCE);
}

/*
 * The hub has read the records after a restore of the store; this node's
 * record is of before, and may name a primary that was replaced.
 */
static void test_proof_of_all_primaries_is_for_its_era(void **state)
{
	fixture_t *fixture = *state;
	relay_service_t *service = add_service(fixture);
	g_autofree char *head = g_strdup_printf(
		"H 1000 2200 %" PRId64 " 0 %" PRId64 " 0",
		store_revision_make(2, 5), store_revision_make(2, 5));

	relay_service_set_primary(service, 1, "i-1", false,
				  store_revision_make(1, 9));
	fixture->near.head = head;
	wait_for_answer(fixture);
	wait_for_answer(fixture);
	assert_true(relay_subscription_answered_ms(fixture->subscription));
	assert_int_equal(relay_service_lease(service)->delegated_until_ms, 0);
	relay_service_set_primary(service, 1, "i-1", false,
				  store_revision_make(2, 4));
	wait_for_answer(fixture);
	wait_for_answer(fixture);
	assert_true(relay_service_lease(service)->delegated_until_ms);
}

/* A hub of an earlier version rejects a request that names services. */
static void test_names_are_sent_once_the_hub_takes_them(void **state)
{
	fixture_t *fixture = *state;
	g_autofree char *item = hub_encode_takes_names();
	g_autofree char *names =
		g_strdup_printf("=+%" PRIx64, owner_key("svc"));

	service_interest_used(relay_services_interest(fixture->services),
			      owner_key("svc"), clock_boot_ms());
	fixture->near.head = "H 1000 2200 5 0 5 0";
	while (fixture->near.requests < 3)
		wait_for_answer(fixture);
	assert_int_equal(fixture->near.named, 0);
	fixture->near.item = item;
	while (!fixture->near.names)
		wait_for_answer(fixture);
	assert_string_equal(fixture->near.names, names);
	/* It is not named again. */
	g_clear_pointer(&fixture->near.names, g_free);
	wait_for_answer(fixture);
	wait_for_answer(fixture);
	assert_null(fixture->near.names);
	assert_true(fixture->near.named >= 2);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_hubs_of_the_domain_suffice,
						open_fixture, close_fixture),
		cmocka_unit_test_setup_teardown(
			test_change_reaches_a_domain_without_the_store,
			open_fixture, close_fixture),
		cmocka_unit_test_setup_teardown(
			test_change_is_found_at_the_one_hub_that_knows,
			open_fixture, close_fixture),
		cmocka_unit_test_setup_teardown(
			test_proof_of_all_primaries_is_for_its_era,
			open_fixture, close_fixture),
		cmocka_unit_test_setup_teardown(
			test_names_are_sent_once_the_hub_takes_them,
			open_fixture, close_fixture),
		cmocka_unit_test_setup_teardown(test_hub_ranks_itself_too,
						open_fixture, close_fixture),
		cmocka_unit_test_setup_teardown(test_silent_hub_is_not_used,
						open_fixture, close_fixture),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
