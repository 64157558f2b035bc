#ifndef STATE_CONFIG_SCHEMA_H
#define STATE_CONFIG_SCHEMA_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef enum {
	CONFIG_FIELD_TEXT, /**< char *, never NULL once decoded */
	CONFIG_FIELD_UINT16,
	CONFIG_FIELD_UINT32,
	CONFIG_FIELD_UINT64,
	CONFIG_FIELD_BOOL,
	CONFIG_FIELD_MAP,
	CONFIG_FIELD_LIST,
} config_field_kind_t;

typedef struct config_shape config_shape_t;

/** One field of a struct of state/config.h, by its name there. */
typedef struct {
	const char *name;
	const char *unit;	     /**< of a number, or NULL */
	const config_shape_t *shape; /**< of a map or of a list's elements */
	size_t offset;		     /**< of the field in its struct */
	size_t count_offset;	     /**< of its count, for a list */
	uint64_t minimum;	     /**< of a number, or of a list's length */
	uint64_t maximum;
	uint64_t fallback;
	config_field_kind_t kind;
	bool optional; /**< absent means @p fallback, or empty */
	bool stored;   /**< of the stored form only, not of files */
} config_field_t;

/** A struct and its fields; the last one has no name. */
struct config_shape {
	size_t size_bytes;
	const config_field_t *fields;
};

/** Describes config_t. */
extern const config_shape_t config_schema;

/** @return the field of that name, or NULL. */
const config_field_t *config_schema_field(const config_shape_t *shape,
					  const char *name);

/** @return the field that a mistyped name may stand for, or NULL. */
const config_field_t *config_schema_similar(const config_shape_t *shape,
					    const char *name);

#endif
