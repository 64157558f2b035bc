#include "state/config_check.h"

#include <arpa/inet.h>
#include <string.h>

#include "base/text.h"

#define NAME_LENGTH_MAX 63
#define DOMAIN_LENGTH_MAX 31

/* Names that must be unique within one scope. */
typedef struct {
	config_problems_t *problems;
	GHashTable *seen;
	size_t length_max;
} names_t;

static names_t names_begin(config_problems_t *problems, size_t length_max)
{
	return (names_t){problems, g_hash_table_new(g_str_hash, g_str_equal),
			 length_max};
}

static bool is_name(const char *text, size_t length_max)
{
	const size_t length = strlen(text);

	return length && length <= length_max && g_ascii_isalnum(*text) &&
	       strspn(text, G_CSET_A_2_Z G_CSET_a_2_z "0123456789-_") == length;
}

static void names_add(names_t *names, const char *name, const char *format, ...)
	G_GNUC_PRINTF(3, 4);

static void names_add(names_t *names, const char *name, const char *format, ...)
{
	g_autofree char *path = NULL;
	va_list arguments;

	va_start(arguments, format);
	path = g_strdup_vprintf(format, arguments);
	va_end(arguments);
	if (!is_name(name, names->length_max))
		config_problems_add(names->problems, path,
				    "expected a name of letters, digits, - and "
				    "_, at most %zu characters",
				    names->length_max);
	else if (!g_hash_table_add(names->seen, (char *)name))
		config_problems_add(names->problems, path, "%s: duplicate name",
				    name);
}

static void names_end(names_t *names)
{
	g_hash_table_destroy(names->seen);
}

static void check_limits(const config_limits_t *limits,
			 config_problems_t *problems)
{
	if (limits->evidence_valid_ms >= limits->suspect_ms)
		config_problems_add(problems, "limits.evidence_valid_ms",
				    "expected less than suspect_ms, %u",
				    limits->suspect_ms);
	if (limits->evidence_valid_ms >= limits->confirm_timeout_ms)
		config_problems_add(problems, "limits.confirm_timeout_ms",
				    "expected more than evidence_valid_ms, %u",
				    limits->evidence_valid_ms);
	if (limits->poll_ms >= limits->suspect_ms)
		config_problems_add(problems, "limits.poll_ms",
				    "expected less than suspect_ms, %u",
				    limits->suspect_ms);
}

static void check_domains(const config_t *config, config_problems_t *problems)
{
	names_t names = names_begin(problems, DOMAIN_LENGTH_MAX);

	for (uint32_t i = 0; i < config->failure_domains_count; i++)
		names_add(&names, config->failure_domains[i].name,
			  "failure_domains[%u].name", i);
	names_end(&names);
}

static bool has_domain(const config_t *config, const char *name)
{
	for (uint32_t i = 0; i < config->failure_domains_count; i++)
		if (!strcmp(config->failure_domains[i].name, name))
			return true;
	return !config->failure_domains_count;
}

static void check_server(const config_t *config, const config_server_t *server,
			 const char *path, config_problems_t *problems)
{
	g_autofree char *address = g_strconcat(path, ".address", NULL);
	g_autofree char *domain = g_strconcat(path, ".failure_domain", NULL);
	struct in6_addr parsed;

	if (inet_pton(AF_INET, server->address, &parsed) != 1 &&
	    inet_pton(AF_INET6, server->address, &parsed) != 1)
		config_problems_add(problems, address,
				    "expected an IP number such as 10.0.0.1");
	if (!has_domain(config, server->failure_domain))
		config_problems_add(problems, domain,
				    "%s: expected one of failure_domains",
				    server->failure_domain);
}

static void check_endpoints(const config_database_t *database, const char *path,
			    config_problems_t *problems)
{
	for (uint32_t i = 1; i < database->servers_count; i++)
		for (uint32_t j = 0; j < i; j++) {
			const config_server_t *a = &database->servers[i];
			const config_server_t *b = &database->servers[j];
			g_autofree char *port =
				g_strdup_printf("%s.servers[%u].port", path, i);

			if (a->port == b->port && *a->address &&
			    !strcmp(a->address, b->address))
				config_problems_add(
					problems, port,
					"server %s already uses this address "
					"and port",
					b->name);
		}
}

static void check_leaving(const config_database_t *database, const char *path,
			  config_problems_t *problems)
{
	for (uint32_t i = 0; i < database->servers_count; i++)
		if (!database->servers[i].leaving)
			return;
	if (database->servers_count)
		config_problems_add(problems, path,
				    "expected at least one server without "
				    "leaving: true");
}

static void check_database(const config_t *config,
			   const config_service_t *service,
			   const config_database_t *database, const char *path,
			   config_problems_t *problems)
{
	names_t names = names_begin(problems, NAME_LENGTH_MAX);
	g_autofree char *servers = g_strconcat(path, ".servers", NULL);
	g_autofree char *primary = g_strconcat(path, ".first_primary", NULL);

	if (database->servers_count != service->slots)
		config_problems_add(problems, servers,
				    "expected as many servers as the service "
				    "has slots, %u",
				    service->slots);
	if (*database->first_primary &&
	    !config_find_server(database, database->first_primary))
		config_problems_add(problems, primary,
				    "%s: expected the name of a server of this "
				    "database",
				    database->first_primary);
	for (uint32_t i = 0; i < database->servers_count; i++) {
		const config_server_t *server = &database->servers[i];
		g_autofree char *below = g_strdup_printf("%s[%u]", servers, i);

		names_add(&names, server->name, "%s.name", below);
		check_server(config, server, below, problems);
	}
	check_endpoints(database, path, problems);
	check_leaving(database, servers, problems);
	names_end(&names);
}

