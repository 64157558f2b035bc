#include "daemon/peer_call.h"

void peer_call_free(gpointer data)
{
	peer_call_t *call = data;

	answer_parts_clear(&call->parts);
	g_free(call);
}

void peer_call_settle(peer_call_t *call, const answer_t *result)
{
	call->state = CALL_SETTLED;
	call->result = *result;
}

void peer_call_refuse(peer_call_t *call, reason_t reason)
{
	const answer_t result = {
		.outcome = OUTCOME_NOT_RUN,
		.reason = reason,
		.transaction_status = call->lease_id ? 'T' : 'I',
		.lease_id = call->lease_id,
	};

	peer_call_settle(call, &result);
}

answer_t peer_call_failure_answer(const peer_call_t *call, bool never_sent,
				  peer_call_failure_t failure)
{
	const bool is_clean_read =
		call->kind == REQUEST_READ && !call->has_delivered;
	const bool keeps_lease = never_sent && !failure.peer_is_gone;
	answer_t answer = {
		.outcome = never_sent || is_clean_read ? OUTCOME_NOT_RUN :
							 OUTCOME_UNKNOWN,
		.reason = failure.reason,
		.transaction_status = 'I',
	};

	if (never_sent && failure.peer_is_gone)
		answer.reason = REASON_UNREACHABLE;
	if (keeps_lease && call->lease_id) {
		answer.lease_id = call->lease_id;
		answer.transaction_status = 'T';
	}
	return answer;
}
