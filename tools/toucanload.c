#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include <argtable2.h>

#include "load/load.h"

#define TARGETS_MAX 64
#define SESSIONS_DEFAULT 16
#define SECONDS_DEFAULT 5.0
#define READ_SHARE_DEFAULT 0.8
#define TIMEOUT_DEFAULT_MS 15000
#define METRIC_SERIES_MAX 8

typedef struct {
	struct arg_str *connect;
	struct arg_str *replica;
	struct arg_int *stick_ms;
	struct arg_int *sessions;
	struct arg_dbl *seconds;
	struct arg_dbl *reads;
	struct arg_dbl *transactions;
	struct arg_dbl *other_tokens;
	struct arg_int *rate;
	struct arg_int *timeout_ms;
	struct arg_int *max_age_ms;
	struct arg_lit *request_keys;
	struct arg_lit *extended;
	struct arg_lit *roam;
	struct arg_int *seed;
	struct arg_str *table;
	struct arg_str *prefix;
	struct arg_file *json;
	struct arg_lit *help;
	struct arg_end *end;
} options_t;

static void options_make(options_t *options)
{
	options->connect = arg_strn(NULL, "connect", "CONNINFO", 1, TARGETS_MAX,
				    "libpq connection string; may be repeated");
	options->replica = arg_strn(NULL, "replica", "CONNINFO", 0, TARGETS_MAX,
				    "connection string for reads; may be "
				    "repeated; requires --rate");
	options->stick_ms = arg_int0(NULL, "stick-ms", "MS",
				     "time after a session's write without "
				     "reads from --replica");
	options->sessions = arg_int0(NULL, "sessions", "N",
				     "number of concurrent sessions");
	options->seconds =
		arg_dbl0(NULL, "seconds", "S", "duration of the run");
	options->reads = arg_dbl0(NULL, "reads", "SHARE", "share of reads");
	options->transactions = arg_dbl0(NULL, "transactions", "SHARE",
					 "share of writes in BEGIN and COMMIT");
	options->other_tokens = arg_dbl0(NULL, "hand-over", "SHARE",
					 "share of reads with the token of "
					 "another session");
	options->rate = arg_int0(NULL, "rate", "N",
				 "operations per second; default: closed loop");
	options->timeout_ms =
		arg_int0(NULL, "timeout-ms", "MS", "timeout of an operation");
	options->max_age_ms =
		arg_int0(NULL, "max-age-ms", "MS",
			 "maximum age of reads; their results are "
			 "not checked");
	options->request_keys = arg_lit0(NULL, "request-keys",
					 "send inserts with idempotency keys");
	options->extended =
		arg_lit0(NULL, "extended", "use the extended query protocol");
	options->roam =
		arg_lit0(NULL, "roam", "sessions sometimes change the target");
	options->seed =
		arg_int0(NULL, "seed", "N", "seed of the random choices");
	options->table = arg_str0(NULL, "table", "NAME", "table to use");
	options->prefix =
		arg_str0(NULL, "prefix", "TEXT", "prefix of the row keys");
	options->json =
		arg_file0(NULL, "json", "FILE", "write the results to a file");
	options->help = arg_lit0(NULL, "help", "print this help and exit");
	options->end = arg_end(8);
	options->stick_ms->ival[0] = 0;
	options->sessions->ival[0] = SESSIONS_DEFAULT;
	options->seconds->dval[0] = SECONDS_DEFAULT;
	options->reads->dval[0] = READ_SHARE_DEFAULT;
	options->transactions->dval[0] = 0;
	options->other_tokens->dval[0] = 0;
	options->rate->ival[0] = 0;
	options->timeout_ms->ival[0] = TIMEOUT_DEFAULT_MS;
	options->max_age_ms->ival[0] = 0;
	options->seed->ival[0] = 1;
	options->table->sval[0] = "load";
	options->prefix->sval[0] = "k";
}

static load_options_t options_read(const options_t *options)
{
	return (load_options_t){
		.targets = options->connect->sval,
		.targets_count = (uint32_t)options->connect->count,
		.replicas = options->replica->sval,
		.replicas_count = (uint32_t)options->replica->count,
		.stick_ms = (uint32_t)MAX(options->stick_ms->ival[0], 0),
		.sessions = (uint32_t)MAX(options->sessions->ival[0], 1),
		.duration_ms = (uint32_t)(options->seconds->dval[0] * 1000),
		.read_share = options->reads->dval[0],
		.transaction_share = options->transactions->dval[0],
		.other_token_share = options->other_tokens->dval[0],
		.rate_per_second = (uint32_t)options->rate->ival[0],
		.timeout_ms = (uint32_t)options->timeout_ms->ival[0],
		.max_age_ms = (uint32_t)options->max_age_ms->ival[0],
		.request_keys = options->request_keys->count > 0,
		.extended = options->extended->count > 0,
		.roam = options->roam->count > 0,
		.seed = (uint64_t)options->seed->ival[0],
		.table = options->table->sval[0],
		.prefix = options->prefix->sval[0],
	};
}

static void load_open(load_t *load, const load_options_t *options)
{
	load->options = *options;
	load->random_state = options->seed;
	load->base = event_base_new();
	load->checker = checker_create(options->sessions);
	load->results.metrics = metrics_create(METRIC_SERIES_MAX);
	load->results.read_delays = metrics_histogram(
		load->results.metrics, "load_delay_us", "kind=\"read\"");
	load->results.write_delays = metrics_histogram(
		load->results.metrics, "load_delay_us", "kind=\"write\"");
	load->results.codes =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

/* @return EXIT_FAILURE if there are violations or the check is incomplete */
static int report(const load_t *load, bool verified, const char *path)
{
	json_t *node = load_report(load);
	g_autofree char *text = json_dumps(node, JSON_INDENT(2));
	checker_violations_t violations = checker_violations(load->checker);

	json_object_set_new(node, "verified", json_boolean(verified));
	puts(text);
	if (path && json_dump_file(node, path, JSON_INDENT(2)))
		fprintf(stderr, "cannot write %s\n", path);
	json_decref(node);
	if (!verified)
		fprintf(stderr, "cannot read the rows of the table\n");
	if (!verified || checker_violations_total(&violations))
		return EXIT_FAILURE;
	return EXIT_SUCCESS;
}

int main(int argc, char **argv)
{
	static load_t load;
	options_t options;
	load_options_t wanted;
	bool verified;

	options_make(&options);
	if (arg_parse(argc, argv, (void **)&options) || options.help->count) {
		arg_print_errors(stderr, options.end, argv[0]);
		arg_print_glossary(stderr, (void **)&options, NULL);
		return EXIT_FAILURE;
	}
	signal(SIGPIPE, SIG_IGN);
	wanted = options_read(&options);
	if (wanted.replicas_count && !wanted.rate_per_second) {
		fprintf(stderr, "--replica requires --rate\n");
		return EXIT_FAILURE;
	}
	load_open(&load, &wanted);
	if (!load_prepare(&load))
		return EXIT_FAILURE;
	load_run(&load);
	verified = load_verify(&load);
	return report(&load, verified,
		      options.json->count ? options.json->filename[0] : NULL);
}
