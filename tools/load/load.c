#include "load/load.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <libpq-fe.h>

#include "base/clock.h"
#include "load/worker.h"

/** Interval at which an open loop starts due operations. */
#define PACE_MS 1
/** Longest wait for running operations at the end of a run. */
#define END_GRACE_MS 15000u
#define VERIFY_ATTEMPTS 100u
#define VERIFY_PAUSE_MS 200u

/* The splitmix64 generator. */
uint64_t load_random(load_t *load, uint64_t limit)
{
	uint64_t mixed = (load->random_state += 0x9e3779b97f4a7c15u);

	mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9u;
	mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebu;
	return (mixed ^ (mixed >> 31)) % limit;
}

bool load_chance(load_t *load, double share)
{
	return (double)load_random(load, 1000000) < share * 1000000;
}

/*
 * Runs a statement on the targets in turn until it succeeds. Returns NULL
 * after VERIFY_ATTEMPTS failures.
 */
static PGresult *run_on_any_target(const load_t *load, const char *statement)
{
	for (uint32_t i = 0; i < VERIFY_ATTEMPTS; i++) {
		const char *target =
			load->options.targets[i % load->options.targets_count];
		PGconn *connection = PQconnectdb(target);
		PGresult *result;
		ExecStatusType status;

		PQclear(PQexec(connection,
			       "SET toucanhook.consistency = 'strong'"));
		result = PQexec(connection, statement);
		status = PQresultStatus(result);
		if (status == PGRES_COMMAND_OK || status == PGRES_TUPLES_OK) {
			PQfinish(connection);
			return result;
		}
		fprintf(stderr, "%s", PQerrorMessage(connection));
		PQclear(result);
		PQfinish(connection);
		g_usleep(VERIFY_PAUSE_MS * 1000u);
	}
	return NULL;
}

bool load_prepare(load_t *load)
{
	g_autofree char *statement =
		g_strdup_printf("CREATE TABLE IF NOT EXISTS %s "
				"(key text PRIMARY KEY, value text)",
				load->options.table);
	PGresult *result = run_on_any_target(load, statement);

	PQclear(result);
	return result != NULL;
}

static void on_pace(evutil_socket_t fd, short what, void *context)
{
	load_t *load = context;
	uint64_t interval_us = 1000000u / load->options.rate_per_second;
	uint64_t now_us = clock_now_us();

	for (uint32_t i = 0; i < load->options.sessions; i++) {
		worker_t *worker = &load->workers[i];

		if (load->ending || load->next_due_us > now_us)
			return;
		if (!worker_ready(worker))
			continue;
		worker_start(worker, load->next_due_us);
		load->next_due_us += interval_us;
	}
}

/* Ends the run, after its duration or by SIGTERM. */
static void on_end(evutil_socket_t fd, short what, void *context)
{
	load_t *load = context;
	struct timeval grace = {.tv_sec = END_GRACE_MS / 1000};

	if (load->ending)
		return;
	load->ending = true;
	load->results.ended_us = clock_now_us();
	event_base_loopexit(load->base, load->running_count ? &grace : NULL);
}

void load_run(load_t *load)
{
	const load_options_t *options = &load->options;
	struct timeval duration = {
		.tv_sec = options->duration_ms / 1000,
		.tv_usec = options->duration_ms % 1000 * 1000,
	};
	struct timeval pace = {.tv_usec = PACE_MS * 1000};
	struct event *stop = evsignal_new(load->base, SIGTERM, on_end, load);

	event_add(stop, NULL);
	load->workers = g_new0(worker_t, options->sessions);
	load->readers = options->replicas_count ?
				g_new0(worker_t, options->sessions) :
				NULL;
	load->results.started_us = clock_now_us();
	load->next_due_us = load->results.started_us;
	for (uint32_t i = 0; i < options->sessions; i++)
		worker_open(&load->workers[i], load, i,
			    load->readers ? &load->readers[i] : NULL);
	load->end_timer = event_new(load->base, -1, 0, on_end, load);
	event_add(load->end_timer, &duration);
	load->pace_timer = event_new(load->base, -1, EV_PERSIST, on_pace, load);
	if (options->rate_per_second)
		event_add(load->pace_timer, &pace);
	event_base_dispatch(load->base);
	for (uint32_t i = 0; i < options->sessions; i++)
		worker_close(&load->workers[i]);
	event_free(stop);
	event_free(load->end_timer);
	event_free(load->pace_timer);
	g_free(load->workers);
	g_free(load->readers);
}

