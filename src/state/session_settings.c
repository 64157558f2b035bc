#include "state/session_settings.h"

#include <string.h>

static const char *const consistency_names[] = {
	[CONSISTENCY_SESSION] = "session",
	[CONSISTENCY_STRONG] = "strong",
	[CONSISTENCY_AGE] = "age",
};

/* A setting of the backend server and the values that are accepted for it. */
typedef struct {
	const char *name;
	const char *values[5]; /* empty if every value is accepted */
} server_setting_t;

static const server_setting_t server_settings[] = {
	{"application_name", {NULL}},
	{"client_encoding", {"utf8", "utf-8", "unicode"}},
	{"client_min_messages", {"notice"}},
	{"bytea_output", {"hex"}},
	{"datestyle", {"iso", "iso, mdy"}},
	{"default_transaction_read_only", {"off", "false", "0"}},
	{"extra_float_digits", {"1", "2", "3"}},
	{"intervalstyle", {"postgres"}},
	{"standard_conforming_strings", {"on", "true", "1"}},
	{"statement_timeout", {"0"}},
	{"timezone", {"utc", "etc/utc", "gmt"}},
};

/* clang-format off */
G_DEFINE_QUARK(session-settings-error-quark, session_settings_error)
/* clang-format on */

session_settings_t *session_settings_new(void)
{
	session_settings_t *settings = g_new0(session_settings_t, 1);

	settings->token = session_token_create();
	return settings;
}

void session_settings_delete(session_settings_t *settings)
{
	if (!settings)
		return;
	session_token_destroy(settings->token);
	g_free(settings->request_key);
	g_free(settings);
}

static bool check_server_setting(const char *name, const char *value,
				 GError **error)
{
	size_t i;
	size_t j;

	for (i = 0; i < G_N_ELEMENTS(server_settings); i++) {
		const server_setting_t *setting = &server_settings[i];

		if (strcmp(setting->name, name) != 0)
			continue;
		if (!setting->values[0])
			return true;
		for (j = 0; value && setting->values[j]; j++)
			if (!g_ascii_strcasecmp(setting->values[j], value))
				return true;
	}
	g_set_error(error, SESSION_SETTINGS_ERROR, SESSION_SETTINGS_FIXED,
		    "session setting \"%s\" cannot be changed on shared "
		    "server connections",
		    name);
	return false;
}

static bool set_value_error(GError **error, const char *name,
			    const char *expected)
{
	g_set_error(error, SESSION_SETTINGS_ERROR, SESSION_SETTINGS_VALUE,
		    "%s must be %s", name, expected);
	return false;
}

static bool set_milliseconds(uint32_t *field, const char *name,
			     const char *value, GError **error)
{
	guint64 number = 0;

	if (!g_ascii_string_to_unsigned(value, 10, 0,
					SESSION_SETTINGS_TIMEOUT_MS_MAX,
					&number, NULL))
		return set_value_error(error, name,
				       "0 to 3600000 milliseconds");
	*field = (uint32_t)number;
	return true;
}

static bool set_consistency(session_settings_t *settings, const char *value,
			    GError **error)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(consistency_names); i++) {
		if (g_ascii_strcasecmp(consistency_names[i], value) != 0)
			continue;
		settings->consistency = (consistency_t)i;
		return true;
	}
	return set_value_error(error, "toucanhook.consistency",
			       "session, strong or age");
}

static bool set_key(session_settings_t *settings, const char *value,
		    GError **error)
{
	if (strlen(value) > SESSION_SETTINGS_KEY_SIZE_BYTES_MAX ||
	    !g_utf8_validate(value, -1, NULL))
		return set_value_error(error, "toucanhook.request_key",
				       "at most 200 bytes of UTF-8");
	g_free(settings->request_key);
	settings->request_key = *value ? g_strdup(value) : NULL;
	return true;
}

static bool set_unknown_error(GError **error, const char *name)
{
	g_set_error(error, SESSION_SETTINGS_ERROR, SESSION_SETTINGS_UNKNOWN,
		    "unknown setting \"%s\"", name);
	return false;
}

bool session_settings_set(session_settings_t *settings, const char *name,
			  const char *value, GError **error)
{
	const char *suffix = NULL;

	if (!g_str_has_prefix(name, SESSION_SETTINGS_PREFIX))
		return check_server_setting(name, value, error);
	suffix = name + strlen(SESSION_SETTINGS_PREFIX);
	if (!value)
		return set_value_error(error, name, "a constant");
	if (!strcmp(suffix, "token"))
		return session_token_merge(settings->token, value, error);
	if (!strcmp(suffix, "consistency"))
		return set_consistency(settings, value, error);
	if (!strcmp(suffix, "max_age_ms"))
		return set_milliseconds(&settings->max_age_ms, name, value,
					error);
	if (!strcmp(suffix, "timeout_ms"))
		return set_milliseconds(&settings->timeout_ms, name, value,
					error);
	if (!strcmp(suffix, "request_key"))
		return set_key(settings, value, error);
	return set_unknown_error(error, name);
}

