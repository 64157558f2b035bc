#ifndef UNIT_FAKE_LINE_NODE_H
#define UNIT_FAKE_LINE_NODE_H

#include "base/clock.h"
#include "fake_line_server.h"
#include "platform/line_codec.h"
#include "relay/relay_service.h"

/* Time in which a statement ends on a busy machine as well. */
#define FAKE_LINE_NODE_TIMEOUT_MS 10000

/* A node with one service "svc", whose primary "i-1" is a fake server. */
typedef struct {
	struct event_base *base;
	fake_line_server_t *server;
	metrics_t *metrics;
	catalog_t *catalog;
	relay_services_t *services;
	GHashTable *regions;
	catalog_database_t *database;
} fake_line_node_t;

static const endpoint_t *fake_line_no_hub(void *context, const char *server,
					  uint32_t failures)
{
	return NULL;
}

static void fake_line_ignore_failure(void *context, const char *service,
				     const char *server)
{
}

static void fake_line_add_primary(fake_line_node_t *node)
{
	backend_entry_t *entry = g_new0(backend_entry_t, 1);

	entry->id = g_strdup("i-1");
	entry->service = g_strdup("svc");
	entry->failure_domain = g_strdup("akl-a");
	entry->endpoint = (endpoint_t){.address = g_strdup("127.0.0.1"),
				       .port = node->server->port};
	relay_services_put(node->services, entry);
	relay_services_lease(node->services)->registered_at = 1;
	node_lease_renewed(relay_services_lease(node->services),
			   clock_boot_ms());
	relay_service_set_primary(relay_services_find(node->services, "svc"), 1,
				  "i-1", false, 1);
}

static fake_line_node_t *fake_line_node_create(void)
{
	fake_line_node_t *node = g_new0(fake_line_node_t, 1);
	catalog_service_t *service = g_new0(catalog_service_t, 1);

	node->base = event_base_new();
	node->server = fake_line_server_create(node->base);
	node->metrics = metrics_create(40);
	node->regions = g_hash_table_new(g_str_hash, g_str_equal);
	node->services = relay_services_create((relay_services_settings_t){
		.base = node->base,
		.metrics = node->metrics,
		.node = "node-1",
		.failure_domain = "akl-a",
		.regions = node->regions,
		.hub = fake_line_no_hub,
		.codec = &line_codec,
		.on_connection_failure = fake_line_ignore_failure,
	});
	node->database = g_new0(catalog_database_t, 1);
	node->database->name = g_strdup("orders");
	node->database->service = g_strdup("svc");
	node->database->timeout_ms = FAKE_LINE_NODE_TIMEOUT_MS;
	node->catalog = catalog_new();
	catalog_add_database(node->catalog, node->database);
	service->name = g_strdup("svc");
	service->connections_max = 1;
	catalog_add_service(node->catalog, service);
	relay_services_configure(node->services, node->catalog);
	fake_line_add_primary(node);
	return node;
}

static void fake_line_node_destroy(fake_line_node_t *node)
{
	relay_services_destroy(node->services);
	event_base_loop(node->base, EVLOOP_NONBLOCK);
	fake_line_server_destroy(node->server);
	event_base_loop(node->base, EVLOOP_NONBLOCK);
	g_hash_table_destroy(node->regions);
	catalog_unref(node->catalog);
	metrics_destroy(node->metrics);
	event_base_free(node->base);
	g_free(node);
}

#endif
