/*
 * Shows the proxy at work on a whole deployment: a caller reads its own write
 * through another node, and the primary is killed under load.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <argtable2.h>

#include "base/clock.h"
#include "world/fixture.h"
#include "world/load_run.h"
#include "world/world.h"

#define LOAD_SECONDS "--seconds=10"
#define LOAD_TIMEOUT_MS 45000u
#define KILL_AFTER_COMMITS 200
#define COMMITS_TIMEOUT_MS 10000u
#define KEEP_POLL_MS 100u

static volatile sig_atomic_t stop_requested;

static void on_signal(int signal_number)
{
	stop_requested = 1;
}

/* Runs a statement and prints its result. @return whether it succeeded */
static bool run_and_print(PGconn *connection, const char *where,
			  const char *statement)
{
	PGresult *result = PQexec(connection, statement);
	ExecStatusType status = PQresultStatus(result);
	bool answered = status == PGRES_COMMAND_OK || status == PGRES_TUPLES_OK;

	printf("%s: %s -> %s\n", where, statement,
	       !answered	 ? PQresultErrorMessage(result) :
	       PQntuples(result) ? PQgetvalue(result, 0, 0) :
				   PQcmdStatus(result));
	PQclear(result);
	return answered;
}

/*
 * Writes through one node and reads through another with the token of the
 * first session, as a caller does that changes its node.
 *
 * @return whether all statements succeeded
 */
static bool write_and_read_elsewhere(world_t *world, const char *database)
{
	const world_node_t *first = world_node(world, 0, 0);
	const world_node_t *second = world_node(world, 1, 1);
	PGconn *writer = world_connect(world, first, database);
	PGconn *reader = world_connect(world, second, database);
	g_autofree char *token = NULL;
	bool seen;

	seen = run_and_print(writer, first->name,
			     "CREATE TABLE IF NOT EXISTS pairings "
			     "(key text PRIMARY KEY, value text)") &&
	       run_and_print(
		       writer, first->name,
		       "INSERT INTO pairings VALUES ('tue-19:00', 'Ana + Ben')");
	token = g_strdup_printf("SET toucanhook.token = '%s'",
				PQparameterStatus(writer, "toucanhook.token") ?:
					"");
	seen = seen && run_and_print(reader, second->name, token) &&
	       run_and_print(
		       reader, second->name,
		       "SELECT value FROM pairings WHERE key = 'tue-19:00'");
	PQfinish(writer);
	PQfinish(reader);
	return seen;
}

/** Number of commits of a primary to wait for. */
typedef struct {
	const world_server_t *primary;
	json_int_t commits;
} commits_t;

static bool has_commits(void *context)
{
	const commits_t *wanted = context;

	return fixture_count(wanted->primary, "commits") >= wanted->commits;
}

/*
 * Kills the primary under load.
 *
 * @return whether there is a new primary and no guarantee was violated
 */
static bool fail_over(world_t *world, const char *database)
{
	GError *error = NULL;
	world_server_t *primary = world_primary(world, database);
	commits_t enough = {primary, KILL_AFTER_COMMITS};
	load_run_t *load = load_run_start(
		world, "demo", database, world->deployment.classes[0].name,
		LOAD_SECONDS " --sessions=12 --reads=0.8 --hand-over=0.2"
			     " --roam --request-keys",
		&error);
	json_t *results = NULL;
	bool guarantees_kept;

	if (!load) {
		fprintf(stderr, "%s\n", error->message);
		return false;
	}
	world_wait(COMMITS_TIMEOUT_MS, has_commits, &enough);
	printf("killing the primary %s\n", primary->name);
	process_signal(primary->process, SIGKILL);
	guarantees_kept = load_run_finish(load, LOAD_TIMEOUT_MS, &results);
	primary = world_primary(world, database);
	printf("new primary: %s\n", primary ? primary->name : "none");
	printf("gap: %.0f ms between acknowledged writes\n",
	       load_run_number(results, "longest_write_gap_ms"));
	printf("reads: %.0f, writes: %.0f, not run: %.0f, unknown: %.0f\n",
	       load_run_number(results, "reads"),
	       load_run_number(results, "writes"),
	       load_run_number(results, "not_run"),
	       load_run_number(results, "unknown"));
	printf("violated guarantees: %.0f\n",
	       load_run_number(results, "faults.total"));
	json_decref(results);
	return guarantees_kept && primary;
}

static void print_replica_share(const world_t *world)
{
	int64_t replicas = world_metric(world, "toucanhook_reads_total",
					"server=\"replica\"");
	int64_t all = world_metric(world, "toucanhook_reads_total", "");

	printf("share of reads served by replicas: %.1f %% of %" G_GINT64_FORMAT
	       "\n",
	       all ? 100.0 * (double)replicas / (double)all : 0.0, all);
}

/* Prints the addresses of the deployment and waits for a signal. */
static void wait_for_stop(const world_t *world, const char *database)
{
	const char *user = world->deployment.classes[0].name;

	for (guint i = 0; i < world->nodes->len; i++) {
		g_autofree char *conninfo = world_conninfo(
			world, world->nodes->pdata[i], database, user, "");

		printf("caller: %s\n", g_strchomp(conninfo));
	}
	printf("platform: 127.0.0.1:%u\n", world->platform_port);
	for (guint i = 0; i < world->nodes->len; i++) {
		const world_node_t *node = world->nodes->pdata[i];

		printf("operators: 127.0.0.1:%u\n", node->operators_port);
	}
	fflush(stdout);
	while (!stop_requested)
		g_usleep(KEEP_POLL_MS * 1000u);
}

/* Restarts killed servers without their data, as after a VM's replacement. */
static void restart_killed_servers(world_t *world)
{
	for (guint i = 0; i < world->servers->len; i++) {
		world_server_t *server = world->servers->pdata[i];

		if (!process_running(server->process))
			world_start_server(world, server, true, NULL);
	}
}

static bool run_demo(world_t *world)
{
	g_autofree char *database = world_database(world, 0, 0);
	bool passed;

	printf("%s: %u entry VMs, %u backend servers, database %s\n",
	       world->deployment.site, world->nodes->len, world->servers->len,
	       database);
	passed = write_and_read_elsewhere(world, database) &&
		 fail_over(world, database);
	print_replica_share(world);
	return passed;
}

int main(int argc, char **argv)
{
	struct arg_lit *keep =
		arg_lit0(NULL, "keep", "keep running until interrupted");
	struct arg_lit *tikva =
		arg_lit0(NULL, "tikva", "Tikva's sizes instead of Tauhara's");
	struct arg_end *end = arg_end(4);
	void *options[] = {keep, tikva, end};
	deployment_t deployment;
	g_autoptr(GError) error = NULL;
	world_t *world;
	bool passed;

	if (arg_parse(argc, argv, options)) {
		arg_print_errors(stderr, end, argv[0]);
		return EXIT_FAILURE;
	}
	signal(SIGINT, on_signal);
	signal(SIGTERM, on_signal);
	signal(SIGPIPE, SIG_IGN);
	setvbuf(stdout, NULL, _IOLBF, 0);
	deployment = tikva->count ? deployment_tikva() : deployment_tauhara();
	world = world_create(&deployment, &error);
	if (!world) {
		fprintf(stderr, "%s\n", error->message);
		return EXIT_FAILURE;
	}
	passed = run_demo(world);
	world->failed = !passed;
	if (passed && keep->count) {
		g_autofree char *database = world_database(world, 0, 0);

		restart_killed_servers(world);
		wait_for_stop(world, database);
	}
	world_destroy(world);
	return passed ? EXIT_SUCCESS : EXIT_FAILURE;
}
