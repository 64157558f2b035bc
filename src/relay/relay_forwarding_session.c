#include "relay/relay_forwarding_private.h"

#include <inttypes.h>
#include <string.h>

#include <event2/bufferevent.h>

#include "base/clock.h"
#include "base/log.h"
#include "transport/socket_options.h"

/* Time after which the connection of an unresponsive node is closed. */
#define UNRESPONSIVE_S 3

/* Maximum time that a forwarded statement waits for a connection. */
#define CONNECTION_WAIT_MS 700

static void process(forwarding_session_t *session);

const relay_codec_t *
forwarding_session_codec(const forwarding_session_t *session)
{
	return relay_services_settings(session->forwarding->services)->codec;
}

struct evbuffer *forwarding_session_output(const forwarding_session_t *session)
{
	return bufferevent_get_output(session->bev);
}

static void discard_link(forwarding_session_t *session)
{
	if (session->link)
		relay_server_discard(session->server, session->link);
	session->link = NULL;
	g_clear_pointer(&session->begin_id, g_free);
	g_clear_pointer(&session->begin_text, g_free);
}

void forwarding_session_free(forwarding_session_t *session)
{
	if (session->subscriber)
		relay_hub_leave(session->subscriber);
	if (session->waiting_at)
		relay_server_cancel_wait(session->waiting_at, &session->waiter);
	if (session->attempt) {
		relay_attempt_discard(session->attempt);
		session->link = NULL;
	}
	discard_link(session);
	relay_message_clear(&session->message);
	command_clear(&session->command);
	g_hash_table_destroy(session->values);
	g_hash_table_destroy(session->prepared);
	g_free(session->server_id);
	g_free(session->customer);
	event_free(session->timer);
	bufferevent_free(session->bev);
	g_free(session);
}

void forwarding_session_end(forwarding_session_t *session)
{
	g_hash_table_remove(session->forwarding->sessions, session);
	forwarding_session_free(session);
}

void forwarding_session_close_soon(forwarding_session_t *session)
{
	session->closing = true;
	bufferevent_disable(session->bev, EV_READ);
	bufferevent_trigger(session->bev, EV_WRITE, BEV_TRIG_DEFER_CALLBACKS);
}

void forwarding_session_answer_ready(forwarding_session_t *session,
				     log_point_t point)
{
	const bool open = session->link || session->begin_id;

	forwarding_session_codec(session)->put_ready(
		forwarding_session_output(session), open ? 'T' : 'I', point);
}

void forwarding_session_answer_complete(forwarding_session_t *session)
{
	forwarding_session_codec(session)->put_complete(
		forwarding_session_output(session));
	forwarding_session_answer_ready(session, (log_point_t){0});
}

void forwarding_session_statement_done(forwarding_session_t *session)
{
	session->busy = false;
	event_del(session->timer);
	relay_message_clear(&session->message);
	command_clear(&session->command);
}

/* Answers the statement with an error and rolls the transaction back. */
static void refuse_with(forwarding_session_t *session, relay_error_t error,
			const char *reason)
{
	log_event(LOG_LEVEL_INFO, "forwarded_statement_refused",
		  "id=%s server=%s reason=\"%s\"", session->message.id,
		  session->server_id, reason);
	discard_link(session);
	forwarding_session_codec(session)->put_error(
		forwarding_session_output(session), error, reason);
	forwarding_session_answer_ready(session, (log_point_t){0});
	forwarding_session_statement_done(session);
	process(session);
}

/*
 * Rejects the statement for a reason of this node. The error differs from those
 * of a server, so that the other node does not take it for the server's own.
 */
static void refuse(forwarding_session_t *session, const char *reason)
{
	refuse_with(session, RELAY_ERROR_CONNECTION_LIMIT, reason);
}