static void reset_all(session_settings_t *settings)
{
	settings->consistency = CONSISTENCY_SESSION;
	settings->max_age_ms = 0;
	settings->timeout_ms = 0;
	g_clear_pointer(&settings->request_key, g_free);
}

bool session_settings_reset(session_settings_t *settings, const char *name,
			    GError **error)
{
	const char *suffix = NULL;

	if (!name) {
		reset_all(settings);
		return true;
	}
	/* Settings of the backend server are never changed. */
	if (!g_str_has_prefix(name, SESSION_SETTINGS_PREFIX))
		return true;
	suffix = name + strlen(SESSION_SETTINGS_PREFIX);
	if (!strcmp(suffix, "token"))
		session_token_clear(settings->token);
	else if (!strcmp(suffix, "consistency"))
		settings->consistency = CONSISTENCY_SESSION;
	else if (!strcmp(suffix, "max_age_ms"))
		settings->max_age_ms = 0;
	else if (!strcmp(suffix, "timeout_ms"))
		settings->timeout_ms = 0;
	else if (!strcmp(suffix, "request_key"))
		g_clear_pointer(&settings->request_key, g_free);
	else
		return set_unknown_error(error, name);
	return true;
}

char *session_settings_show(const session_settings_t *settings,
			    const char *name, GError **error)
{
	const char *suffix = name + strlen(SESSION_SETTINGS_PREFIX);

	if (!strcmp(suffix, "token"))
		return session_token_format(settings->token);
	if (!strcmp(suffix, "consistency"))
		return g_strdup(consistency_names[settings->consistency]);
	if (!strcmp(suffix, "max_age_ms"))
		return g_strdup_printf("%u", settings->max_age_ms);
	if (!strcmp(suffix, "timeout_ms"))
		return g_strdup_printf("%u", settings->timeout_ms);
	if (!strcmp(suffix, "request_key"))
		return g_strdup(settings->request_key ? settings->request_key :
							"");
	set_unknown_error(error, name);
	return NULL;
}

/* Splits at whitespace; a backslash escapes the next character. */
static GStrv split_options(const char *options)
{
	GPtrArray *words = g_ptr_array_new();
	GString *word = g_string_new("");
	const char *c = NULL;

	for (c = options; *c; c++) {
		if (*c == '\\' && c[1]) {
			g_string_append_c(word, *++c);
		} else if (!g_ascii_isspace(*c)) {
			g_string_append_c(word, *c);
		} else if (word->len) {
			g_ptr_array_add(words, g_string_free(word, FALSE));
			word = g_string_new("");
		}
	}
	if (word->len)
		g_ptr_array_add(words, g_string_free(word, FALSE));
	else
		g_string_free(word, TRUE);
	g_ptr_array_add(words, NULL);
	return (GStrv)g_ptr_array_free(words, FALSE);
}

static bool set_option(session_settings_t *settings, const char *assignment,
		       bool dashes, GError **error)
{
	const char *equals = strchr(assignment, '=');
	g_autofree char *name = NULL;

	if (!equals) {
		g_set_error(error, SESSION_SETTINGS_ERROR,
			    SESSION_SETTINGS_UNKNOWN,
			    "start-up option \"%s\" has no value", assignment);
		return false;
	}
	name = g_ascii_strdown(assignment, equals - assignment);
	if (dashes)
		g_strdelimit(name, "-", '_');
	return session_settings_set(settings, name, equals + 1, error);
}

bool session_settings_options(session_settings_t *settings, const char *options,
			      GError **error)
{
	g_auto(GStrv) words = split_options(options);
	size_t i;

	for (i = 0; words[i]; i++) {
		const char *word = words[i];
		bool applied = false;

		if (!strcmp(word, "-c") && words[i + 1])
			applied =
				set_option(settings, words[++i], false, error);
		else if (g_str_has_prefix(word, "--"))
			applied = set_option(settings, word + 2, true, error);
		else if (g_str_has_prefix(word, "-c"))
			applied = set_option(settings, word + 2, false, error);
		else
			set_unknown_error(error, word);
		if (!applied)
			return false;
	}
	return true;
}

const char *session_settings_sqlstate(const GError *error)
{
	if (g_error_matches(error, SESSION_SETTINGS_ERROR,
			    SESSION_SETTINGS_FIXED))
		return "0A000";
	if (g_error_matches(error, SESSION_SETTINGS_ERROR,
			    SESSION_SETTINGS_UNKNOWN))
		return "42704";
	return "22023";
}
