#include "standin/backend/execute.h"

#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "standin/backend/stream.h"
#include "standin/backend/wire.h"

/** Longest wait for a row that another transaction changed. */
#define LOCK_TIMEOUT_MS 1000u
/** Size of one row of big(N). */
#define BIG_ROW_SIZE_BYTES 1024u
#define BIG_ROWS_MAX 65536u

static execute_result_t fail(execute_answer_t *answer, const char *sqlstate,
			     const char *message)
{
	g_strlcpy(answer->sqlstate, sqlstate, sizeof(answer->sqlstate));
	g_strlcpy(answer->message, message, sizeof(answer->message));
	return EXECUTE_ERROR;
}

static execute_result_t done(execute_answer_t *answer, const char *tag)
{
	g_strlcpy(answer->tag, tag, sizeof(answer->tag));
	return EXECUTE_DONE;
}

static execute_result_t done_rows(execute_answer_t *answer, const char *verb,
				  uint64_t rows)
{
	g_snprintf(answer->tag, sizeof(answer->tag), "%s %" G_GUINT64_FORMAT,
		   verb, rows);
	return EXECUTE_DONE;
}

void transaction_open(transaction_t *transaction)
{
	*transaction = (transaction_t){.status = 'I'};
	transaction->changes = g_ptr_array_new_with_free_func(change_delete);
}

void transaction_rollback(server_t *server, transaction_t *transaction)
{
	bool held = transaction->changes->len > 0;

	transaction->status = 'I';
	transaction->read_only = false;
	transaction->lock_until_ms = 0;
	transaction->sleep_until_ms = 0;
	g_ptr_array_set_size(transaction->changes, 0);
	engine_unlock(&server->engine, transaction);
	if (held)
		server_committed(server);
}

void transaction_close(server_t *server, transaction_t *transaction)
{
	transaction_rollback(server, transaction);
	g_ptr_array_unref(transaction->changes);
}

static execute_result_t check_term(server_t *server,
				   const transaction_t *transaction,
				   execute_answer_t *answer)
{
	if (!transaction->group_term ||
	    engine_leads(&server->engine, transaction->group_term))
		return EXECUTE_DONE;
	return fail(answer, "TH001", "server does not lead this term");
}

static void count_inserts(server_t *server, const GPtrArray *changes)
{
	for (guint i = 0; i < changes->len; i++) {
		const change_t *change = changes->pdata[i];
		uintptr_t count;

		if (change->kind != CHANGE_PUT)
			continue;
		count = (uintptr_t)g_hash_table_lookup(server->inserts,
						       change->table);
		g_hash_table_replace(server->inserts, g_strdup(change->table),
				     (void *)(count + 1));
	}
}

execute_result_t transaction_commit(server_t *server,
				    transaction_t *transaction,
				    execute_answer_t *answer)
{
	GPtrArray *changes = transaction->changes;

	if (check_term(server, transaction, answer) != EXECUTE_DONE)
		return EXECUTE_ERROR;
	if (!changes->len) {
		transaction_rollback(server, transaction);
		return EXECUTE_DONE;
	}
	if (!engine_writable(&server->engine))
		return fail(answer, "25006", "server is not the primary");
	count_inserts(server, changes);
	server->counts.commits++;
	transaction->changes = g_ptr_array_new_with_free_func(change_delete);
	engine_commit(&server->engine, changes, clock_now_ms());
	transaction_rollback(server, transaction);
	server_committed(server);
	return EXECUTE_DONE;
}

static const char *operand_text(const sql_operand_t *operand,
				char *const *parameters)
{
	return operand->parameter ? parameters[operand->parameter - 1] :
				    operand->text;
}

/* Whether the transaction sees a row, and its value. */
static bool find_row(const server_t *server, const transaction_t *transaction,
		     const char *table, const char *key, const char **value)
{
	GHashTable *rows = engine_table(&server->engine, table);
	void *stored = NULL;

	for (guint i = transaction->changes->len; i > 0; i--) {
		const change_t *change = transaction->changes->pdata[i - 1];

		if (change->kind == CHANGE_CREATE ||
		    strcmp(change->table, table) != 0 ||
		    strcmp(change->key, key) != 0)
			continue;
		*value = change->value;
		return change->kind == CHANGE_PUT;
	}
	if (!rows || !g_hash_table_lookup_extended(rows, key, NULL, &stored))
		return false;
	*value = stored;
	return true;
}

static bool has_table(const server_t *server, const transaction_t *transaction,
		      const char *table)
{
	for (guint i = 0; i < transaction->changes->len; i++) {
		const change_t *change = transaction->changes->pdata[i];

		if (change->kind == CHANGE_CREATE &&
		    !strcmp(change->table, table))
			return true;
	}
	return engine_table(&server->engine, table) != NULL;
}

