#include "base/yaml_tree.h"

#include <errno.h>
#include <string.h>
#include <sys/stat.h>

#include <yaml.h>

#include "base/text.h"

typedef struct {
	yaml_parser_t *parser;
	const char *file;
	GError **error;
} reader_t;

G_DEFINE_QUARK(toucanhook - yaml, yaml_tree_error)

static yaml_value_t *value_new(yaml_value_kind_t kind, const char *file,
			       uint32_t line)
{
	yaml_value_t *value = g_new0(yaml_value_t, 1);

	value->kind = kind;
	value->file = file;
	value->line = line;
	value->start_line = line;
	if (kind != YAML_VALUE_SCALAR)
		value->items = g_ptr_array_new_with_free_func(
			(GDestroyNotify)yaml_value_delete);
	if (kind == YAML_VALUE_MAP)
		value->keys = g_ptr_array_new_with_free_func(g_free);
	return value;
}

void yaml_value_delete(yaml_value_t *value)
{
	if (!value)
		return;
	if (value->keys)
		g_ptr_array_unref(value->keys);
	if (value->items)
		g_ptr_array_unref(value->items);
	g_free(value->scalar);
	g_free(value);
}

yaml_value_t *yaml_value_copy(const yaml_value_t *value)
{
	yaml_value_t *copy = value_new(value->kind, value->file, value->line);

	copy->start_line = value->start_line;
	copy->scalar = g_strdup(value->scalar);
	copy->quoted = value->quoted;
	for (guint i = 0; value->items && i < value->items->len; i++)
		g_ptr_array_add(copy->items,
				yaml_value_copy(value->items->pdata[i]));
	for (guint i = 0; value->keys && i < value->keys->len; i++)
		g_ptr_array_add(copy->keys, g_strdup(value->keys->pdata[i]));
	return copy;
}

static void *fail(reader_t *reader, size_t line, const char *reason)
{
	g_set_error(reader->error, YAML_TREE_ERROR, YAML_TREE_ERROR_SYNTAX,
		    "%s:%zu: %s", reader->file, line + 1, reason);
	return NULL;
}

static bool next_event(reader_t *reader, yaml_event_t *event)
{
	if (yaml_parser_parse(reader->parser, event))
		return true;
	fail(reader, reader->parser->problem_mark.line,
	     reader->parser->problem ? reader->parser->problem :
				       "invalid YAML");
	return false;
}

/* @return the scalar's text, or NULL if it contains an escaped NUL */
static char *scalar_text(reader_t *reader, const yaml_event_t *event)
{
	char *text =
		text_new(event->data.scalar.value, event->data.scalar.length);

	if (!text)
		fail(reader, event->start_mark.line, "a text contains a NUL");
	return text;
}

static yaml_value_t *read_value(reader_t *reader, yaml_event_t *event,
				uint32_t depth);

static yaml_value_t *read_list(reader_t *reader, uint32_t line, uint32_t depth)
{
	g_autoptr(yaml_value_t) list =
		value_new(YAML_VALUE_LIST, reader->file, line);
	yaml_event_t event;

	while (next_event(reader, &event)) {
		yaml_value_t *item;

		if (event.type == YAML_SEQUENCE_END_EVENT) {
			yaml_event_delete(&event);
			return g_steal_pointer(&list);
		}
		item = read_value(reader, &event, depth + 1);
		if (!item)
			return NULL;
		g_ptr_array_add(list->items, item);
	}
	return NULL;
}

static char *read_key(reader_t *reader, yaml_event_t *event,
		      const yaml_value_t *map)
{
	const size_t line = event->start_mark.line;
	const bool is_scalar = event->type == YAML_SCALAR_EVENT;
	g_autofree char *key = is_scalar ? scalar_text(reader, event) : NULL;
	g_autofree char *reason = NULL;

	yaml_event_delete(event);
	if (!is_scalar)
		return fail(reader, line, "expected a key");
	if (!key)
		return NULL;
	if (!yaml_value_get(map, key))
		return g_steal_pointer(&key);
	reason = g_strdup_printf("%s: duplicate key", key);
	return fail(reader, line, reason);
}

