#ifndef RELAY_RELAY_SESSION_PRIVATE_H
#define RELAY_RELAY_SESSION_PRIVATE_H

#include <event2/bufferevent.h>

#include "relay/relay_caller.h"
#include "relay/relay_job.h"
#include "relay/relay_session.h"

/* Declarations shared by the source files of the session. */

/* State of a session's transaction. */
typedef enum {
	TRANSACTION_NONE,
	TRANSACTION_BEGUN,  /* BEGIN answered, not sent to a server yet */
	TRANSACTION_OPEN,   /* a connection is pinned */
	TRANSACTION_FAILED, /* only COMMIT and ROLLBACK are accepted */
} relay_session_transaction_t;

/* A prepared statement. */
typedef struct {
	char *definition;
	bool writes; /* the statement may change data */
} relay_session_prepared_t;

struct relay_session {
	relay_session_host_t *host;
	struct bufferevent *bev;
	size_t searched_bytes; /* of the input, for the end of a message */
	struct event *idle; /* ends an idle transaction, or the catalog wait */
	catalog_t *catalog; /* used by the current transaction or statement */
	const catalog_database_t *database; /* database, owned by the catalog */
	char *database_name;		    /* NULL before the start-up */
	relay_caller_t caller;
	bool waiting;	      /* waits for the node's first catalog */
	GHashTable *values;   /* session variables, name -> value, or NULL */
	GHashTable *prepared; /* name -> relay_session_prepared_t, or NULL */
	uint64_t kept_bytes;  /* of values and prepared, in host->memory */
	relay_session_transaction_t transaction;
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
	bool paused;	       /* until its caller has read the answers */
	bool finishing;	       /* closed once its input is answered */
	bool closing;	       /* closed once the output is written */
	bool answered;	    /* a statement of the session has been answered */
	bool just_answered; /* answered since the input was last empty */
	uint64_t active_ms; /* last message or answer, on the boot clock */
};

/* Answers the messages that have arrived, up to one that has to wait. */
void relay_session_process(relay_session_t *session);

struct evbuffer *relay_session_output(const relay_session_t *session);

/* @return whether a statement waits for a token or runs */
bool relay_session_is_running(const relay_session_t *session);

/* Ends the transaction, if one is open; its connection is closed. */
void relay_session_clear_transaction(relay_session_t *session);

/* Closes the session once the output is written. */
void relay_session_close_soon(relay_session_t *session);

/* Ends an answer. @param point that the server reported, or the zero point */
void relay_session_answer_ready(relay_session_t *session, log_point_t point);

void relay_session_answer_complete(relay_session_t *session);
void relay_session_answer_error(relay_session_t *session, relay_error_t error,
				const char *text);

/* Forgets the statement, which was answered. */
void relay_session_statement_done(relay_session_t *session);

/* Rejects a caller whose node has no catalog yet. */
void relay_session_refuse_without_catalog(relay_session_t *session);

/* relay_session_local.c */

/* Rejects a statement that no server has seen; an open transaction fails. */
void relay_session_refuse(relay_session_t *session, relay_error_t error,
			  const char *text);

/* Answers a statement of a transaction that has failed. */
void relay_session_dispatch_failed(relay_session_t *session);

/* Answers a statement that needs no server. */
void relay_session_dispatch_local(relay_session_t *session);

/* relay_session_run.c */

/* @return whether a server must run the statement */
bool relay_session_is_remote(const relay_session_t *session);

void relay_session_run(relay_session_t *session);

/* Keeps the token of an operation of which no server has seen anything. */
void relay_session_keep_token(relay_session_t *session, bool unsent);

/* relay_session_drain.c */

/* @return whether the statement may not end before a draining node leaves */
bool relay_session_is_too_late(const relay_session_t *session);

/* Rejects such a statement, which is not run. */
void relay_session_refuse_leaving(relay_session_t *session);

/* Closes a draining session if all that has arrived is answered. */
void relay_session_drain_answered(relay_session_t *session);

#endif
