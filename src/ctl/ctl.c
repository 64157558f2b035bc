#include "ctl/ctl.h"

#include <stdio.h>
#include <string.h>

#include <arpa/inet.h>

#include "base/text.h"

static void print_help(const ctl_arguments_t *arguments)
{
	printf("Usage: toucanctl %s", arguments->name);
	arg_print_syntax(stdout, arguments->table, "\n\n");
	printf("%s\n\n", arguments->description);
	arg_print_glossary(stdout, arguments->table, "  %-28s %s\n");
}

bool ctl_parse(const ctl_arguments_t *arguments, int argc, char **argv,
	       ctl_exit_t *code)
{
	const struct arg_lit *help = arguments->table[0];
	struct arg_end *end = arguments->table[arguments->table_size - 1];
	g_autofree char *name =
		g_strconcat("toucanctl ", arguments->name, NULL);
	int errors;

	if (arg_nullcheck(arguments->table))
		g_error("out of memory while parsing the command line");
	errors = arg_parse(argc, argv, arguments->table);
	if (help->count) {
		print_help(arguments);
		*code = CTL_DONE;
		return false;
	}
	if (!errors)
		return true;
	arg_print_errors(stderr, end, name);
	fprintf(stderr, "See `%s --help`.\n", name);
	*code = CTL_USAGE;
	return false;
}

static bool is_ip_number(const char *text)
{
	struct in6_addr address;

	return inet_pton(AF_INET, text, &address) == 1 ||
	       inet_pton(AF_INET6, text, &address) == 1;
}

bool ctl_endpoint_parse(const char *option, const char *text,
			ctl_endpoint_t *endpoint)
{
	const char *colon = strrchr(text, ':');
	g_autofree char *address =
		colon ? text_new(text, (size_t)(colon - text)) : NULL;
	guint64 port = 0;
	size_t length;

	if (address && *address == '[' && g_str_has_suffix(address, "]")) {
		length = strlen(address);
		memmove(address, address + 1, length - 2);
		address[length - 2] = '\0';
	}
	if (!address || !is_ip_number(address) ||
	    !g_ascii_string_to_unsigned(colon + 1, 10, 1, UINT16_MAX, &port,
					NULL)) {
		fprintf(stderr,
			"toucanctl: --%s=%s: expected an IP address and port, "
			"such as 10.0.0.1:8500\n",
			option, text);
		return false;
	}
	g_strlcpy(endpoint->address, address, sizeof(endpoint->address));
	endpoint->port = (uint16_t)port;
	return true;
}