/*
 * Checks a row of this run. Its key is PREFIX-SESSION for a counter,
 * PREFIX-SESSION-NUMBER for an insert.
 */
static void check_row(load_t *load, const char *key, const char *value)
{
	size_t prefix_length = strlen(load->options.prefix);
	char *end = NULL;
	uint64_t session;

	if (strncmp(key, load->options.prefix, prefix_length) != 0 ||
	    key[prefix_length] != '-')
		return;
	session = g_ascii_strtoull(key + prefix_length + 1, &end, 10);
	if (*end == '-')
		checker_verify_final_insert(
			load->checker, (uint32_t)session,
			g_ascii_strtoull(end + 1, NULL, 10));
	else
		checker_verify_final_counter(load->checker, (uint32_t)session,
					     g_ascii_strtoull(value, NULL, 10));
}

bool load_verify(load_t *load)
{
	g_autofree char *statement = g_strdup_printf(
		"SELECT key, value FROM %s", load->options.table);
	PGresult *result = run_on_any_target(load, statement);

	if (!result)
		return false;
	for (int i = 0; i < PQntuples(result); i++)
		check_row(load, PQgetvalue(result, i, 0),
			  PQgetvalue(result, i, 1));
	checker_finish(load->checker);
	PQclear(result);
	return true;
}

static json_t *report_delays(const metric_histogram_t *histogram)
{
	static const struct {
		const char *name;
		double quantile;
	} wanted[] = {{"p50_us", 0.5},
		      {"p90_us", 0.9},
		      {"p99_us", 0.99},
		      {"p999_us", 0.999},
		      {"max_us", 1}};
	json_t *node = json_object();

	for (size_t i = 0; i < G_N_ELEMENTS(wanted); i++)
		json_object_set_new(
			node, wanted[i].name,
			json_integer((json_int_t)metric_histogram_quantile(
				histogram, wanted[i].quantile)));
	return node;
}

static json_t *report_codes(const load_t *load)
{
	json_t *node = json_object();
	GHashTableIter iterator;
	void *code;
	void *count;

	g_hash_table_iter_init(&iterator, load->results.codes);
	while (g_hash_table_iter_next(&iterator, &code, &count))
		json_object_set_new(node, code,
				    json_integer((json_int_t)(uintptr_t)count));
	return node;
}

static json_t *report_violations(const load_t *load)
{
	checker_violations_t violations = checker_violations(load->checker);

	return json_pack("{s:I,s:I,s:I,s:I,s:I,s:I,s:I}", "total",
			 (json_int_t)checker_violations_total(&violations),
			 "stale_reads", (json_int_t)violations.stale_reads,
			 "phantom_reads", (json_int_t)violations.phantom_reads,
			 "refused_seen", (json_int_t)violations.refused_seen,
			 "lost", (json_int_t)violations.lost, "doubled",
			 (json_int_t)violations.doubled, "lost_updates",
			 (json_int_t)violations.lost_updates);
}

json_t *load_report(const load_t *load)
{
	const load_results_t *results = &load->results;
	double seconds =
		(double)(results->ended_us - results->started_us) / 1e6;

	return json_pack(
		"{s:f,s:I,s:I,s:I,s:I,s:I,s:I,s:f,s:I,s:o,s:o,s:o,s:o}",
		"seconds", seconds, "reads", (json_int_t)results->reads,
		"replica_reads", (json_int_t)results->replica_reads, "writes",
		(json_int_t)results->writes, "not_run",
		(json_int_t)results->not_run, "unknown",
		(json_int_t)results->unknown, "connects",
		(json_int_t)results->connects, "per_second",
		(double)(results->reads + results->writes) / seconds,
		"longest_write_gap_ms",
		(json_int_t)(results->longest_gap_us / 1000), "read_delays",
		report_delays(results->read_delays), "write_delays",
		report_delays(results->write_delays), "codes",
		report_codes(load), "faults", report_violations(load));
}
