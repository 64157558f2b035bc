#include "protocol/exchange.h"

#include <inttypes.h>
#include <string.h>

#include "protocol/commit_scan.h"
#include "protocol/outcome_report.h"

#define SQLSTATE_SIZE 6
#define SQLSTATE_READ_ONLY "25006"
#define SQLSTATE_UNIQUE "23505"
#define SQLSTATE_CLASS_INTEGRITY "23"
#define STEPS_MAX 8

/* One step of the exchange; the server ends each with a ReadyForQuery. */
typedef enum {
	STEP_TERM,	/* SET replication.term */
	STEP_KEY,	/* inserts the idempotency key, in a transaction */
	STEP_STATEMENT, /* sends the caller's messages */
	STEP_COMMIT,	/* commits the transaction of a change with a key */
	STEP_POINT,	/* queries the end of the log */
} step_t;

struct exchange {
	request_t *request;
	exchange_connection_t connection;
	step_t steps[STEPS_MAX];
	uint32_t steps_count;
	uint32_t sent;	      /* number of steps sent */
	uint32_t current;     /* step that the server answers now */
	uint64_t term;	      /* replication.term to run with, 0 for none */
	bool may_commit;      /* the request contains a COMMIT */
	bool buffers_answer;  /* the answer waits for the outcome */
	bool completed;	      /* the buffer holds a CommandComplete */
	bool overflow;	      /* the buffer exceeded its limit */
	bool passed_on;	      /* bytes were passed on to the caller */
	bool committed;	      /* the server reported COMMIT */
	bool rolled_back;     /* the last CommandComplete was ROLLBACK */
	bool not_run;	      /* the request is known to have had no effect */
	reason_t reason;      /* reason of not_run */
	bool answer_replaced; /* an error replaces the statement's answer */
	bool already_done;    /* the idempotency key existed before */
	char sqlstate[SQLSTATE_SIZE]; /* first error of the answer, or "" */
	char status;	      /* transaction status of the last ReadyForQuery */
	log_point_t point;    /* answer of STEP_POINT, or zero */
	GByteArray *buffered; /* bytes for the caller, buffered */
	GByteArray *ready;    /* bytes for the caller, to pass on now */
};

static void add_step(exchange_t *exchange, step_t step)
{
	g_assert(exchange->steps_count < STEPS_MAX);
	exchange->steps[exchange->steps_count++] = step;
}

static void plan_steps(exchange_t *exchange)
{
	const request_t *request = exchange->request;
	const bool changes = request->kind == REQUEST_WRITE;

	if (!exchange->connection.in_transaction &&
	    request->term != exchange->connection.term)
		add_step(exchange, STEP_TERM);
	if (request->request_key &&
	    (changes || exchange->connection.in_transaction))
		add_step(exchange, STEP_KEY);
	add_step(exchange, STEP_STATEMENT);
	if (request->request_key && changes)
		add_step(exchange, STEP_COMMIT);
	if (exchange->term && (changes || exchange->may_commit))
		add_step(exchange, STEP_POINT);
}

exchange_t *exchange_create(const request_t *request,
			    exchange_connection_t connection)
{
	exchange_t *exchange = g_new0(exchange_t, 1);

	exchange->request = request_copy(request);
	exchange->connection = connection;
	exchange->term =
		connection.in_transaction ? connection.term : request->term;
	exchange->may_commit = request->kind == REQUEST_TRANSACTION &&
			       commit_scan(request->bytes);
	exchange->buffers_answer =
		request->kind == REQUEST_WRITE || exchange->may_commit;
	exchange->status = connection.in_transaction ? 'T' : 'I';
	exchange->buffered = g_byte_array_new();
	exchange->ready = g_byte_array_new();
	plan_steps(exchange);
	return exchange;
}

void exchange_destroy(exchange_t *exchange)
{
	if (!exchange)
		return;
	request_delete(exchange->request);
	g_byte_array_unref(exchange->buffered);
	g_byte_array_unref(exchange->ready);
	g_free(exchange);
}

/*
 * Opens the transaction in the same query: the server runs nothing of a query
 * after an error, so that the key is not inserted if the BEGIN fails.
 */
