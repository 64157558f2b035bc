#include "state/session_token.h"

#include <string.h>

struct session_token {
	GTree *points; /* database -> log_point_t */
};

/* clang-format off */
G_DEFINE_QUARK(session-token-error-quark, session_token_error)
/* clang-format on */

static int compare_names(gconstpointer a, gconstpointer b, gpointer unused)
{
	return strcmp(a, b);
}

session_token_t *session_token_create(void)
{
	session_token_t *token = g_new0(session_token_t, 1);

	token->points = g_tree_new_full(compare_names, NULL, g_free, g_free);
	return token;
}

void session_token_destroy(session_token_t *token)
{
	if (!token)
		return;
	g_tree_unref(token->points);
	g_free(token);
}

log_point_t session_token_point(const session_token_t *token,
				const char *database)
{
	const log_point_t none = {0};
	const log_point_t *point = g_tree_lookup(token->points, database);

	return point ? *point : none;
}

bool session_token_raise(session_token_t *token, const char *database,
			 log_point_t point)
{
	log_point_t *known = g_tree_lookup(token->points, database);

	if (!known) {
		known = g_new0(log_point_t, 1);
		g_tree_insert(token->points, g_strdup(database), known);
	}
	if (log_point_covers(*known, point))
		return false;
	*known = point;
	return true;
}

/* Removes ":NUMBER" from the end of @p text and parses the number. */
static bool parse_suffix(char *text, uint64_t *number)
{
	char *colon = strrchr(text, ':');
	guint64 value = 0;

	if (!colon || !g_ascii_string_to_unsigned(colon + 1, 10, 0, G_MAXUINT64,
						  &value, NULL))
		return false;
	*number = value;
	*colon = 0;
	return true;
}

static bool parse_entry(session_token_t *token, char *entry)
{
	log_point_t point = {0};

	g_strstrip(entry);
	if (!parse_suffix(entry, &point.position) ||
	    !parse_suffix(entry, &point.term) || !*entry)
		return false;
	session_token_raise(token, entry, point);
	return true;
}

static gboolean raise_point(gpointer database, gpointer point, gpointer token)
{
	session_token_raise(token, database, *(const log_point_t *)point);
	return FALSE;
}

/* One entry is reserved for the session's own database. */
static bool fits(const session_token_t *token)
{
	return g_tree_nnodes(token->points) < SESSION_TOKEN_DATABASES_MAX;
}

/* Parses a text into an empty token. */
static bool parse_text(session_token_t *token, const char *text, GError **error)
{
	g_auto(GStrv) entries = g_strsplit(text, ",", -1);
	size_t i;

	for (i = 0; entries[i]; i++) {
		if (parse_entry(token, entries[i]))
			continue;
		g_set_error(
			error, SESSION_TOKEN_ERROR, SESSION_TOKEN_MALFORMED,
			"expected a token of the form DATABASE:TERM:POSITION");
		return false;
	}
	return true;
}

static bool set_too_large_error(GError **error)
{
	g_set_error(error, SESSION_TOKEN_ERROR, SESSION_TOKEN_TOO_LARGE,
		    "expected a token of at most %d bytes and fewer than %d "
		    "databases",
		    SESSION_TOKEN_SIZE_BYTES_MAX, SESSION_TOKEN_DATABASES_MAX);
	return false;
}

bool session_token_merge(session_token_t *token, const char *text,
			 GError **error)
{
	session_token_t *merged = NULL;
	bool valid = false;

	if (strlen(text) > SESSION_TOKEN_SIZE_BYTES_MAX)
		return set_too_large_error(error);
	merged = session_token_create();
	valid = parse_text(merged, text, error);
	if (valid) {
		g_tree_foreach(token->points, raise_point, merged);
		valid = fits(merged) || set_too_large_error(error);
	}
	if (valid)
		g_tree_foreach(merged->points, raise_point, token);
	session_token_destroy(merged);
	return valid;
}

void session_token_clear(session_token_t *token)
{
	g_tree_remove_all(token->points);
}

static gboolean format_point(gpointer database, gpointer data, gpointer text)
{
	const log_point_t *point = data;
	GString *out = text;

	if (!point->term && !point->position)
		return FALSE;
	g_string_append_printf(out,
			       "%s%s:%" G_GUINT64_FORMAT ":%" G_GUINT64_FORMAT,
			       out->len ? "," : "", (const char *)database,
			       point->term, point->position);
	return FALSE;
}

char *session_token_format(const session_token_t *token)
{
	GString *text = g_string_new("");

	g_tree_foreach(token->points, format_point, text);
	return g_string_free(text, FALSE);
}
