#include "state/lease_record.h"

#include <inttypes.h>

#include "base/text.h"

/* Fields of a record: lease id, write time, revision. */
#define FIELDS_COUNT 3

char *lease_record_encode(const lease_record_t *record)
{
	return g_strdup_printf("%" PRId64 " %" PRId64 " %" PRId64,
			       record->lease, record->written_ms,
			       record->seen_revision);
}

static bool parse_number(const char *text, int64_t *value)
{
	return g_ascii_string_to_signed(text, 10, 0, G_MAXINT64, value, NULL);
}

bool lease_record_decode(GBytes *bytes, lease_record_t *record)
{
	g_autofree char *text = text_from_bytes(bytes);
	g_auto(GStrv) fields = NULL;

	if (!text)
		return false;
	fields = g_strsplit(text, " ", 0);
	return g_strv_length(fields) == FIELDS_COUNT &&
	       parse_number(fields[0], &record->lease) &&
	       parse_number(fields[1], &record->written_ms) &&
	       parse_number(fields[2], &record->seen_revision);
}
