#include "relay/relay_session.h"

#include <inttypes.h>

#include <event2/bufferevent.h>

#include "base/clock.h"
#include "base/log.h"
#include "relay/relay_caller.h"
#include "relay/relay_pin.h"
#include "relay/relay_job.h"
#include "transport/socket_options.h"

/* Time after which the session of an unresponsive machine is closed. */
#define UNRESPONSIVE_S 20

/* Idle time after which a draining node closes a session. */
#define DRAIN_IDLE_MS 250

/* Idle time after which a draining node closes a session without statements. */
#define DRAIN_UNUSED_MS 1000

/*
 * Maximum time that a caller waits for a starting node's first catalog. When
 * all VMs come back at once, nodes of regions without the store have it after
 * 184 to 479 ms; a caller that was rejected before then came back no later to a
 * node that was no further.
 */
#define CATALOG_WAIT_MS 500u

/* Maximum number of bytes that are read ahead while a statement runs. */
#define READ_AHEAD_SIZE_BYTES (RELAY_MESSAGE_SIZE_BYTES_MAX + 65536u)

/* State of a session's transaction. */
typedef enum {
	TRANSACTION_NONE,
	TRANSACTION_BEGUN,  /* BEGIN answered, not sent to a server yet */
	TRANSACTION_OPEN,   /* a connection is pinned */
	TRANSACTION_FAILED, /* only COMMIT and ROLLBACK are accepted */
} transaction_t;

/* A prepared statement. */
typedef struct {
	char *definition;
	bool writes; /* the statement may change data */
} prepared_t;

struct relay_session {
	relay_session_host_t *host;
	struct bufferevent *bev;
	struct event *idle; /* ends an idle transaction, or the catalog wait */
	catalog_t *catalog; /* used by the current transaction or statement */
	const catalog_database_t *database; /* database, owned by the catalog */
	char *database_name;		    /* NULL before the start-up */
	relay_caller_t caller;
	bool waiting;	      /* waits for the node's first catalog */
	GHashTable *values;   /* session variables, name -> value, or NULL */
	GHashTable *prepared; /* name -> prepared_t, or NULL */
	transaction_t transaction;
	bool read_only;	     /* the transaction is read-only */
	bool ended_by_drain; /* the failed transaction, when none ran */
	uint64_t began_ms;   /* when the transaction began, on the boot clock */
	char *begin_id;	     /* id of the transaction's BEGIN, or NULL */
	char *begin_text;    /* text of the transaction's BEGIN, or NULL */
	relay_pin_t *pin;    /* pinned connection while no job runs, or NULL */
	relay_job_t *job;    /* job of the running statement, or NULL */
	relay_quota_ticket_t *ticket; /* while it waits for a token, or NULL */
	bool admitted;	      /* a token was obtained for the statement */
	uint64_t received_ms; /* when the statement arrived, boot clock */
	/* The running statement; must stay valid for the job. */
	relay_message_t message;
	command_t command;
	log_point_t own_point; /* log point of the session's last change */
	uint64_t own_term;     /* term in which own_point was reached */
	bool finishing;	       /* closed once its input is answered */
	bool closing;	       /* closed once the output is written */
	bool answered;	    /* a statement of the session has been answered */
	bool just_answered; /* answered since drain_answered() last ran */
	uint64_t active_ms; /* last message or answer, on the boot clock */
};

static void process(relay_session_t *session);
static void run(relay_session_t *session);

static void prepared_free(gpointer data)
{
	prepared_t *prepared = data;

	g_free(prepared->definition);
	g_free(prepared);
}

static struct evbuffer *output_of(const relay_session_t *session)
{
	return bufferevent_get_output(session->bev);
}

/* @return whether a statement waits for a token or runs */
static bool is_running(const relay_session_t *session)
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

static void end_transaction(relay_session_t *session)
{
	g_clear_pointer(&session->pin, relay_pin_close);
	g_clear_pointer(&session->begin_id, g_free);
	g_clear_pointer(&session->begin_text, g_free);
	session->transaction = TRANSACTION_NONE;
	session->ended_by_drain = false;
	evtimer_del(session->idle);
}

/* Keeps the token of an operation of which no server has seen anything. */
static void keep_token(relay_session_t *session, bool unsent)
{
	if (session->admitted && unsent)
		relay_quota_keep(session->host->quota,
				 session->caller.customer->name);
	session->admitted = false;
}

