#ifndef BASE_YAML_TREE_H
#define BASE_YAML_TREE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

/** Bounds of a YAML file. */
#define YAML_TREE_SIZE_BYTES_MAX (4u * 1024 * 1024)
#define YAML_TREE_DEPTH_MAX 32

#define YAML_TREE_ERROR yaml_tree_error_quark()

/** Kinds of error of whatever reads YAML files. */
typedef enum {
	YAML_TREE_ERROR_READ,	/**< the file cannot be read or is too long */
	YAML_TREE_ERROR_SYNTAX, /**< it is not YAML as we take it */
	YAML_TREE_ERROR_VALUE,	/**< a value is not what was expected */
} yaml_tree_error_t;

typedef enum {
	YAML_VALUE_SCALAR,
	YAML_VALUE_LIST,
	YAML_VALUE_MAP,
} yaml_value_kind_t;

/** One value of a YAML file with the place that it stands at. */
typedef struct yaml_value {
	yaml_value_kind_t kind;
	const char *file;    /**< interned */
	uint32_t line;	     /**< from 1; of the key for a value in a map */
	uint32_t start_line; /**< line on which the value itself begins */
	char *scalar;	     /**< text, for a scalar */
	bool quoted;	     /**< a scalar that can only be a string */
	GPtrArray *keys;     /**< char *, for a map; as long as items */
	GPtrArray *items;    /**< yaml_value_t *, for a list or map */
} yaml_value_t;

GQuark yaml_tree_error_quark(void);

/** @return the text of a file within the bounds, or NULL; free with g_free() */
char *yaml_tree_read(const char *path, size_t *size_bytes, GError **error);

/**
 * Reads a file. Aliases, duplicate keys and several documents are refused.
 *
 * @return the root, or NULL with @p error set to file, line and reason
 */
yaml_value_t *yaml_tree_load(const char *path, GError **error);

/** Parses text as yaml_tree_load() does; @p file is used in messages. */
yaml_value_t *yaml_tree_parse(const char *file, const char *text,
			      size_t size_bytes, GError **error);

/** @return the value of a map's key, or NULL. */
yaml_value_t *yaml_value_get(const yaml_value_t *map, const char *key);

/** @return the list's map whose `name` is @p name, or NULL. */
yaml_value_t *yaml_value_named(const yaml_value_t *list, const char *name);

/**
 * Follows a path such as `services[0].slots`.
 *
 * @param shown receives the path with the names of named elements in place
 *        of their indexes, to be freed with g_free(); or NULL
 * @return the value, or the last one on the way that exists
 */
const yaml_value_t *yaml_value_nearest(const yaml_value_t *root,
				       const char *path, char **shown);

/** @return a deep copy. */
yaml_value_t *yaml_value_copy(const yaml_value_t *node);

/** Frees a value and all below it; NULL is allowed. */
void yaml_value_delete(yaml_value_t *node);

G_DEFINE_AUTOPTR_CLEANUP_FUNC(yaml_value_t, yaml_value_delete)

#endif