static bool is_base64(const char *text, gsize size_bytes)
{
	size_t decoded_bytes = strlen(text);
	g_autofree uint8_t *decoded = text_decode_base64(text, &decoded_bytes);
	g_autofree char *again =
		decoded ? g_base64_encode(decoded, decoded_bytes) : NULL;

	return !g_strcmp0(again, text) &&
	       (size_bytes ? decoded_bytes == size_bytes : decoded_bytes > 0);
}

/* Format: SCRAM-SHA-256$iterations:salt$stored key:server key */
static bool is_verifier(const char *text)
{
	static const gsize key_size_bytes = 32;
	g_auto(GStrv) parts = g_strsplit(text, "$", 3);
	g_auto(GStrv) salted = NULL;
	g_auto(GStrv) keys = NULL;
	guint64 iterations;

	if (g_strv_length(parts) != 3 || strcmp(parts[0], "SCRAM-SHA-256"))
		return false;
	salted = g_strsplit(parts[1], ":", 2);
	keys = g_strsplit(parts[2], ":", 2);
	return g_strv_length(salted) == 2 && g_strv_length(keys) == 2 &&
	       g_ascii_string_to_unsigned(salted[0], 10, 1, 10000000,
					  &iterations, NULL) &&
	       is_base64(salted[1], 0) && is_base64(keys[0], key_size_bytes) &&
	       is_base64(keys[1], key_size_bytes);
}

static bool has_class(const config_service_t *service, const char *name)
{
	for (uint32_t i = 0; i < service->classes_count; i++)
		if (!strcmp(service->classes[i].name, name))
			return true;
	return false;
}

static void check_callers(const config_service_t *service, const char *path,
			  config_problems_t *problems)
{
	names_t names = names_begin(problems, NAME_LENGTH_MAX);

	for (uint32_t i = 0; i < service->callers_count; i++) {
		const config_caller_t *caller = &service->callers[i];
		g_autofree char *class_name =
			g_strdup_printf("%s.callers[%u].class_name", path, i);
		g_autofree char *verifier =
			g_strdup_printf("%s.callers[%u].verifier", path, i);

		names_add(&names, caller->name, "%s.callers[%u].name", path, i);
		if (!has_class(service, caller->class_name))
			config_problems_add(problems, class_name,
					    "%s: expected the name of a class "
					    "of this service",
					    caller->class_name);
		if (!is_verifier(caller->verifier))
			config_problems_add(
				problems, verifier,
				"expected SCRAM-SHA-256$ITERATIONS:SALT$"
				"STORED:SERVER, as toucanctl verifier prints");
	}
	names_end(&names);
}

static void check_classes(const config_service_t *service, const char *path,
			  config_problems_t *problems)
{
	names_t names = names_begin(problems, NAME_LENGTH_MAX);

	for (uint32_t i = 0; i < service->classes_count; i++)
		names_add(&names, service->classes[i].name,
			  "%s.classes[%u].name", path, i);
	names_end(&names);
}

static void check_numbers(const config_service_t *service, const char *path,
			  config_problems_t *problems)
{
	g_autofree char *confirm = g_strconcat(path, ".confirm_replicas", NULL);
	g_autofree char *owners = g_strconcat(path, ".owners", NULL);

	if (service->confirm_replicas >= service->slots)
		config_problems_add(problems, confirm,
				    "expected less than slots, %u: one slot is "
				    "the primary",
				    service->slots);
	else if (!service->confirm_replicas && service->slots > 1)
		config_problems_add(problems, confirm,
				    "expected at least 1: with 0, a change is "
				    "lost when its primary fails");
	if (service->owners > service->connections)
		config_problems_add(problems, owners,
				    "expected at most connections, %u: each "
				    "owner needs one connection",
				    service->connections);
}

static void check_service(const config_t *config,
			  const config_service_t *service, const char *path,
			  names_t *databases, config_problems_t *problems)
{
	check_numbers(service, path, problems);
	check_classes(service, path, problems);
	check_callers(service, path, problems);
	for (uint32_t i = 0; i < service->databases_count; i++) {
		const config_database_t *database = &service->databases[i];
		g_autofree char *below =
			g_strdup_printf("%s.databases[%u]", path, i);

		names_add(databases, database->name, "%s.name", below);
		check_database(config, service, database, below, problems);
	}
}

void config_check(const config_t *config, config_problems_t *problems)
{
	names_t services = names_begin(problems, NAME_LENGTH_MAX);
	names_t databases = names_begin(problems, NAME_LENGTH_MAX);

	check_limits(&config->limits, problems);
	check_domains(config, problems);
	for (uint32_t i = 0; i < config->services_count; i++) {
		const config_service_t *service = &config->services[i];
		g_autofree char *path = g_strdup_printf("services[%u]", i);

		names_add(&services, service->name, "%s.name", path);
		check_service(config, service, path, &databases, problems);
	}
	names_end(&services);
	names_end(&databases);
}
