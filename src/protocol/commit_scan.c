#include "protocol/commit_scan.h"

#include <string.h>

#include "protocol/pg_frame.h"
#include "protocol/statement.h"

/* Searches for substrings first, so that most texts need not be parsed. */
static bool is_commit(const char *sql)
{
	g_autofree char *lower = g_ascii_strdown(sql, -1);
	g_autoptr(statement_t) statement = NULL;

	if (!strstr(lower, "commit") && !strstr(lower, "end"))
		return false;
	statement = statement_parse(sql);
	return statement->statement_class == STATEMENT_COMMIT;
}

static bool message_is_commit(const pg_message_t *message)
{
	pg_reader_t reader = pg_reader(message);
	const char *sql = NULL;

	if (message->type != 'Q' && message->type != 'P')
		return false;
	sql = pg_read_string(&reader);
	if (message->type == 'P')
		sql = pg_read_string(&reader);
	return sql && is_commit(sql);
}

bool commit_scan(GBytes *request)
{
	gsize size_bytes = 0;
	const uint8_t *bytes = g_bytes_get_data(request, &size_bytes);
	pg_message_t message = {0};
	size_t used = 0;

	while (pg_frame_next(bytes + used, size_bytes - used, SIZE_MAX,
			     &message) == PG_FRAME_READY) {
		if (message_is_commit(&message))
			return true;
		used += message.size_bytes;
	}
	return false;
}
