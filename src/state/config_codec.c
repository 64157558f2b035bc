#include "state/config_codec.h"

#include <inttypes.h>
#include <string.h>

#include "state/config_schema.h"

#define TEXT_LENGTH_MAX 1024

G_DEFINE_QUARK(toucanhook - config - codec, config_codec_error)

typedef struct {
	config_problems_t *problems;
	bool from_files; /* input is merged files, not the encoded form */
} decoder_t;

static json_t *encode_map(const void *data, const config_schema_t *schema);

static json_t *encode_list(const uint8_t *data, const config_field_t *field)
{
	const uint32_t count = *(const uint32_t *)(data + field->count_offset);
	const uint8_t *items = *(uint8_t *const *)(data + field->offset);
	json_t *list = json_array();

	for (uint32_t i = 0; i < count; i++)
		json_array_append_new(
			list, encode_map(items + i * field->schema->size_bytes,
					 field->schema));
	return list;
}

static json_t *encode_field(const uint8_t *data, const config_field_t *field)
{
	const void *value = data + field->offset;

	switch (field->kind) {
	case CONFIG_FIELD_TEXT:
		return json_string(*(char *const *)value);
	case CONFIG_FIELD_UINT16:
		return json_integer(*(const uint16_t *)value);
	case CONFIG_FIELD_UINT32:
		return json_integer(*(const uint32_t *)value);
	case CONFIG_FIELD_UINT64:
		return json_integer((json_int_t) * (const uint64_t *)value);
	case CONFIG_FIELD_BOOL:
		/* False is omitted to keep the encoded form small. */
		return *(const bool *)value ? json_true() : NULL;
	case CONFIG_FIELD_MAP:
		return encode_map(value, field->schema);
	case CONFIG_FIELD_LIST:
		return encode_list(data, field);
	}
	g_assert_not_reached();
}

static json_t *encode_map(const void *data, const config_schema_t *schema)
{
	json_t *map = json_object();

	for (const config_field_t *field = schema->fields; field->name;
	     field++) {
		json_t *value = encode_field(data, field);

		if (value)
			json_object_set_new(map, field->name, value);
	}
	return map;
}

char *config_codec_encode(const config_t *config)
{
	json_t *json = encode_map(config, &config_schema);
	char *text = json_dumps(json, JSON_COMPACT);
	char *copy = g_strdup(text);

	free(text);
	json_decref(json);
	return copy;
}

static void decode_map(decoder_t *decoder, const json_t *json, const char *path,
		       const config_schema_t *schema, void *data);

static void set_number(void *value, config_field_kind_t kind, uint64_t number)
{
	if (kind == CONFIG_FIELD_UINT16)
		*(uint16_t *)value = (uint16_t)number;
	else if (kind == CONFIG_FIELD_UINT32)
		*(uint32_t *)value = (uint32_t)number;
	else
		*(uint64_t *)value = number;
}

static void decode_number(decoder_t *decoder, const json_t *json,
			  const char *path, const config_field_t *field,
			  void *value)
{
	const json_int_t number = json_integer_value(json);

	set_number(value, field->kind,
		   field->optional ? field->default_value : field->minimum);
	if (!json && field->optional)
		return;
	if (json_is_integer(json) && number >= 0 &&
	    (uint64_t)number >= field->minimum &&
	    (uint64_t)number <= field->maximum) {
		set_number(value, field->kind, (uint64_t)number);
		return;
	}
	config_problems_add(
		decoder->problems, path,
		"expected a whole number%s%s, %" PRIu64 " to %" PRIu64,
		field->unit ? " of " : "", field->unit ? field->unit : "",
		field->minimum, field->maximum);
}

static void decode_text(decoder_t *decoder, const json_t *json,
			const char *path, const config_field_t *field,
			char **value)
{
	const char *text = json_string_value(json);

	*value = g_strdup(text ? text : "");
	if (!json && field->optional)
		return;
	if (json_is_number(json) || json_is_boolean(json))
		config_problems_add(decoder->problems, path,
				    "expected text; add quotes");
	else if (!text || !*text || strlen(text) > TEXT_LENGTH_MAX)
		config_problems_add(decoder->problems, path,
				    "expected text of 1 to %d characters",
				    TEXT_LENGTH_MAX);
}

