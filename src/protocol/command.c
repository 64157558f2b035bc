#include "protocol/command.h"

void command_clear(command_t *command)
{
	g_clear_pointer(&command->name, g_free);
	g_clear_pointer(&command->value, g_free);
}

const char *command_kind_name(command_kind_t kind)
{
	static const char *const names[COMMAND_KIND_COUNT] = {
		"begin", "begin_read", "commit",  "rollback", "read",
		"write", "set",	       "prepare", "execute",  "close",
		"reset", "prove",      "follow",  "as",	      "admit",
		"lend",	 "invalid"};

	return names[kind];
}
