#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <argtable2.h>
#include <jansson.h>

#include "base/clock.h"
#include "standin/common/http.h"
#include "standin/site/database.h"
#include "standin/site/store.h"

#define GROUPS_MAX 16

/** The whole program: the platform's store and calls, and server groups. */
typedef struct {
	struct event_base *base;
	site_store_t *store;
	group_t *groups[GROUPS_MAX];
	int groups_count;
	uint64_t config_version;
	GPtrArray *extra_routes; /**< of char *, further names of group 0 */
	GHashTable *customers;	 /**< name -> key or "", published if any */
	GHashTable *quotas; /**< customer -> its rate, which is its burst */
	/** added to each server's port in the registry, to route by a relay */
	uint16_t registered_port_offset;
	uint64_t last_token;	  /**< highest fencing token so far */
	uint64_t token_decreases; /**< calls with a lower token */
} site_t;

/* Updates the registration of a server in the store. */
static void on_server_change(void *context, db_server_t *server, bool present)
{
	site_t *site = context;
	g_autofree char *key = g_strdup_printf("servers/%s", server->id);
	g_autofree char *value = g_strdup_printf(
		"{\"service\":\"%s\",\"address\":\"127.0.0.1:%u\",\"zone\":"
		"\"%s\",\"version\":\"v1\",\"slots\":3,\"state\":\"%s\","
		"\"cold_remaining_ms\":0,\"db_role\":\"%s\","
		"\"sequence\":%" PRIu64 ",\"born\":%u}",
		server->group->name,
		server->port + site->registered_port_offset, server->zone,
		server->draining ? "draining" : "ready",
		server->primary ? "primary" : "replica", ++server->reports,
		server->port);

	if (present)
		site_store_put(site->store, key, value);
	else
		site_store_remove(site->store, key);
}

/* @return the customers, or NULL if the site has none */
static json_t *list_customers(site_t *site)
{
	json_t *list = g_hash_table_size(site->customers) ? json_array() : NULL;
	GHashTableIter iter;
	gpointer name;
	gpointer key;

	g_hash_table_iter_init(&iter, site->customers);
	while (g_hash_table_iter_next(&iter, &name, &key)) {
		json_t *keys = json_array();
		const char *quota = g_hash_table_lookup(site->quotas, name);
		json_t *customer;

		if (*(const char *)key)
			json_array_append_new(keys, json_string(key));
		customer =
			json_pack("{s:s,s:o}", "name", name, "api_keys", keys);
		if (quota)
			json_object_update_new(
				customer,
				json_pack("{s:i,s:i}", "rate_per_s",
					  atoi(quota), "burst", atoi(quota)));
		json_array_append_new(list, customer);
	}
	return list;
}

/* Publishes the configuration, as the version it has. */
static void put_config(site_t *site)
{
	json_t *routes = json_array();
	json_t *services = json_array();
	json_t *config;
	char *text;

	for (int i = 0; i < site->groups_count; i++) {
		const char *name = site->groups[i]->name;
		g_autofree char *strict = g_strdup_printf("strict-%d", i);
		g_autofree char *browse = g_strdup_printf("browse-%d", i);
		g_autofree char *own = g_strdup_printf("own-%d", i);

		json_array_append_new(
			routes,
			json_pack("{s:s,s:s,s:s,s:i,s:i,s:i}", "database",
				  strict, "service", name, "route_type",
				  "primary", "timeout_ms", 1000,
				  "target_latency_ms", 600, "priority", 1));
		json_array_append_new(
			routes,
			json_pack("{s:s,s:s,s:s,s:i,s:i,s:i,s:i}", "database",
				  browse, "service", name, "route_type",
				  "bounded_staleness", "timeout_ms", 2000,
				  "target_latency_ms", 1200, "priority", 2,
				  "max_staleness_ms", 1500));
		json_array_append_new(
			routes,
			json_pack("{s:s,s:s,s:s,s:i,s:i,s:i,s:i}", "database",
				  own, "service", name, "route_type",
				  "read_your_writes", "timeout_ms", 1000,
				  "target_latency_ms", 1000, "priority", 2,
				  "max_staleness_ms", 2500));
		json_array_append_new(
			services,
			json_pack("{s:s,s:i}", "name", name, "max_conns", 40));
	}
	for (guint i = 0; i < site->extra_routes->len; i++)
		json_array_append_new(
			routes,
			json_pack("{s:s,s:s,s:s,s:i}", "database",
				  site->extra_routes->pdata[i], "service",
				  site->groups[0]->name, "route_type",
				  "primary", "timeout_ms", 1000));
	config = json_pack("{s:I,s:o,s:o,s:{s:i}}", "version",
			   (json_int_t)site->config_version, "routes", routes,
			   "services", services, "limits", "tx_idle_ms", 3000);
	json_object_set_new(config, "tenants", list_customers(site));
	text = json_dumps(config, JSON_COMPACT);
	site_store_put(site->store, "op/config", text);
	free(text);
	json_decref(config);
}