static execute_result_t run_create(server_t *server, transaction_t *transaction,
				   const sql_statement_t *statement,
				   execute_answer_t *answer)
{
	if (!has_table(server, transaction, statement->name))
		g_ptr_array_add(
			transaction->changes,
			change_new(CHANGE_CREATE, statement->name, NULL, NULL));
	else if (!statement->keep_existing)
		return fail(answer, "42P07", "table already exists");
	return done(answer, "CREATE TABLE");
}

static execute_result_t run_insert(server_t *server, transaction_t *transaction,
				   const sql_statement_t *statement,
				   const char *key, const char *value,
				   bool found, execute_answer_t *answer)
{
	if (found && statement->keep_existing)
		return done(answer, "INSERT 0 0");
	if (found)
		return fail(answer, "23505",
			    "duplicate key value violates unique constraint");
	g_ptr_array_add(transaction->changes,
			change_new(CHANGE_PUT, statement->name, key, value));
	return done(answer, "INSERT 0 1");
}

static execute_result_t wait_for_lock(transaction_t *transaction,
				      execute_answer_t *answer)
{
	uint64_t now_ms = clock_now_ms();

	if (!transaction->lock_until_ms)
		transaction->lock_until_ms = now_ms + LOCK_TIMEOUT_MS;
	if (now_ms < transaction->lock_until_ms)
		return EXECUTE_WAIT;
	transaction->lock_until_ms = 0;
	return fail(answer, "40P01", "waited too long for a row");
}

static execute_result_t run_change(server_t *server, transaction_t *transaction,
				   const sql_statement_t *statement,
				   char *const *parameters,
				   execute_answer_t *answer)
{
	const char *key = operand_text(&statement->operands[0], parameters);
	const char *value = operand_text(&statement->operands[1], parameters);
	const char *old = NULL;
	change_kind_t kind =
		statement->kind == SQL_DELETE ? CHANGE_DELETE : CHANGE_PUT;
	bool found;

	if (!engine_writable(&server->engine) || transaction->read_only)
		return fail(answer, "25006",
			    "cannot execute in a read-only transaction");
	if (statement->kind == SQL_CREATE)
		return run_create(server, transaction, statement, answer);
	if (!has_table(server, transaction, statement->name))
		return fail(answer, "42P01", "relation does not exist");
	if (!key)
		return fail(answer, "23502", "null value in column \"key\"");
	if (!engine_lock(&server->engine, statement->name, key, transaction))
		return wait_for_lock(transaction, answer);
	transaction->lock_until_ms = 0;
	found = find_row(server, transaction, statement->name, key, &old);
	if (statement->kind == SQL_INSERT)
		return run_insert(server, transaction, statement, key, value,
				  found, answer);
	if (found)
		g_ptr_array_add(transaction->changes,
				change_new(kind, statement->name, key,
					   kind == CHANGE_PUT ? value : NULL));
	return done_rows(answer, kind == CHANGE_PUT ? "UPDATE" : "DELETE",
			 found);
}

static void add_table_row(const sql_statement_t *statement, const char *key,
			  const char *value, execute_answer_t *answer)
{
	const char *values[SQL_COLUMNS_MAX];

	for (uint32_t i = 0; i < statement->columns_count; i++)
		values[i] = strcmp(statement->columns[i], "key") ? value : key;
	wire_row(answer->rows, values, statement->columns_count);
}

static execute_result_t run_scan(server_t *server, transaction_t *transaction,
				 const sql_statement_t *statement,
				 execute_answer_t *answer)
{
	GHashTable *rows = engine_table(&server->engine, statement->name);
	g_autoptr(GHashTable) seen = g_hash_table_new(g_str_hash, g_str_equal);
	GHashTableIter iterator;
	void *key;
	void *stored;
	const char *value;

	if (rows) {
		g_hash_table_iter_init(&iterator, rows);
		while (g_hash_table_iter_next(&iterator, &key, &stored))
			g_hash_table_add(seen, key);
	}
	for (guint i = 0; i < transaction->changes->len; i++) {
		const change_t *change = transaction->changes->pdata[i];

		if (change->key && !strcmp(change->table, statement->name))
			g_hash_table_add(seen, change->key);
	}
	g_hash_table_iter_init(&iterator, seen);
	while (g_hash_table_iter_next(&iterator, &key, NULL)) {
		if (!find_row(server, transaction, statement->name, key,
			      &value))
			g_hash_table_iter_remove(&iterator);
		else if (statement->kind == SQL_SELECT_ALL)
			add_table_row(statement, key, value, answer);
	}
	if (statement->kind == SQL_SELECT_COUNT) {
		g_autofree char *count =
			g_strdup_printf("%u", g_hash_table_size(seen));

		wire_row(answer->rows, (const char *const *)&count, 1);
		return done(answer, "SELECT 1");
	}
	return done_rows(answer, "SELECT", g_hash_table_size(seen));
}

