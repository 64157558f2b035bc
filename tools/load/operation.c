#include "load/operation.h"

#include <stdio.h>
#include <string.h>

#include "base/clock.h"

/** Mean number of operations between target changes of a roaming session. */
#define ROAM_INTERVAL 50u

static void add_step(operation_t *operation, const char *format, ...)
	G_GNUC_PRINTF(2, 3);

static void add_step(operation_t *operation, const char *format, ...)
{
	va_list values;

	va_start(values, format);
	operation->steps[operation->steps_count++] =
		g_strdup_vprintf(format, values);
	va_end(values);
}

void operation_clear(operation_t *operation)
{
	for (uint32_t i = 0; i < operation->steps_count; i++)
		g_free(operation->steps[i]);
	*operation = (operation_t){0};
}

void operation_count_code(load_t *load, const char *code)
{
	GHashTable *codes = load->results.codes;
	uintptr_t count = (uintptr_t)g_hash_table_lookup(codes, code);

	g_hash_table_replace(codes, g_strdup(code), (void *)(count + 1));
}

/*
 * 57P01 means that nothing was run: a VM that leaves sends it only to sessions
 * that run no statement.
 */
outcome_t operation_outcome(const char *code)
{
	static const char *const unknown[] = {"TH004", "57P02", "40003",
					      "08006", "08007"};

	if (!*code)
		return OUTCOME_UNKNOWN;
	if (!strcmp(code, "TH005"))
		return OUTCOME_DONE;
	for (size_t i = 0; i < G_N_ELEMENTS(unknown); i++)
		if (!strcmp(code, unknown[i]))
			return OUTCOME_UNKNOWN;
	return OUTCOME_NOT_RUN;
}

void operation_connect(worker_t *worker)
{
	const load_options_t *options = &worker->load->options;
	operation_t resumed = worker->operation;

	/* A write that is sent again runs after the settings. */
	if (resumed.kind == OPERATION_WRITE) {
		if (worker->token && resumed.steps_count < WORKER_STEPS_MAX &&
		    !g_str_has_prefix(resumed.steps[0],
				      "SET toucanhook.token")) {
			memmove(&worker->operation.steps[1],
				&worker->operation.steps[0],
				resumed.steps_count * sizeof(char *));
			worker->operation.steps[0] = g_strdup_printf(
				"SET toucanhook.token = '%s'", worker->token);
			worker->operation.steps_count++;
		}
		return;
	}
	operation_clear(&worker->operation);
	worker->operation.kind = OPERATION_CONNECT;
	if (worker->token)
		add_step(&worker->operation, "SET toucanhook.token = '%s'",
			 worker->token);
	if (options->max_age_ms) {
		add_step(&worker->operation,
			 "SET toucanhook.consistency = 'age'");
		add_step(&worker->operation, "SET toucanhook.max_age_ms = '%u'",
			 options->max_age_ms);
	}
	if (!worker->operation.steps_count)
		add_step(&worker->operation, "SET application_name = 'load'");
}

static void choose_read(worker_t *worker)
{
	load_t *load = worker->load;
	const load_options_t *options = &load->options;
	operation_t *operation = &worker->operation;
	uint64_t number;

	operation->row_session = worker->index;
	operation->kind = OPERATION_READ_COUNTER;
	if (options->max_age_ms) {
		operation->row_session =
			(uint32_t)load_random(load, options->sessions);
	} else if (load_chance(load, options->other_token_share)) {
		const worker_t *other =
			&load->workers[load_random(load, options->sessions)];

		if (other->token) {
			operation->row_session = other->index;
			add_step(operation, "SET toucanhook.token = '%s'",
				 other->token);
		}
	}
	number = checker_last_insert(load->checker, operation->row_session);
	if (number && load_chance(load, 0.5)) {
		operation->kind = OPERATION_READ_INSERT;
		operation->number = number;
		add_step(
			operation,
			"SELECT value FROM %s WHERE key = '%s-%u-%" G_GUINT64_FORMAT
			"'",
			options->table, options->prefix, operation->row_session,
			number);
		return;
	}
	operation->floor = checker_floor(load->checker, operation->row_session);
	add_step(operation, "SELECT value FROM %s WHERE key = '%s-%u'",
		 options->table, options->prefix, operation->row_session);
}

static void add_update(worker_t *worker)
{
	const load_options_t *options = &worker->load->options;
	operation_t *operation = &worker->operation;

	if (worker->counter_exists)
		add_step(operation,
			 "UPDATE %s SET value = '%" G_GUINT64_FORMAT
			 "' WHERE key = '%s-%u'",
			 options->table, operation->number, options->prefix,
			 worker->index);
	else
		add_step(operation,
			 "INSERT INTO %s (key, value) VALUES ('%s-%u', "
			 "'%" G_GUINT64_FORMAT "')",
			 options->table, options->prefix, worker->index,
			 operation->number);
}

static void add_insert(worker_t *worker)
{
	const load_options_t *options = &worker->load->options;
	const operation_t *operation = &worker->operation;

	if (options->request_keys)
		add_step(
			&worker->operation,
			"SET toucanhook.request_key = '%s-%u-%" G_GUINT64_FORMAT
			"'",
			options->prefix, worker->index, operation->number);
	add_step(&worker->operation,
		 "INSERT INTO %s (key, value) VALUES ('%s-%u-%" G_GUINT64_FORMAT
		 "', '%" G_GUINT64_FORMAT "')",
		 options->table, options->prefix, worker->index,
		 operation->number, operation->number);
}

