#include "relay/relay_attempt.h"

#include <string.h>

#include "base/clock.h"

/* Time after which the connection of an abandoned statement is closed. */
#define ABANDONED_MS 3000

struct relay_attempt {
	relay_service_t *service;
	relay_server_t *server;
	relay_link_t *link;
	relay_ask_t ask;
	log_point_t after;
	GQueue steps; /* char *, statements that set up the session state */
	bool sent;    /* the caller's statement was sent */
	bool abandoned;
	bool dirty; /* the session state differs from relay_link_state() */
	struct event *timer; /* closes the connection of an abandoned attempt */
	uint64_t started_ms; /* on the boot clock */
	relay_attempt_done_t done;
	void *context;
};

static void run_statement(relay_attempt_t *attempt);

static const relay_codec_t *codec_of(const relay_attempt_t *attempt)
{
	return relay_services_settings(relay_service_services(attempt->service))
		->codec;
}

static void attempt_free(relay_attempt_t *attempt)
{
	g_queue_clear_full(&attempt->steps, g_free);
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
	relay_server_give_back(attempt->server, attempt->link,
			       clock_boot_ms() - attempt->started_ms);
	attempt_free(attempt);
}

relay_link_t *relay_attempt_steal(relay_attempt_t *attempt)
{
	relay_link_t *link = attempt->link;

	attempt_free(attempt);
	return link;
}

static void end(relay_attempt_t *attempt, relay_attempt_end_t how,
		const relay_answer_t *answer)
{
	if (!attempt->abandoned) {
		attempt->done(attempt->context, attempt, how, answer);
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
		end(attempt, RELAY_ATTEMPT_LOST, NULL);
		return;
	}
	relay_service_seen(attempt->service, attempt->server, answer->point,
			   answer->sent_ms);
	end(attempt, RELAY_ATTEMPT_ANSWERED, answer);
}

/* Handles a setup statement that failed or whose answer is lost. */
static void fail_step(relay_attempt_t *attempt, const relay_answer_t *answer)
{
	attempt->dirty = true;
	end(attempt, attempt->sent ? RELAY_ATTEMPT_LOST : RELAY_ATTEMPT_NOT_RUN,
	    answer->broken || attempt->sent ? NULL : answer);
}

static void on_step(void *context, const relay_answer_t *answer)
{
	if (answer->broken || answer->failed)
		fail_step(context, answer);
}

static void on_begin(void *context, const relay_answer_t *answer)
{
	relay_attempt_t *attempt = context;

	if (answer->broken) {
		fail_step(attempt, answer);
	} else if (answer->failed) {
		/*
		 * A change that was pipelined behind the BEGIN is rejected for
		 * the same reason: the server is not the primary.
		 */
		attempt->dirty = attempt->sent;
		end(attempt, RELAY_ATTEMPT_NOT_RUN, answer);
	} else if (attempt->abandoned) {
		end(attempt, RELAY_ATTEMPT_NOT_RUN, NULL);
	} else if (!attempt->sent) {
		run_statement(attempt);
	}
}

/*
 * Derives the name of a prepared statement from its definition, so that it is
 * the same on all connections of the node.
 */
static char *name_of(const char *definition)
{
	return g_strdup_printf("p%08x", g_str_hash(definition));
}

static char *statement_text(const relay_attempt_t *attempt)
{
	const relay_ask_t *ask = &attempt->ask;
	g_autofree char *name = NULL;

	if (!ask->definition)
		return g_strdup(ask->text);
	name = name_of(ask->definition);
	return codec_of(attempt)->text_execute(name, ask->arguments);
}

static void run_statement(relay_attempt_t *attempt)
{
	g_autofree char *text = statement_text(attempt);
	const bool in_transaction =
		attempt->ask.begin_id ||
		relay_link_state(attempt->link)->in_transaction;

	attempt->sent = true;
	relay_link_run(attempt->link, attempt->ask.id,
		       in_transaction ? (log_point_t){0} : attempt->after, text,
		       on_answer, attempt);
}

