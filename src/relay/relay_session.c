#include "relay/relay_session_private.h"

#include <inttypes.h>

#include <event2/bufferevent.h>

#include "base/clock.h"
#include "base/log.h"
#include "relay/relay_caller.h"
#include "relay/relay_pin.h"
#include "relay/relay_job.h"
#include "transport/read_limit.h"
#include "transport/socket_options.h"

/* Time after which the session of an unresponsive machine is closed. */
#define UNRESPONSIVE_S 20

/*
 * Maximum time that a caller waits for a starting node's first catalog. When
 * all VMs come back at once, nodes of regions without the store have it after
 * 184 to 479 ms; a caller that was rejected before then came back no later to a
 * node that was no further.
 */
#define CATALOG_WAIT_MS 500u

/* Maximum number of bytes that are read ahead while a statement runs. */
#define READ_AHEAD_SIZE_BYTES (RELAY_MESSAGE_SIZE_BYTES_MAX + 65536u)

/* Size of answers that a caller has not read, at which it is paused. */
#define UNREAD_SIZE_BYTES_MAX (256u * 1024)

struct evbuffer *relay_session_output(const relay_session_t *session)
{
	return bufferevent_get_output(session->bev);
}

/* @return whether a statement waits for a token or runs */
bool relay_session_is_running(const relay_session_t *session)
{
	return session->job || session->ticket;
}

static char status_of(const relay_session_t *session)
{
	switch (session->transaction) {
	case TRANSACTION_NONE:
		return 'I';
	case TRANSACTION_FAILED:
		return 'E';
	default:
		return 'T';
	}
}

void relay_session_clear_transaction(relay_session_t *session)
{
	g_clear_pointer(&session->pin, relay_pin_close);
	g_clear_pointer(&session->begin_id, g_free);
	g_clear_pointer(&session->begin_text, g_free);
	session->transaction = TRANSACTION_NONE;
	session->ended_by_drain = false;
	evtimer_del(session->idle);
}

void relay_session_destroy(relay_session_t *session)
{
	if (session->ticket)
		relay_quota_cancel(session->ticket);
	if (session->job) {
		relay_session_keep_token(session,
					 relay_job_is_unsent(session->job));
		relay_job_cancel(session->job);
	}
	relay_session_clear_transaction(session);
	relay_message_clear(&session->message);
	command_clear(&session->command);
	bufferevent_free(session->bev);
	event_free(session->idle);
	if (session->host->memory)
		memory_budget_release(session->host->memory,
				      &session->kept_bytes);
	if (session->values)
		g_hash_table_destroy(session->values);
	if (session->prepared)
		g_hash_table_destroy(session->prepared);
	catalog_unref(session->catalog);
	g_free(session->database_name);
	g_free(session);
}

static void end_session(relay_session_t *session)
{
	session->host->ended(session->host->context, session);
	relay_session_destroy(session);
}

static void on_written(struct bufferevent *bev, void *context)
{
	relay_session_t *session = context;

	/* The event may have been queued before the last answer was. */
	if (evbuffer_get_length(relay_session_output(session)))
		return;
	if (session->closing) {
		end_session(session);
	} else if (session->paused) {
		session->paused = false;
		relay_session_process(session);
	}
}

/* Closes the session once the output is written. */
void relay_session_close_soon(relay_session_t *session)
{
	session->closing = true;
	bufferevent_disable(session->bev, EV_READ);
	bufferevent_trigger(session->bev, EV_WRITE, BEV_OPT_DEFER_CALLBACKS);
}

void relay_session_answer_ready(relay_session_t *session, log_point_t point)
{
	session->active_ms = clock_boot_ms();
	session->host->codec->put_ready(relay_session_output(session),
					status_of(session), point);
	if (session->transaction != TRANSACTION_NONE) {
		const struct timeval idle =
			clock_timeval(session->catalog->transaction_idle_ms);

		event_add(session->idle, &idle);
	}
}

void relay_session_answer_complete(relay_session_t *session)
{
	session->host->codec->put_complete(relay_session_output(session));
	relay_session_answer_ready(session, (log_point_t){0});
}

void relay_session_answer_error(relay_session_t *session, relay_error_t error,
				const char *text)
{
	session->host->codec->put_error(relay_session_output(session), error,
					text);
	relay_session_answer_ready(session, (log_point_t){0});
}

void relay_session_statement_done(relay_session_t *session)
{
	relay_message_clear(&session->message);
	command_clear(&session->command);
}

/*
 * Switches to the newest catalog; called at the start of each transaction.
 *
 * @return whether the catalog contains the session's database
 */