/* @return whether the statement is a single read, prepared or not */
static bool is_single_read(const forwarding_session_t *session)
{
	const relay_codec_t *codec = forwarding_session_codec(session);
	const command_t *command = &session->command;
	g_auto(command_t) prepare = {0};
	g_autofree char *text = NULL;

	if (session->in_transaction || command->kind != COMMAND_EXECUTE)
		return !session->in_transaction &&
		       command->kind == COMMAND_READ;
	text = codec->text_prepare(
		command->name,
		g_hash_table_lookup(session->prepared, command->name));
	codec->parse(text, &prepare);
	return prepare.kind == COMMAND_PREPARE && !prepare.writes;
}

/* Ends a statement that may have run; its answer does not arrive. */
static void answer_lost(forwarding_session_t *session, relay_attempt_end_t end)
{
	if (end == RELAY_ATTEMPT_UNREADABLE && is_single_read(session))
		refuse_with(session, RELAY_ERROR_FAILED,
			    "the server's answer is invalid");
	else /* the other node must see a broken connection */
		forwarding_session_end(session);
}

static void on_attempt_done(void *context, relay_attempt_t *attempt,
			    relay_attempt_end_t end,
			    const relay_answer_t *answer)
{
	forwarding_session_t *session = context;
	g_autoptr(GByteArray) body = NULL;

	session->attempt = NULL;
	g_clear_pointer(&session->begin_id, g_free);
	g_clear_pointer(&session->begin_text, g_free);
	if (!answer) {
		relay_attempt_discard(attempt);
		session->link = NULL;
		if (end == RELAY_ATTEMPT_NOT_RUN)
			refuse(session, "unreachable");
		else
			answer_lost(session, end);
		return;
	}
	if (end == RELAY_ATTEMPT_NOT_RUN &&
	    !relay_error_proves_no_effect(answer->error)) {
		/* The error is that of a setup statement, not of this one. */
		relay_attempt_finish(attempt);
		session->link = NULL;
		refuse_with(session, RELAY_ERROR_ABORTED, "session not set up");
		return;
	}
	if (answer->status == 'I') {
		relay_attempt_finish(attempt);
		session->link = NULL;
	} else {
		session->link = relay_attempt_detach_link(attempt);
	}
	if (answer->body)
		evbuffer_add(forwarding_session_output(session),
			     answer->body->data, answer->body->len);
	forwarding_session_codec(session)->put_ready(
		forwarding_session_output(session), answer->status,
		answer->point);
	forwarding_session_statement_done(session);
	process(session);
}

static void run_on(forwarding_session_t *session, relay_server_t *server,
		   relay_link_t *link)
{
	const command_t *command = &session->command;
	const bool single = !session->begin_id && !session->link;
	relay_request_t request = {
		.id = session->message.id,
		.text = command->text,
		.kind = command->kind,
		.begin_id = session->begin_id,
		.begin_text = session->begin_text,
		.values = session->values,
	};

	if (command->kind == COMMAND_EXECUTE) {
		request.definition =
			g_hash_table_lookup(session->prepared, command->name);
		request.arguments = command->value;
	}
	session->in_transaction = !single;
	session->server = server;
	session->link = link;
	session->attempt = relay_attempt_start(
		session->service, server, link, &request,
		single ? command->after : session->begin_after, on_attempt_done,
		session);
}

static void on_granted(void *context, relay_server_t *server,
		       relay_link_t *link)
{
	forwarding_session_t *session = context;

	session->waiting_at = NULL;
	event_del(session->timer);
	run_on(session, server, link);
}

static void refuse_later(forwarding_session_t *session, const char *reason)
{
	session->refusal = reason;
	event_active(session->timer, EV_TIMEOUT, 0);
}

static void on_refused(void *context, relay_server_t *server)
{
	forwarding_session_t *session = context;

	session->waiting_at = NULL;
	refuse_later(session, "no connection");
}

static void on_timer(evutil_socket_t fd, short what, void *context)
{
	forwarding_session_t *session = context;

	if (session->waiting_at)
		relay_server_cancel_wait(session->waiting_at, &session->waiter);
	session->waiting_at = NULL;
	if (session->busy && !session->attempt)
		refuse(session, session->refusal);
}