static void write_key(const exchange_t *exchange, GByteArray *out)
{
	g_autofree char *key = pg_quote(exchange->request->request_key);
	g_autofree char *sql = g_strdup_printf(
		"%sINSERT INTO toucanhook_requests (key, value) "
		"VALUES (%s, '')",
		exchange->connection.in_transaction ? "" : "BEGIN; ", key);

	pg_write_query(out, sql);
}

static void write_term(const exchange_t *exchange, GByteArray *out)
{
	g_autofree char *sql = g_strdup_printf(
		"SET replication.term = '%" PRIu64 "'", exchange->term);

	pg_write_query(out, sql);
}

static void write_step(const exchange_t *exchange, step_t step, GByteArray *out)
{
	gsize size_bytes = 0;
	const uint8_t *bytes = NULL;

	switch (step) {
	case STEP_TERM:
		write_term(exchange, out);
		return;
	case STEP_KEY:
		write_key(exchange, out);
		return;
	case STEP_STATEMENT:
		bytes = g_bytes_get_data(exchange->request->bytes, &size_bytes);
		g_byte_array_append(out, bytes, (guint)size_bytes);
		return;
	case STEP_COMMIT:
		pg_write_query(out, "COMMIT");
		return;
	case STEP_POINT:
		pg_write_query(out, "SELECT * FROM group_point()");
		return;
	}
}

/*
 * Later steps may be sent only after the server has answered these steps: no
 * statement may run before the term is set, and no change with a key before
 * its key is inserted.
 */
static bool blocks_later_steps(const exchange_t *exchange, step_t step)
{
	return step == STEP_TERM ||
	       (step == STEP_KEY && !exchange->connection.in_transaction);
}

void exchange_send(exchange_t *exchange, GByteArray *out)
{
	while (exchange->sent < exchange->steps_count) {
		const step_t step = exchange->steps[exchange->sent++];

		write_step(exchange, step, out);
		if (blocks_later_steps(exchange, step))
			return;
	}
}

static step_t current_step(const exchange_t *exchange)
{
	return exchange->steps[exchange->current];
}

static void set_not_run(exchange_t *exchange, reason_t reason)
{
	if (exchange->not_run)
		return;
	exchange->not_run = true;
	exchange->reason = reason;
}

/*
 * Marks the request as not run if the SQLSTATE proves that it had no effect.
 *
 * @return whether the SQLSTATE proves it
 */
static bool check_not_run(exchange_t *exchange, const char *sqlstate)
{
	if (exchange->passed_on)
		return false;
	if (!strcmp(sqlstate, SQLSTATE_OTHER_TERM)) {
		set_not_run(exchange, REASON_OTHER_TERM);
		return true;
	}
	/* In a transaction the caller itself may have set READ ONLY. */
	if (!strcmp(sqlstate, SQLSTATE_READ_ONLY) &&
	    !exchange->connection.in_transaction &&
	    exchange->request->kind != REQUEST_TRANSACTION) {
		set_not_run(exchange, REASON_NOT_PRIMARY);
		return true;
	}
	return false;
}

/* Adds a message to the bytes to pass on, or to the buffered bytes. */
static void pass_on(exchange_t *exchange, const pg_message_t *message)
{
	GByteArray *out =
		exchange->buffers_answer ? exchange->buffered : exchange->ready;

	g_byte_array_append(out, message->body - PG_HEADER_SIZE_BYTES,
			    (guint)message->size_bytes);
	if (!exchange->buffers_answer) {
		exchange->passed_on = true;
		return;
	}
	if (exchange->completed) {
		exchange->overflow |= out->len > EXCHANGE_BUFFER_SIZE_BYTES_MAX;
		return;
	}
	if (out->len <= EXCHANGE_BUFFER_SIZE_BYTES)
		return;
	/* Rows do not report success, so they need not be buffered. */
	g_byte_array_append(exchange->ready, out->data, out->len);
	g_byte_array_set_size(out, 0);
	exchange->passed_on = true;
}

static void handle_statement_error(exchange_t *exchange,
				   const pg_message_t *message)
{
	const char *sqlstate = pg_error_field(message, 'C');

	if (!sqlstate)
		sqlstate = "XX000";
	if (exchange->answer_replaced || exchange->not_run ||
	    check_not_run(exchange, sqlstate))
		return;
	if (!*exchange->sqlstate)
		g_strlcpy(exchange->sqlstate, sqlstate, SQLSTATE_SIZE);
	pass_on(exchange, message);
}