static bool refresh_catalog(relay_session_t *session)
{
	relay_session_host_t *host = session->host;

	if (!host->catalog)
		return false;
	if (session->catalog != host->catalog) {
		catalog_unref(session->catalog);
		session->catalog = catalog_ref(host->catalog);
	}
	session->database =
		catalog_database(session->catalog, session->database_name);
	return session->database;
}

static void refuse_database(relay_session_t *session)
{
	log_event(LOG_LEVEL_INFO, "database_unknown", "database=%s",
		  session->database_name);
	session->host->codec->put_error(relay_session_output(session),
					RELAY_ERROR_NO_DATABASE,
					"no such database");
	relay_session_close_soon(session);
}

/* Rejects a caller whose key identifies no customer. */
static void refuse_caller(relay_session_t *session, relay_caller_check_t check)
{
	relay_caller_report(check, session->database_name,
			    session->host->metrics);
	session->host->codec->put_error(relay_session_output(session),
					RELAY_ERROR_UNAUTHORIZED,
					"the key is not valid");
	relay_session_close_soon(session);
}

/*
 * Starts an operation in the newest catalog.
 *
 * @return whether the caller may run it; the session is closed if not
 */
static bool start_operation(relay_session_t *session)
{
	relay_caller_check_t check;

	if (!refresh_catalog(session)) {
		refuse_database(session);
		return false;
	}
	check = relay_caller_identify(&session->caller, session->catalog,
				      session->database);
	if (check == RELAY_CALLER_KNOWN)
		return true;
	refuse_caller(session, check);
	return false;
}

/* Rolls back a transaction whose caller is no longer the same customer. */
static void abort_transaction(relay_session_t *session)
{
	log_event(LOG_LEVEL_INFO, "transaction_unauthorized",
		  "id=%s database=%s", session->message.id,
		  session->database_name);
	relay_session_clear_transaction(session);
	relay_session_answer_error(session, RELAY_ERROR_ABORTED,
				   "customer of the key changed, rolled back");
	relay_session_statement_done(session);
}

/* @return whether only other nodes may send such a command */
static bool is_for_nodes(command_kind_t kind)
{
	switch (kind) {
	case COMMAND_RESET:
	case COMMAND_PROVE:
	case COMMAND_FOLLOW:
	case COMMAND_AS:
	case COMMAND_ADMIT:
	case COMMAND_LEND:
		return true;
	default:
		return false;
	}
}

static void dispatch(relay_session_t *session)
{
	session->host->codec->parse(session->message.text, &session->command);
	/* Only a node may state a log point before the statement. */
	if (session->message.own ||
	    session->command.text != session->message.text ||
	    is_for_nodes(session->command.kind))
		session->command.kind = COMMAND_INVALID;
	if (session->transaction == TRANSACTION_NONE) {
		if (!start_operation(session))
			return;
	} else if (!relay_caller_is_unchanged(&session->caller,
					      session->host->catalog,
					      session->database)) {
		abort_transaction(session);
		return;
	}
	if (relay_session_is_too_late(session)) {
		relay_session_refuse_leaving(session);
		return;
	}
	if (session->transaction == TRANSACTION_FAILED) {
		relay_session_dispatch_failed(session);
		return;
	}
	if (relay_session_is_remote(session))
		relay_session_run(session);
	else
		relay_session_dispatch_local(session);
}

static void answer_startup(relay_session_t *session)
{
	if (start_operation(session))
		relay_session_answer_ready(session, (log_point_t){0});
}

/* Delays the answer: only the catalog shows whether the database exists. */
static void wait_for_catalog(relay_session_t *session)
{
	const struct timeval wait = clock_timeval(CATALOG_WAIT_MS);

	session->waiting = true;
	event_add(session->idle, &wait);
}

void relay_session_refuse_without_catalog(relay_session_t *session)
{
	log_event(LOG_LEVEL_INFO, "session_refused",
		  "database=%s reason=no_catalog waited_ms=%u",
		  session->database_name, CATALOG_WAIT_MS);
	session->waiting = false;
	session->host->codec->put_error(relay_session_output(session),
					RELAY_ERROR_OVERLOADED,
					"starting, retry after 300 ms");
	relay_session_close_soon(session);
}

static void start_up(relay_session_t *session)
{
	session->database_name = g_steal_pointer(&session->message.text);
	relay_caller_init(&session->caller,
			  g_steal_pointer(&session->message.user));
	relay_message_clear(&session->message);
	if (session->host->catalog)
		answer_startup(session);
	else
		wait_for_catalog(session);
}