void forwarding_session_refuse_waiting(forwarding_session_t *session,
				       const char *reason)
{
	if (session->waiting_at)
		relay_server_cancel_wait(session->waiting_at, &session->waiter);
	session->waiting_at = NULL;
	refuse_later(session, reason);
}

static void wait_for_link(forwarding_session_t *session)
{
	const uint64_t now_ms = clock_boot_ms();
	const struct timeval wait = clock_timeval(CONNECTION_WAIT_MS);
	relay_server_t *server =
		relay_service_server(session->service, session->server_id);

	session->waiter = (relay_waiter_t){
		.entry = {.target_ms = now_ms + CONNECTION_WAIT_MS,
			  .deadline_ms = now_ms + CONNECTION_WAIT_MS},
		.values = session->values,
		.customer = session->customer,
		.direct = true,
		.granted = on_granted,
		.refused = on_refused,
		.context = session,
	};
	if (!server) {
		refuse_later(session, "server unknown");
		return;
	}
	session->refusal = "no connection";
	event_add(session->timer, &wait);
	session->waiting_at = server;
	relay_server_acquire(server, &session->waiter);
}

/* The node may have a newer configuration, or an older one. */
static bool is_customer_known(const forwarding_session_t *session)
{
	const catalog_t *catalog =
		relay_services_catalog(session->forwarding->services);

	return !session->customer ||
	       (catalog && catalog_customer(catalog, session->customer));
}

/* @return whether the other node has prepared the statement, if it needs to */
static bool is_prepared(const forwarding_session_t *session)
{
	return session->command.kind != COMMAND_EXECUTE ||
	       g_hash_table_contains(session->prepared, session->command.name);
}

static void run(forwarding_session_t *session)
{
	session->busy = true;
	if (session->forwarding->finishing)
		refuse_later(session, "leaving");
	else if (!is_customer_known(session))
		refuse_later(session, "customer unknown");
	else if (!is_prepared(session)) /* servers know other names */
		refuse_later(session, "prepared name unknown");
	else if (session->link && relay_link_is_open(session->link))
		run_on(session, session->server, session->link);
	else if (session->link) /* a broken connection ends the session */
		forwarding_session_close_soon(session);
	else
		wait_for_link(session);
}

static void dispatch(forwarding_session_t *session)
{
	command_t *command = &session->command;

	forwarding_session_codec(session)->parse(session->message.text,
						 command);
	if (session->subscriber) {
		forwarding_session_follow(session);
		return;
	}
	if (session->asks_tokens) {
		forwarding_session_admit(session);
		return;
	}
	switch (command->kind) {
	case COMMAND_BEGIN:
	case COMMAND_BEGIN_READ:
		session->begin_id = g_strdup(session->message.id);
		session->begin_text = g_strdup(command->text);
		session->begin_after = command->after;
		forwarding_session_answer_complete(session);
		break;
	case COMMAND_SET:
		g_hash_table_replace(session->values, g_strdup(command->name),
				     g_strdup(command->value));
		forwarding_session_answer_complete(session);
		break;
	case COMMAND_PREPARE:
		g_hash_table_replace(session->prepared, g_strdup(command->name),
				     g_strdup(command->value));
		forwarding_session_answer_complete(session);
		break;
	case COMMAND_CLOSE:
		g_hash_table_remove(session->prepared, command->name);
		forwarding_session_answer_complete(session);
		break;
	case COMMAND_PROVE:
		forwarding_session_send_proof(session);
		break;
	case COMMAND_AS:
		if (session->link &&
		    g_strcmp0(session->customer, command->name)) {
			/* The transaction is another customer's. */
			forwarding_session_close_soon(session);
			break;
		}
		g_free(session->customer);
		session->customer = g_strdup(command->name);
		forwarding_session_answer_complete(session);
		break;
	case COMMAND_RESET:
		g_hash_table_remove_all(session->values);
		g_hash_table_remove_all(session->prepared);
		if (!session->link)
			g_clear_pointer(&session->customer, g_free);
		forwarding_session_answer_complete(session);
		break;
	default:
		if (command->kind == COMMAND_ROLLBACK && !session->link) {
			discard_link(session);
			forwarding_session_answer_complete(session);
			break;
		}
		run(session);
		return;
	}
	forwarding_session_statement_done(session);
}