void relay_session_destroy(relay_session_t *session)
{
	if (session->ticket)
		relay_quota_cancel(session->ticket);
	if (session->job) {
		keep_token(session, relay_job_is_unsent(session->job));
		relay_job_cancel(session->job);
	}
	end_transaction(session);
	relay_message_clear(&session->message);
	command_clear(&session->command);
	bufferevent_free(session->bev);
	event_free(session->idle);
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
	if (session->closing && !evbuffer_get_length(output_of(session)))
		end_session(session);
}

/* Closes the session once the output is written. */
static void close_soon(relay_session_t *session)
{
	session->closing = true;
	bufferevent_disable(session->bev, EV_READ);
	bufferevent_trigger(session->bev, EV_WRITE, BEV_OPT_DEFER_CALLBACKS);
}

static void answer_ready(relay_session_t *session, log_point_t point)
{
	session->active_ms = clock_boot_ms();
	session->host->codec->put_ready(output_of(session), status_of(session),
					point);
	if (session->transaction != TRANSACTION_NONE) {
		const struct timeval idle =
			clock_timeval(session->catalog->transaction_idle_ms);

		event_add(session->idle, &idle);
	}
}

static void answer_complete(relay_session_t *session)
{
	session->host->codec->put_complete(output_of(session));
	answer_ready(session, (log_point_t){0});
}

static void answer_error(relay_session_t *session, relay_error_t error,
			 const char *text)
{
	session->host->codec->put_error(output_of(session), error, text);
	answer_ready(session, (log_point_t){0});
}

/* Rejects a statement that no server has seen; an open transaction fails. */
static void refuse_locally(relay_session_t *session, relay_error_t error,
			   const char *text)
{
	log_event(LOG_LEVEL_INFO, "statement_invalid",
		  "id=%s database=%s kind=%s outcome=%s reason=\"%s\"",
		  session->message.id, session->database_name,
		  command_kind_name(session->command.kind),
		  relay_error_name(error), text);
	if (session->transaction != TRANSACTION_NONE)
		session->transaction = TRANSACTION_FAILED;
	answer_error(session, error, text);
}

static void apply_result(relay_session_t *session, const relay_result_t *result)
{
	session->pin = result->pin;
	if (!result->failed && result->term && result->point.term) {
		session->own_point = result->point;
		session->own_term = result->term;
	}
	switch (result->status) {
	case 'I':
		end_transaction(session);
		break;
	case 'T':
		session->transaction = TRANSACTION_OPEN;
		break;
	default:
		session->transaction = TRANSACTION_FAILED;
	}
	if (result->body)
		evbuffer_add(output_of(session), result->body->data,
			     result->body->len);
	else
		session->host->codec->put_error(output_of(session),
						result->error, result->text);
	answer_ready(session, result->point);
}

static void statement_done(relay_session_t *session)
{
	relay_message_clear(&session->message);
	command_clear(&session->command);
}

