#include "relay/relay_attempt.h"

#include <string.h>

#include "base/clock.h"
#include "base/log.h"

/* Time after which the connection of an abandoned statement is closed. */
#define ABANDONED_TIMEOUT_MS 3000

/* A statement that sets up the session state. */
typedef struct {
	char *text;
	relay_link_done_t done;
} setup_t;

struct relay_attempt {
	relay_service_t *service;
	relay_server_t *server;
	relay_link_t *link;
	relay_request_t request;
	log_point_t after;
	GQueue setup;	     /* setup_t, to be sent first */
	uint32_t conditions; /* answers awaited before the statement is sent */
	char *prepared_name; /* of the request's definition, or NULL */
	bool sent;	     /* the caller's statement was sent */
	bool withdrawn; /* the caller's statement must not be sent any more */
	bool abandoned;
	bool dirty; /* the session state differs from relay_link_state() */
	struct event *timer; /* closes the connection of an abandoned attempt */
	uint64_t started_ms; /* on the boot clock */
	relay_attempt_done_t done;
	void *context;
};

static void send_statement(relay_attempt_t *attempt);

static const relay_codec_t *codec_of(const relay_attempt_t *attempt)
{
	return relay_services_settings(relay_service_services(attempt->service))
		->codec;
}

static void setup_free(gpointer data)
{
	setup_t *setup = data;

	g_free(setup->text);
	g_free(setup);
}

static void attempt_free(relay_attempt_t *attempt)
{
	g_queue_clear_full(&attempt->setup, setup_free);
	g_free(attempt->prepared_name);
	if (attempt->timer)
		event_free(attempt->timer);
	g_free(attempt);
}

void relay_attempt_discard(relay_attempt_t *attempt)
{
	relay_server_discard(attempt->server, attempt->link);
	attempt_free(attempt);
}

void relay_attempt_finish(relay_attempt_t *attempt)
{
	if (attempt->dirty || relay_link_state(attempt->link)->in_transaction) {
		relay_attempt_discard(attempt);
		return;
	}
	relay_server_release(attempt->server, attempt->link,
			     clock_boot_ms() - attempt->started_ms);
	attempt_free(attempt);
}

relay_link_t *relay_attempt_detach_link(relay_attempt_t *attempt)
{
	relay_link_t *link = attempt->link;

	attempt_free(attempt);
	return link;
}

static void attempt_end(relay_attempt_t *attempt, relay_attempt_end_t outcome,
			const relay_answer_t *answer)
{
	if (!attempt->abandoned) {
		attempt->done(attempt->context, attempt, outcome, answer);
		return;
	}
	if (answer)
		relay_attempt_finish(attempt);
	else
		relay_attempt_discard(attempt);
}

static void on_answer(void *context, const relay_answer_t *answer)
{
	relay_attempt_t *attempt = context;

	if (answer->broken) {
		attempt_end(attempt,
			    answer->error == RELAY_ERROR_MALFORMED ?
				    RELAY_ATTEMPT_UNREADABLE :
				    RELAY_ATTEMPT_LOST,
			    NULL);
		return;
	}
	relay_service_record_point(attempt->service, attempt->server,
				   answer->point, answer->sent_ms);
	attempt_end(attempt, RELAY_ATTEMPT_ANSWERED, answer);
}

/* Ends the attempt after a setup statement that failed or got no answer. */
static void fail_setup(relay_attempt_t *attempt, const relay_answer_t *answer)
{
	attempt_end(attempt,
		    attempt->sent ? RELAY_ATTEMPT_LOST : RELAY_ATTEMPT_NOT_RUN,
		    answer->broken || attempt->sent ? NULL : answer);
}

/* Sends the statement once all conditions are met. */
static void condition_met(relay_attempt_t *attempt,
			  const relay_answer_t *answer)
{
	if (attempt->sent || --attempt->conditions)
		return;
	if (attempt->abandoned || attempt->withdrawn)
		attempt_end(attempt, RELAY_ATTEMPT_NOT_RUN,
			    attempt->abandoned ? answer : NULL);
	else
		send_statement(attempt);
}

/* Handles the answer to a statement that sets variables or the customer. */
static void on_session_set(void *context, const relay_answer_t *answer)
{
	relay_attempt_t *attempt = context;

	if (!answer->broken && !answer->failed) {
		condition_met(attempt, answer);
		return;
	}
	attempt->dirty = true;
	fail_setup(attempt, answer);
}

