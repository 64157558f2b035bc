#include "relay/relay_codec.h"

bool relay_error_proves_no_effect(relay_error_t error)
{
	return error <= RELAY_ERROR_CONNECTION_LIMIT;
}

const char *relay_error_name(relay_error_t error)
{
	static const char *const names[RELAY_ERROR_COUNT] = {
		"overloaded",	"aborted",	"behind",
		"read_only",	"other_server", "connection_limit",
		"in_doubt",	"timeout",	"failed",
		"unknown",	"malformed",	"no_database",
		"unauthorized", "other"};

	return names[error];
}

void relay_message_clear(relay_message_t *message)
{
	g_clear_pointer(&message->encoded, g_free);
	g_clear_pointer(&message->id, g_free);
	g_clear_pointer(&message->text, g_free);
	g_clear_pointer(&message->user, g_free);
}
