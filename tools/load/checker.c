#include "load/checker.h"

#include <glib.h>

/** One write of a session. */
typedef struct {
	bool insert; /**< an insert of a row, else an update of the counter */
	bool ended;
	outcome_t outcome; /**< valid if ended */
	uint32_t found;	   /**< number of its rows after the run */
} write_t;

typedef struct {
	GArray *writes;	      /**< write_t; write N has index N - 1 */
	uint64_t last_update; /**< last acknowledged update, or 0 */
	uint64_t last_insert; /**< last acknowledged insert, or 0 */
} session_t;

struct checker {
	session_t *sessions;
	uint32_t sessions_count;
	checker_violations_t violations;
};

checker_t *checker_create(uint32_t sessions)
{
	checker_t *checker = g_new0(checker_t, 1);

	checker->sessions = g_new0(session_t, sessions);
	checker->sessions_count = sessions;
	for (uint32_t i = 0; i < sessions; i++)
		checker->sessions[i].writes =
			g_array_new(FALSE, TRUE, sizeof(write_t));
	return checker;
}

void checker_destroy(checker_t *checker)
{
	if (!checker)
		return;
	for (uint32_t i = 0; i < checker->sessions_count; i++)
		g_array_unref(checker->sessions[i].writes);
	g_free(checker->sessions);
	g_free(checker);
}

static write_t *find_write(const checker_t *checker, uint32_t session,
			   uint64_t number)
{
	GArray *writes;

	if (session >= checker->sessions_count)
		return NULL;
	writes = checker->sessions[session].writes;
	if (number < 1 || number > writes->len)
		return NULL;
	return &g_array_index(writes, write_t, number - 1);
}

uint64_t checker_begin_write(checker_t *checker, uint32_t session, bool insert)
{
	write_t write = {.insert = insert};

	g_array_append_val(checker->sessions[session].writes, write);
	return checker->sessions[session].writes->len;
}

void checker_end_write(checker_t *checker, uint32_t session, uint64_t number,
		       outcome_t outcome)
{
	session_t *state = &checker->sessions[session];
	write_t *write = find_write(checker, session, number);

	write->ended = true;
	write->outcome = outcome;
	if (outcome != OUTCOME_DONE)
		return;
	if (write->insert)
		state->last_insert = MAX(state->last_insert, number);
	else
		state->last_update = MAX(state->last_update, number);
}

uint64_t checker_floor(const checker_t *checker, uint32_t session)
{
	return checker->sessions[session].last_update;
}

uint64_t checker_last_insert(const checker_t *checker, uint32_t session)
{
	return checker->sessions[session].last_insert;
}

void checker_verify_counter_read(checker_t *checker, uint32_t session,
				 uint64_t floor, uint64_t value)
{
	const write_t *write;

	if (value < floor)
		checker->violations.stale_reads++;
	if (!value)
		return;
	write = find_write(checker, session, value);
	if (!write || write->insert)
		checker->violations.phantom_reads++;
	else if (write->ended && write->outcome == OUTCOME_NOT_RUN)
		checker->violations.refused_seen++;
}

void checker_verify_insert_read(checker_t *checker, bool found)
{
	if (!found)
		checker->violations.stale_reads++;
}

void checker_record_duplicate(checker_t *checker)
{
	checker->violations.doubled++;
}

void checker_verify_final_insert(checker_t *checker, uint32_t session,
				 uint64_t number)
{
	write_t *write = find_write(checker, session, number);

	if (!write || !write->insert) {
		checker->violations.phantom_reads++;
		return;
	}
	if (write->found++)
		checker->violations.doubled++;
	else if (write->ended && write->outcome == OUTCOME_NOT_RUN)
		checker->violations.refused_seen++;
}

void checker_verify_final_counter(checker_t *checker, uint32_t session,
				  uint64_t value)
{
	if (session >= checker->sessions_count)
		return;
	if (value < checker_floor(checker, session))
		checker->violations.lost_updates++;
	checker_verify_counter_read(checker, session, 0, value);
}

void checker_finish(checker_t *checker)
{
	for (uint32_t i = 0; i < checker->sessions_count; i++) {
		const GArray *writes = checker->sessions[i].writes;

		for (guint j = 0; j < writes->len; j++) {
			const write_t *write =
				&g_array_index(writes, write_t, j);

			if (write->insert && write->ended &&
			    write->outcome == OUTCOME_DONE && !write->found)
				checker->violations.lost++;
		}
	}
}

checker_violations_t checker_violations(const checker_t *checker)
{
	return checker->violations;
}

uint64_t checker_violations_total(const checker_violations_t *violations)
{
	return violations->stale_reads + violations->phantom_reads +
	       violations->refused_seen + violations->lost +
	       violations->doubled + violations->lost_updates;
}
