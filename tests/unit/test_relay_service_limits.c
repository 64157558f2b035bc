#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "coordination/connection_share.h"
#include "coordination/owner.h"
#include "platform/line_codec.h"
#include "relay/relay_server_private.h"
#include "relay/relay_service.h"

#define DOMAINS 6
#define LIMIT 40

/* Provers among 18 hubs, and connections that a takeover may open. */
#define PROVERS 4
#define TAKEOVER 2

static const endpoint_t other_hub = {.address = "127.0.0.1", .port = 9};

/* The view of one hub. */
typedef struct {
	uint32_t hubs;
	uint32_t index;
	bool routes; /* over the hub that ranks first in its domain */
	char name[16];
	char domain[8];
	struct event_base *base;
	relay_services_t *services;
	catalog_t *catalog;
} view_t;

static void name_hub(uint32_t index, char *name, char *domain)
{
	g_snprintf(name, 16, "node-%u", index);
	g_snprintf(domain, 8, "z-%c", 'a' + index % DOMAINS);
}

static const endpoint_t *route(void *context, const char *server,
			       uint32_t failures)
{
	const view_t *view = context;
	const uint64_t key = owner_key(server);
	const uint64_t own = owner_weight(owner_key(view->name), key);

	for (uint32_t i = view->index % DOMAINS; view->routes && i < view->hubs;
	     i += DOMAINS) {
		char name[16];
		char domain[8];

		name_hub(i, name, domain);
		if (owner_weight(owner_key(name), key) > own)
			return &other_hub;
	}
	return NULL;
}

static void ignore_failure(void *context, const char *service,
			   const char *server)
{
}

static relay_peer_t *peer_new(uint32_t index)
{
	relay_peer_t *peer = g_new0(relay_peer_t, 1);
	char name[16];
	char domain[8];

	name_hub(index, name, domain);
	peer->name = g_strdup(name);
	peer->failure_domain = g_strdup(domain);
	peer->forwarding.address = g_strdup("127.0.0.1");
	return peer;
}

static catalog_t *catalog_create(bool customers)
{
	catalog_t *catalog = catalog_new();
	catalog_service_t *service = g_new0(catalog_service_t, 1);

	service->name = g_strdup("svc");
	service->connections_max = LIMIT;
	catalog_add_service(catalog, service);
	catalog->identifies_callers = customers;
	return catalog;
}

static void add_server(const view_t *view, uint32_t number)
{
	backend_entry_t *entry = g_new0(backend_entry_t, 1);

	entry->id = g_strdup_printf("i-%u", number);
	entry->service = g_strdup("svc");
	entry->failure_domain = g_strdup("z-a");
	entry->endpoint.address = g_strdup("127.0.0.1");
	relay_services_put(view->services, entry);
}

static void view_open(view_t *view, uint32_t index, uint32_t hubs,
		      bool customers)
{
	GPtrArray *peers =
		g_ptr_array_new_with_free_func((GDestroyNotify)relay_peer_free);

	*view = (view_t){.hubs = hubs, .index = index, .routes = customers};
	name_hub(index, view->name, view->domain);
	view->base = event_base_new();
	view->services = relay_services_create((relay_services_settings_t){
		.base = view->base,
		.codec = &line_codec,
		.node = view->name,
		.failure_domain = view->domain,
		.hub = route,
		.on_connection_failure = ignore_failure,
		.context = view,
	});
	for (uint32_t i = 0; i < hubs; i++)
		g_ptr_array_add(peers, peer_new(i));
	view->catalog = catalog_create(customers);
	relay_services_configure(view->services, view->catalog);
	relay_services_set_nodes(view->services, peers);
	relay_services_set_hub(view->services, true);
	add_server(view, 1);
}

static relay_server_t *server_of(const view_t *view)
{
	return relay_service_server(relay_services_find(view->services, "svc"),
				    "i-1");
}

static void view_close(view_t *view)
{
	relay_services_destroy(view->services);
	event_base_loop(view->base, EVLOOP_NONBLOCK);
	event_base_free(view->base);
	catalog_unref(view->catalog);
}

