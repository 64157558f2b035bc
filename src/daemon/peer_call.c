#include "daemon/peer_call.h"

void peer_call_free(gpointer data)
{
	peer_call_t *call = data;

	answer_parts_clear(&call->parts);
	g_free(call);
}

void peer_call_settle(peer_call_t *call, const answer_t *verdict)
{
	call->state = CALL_SETTLED;
	call->verdict = *verdict;
}

void peer_call_refuse(peer_call_t *call, reason_t reason)
{
	const answer_t verdict = {
		.outcome = OUTCOME_NOT_RUN,
		.reason = reason,
		.transaction_status = call->lease_id ? 'T' : 'I',
		.lease_id = call->lease_id,
	};

	peer_call_settle(call, &verdict);
}

answer_t peer_call_lost_answer(const peer_call_t *call, bool never_left,
			       peer_call_loss_t loss)
{
	const bool is_clean_read =
		call->kind == REQUEST_READ && !call->has_delivered;
	const bool keeps_lease = never_left && !loss.peer_is_gone;
	answer_t answer = {
		.outcome = never_left || is_clean_read ? OUTCOME_NOT_RUN :
							 OUTCOME_UNKNOWN,
		.reason = loss.reason,
		.transaction_status = 'I',
	};

	if (never_left && loss.peer_is_gone)
		answer.reason = REASON_UNREACHABLE;
	if (keeps_lease && call->lease_id) {
		answer.lease_id = call->lease_id;
		answer.transaction_status = 'T';
	}
	return answer;
}
