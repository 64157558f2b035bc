#include "state/server_status.h"

static const char *const role_names[SERVER_ROLE_COUNT] = {
	[SERVER_REPLICA] = "replica",
	[SERVER_PRIMARY] = "primary",
};

static const char *const operation_names[SERVER_OPERATION_COUNT] = {
	[SERVER_STATUS] = "status",
	[SERVER_FENCE] = "fence",
	[SERVER_PROMOTE] = "promote",
	[SERVER_FOLLOW] = "follow",
};

static const char *const result_names[SERVER_RESULT_COUNT] = {
	[SERVER_OK] = "ok",
	[SERVER_REFUSED] = "refused",
	[SERVER_UNREACHABLE] = "unreachable",
	[SERVER_NOT_OWNED] = "not_owned",
	[SERVER_UNKNOWN] = "unknown",
};

bool server_status_is_primary(const server_status_t *status, uint64_t term)
{
	return status->role == SERVER_PRIMARY && status->term == term &&
	       status->fence <= term;
}

const char *server_role_name(server_role_t role)
{
	return role < SERVER_ROLE_COUNT ? role_names[role] : "invalid";
}

const char *server_operation_name(server_operation_t operation)
{
	if (operation >= SERVER_OPERATION_COUNT)
		return "invalid";
	return operation_names[operation];
}

const char *server_result_name(server_result_t result)
{
	return result < SERVER_RESULT_COUNT ? result_names[result] : "invalid";
}