/*
 * Pipelines all statements. A read that opens a transaction is the exception:
 * it waits for the answer to the BEGIN, because on a server that is no longer
 * the primary the BEGIN fails and the read would run outside a transaction.
 */
static void run_all(relay_attempt_t *attempt)
{
	const relay_ask_t *ask = &attempt->ask;
	char *step;

	while ((step = g_queue_pop_head(&attempt->steps))) {
		relay_link_run(attempt->link, NULL, (log_point_t){0}, step,
			       on_step, attempt);
		g_free(step);
	}
	if (ask->begin_id)
		relay_link_run(attempt->link, ask->begin_id, attempt->after,
			       ask->begin_text, on_begin, attempt);
	if (!ask->begin_id || ask->writes)
		run_statement(attempt);
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

/* Queues the statements that set the session variables. */
static void plan_values(relay_attempt_t *attempt)
{
	relay_link_state_t *state = relay_link_state(attempt->link);
	const relay_codec_t *codec = codec_of(attempt);
	GHashTableIter iter;
	gpointer name;
	gpointer value;

	if (has_other_values(state->values, attempt->ask.values)) {
		g_queue_push_tail(&attempt->steps, codec->text_reset());
		g_hash_table_remove_all(state->values);
		g_hash_table_remove_all(state->prepared);
	}
	if (!attempt->ask.values)
		return;
	g_hash_table_iter_init(&iter, attempt->ask.values);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		if (!g_strcmp0(g_hash_table_lookup(state->values, name), value))
			continue;
		g_queue_push_tail(&attempt->steps,
				  codec->text_set(name, value));
		g_hash_table_insert(state->values, g_strdup(name),
				    g_strdup(value));
	}
}

/* Queues the PREPARE of a statement that the connection does not have yet. */
static void plan_definition(relay_attempt_t *attempt)
{
	relay_link_state_t *state = relay_link_state(attempt->link);
	g_autofree char *name = NULL;

	if (!attempt->ask.definition)
		return;
	name = name_of(attempt->ask.definition);
	if (g_hash_table_contains(state->prepared, name))
		return;
	g_queue_push_tail(
		&attempt->steps,
		codec_of(attempt)->text_prepare(name, attempt->ask.definition));
	g_hash_table_add(state->prepared, g_steal_pointer(&name));
}

static void on_abandoned(evutil_socket_t fd, short what, void *context)
{
	relay_attempt_discard(context);
}

relay_attempt_t *relay_attempt_start(relay_service_t *service,
				     relay_server_t *server, relay_link_t *link,
				     const relay_ask_t *ask, log_point_t after,
				     relay_attempt_done_t done, void *context)
{
	relay_attempt_t *attempt = g_new0(relay_attempt_t, 1);

	attempt->service = service;
	attempt->server = server;
	attempt->link = link;
	attempt->ask = *ask;
	attempt->after = after;
	attempt->done = done;
	attempt->context = context;
	attempt->started_ms = clock_boot_ms();
	g_queue_init(&attempt->steps);
	plan_values(attempt);
	plan_definition(attempt);
	run_all(attempt);
	return attempt;
}

void relay_attempt_abandon(relay_attempt_t *attempt)
{
	const struct timeval delay = clock_timeval(ABANDONED_MS);
	relay_services_t *services = relay_service_services(attempt->service);

	attempt->abandoned = true;
	attempt->timer = evtimer_new(relay_services_settings(services)->base,
				     on_abandoned, attempt);
	event_add(attempt->timer, &delay);
}

bool relay_attempt_is_sent(const relay_attempt_t *attempt)
{
	return attempt->sent;
}

bool relay_attempt_is_lent(const relay_attempt_t *attempt)
{
	return relay_link_is_lent(attempt->link);
}

relay_server_t *relay_attempt_server(const relay_attempt_t *attempt)
{
	return attempt->server;
}

uint64_t relay_attempt_started_ms(const relay_attempt_t *attempt)
{
	return attempt->started_ms;
}