/* @return connections that the hub may have to the server */
static uint32_t connections_of(const view_t *view)
{
	const relay_server_t *server = server_of(view);

	return route((void *)view, "i-1", 0) ? server->share : server->room;
}

/*
 * Each hub computes its limit alone; together they must not exceed what the
 * server accepts, with room for a takeover.
 */
static void test_all_hubs_together_stay_within_the_limit(void **state)
{
	for (uint32_t hubs = 1; hubs <= 18; hubs++) {
		uint32_t total = TAKEOVER;
		uint32_t control = 0;

		for (uint32_t i = 0; i < hubs; i++) {
			view_t view;

			view_open(&view, i, hubs, true);
			total += connections_of(&view);
			control += relay_server_share(server_of(&view));
			view_close(&view);
		}
		assert_true(total <= LIMIT);
		assert_int_equal(control, MIN(hubs, PROVERS));
	}
}

/* A site without customers must keep its limits. */
static void test_without_customers_the_limits_are_as_before(void **state)
{
	for (uint32_t hubs = 1; hubs <= 18; hubs++) {
		const uint32_t near = (hubs + DOMAINS - 1) / DOMAINS;
		const connection_share_input_t input = {
			.limit = LIMIT,
			.nodes_near = near,
			.nodes_far = hubs - near,
		};

		for (uint32_t i = 0; i < hubs; i++) {
			const relay_server_t *server;
			view_t view;

			view_open(&view, i, hubs, false);
			server = server_of(&view);
			assert_false(server->by_customer);
			assert_int_equal(
				server->share,
				MAX(connection_share(&input),
				    relay_services_is_prover(view.services)));
			assert_int_equal(server->burst_limit,
					 MAX(server->share,
					     connection_share_max(&input)));
			view_close(&view);
		}
	}
}

#define HUBS_MANY 18
#define SERVERS_MANY 300

/* @return connections to all servers that a hub keeps while idle */
static uint32_t kept_of(const view_t *view)
{
	const GPtrArray *servers = relay_service_servers(
		relay_services_find(view->services, "svc"));
	uint32_t kept = 0;

	for (guint i = 0; i < servers->len; i++)
		kept += relay_server_share(servers->pdata[i]);
	return kept;
}

/*
 * Each of 18 hubs kept connections to each of 300 servers. Now the hubs that
 * rank first share the servers of their domain, and provers keep one to each.
 */
static void test_many_servers_are_divided_among_hubs(void **state)
{
	uint32_t kept = 0;

	for (uint32_t i = 0; i < HUBS_MANY; i++) {
		view_t view;

		view_open(&view, i, HUBS_MANY, false);
		for (uint32_t j = 2; j <= SERVERS_MANY; j++)
			add_server(&view, j);
		if (relay_services_is_prover(view.services))
			assert_int_equal(kept_of(&view), SERVERS_MANY);
		else
			assert_in_range(kept_of(&view), SERVERS_MANY / 6,
					SERVERS_MANY / 2);
		kept += kept_of(&view);
		view_close(&view);
	}
	assert_in_range(kept, DOMAINS * SERVERS_MANY,
			(DOMAINS + PROVERS) * SERVERS_MANY);
}

/* The coordinator queries all primaries; each query would connect again. */
static void test_coordinator_keeps_its_connections(void **state)
{
	view_t view;

	for (uint32_t i = 0; i < HUBS_MANY; i++) {
		view_open(&view, i, HUBS_MANY, false);
		for (uint32_t j = 2; j <= SERVERS_MANY; j++)
			add_server(&view, j);
		relay_services_set_coordinator(view.services, true);
		assert_int_equal(kept_of(&view), SERVERS_MANY);
		relay_services_set_coordinator(view.services, false);
		assert_true(relay_services_is_prover(view.services) ||
			    kept_of(&view) < SERVERS_MANY);
		view_close(&view);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_all_hubs_together_stay_within_the_limit),
		cmocka_unit_test(
			test_without_customers_the_limits_are_as_before),
		cmocka_unit_test(test_many_servers_are_divided_among_hubs),
		cmocka_unit_test(test_coordinator_keeps_its_connections),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
