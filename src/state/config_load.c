#include "state/config_load.h"

#include <string.h>

#include <jansson.h>

#include "base/yaml_tree.h"
#include "state/config_check.h"
#include "state/config_codec.h"
#include "state/config_merge.h"

static json_t *scalar_to_json(const yaml_value_t *value)
{
	gint64 number;

	if (value->quoted)
		return json_string(value->scalar);
	if (!strcmp(value->scalar, "true") || !strcmp(value->scalar, "false"))
		return json_boolean(*value->scalar == 't');
	if (g_ascii_string_to_signed(value->scalar, 10, G_MININT64, G_MAXINT64,
				     &number, NULL))
		return json_integer(number);
	return json_string(value->scalar);
}

static json_t *value_to_json(const yaml_value_t *value)
{
	json_t *json;

	if (value->kind == YAML_VALUE_SCALAR)
		return scalar_to_json(value);
	json = value->kind == YAML_VALUE_MAP ? json_object() : json_array();
	for (guint i = 0; i < value->items->len; i++) {
		json_t *item = value_to_json(value->items->pdata[i]);

		if (value->kind == YAML_VALUE_MAP)
			json_object_set_new(json, value->keys->pdata[i], item);
		else
			json_array_append_new(json, item);
	}
	return json;
}

typedef struct {
	const yaml_value_t *root;
	GPtrArray *lines; /* char * */
} report_t;

static void report_problem(void *context, const char *path,
			   const char *expected)
{
	const report_t *report = context;
	g_autofree char *shown = NULL;
	const yaml_value_t *value =
		yaml_value_nearest(report->root, path, &shown);

	g_ptr_array_add(report->lines,
			g_strdup_printf("%s:%u: %s%s%s", value->file,
					value->line, shown, *shown ? ": " : "",
					expected));
}

static yaml_value_t *read_merged(const char *const *paths, uint32_t paths_count,
				 GPtrArray *lines, GError **error)
{
	g_autoptr(yaml_value_t) root = yaml_tree_load(paths[0], error);

	for (uint32_t i = 1; root && i < paths_count; i++) {
		g_autoptr(yaml_value_t) overlay =
			yaml_tree_load(paths[i], error);

		if (!overlay)
			return NULL;
		config_merge(root, overlay, lines);
	}
	return g_steal_pointer(&root);
}

static config_t *build(const yaml_value_t *root, GPtrArray *lines)
{
	g_autoptr(config_problems_t) problems = config_problems_create();
	json_t *json = value_to_json(root);
	config_t *config = config_codec_from_files(json, problems);
	report_t report = {root, lines};

	json_decref(json);
	config_check(config, problems);
	config_problems_each(problems, report_problem, &report);
	return config;
}

config_t *config_load(const char *const *paths, uint32_t paths_count,
		      GError **error)
{
	g_autoptr(GPtrArray) lines = g_ptr_array_new_with_free_func(g_free);
	g_autoptr(yaml_value_t) root =
		read_merged(paths, paths_count, lines, error);
	g_autofree char *message = NULL;
	config_t *config;

	if (!root)
		return NULL;
	config = build(root, lines);
	if (!lines->len)
		return config;
	config_delete(config);
	g_ptr_array_add(lines, NULL);
	message = g_strjoinv("\n", (char **)lines->pdata);
	g_set_error_literal(error, YAML_TREE_ERROR, YAML_TREE_ERROR_VALUE,
			    message);
	return NULL;
}
