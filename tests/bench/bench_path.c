/*
 * Measures the latency of statements and the processor time of the nodes on
 * each path from a caller to the primary: directly, through a node of the
 * primary's failure domain, and through a node of another one.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/metrics.h"
#include "world/world.h"

#define STATEMENTS 2000
#define METRIC_SERIES_MAX 32

/** A path from a caller to the primary. */
typedef struct {
	const char *name;
	PGconn *connection;
} path_t;

/* @return processor time that all nodes have used */
static uint64_t processor_time_us(const world_t *world)
{
	uint64_t ticks = 0;

	for (guint i = 0; i < world->nodes->len; i++) {
		const world_node_t *node = world->nodes->pdata[i];
		g_autofree char *path = g_strdup_printf(
			"/proc/%d/stat", process_id(node->process));
		g_autofree char *text = NULL;
		unsigned long user = 0;
		unsigned long system = 0;
		const char *rest;

		if (!g_file_get_contents(path, &text, NULL, NULL))
			continue;
		rest = strrchr(text, ')');
		for (int field = 0; rest && field < 12; field++)
			rest = strchr(rest + 1, ' ');
		if (!rest)
			continue;
		user = strtoul(rest, (char **)&rest, 10);
		system = strtoul(rest, NULL, 10);
		ticks += user + system;
	}
	return ticks * 1000000u / (uint64_t)sysconf(_SC_CLK_TCK);
}

/*
 * Runs statements one after the other and prints their latency.
 *
 * @param kind   "write" or "read"
 * @param format the statement up to its key
 * @return whether every statement succeeded
 */
static bool measure(const world_t *world, metrics_t *metrics,
		    const path_t *path, const char *kind, const char *format)
{
	g_autofree char *labels =
		g_strdup_printf("way=\"%s\",kind=\"%s\"", path->name, kind);
	metric_histogram_t *delays =
		metrics_histogram(metrics, "bench_delay_us", labels);
	uint64_t time_us = processor_time_us(world);

	for (int i = 0; i < STATEMENTS; i++) {
		g_autofree char *key = g_strdup_printf("%s-%d", path->name, i);
		g_autofree char *statement = g_strdup_printf(
			"%s'%s'%s", format, key, *kind == 'w' ? ", 'x')" : "");
		uint64_t start_us = clock_now_us();
		PGresult *result = PQexec(path->connection, statement);
		ExecStatusType status = PQresultStatus(result);

		metric_histogram_record(delays, clock_now_us() - start_us);
		if (status != PGRES_COMMAND_OK && status != PGRES_TUPLES_OK) {
			fprintf(stderr, "%s: %s", path->name,
				PQresultErrorMessage(result));
			PQclear(result);
			return false;
		}
		PQclear(result);
	}
	time_us = processor_time_us(world) - time_us;
	printf("path %s %s: p50 %" G_GUINT64_FORMAT
	       " us, p99 %" G_GUINT64_FORMAT
	       " us, processor time of entry VMs %" G_GUINT64_FORMAT
	       " us a statement\n",
	       path->name, kind, metric_histogram_quantile(delays, 0.5),
	       metric_histogram_quantile(delays, 0.99), time_us / STATEMENTS);
	return true;
}

static PGconn *connect_direct(const world_server_t *server)
{
	g_autofree char *conninfo =
		g_strdup_printf("host=127.0.0.1 port=%u dbname=%s user=direct "
				"gssencmode=disable",
				server->port, server->database);

	return PQconnectdb(conninfo);
}

int main(void)
{
	deployment_t deployment = deployment_tauhara();
	g_autoptr(GError) error = NULL;
	g_autofree char *database = NULL;
	metrics_t *metrics = metrics_create(METRIC_SERIES_MAX);
	world_t *world;
	bool passed = true;

	setvbuf(stdout, NULL, _IOLBF, 0);
	deployment.relay = false;
	world = world_create(&deployment, &error);
	if (!world) {
		fprintf(stderr, "%s\n", error->message);
		return EXIT_FAILURE;
	}
	database = world_database(world, 0, 0);
	const world_server_t *primary = world_primary(world, database);
	path_t paths[] = {
		{"direct", connect_direct(primary)},
		{"own-domain",
		 world_connect(world, world_node(world, primary->domain, 0),
			       database)},
		{"forwarded",
		 world_connect(world,
			       world_node(world, (primary->domain + 1) % 3, 0),
			       database)},
	};

	PQclear(PQexec(paths[1].connection,
		       "CREATE TABLE path (key text PRIMARY KEY, value text)"));
	for (size_t i = 0; i < G_N_ELEMENTS(paths); i++) {
		passed &= measure(world, metrics, &paths[i], "write",
				  "INSERT INTO path VALUES (") &&
			  measure(world, metrics, &paths[i], "read",
				  "SELECT value FROM path WHERE key = ");
		PQfinish(paths[i].connection);
	}
	world_destroy(world);
	metrics_destroy(metrics);
	return passed ? EXIT_SUCCESS : EXIT_FAILURE;
}
