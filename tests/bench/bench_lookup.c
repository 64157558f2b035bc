/*
 * Measures the configuration and the ownership lookup: the encoded size and
 * the times of coding, the lookup of a database, the memory and processor time
 * of a node that owns no server, and the ranking of owners.
 */
#include <inttypes.h>
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <glib.h>

#include "base/clock.h"
#include "base/deflate.h"
#include "base/log.h"
#include "coordination/owner.h"
#include "daemon/group_task.h"
#include "state/config_codec.h"

#define SEED 20261204u
#define STORED_SERVICES_MAX 100
#define STORED_DATABASES 16 /* of each service */
#define STORED_SLOTS 3
#define STORED_CLASSES 3
#define STORED_CALLERS 4
#define VERIFIER_LENGTH 133
#define NODES_PER_DOMAIN 60
#define FIND_ROUNDS 20
#define IDLE_SECONDS 3
#define RANK_ROUNDS 10000

static char *format_name(const char *kind, uint32_t service, uint32_t number)
{
	return g_strdup_printf("%s-%03u-%02u", kind, service, number);
}

static void fill_database(config_database_t *database, uint32_t service,
			  uint32_t number)
{
	database->name = format_name("orders", service, number);
	database->servers = g_new0(config_server_t, STORED_SLOTS);
	database->servers_count = STORED_SLOTS;
	for (uint32_t i = 0; i < STORED_SLOTS; i++) {
		config_server_t *server = &database->servers[i];

		server->name = g_strdup_printf("%s-%u", database->name, i + 1);
		server->failure_domain = g_strdup_printf("plovdiv-%u", i + 1);
		server->address = g_strdup_printf("10.%u.%u.%u", 100 + i,
						  100 + service, 100 + number);
		server->port = 15432;
	}
	database->first_primary = g_strdup(database->servers[0].name);
}

/* @return random characters: real verifiers cannot be compressed either */
static char *random_verifier(GRand *random)
{
	char *verifier = g_strnfill(VERIFIER_LENGTH, 'v');

	for (uint32_t i = 0; i < VERIFIER_LENGTH; i++)
		verifier[i] = (char)g_rand_int_range(random, 'A', 'z');
	return verifier;
}

static void fill_service(config_service_t *service, uint32_t number,
			 GRand *random)
{
	service->name = format_name("tikva", number, 0);
	service->slots = STORED_SLOTS;
	service->connections = 40;
	service->confirm_replicas = 1;
	service->owners = 2;
	service->backend_user = g_strdup("toucanhook");
	service->databases = g_new0(config_database_t, STORED_DATABASES);
	service->databases_count = STORED_DATABASES;
	for (uint32_t i = 0; i < STORED_DATABASES; i++)
		fill_database(&service->databases[i], number, i);
	service->classes = g_new0(config_class_t, STORED_CLASSES);
	service->classes_count = STORED_CLASSES;
	for (uint32_t i = 0; i < STORED_CLASSES; i++)
		service->classes[i] = (config_class_t){
			format_name("class", number, i), 4, 4000, 2000, 10000};
	service->callers = g_new0(config_caller_t, STORED_CALLERS);
	service->callers_count = STORED_CALLERS;
	for (uint32_t i = 0; i < STORED_CALLERS; i++)
		service->callers[i] = (config_caller_t){
			format_name("caller", number, i),
			format_name("class", number, i % STORED_CLASSES),
			random_verifier(random)};
}

static void on_changed(void *context, const char *database,
		       const group_view_t *view)
{
}

/* Measures the group tasks of a node that owns no server. */
static void measure_memory(const config_t *config)
{
	struct event_base *base = event_base_new();
	metrics_t *metrics = metrics_create(1);
	group_table_t *table = group_table_create();
	group_task_t *group =
		group_task_create(base, metrics, "bench", table, NULL,
				  (group_handlers_t){.changed = on_changed});
	const struct timeval wait = {IDLE_SECONDS, 0};
	size_t before_bytes = mallinfo2().uordblks;
	uint64_t start_us = clock_now_us();
	clock_t used;

	group_task_configure(group, config);
	printf("  group tasks: %zu bytes, made in %" PRIu64 " us\n",
	       mallinfo2().uordblks - before_bytes, clock_now_us() - start_us);
	event_base_loopexit(base, &wait);
	used = clock();
	event_base_dispatch(base);
	printf("  idle group tasks: %.2f %% of a core\n",
	       100.0 * (double)(clock() - used) / CLOCKS_PER_SEC /
		       (double)wait.tv_sec);
	group_task_destroy(group);
	group_table_destroy(table);
	metrics_destroy(metrics);
	event_base_free(base);
}

