#include <stdio.h>
#include <stdlib.h>

#include <argtable2.h>

#include "world/load_run.h"
#include "world/world.h"

#define SECONDS_DEFAULT 5
#define FINISH_MS 60000u

static const uint32_t lags_ms[] = {0, 50, 200, 1000};
static const double read_shares[] = {0.95, 0.9, 0.5};

typedef struct {
	int64_t replica;
	int64_t all;
} reads_t;

static reads_t count_reads(const world_t *world)
{
	return (reads_t){
		.replica = world_metric(world, "toucanhook_reads_total",
					"server=\"replica\""),
		.all = world_metric(world, "toucanhook_reads_total", ""),
	};
}

static void set_lag(const world_t *world, uint32_t lag_ms)
{
	g_autofree char *path =
		g_strdup_printf("/set?replay_lag_ms=%u", lag_ms);

	for (guint i = 0; i < world->servers->len; i++) {
		const world_server_t *server = world->servers->pdata[i];

		world_fault(server->control_port, path);
	}
}

/* Prints one line of the table. @return whether every promise was kept */
static bool measure(world_t *world, const char *database, uint32_t lag_ms,
		    double read_share, int seconds, uint32_t max_age_ms)
{
	g_autofree char *name = g_strdup_printf("r%u-%.0f-%u", lag_ms,
						read_share * 100, max_age_ms);
	g_autofree char *arguments = g_strdup_printf(
		"--seconds=%d --sessions=24 --reads=%.2f --rate=800 --roam "
		"--max-age-ms=%u",
		seconds, read_share, max_age_ms);
	reads_t before;
	reads_t after;
	json_t *results = NULL;
	load_run_t *load;
	bool kept;

	set_lag(world, lag_ms);
	before = count_reads(world);
	load = load_run_start(world, name, database,
			      world->deployment.classes[0].name, arguments,
			      NULL);
	kept = load_run_finish(load, FINISH_MS, &results);
	after = count_reads(world);
	printf("reads %s: lag %u ms, reads %.0f %%, stated age %u ms: "
	       "%.1f %% of %" G_GINT64_FORMAT " by replicas, p50 %.0f us, "
	       "p99 %.0f us%s\n",
	       world->deployment.site, lag_ms, read_share * 100, max_age_ms,
	       after.all > before.all ?
		       100.0 * (double)(after.replica - before.replica) /
			       (double)(after.all - before.all) :
		       0.0,
	       after.all - before.all,
	       load_run_number(results, "read_delays.p50_us"),
	       load_run_number(results, "read_delays.p99_us"),
	       kept ? "" : " (promise broken)");
	json_decref(results);
	return kept;
}

int main(int argc, char **argv)
{
	struct arg_int *seconds =
		arg_int0(NULL, "seconds", "S", "length of each run");
	struct arg_lit *tauhara =
		arg_lit0(NULL, "tauhara", "Tauhara's sizes instead of Tikva's");
	struct arg_end *end = arg_end(4);
	void *options[] = {seconds, tauhara, end};
	g_autoptr(GError) error = NULL;
	g_autofree char *database = NULL;
	deployment_t deployment;
	world_t *world;
	bool kept = true;

	seconds->ival[0] = SECONDS_DEFAULT;
	if (arg_parse(argc, argv, options)) {
		arg_print_errors(stderr, end, argv[0]);
		return EXIT_FAILURE;
	}
	setvbuf(stdout, NULL, _IOLBF, 0);
	deployment = tauhara->count ? deployment_tauhara() : deployment_tikva();
	world = world_create(&deployment, &error);
	if (!world) {
		fprintf(stderr, "%s\n", error->message);
		return EXIT_FAILURE;
	}
	database = world_database(world, 0, 0);
	for (size_t i = 0; i < G_N_ELEMENTS(lags_ms); i++)
		for (size_t j = 0; j < G_N_ELEMENTS(read_shares); j++)
			kept &= measure(world, database, lags_ms[i],
					read_shares[j], seconds->ival[0], 0);
	for (size_t i = 0; i < G_N_ELEMENTS(lags_ms); i++)
		kept &= measure(world, database, lags_ms[i], read_shares[1],
				seconds->ival[0], 2000);
	world_destroy(world);
	return kept ? EXIT_SUCCESS : EXIT_FAILURE;
}
