#ifndef DAEMON_PEER_CALL_H
#define DAEMON_PEER_CALL_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "protocol/answer_parts.h"
#include "protocol/request.h"
#include "state/member_view.h"

/* One request that was forwarded; the parts of peer_calls share it. */

typedef enum {
	CALL_WAITING,
	CALL_SETTLED,	/* its end is told by the next run */
	CALL_ABANDONED, /* nobody waits any more */
} peer_call_state_t;

typedef struct {
	uint64_t call_id;
	char node[sizeof(((member_t *)0)->name)];
	uint64_t own_incarnation;
	uint64_t peer_incarnation; /* 0 until it is known */
	uint64_t request_id;
	uint64_t lease_id;
	request_kind_t kind;
	answer_sink_t sink;
	peer_call_state_t state;
	answer_t verdict; /* SETTLED */
	bool may_answer;  /* SETTLED: the peer may still send a lease */
	bool has_left;
	bool has_delivered;
	answer_parts_t parts;
	uint64_t handover_ms;
	uint64_t inquiry_ms; /* when to ask what became of it */
	uint64_t deadline_ms;
} peer_call_t;

/* Why a call ends without an answer. */
typedef struct {
	reason_t reason;
	bool peer_is_gone;
} peer_call_loss_t;

void peer_call_free(gpointer data);

/* Sets how the call ends; it is told from the loop. */
void peer_call_settle(peer_call_t *call, const answer_t *verdict);

/* Settles a call that was never sent. */
void peer_call_refuse(peer_call_t *call, reason_t reason);

/* How a call ends of which no answer has come. */
answer_t peer_call_lost_answer(const peer_call_t *call, bool never_left,
			       peer_call_loss_t loss);

#endif