static void handle_statement(exchange_t *exchange, const pg_message_t *message)
{
	const char *tag = (const char *)message->body;

	if (message->type == 'E') {
		handle_statement_error(exchange, message);
		return;
	}
	if (message->type == 'C' && message->body_size_bytes > 0 &&
	    memchr(tag, 0, message->body_size_bytes)) {
		if (!strcmp(tag, "COMMIT")) {
			exchange->committed = true;
			exchange->buffers_answer = true;
		}
		exchange->rolled_back = !strcmp(tag, "ROLLBACK");
		exchange->completed |= exchange->buffers_answer;
	}
	if (exchange->answer_replaced || exchange->not_run)
		return;
	pass_on(exchange, message);
}

/* Replaces the answer of a change by the error of an added statement. */
static void replace_answer(exchange_t *exchange, const pg_message_t *message)
{
	const char *sqlstate = pg_error_field(message, 'C');

	if (!sqlstate)
		sqlstate = "XX000";
	if (exchange->not_run || exchange->answer_replaced ||
	    check_not_run(exchange, sqlstate) || *exchange->sqlstate)
		return;
	exchange->answer_replaced = true;
	g_strlcpy(exchange->sqlstate, sqlstate, SQLSTATE_SIZE);
	g_byte_array_set_size(exchange->buffered, 0);
	g_byte_array_append(exchange->buffered,
			    message->body - PG_HEADER_SIZE_BYTES,
			    (guint)message->size_bytes);
}

static void handle_key(exchange_t *exchange, const pg_message_t *message)
{
	const char *sqlstate = NULL;

	if (message->type != 'E')
		return;
	sqlstate = pg_error_field(message, 'C');
	if (!sqlstate || strcmp(sqlstate, SQLSTATE_UNIQUE) != 0) {
		replace_answer(exchange, message);
		return;
	}
	exchange->already_done = true;
	exchange->answer_replaced = true;
	pg_write_error(exchange->buffered, "ERROR", SQLSTATE_ALREADY_DONE,
		       "a change with this request key was already made", NULL);
}

static void handle_point(exchange_t *exchange, const pg_message_t *message)
{
	g_auto(GStrv) values = NULL;
	guint64 term = 0;
	guint64 position = 0;

	if (message->type != 'D')
		return;
	values = pg_row_read(message, 2);
	if (!values ||
	    !g_ascii_string_to_unsigned(values[0], 10, 1, G_MAXUINT64, &term,
					NULL) ||
	    !g_ascii_string_to_unsigned(values[1], 10, 0, G_MAXUINT64,
					&position, NULL))
		return;
	exchange->point = (log_point_t){term, position};
}

static void handle_for_step(exchange_t *exchange, const pg_message_t *message)
{
	switch (current_step(exchange)) {
	case STEP_TERM:
		/* Without the term nothing may run, whatever the error is. */
		if (message->type == 'E')
			set_not_run(exchange, REASON_OTHER_TERM);
		return;
	case STEP_COMMIT:
		if (message->type == 'E')
			replace_answer(exchange, message);
		return;
	case STEP_KEY:
		handle_key(exchange, message);
		return;
	case STEP_STATEMENT:
		handle_statement(exchange, message);
		return;
	case STEP_POINT:
		handle_point(exchange, message);
		return;
	}
}

/*
 * Adds a query of the point after an unplanned end of the transaction. A
 * ROLLBACK needs the point, too: the caller may have seen rows in the
 * transaction, or learned of rows from an error.
 */
static void finish_statement(exchange_t *exchange)
{
	const bool planned = exchange->current + 1 < exchange->steps_count;

	if (!planned && exchange->term && exchange->status == 'I' &&
	    !exchange->not_run &&
	    exchange->request->kind == REQUEST_TRANSACTION)
		add_step(exchange, STEP_POINT);
}