static execute_result_t run_select(server_t *server, transaction_t *transaction,
				   const sql_statement_t *statement,
				   char *const *parameters,
				   execute_answer_t *answer)
{
	const char *key = operand_text(&statement->operands[0], parameters);
	const char *value = NULL;
	const char *count = "0";
	bool found;

	server->counts.reads++;
	if (!has_table(server, transaction, statement->name))
		return fail(answer, "42P01", "relation does not exist");
	if (!statement->operands_count)
		return run_scan(server, transaction, statement, answer);
	found = key &&
		find_row(server, transaction, statement->name, key, &value);
	if (statement->kind == SQL_SELECT_COUNT) {
		count = found ? "1" : "0";
		wire_row(answer->rows, &count, 1);
		return done(answer, "SELECT 1");
	}
	if (found)
		add_table_row(statement, key, value, answer);
	return done_rows(answer, "SELECT", found);
}

static void format_number(char *text, uint64_t number)
{
	g_snprintf(text, 24, "%" G_GUINT64_FORMAT, number);
}

static execute_result_t add_status(const server_t *server,
				   execute_answer_t *answer)
{
	const engine_t *engine = &server->engine;
	log_point_t last = journal_end(&engine->journal);
	log_point_t replayed = engine_replay_point(engine);
	uint64_t numbers[] = {engine->term,
			      engine->fence,
			      last.term,
			      last.position,
			      replayed.term,
			      replayed.position,
			      engine_upstream_age_ms(engine, clock_now_ms())};
	char texts[G_N_ELEMENTS(numbers)][24];
	const char *values[G_N_ELEMENTS(numbers) + 2];

	values[0] = engine->name;
	values[1] = engine->primary ? "primary" : "replica";
	for (size_t i = 0; i < G_N_ELEMENTS(numbers); i++) {
		format_number(texts[i], numbers[i]);
		values[i + 2] = texts[i];
	}
	wire_row(answer->rows, values, G_N_ELEMENTS(values));
	return done(answer, "SELECT 1");
}

static execute_result_t run_big(const char *argument, execute_answer_t *answer)
{
	uint64_t rows = g_ascii_strtoull(argument ?: "0", NULL, 10);
	char row[BIG_ROW_SIZE_BYTES + 1];
	const char *value = row;

	if (rows > BIG_ROWS_MAX)
		return fail(answer, "22023", "too many rows");
	memset(row, 'x', BIG_ROW_SIZE_BYTES);
	row[BIG_ROW_SIZE_BYTES] = '\0';
	for (uint64_t i = 0; i < rows; i++) {
		char number[24];

		g_snprintf(number, sizeof(number), "%010" G_GUINT64_FORMAT, i);
		memcpy(row, number, 10);
		wire_row(answer->rows, &value, 1);
	}
	return done_rows(answer, "SELECT", rows);
}

static execute_result_t run_sleep(transaction_t *transaction,
				  const char *seconds, execute_answer_t *answer)
{
	uint64_t now_ms = clock_now_ms();
	const char *nothing = "";

	if (!transaction->sleep_until_ms)
		transaction->sleep_until_ms =
			now_ms +
			(uint64_t)(1000 * g_ascii_strtod(seconds ?: "0", NULL));
	if (now_ms < transaction->sleep_until_ms)
		return EXECUTE_WAIT;
	transaction->sleep_until_ms = 0;
	wire_row(answer->rows, &nothing, 1);
	return done(answer, "SELECT 1");
}

static execute_result_t run_group(server_t *server, const char *name,
				  const char *const *arguments,
				  execute_answer_t *answer)
{
	engine_t *engine = &server->engine;
	uint64_t term = g_ascii_strtoull(arguments[0] ?: "0", NULL, 10);
	bool taken = true;

	if (!strcmp(name, "group_fence")) {
		taken = engine_fence(engine, term);
	} else if (!strcmp(name, "group_promote")) {
		taken = engine_promote(engine, term, clock_now_ms());
		if (taken)
			upstream_stop(server);
	} else if (!strcmp(name, "group_follow")) {
		taken = arguments[1] && arguments[2] &&
			engine_follow(engine, term);
		if (taken)
			upstream_start(server, arguments[1],
				       (uint16_t)atoi(arguments[2]));
	} else if (strcmp(name, "group_status") != 0) {
		return fail(answer, "42883", "function does not exist");
	}
	if (!taken)
		return fail(answer, "TH002", "fenced by another term");
	return add_status(server, answer);
}

