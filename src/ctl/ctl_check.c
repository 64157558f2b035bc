#include "ctl/ctl.h"

#include <stdio.h>
#include <string.h>

#include "ctl/ctl_files.h"
#include "state/config_codec.h"

static void print_summary(const config_t *config)
{
	uint32_t databases = 0;
	uint32_t servers = 0;

	for (uint32_t s = 0; s < config->services_count; s++) {
		const config_service_t *service = &config->services[s];

		databases += service->databases_count;
		for (uint32_t d = 0; d < service->databases_count; d++)
			servers += service->databases[d].servers_count;
	}
	printf("%s: valid; %u services, %u databases, %u backend servers\n",
	       config->site, config->services_count, databases, servers);
}

static ctl_exit_t check(const ctl_files_t *files, bool json)
{
	config_t *config = ctl_files_load(files);
	g_autofree char *text = NULL;

	if (!config)
		return CTL_INVALID_FILES;
	text = config_codec_encode(config);
	if (strlen(text) > CONFIG_SIZE_BYTES_MAX - CONFIG_CHANGES_SIZE_BYTES) {
		fprintf(stderr,
			"toucanctl: the configuration has %zu bytes; the "
			"maximum is %u\n",
			strlen(text),
			CONFIG_SIZE_BYTES_MAX - CONFIG_CHANGES_SIZE_BYTES);
		config_delete(config);
		return CTL_INVALID_FILES;
	}
	if (json)
		puts(text);
	else
		print_summary(config);
	config_delete(config);
	return CTL_DONE;
}

ctl_exit_t ctl_check(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0("h", "help", "show this help");
	struct arg_lit *json =
		arg_lit0("j", "json", "print the merged configuration as JSON");
	struct arg_end *end = arg_end(20);
	const ctl_files_t files = ctl_files_arguments();
	ctl_exit_t code = CTL_DONE;

	void *table[] = {help, files.base, files.overlays, json, end};
	const ctl_arguments_t arguments = {
		"check",
		"Merges a base file with its overlays and validates the "
		"result. Exits with 0 if\nit is valid, else with 2 and one "
		"line for each problem.",
		table, G_N_ELEMENTS(table)};

	if (ctl_parse(&arguments, argc, argv, &code))
		code = check(&files, json->count > 0);
	arg_freetable(table, G_N_ELEMENTS(table));
	return code;
}