/*
 * Closes a session whose caller sent what cannot be passed on unchanged. An
 * open transaction ends at once, not when the caller has read the error.
 */
static void reject_message(relay_session_t *session, const char *reason)
{
	relay_message_clear(&session->message);
	relay_session_clear_transaction(session);
	session->host->codec->put_error(relay_session_output(session),
					RELAY_ERROR_MALFORMED, reason);
	relay_session_close_soon(session);
}

static void handle_message(relay_session_t *session)
{
	switch (session->message.kind) {
	case RELAY_MESSAGE_STARTUP:
		if (!session->database_name) {
			start_up(session);
			return;
		}
		break;
	case RELAY_MESSAGE_QUERY:
		if (session->database_name) {
			dispatch(session);
			return;
		}
		break;
	case RELAY_MESSAGE_TERMINATE:
		relay_message_clear(&session->message);
		relay_session_close_soon(session);
		return;
	default:
		break;
	}
	reject_message(session, "unexpected message");
}

/*
 * Pauses a caller that sends statements and does not read their answers, until
 * it has read them; on_written() goes on then.
 */
static bool is_unread(relay_session_t *session)
{
	if (evbuffer_get_length(relay_session_output(session)) <
	    UNREAD_SIZE_BYTES_MAX)
		return false;
	session->paused = true;
	return true;
}

static void process_messages(relay_session_t *session)
{
	struct evbuffer *input = bufferevent_get_input(session->bev);

	while (!relay_session_is_running(session) && !session->closing &&
	       !session->waiting) {
		g_autoptr(GError) error = NULL;

		if (is_unread(session))
			return;
		relay_message_clear(&session->message);
		switch (session->host->codec->decode(
			input, &session->searched_bytes, &session->message,
			&error)) {
		case RELAY_INCOMPLETE:
			relay_session_drain_answered(session);
			return;
		case RELAY_INVALID:
			log_event(LOG_LEVEL_INFO, "caller_message_invalid",
				  "reason=\"%s\"", error->message);
			reject_message(session, error->message);
			return;
		case RELAY_DECODED:
			session->active_ms = clock_boot_ms();
			handle_message(session);
		}
	}
}

void relay_session_process(relay_session_t *session)
{
	process_messages(session);
	if (!session->closing)
		read_limit_apply(session->bev, READ_AHEAD_SIZE_BYTES);
}

static void on_read(struct bufferevent *bev, void *context)
{
	relay_session_process(context);
}

static void on_event(struct bufferevent *bev, short what, void *context)
{
	end_session(context);
}

void relay_session_end_transaction(relay_session_t *session)
{
	if (relay_session_is_running(session) ||
	    session->transaction == TRANSACTION_NONE)
		return;
	g_clear_pointer(&session->pin, relay_pin_close);
	session->transaction = TRANSACTION_FAILED;
}

static void on_idle(evutil_socket_t fd, short what, void *context)
{
	relay_session_t *session = context;

	if (session->waiting) {
		relay_session_refuse_without_catalog(session);
		return;
	}
	log_event(LOG_LEVEL_INFO, "transaction_idle", "database=%s",
		  session->database_name);
	relay_session_end_transaction(session);
}

relay_session_t *relay_session_create(relay_session_host_t *host,
				      evutil_socket_t fd)
{
	relay_session_t *session = g_new0(relay_session_t, 1);

	session->host = host;
	session->active_ms = clock_boot_ms();
	session->bev = bufferevent_socket_new(host->base, fd,
					      BEV_OPT_CLOSE_ON_FREE |
						      BEV_OPT_DEFER_CALLBACKS);
	session->idle = evtimer_new(host->base, on_idle, session);
	socket_options_set(fd, UNRESPONSIVE_S);
	bufferevent_setcb(session->bev, on_read, on_written, on_event, session);
	bufferevent_enable(session->bev, EV_READ | EV_WRITE);
	return session;
}

/* An idle session must not keep an old catalog and its customers in memory. */
static void release_catalog(relay_session_t *session)
{
	if (relay_session_is_busy(session))
		return;
	session->caller.customer = NULL;
	session->database = NULL;
	g_clear_pointer(&session->catalog, catalog_unref);
}

void relay_session_configured(relay_session_t *session)
{
	if (!session->waiting) {
		release_catalog(session);
		return;
	}
	session->waiting = false;
	evtimer_del(session->idle);
	answer_startup(session);
	relay_session_process(session);
}

bool relay_session_is_busy(const relay_session_t *session)
{
	return relay_session_is_running(session) ||
	       session->transaction != TRANSACTION_NONE;
}