/* Publishes the next version, with a further route if @p route is not NULL. */
static void change_config(site_t *site, const char *route)
{
	if (route)
		g_ptr_array_add(site->extra_routes, g_strdup(route));
	site->config_version++;
	put_config(site);
}

/*
 * Publishes a customer with one key, or with none if @p key is NULL, and with a
 * quota, or with none if @p quota is NULL.
 */
static void change_customer(site_t *site, const char *name, const char *key,
			    const char *quota)
{
	if (quota)
		g_hash_table_replace(site->quotas, g_strdup(name),
				     g_strdup(quota));
	else
		g_hash_table_remove(site->quotas, name);
	g_hash_table_replace(site->customers, g_strdup(name),
			     g_strdup(key ? key : ""));
	change_config(site, NULL);
}

/*
 * Restores the store's copy. The operator and the servers write again what
 * they had written.
 */
static void restore_store(site_t *site, uint64_t down_until_ms)
{
	site_store_restore(site->store);
	site_store_faults(site->store)->down_until_ms = down_until_ms;
	put_config(site);
	for (int i = 0; i < site->groups_count; i++)
		for (int j = 0; j < GROUP_SERVERS_COUNT; j++) {
			db_server_t *server = &site->groups[i]->servers[j];

			if (server->listener)
				on_server_change(site, server, true);
		}
}

static db_server_t *find_server(site_t *site, const char *id)
{
	for (int i = 0; i < site->groups_count; i++) {
		db_server_t *server = group_server(site->groups[i], id);

		if (server)
			return server;
	}
	return NULL;
}

static void on_promote(struct evhttp_request *request, void *context)
{
	site_t *site = context;
	g_autofree char *text = http_body(request);
	json_t *body = json_loads(text, 0, NULL);
	const char *id = json_string_value(json_object_get(body, "id"));
	db_server_t *server = id ? find_server(site, id) : NULL;
	const char *token = evhttp_find_header(
		evhttp_request_get_input_headers(request), "X-Fencing-Token");
	const uint64_t number = token ? g_ascii_strtoull(token, NULL, 10) : 0;

	if (number < site->last_token)
		site->token_decreases++;
	site->last_token = MAX(site->last_token, number);
	if (server && group_promote(server->group, id))
		http_reply_text(request, HTTP_OK, "{}");
	else
		http_reply_text(request, 409, "{}");
	json_decref(body);
}

static void drain_server(site_t *site, db_server_t *server)
{
	server->draining = true;
	on_server_change(site, server, true);
}

/*
 * Injects the fault of a call /fault/KIND?server=ID&for_ms=N. For "lose" N is
 * a percentage, for "store-slow" a delay.
 */
static void on_fault(struct evhttp_request *request, site_t *site,
		     const char *kind)
{
	g_autofree char *id = http_argument(request, "server");
	g_autofree char *route = http_argument(request, "route");
	g_autofree char *customer = http_argument(request, "customer");
	g_autofree char *key = http_argument(request, "key");
	g_autofree char *quota = http_argument(request, "quota");
	const uint32_t for_ms = (uint32_t)http_number(request, "for_ms", 1000);
	const uint64_t until_ms = clock_now_ms() + for_ms;
	db_server_t *server = id ? find_server(site, id) : NULL;
	site_store_faults_t *faults = site_store_faults(site->store);

	if (!strcmp(kind, "crash") && server)
		db_server_crash(server, for_ms);
	else if (!strcmp(kind, "silent") && server)
		server->unresponsive_until_ms = until_ms;
	else if (!strcmp(kind, "deaf") && server)
		server->replication_stopped_until_ms = until_ms;
	else if (!strcmp(kind, "lose") && server)
		server->answer_loss_percent = for_ms;
	else if (!strcmp(kind, "store-down"))
		faults->down_until_ms = until_ms;
	else if (!strcmp(kind, "store-silent"))
		faults->unresponsive_until_ms = until_ms;
	else if (!strcmp(kind, "store-slow"))
		faults->slow_ms = for_ms;
	else if (!strcmp(kind, "compact"))
		site_store_compact(site->store);
	else if (!strcmp(kind, "store-copy"))
		site_store_keep_copy(site->store);
	else if (!strcmp(kind, "store-restore"))
		restore_store(site, until_ms);
	else if (!strcmp(kind, "drain") && server)
		drain_server(site, server);
	else if (!strcmp(kind, "config") && customer)
		change_customer(site, customer, key, quota);
	else if (!strcmp(kind, "config"))
		change_config(site, route);
	http_reply_text(request, HTTP_OK, "{}");
}

