/*
 * Measures what running costs each node: control traffic, processor time and
 * memory. Measures a deployment under light load, idle callers, and idle
 * deployments of several sizes, and fits the cost of each part of a deployment
 * to the latter.
 */
#include <inttypes.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/clock.h"
#include "world/load_run.h"
#include "world/world.h"

#define SETTLE_MS 4000
#define SAMPLE_MS 8000
#define LOAD_SAMPLE_MS 5000
#define LOAD_ARGUMENTS "--seconds=60 --sessions=6 --rate=200 --reads=0.8"
#define PREDICTORS 5
#define VALUES 5
#define CALLERS_STEP 500
#define CALLERS_STEPS 4

/** A sample of a whole deployment; the counters run from its start. */
typedef struct {
	uint64_t at_us;
	uint64_t processor_us;
	uint64_t memory_kb;
	uint64_t descriptors;	/**< mostly connections to nodes and servers */
	int64_t bytes;		/**< control traffic, sent and received */
	int64_t messages;	/**< control messages, sent and received */
	int64_t group_bytes;	/**< group traffic, sent and received */
	int64_t platform_calls; /**< calls of the platform's API */
} sample_t;

/** A measured deployment size: a row of the linear fit. */
typedef struct {
	double predictors[PREDICTORS]; /**< as in predictor_names */
	double values[VALUES];	       /**< per node, as in value_names */
} measurement_t;

static const char *const predictor_names[PREDICTORS] = {
	"each node",	       "each further node",    "each database",
	"each watched server", "each open descriptor",
};

static const char *const value_names[VALUES] = {
	"control B/s (sent and received)",
	"control messages/s (sent and received)",
	"processor us/s",
	"memory KB",
	"group B/s (sent and received)",
};

/* @return processor time that a process has used; 0 if it cannot be read */
static uint64_t processor_us(int pid)
{
	g_autofree char *path = g_strdup_printf("/proc/%d/stat", pid);
	g_autofree char *text = NULL;
	unsigned long user = 0;
	unsigned long system = 0;
	const char *rest;

	if (!g_file_get_contents(path, &text, NULL, NULL))
		return 0;
	rest = strrchr(text, ')');
	for (int field = 0; rest && field < 12; field++)
		rest = strchr(rest + 1, ' ');
	if (!rest)
		return 0;
	user = strtoul(rest, (char **)&rest, 10);
	system = strtoul(rest, NULL, 10);
	return (user + system) * 1000000u / (uint64_t)sysconf(_SC_CLK_TCK);
}

/* @return resident memory of a process; 0 if it cannot be read */
static uint64_t memory_kb(int pid)
{
	g_autofree char *path = g_strdup_printf("/proc/%d/status", pid);
	g_autofree char *text = NULL;
	const char *line;

	if (!g_file_get_contents(path, &text, NULL, NULL))
		return 0;
	line = strstr(text, "VmRSS:");
	return line ? strtoul(line + strlen("VmRSS:"), NULL, 10) : 0;
}

/* @return number of a process's open file descriptors */
static uint64_t count_descriptors(int pid)
{
	g_autofree char *path = g_strdup_printf("/proc/%d/fd", pid);
	g_autoptr(GDir) files = g_dir_open(path, 0, NULL);
	uint64_t count = 0;

	while (files && g_dir_read_name(files))
		count++;
	return count;
}

static int64_t platform_calls(const world_t *world)
{
	json_t *calls = http_get_json(world->platform_control_port, "/calls");
	int64_t total = json_integer_value(json_object_get(calls, "total")) +
			json_integer_value(json_object_get(calls, "watches"));

	json_decref(calls);
	return total;
}

static sample_t take_sample(const world_t *world)
{
	sample_t sample = {.at_us = clock_now_us()};

	for (guint i = 0; i < world->nodes->len; i++) {
		const world_node_t *node = world->nodes->pdata[i];
		int id = process_id(node->process);

		sample.processor_us += processor_us(id);
		sample.memory_kb += memory_kb(id);
		sample.descriptors += count_descriptors(id);
	}
	sample.bytes = world_metric(world, "toucanhook_peer_bytes_total",
				    "class=\"control\"");
	sample.messages = world_metric(world, "toucanhook_peer_messages_total",
				       "class=\"control\"");
	sample.group_bytes = world_metric(world, "toucanhook_peer_bytes_total",
					  "class=\"groups\"");
	sample.platform_calls = platform_calls(world);
	return sample;
}

