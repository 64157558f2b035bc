#include "state/config_schema.h"

#include <string.h>

#include <glib.h>

#include "state/config.h"

#define MILLISECONDS "milliseconds"

/* Mistyped names differ from the one meant in at most this many letters. */
#define TYPOS_MAX 2
#define TYPO_LENGTH_MAX 63

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
	       .fallback = (value), .unit = MILLISECONDS)
#define LIST(type, field, low, high, element, ...)                        \
	{                                                                 \
		.name = #field, .kind = CONFIG_FIELD_LIST,                \
		.offset = offsetof(type, field),                          \
		.count_offset = offsetof(type, field##_count),            \
		.minimum = (low), .maximum = (high), .shape = &(element), \
		__VA_ARGS__                                               \
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
static const config_shape_t server_shape = {sizeof(config_server_t),
					    server_fields};

static const config_field_t database_fields[] = {
	TEXT(config_database_t, name),
	TEXT(config_database_t, first_primary),
	LIST(config_database_t, servers, 1, 16, server_shape),
	{NULL},
};
static const config_shape_t database_shape = {sizeof(config_database_t),
					      database_fields};

static const config_field_t class_fields[] = {
	TEXT(config_class_t, name),
	NUMBER(config_class_t, weight, 32, 1, 1000, .optional = true,
	       .fallback = 1),
	NUMBER(config_class_t, queue_limit, 32, 1, 100000, .optional = true,
	       .fallback = 1000),
	TIME_MS(config_class_t, max_age_ms, 0, 3600000, 0),
	TIME_MS(config_class_t, timeout_ms, 10, 600000, 10000),
	{NULL},
};
static const config_shape_t class_shape = {sizeof(config_class_t),
					   class_fields};

static const config_field_t caller_fields[] = {
	TEXT(config_caller_t, name),
	TEXT(config_caller_t, class_name),
	TEXT(config_caller_t, verifier),
	{NULL},
};
static const config_shape_t caller_shape = {sizeof(config_caller_t),
					    caller_fields};

static const config_field_t service_fields[] = {
	TEXT(config_service_t, name),
	NUMBER(config_service_t, slots, 32, 1, 16),
	NUMBER(config_service_t, connections, 32, 1, 10000),
	NUMBER(config_service_t, confirm_replicas, 32, 0, 15, .optional = true,
	       .fallback = 1),
	NUMBER(config_service_t, owners, 32, 1, 8, .optional = true,
	       .fallback = 2),
	TEXT(config_service_t, backend_user),
	LIST(config_service_t, databases, 1, 2000, database_shape),
	LIST(config_service_t, classes, 1, 32, class_shape),
	LIST(config_service_t, callers, 0, 10000, caller_shape,
	     .optional = true),
	{NULL},
};
static const config_shape_t service_shape = {sizeof(config_service_t),
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
static const config_shape_t limits_shape = {sizeof(config_limits_t),
					    limits_fields};

static const config_field_t domain_fields[] = {
	TEXT(config_domain_t, name),
	TEXT(config_domain_t, region),
	{NULL},
};
static const config_shape_t domain_shape = {sizeof(config_domain_t),
					    domain_fields};

static const config_field_t change_fields[] = {
	NUMBER(config_change_t, revision, 64, 1, INT64_MAX),
	TEXT(config_change_t, change_id),
	{NULL},
};
static const config_shape_t change_shape = {sizeof(config_change_t),
					    change_fields};

static const config_field_t config_fields[] = {
	NUMBER(config_t, revision, 64, 1, INT64_MAX, .stored = true),
	TEXT(config_t, change_id, .stored = true),
	LIST(config_t, changes, 0, CONFIG_CHANGES_MAX, change_shape,
	     .stored = true, .optional = true),
	TEXT(config_t, site),
	{.name = "limits",
	 .kind = CONFIG_FIELD_MAP,
	 .offset = offsetof(config_t, limits),
	 .optional = true,
	 .shape = &limits_shape},
	LIST(config_t, failure_domains, 0, 64, domain_shape, .optional = true),
	LIST(config_t, services, 1, 2000, service_shape),
	{NULL},
};
const config_shape_t config_schema = {sizeof(config_t), config_fields};

const config_field_t *config_schema_field(const config_shape_t *shape,
					  const char *name)
{
	for (const config_field_t *field = shape->fields; field->name; field++)
		if (!strcmp(field->name, name))
			return field;
	return NULL;
}

/* Levenshtein distance of two names within TYPO_LENGTH_MAX. */
static size_t distance(const char *a, const char *b)
{
	const size_t length = strlen(b);
	size_t row[TYPO_LENGTH_MAX + 1];

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

/* A time written without its unit, or with another one. */
static bool is_other_unit(const char *wanted, const char *name)
{
	const size_t stem = strlen(wanted) - strlen("_ms");

	return g_str_has_suffix(wanted, "_ms") &&
	       !strncmp(wanted, name, stem) &&
	       (!name[stem] || name[stem] == '_');
}

const config_field_t *config_schema_similar(const config_shape_t *shape,
					    const char *name)
{
	if (strlen(name) > TYPO_LENGTH_MAX)
		return NULL;
	for (const config_field_t *field = shape->fields; field->name; field++)
		if (!field->stored &&
		    (is_other_unit(field->name, name) ||
		     distance(name, field->name) <= TYPOS_MAX))
			return field;
	return NULL;
}
