#include "state/config_diff.h"

#include <string.h>

#include <glib.h>
#include <jansson.h>

#include "state/config_codec.h"

/* Not compared: each accepted change sets new values. */
static const char *const ignored_names[] = {"revision", "change_id", "changes",
					    NULL};

static void flatten(const json_t *json, const char *path, GHashTable *values);

static void flatten_map(const json_t *map, const char *path, GHashTable *values)
{
	const char *key;
	json_t *value;

	json_object_foreach((json_t *)map, key, value)
	{
		g_autofree char *below =
			g_strconcat(path, *path ? "." : "", key, NULL);

		if (*path || !g_strv_contains(ignored_names, key))
			flatten(value, below, values);
	}
}

static void flatten_list(const json_t *list, const char *path,
			 GHashTable *values)
{
	for (size_t i = 0; i < json_array_size(list); i++) {
		const json_t *element = json_array_get(list, i);
		const char *name =
			json_string_value(json_object_get(element, "name"));
		g_autofree char *below =
			name ? g_strdup_printf("%s[%s]", path, name) :
			       g_strdup_printf("%s[%zu]", path, i);

		flatten(element, below, values);
	}
}

static char *scalar_text(const json_t *json, const char *path)
{
	if (g_str_has_suffix(path, ".verifier")) {
		g_autofree char *sum = g_compute_checksum_for_string(
			G_CHECKSUM_SHA256, json_string_value(json), -1);

		return g_strdup_printf("(hidden, %.8s)", sum);
	}
	if (json_is_string(json))
		return g_strdup(json_string_value(json));
	if (json_is_boolean(json))
		return g_strdup(json_is_true(json) ? "true" : "false");
	return g_strdup_printf("%" JSON_INTEGER_FORMAT,
			       json_integer_value(json));
}

static void flatten(const json_t *json, const char *path, GHashTable *values)
{
	if (json_is_object(json))
		flatten_map(json, path, values);
	else if (json_is_array(json))
		flatten_list(json, path, values);
	else
		g_hash_table_insert(values, g_strdup(path),
				    scalar_text(json, path));
}

static GHashTable *values_of(const config_t *config)
{
	GHashTable *values =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g_autofree char *text = NULL;
	json_t *json;

	if (!config)
		return values;
	text = config_codec_encode(config);
	json = json_loads(text, 0, NULL);
	flatten(json, "", values);
	json_decref(json);
	return values;
}

static GList *sorted_paths(GHashTable *before, GHashTable *after)
{
	GList *paths = g_hash_table_get_keys(after);
	GHashTableIter iter;
	gpointer path;

	g_hash_table_iter_init(&iter, before);
	while (g_hash_table_iter_next(&iter, &path, NULL))
		if (!g_hash_table_contains(after, path))
			paths = g_list_prepend(paths, path);
	return g_list_sort(paths, (GCompareFunc)strcmp);
}

uint32_t config_diff(const config_t *before, const config_t *after,
		     config_diff_visit_t visit, void *context)
{
	g_autoptr(GHashTable) old_values = values_of(before);
	g_autoptr(GHashTable) new_values = values_of(after);
	GList *paths = sorted_paths(old_values, new_values);
	uint32_t count = 0;

	for (const GList *p = paths; p; p = p->next) {
		const char *old = g_hash_table_lookup(old_values, p->data);
		const char *new = g_hash_table_lookup(new_values, p->data);

		if (!g_strcmp0(old, new))
			continue;
		count++;
		if (visit)
			visit(context, p->data, old, new);
	}
	g_list_free(paths);
	return count;
}