/*
 * Takes two samples @p wait_ms apart and prints the rates per node.
 *
 * @param values receives the rates, and the memory in the second sample
 * @return descriptors per node in the second sample
 */
static double measure_rates(const world_t *world, uint32_t wait_ms,
			    double values[VALUES])
{
	const double nodes = world->nodes->len;
	const sample_t before = take_sample(world);
	sample_t after;
	double seconds;

	g_usleep(wait_ms * 1000ul);
	after = take_sample(world);
	seconds = (double)(after.at_us - before.at_us) / 1e6 * nodes;
	values[0] = (double)(after.bytes - before.bytes) / seconds;
	values[1] = (double)(after.messages - before.messages) / seconds;
	values[2] =
		(double)(after.processor_us - before.processor_us) / seconds;
	values[3] = (double)after.memory_kb / nodes;
	values[4] = (double)(after.group_bytes - before.group_bytes) / seconds;
	printf("  control B/s %.0f, messages/s %.1f, groups B/s %.0f, processor %.2f %% of a "
	       "core, memory %.0f KB, descriptors %.1f; platform calls/s of "
	       "all %.2f\n",
	       values[0], values[1], values[4], values[2] / 1e4, values[3],
	       (double)after.descriptors / nodes,
	       (double)(after.platform_calls - before.platform_calls) * nodes /
		       seconds);
	return (double)after.descriptors / nodes;
}

/* Starts a deployment and waits until the effects of its start are over. */
static world_t *start_deployment(uint32_t nodes_per_domain, uint32_t databases,
				 uint32_t owners)
{
	deployment_t deployment = deployment_tauhara();
	g_autoptr(GError) error = NULL;
	world_t *world;

	deployment.relay = false;
	deployment.nodes_per_domain = nodes_per_domain;
	deployment.databases = databases;
	deployment.owners = owners;
	world = world_create(&deployment, &error);
	if (!world)
		fprintf(stderr, "%s\n", error->message);
	else
		g_usleep(SETTLE_MS * 1000ul);
	return world;
}

/* Measures an idle deployment. @return whether it could be started */
static bool measure_size(uint32_t nodes_per_domain, uint32_t databases,
			 uint32_t owners, measurement_t *row)
{
	world_t *world = start_deployment(nodes_per_domain, databases, owners);
	const deployment_t *deployment;
	double nodes;
	double watched;

	if (!world)
		return false;
	deployment = &world->deployment;
	nodes = world->nodes->len;
	watched = (double)databases * deployment->slots * deployment->owners /
		  nodes;
	*row = (measurement_t){.predictors = {1, nodes, databases, watched}};
	printf("nodes %.0f, databases %u, watched servers of a node %.2f, "
	       "idle\n",
	       nodes, databases, watched);
	row->predictors[PREDICTORS - 1] =
		measure_rates(world, SAMPLE_MS, row->values);
	world_destroy(world);
	return true;
}

/*
 * Solves a system of linear equations by Gauss-Jordan elimination with partial
 * pivoting. Afterwards unknown i is system[i][TERMS] / system[i][i].
 *
 * @return false if the system is singular
 */
static bool solve_linear_system(double system[PREDICTORS][PREDICTORS + 1])
{
	for (int i = 0; i < PREDICTORS; i++) {
		int pivot = i;

		for (int j = i + 1; j < PREDICTORS; j++)
			if (fabs(system[j][i]) > fabs(system[pivot][i]))
				pivot = j;
		if (fabs(system[pivot][i]) < 1e-9)
			return false;
		for (int k = 0; k <= PREDICTORS; k++) {
			double swapped = system[i][k];

			system[i][k] = system[pivot][k];
			system[pivot][k] = swapped;
		}
		for (int j = 0; j < PREDICTORS; j++) {
			double factor = system[j][i] / system[i][i];

			for (int k = 0; j != i && k <= PREDICTORS; k++)
				system[j][k] -= factor * system[i][k];
		}
	}
	return true;
}

/*
 * Fits a value by least squares over all sizes, with the normal equations, and
 * prints the coefficients and the largest residual.
 */