static void on_result(void *context, const relay_result_t *result)
{
	relay_session_t *session = context;

	session->job = NULL;
	keep_token(session, result->unsent);
	session->answered = true;
	session->just_answered = true;
	apply_result(session, result);
	statement_done(session);
	process(session);
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

static bool writes(const relay_session_t *session, const prepared_t *prepared)
{
	return session->command.kind == COMMAND_WRITE ||
	       (prepared && prepared->writes);
}

/* @return whether the statement begins an operation that needs a token */
static bool needs_token(const relay_session_t *session)
{
	const catalog_customer_t *customer = session->caller.customer;

	return session->host->quota && customer && customer->has_quota &&
	       !session->pin && !session->admitted;
}

/* Rejects an operation beyond the quota; no server has seen any of it. */
static void refuse_by_quota(relay_session_t *session, uint32_t retry_after_ms)
{
	const bool begun = session->transaction == TRANSACTION_BEGUN;
	g_autofree char *text = g_strdup_printf(
		"not run, quota, retry after %" PRIu32 " ms", retry_after_ms);

	if (begun && session->command.kind == COMMAND_COMMIT)
		end_transaction(session);
	else if (begun)
		session->transaction = TRANSACTION_FAILED;
	session->answered = true;
	session->just_answered = true;
	answer_error(session,
		     begun ? RELAY_ERROR_ABORTED : RELAY_ERROR_OVERLOADED,
		     text);
	statement_done(session);
}

/* Rejects a statement that may not end before the node leaves; it is not run.
 */
static void refuse_leaving(relay_session_t *session)
{
	const bool open = session->transaction != TRANSACTION_NONE;

	log_event(LOG_LEVEL_INFO, "statement_refused",
		  "id=%s database=%s reason=leaving transaction=%d",
		  session->message.id, session->database_name, open);
	end_transaction(session);
	session->answered = true;
	session->just_answered = true;
	if (open)
		answer_error(session, RELAY_ERROR_ABORTED,
			     "the node is leaving, rolled back");
	else
		answer_error(session, RELAY_ERROR_OVERLOADED,
			     "not run, the node is leaving, "
			     "retry after 0 ms");
	statement_done(session);
}

static void on_token(void *context, bool admitted, uint32_t retry_after_ms)
{
	relay_session_t *session = context;

	session->ticket = NULL;
	session->admitted = admitted;
	if (admitted)
		run(session);
	else
		refuse_by_quota(session, retry_after_ms);
	process(session);
}

/* @return whether the statement has to wait for a token */
static bool wait_for_token(relay_session_t *session)
{
	if (!needs_token(session))
		return false;
	session->received_ms = clock_boot_ms();
	evtimer_del(session->idle);
	session->ticket = relay_quota_acquire(
		session->host->quota, session->caller.customer->name,
		session->message.id, on_token, session);
	session->admitted = !session->ticket;
	return session->ticket;
}

static void run(relay_session_t *session)
{
	const command_t *command = &session->command;
	const prepared_t *prepared = NULL;
	relay_request_t request = {
		.id = session->message.id,
		.text = session->message.text,
		.kind = command->kind,
		.database = session->database,
		.customer = session->caller.customer,
		.values = session->values,
		.own_point = session->own_point,
		.own_term = session->own_term,
		.latest_ms = drain_plan_latest_ms(&session->host->drain),
	};

	if (command->kind == COMMAND_EXECUTE) {
		prepared = session->prepared ?
				   g_hash_table_lookup(session->prepared,
						       command->name) :
				   NULL;
		if (!prepared) {
			refuse_locally(session, RELAY_ERROR_UNKNOWN_NAME,
				       "no such prepared statement");
			statement_done(session);
			return;
		}
		request.definition = prepared->definition;
		request.arguments = command->value;
	}
	if (wait_for_token(session))
		return;
	/* The wait for a token is a part of the statement's time. */
	request.received_ms =
		session->admitted ? session->received_ms : clock_boot_ms();
	request.writes = writes(session, prepared);
	evtimer_del(session->idle);
	if (session->transaction == TRANSACTION_BEGUN) {
		request.begin_id = session->begin_id;
		request.begin_text = session->begin_text;
		request.read_only = session->read_only;
	}
	if (session->pin)
		session->job =
			relay_job_continue(g_steal_pointer(&session->pin),
					   &request, on_result, session);
	else
		session->job = relay_job_start(session->host->services,
					       &request, on_result, session);
}

static void begin(relay_session_t *session)
{
	session->transaction = TRANSACTION_BEGUN;
	session->began_ms = clock_boot_ms();
	session->read_only = session->command.kind == COMMAND_BEGIN_READ;
	session->begin_id = g_strdup(session->message.id);
	session->begin_text = g_strdup(session->message.text);
	answer_complete(session);
}

static void set_value(relay_session_t *session)
{
	if (!session->values)
		session->values = g_hash_table_new_full(g_str_hash, g_str_equal,
							g_free, g_free);
	g_hash_table_insert(session->values, g_strdup(session->command.name),
			    g_strdup(session->command.value));
	answer_complete(session);
}

static void prepare(relay_session_t *session)
{
	prepared_t *prepared = g_new0(prepared_t, 1);

	if (!session->prepared)
		session->prepared = g_hash_table_new_full(
			g_str_hash, g_str_equal, g_free, prepared_free);
	prepared->definition = g_strdup(session->command.value);
	prepared->writes = session->command.writes;
	g_hash_table_insert(session->prepared, g_strdup(session->command.name),
			    prepared);
	answer_complete(session);
}

static void close_prepared(relay_session_t *session)
{
	if (session->prepared &&
	    g_hash_table_remove(session->prepared, session->command.name))
		answer_complete(session);
	else
		refuse_locally(session, RELAY_ERROR_UNKNOWN_NAME,
			       "no such prepared statement");
}

/* Ends a failed transaction: both COMMIT and ROLLBACK roll it back. */
static void end_failed(relay_session_t *session)
{
	const bool commit = session->command.kind == COMMAND_COMMIT;

	end_transaction(session);
	if (commit)
		answer_error(session, RELAY_ERROR_ABORTED,
			     "transaction failed, rolled back");
	else
		answer_complete(session);
}

static void dispatch_failed(relay_session_t *session)
{
	switch (session->command.kind) {
	case COMMAND_COMMIT:
	case COMMAND_ROLLBACK:
		end_failed(session);
		break;
	default:
		refuse_locally(session, RELAY_ERROR_MALFORMED,
			       "transaction has failed, "
			       "statements are rejected until it ends");
	}
	statement_done(session);
}

static void dispatch_local(relay_session_t *session)
{
	const bool in_transaction = session->transaction != TRANSACTION_NONE;

	switch (session->command.kind) {
	case COMMAND_BEGIN:
	case COMMAND_BEGIN_READ:
		if (in_transaction)
			refuse_locally(session, RELAY_ERROR_MALFORMED,
				       "transaction already open");
		else
			begin(session);
		break;
	case COMMAND_SET:
		set_value(session);
		break;
	case COMMAND_PREPARE:
		prepare(session);
		break;
	case COMMAND_CLOSE:
		close_prepared(session);
		break;
	case COMMAND_ROLLBACK:
		if (in_transaction) {
			end_transaction(session);
			answer_complete(session);
		} else {
			refuse_locally(session, RELAY_ERROR_MALFORMED,
				       "no transaction is open");
		}
		break;
	default:
		refuse_locally(session, RELAY_ERROR_MALFORMED,
			       "unknown or incomplete statement");
	}
	statement_done(session);
}

/* @return whether a server must run the statement */
static bool is_remote(const relay_session_t *session)
{
	switch (session->command.kind) {
	case COMMAND_READ:
	case COMMAND_WRITE:
	case COMMAND_EXECUTE:
		return true;
	case COMMAND_COMMIT:
		return session->transaction != TRANSACTION_NONE;
	case COMMAND_ROLLBACK:
		return session->pin;
	default:
		return false;
	}
}

static void refuse_database(relay_session_t *session)
{
	log_event(LOG_LEVEL_INFO, "database_unknown", "database=%s",
		  session->database_name);
	session->host->codec->put_error(output_of(session),
					RELAY_ERROR_NO_DATABASE,
					"no such database");
	close_soon(session);
}

/* Rejects a caller whose key identifies no customer. */
static void refuse_caller(relay_session_t *session, relay_caller_check_t check)
{
	relay_caller_report(check, session->database_name,
			    session->host->metrics);
	session->host->codec->put_error(output_of(session),
					RELAY_ERROR_UNAUTHORIZED,
					"the key is not valid");
	close_soon(session);
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
	end_transaction(session);
	answer_error(session, RELAY_ERROR_ABORTED,
		     "customer of the key changed, rolled back");
	statement_done(session);
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

/* @return whether the statement may not end before a draining node leaves */
static bool is_too_late(const relay_session_t *session)
{
	const drain_plan_t *drain = &session->host->drain;
	const command_kind_t kind = session->command.kind;
	const uint64_t now_ms = clock_boot_ms();
	const uint32_t timeout_ms = session->database->timeout_ms;

	if (!drain_plan_is_begun(drain) || kind == COMMAND_ROLLBACK)
		return false;
	if (session->transaction == TRANSACTION_FAILED)
		return session->ended_by_drain;
	if (session->transaction == TRANSACTION_NONE &&
	    (kind == COMMAND_BEGIN || kind == COMMAND_BEGIN_READ))
		return !drain_plan_may_begin_transaction(drain, now_ms,
							 timeout_ms);
	if (session->transaction == TRANSACTION_NONE || kind == COMMAND_COMMIT)
		return is_remote(session) &&
		       !drain_plan_may_begin(drain, now_ms, timeout_ms);
	return drain_plan_ends_transaction(drain, session->began_ms, now_ms);
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
	if (is_too_late(session)) {
		refuse_leaving(session);
		return;
	}
	if (session->transaction == TRANSACTION_FAILED) {
		dispatch_failed(session);
		return;
	}
	if (is_remote(session))
		run(session);
	else
		dispatch_local(session);
}

static void answer_startup(relay_session_t *session)
{
	if (start_operation(session))
		answer_ready(session, (log_point_t){0});
}

/* Delays the answer: only the catalog shows whether the database exists. */
static void wait_for_catalog(relay_session_t *session)
{
	const struct timeval wait = clock_timeval(CATALOG_WAIT_MS);

	session->waiting = true;
	event_add(session->idle, &wait);
}

static void refuse_without_catalog(relay_session_t *session)
{
	log_event(LOG_LEVEL_INFO, "session_refused",
		  "database=%s reason=no_catalog waited_ms=%u",
		  session->database_name, CATALOG_WAIT_MS);
	session->waiting = false;
	session->host->codec->put_error(output_of(session),
					RELAY_ERROR_OVERLOADED,
					"starting, retry after 300 ms");
	close_soon(session);
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
	end_transaction(session);
	session->host->codec->put_error(output_of(session),
					RELAY_ERROR_MALFORMED, reason);
	close_soon(session);
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
		close_soon(session);
		return;
	default:
		break;
	}
	reject_message(session, "unexpected message");
}

/*
 * Closes a draining session after an answer and before the caller's next
 * statement, when nothing of the session is lost: callers set variables and
 * prepared statements right before the statement that uses them. At the end of
 * the drain it is closed in any case, once what it has sent is answered.
 */
static void drain_answered(relay_session_t *session)
{
	if (session->finishing) {
		end_transaction(session);
		close_soon(session);
		return;
	}
	if (drain_plan_is_begun(&session->host->drain) && session->answered &&
	    session->just_answered && !relay_session_is_busy(session))
		close_soon(session);
	session->just_answered = false;
}

static void process(relay_session_t *session)
{
	struct evbuffer *input = bufferevent_get_input(session->bev);

	while (!is_running(session) && !session->closing && !session->waiting) {
		g_autoptr(GError) error = NULL;

		relay_message_clear(&session->message);
		switch (session->host->codec->decode(input, &session->message,
						     &error)) {
		case RELAY_INCOMPLETE:
			drain_answered(session);
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

static void on_read(struct bufferevent *bev, void *context)
{
	process(context);
}

static void on_event(struct bufferevent *bev, short what, void *context)
{
	end_session(context);
}

void relay_session_end_transaction(relay_session_t *session)
{
	if (is_running(session) || session->transaction == TRANSACTION_NONE)
		return;
	g_clear_pointer(&session->pin, relay_pin_close);
	session->transaction = TRANSACTION_FAILED;
}

static void on_idle(evutil_socket_t fd, short what, void *context)
{
	relay_session_t *session = context;

	if (session->waiting) {
		refuse_without_catalog(session);
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
	bufferevent_setwatermark(session->bev, EV_READ, 0,
				 READ_AHEAD_SIZE_BYTES);
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
	process(session);
}

bool relay_session_is_busy(const relay_session_t *session)
{
	return is_running(session) || session->transaction != TRANSACTION_NONE;
}

/* Rolls back a resting transaction; its caller is told when it comes back. */
static void drain_transaction(relay_session_t *session)
{
	if (is_running(session) ||
	    (session->transaction != TRANSACTION_BEGUN &&
	     session->transaction != TRANSACTION_OPEN) ||
	    !drain_plan_ends_transaction(&session->host->drain,
					 session->began_ms, clock_boot_ms()))
		return;
	relay_session_end_transaction(session);
	session->ended_by_drain = true;
}

static void finish_running(relay_session_t *session, relay_cut_t *cut)
{
	if (session->ticket) {
		relay_quota_cancel(g_steal_pointer(&session->ticket));
		cut->unsent++;
		refuse_leaving(session);
		process(session);
		return;
	}
	cut->unsent += relay_job_is_unsent(session->job);
	cut->sent += !relay_job_is_unsent(session->job);
	relay_job_expire(session->job);
}

void relay_session_finish(relay_session_t *session, relay_cut_t *cut)
{
	if (session->closing)
		return;
	session->finishing = true;
	if (session->waiting) {
		refuse_without_catalog(session);
	} else if (is_running(session)) {
		finish_running(session, cut);
	} else {
		cut->transactions += session->transaction != TRANSACTION_NONE;
		process(session);
	}
}

void relay_session_drain(relay_session_t *session)
{
	const uint64_t idle_ms =
		session->answered ? DRAIN_IDLE_MS : DRAIN_UNUSED_MS;

	drain_transaction(session);
	if (relay_session_is_busy(session) || session->closing)
		return;
	if (evbuffer_get_length(bufferevent_get_input(session->bev)))
		return;
	if (clock_boot_ms() >= session->active_ms + idle_ms)
		close_soon(session);
}