/*
 * Reports the data in the primaries' logs, the data rolled back and whether all
 * of it was, the number of promotions, the users of each item, and two counts
 * that must stay 0: writes applied twice and fencing tokens that decreased.
 */
static void on_report(struct evhttp_request *request, site_t *site)
{
	json_t *kept = json_object();
	json_t *lost = json_object();
	json_t *users = json_object();
	uint64_t repeated_writes = 0;
	uint64_t promotions = 0;
	bool complete = true;

	for (int i = 0; i < site->groups_count; i++) {
		group_t *group = site->groups[i];
		const db_server_t *primary = group_primary(group);
		GHashTableIter iter;
		gpointer data;

		repeated_writes += group->repeated_writes;
		promotions += group->promotions;
		complete &= group_is_rolled_back(group);
		for (guint j = 0; primary && j < primary->log->len; j++) {
			const commit_t *commit = primary->log->pdata[j];

			for (guint k = 1; k < commit->writes->len; k += 2)
				json_object_set_new(kept,
						    commit->writes->pdata[k],
						    json_true());
		}
		g_hash_table_iter_init(&iter, group->rolled_back);
		while (g_hash_table_iter_next(&iter, &data, NULL))
			json_object_set_new(lost, data, json_true());
		g_hash_table_iter_init(&iter, group->users);
		while (g_hash_table_iter_next(&iter, &data, NULL))
			json_object_set_new(users, data, json_true());
	}
	http_reply_json(request,
			json_pack("{s:o,s:o,s:o,s:b,s:I,s:I,s:I}", "kept", kept,
				  "users", users, "rolled_back", lost,
				  "complete", complete, "twice",
				  (json_int_t)repeated_writes, "promotions",
				  (json_int_t)promotions, "token_steps_back",
				  (json_int_t)site->token_decreases));
}

static void on_call(struct evhttp_request *request, void *context)
{
	site_t *site = context;
	const char *path =
		evhttp_uri_get_path(evhttp_request_get_evhttp_uri(request));

	if (!strcmp(path, "/promote"))
		on_promote(request, site);
	else if (g_str_has_prefix(path, "/fault/"))
		on_fault(request, site, path + strlen("/fault/"));
	else if (!strcmp(path, "/report"))
		on_report(request, site);
	else
		site_store_serve(site->store, request);
}

static site_t *site_create(uint16_t port, int groups, uint32_t seed,
			   uint16_t registered_port_offset)
{
	site_t *site = g_new0(site_t, 1);
	struct evhttp *http;

	site->base = event_base_new();
	site->store = site_store_create(site->base);
	site->extra_routes = g_ptr_array_new_with_free_func(g_free);
	site->customers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	site->quotas =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	site->groups_count = groups;
	site->registered_port_offset = registered_port_offset;
	http = http_listen(site->base, "127.0.0.1", port);
	if (!http) {
		g_free(site);
		return NULL;
	}
	evhttp_set_gencb(http, on_call, site);
	for (int i = 0; i < groups; i++) {
		g_autofree char *name = g_strdup_printf("group%d", i);

		site->groups[i] = group_create(
			site->base, name,
			(uint16_t)(port + 1 + i * GROUP_SERVERS_COUNT),
			seed + (uint32_t)i, on_server_change, site);
	}
	change_config(site, NULL);
	return site;
}

int main(int argc, char **argv)
{
	struct arg_int *port =
		arg_int1("p", "port", "N",
			 "port of the store; servers use the next ones");
	struct arg_int *groups = arg_int0(
		"g", "groups", "N", "number of groups, of 3 servers each");
	struct arg_int *seed =
		arg_int0("s", "seed", "N", "seed of lost answers");
	struct arg_int *shown =
		arg_int0(NULL, "shown-offset", "N",
			 "added to the servers' ports in the registry");
	struct arg_end *end = arg_end(4);
	void *table[] = {port, groups, seed, shown, end};
	site_t *site;

	groups->ival[0] = 2;
	seed->ival[0] = 1;
	shown->ival[0] = 0;
	signal(SIGPIPE, SIG_IGN);
	if (arg_parse(argc, argv, table) || groups->ival[0] > GROUPS_MAX) {
		arg_print_errors(stderr, end, argv[0]);
		return EXIT_FAILURE;
	}
	site = site_create((uint16_t)port->ival[0], groups->ival[0],
			   (uint32_t)seed->ival[0], (uint16_t)shown->ival[0]);
	if (!site) {
		fprintf(stderr, "%s: cannot listen on port %d\n", argv[0],
			port->ival[0]);
		return EXIT_FAILURE;
	}
	event_base_dispatch(site->base);
	return EXIT_SUCCESS;
}
