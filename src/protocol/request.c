#include "protocol/request.h"

static const char *const outcome_names[] = {
	[OUTCOME_DONE] = "done",
	[OUTCOME_NOT_RUN] = "not_run",
	[OUTCOME_UNKNOWN] = "unknown",
};

static const char *const reason_names[REASON_COUNT] = {
	[REASON_NONE] = "none",
	[REASON_BEHIND] = "behind",
	[REASON_STALE] = "stale",
	[REASON_OTHER_TERM] = "other_term",
	[REASON_NOT_PRIMARY] = "not_primary",
	[REASON_NOT_OWNER] = "not_owner",
	[REASON_OVERLOADED] = "overloaded",
	[REASON_DEADLINE] = "deadline",
	[REASON_UNREACHABLE] = "unreachable",
	[REASON_LEAVING] = "leaving",
	[REASON_UNCONFIRMED] = "unconfirmed",
	[REASON_LOST_ANSWER] = "lost_answer",
	[REASON_NO_PRIMARY] = "no_primary",
	[REASON_CANCELLED] = "cancelled",
	[REASON_PAUSED] = "paused",
	[REASON_UNKNOWN_LEASE] = "unknown_lease",
};

static const char *const kind_names[REQUEST_KIND_COUNT] = {
	[REQUEST_READ] = "read",
	[REQUEST_WRITE] = "write",
	[REQUEST_TRANSACTION] = "transaction",
};

request_t *request_new(void)
{
	return g_new0(request_t, 1);
}

void request_delete(request_t *request)
{
	if (!request)
		return;
	g_free(request->database);
	g_free(request->server);
	g_free(request->tenant);
	g_free(request->request_key);
	g_clear_pointer(&request->bytes, g_bytes_unref);
	g_free(request);
}

request_t *request_copy(const request_t *request)
{
	request_t *copy = request_new();

	*copy = *request;
	copy->database = g_strdup(request->database);
	copy->server = g_strdup(request->server);
	copy->tenant = g_strdup(request->tenant);
	copy->request_key = g_strdup(request->request_key);
	if (request->bytes)
		copy->bytes = g_bytes_ref(request->bytes);
	return copy;
}

const char *outcome_name(outcome_t outcome)
{
	if (outcome > OUTCOME_UNKNOWN)
		return "invalid";
	return outcome_names[outcome];
}

const char *reason_name(reason_t reason)
{
	if (reason >= REASON_COUNT)
		return "invalid";
	return reason_names[reason];
}

const char *request_kind_name(request_kind_t kind)
{
	if (kind >= REQUEST_KIND_COUNT)
		return "invalid";
	return kind_names[kind];
}