static void print_fit(const measurement_t *rows, uint32_t count, int value)
{
	double system[PREDICTORS][PREDICTORS + 1] = {0};
	double residual = 0;

	for (uint32_t r = 0; r < count; r++)
		for (int i = 0; i < PREDICTORS; i++) {
			for (int j = 0; j < PREDICTORS; j++)
				system[i][j] += rows[r].predictors[i] *
						rows[r].predictors[j];
			system[i][PREDICTORS] +=
				rows[r].predictors[i] * rows[r].values[value];
		}
	if (!solve_linear_system(system))
		return;
	printf("fit %s:", value_names[value]);
	for (int i = 0; i < PREDICTORS; i++)
		printf(" %s %.3f;", predictor_names[i],
		       system[i][PREDICTORS] / system[i][i]);
	for (uint32_t r = 0; r < count; r++) {
		double error = rows[r].values[value];

		for (int i = 0; i < PREDICTORS; i++)
			error -= rows[r].predictors[i] * system[i][PREDICTORS] /
				 system[i][i];
		residual = MAX(residual, fabs(error));
	}
	printf(" largest residual %.3f\n", residual);
}

/*
 * Measures deployments of several sizes. The smallest has four nodes per
 * failure domain: in a ring of fewer than four, nodes have fewer neighbours,
 * which would distort the fit.
 */
static bool measure_sizes(void)
{
	static const uint32_t sizes[][3] = {
		{4, 1, 2},  {4, 3, 2},	{4, 9, 2},  {4, 27, 2},
		{4, 27, 1}, {8, 1, 2},	{8, 9, 2},  {8, 27, 2},
		{8, 27, 1}, {12, 1, 2}, {12, 9, 2},
	};
	measurement_t rows[G_N_ELEMENTS(sizes)];

	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++)
		if (!measure_size(sizes[i][0], sizes[i][1], sizes[i][2],
				  &rows[i]))
			return false;
	for (int value = 0; value < VALUES; value++)
		print_fit(rows, G_N_ELEMENTS(rows), value);
	return true;
}

/* Measures what logins and idle connections of callers cost one node. */
static bool measure_callers(world_t *world)
{
	const world_node_t *node = world_node(world, 0, 0);
	g_autofree char *database = world_database(world, 0, 0);
	g_autoptr(GPtrArray) callers =
		g_ptr_array_new_with_free_func((GDestroyNotify)PQfinish);
	int id = process_id(node->process);
	uint64_t before_kb = memory_kb(id);

	for (int step = 1; step <= CALLERS_STEPS; step++) {
		uint64_t time_us = processor_us(id);
		uint64_t idle_us;

		for (int i = 0; i < CALLERS_STEP; i++) {
			PGconn *caller = world_connect(world, node, database);

			g_ptr_array_add(callers, caller);
			if (PQstatus(caller) == CONNECTION_OK)
				continue;
			fprintf(stderr, "%s", PQerrorMessage(caller));
			return false;
		}
		time_us = processor_us(id) - time_us;
		idle_us = processor_us(id);
		g_usleep(LOAD_SAMPLE_MS * 1000ul);
		idle_us = processor_us(id) - idle_us;
		printf("callers %u: memory %" PRIu64 " KB, %.2f KB a caller; "
		       "processor %" PRIu64 " us a login, %.2f %% of a core "
		       "when idle\n",
		       callers->len, memory_kb(id),
		       (double)(memory_kb(id) - before_kb) / callers->len,
		       time_us / CALLERS_STEP,
		       (double)idle_us / LOAD_SAMPLE_MS / 10);
	}
	return true;
}

/*
 * Measures the control traffic under light load, for comparison with that of
 * an idle deployment. @return whether no guarantee was violated
 */
static bool measure_load(const world_t *world)
{
	g_autofree char *database = world_database(world, 0, 0);
	g_autoptr(GError) error = NULL;
	load_run_t *run = load_run_start(world, "light", database,
					 world->deployment.classes[0].name,
					 LOAD_ARGUMENTS, &error);
	double values[VALUES];
	bool guarantees_kept;

	if (!run)
		return false;
	g_usleep(1000000);
	printf("nodes %u, databases 1, light load\n", world->nodes->len);
	measure_rates(world, LOAD_SAMPLE_MS, values);
	load_run_stop(run);
	guarantees_kept = load_run_finish(run, 30000, NULL);
	printf("  guarantees kept: %s\n", guarantees_kept ? "yes" : "no");
	return guarantees_kept;
}

int main(void)
{
	world_t *world;
	bool passed;

	setvbuf(stdout, NULL, _IOLBF, 0);
	printf("seed %" PRIu64 "; rates are for each node\n",
	       deployment_tauhara().seed);
	world = start_deployment(2, 1, 2);
	passed = world && measure_load(world) && measure_callers(world);
	world_destroy(world);
	return passed && measure_sizes() ? EXIT_SUCCESS : EXIT_FAILURE;
}
