#include "state/quota_record.h"

#include <inttypes.h>
#include <string.h>

#include "base/text.h"

/* Names of the states, indexed by quota_record_state_t. */
static const char *const state_names[] = {"leading", "settling", "released"};

char *quota_record_encode(const quota_record_t *record)
{
	return g_strdup_printf("%s %" PRId64 " %s", record->holder, record->era,
			       state_names[record->state]);
}

static bool parse_state(const char *text, quota_record_state_t *state)
{
	for (guint i = 0; i < G_N_ELEMENTS(state_names); i++) {
		if (strcmp(text, state_names[i]))
			continue;
		*state = (quota_record_state_t)i;
		return true;
	}
	return false;
}

bool quota_record_decode(GBytes *value, quota_record_t *record)
{
	g_autofree char *text = text_from_bytes(value);
	g_auto(GStrv) fields = NULL;

	*record = (quota_record_t){0};
	if (!text)
		return false;
	fields = g_strsplit(text, " ", 0);
	if (g_strv_length(fields) != 3 || !*fields[0])
		return false;
	if (g_strlcpy(record->holder, fields[0], sizeof(record->holder)) >=
	    sizeof(record->holder))
		return false;
	return g_ascii_string_to_signed(fields[1], 10, 0, G_MAXINT64,
					&record->era, NULL) &&
	       parse_state(fields[2], &record->state);
}
