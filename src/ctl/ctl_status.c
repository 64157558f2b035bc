#include "ctl/ctl_status.h"

#include <inttypes.h>
#include <stdio.h>

#include <jansson.h>

static const char *text_of(const json_t *json, const char *name)
{
	const char *text = json_string_value(json_object_get(json, name));

	return text && *text ? text : "-";
}

static json_int_t number_of(const json_t *json, const char *name)
{
	return json_integer_value(json_object_get(json, name));
}

static void print_members(const json_t *members)
{
	printf("\n%-24s %-16s %s\n", "node", "failure domain", "state");
	for (size_t i = 0; i < json_array_size(members); i++) {
		const json_t *member = json_array_get(members, i);

		printf("%-24s %-16s %s\n", text_of(member, "name"),
		       text_of(member, "failure_domain"),
		       text_of(member, "state"));
	}
}

static void print_point(const json_t *point)
{
	printf(" %8" JSON_INTEGER_FORMAT "/%-10" JSON_INTEGER_FORMAT,
	       number_of(point, "term"), number_of(point, "position"));
}

static void print_server(const json_t *server)
{
	printf("  %-24s", text_of(server, "server"));
	if (!json_is_true(json_object_get(server, "known"))) {
		puts(" unknown to this node");
		return;
	}
	printf(" %-8s", text_of(server, "role"));
	print_point(json_object_get(server, "last"));
	print_point(json_object_get(server, "replayed"));
	printf(" seen %" JSON_INTEGER_FORMAT " ms ago%s\n",
	       number_of(server, "seen_ms_ago"),
	       json_is_true(json_object_get(server, "owned")) ?
		       ", owned by this node" :
		       "");
}

static void print_group(const json_t *group)
{
	const json_t *servers = json_object_get(group, "servers");

	printf("\n%s: term %" JSON_INTEGER_FORMAT ", primary %s%s, promotion "
	       "%s, %" JSON_INTEGER_FORMAT " commits waiting\n",
	       text_of(group, "database"), number_of(group, "term"),
	       text_of(group, "primary"),
	       json_is_true(json_object_get(group, "suspect")) ? " (suspect)" :
								 "",
	       text_of(json_object_get(group, "promotion"), "state"),
	       number_of(group, "waiting"));
	printf("  %-24s %-8s %19s %19s\n", "server", "role",
	       "last term/position", "replayed");
	for (size_t i = 0; i < json_array_size(servers); i++)
		print_server(json_array_get(servers, i));
}

bool ctl_status_print(const char *text)
{
	json_t *status = json_loads(text, 0, NULL);
	const json_t *groups = json_object_get(status, "groups");

	if (!json_is_object(status)) {
		json_decref(status);
		return false;
	}
	printf("%s in %s: configuration %" JSON_INTEGER_FORMAT
	       ", %" JSON_INTEGER_FORMAT " callers, %" JSON_INTEGER_FORMAT
	       " requests running%s\n",
	       text_of(status, "node"), text_of(status, "failure_domain"),
	       number_of(status, "config_revision"),
	       number_of(status, "callers"), number_of(status, "busy"),
	       json_is_true(json_object_get(status, "draining")) ?
		       ", draining" :
		       "");
	print_members(json_object_get(status, "members"));
	for (size_t i = 0; i < json_array_size(groups); i++)
		print_group(json_array_get(groups, i));
	json_decref(status);
	return true;
}
