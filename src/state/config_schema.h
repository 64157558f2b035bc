#ifndef STATE_CONFIG_SCHEMA_H
#define STATE_CONFIG_SCHEMA_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Type of a configuration field. */
typedef enum {
	CONFIG_FIELD_TEXT, /**< char *, never NULL once decoded */
	CONFIG_FIELD_UINT16,
	CONFIG_FIELD_UINT32,
	CONFIG_FIELD_UINT64,
	CONFIG_FIELD_BOOL,
	CONFIG_FIELD_MAP,
	CONFIG_FIELD_LIST,
} config_field_kind_t;

typedef struct config_schema config_schema_t;

/** One field of a struct of state/config.h. */
typedef struct {
	const char *name; /**< key; the field's name in the struct */
	const char *unit; /**< unit of a number, or NULL */
	/** Schema of the map or of the list's elements. */
	const config_schema_t *schema;
	size_t offset;		/**< offset of the field in its struct */
	size_t count_offset;	/**< offset of the element count of a list */
	uint64_t minimum;	/**< minimum number or list length */
	uint64_t maximum;	/**< maximum number or list length */
	uint64_t default_value; /**< default of an optional number */
	config_field_kind_t kind;
	bool optional; /**< may be absent: default value, or empty */
	bool stored;   /**< only in the encoded form, not in files */
} config_field_t;

/** Schema of a struct; an entry without a name ends its fields. */
struct config_schema {
	size_t size_bytes;
	const config_field_t *fields;
};

/** Schema of config_t. */
extern const config_schema_t config_schema;

/** @return the field of that name, or NULL. */
const config_field_t *config_schema_field(const config_schema_t *schema,
					  const char *name);

/** @return the field that was probably meant by @p name, or NULL. */
const config_field_t *config_schema_similar(const config_schema_t *schema,
					    const char *name);

#endif
