#include "ctl/ctl_diff.h"

#include <stdio.h>
#include <stdlib.h>

#include <jansson.h>

#include "ctl/ctl_files.h"
#include "ctl/ctl_platform.h"
#include "state/config_diff.h"

static void print_line(void *context, const char *path, const char *before,
		       const char *after)
{
	if (!before)
		printf("+ %s: %s\n", path, after);
	else if (!after)
		printf("- %s: %s\n", path, before);
	else
		printf("~ %s: %s -> %s\n", path, before, after);
}

static void add_json(void *context, const char *path, const char *before,
		     const char *after)
{
	json_array_append_new(context,
			      json_pack("{s:s, s:s?, s:s?}", "path", path,
					"before", before, "after", after));
}

uint32_t ctl_diff_print(const config_t *before, const config_t *after,
			bool json)
{
	json_t *list;
	uint32_t count;
	char *text;

	if (!json)
		return config_diff(before, after, print_line, NULL);
	list = json_array();
	count = config_diff(before, after, add_json, list);
	text = json_dumps(list, JSON_INDENT(2));
	puts(text);
	free(text);
	json_decref(list);
	return count;
}

static ctl_exit_t compare(const ctl_endpoint_t *endpoint,
			  const config_t *wanted, bool json)
{
	ctl_platform_t *platform = ctl_platform_create(endpoint);
	config_t *current = NULL;
	ctl_exit_t code = CTL_UNREACHABLE;
	uint64_t index = 0;
	const store_result_t result =
		ctl_platform_read(platform, &current, &index);

	if (result == STORE_OK || result == STORE_ABSENT)
		code = ctl_diff_print(current, wanted, json) ? CTL_DIFFERS :
							       CTL_DONE;
	else if (result == STORE_REFUSED)
		code = CTL_REFUSED;
	else
		fprintf(stderr,
			"toucanctl: no answer from the platform at "
			"%s port %u\n",
			endpoint->address, endpoint->port);
	config_delete(current);
	ctl_platform_destroy(platform);
	return code;
}

static ctl_exit_t diff(const ctl_files_t *files, const char *platform,
		       bool json)
{
	ctl_endpoint_t endpoint;
	config_t *wanted;
	ctl_exit_t code;

	if (!ctl_endpoint_parse("platform", platform, &endpoint))
		return CTL_USAGE;
	wanted = ctl_files_load(files);
	if (!wanted)
		return CTL_INVALID_FILES;
	code = compare(&endpoint, wanted, json);
	config_delete(wanted);
	return code;
}

ctl_exit_t ctl_diff(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0("h", "help", "show this help");
	struct arg_str *platform =
		arg_str1("p", "platform", "IP:PORT",
			 "address of the platform's key-value service");
	struct arg_lit *json = arg_lit0("j", "json", "print JSON");
	struct arg_end *end = arg_end(20);
	const ctl_files_t files = ctl_files_arguments();
	ctl_exit_t code = CTL_DONE;

	void *table[] = {help, platform, files.base, files.overlays, json, end};
	const ctl_arguments_t arguments = {
		"diff",
		"Shows the differences between the files and the configuration "
		"in force. Exits\nwith 0 if there are none, with 7 if there "
		"are some.",
		table, G_N_ELEMENTS(table)};

	if (ctl_parse(&arguments, argc, argv, &code))
		code = diff(&files, platform->sval[0], json->count > 0);
	arg_freetable(table, G_N_ELEMENTS(table));
	return code;
}
