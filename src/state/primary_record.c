#include "state/primary_record.h"

#include <inttypes.h>

#include <jansson.h>

char *primary_record_encode(const primary_record_t *record)
{
	return g_strdup_printf(
		"{\"term\":%" PRIu64 ",\"primary\":\"%s\","
		"\"takeover\":%" PRIu64 ",\"token\":%" PRIu64
		",\"attempt\":%" PRIu64 ",\"era\":%" PRId64 ",\"restored\":%s}",
		record->term, record->primary, record->takeover_term,
		record->token, record->attempt, record->era,
		record->restored ? "true" : "false");
}

static bool get_number(json_t *json, const char *name, uint64_t *number)
{
	json_t *value = json_object_get(json, name);

	if (!json_is_integer(value) || json_integer_value(value) < 0)
		return false;
	*number = (uint64_t)json_integer_value(value);
	return true;
}

bool primary_record_decode(GBytes *bytes, primary_record_t *record)
{
	gsize size;
	const char *text = g_bytes_get_data(bytes, &size);
	json_t *json = json_loadb(text, size, 0, NULL);
	const char *primary =
		json_string_value(json_object_get(json, "primary"));
	const bool restored = json_is_true(json_object_get(json, "restored"));
	/* Records of earlier versions have no era. */
	const json_int_t era = json_integer_value(json_object_get(json, "era"));
	bool valid = primary && get_number(json, "term", &record->term) &&
		     get_number(json, "takeover", &record->takeover_term) &&
		     get_number(json, "token", &record->token) &&
		     get_number(json, "attempt", &record->attempt);

	if (valid)
		valid = g_strlcpy(record->primary, primary,
				  sizeof(record->primary)) <
			sizeof(record->primary);
	record->era = MAX(era, 0);
	record->restored = restored;
	json_decref(json);
	return valid;
}
