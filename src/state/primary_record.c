#include "state/primary_record.h"

#include <jansson.h>

/* Highest number that is accepted. */
#define NUMBER_MAX (G_MAXINT64 / 2)

static json_t *encode_holders(const sync_holders_t *holders)
{
	json_t *list = json_array();

	for (uint32_t i = 0; i < holders->count; i++)
		json_array_append_new(
			list,
			json_pack("[s,I]", holders->holders[i].id,
				  (json_int_t)holders->holders[i].started_ms));
	if (holders->overflowed)
		json_array_append_new(list, json_true());
	return list;
}

char *primary_record_encode(const primary_record_t *record)
{
	json_t *json = json_pack(
		"{s:I,s:s,s:I,s:I,s:I,s:I,s:b}", "term",
		(json_int_t)record->term, "primary", record->primary,
		"takeover", (json_int_t)record->takeover_term, "token",
		(json_int_t)record->token, "attempt",
		(json_int_t)record->attempt, "era", (json_int_t)record->era,
		"restored", record->restored);
	char *dumped;
	char *text;

	if (!record->order_unknown)
		json_object_set_new(json, "ordered",
				    json_string(record->ordered));
	if (record->holders.count)
		json_object_set_new(json, "holders",
				    encode_holders(&record->holders));
	dumped = json_dumps(json, JSON_COMPACT);
	text = g_strdup(dumped);
	free(dumped); /* allocated by jansson with malloc() */
	json_decref(json);
	return text;
}

static bool get_integer(json_t *value, uint64_t *number)
{
	/* Terms are counted on from what is read. */
	if (!json_is_integer(value) || json_integer_value(value) < 0 ||
	    json_integer_value(value) > NUMBER_MAX)
		return false;
	*number = (uint64_t)json_integer_value(value);
	return true;
}

static bool get_number(json_t *json, const char *name, uint64_t *number)
{
	return get_integer(json_object_get(json, name), number);
}

static bool get_holder(json_t *json, sync_holders_t *holders)
{
	const char *id = json_string_value(json_array_get(json, 0));
	sync_holders_t one = {.count = 1};

	if (json_is_true(json)) {
		holders->overflowed = true;
		return true;
	}
	if (!id ||
	    g_strlcpy(one.holders[0].id, id, sizeof(one.holders[0].id)) >=
		    sizeof(one.holders[0].id) ||
	    !get_integer(json_array_get(json, 1), &one.holders[0].started_ms))
		return false;
	sync_holders_merge(holders, &one);
	return true;
}

/* Records of earlier versions have none. */
static bool get_holders(json_t *json, sync_holders_t *holders)
{
	size_t i;
	json_t *holder;

	*holders = (sync_holders_t){0};
	if (json && !json_is_array(json))
		return false;
	json_array_foreach(json, i, holder)
	{
		if (!get_holder(holder, holders))
			return false;
	}
	return true;
}

/* Records of earlier versions do not tell. */
static bool get_ordered(json_t *json, primary_record_t *record)
{
	const char *ordered = json_string_value(json);

	record->order_unknown = !json;
	if (!json)
		ordered = "";
	return ordered &&
	       g_strlcpy(record->ordered, ordered, sizeof(record->ordered)) <
		       sizeof(record->ordered);
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
	bool valid =
		primary && get_number(json, "term", &record->term) &&
		get_number(json, "takeover", &record->takeover_term) &&
		get_number(json, "token", &record->token) &&
		get_number(json, "attempt", &record->attempt) &&
		get_ordered(json_object_get(json, "ordered"), record) &&
		get_holders(json_object_get(json, "holders"), &record->holders);

	if (valid)
		valid = g_strlcpy(record->primary, primary,
				  sizeof(record->primary)) <
			sizeof(record->primary);
	record->era = MAX(era, 0);
	record->restored = restored;
	json_decref(json);
	return valid;
}