/*
 * Preparing a statement is no condition, nor is closing one: a name that the
 * server does not have is unknown there, and means nothing else.
 */
static void on_prepared(void *context, const relay_answer_t *answer)
{
	relay_attempt_t *attempt = context;

	attempt->dirty |= answer->failed;
	/* In a transaction the caller would be told of an unknown name. */
	if (answer->broken || (answer->failed && answer->status != 'I'))
		fail_setup(attempt, answer);
}

static void on_begin(void *context, const relay_answer_t *answer)
{
	relay_attempt_t *attempt = context;

	if (answer->broken || answer->failed) {
		attempt->dirty |= attempt->sent;
		fail_setup(attempt, answer);
	} else if (answer->status != 'T') {
		attempt_end(attempt,
			    attempt->sent ? RELAY_ATTEMPT_LOST :
					    RELAY_ATTEMPT_NOT_RUN,
			    NULL);
	} else {
		condition_met(attempt, answer);
	}
}

static char *statement_text(const relay_attempt_t *attempt)
{
	const relay_request_t *request = &attempt->request;

	if (!request->definition)
		return g_strdup(request->text);
	return codec_of(attempt)->text_execute(attempt->prepared_name,
					       request->arguments);
}

static void send_statement(relay_attempt_t *attempt)
{
	g_autofree char *text = statement_text(attempt);
	const bool in_transaction =
		attempt->request.begin_id ||
		relay_link_state(attempt->link)->in_transaction;

	attempt->sent = true;
	relay_link_run(attempt->link, attempt->request.id,
		       in_transaction ? (log_point_t){0} : attempt->after, text,
		       on_answer, attempt);
}

static void send_setup(relay_attempt_t *attempt, const setup_t *setup)
{
	attempt->conditions += setup->done == on_session_set;
	relay_link_run(attempt->link, NULL, (log_point_t){0}, setup->text,
		       setup->done, attempt);
}

/*
 * Pipelines the setup and, without conditions, the statement. After a SET or
 * RESET that fails the statement would run with another session's variables,
 * after a BEGIN that fails it would be committed on its own: it waits for their
 * answers. A forwarding node answers them itself and does the waiting.
 */
static void send_all(relay_attempt_t *attempt)
{
	const relay_request_t *request = &attempt->request;
	setup_t *setup;

	while ((setup = g_queue_pop_head(&attempt->setup))) {
		send_setup(attempt, setup);
		setup_free(setup);
	}
	if (request->begin_id) {
		attempt->conditions++;
		relay_link_run(attempt->link, request->begin_id, attempt->after,
			       request->begin_text, on_begin, attempt);
	}
	if (!attempt->conditions || relay_link_is_forwarded(attempt->link))
		send_statement(attempt);
}

static bool has_other_values(GHashTable *held, GHashTable *wanted)
{
	GHashTableIter iter;
	gpointer name;

	g_hash_table_iter_init(&iter, held);
	while (g_hash_table_iter_next(&iter, &name, NULL))
		if (!wanted || !g_hash_table_contains(wanted, name))
			return true;
	return false;
}

/* Queues a statement, whose text is freed. */
static void queue_setup(relay_attempt_t *attempt, char *text,
			relay_link_done_t done)
{
	setup_t *setup = g_new0(setup_t, 1);

	setup->text = text;
	setup->done = done;
	g_queue_push_tail(&attempt->setup, setup);
}

static void queue_reset(relay_attempt_t *attempt)
{
	relay_link_state_t *state = relay_link_state(attempt->link);

	queue_setup(attempt, codec_of(attempt)->text_reset(), on_session_set);
	g_hash_table_remove_all(state->values);
	relay_prepared_clear(state->prepared);
	/* The hub forgets the customer as well. */
	if (relay_link_is_forwarded(attempt->link))
		g_clear_pointer(&state->customer, g_free);
}

/*
 * Queues the statement that switches a forwarded connection to the customer.
 * A connection to the server itself was opened for its customer.
 */