/* Skips steps that were not sent and cannot have an effect any more. */
static void skip_steps(exchange_t *exchange)
{
	if (exchange->sent != exchange->current)
		return;
	if (exchange->not_run)
		exchange->current = exchange->steps_count;
	else if (exchange->answer_replaced && exchange->current < STEPS_MAX &&
		 current_step(exchange) == STEP_STATEMENT)
		exchange->current++;
	exchange->sent = exchange->current;
}

static exchange_state_t finish_step(exchange_t *exchange, char status)
{
	const step_t step = current_step(exchange);

	exchange->status = status;
	if (step == STEP_STATEMENT)
		finish_statement(exchange);
	exchange->current++;
	skip_steps(exchange);
	if (exchange->current >= exchange->steps_count)
		return EXCHANGE_ENDED;
	return exchange->sent == exchange->current ? EXCHANGE_SEND :
						     EXCHANGE_RUNNING;
}

exchange_state_t exchange_handle_message(exchange_t *exchange,
					 const pg_message_t *message)
{
	pg_reader_t reader = pg_reader(message);

	if (exchange->current >= exchange->steps_count)
		return EXCHANGE_ENDED;
	if (message->type == 'Z')
		return finish_step(exchange, (char)pg_read_u8(&reader));
	handle_for_step(exchange, message);
	return EXCHANGE_RUNNING;
}

static GBytes *steal_bytes(GByteArray **array)
{
	GByteArray *taken = *array;

	if (!taken->len)
		return NULL;
	*array = g_byte_array_new();
	return g_byte_array_free_to_bytes(taken);
}

GBytes *exchange_take_ready(exchange_t *exchange)
{
	return steal_bytes(&exchange->ready);
}

GBytes *exchange_take_buffered(exchange_t *exchange)
{
	return steal_bytes(&exchange->buffered);
}

bool exchange_may_commit(const exchange_t *exchange)
{
	return exchange->request->kind == REQUEST_WRITE ||
	       exchange->may_commit || exchange->committed;
}

/*
 * An error needs no confirmation, unless it reveals that rows exist (integrity
 * violation or used key): those rows must be confirmed.
 */
static bool needs_confirm(const exchange_t *exchange)
{
	if (!exchange->term || exchange->status != 'I' ||
	    !exchange_may_commit(exchange))
		return false;
	if (exchange->already_done ||
	    g_str_has_prefix(exchange->sqlstate, SQLSTATE_CLASS_INTEGRITY))
		return true;
	return !*exchange->sqlstate && !exchange->rolled_back;
}

exchange_result_t exchange_result(const exchange_t *exchange)
{
	exchange_result_t result = {
		.outcome = OUTCOME_DONE,
		.transaction_status = exchange->status,
		.point = exchange->point,
		.term = exchange->term,
		.needs_confirm = needs_confirm(exchange),
		.unconfirmed = *exchange->sqlstate || exchange->already_done ?
				       OUTCOME_NOT_RUN :
				       OUTCOME_UNKNOWN,
		.reusable = !exchange->not_run,
	};

	if (exchange->not_run) {
		result.outcome = OUTCOME_NOT_RUN;
		result.reason = exchange->reason;
		result.needs_confirm = false;
		result.point = (log_point_t){0};
	} else if (exchange->overflow ||
		   (result.needs_confirm && !exchange->point.term)) {
		/* Without a point the server may not be primary any more. */
		result.outcome = result.unconfirmed;
		result.reason = REASON_UNCONFIRMED;
		result.needs_confirm = false;
		result.reusable = false;
	}
	return result;
}

exchange_result_t exchange_result_on_failure(const exchange_t *exchange,
					     reason_t reason)
{
	exchange_result_t result = {
		.outcome = OUTCOME_NOT_RUN,
		.reason = reason,
		.transaction_status = 'I',
	};

	if (exchange->not_run)
		result.reason = exchange->reason;
	if (exchange->not_run || !exchange->sent)
		return result;
	/* The term is sent alone: nothing else is sent before its answer. */
	if (exchange->current < exchange->steps_count &&
	    current_step(exchange) == STEP_TERM)
		return result;
	if (exchange_may_commit(exchange) || exchange->passed_on) {
		result.outcome = OUTCOME_UNKNOWN;
		if (reason == REASON_UNREACHABLE)
			result.reason = REASON_LOST_ANSWER;
	}
	return result;
}