/* Measures the time to find a database by its name. */
static void measure_find(const config_t *config)
{
	const uint32_t count = config->services_count * STORED_DATABASES;
	uint64_t start_us = clock_now_us();
	uint32_t found = 0;

	for (uint32_t round = 0; round < FIND_ROUNDS; round++)
		for (uint32_t i = 0; i < count; i++) {
			g_autofree char *name =
				format_name("orders", i / STORED_DATABASES,
					    i % STORED_DATABASES);
			config_lookup_t place;

			found += config_find_database(config, name, &place);
		}
	printf("  finding a database: %.2f us (%u found)\n",
	       (double)(clock_now_us() - start_us) / (FIND_ROUNDS * count),
	       found / FIND_ROUNDS);
}

/*
 * Measures the stored form of a configuration, whose size the platform limits,
 * and the structures that are built from it.
 */
static void measure_stored_config(uint32_t services)
{
	g_autoptr(GError) error = NULL;
	g_autoptr(GRand) random = g_rand_new_with_seed(SEED);
	g_autoptr(GBytes) packed = NULL;
	config_t *config = g_new0(config_t, 1);
	g_autofree char *text = NULL;
	uint64_t start_us;
	size_t before_bytes;
	config_t *decoded;

	config->revision = 1;
	config->limits = (config_limits_t){300, 2000, 1000, 250, 100, 30000};
	config->change_id = g_strdup("bench");
	config->site = g_strdup("tikva");
	config->services = g_new0(config_service_t, services);
	config->services_count = services;
	for (uint32_t i = 0; i < services; i++)
		fill_service(&config->services[i], i, random);
	start_us = clock_now_us();
	text = config_codec_encode(config);
	printf("configuration of %u databases, %u callers: %zu bytes of at "
	       "most %u, encoded in %" PRIu64 " us",
	       services * STORED_DATABASES, services * STORED_CALLERS,
	       strlen(text), CONFIG_SIZE_BYTES_MAX, clock_now_us() - start_us);
	start_us = clock_now_us();
	packed = deflate_compress((const uint8_t *)text, strlen(text));
	printf(", packed into %zu in %" PRIu64 " us", g_bytes_get_size(packed),
	       clock_now_us() - start_us);
	start_us = clock_now_us();
	before_bytes = mallinfo2().uordblks;
	decoded = config_codec_decode((const uint8_t *)text, strlen(text),
				      &error);
	printf(", decoded in %" PRIu64 " us%s%s\n", clock_now_us() - start_us,
	       error ? ": " : "", error ? error->message : "");
	printf("  decoded form: %zu bytes\n",
	       mallinfo2().uordblks - before_bytes);
	if (decoded) {
		measure_find(decoded);
		measure_memory(decoded);
	}
	config_delete(decoded);
	config_delete(config);
}

/* Measures the ranking of a server's owners, which each statement needs. */
static void measure_owner_rank(uint32_t nodes_count)
{
	g_autofree member_t *members = g_new0(member_t, nodes_count);
	const member_view_t view = {members, nodes_count, 1};
	const uint32_t domains = MAX(3, nodes_count / NODES_PER_DOMAIN);
	uint64_t start_us;

	for (uint32_t i = 0; i < nodes_count; i++) {
		g_snprintf(members[i].name, sizeof(members[i].name),
			   "entry-%03u", i);
		g_snprintf(members[i].failure_domain,
			   sizeof(members[i].failure_domain), "plovdiv-%u",
			   i * domains / nodes_count);
	}
	start_us = clock_now_us();
	for (uint32_t i = 0; i < RANK_ROUNDS; i++) {
		g_autofree char *server = format_name("orders", i, 1);
		g_autofree char *domain =
			g_strdup_printf("plovdiv-%u", i % domains);
		const char *nodes[OWNER_LIMIT];

		owner_rank(&view, server, domain, 2, nodes);
	}
	printf("ranking owners among %u nodes: %.2f us\n", nodes_count,
	       (double)(clock_now_us() - start_us) / RANK_ROUNDS);
}

int main(void)
{
	log_open("bench_lookup", LOG_LEVEL_ERROR);
	setvbuf(stdout, NULL, _IOLBF, 0);
	printf("seed %u\n", SEED);
	for (uint32_t i = 1; i <= STORED_SERVICES_MAX; i *= 10)
		measure_stored_config(i);
	measure_owner_rank(66);
	measure_owner_rank(330);
	measure_owner_rank(660);
	return EXIT_SUCCESS;
}