static void choose_write(worker_t *worker)
{
	load_t *load = worker->load;
	operation_t *operation = &worker->operation;
	bool transaction = load_chance(load, load->options.transaction_share);

	operation->kind = OPERATION_WRITE;
	operation->insert = worker->counter_exists && load_chance(load, 0.5);
	operation->row_session = worker->index;
	operation->number = checker_begin_write(load->checker, worker->index,
						operation->insert);
	operation->transaction = transaction;
	/* A request key stays set until a change is made with it. */
	if (worker->key_pending && !operation->insert)
		add_step(operation, "RESET toucanhook.request_key");
	if (transaction)
		add_step(operation, "BEGIN");
	if (operation->insert)
		add_insert(worker);
	else
		add_update(worker);
	if (transaction)
		add_step(operation, "COMMIT");
}

void operation_choose(worker_t *worker, uint64_t due_us)
{
	load_t *load = worker->load;

	operation_clear(&worker->operation);
	if (worker->counter_exists &&
	    load_chance(load, load->options.read_share))
		choose_read(worker);
	else
		choose_write(worker);
	worker->operation.due_us = due_us;
}

/* Prints the details of a new violation, to find it in the logs. */
static void print_violation(const worker_t *worker, uint64_t violations_before)
{
	const operation_t *operation = &worker->operation;
	checker_violations_t violations =
		checker_violations(worker->load->checker);

	if (checker_violations_total(&violations) == violations_before)
		return;
	fprintf(stderr,
		"violation at %" G_GUINT64_FORMAT
		" ms: session %u on target %u reads session %u: insert "
		"%" G_GUINT64_FORMAT ", floor %" G_GUINT64_FORMAT
		", row found %d, value %" G_GUINT64_FORMAT ", token %s\n",
		(clock_now_us() - worker->load->results.started_us) / 1000,
		worker->index, worker->target, operation->row_session,
		operation->number, operation->floor, operation->row_found,
		operation->value, worker->token ?: "none");
}

static void end_read(worker_t *worker)
{
	checker_violations_t violations =
		checker_violations(worker->load->checker);
	load_t *load = worker->load;
	const operation_t *operation = &worker->operation;

	if (operation->failed) {
		load->results.not_run++;
		return;
	}
	load->results.reads++;
	load->results.replica_reads += worker->is_reader;
	metric_histogram_record(load->results.read_delays,
				clock_now_us() - operation->due_us);
	if (load->options.max_age_ms)
		return;
	if (operation->kind == OPERATION_READ_INSERT)
		checker_verify_insert_read(load->checker, operation->row_found);
	else
		checker_verify_counter_read(
			load->checker, operation->row_session, operation->floor,
			operation->row_found ? operation->value : 0);
	print_violation(worker, checker_violations_total(&violations));
}

static void count_write(worker_t *worker)
{
	load_results_t *results = &worker->load->results;
	uint64_t now_us = clock_now_us();

	results->writes++;
	metric_histogram_record(results->write_delays,
				now_us - worker->operation.due_us);
	if (results->last_write_us)
		results->longest_gap_us = MAX(results->longest_gap_us,
					      now_us - results->last_write_us);
	results->last_write_us = now_us;
	worker->reader_from_us =
		now_us + worker->load->options.stick_ms * 1000ul;
	worker->counter_exists |= !worker->operation.insert;
}

/* @return true if the write shall be sent again with its request key */
static bool end_write(worker_t *worker)
{
	load_t *load = worker->load;
	operation_t *operation = &worker->operation;
	outcome_t outcome = operation->failed ?
				    operation_outcome(operation->code) :
				    OUTCOME_DONE;

	/* An earlier insert of unknown outcome created the counter's row. */
	if (!strcmp(operation->code, "23505") && !operation->insert)
		worker->counter_exists = true;
	else if (!strcmp(operation->code, "23505")) {
		if (!operation->retried)
			checker_record_duplicate(load->checker);
		/* In a transaction the error does not confirm the insert. */
		outcome =
			operation->transaction ? OUTCOME_NOT_RUN : OUTCOME_DONE;
	}
	worker->key_pending = operation->insert && outcome != OUTCOME_DONE;
	if (outcome == OUTCOME_UNKNOWN && operation->insert &&
	    load->options.request_keys) {
		operation->retried = true;
		return true;
	}
	/* This attempt did not run, but an earlier one may have. */
	if (outcome == OUTCOME_NOT_RUN && operation->retried)
		outcome = OUTCOME_UNKNOWN;
	checker_end_write(load->checker, worker->index, operation->number,
			  outcome);
	if (outcome == OUTCOME_DONE)
		count_write(worker);
	else if (outcome == OUTCOME_UNKNOWN)
		load->results.unknown++;
	else
		load->results.not_run++;
	return false;
}

bool operation_end(worker_t *worker)
{
	const operation_t *operation = &worker->operation;
	load_t *load = worker->load;

	if (operation->failed)
		operation_count_code(load, *operation->code ? operation->code :
							      "broken");
	if (operation->kind == OPERATION_WRITE) {
		if (end_write(worker))
			return true;
	} else if (operation->kind != OPERATION_CONNECT) {
		end_read(worker);
	}
	operation_clear(&worker->operation);
	worker->change_target =
		load->options.roam && !load_random(load, ROAM_INTERVAL);
	return false;
}
