#ifndef DAEMON_PEER_CALL_H
#define DAEMON_PEER_CALL_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "protocol/answer_parts.h"
#include "protocol/request.h"
#include "state/member_view.h"

/* One request that was forwarded to a peer; internal to peer_calls. */

typedef enum {
	CALL_WAITING,
	CALL_SETTLED,	/* the next run reports the result to the sink */
	CALL_ABANDONED, /* cancelled; the peer may still send a lease */
} peer_call_state_t;

typedef struct {
	uint64_t call_id;
	char node[sizeof(((member_t *)0)->name)];
	uint64_t own_incarnation;
	uint64_t peer_incarnation; /* incarnation of the peer, 0 if unknown */
	uint64_t request_id;
	uint64_t lease_id;
	request_kind_t kind;
	answer_sink_t sink;
	peer_call_state_t state;
	answer_t result;    /* CALL_SETTLED: result to report to the sink */
	bool may_answer;    /* CALL_SETTLED: the peer may still send a lease */
	bool was_sent;	    /* the request has been sent to the peer */
	bool has_delivered; /* the sink has received a chunk */
	answer_parts_t parts;
	uint64_t send_deadline_ms; /* latest time to send the request */
	uint64_t inquiry_ms;	   /* time of the next inquiry to the peer */
	uint64_t deadline_ms;
} peer_call_t;

/* Reason why a call ends without an answer. */
typedef struct {
	reason_t reason;
	bool peer_is_gone;
} peer_call_failure_t;

void peer_call_free(gpointer data);

/* Sets the result of a call; the next run reports it to the sink. */
void peer_call_settle(peer_call_t *call, const answer_t *result);

/* Settles a call that was never sent as not run. */
void peer_call_refuse(peer_call_t *call, reason_t reason);

/*
 * Returns the result of a call without an answer: not run if the request was
 * never sent or is a read without a delivered chunk, else unknown.
 */
answer_t peer_call_failure_answer(const peer_call_t *call, bool never_sent,
				  peer_call_failure_t failure);

#endif
