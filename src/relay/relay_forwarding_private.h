#ifndef RELAY_RELAY_FORWARDING_PRIVATE_H
#define RELAY_RELAY_FORWARDING_PRIVATE_H

#include "relay/relay_attempt.h"
#include "relay/relay_forwarding.h"

struct relay_forwarding {
	relay_services_t *services;
	struct evconnlistener *listener;
	GHashTable *sessions;	      /* set of forwarding_session_t */
	relay_hub_t *hub;	      /* NULL if this node is no hub */
	relay_quota_leader_t *leader; /* NULL to reject requests for tokens */
	bool draining;
	bool finishing; /* statements are refused */
};

/* Session of another node; corresponds to one connection to a server. */
typedef struct {
	relay_forwarding_t *forwarding;
	struct bufferevent *bev;
	size_t searched_bytes;	  /* of the input, for the end of a message */
	relay_service_t *service; /* NULL before the start-up */
	relay_hub_subscriber_t
		*subscriber; /* of a node that follows, or NULL */
	bool asks_tokens;    /* of a node that asks the quota leader */
	char *server_id;
	char *customer;	      /* that the statements are for, or NULL */
	GHashTable *values;   /* session variables, name -> value */
	GHashTable *prepared; /* name -> definition */
	char *begin_id;	      /* id of a BEGIN that was not sent yet, or NULL */
	char *begin_text;     /* text of that BEGIN, or NULL */
	log_point_t begin_after; /* log point that this BEGIN requires */
	relay_server_t *server;	 /* server of the link */
	relay_link_t *link;	 /* pinned or in use, or NULL */
	/* The current statement. */
	relay_message_t message;
	command_t command;
	relay_waiter_t waiter;
	relay_server_t *waiting_at; /* server that has the waiter, or NULL */
	struct event *timer;	    /* ends the wait for a connection */
	const char *refusal;	    /* why the statement will be refused */
	relay_attempt_t *attempt;
	bool in_transaction; /* the attempt runs in a transaction */
	bool busy;	     /* a statement waits or runs */
	bool closing;	     /* closed once the output is written */
} forwarding_session_t;

/* Accepts a connection of another node. */
void forwarding_session_create(relay_forwarding_t *forwarding,
			       evutil_socket_t fd);

void forwarding_session_free(forwarding_session_t *session);

/* Frees the session and removes it from the list. */
void forwarding_session_end(forwarding_session_t *session);

/* Closes the session once its output is written. */
void forwarding_session_close_soon(forwarding_session_t *session);

const relay_codec_t *
forwarding_session_codec(const forwarding_session_t *session);
struct evbuffer *forwarding_session_output(const forwarding_session_t *session);

void forwarding_session_answer_ready(forwarding_session_t *session,
				     log_point_t point);
void forwarding_session_answer_complete(forwarding_session_t *session);

/* Ends the current statement, whose answer was written. */
void forwarding_session_statement_done(forwarding_session_t *session);

/* Rejects a statement that waits for a connection. */
void forwarding_session_refuse_waiting(forwarding_session_t *session,
				       const char *reason);

/* Rejects the start-up. */
void forwarding_session_refuse_session(forwarding_session_t *session,
				       relay_error_t error);

/* relay_forwarding_peer.c */

/* Answers with this node's proof of the primaries. */
void forwarding_session_send_proof(forwarding_session_t *session);

/* Handles a request of a node that follows this hub. */
void forwarding_session_follow(forwarding_session_t *session);

/* Handles a request for tokens. */
void forwarding_session_admit(forwarding_session_t *session);

/* Accept a node that follows this hub, or one that asks for tokens. */
void forwarding_session_start_following(forwarding_session_t *session);
void forwarding_session_start_asking(forwarding_session_t *session);

#endif
