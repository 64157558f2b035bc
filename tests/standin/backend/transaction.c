#include "standin/backend/transaction.h"

#include <string.h>

#include "base/clock.h"

execute_result_t answer_fail(execute_answer_t *answer, const char *sqlstate,
			     const char *message)
{
	g_strlcpy(answer->sqlstate, sqlstate, sizeof(answer->sqlstate));
	g_strlcpy(answer->message, message, sizeof(answer->message));
	return EXECUTE_ERROR;
}

execute_result_t answer_done(execute_answer_t *answer, const char *tag)
{
	g_strlcpy(answer->tag, tag, sizeof(answer->tag));
	return EXECUTE_DONE;
}

execute_result_t answer_rows(execute_answer_t *answer, const char *verb,
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
	bool had_changes = transaction->changes->len > 0;

	transaction->status = 'I';
	transaction->read_only = false;
	transaction->lock_until_ms = 0;
	transaction->sleep_until_ms = 0;
	g_ptr_array_set_size(transaction->changes, 0);
	engine_unlock(&server->engine, transaction);
	if (had_changes)
		server_transaction_ended(server);
}

void transaction_close(server_t *server, transaction_t *transaction)
{
	transaction_rollback(server, transaction);
	g_ptr_array_unref(transaction->changes);
}

execute_result_t transaction_check_term(server_t *server,
					const transaction_t *transaction,
					execute_answer_t *answer)
{
	if (!transaction->required_term ||
	    engine_is_primary_in(&server->engine, transaction->required_term))
		return EXECUTE_DONE;
	return answer_fail(answer, "TH001", "server does not lead this term");
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

	if (transaction_check_term(server, transaction, answer) != EXECUTE_DONE)
		return EXECUTE_ERROR;
	if (!changes->len) {
		transaction_rollback(server, transaction);
		return EXECUTE_DONE;
	}
	if (!engine_writable(&server->engine))
		return answer_fail(answer, "25006",
				   "server is not the primary");
	count_inserts(server, changes);
	server->counts.commits++;
	transaction->changes = g_ptr_array_new_with_free_func(change_delete);
	engine_commit(&server->engine, changes, clock_now_ms());
	transaction_rollback(server, transaction);
	server_transaction_ended(server);
	return EXECUTE_DONE;
}
