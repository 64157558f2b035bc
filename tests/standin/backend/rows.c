#include "standin/backend/rows.h"

#include <string.h>

#include "base/clock.h"
#include "standin/backend/execute.h"
#include "standin/backend/wire.h"

/** Maximum wait for a row that another transaction has locked. */
#define LOCK_TIMEOUT_MS 1000u

/* Looks up a row. @return whether it exists for the transaction */
static bool find_row(const server_t *server, const transaction_t *transaction,
		     const char *table, const char *key, const char **value)
{
	GHashTable *rows = engine_table(&server->engine, table);
	void *stored = NULL;

	for (guint i = transaction->changes->len; i > 0; i--) {
		const change_t *change = transaction->changes->pdata[i - 1];

		if (change->kind == CHANGE_CREATE ||
		    g_strcmp0(change->table, table) != 0 ||
		    g_strcmp0(change->key, key) != 0)
			continue;
		*value = change->value;
		return change->kind == CHANGE_PUT;
	}
	if (!rows || !g_hash_table_lookup_extended(rows, key, NULL, &stored))
		return false;
	*value = stored;
	return true;
}

/* @return whether the table exists for the transaction. */
static bool has_table(const server_t *server, const transaction_t *transaction,
		      const char *table)
{
	for (guint i = 0; i < transaction->changes->len; i++) {
		const change_t *change = transaction->changes->pdata[i];

		if (change->kind == CHANGE_CREATE &&
		    !g_strcmp0(change->table, table))
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
		return answer_fail(answer, "42P07", "table already exists");
	return answer_done(answer, "CREATE TABLE");
}

static execute_result_t run_insert(server_t *server, transaction_t *transaction,
				   const sql_statement_t *statement,
				   const char *key, const char *value,
				   bool found, execute_answer_t *answer)
{
	if (found && statement->keep_existing)
		return answer_done(answer, "INSERT 0 0");
	if (found)
		return answer_fail(
			answer, "23505",
			"duplicate key value violates unique constraint");
	g_ptr_array_add(transaction->changes,
			change_new(CHANGE_PUT, statement->name, key, value));
	return answer_done(answer, "INSERT 0 1");
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
	return answer_fail(answer, "40P01", "waited too long for a row");
}

execute_result_t rows_change(server_t *server, transaction_t *transaction,
			     const sql_statement_t *statement,
			     char *const *parameters, execute_answer_t *answer)
{
	const char *key = execute_operand(&statement->operands[0], parameters);
	const char *value =
		execute_operand(&statement->operands[1], parameters);
	const char *old = NULL;
	change_kind_t kind =
		statement->kind == SQL_DELETE ? CHANGE_DELETE : CHANGE_PUT;
	bool found;

	if (!engine_writable(&server->engine) || transaction->read_only)
		return answer_fail(answer, "25006",
				   "cannot execute in a read-only transaction");
	if (statement->kind == SQL_CREATE)
		return run_create(server, transaction, statement, answer);
	if (!has_table(server, transaction, statement->name))
		return answer_fail(answer, "42P01", "relation does not exist");
	if (!key)
		return answer_fail(answer, "23502",
				   "null value in column \"key\"");
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
	return answer_rows(answer, kind == CHANGE_PUT ? "UPDATE" : "DELETE",
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

		if (change->key && !g_strcmp0(change->table, statement->name))
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
		return answer_done(answer, "SELECT 1");
	}
	return answer_rows(answer, "SELECT", g_hash_table_size(seen));
}

execute_result_t rows_select(server_t *server, transaction_t *transaction,
			     const sql_statement_t *statement,
			     char *const *parameters, execute_answer_t *answer)
{
	const char *key = execute_operand(&statement->operands[0], parameters);
	const char *value = NULL;
	const char *count = "0";
	bool found;

	server->counts.reads++;
	if (!has_table(server, transaction, statement->name))
		return answer_fail(answer, "42P01", "relation does not exist");
	if (!statement->operands_count)
		return run_scan(server, transaction, statement, answer);
	found = key &&
		find_row(server, transaction, statement->name, key, &value);
	if (statement->kind == SQL_SELECT_COUNT) {
		count = found ? "1" : "0";
		wire_row(answer->rows, &count, 1);
		return answer_done(answer, "SELECT 1");
	}
	if (found)
		add_table_row(statement, key, value, answer);
	return answer_rows(answer, "SELECT", found);
}
