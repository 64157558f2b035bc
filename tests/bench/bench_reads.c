/*
 * Measures the share of reads that replicas serve, and the latency and
 * throughput of reads, for several replication lags and shares of reads.
 * Compares them with callers that choose the server themselves.
 */
#include <stdio.h>
#include <stdlib.h>

#include <argtable2.h>

#include "world/load_run.h"
#include "world/world.h"

#define SECONDS_DEFAULT 5
#define FINISH_MS 60000u
#define STICK_MS 1000u
#define LOAD_FORMAT "--seconds=%d --sessions=24 --reads=%.2f --rate=800 --roam"

static const uint32_t lags_ms[] = {0, 50, 200, 1000};
static const double read_shares[] = {0.95, 0.9, 0.5};

/** Reads that the nodes have counted. */
typedef struct {
	int64_t replica; /**< served by replicas */
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

		world_post_control(server->control_port, path);
	}
}

static void print_run_header(const world_t *world, const char *rule,
			     uint32_t lag_ms, double read_share)
{
	printf("reads %s %s: lag %u ms, reads %.0f %%, ",
	       world->deployment.site, rule, lag_ms, read_share * 100);
}

static void print_results(const json_t *results, int64_t replica, int64_t all)
{
	double seconds = load_run_number(results, "seconds");

	printf("%.1f %% of %" G_GINT64_FORMAT " by replicas, %.0f reads/s, "
	       "p50 %.0f us, p99 %.0f us, stale %.0f",
	       all > 0 ? 100.0 * (double)replica / (double)all : 0.0, all,
	       seconds > 0 ? load_run_number(results, "reads") / seconds : 0,
	       load_run_number(results, "read_delays.p50_us"),
	       load_run_number(results, "read_delays.p99_us"),
	       load_run_number(results, "faults.stale_reads"));
}

/* Prints one line of the table. @return whether no guarantee was violated */
static bool measure(world_t *world, const char *database, uint32_t lag_ms,
		    double read_share, int seconds, uint32_t max_age_ms)
{
	g_autofree char *name = g_strdup_printf("r%u-%.0f-%u", lag_ms,
						read_share * 100, max_age_ms);
	g_autofree char *arguments =
		g_strdup_printf(LOAD_FORMAT " --max-age-ms=%u", seconds,
				read_share, max_age_ms);
	reads_t before;
	reads_t after;
	json_t *results = NULL;
	load_run_t *load;
	bool guarantees_kept;

	set_lag(world, lag_ms);
	before = count_reads(world);
	load = load_run_start(world, name, database,
			      world->deployment.classes[0].name, arguments,
			      NULL);
	guarantees_kept = load_run_finish(load, FINISH_MS, &results);
	after = count_reads(world);
	print_run_header(world, "toucanhook", lag_ms, read_share);
	printf("max age %u ms: ", max_age_ms);
	print_results(results, after.replica - before.replica,
		      after.all - before.all);
	puts(guarantees_kept ? "" : " (guarantee violated)");
	json_decref(results);
	return guarantees_kept;
}

/*
 * @param replica whether the callers use a replica; if the replica of their
 *                domain is the primary, that is the server of the next domain
 * @return the server that callers of a failure domain use
 */
static world_server_t *server_for_domain(world_t *world, const char *database,
					 uint32_t domain, bool replica)
{
	world_server_t *primary = world_primary(world, database);

	if (!replica || !primary)
		return primary;
	if (primary->domain == domain)
		domain = (domain + 1) % world->deployment.domains_count;
	return world_server(world, database, domain);
}

/*
 * Appends the arguments by which toucanload connects from each failure domain
 * to the primary or to a replica.
 *
 * @return whether all servers can be reached
 */
static bool add_targets(world_t *world, const char *database, bool replica,
			GString *arguments)
{
	for (uint32_t i = 0; i < world->deployment.domains_count; i++) {
		const world_server_t *server =
			server_for_domain(world, database, i, replica);
		uint16_t port =
			server ? world_direct_link(world, i, server) : 0;

		if (!port)
			return false;
		g_string_append_printf(
			arguments,
			" --%s=postgresql://direct@127.0.0.1:%u/%s"
			"?gssencmode=disable&connect_timeout=10",
			replica ? "replica" : "connect", port, database);
	}
	return true;
}

/*
 * Measures callers that connect to the servers directly and choose the server
 * themselves: always the primary or, with @p stick, a replica except for
 * STICK_MS after a write.
 *
 * @return whether no guarantee was violated, other than by stale reads with
 *         @p stick
 */
static bool measure_baseline(world_t *world, const char *database,
			     uint32_t lag_ms, int seconds, const char *targets,
			     bool stick)
{
	g_autofree char *name =
		g_strdup_printf("%s%u", stick ? "s" : "p", lag_ms);
	g_autofree char *arguments = g_strdup_printf(LOAD_FORMAT "%s", seconds,
						     read_shares[1], targets);
	json_t *results = NULL;
	load_run_t *load;
	double faults;
	double stale;

	set_lag(world, lag_ms);
	load = load_run_start(world, name, database,
			      world->deployment.classes[0].name, arguments,
			      NULL);
	if (!load)
		return false;
	load_run_finish(load, FINISH_MS, &results);
	stale = load_run_number(results, "faults.stale_reads");
	faults = load_run_number(results, "faults.total");
	print_run_header(world, stick ? "stick after a write" : "primary only",
			 lag_ms, read_shares[1]);
	print_results(results,
		      (int64_t)load_run_number(results, "replica_reads"),
		      (int64_t)load_run_number(results, "reads"));
	puts("");
	json_decref(results);
	return faults >= 0 && faults == (stick ? stale : 0);
}

static bool measure_baselines(world_t *world, const char *database, int seconds)
{
	g_autoptr(GString) targets = g_string_new(NULL);
	g_autofree char *primary_only = NULL;
	bool passed = true;

	if (!add_targets(world, database, false, targets))
		return false;
	primary_only = g_strdup(targets->str);
	g_string_append_printf(targets, " --stick-ms=%u", STICK_MS);
	if (!add_targets(world, database, true, targets))
		return false;
	for (size_t i = 0; i < G_N_ELEMENTS(lags_ms); i++)
		passed &= measure_baseline(world, database, lags_ms[i], seconds,
					   primary_only, false) &&
			  measure_baseline(world, database, lags_ms[i], seconds,
					   targets->str, true);
	return passed;
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
	bool passed = true;

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
			passed &= measure(world, database, lags_ms[i],
					  read_shares[j], seconds->ival[0], 0);
	for (size_t i = 0; i < G_N_ELEMENTS(lags_ms); i++)
		passed &= measure(world, database, lags_ms[i], read_shares[1],
				  seconds->ival[0], 2000);
	passed &= measure_baselines(world, database, seconds->ival[0]);
	world_destroy(world);
	return passed ? EXIT_SUCCESS : EXIT_FAILURE;
}
