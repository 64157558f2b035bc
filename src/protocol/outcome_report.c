#include "protocol/outcome_report.h"

#define NOT_RUN "request was not run: "
#define UNKNOWN "outcome of the request is unknown: "

static const char *const not_run_messages[REASON_COUNT] = {
	[REASON_NONE] = NOT_RUN "no reason given",
	[REASON_BEHIND] = NOT_RUN "no replica caught up in time",
	[REASON_STALE] =
		NOT_RUN "no replica could prove the required freshness",
	[REASON_OTHER_TERM] = NOT_RUN "the primary was replaced",
	[REASON_NOT_PRIMARY] = NOT_RUN "the server is not the primary",
	[REASON_NOT_OWNER] = NOT_RUN "the server has another owner",
	[REASON_OVERLOADED] = NOT_RUN "too many requests are waiting",
	[REASON_DEADLINE] = NOT_RUN "its deadline passed",
	[REASON_UNREACHABLE] = NOT_RUN "the server cannot be reached",
	[REASON_LEAVING] = NOT_RUN "the server is leaving",
	[REASON_UNCONFIRMED] = NOT_RUN "the primary could not be confirmed",
	[REASON_LOST_ANSWER] = NOT_RUN "the connection broke",
	[REASON_NO_PRIMARY] = NOT_RUN "no primary is available",
	[REASON_CANCELLED] = "canceling statement due to user request",
	[REASON_PAUSED] = NOT_RUN "the owner of the server was paused",
	[REASON_UNKNOWN_LEASE] = NOT_RUN "the transaction was lost",
};

static const char *const unknown_messages[REASON_COUNT] = {
	[REASON_NONE] = UNKNOWN "no reason given",
	[REASON_DEADLINE] = UNKNOWN "its deadline passed while it ran",
	[REASON_UNREACHABLE] = UNKNOWN "the server cannot be reached",
	[REASON_UNCONFIRMED] =
		UNKNOWN "too few replicas received the change in time",
	[REASON_LOST_ANSWER] = UNKNOWN "the connection broke before the answer",
	[REASON_CANCELLED] = UNKNOWN "it was cancelled while it ran",
};

outcome_report_t outcome_report(outcome_t outcome, reason_t reason)
{
	outcome_report_t report = {
		.sqlstate = SQLSTATE_NOT_RUN,
		.hint = "It had no effect and may be retried.",
	};

	if (reason >= REASON_COUNT)
		reason = REASON_NONE;
	if (outcome == OUTCOME_UNKNOWN) {
		report.sqlstate = SQLSTATE_UNKNOWN;
		report.message = unknown_messages[reason];
		report.hint = "It may have taken effect. Look it up, or set "
			      "the same toucanhook.request_key again and "
			      "repeat it.";
		if (!report.message)
			report.message = UNKNOWN "its answer was lost";
		return report;
	}
	report.message = not_run_messages[reason];
	if (reason == REASON_CANCELLED) {
		report.sqlstate = "57014";
		report.hint = NULL;
	}
	return report;
}
