#include "standin/backend/execute.h"

#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "standin/backend/rows.h"
#include "standin/backend/stream.h"
#include "standin/backend/wire.h"

/** Size of each row that big(N) returns. */
#define BIG_ROW_SIZE_BYTES 1024u
/** Maximum number of rows that big(N) returns. */
#define BIG_ROWS_MAX 65536u

const char *execute_operand(const sql_operand_t *operand,
			    char *const *parameters)
{
	return operand->parameter ? parameters[operand->parameter - 1] :
				    operand->text;
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
	return answer_done(answer, "SELECT 1");
}

static execute_result_t run_big(const char *argument, execute_answer_t *answer)
{
	uint64_t rows = g_ascii_strtoull(argument ?: "0", NULL, 10);
	char row[BIG_ROW_SIZE_BYTES + 1];
	const char *value = row;

	if (rows > BIG_ROWS_MAX)
		return answer_fail(answer, "22023", "too many rows");
	memset(row, 'x', BIG_ROW_SIZE_BYTES);
	row[BIG_ROW_SIZE_BYTES] = '\0';
	for (uint64_t i = 0; i < rows; i++) {
		char number[24];

		g_snprintf(number, sizeof(number), "%010" G_GUINT64_FORMAT, i);
		memcpy(row, number, 10);
		wire_row(answer->rows, &value, 1);
	}
	return answer_rows(answer, "SELECT", rows);
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
	return answer_done(answer, "SELECT 1");
}

static execute_result_t run_group(server_t *server, const char *name,
				  const char *const *arguments,
				  execute_answer_t *answer)
{
	engine_t *engine = &server->engine;
	uint64_t term = g_ascii_strtoull(arguments[0] ?: "0", NULL, 10);
	bool accepted = true;

	if (!strcmp(name, "group_fence")) {
		accepted = engine_fence(engine, term);
	} else if (!strcmp(name, "group_promote")) {
		accepted = engine_promote(engine, term, clock_now_ms());
		if (accepted)
			upstream_stop(server);
	} else if (!strcmp(name, "group_follow")) {
		accepted = arguments[1] && arguments[2] &&
			   engine_follow(engine, term);
		if (accepted)
			upstream_start(server, arguments[1],
				       (uint16_t)atoi(arguments[2]));
	} else if (strcmp(name, "group_status") != 0) {
		return answer_fail(answer, "42883", "function does not exist");
	}
	if (!accepted)
		return answer_fail(answer, "TH002", "fenced by another term");
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
			execute_operand(&statement->operands[i], parameters);
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
		return answer_done(answer, "SELECT 1");
	}
	return run_group(server, name, arguments, answer);
}

static execute_result_t run_set(transaction_t *transaction,
				const sql_statement_t *statement,
				const char *value, execute_answer_t *answer)
{
	if (!strcmp(statement->name, "replication.term"))
		transaction->required_term =
			g_ascii_strtoull(value ?: "0", NULL, 10);
	return answer_done(answer, "SET");
}

static execute_result_t run_constants(const sql_statement_t *statement,
				      char *const *parameters,
				      execute_answer_t *answer)
{
	const char *values[SQL_OPERANDS_MAX];

	for (uint32_t i = 0; i < statement->operands_count; i++)
		values[i] =
			execute_operand(&statement->operands[i], parameters);
	wire_row(answer->rows, values, statement->operands_count);
	return answer_done(answer, "SELECT 1");
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
		return answer_done(answer, "BEGIN");
	}
	if (statement->kind == SQL_ROLLBACK || failed) {
		transaction_rollback(server, transaction);
		return answer_done(answer, "ROLLBACK");
	}
	if (transaction_commit(server, transaction, answer) != EXECUTE_DONE)
		return EXECUTE_ERROR;
	return answer_done(answer, "COMMIT");
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
	const char *first =
		execute_operand(&statement->operands[0], parameters);

	switch (statement->kind) {
	case SQL_CREATE:
	case SQL_INSERT:
	case SQL_UPDATE:
	case SQL_DELETE:
		return rows_change(server, transaction, statement, parameters,
				   answer);
	case SQL_SELECT_KEY:
	case SQL_SELECT_ALL:
	case SQL_SELECT_COUNT:
		return rows_select(server, transaction, statement, parameters,
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
		return answer_done(answer, "SHOW");
	default:
		return answer_fail(answer, "0A000",
				   "statement is not supported");
	}
}

execute_result_t execute_statement(server_t *server, transaction_t *transaction,
				   const sql_statement_t *statement,
				   char *const *parameters,
				   execute_answer_t *answer)
{
	if (needs_term(statement) &&
	    transaction_check_term(server, transaction, answer) != EXECUTE_DONE)
		return EXECUTE_ERROR;
	if (execute_is_control(statement))
		return run_control(server, transaction, statement, answer);
	if (transaction->status == 'E')
		return answer_fail(answer, "25P02",
				   "current transaction is aborted");
	return run_kind(server, transaction, statement, parameters, answer);
}