static void decode_list(decoder_t *decoder, const json_t *json,
			const char *path, const config_field_t *field,
			uint8_t *data)
{
	const size_t count = json_array_size(json);
	uint8_t *items;

	if (!json && field->optional)
		return;
	if (!json_is_array(json) || count < field->minimum ||
	    count > field->maximum) {
		config_problems_add(decoder->problems, path,
				    "expected a list of %" PRIu64 " to %" PRIu64
				    " entries",
				    field->minimum, field->maximum);
		return;
	}
	items = g_malloc0_n(count, field->schema->size_bytes);
	*(uint8_t **)(data + field->offset) = items;
	*(uint32_t *)(data + field->count_offset) = (uint32_t)count;
	for (size_t i = 0; i < count; i++) {
		const json_t *element = json_array_get(json, i);
		g_autofree char *below = g_strdup_printf("%s[%zu]", path, i);

		decode_map(decoder, element, below, field->schema,
			   items + i * field->schema->size_bytes);
	}
}

static void decode_bool(decoder_t *decoder, const json_t *json,
			const char *path, bool *value)
{
	*value = json_is_true(json);
	if (json && !json_is_boolean(json))
		config_problems_add(decoder->problems, path,
				    "expected true or false");
}

static void decode_field(decoder_t *decoder, const json_t *json,
			 const char *path, const config_field_t *field,
			 uint8_t *data)
{
	void *value = data + field->offset;

	switch (field->kind) {
	case CONFIG_FIELD_TEXT:
		decode_text(decoder, json, path, field, value);
		break;
	case CONFIG_FIELD_BOOL:
		decode_bool(decoder, json, path, value);
		break;
	case CONFIG_FIELD_MAP:
		decode_map(decoder, json, path, field->schema, value);
		break;
	case CONFIG_FIELD_LIST:
		decode_list(decoder, json, path, field, data);
		break;
	default:
		decode_number(decoder, json, path, field, value);
	}
}

static void report_unknown(decoder_t *decoder, const json_t *json,
			   const char *path, const config_schema_t *schema)
{
	const char *key;
	json_t *value;

	json_object_foreach((json_t *)json, key, value)
	{
		const config_field_t *field = config_schema_field(schema, key);
		const config_field_t *similar;
		g_autofree char *below = NULL;

		if (field && !field->stored)
			continue;
		similar = config_schema_similar(schema, key);
		below = g_strconcat(path, *path ? "." : "", key, NULL);
		config_problems_add(
			decoder->problems, below, "unknown key%s%s%s",
			similar ? "; did you mean " : "",
			similar ? similar->name : "", similar ? "?" : "");
	}
}

static void decode_map(decoder_t *decoder, const json_t *json, const char *path,
		       const config_schema_t *schema, void *data)
{
	if (json && !json_is_object(json))
		config_problems_add(decoder->problems, path, "expected a map");
	if (decoder->from_files && json_is_object(json))
		report_unknown(decoder, json, path, schema);
	for (const config_field_t *field = schema->fields; field->name;
	     field++) {
		g_autofree char *below =
			g_strconcat(path, *path ? "." : "", field->name, NULL);

		if (!field->stored || !decoder->from_files)
			decode_field(decoder,
				     json_object_get(json, field->name), below,
				     field, data);
	}
}

config_t *config_codec_from_files(const json_t *json,
				  config_problems_t *problems)
{
	decoder_t decoder = {.problems = problems, .from_files = true};
	config_t *config = g_new0(config_t, 1);

	decode_map(&decoder, json, "", &config_schema, config);
	config->change_id = g_strdup("");
	return config;
}

static void copy_first(void *context, const char *path, const char *expected)
{
	char **first = context;

	if (!*first)
		*first = g_strdup_printf("%s: %s", path, expected);
}

config_t *config_codec_decode(const uint8_t *bytes, size_t size_bytes,
			      GError **error)
{
	g_autoptr(config_problems_t) problems = config_problems_create();
	g_autofree char *first = NULL;
	decoder_t decoder = {.problems = problems};
	json_error_t reason = {.line = 0};
	config_t *config;
	json_t *json = NULL;

	if (size_bytes <= CONFIG_SIZE_BYTES_MAX)
		json = json_loadb((const char *)bytes, size_bytes,
				  JSON_REJECT_DUPLICATES, &reason);
	if (!json) {
		g_set_error(error, CONFIG_CODEC_ERROR,
			    CONFIG_CODEC_ERROR_SYNTAX,
			    "expected a JSON text of at most %u bytes: %s",
			    CONFIG_SIZE_BYTES_MAX, reason.text);
		return NULL;
	}
	config = g_new0(config_t, 1);
	decode_map(&decoder, json, "", &config_schema, config);
	json_decref(json);
	config_problems_each(problems, copy_first, &first);
	if (!first)
		return config;
	g_set_error(error, CONFIG_CODEC_ERROR, CONFIG_CODEC_ERROR_VALUE, "%s",
		    first);
	config_delete(config);
	return NULL;
}