static yaml_value_t *read_map(reader_t *reader, uint32_t line, uint32_t depth)
{
	g_autoptr(yaml_value_t) map =
		value_new(YAML_VALUE_MAP, reader->file, line);
	yaml_event_t event;

	while (next_event(reader, &event)) {
		const uint32_t key_line = (uint32_t)event.start_mark.line + 1;
		g_autofree char *key = NULL;
		yaml_value_t *item;

		if (event.type == YAML_MAPPING_END_EVENT) {
			yaml_event_delete(&event);
			return g_steal_pointer(&map);
		}
		key = read_key(reader, &event, map);
		if (!key || !next_event(reader, &event))
			return NULL;
		item = read_value(reader, &event, depth + 1);
		if (!item)
			return NULL;
		item->line = key_line;
		g_ptr_array_add(map->keys, g_steal_pointer(&key));
		g_ptr_array_add(map->items, item);
	}
	return NULL;
}

static yaml_value_t *read_scalar(reader_t *reader, const yaml_event_t *event)
{
	char *text = scalar_text(reader, event);
	yaml_value_t *value;

	if (!text)
		return NULL;
	value = value_new(YAML_VALUE_SCALAR, reader->file,
			  (uint32_t)event->start_mark.line + 1);
	value->scalar = text;
	value->quoted = event->data.scalar.style != YAML_PLAIN_SCALAR_STYLE;
	return value;
}

/* Reads the value that starts with @p event; frees the event. */
static yaml_value_t *read_value(reader_t *reader, yaml_event_t *event,
				uint32_t depth)
{
	const size_t line = event->start_mark.line;
	const yaml_event_type_t type = event->type;
	yaml_value_t *value;

	if (type == YAML_SCALAR_EVENT) {
		value = read_scalar(reader, event);
		yaml_event_delete(event);
		return value;
	}
	yaml_event_delete(event);
	if (depth > YAML_TREE_DEPTH_MAX)
		return fail(reader, line, "nested too deeply");
	if (type == YAML_SEQUENCE_START_EVENT)
		return read_list(reader, (uint32_t)line + 1, depth);
	if (type == YAML_MAPPING_START_EVENT)
		return read_map(reader, (uint32_t)line + 1, depth);
	if (type == YAML_ALIAS_EVENT)
		return fail(reader, line, "aliases are not supported");
	return fail(reader, line, "expected a value");
}

/* Reads the root value of the first document. */
static yaml_value_t *read_document(reader_t *reader)
{
	yaml_event_t event;

	while (next_event(reader, &event)) {
		if (event.type == YAML_STREAM_END_EVENT)
			return fail(reader, 0, "the file is empty");
		if (event.type != YAML_STREAM_START_EVENT &&
		    event.type != YAML_DOCUMENT_START_EVENT)
			return read_value(reader, &event, 0);
		yaml_event_delete(&event);
	}
	return NULL;
}

/* Checks that the stream ends after the first document. */
static void check_stream_end(reader_t *reader)
{
	yaml_event_t event;

	while (next_event(reader, &event)) {
		const yaml_event_type_t type = event.type;
		const size_t line = event.start_mark.line;

		yaml_event_delete(&event);
		if (type == YAML_STREAM_END_EVENT)
			return;
		if (type != YAML_DOCUMENT_END_EVENT) {
			fail(reader, line,
			     "a second document is not supported");
			return;
		}
	}
}

yaml_value_t *yaml_tree_parse(const char *file, const char *text,
			      size_t size_bytes, GError **error)
{
	yaml_parser_t parser;
	GError *parse_error = NULL;
	reader_t reader = {.parser = &parser,
			   .file = g_intern_string(file),
			   .error = &parse_error};
	yaml_value_t *root;

	if (!yaml_parser_initialize(&parser))
		g_error("cannot allocate a YAML parser");
	yaml_parser_set_input_string(&parser, (const unsigned char *)text,
				     size_bytes);
	root = read_document(&reader);
	if (root)
		check_stream_end(&reader);
	yaml_parser_delete(&parser);
	if (!parse_error)
		return root;
	yaml_value_delete(root);
	g_propagate_error(error, parse_error);
	return NULL;
}

