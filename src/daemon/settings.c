#include "daemon/settings.h"

#include <arpa/inet.h>
#include <stdarg.h>
#include <stdbool.h>
#include <string.h>

#include <cyaml/cyaml.h>
#include <zmq.h>

#include "base/yaml_tree.h"

#define NAME_LENGTH_MAX 63
#define DOMAIN_LENGTH_MAX 31
#define CURVE_KEY_LENGTH 40
#define CURVE_KEY_EXPECTED "a CURVE key of 40 characters (Z85)"
#define SEEDS_MAX 64
#define ROUTES_MAX 1024

#define OPERATORS_ADDRESS "127.0.0.1"
#define OPERATORS_PORT 9470
#define LOG_LEVEL "info"

#define STRING(name, flags)                                         \
	CYAML_FIELD_STRING_PTR(#name, (flags), settings_t, name, 0, \
			       CYAML_UNLIMITED)
#define ENDPOINT(name, flags) \
	CYAML_FIELD_MAPPING(#name, (flags), settings_t, name, endpoint_fields)

static const cyaml_schema_field_t endpoint_fields[] = {
	CYAML_FIELD_STRING_PTR("address", CYAML_FLAG_DEFAULT, endpoint_t,
			       address, 0, CYAML_UNLIMITED),
	CYAML_FIELD_UINT("port", CYAML_FLAG_DEFAULT, endpoint_t, port),
	CYAML_FIELD_END,
};

static const cyaml_schema_value_t endpoint_value = {
	CYAML_VALUE_MAPPING(CYAML_FLAG_DEFAULT, endpoint_t, endpoint_fields),
};

static const cyaml_schema_field_t route_fields[] = {
	CYAML_FIELD_MAPPING("endpoint", CYAML_FLAG_DEFAULT, settings_route_t,
			    endpoint, endpoint_fields),
	CYAML_FIELD_MAPPING("via", CYAML_FLAG_DEFAULT, settings_route_t, via,
			    endpoint_fields),
	CYAML_FIELD_END,
};

static const cyaml_schema_value_t route_value = {
	CYAML_VALUE_MAPPING(CYAML_FLAG_DEFAULT, settings_route_t, route_fields),
};

static const cyaml_schema_field_t settings_fields[] = {
	STRING(node, CYAML_FLAG_DEFAULT),
	STRING(region, CYAML_FLAG_DEFAULT),
	STRING(failure_domain, CYAML_FLAG_DEFAULT),
	ENDPOINT(callers, CYAML_FLAG_DEFAULT),
	ENDPOINT(peers, CYAML_FLAG_DEFAULT),
	ENDPOINT(operators, CYAML_FLAG_OPTIONAL),
	ENDPOINT(platform, CYAML_FLAG_DEFAULT),
	STRING(fleet_public_key, CYAML_FLAG_DEFAULT),
	STRING(fleet_secret_key, CYAML_FLAG_DEFAULT),
	STRING(tls_certificate, CYAML_FLAG_OPTIONAL),
	STRING(tls_key, CYAML_FLAG_OPTIONAL),
	STRING(log_level, CYAML_FLAG_OPTIONAL),
	CYAML_FIELD_SEQUENCE("seeds", CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL,
			     settings_t, seeds, &endpoint_value, 0, SEEDS_MAX),
	CYAML_FIELD_SEQUENCE("routes", CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL,
			     settings_t, routes, &route_value, 0, ROUTES_MAX),
	CYAML_FIELD_END,
};

static const cyaml_schema_value_t settings_value = {
	CYAML_VALUE_MAPPING(CYAML_FLAG_POINTER, settings_t, settings_fields),
};

/* The error that libcyaml reports for an invalid file. */
typedef struct {
	char *reason;	/* first message of the error */
	char *location; /* innermost line of the error's backtrace */
} load_error_t;

static void load_error_log(cyaml_log_t level, void *context, const char *format,
			   va_list arguments)
{
	load_error_t *load_error = context;
	g_autofree char *text = g_strdup_vprintf(format, arguments);

	g_strstrip(text);
	if (strstr(text, "(line:")) {
		if (!load_error->location)
			load_error->location = g_steal_pointer(&text);
	} else if (!load_error->reason && !strstr(text, "Backtrace"))
		load_error->reason = g_steal_pointer(&text);
}

static cyaml_config_t reader_config(load_error_t *load_error)
{
	return (cyaml_config_t){
		.log_fn = load_error_log,
		.log_ctx = load_error,
		.mem_fn = cyaml_mem,
		.log_level = CYAML_LOG_ERROR,
		.flags = CYAML_CFG_NO_ALIAS,
	};
}

void settings_delete(settings_t *settings)
{
	const cyaml_config_t config = {
		.mem_fn = cyaml_mem,
		.log_level = CYAML_LOG_ERROR,
	};

	if (settings)
		cyaml_free(&config, &settings_value, settings, 0);
}

G_DEFINE_AUTOPTR_CLEANUP_FUNC(settings_t, settings_delete)

/* The parsed file, for error messages with line numbers. */
typedef struct {
	const char *path;
	const yaml_value_t *root;
	GError **error;
} checker_t;

static bool set_value_error(const checker_t *checker, const char *name,
			    const char *expected)
{
	const yaml_value_t *value =
		yaml_value_nearest(checker->root, name, NULL);

	g_set_error(checker->error, YAML_TREE_ERROR, YAML_TREE_ERROR_VALUE,
		    "%s:%u: %s: expected %s", checker->path, value->line, name,
		    expected);
	return false;
}

static bool is_name(const char *text, size_t length_max)
{
	const size_t length = strlen(text);

	return length && length <= length_max &&
	       strspn(text, "abcdefghijklmnopqrstuvwxyz0123456789-") == length;
}

static bool is_ip_address(const char *text)
{
	struct in6_addr address;

	return inet_pton(AF_INET, text, &address) == 1 ||
	       inet_pton(AF_INET6, text, &address) == 1;
}

static bool check_name(const checker_t *checker, const char *name,
		       const char *text, size_t length_max)
{
	g_autofree char *expected = g_strdup_printf(
		"a name of a-z, 0-9 and -, at most %zu characters", length_max);

	return is_name(text, length_max) ||
	       set_value_error(checker, name, expected);
}

static bool check_keys(const checker_t *checker, const settings_t *settings)
{
	char public_key[CURVE_KEY_LENGTH + 1];
	uint8_t decoded[CURVE_KEY_LENGTH / 5 * 4];

	if (strlen(settings->fleet_secret_key) != CURVE_KEY_LENGTH ||
	    !zmq_z85_decode(decoded, settings->fleet_secret_key) ||
	    zmq_curve_public(public_key, settings->fleet_secret_key))
		return set_value_error(checker, "fleet_secret_key",
				       CURVE_KEY_EXPECTED);
	if (strlen(settings->fleet_public_key) != CURVE_KEY_LENGTH ||
	    !zmq_z85_decode(decoded, settings->fleet_public_key))
		return set_value_error(checker, "fleet_public_key",
				       CURVE_KEY_EXPECTED);
	return !strcmp(public_key, settings->fleet_public_key) ||
	       set_value_error(checker, "fleet_public_key",
			       "the public key of fleet_secret_key");
}

static bool check_endpoint(const checker_t *checker, const char *name,
			   const endpoint_t *endpoint)
{
	g_autofree char *address = g_strdup_printf("%s.address", name);
	g_autofree char *port = g_strdup_printf("%s.port", name);

	if (!is_ip_address(endpoint->address))
		return set_value_error(checker, address,
				       "an IP number such as 10.0.0.1");
	return endpoint->port || set_value_error(checker, port, "1 to 65535");
}

static bool check_tls(const checker_t *checker, const settings_t *settings)
{
	if (settings->tls_certificate && !settings->tls_key)
		return set_value_error(checker, "tls_certificate",
				       "tls_key as well, or neither");
	if (settings->tls_key && !settings->tls_certificate)
		return set_value_error(checker, "tls_key",
				       "tls_certificate as well, or neither");
	return true;
}

static bool check_log_level(const checker_t *checker, const char *level)
{
	static const char *const levels[] = {"error", "warning", "notice",
					     "info",  "debug",	 NULL};

	return g_strv_contains(levels, level) ||
	       set_value_error(checker, "log_level",
			       "error, warning, notice, info or debug");
}

static bool check_seeds(const checker_t *checker, const settings_t *settings)
{
	for (uint32_t i = 0; i < settings->seeds_count; i++) {
		g_autofree char *name = g_strdup_printf("seeds[%u]", i);

		if (!check_endpoint(checker, name, &settings->seeds[i]))
			return false;
	}
	return true;
}

static bool check_routes(const checker_t *checker, const settings_t *settings)
{
	for (uint32_t i = 0; i < settings->routes_count; i++) {
		const settings_route_t *route = &settings->routes[i];
		g_autofree char *endpoint =
			g_strdup_printf("routes[%u].endpoint", i);
		g_autofree char *via = g_strdup_printf("routes[%u].via", i);

		if (!check_endpoint(checker, endpoint, &route->endpoint) ||
		    !check_endpoint(checker, via, &route->via))
			return false;
	}
	return true;
}

static bool check(const checker_t *checker, const settings_t *settings)
{
	return check_name(checker, "node", settings->node, NAME_LENGTH_MAX) &&
	       check_name(checker, "region", settings->region,
			  DOMAIN_LENGTH_MAX) &&
	       check_name(checker, "failure_domain", settings->failure_domain,
			  DOMAIN_LENGTH_MAX) &&
	       check_endpoint(checker, "callers", &settings->callers) &&
	       check_endpoint(checker, "peers", &settings->peers) &&
	       check_endpoint(checker, "operators", &settings->operators) &&
	       check_endpoint(checker, "platform", &settings->platform) &&
	       check_keys(checker, settings) && check_tls(checker, settings) &&
	       check_log_level(checker, settings->log_level) &&
	       check_seeds(checker, settings) &&
	       check_routes(checker, settings);
}

/* Uses strdup(), because libcyaml frees all strings with free(). */
static void set_defaults(settings_t *settings)
{
	if (!settings->operators.address) {
		settings->operators.address = strdup(OPERATORS_ADDRESS);
		settings->operators.port = OPERATORS_PORT;
	}
	if (!settings->log_level)
		settings->log_level = strdup(LOG_LEVEL);
}

/* Finds the line of a key in the map that starts on @p start_line. */
static unsigned key_line(const yaml_value_t *value, unsigned start_line,
			 const char *key)
{
	const yaml_value_t *found = yaml_value_get(value, key);
	unsigned line = 0;

	if (found && value->start_line == start_line)
		return found->line;
	for (guint i = 0; value->items && i < value->items->len && !line; i++)
		line = key_line(value->items->pdata[i], start_line, key);
	return line;
}

static unsigned load_error_line(const load_error_t *load_error,
				const char *reason, const yaml_value_t *root)
{
	static const char unexpected[] = "Unexpected key: ";
	const char *location = load_error->location ?
				       strstr(load_error->location, "(line: ") :
				       NULL;
	unsigned line = 1;
	unsigned found = 0;

	if (location)
		line = (unsigned)strtoul(location + strlen("(line: "), NULL,
					 10);
	if (g_str_has_prefix(reason, unexpected))
		found = key_line(root, line, reason + strlen(unexpected));
	return found ? found : line;
}

static void set_load_error(const char *path, const yaml_value_t *root,
			   cyaml_err_t result, const load_error_t *load_error,
			   GError **error)
{
	static const char prefix[] = "Load: ";
	const char *reason = load_error->reason;

	if (!reason)
		reason = cyaml_strerror(result);
	if (g_str_has_prefix(reason, prefix))
		reason += strlen(prefix);
	g_set_error(error, YAML_TREE_ERROR, YAML_TREE_ERROR_VALUE,
		    "%s:%u: %s%s%s", path,
		    load_error_line(load_error, reason, root), reason,
		    load_error->location ? ": " : "",
		    load_error->location ? load_error->location : "");
}

static settings_t *parse(const char *path, const char *text, size_t size_bytes,
			 const yaml_value_t *root, GError **error)
{
	load_error_t load_error = {NULL, NULL};
	const cyaml_config_t config = reader_config(&load_error);
	settings_t *settings = NULL;
	const cyaml_err_t result =
		cyaml_load_data((const uint8_t *)text, size_bytes, &config,
				&settings_value, (void **)&settings, NULL);

	if (result == CYAML_OK)
		set_defaults(settings);
	else
		set_load_error(path, root, result, &load_error, error);
	g_free(load_error.location);
	g_free(load_error.reason);
	return settings;
}

settings_t *settings_load(const char *path, GError **error)
{
	g_autofree char *text = NULL;
	g_autoptr(yaml_value_t) root = NULL;
	g_autoptr(settings_t) settings = NULL;
	checker_t checker = {.path = path, .error = error};
	gsize size_bytes;

	text = yaml_tree_read(path, &size_bytes, error);
	if (!text)
		return NULL;
	root = yaml_tree_parse(path, text, size_bytes, error);
	if (!root)
		return NULL;
	settings = parse(path, text, size_bytes, root, error);
	checker.root = root;
	if (!settings || !check(&checker, settings))
		return NULL;
	return g_steal_pointer(&settings);
}

endpoint_t settings_route(const settings_t *settings, const char *address,
			  uint16_t port)
{
	for (uint32_t i = 0; i < settings->routes_count; i++) {
		const settings_route_t *route = &settings->routes[i];

		if (route->endpoint.port == port &&
		    !strcmp(route->endpoint.address, address))
			return route->via;
	}
	return (endpoint_t){.address = (char *)address, .port = port};
}
