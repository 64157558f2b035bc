#ifndef BASE_YAML_TREE_H
#define BASE_YAML_TREE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

/** Maximum size and nesting depth of a YAML file. */
#define YAML_TREE_SIZE_BYTES_MAX (4u * 1024 * 1024)
#define YAML_TREE_DEPTH_MAX 32

#define YAML_TREE_ERROR yaml_tree_error_quark()

/** Errors of functions that read YAML files. */
typedef enum {
	YAML_TREE_ERROR_READ,	/**< the file cannot be read or is too long */
	YAML_TREE_ERROR_SYNTAX, /**< not YAML, or YAML that is not supported */
	YAML_TREE_ERROR_VALUE,	/**< a value is invalid */
} yaml_tree_error_t;

typedef enum {
	YAML_VALUE_SCALAR,
	YAML_VALUE_LIST,
	YAML_VALUE_MAP,
} yaml_value_kind_t;

/** One value of a YAML file and its location. */
typedef struct yaml_value {
	yaml_value_kind_t kind;
	const char *file; /**< path of the file, interned */
	uint32_t line;	  /**< line from 1; for a map's value that of its key */
	uint32_t start_line; /**< first line of the value itself */
	char *scalar;	     /**< text of a scalar */
	bool quoted;	     /**< the scalar is quoted, so it is a string */
	GPtrArray *keys;  /**< char *, keys of a map, in the order of items */
	GPtrArray *items; /**< yaml_value_t *, values of a list or map */
} yaml_value_t;

GQuark yaml_tree_error_quark(void);

/** Reads a file within the size limit. @return text for g_free(), or NULL */
char *yaml_tree_read(const char *path, size_t *size_bytes, GError **error);

/**
 * Parses a file. Aliases, duplicate keys and several documents are errors.
 *
 * @return the root, or NULL with @p error set to file, line and reason
 */
yaml_value_t *yaml_tree_load(const char *path, GError **error);

/** Parses text as yaml_tree_load() does; @p file is the name in messages. */
yaml_value_t *yaml_tree_parse(const char *file, const char *text,
			      size_t size_bytes, GError **error);

/** @return the value of a map's key, or NULL. */
yaml_value_t *yaml_value_get(const yaml_value_t *map, const char *key);

/** @return the map in @p list whose key `name` has this value, or NULL. */
yaml_value_t *yaml_value_named(const yaml_value_t *list, const char *name);

/**
 * Resolves a path such as `services[0].slots`.
 *
 * @param shown if not NULL, receives the path with the index of each named
 *        element replaced by its name; free with g_free()
 * @return the value, or the innermost existing value on the path
 */
const yaml_value_t *yaml_value_nearest(const yaml_value_t *root,
				       const char *path, char **shown);

/** @return a deep copy. */
yaml_value_t *yaml_value_copy(const yaml_value_t *value);

/** Frees a value and its descendants; NULL is allowed. */
void yaml_value_delete(yaml_value_t *value);

G_DEFINE_AUTOPTR_CLEANUP_FUNC(yaml_value_t, yaml_value_delete)

#endif