void forwarding_session_refuse_session(forwarding_session_t *session,
				       relay_error_t error)
{
	forwarding_session_codec(session)->put_error(
		forwarding_session_output(session), error,
		"server or service not available here");
	forwarding_session_close_soon(session);
}

static bool is_started(const forwarding_session_t *session)
{
	return session->service || session->subscriber || session->asks_tokens;
}

static void start_up(forwarding_session_t *session)
{
	if (!strcmp(session->message.text, RELAY_QUOTA_SERVICE)) {
		forwarding_session_start_asking(session);
		return;
	}
	if (!strcmp(session->message.text, RELAY_HUB_SERVICE)) {
		forwarding_session_start_following(session);
		return;
	}
	session->service = relay_services_find(session->forwarding->services,
					       session->message.text);
	session->server_id = g_strdup(session->message.id);
	if (session->forwarding->draining)
		forwarding_session_refuse_session(session,
						  RELAY_ERROR_CONNECTION_LIMIT);
	else if (!session->service || !session->server_id ||
		 !relay_service_server(session->service, session->server_id))
		forwarding_session_refuse_session(session,
						  RELAY_ERROR_OTHER_SERVER);
	else
		forwarding_session_answer_ready(session, (log_point_t){0});
	relay_message_clear(&session->message);
}

static void process(forwarding_session_t *session)
{
	struct evbuffer *input = bufferevent_get_input(session->bev);

	while (!session->busy && !session->closing) {
		g_autoptr(GError) error = NULL;

		relay_message_clear(&session->message);
		switch (forwarding_session_codec(session)->decode(
			input, &session->searched_bytes, &session->message,
			&error)) {
		case RELAY_INCOMPLETE:
			return;
		case RELAY_INVALID:
			log_event(LOG_LEVEL_WARNING, "peer_message_invalid",
				  "reason=\"%s\"", error->message);
			discard_link(session);
			forwarding_session_close_soon(session);
			return;
		case RELAY_DECODED:
			break;
		}
		if (session->message.kind == RELAY_MESSAGE_QUERY &&
		    is_started(session))
			dispatch(session);
		else if (session->message.kind == RELAY_MESSAGE_STARTUP &&
			 !is_started(session))
			start_up(session);
		else
			forwarding_session_close_soon(session);
	}
}

static void on_read(struct bufferevent *bev, void *context)
{
	process(context);
}

static void on_written(struct bufferevent *bev, void *context)
{
	forwarding_session_t *session = context;

	/* The event may have been queued before the last answer was. */
	if (session->closing &&
	    !evbuffer_get_length(forwarding_session_output(session)))
		forwarding_session_end(session);
}

static void on_event(struct bufferevent *bev, short what, void *context)
{
	forwarding_session_end(context);
}

void forwarding_session_create(relay_forwarding_t *forwarding,
			       evutil_socket_t fd)
{
	struct event_base *base =
		relay_services_settings(forwarding->services)->base;
	forwarding_session_t *session = g_new0(forwarding_session_t, 1);

	socket_options_set(fd, UNRESPONSIVE_S);
	session->forwarding = forwarding;
	session->values =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	session->prepared =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	session->timer = evtimer_new(base, on_timer, session);
	session->bev = bufferevent_socket_new(
		base, fd, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
	bufferevent_setcb(session->bev, on_read, on_written, on_event, session);
	bufferevent_enable(session->bev, EV_READ | EV_WRITE);
	g_hash_table_add(forwarding->sessions, session);
}
