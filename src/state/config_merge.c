#include "state/config_merge.h"

#include <string.h>

typedef struct {
	const char *base_file; /* its values may be replaced by overlays */
	GPtrArray *problems;   /* char *, one for each problem */
} merger_t;

static void report(const merger_t *merger, const yaml_value_t *value,
		   const char *path, const char *format, ...)
	G_GNUC_PRINTF(4, 5);

static void report(const merger_t *merger, const yaml_value_t *value,
		   const char *path, const char *format, ...)
{
	g_autofree char *text = NULL;
	va_list arguments;

	va_start(arguments, format);
	text = g_strdup_vprintf(format, arguments);
	va_end(arguments);
	g_ptr_array_add(merger->problems,
			g_strdup_printf("%s:%u: %s: %s", value->file,
					value->line, path, text));
}

static void merge_value(const merger_t *merger, yaml_value_t *base,
			const yaml_value_t *overlay, const char *path);

static const char *kind_name(yaml_value_kind_t kind)
{
	if (kind == YAML_VALUE_MAP)
		return "a map";
	return kind == YAML_VALUE_LIST ? "a list" : "a scalar";
}

static void merge_scalar(const merger_t *merger, yaml_value_t *base,
			 const yaml_value_t *overlay, const char *path)
{
	const bool set_by_overlay = base->file != merger->base_file;

	if (!strcmp(path, "site") && set_by_overlay) {
		char *joined =
			g_strconcat(base->scalar, ",", overlay->scalar, NULL);

		g_free(base->scalar);
		base->scalar = joined;
		return;
	}
	if (set_by_overlay && strcmp(base->scalar, overlay->scalar)) {
		report(merger, overlay, path,
		       "conflicts with the value at %s:%u", base->file,
		       base->line);
		return;
	}
	g_free(base->scalar);
	base->scalar = g_strdup(overlay->scalar);
	base->quoted = overlay->quoted;
	base->file = overlay->file;
	base->line = overlay->line;
}

static void merge_map(const merger_t *merger, yaml_value_t *base,
		      const yaml_value_t *overlay, const char *path)
{
	for (guint i = 0; i < overlay->keys->len; i++) {
		const char *key = overlay->keys->pdata[i];
		const yaml_value_t *value = overlay->items->pdata[i];
		yaml_value_t *found = yaml_value_get(base, key);
		g_autofree char *below =
			g_strconcat(path, *path ? "." : "", key, NULL);

		if (found) {
			merge_value(merger, found, value, below);
			continue;
		}
		g_ptr_array_add(base->keys, g_strdup(key));
		g_ptr_array_add(base->items, yaml_value_copy(value));
	}
}

static bool is_removal(const merger_t *merger, const yaml_value_t *element,
		       const char *path)
{
	const yaml_value_t *remove = yaml_value_get(element, "remove");

	if (!remove)
		return false;
	if (g_strcmp0(remove->scalar, "true") || element->keys->len != 2)
		report(merger, remove, path,
		       "expected only name and remove: true");
	return true;
}

static const char *element_name(const yaml_value_t *element)
{
	const yaml_value_t *name = yaml_value_get(element, "name");

	return name ? name->scalar : NULL;
}

static void merge_element(const merger_t *merger, yaml_value_t *base,
			  const yaml_value_t *element, const char *path)
{
	const char *name = element_name(element);
	g_autofree char *below = NULL;
	yaml_value_t *found;

	if (!name) {
		report(merger, element, path,
		       "expected a name that identifies the element");
		return;
	}
	below = g_strdup_printf("%s[%s]", path, name);
	found = yaml_value_named(base, name);
	if (!found) {
		report(merger, element, below,
		       "expected a name that exists in the base file");
		return;
	}
	if (is_removal(merger, element, below))
		g_ptr_array_remove(base->items, found);
	else
		merge_map(merger, found, element, below);
}

static void merge_list(const merger_t *merger, yaml_value_t *base,
		       const yaml_value_t *overlay, const char *path)
{
	for (guint i = 0; i < overlay->items->len; i++) {
		const yaml_value_t *element = overlay->items->pdata[i];
		const char *name = element_name(element);

		if (name && yaml_value_named(overlay, name) != element) {
			g_autofree char *below =
				g_strdup_printf("%s[%s]", path, name);

			report(merger, element, below,
			       "duplicate name in the overlay");
			continue;
		}
		merge_element(merger, base, element, path);
	}
}

static void merge_value(const merger_t *merger, yaml_value_t *base,
			const yaml_value_t *overlay, const char *path)
{
	if (base->kind != overlay->kind)
		report(merger, overlay, path, "expected %s",
		       kind_name(base->kind));
	else if (base->kind == YAML_VALUE_MAP)
		merge_map(merger, base, overlay, path);
	else if (base->kind == YAML_VALUE_LIST)
		merge_list(merger, base, overlay, path);
	else
		merge_scalar(merger, base, overlay, path);
}

void config_merge(yaml_value_t *base, const yaml_value_t *overlay,
		  GPtrArray *problems)
{
	const merger_t merger = {base->file, problems};

	merge_value(&merger, base, overlay, "");
}