static execute_result_t run_function(server_t *server,
				     transaction_t *transaction,
				     const sql_statement_t *statement,
				     char *const *parameters,
				     execute_answer_t *answer)
{
	const char *name = statement->name;
	const char *arguments[SQL_OPERANDS_MAX];

	for (uint32_t i = 0; i < SQL_OPERANDS_MAX; i++)
		arguments[i] =
			operand_text(&statement->operands[i], parameters);
	if (!strcmp(name, "big"))
		return run_big(arguments[0], answer);
	if (!strcmp(name, "pg_sleep"))
		return run_sleep(transaction, arguments[0], answer);
	if (!strcmp(name, "group_point")) {
		log_point_t point = journal_end(&server->engine.journal);
		char texts[2][24];
		const char *values[] = {texts[0], texts[1]};

		format_number(texts[0], point.term);
		format_number(texts[1], point.position);
		wire_row(answer->rows, values, 2);
		return done(answer, "SELECT 1");
	}
	return run_group(server, name, arguments, answer);
}

static execute_result_t run_set(transaction_t *transaction,
				const sql_statement_t *statement,
				const char *value, execute_answer_t *answer)
{
	if (!strcmp(statement->name, "group.term"))
		transaction->group_term =
			g_ascii_strtoull(value ?: "0", NULL, 10);
	return done(answer, "SET");
}

static execute_result_t run_constants(const sql_statement_t *statement,
				      char *const *parameters,
				      execute_answer_t *answer)
{
	const char *values[SQL_OPERANDS_MAX];

	for (uint32_t i = 0; i < statement->operands_count; i++)
		values[i] = operand_text(&statement->operands[i], parameters);
	wire_row(answer->rows, values, statement->operands_count);
	return done(answer, "SELECT 1");
}

static execute_result_t run_control(server_t *server,
				    transaction_t *transaction,
				    const sql_statement_t *statement,
				    execute_answer_t *answer)
{
	bool failed = transaction->status == 'E';

	if (statement->kind == SQL_BEGIN) {
		if (transaction->status == 'I')
			transaction->read_only = statement->read_only;
		transaction->status = 'T';
		return done(answer, "BEGIN");
	}
	if (statement->kind == SQL_ROLLBACK || failed) {
		transaction_rollback(server, transaction);
		return done(answer, "ROLLBACK");
	}
	if (transaction_commit(server, transaction, answer) != EXECUTE_DONE)
		return EXECUTE_ERROR;
	return done(answer, "COMMIT");
}

static bool needs_term(const sql_statement_t *statement)
{
	if (statement->kind == SQL_FUNCTION)
		return strcmp(statement->name, "group_status") != 0 &&
		       strcmp(statement->name, "group_fence") != 0 &&
		       strcmp(statement->name, "group_promote") != 0 &&
		       strcmp(statement->name, "group_follow") != 0;
	return statement->kind != SQL_SET && statement->kind != SQL_ROLLBACK;
}

bool execute_is_control(const sql_statement_t *statement)
{
	return statement->kind == SQL_BEGIN || statement->kind == SQL_COMMIT ||
	       statement->kind == SQL_ROLLBACK;
}

static execute_result_t run_kind(server_t *server, transaction_t *transaction,
				 const sql_statement_t *statement,
				 char *const *parameters,
				 execute_answer_t *answer)
{
	const char *first = operand_text(&statement->operands[0], parameters);

	switch (statement->kind) {
	case SQL_CREATE:
	case SQL_INSERT:
	case SQL_UPDATE:
	case SQL_DELETE:
		return run_change(server, transaction, statement, parameters,
				  answer);
	case SQL_SELECT_KEY:
	case SQL_SELECT_ALL:
	case SQL_SELECT_COUNT:
		return run_select(server, transaction, statement, parameters,
				  answer);
	case SQL_SELECT_CONSTANT:
		return run_constants(statement, parameters, answer);
	case SQL_FUNCTION:
		return run_function(server, transaction, statement, parameters,
				    answer);
	case SQL_SET:
		return run_set(transaction, statement, first, answer);
	case SQL_SHOW:
		first = "";
		wire_row(answer->rows, &first, 1);
		return done(answer, "SHOW");
	default:
		return fail(answer, "0A000", "statement is not supported");
	}
}

execute_result_t execute_statement(server_t *server, transaction_t *transaction,
				   const sql_statement_t *statement,
				   char *const *parameters,
				   execute_answer_t *answer)
{
	if (needs_term(statement) &&
	    check_term(server, transaction, answer) != EXECUTE_DONE)
		return EXECUTE_ERROR;
	if (execute_is_control(statement))
		return run_control(server, transaction, statement, answer);
	if (transaction->status == 'E')
		return fail(answer, "25P02", "current transaction is aborted");
	return run_kind(server, transaction, statement, parameters, answer);
}
