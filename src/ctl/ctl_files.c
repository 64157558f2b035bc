#include "ctl/ctl_files.h"

#include <stdio.h>

#include "state/config_load.h"

#define OVERLAYS_MAX 64

ctl_files_t ctl_files_arguments(void)
{
	return (ctl_files_t){
		.base = arg_str1("b", "base", "FILE",
				 "base file, shared by all sites"),
		.overlays = arg_strn("o", "overlay", "FILE", 0, OVERLAYS_MAX,
				     "overlay file of a site; may be repeated"),
	};
}

config_t *ctl_files_load(const ctl_files_t *files)
{
	const char *paths[1 + OVERLAYS_MAX];
	g_autoptr(GError) error = NULL;
	config_t *config;
	uint32_t count = 0;

	paths[count++] = files->base->sval[0];
	for (int i = 0; i < files->overlays->count; i++)
		paths[count++] = files->overlays->sval[i];
	config = config_load(paths, count, &error);
	if (!config)
		fprintf(stderr, "%s\n", error->message);
	return config;
}
