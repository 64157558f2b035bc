#include "state/config_schema.h"

#include <string.h>

#include <glib.h>

#include "state/config.h"

#define MILLISECONDS "milliseconds"

/* Maximum edit distance at which a known name is suggested. */
#define SUGGESTION_DISTANCE_MAX 2
/* Maximum length of a name for which a suggestion is sought. */
#define SUGGESTION_LENGTH_MAX 63

#define TEXT(type, field, ...)                               \
	{                                                    \
		.name = #field, .kind = CONFIG_FIELD_TEXT,   \
		.offset = offsetof(type, field), __VA_ARGS__ \
	}
#define NUMBER(type, field, bits, low, high, ...)                  \
	{                                                          \
		.name = #field, .kind = CONFIG_FIELD_UINT##bits,   \
		.offset = offsetof(type, field), .minimum = (low), \
		.maximum = (high), __VA_ARGS__                     \
	}
#define TIME_MS(type, field, low, high, value)               \
	NUMBER(type, field, 32, low, high, .optional = true, \
	       .default_value = (value), .unit = MILLISECONDS)
#define LIST(type, field, low, high, element, ...)                         \
	{                                                                  \
		.name = #field, .kind = CONFIG_FIELD_LIST,                 \
		.offset = offsetof(type, field),                           \
		.count_offset = offsetof(type, field##_count),             \
		.minimum = (low), .maximum = (high), .schema = &(element), \
		__VA_ARGS__                                                \
	}

static const config_field_t server_fields[] = {
	TEXT(config_server_t, name),
	TEXT(config_server_t, failure_domain),
	TEXT(config_server_t, address),
	NUMBER(config_server_t, port, 16, 1, UINT16_MAX),
	{.name = "leaving",
	 .kind = CONFIG_FIELD_BOOL,
	 .offset = offsetof(config_server_t, leaving),
	 .optional = true},
	{NULL},
};
static const config_schema_t server_schema = {sizeof(config_server_t),
					      server_fields};

static const config_field_t database_fields[] = {
	TEXT(config_database_t, name),
	TEXT(config_database_t, first_primary),
	LIST(config_database_t, servers, 1, 16, server_schema),
	{NULL},
};
static const config_schema_t database_schema = {sizeof(config_database_t),
						database_fields};

static const config_field_t class_fields[] = {
	TEXT(config_class_t, name),
	NUMBER(config_class_t, weight, 32, 1, 1000, .optional = true,
	       .default_value = 1),
	NUMBER(config_class_t, queue_limit, 32, 1, 100000, .optional = true,
	       .default_value = 1000),
	TIME_MS(config_class_t, max_age_ms, 0, 3600000, 0),
	TIME_MS(config_class_t, timeout_ms, 10, 600000, 10000),
	{NULL},
};
static const config_schema_t class_schema = {sizeof(config_class_t),
					     class_fields};

static const config_field_t caller_fields[] = {
	TEXT(config_caller_t, name),
	TEXT(config_caller_t, class_name),
	TEXT(config_caller_t, verifier),
	{NULL},
};
static const config_schema_t caller_schema = {sizeof(config_caller_t),
					      caller_fields};

static const config_field_t service_fields[] = {
	TEXT(config_service_t, name),
	NUMBER(config_service_t, slots, 32, 1, 16),
	NUMBER(config_service_t, connections, 32, 1, 10000),
	NUMBER(config_service_t, confirm_replicas, 32, 0, 15, .optional = true,
	       .default_value = 1),
	NUMBER(config_service_t, owners, 32, 1, 8, .optional = true,
	       .default_value = 2),
	TEXT(config_service_t, backend_user),
	LIST(config_service_t, databases, 1, 2000, database_schema),
	LIST(config_service_t, classes, 1, 32, class_schema),
	LIST(config_service_t, callers, 0, 10000, caller_schema,
	     .optional = true),
	{NULL},
};
static const config_schema_t service_schema = {sizeof(config_service_t),
					       service_fields};

static const config_field_t limits_fields[] = {
	TIME_MS(config_limits_t, evidence_valid_ms, 20, 10000, 300),
	TIME_MS(config_limits_t, confirm_timeout_ms, 50, 60000, 2000),
	TIME_MS(config_limits_t, suspect_ms, 100, 60000, 1000),
	TIME_MS(config_limits_t, poll_ms, 10, 10000, 250),
	TIME_MS(config_limits_t, catch_up_ms, 0, 10000, 250),
	TIME_MS(config_limits_t, drain_ms, 100, 600000, 30000),
	{NULL},
};
static const config_schema_t limits_schema = {sizeof(config_limits_t),
					      limits_fields};

static const config_field_t domain_fields[] = {
	TEXT(config_domain_t, name),
	TEXT(config_domain_t, region),
	{NULL},
};
static const config_schema_t domain_schema = {sizeof(config_domain_t),
					      domain_fields};

static const config_field_t change_fields[] = {
	NUMBER(config_change_t, revision, 64, 1, INT64_MAX),
	TEXT(config_change_t, change_id),
	{NULL},
};
static const config_schema_t change_schema = {sizeof(config_change_t),
					      change_fields};

static const config_field_t config_fields[] = {
	NUMBER(config_t, revision, 64, 1, INT64_MAX, .stored = true),
	TEXT(config_t, change_id, .stored = true),
	LIST(config_t, changes, 0, CONFIG_CHANGES_MAX, change_schema,
	     .stored = true, .optional = true),
	TEXT(config_t, site),
	{.name = "limits",
	 .kind = CONFIG_FIELD_MAP,
	 .offset = offsetof(config_t, limits),
	 .optional = true,
	 .schema = &limits_schema},
	LIST(config_t, failure_domains, 0, 64, domain_schema, .optional = true),
	LIST(config_t, services, 1, 2000, service_schema),
	{NULL},
};
const config_schema_t config_schema = {sizeof(config_t), config_fields};

const config_field_t *config_schema_field(const config_schema_t *schema,
					  const char *name)
{
	for (const config_field_t *field = schema->fields; field->name; field++)
		if (!strcmp(field->name, name))
			return field;
	return NULL;
}

/* Levenshtein distance; @p b has at most SUGGESTION_LENGTH_MAX characters. */
static size_t edit_distance(const char *a, const char *b)
{
	const size_t length = strlen(b);
	size_t row[SUGGESTION_LENGTH_MAX + 1];

	for (size_t j = 0; j <= length; j++)
		row[j] = j;
	for (size_t i = 0; a[i]; i++) {
		size_t diagonal = row[0]++;

		for (size_t j = 0; j < length; j++) {
			const size_t replaced = diagonal + (a[i] != b[j]);

			diagonal = row[j + 1];
			row[j + 1] = MIN(replaced, MIN(row[j], row[j + 1]) + 1);
		}
	}
	return row[length];
}

/* Whether @p name is a time field without its unit or with another unit. */
static bool is_other_unit(const char *wanted, const char *name)
{
	const size_t stem = strlen(wanted) - strlen("_ms");

	return g_str_has_suffix(wanted, "_ms") &&
	       !strncmp(wanted, name, stem) &&
	       (!name[stem] || name[stem] == '_');
}

const config_field_t *config_schema_similar(const config_schema_t *schema,
					    const char *name)
{
	if (strlen(name) > SUGGESTION_LENGTH_MAX)
		return NULL;
	for (const config_field_t *field = schema->fields; field->name; field++)
		if (!field->stored && (is_other_unit(field->name, name) ||
				       edit_distance(name, field->name) <=
					       SUGGESTION_DISTANCE_MAX))
			return field;
	return NULL;
}