char *yaml_tree_read(const char *path, size_t *size_bytes, GError **error)
{
	struct stat status;
	char *text;

	if (stat(path, &status)) {
		g_set_error(error, YAML_TREE_ERROR, YAML_TREE_ERROR_READ,
			    "%s: %s", path, g_strerror(errno));
		return NULL;
	}
	if (!S_ISREG(status.st_mode) ||
	    status.st_size > YAML_TREE_SIZE_BYTES_MAX) {
		g_set_error(error, YAML_TREE_ERROR, YAML_TREE_ERROR_READ,
			    "%s: expected a file of at most %u bytes", path,
			    YAML_TREE_SIZE_BYTES_MAX);
		return NULL;
	}
	if (!g_file_get_contents(path, &text, size_bytes, error))
		return NULL;
	return text;
}

yaml_value_t *yaml_tree_load(const char *path, GError **error)
{
	g_autofree char *text = NULL;
	size_t size_bytes;

	text = yaml_tree_read(path, &size_bytes, error);
	return text ? yaml_tree_parse(path, text, size_bytes, error) : NULL;
}

yaml_value_t *yaml_value_get(const yaml_value_t *map, const char *key)
{
	if (map->kind != YAML_VALUE_MAP)
		return NULL;
	for (guint i = 0; i < map->keys->len; i++)
		if (!strcmp(map->keys->pdata[i], key))
			return map->items->pdata[i];
	return NULL;
}

yaml_value_t *yaml_value_named(const yaml_value_t *list, const char *name)
{
	if (list->kind != YAML_VALUE_LIST)
		return NULL;
	for (guint i = 0; i < list->items->len; i++) {
		yaml_value_t *item = list->items->pdata[i];
		const yaml_value_t *found = yaml_value_get(item, "name");

		if (found && !g_strcmp0(found->scalar, name))
			return item;
	}
	return NULL;
}

/* @return the element of @p list with the decimal index @p key, or NULL */
static const yaml_value_t *list_element(const yaml_value_t *list,
					const char *key)
{
	guint64 index;

	if (list->kind != YAML_VALUE_LIST ||
	    !g_ascii_string_to_unsigned(key, 10, 0, G_MAXUINT32, &index, NULL))
		return NULL;
	return index < list->items->len ? list->items->pdata[index] : NULL;
}

/* Appends one step of a path, an element by its name if it has one. */
static void append_step(GString *shown, const yaml_value_t *value,
			const char *key, bool bracket)
{
	const yaml_value_t *name = value ? yaml_value_get(value, "name") : NULL;

	if (!bracket)
		g_string_append_printf(shown, "%s%s", shown->len ? "." : "",
				       key);
	else
		g_string_append_printf(shown, "[%s]",
				       name && name->scalar ? name->scalar :
							      key);
}

const yaml_value_t *yaml_value_nearest(const yaml_value_t *root,
				       const char *path, char **shown)
{
	GString *names = g_string_new(NULL);
	const yaml_value_t *nearest = root;
	const yaml_value_t *value = root;

	while (*path) {
		const bool bracket = *path == '[';
		const size_t skip = bracket || *path == '.';
		const size_t length =
			strcspn(path + skip, bracket ? "]" : ".[");
		g_autofree char *key = text_new(path + skip, length);

		if (value)
			value = bracket ? list_element(value, key) :
					  yaml_value_get(value, key);
		if (value)
			nearest = value;
		append_step(names, value, key, bracket);
		path += skip + length;
		if (bracket && *path)
			path++;
	}
	if (shown)
		*shown = g_string_free(names, FALSE);
	else
		g_string_free(names, TRUE);
	return nearest;
}