static void queue_customer(relay_attempt_t *attempt)
{
	relay_link_state_t *state = relay_link_state(attempt->link);
	const catalog_customer_t *customer = attempt->request.customer;

	if (!relay_link_is_forwarded(attempt->link))
		return;
	if (!customer && state->customer)
		queue_reset(attempt);
	if (!customer || !g_strcmp0(state->customer, customer->name))
		return;
	queue_setup(attempt, codec_of(attempt)->text_as(customer->name),
		    on_session_set);
	g_free(state->customer);
	state->customer = g_strdup(customer->name);
}

/* Queues the statements that set the customer and the session variables. */
static void queue_session(relay_attempt_t *attempt)
{
	relay_link_state_t *state = relay_link_state(attempt->link);
	const relay_codec_t *codec = codec_of(attempt);
	GHashTableIter iter;
	gpointer name;
	gpointer value;

	if (has_other_values(state->values, attempt->request.values))
		queue_reset(attempt);
	queue_customer(attempt);
	if (!attempt->request.values)
		return;
	g_hash_table_iter_init(&iter, attempt->request.values);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		if (!g_strcmp0(g_hash_table_lookup(state->values, name), value))
			continue;
		queue_setup(attempt, codec->text_set(name, value),
			    on_session_set);
		g_hash_table_insert(state->values, g_strdup(name),
				    g_strdup(value));
	}
}

/*
 * Queues the PREPARE of a statement that the connection does not have yet, and
 * the CLOSE of those that it holds no longer.
 */
static void queue_prepare(relay_attempt_t *attempt)
{
	const char *definition = attempt->request.definition;
	const relay_codec_t *codec = codec_of(attempt);
	relay_prepared_t *prepared = relay_link_state(attempt->link)->prepared;
	g_autoptr(GPtrArray) closed = g_ptr_array_new_with_free_func(g_free);

	if (!definition)
		return;
	attempt->prepared_name =
		g_strdup(relay_prepared_find(prepared, definition));
	if (attempt->prepared_name)
		return;
	attempt->prepared_name =
		g_strdup(relay_prepared_add(prepared, definition, closed));
	for (guint i = 0; i < closed->len; i++)
		queue_setup(attempt, codec->text_close(closed->pdata[i]),
			    on_prepared);
	queue_setup(attempt,
		    codec->text_prepare(attempt->prepared_name, definition),
		    on_prepared);
	log_event(LOG_LEVEL_DEBUG, "statement_prepared",
		  "id=%s server=%s name=%s definition=\"%s\" closed=%u",
		  attempt->request.id, relay_server_entry(attempt->server)->id,
		  attempt->prepared_name, definition, closed->len);
}

static void on_abandon_timeout(evutil_socket_t fd, short what, void *context)
{
	relay_attempt_discard(context);
}

relay_attempt_t *relay_attempt_start(relay_service_t *service,
				     relay_server_t *server, relay_link_t *link,
				     const relay_request_t *request,
				     log_point_t after,
				     relay_attempt_done_t done, void *context)
{
	relay_attempt_t *attempt = g_new0(relay_attempt_t, 1);

	attempt->service = service;
	attempt->server = server;
	attempt->link = link;
	attempt->request = *request;
	attempt->after = after;
	attempt->done = done;
	attempt->context = context;
	attempt->started_ms = clock_boot_ms();
	g_queue_init(&attempt->setup);
	queue_session(attempt);
	queue_prepare(attempt);
	send_all(attempt);
	return attempt;
}

void relay_attempt_withdraw(relay_attempt_t *attempt)
{
	attempt->withdrawn = true;
}

void relay_attempt_abandon(relay_attempt_t *attempt)
{
	const struct timeval delay = clock_timeval(ABANDONED_TIMEOUT_MS);
	relay_services_t *services = relay_service_services(attempt->service);

	attempt->abandoned = true;
	attempt->timer = evtimer_new(relay_services_settings(services)->base,
				     on_abandon_timeout, attempt);
	event_add(attempt->timer, &delay);
}

bool relay_attempt_is_sent(const relay_attempt_t *attempt)
{
	return attempt->sent;
}

bool relay_attempt_is_forwarded(const relay_attempt_t *attempt)
{
	return relay_link_is_forwarded(attempt->link);
}

relay_server_t *relay_attempt_server(const relay_attempt_t *attempt)
{
	return attempt->server;
}

uint64_t relay_attempt_started_ms(const relay_attempt_t *attempt)
{
	return attempt->started_ms;
}
