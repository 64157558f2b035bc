#include "world/load_run.h"

#include <signal.h>
#include <string.h>
#include <sys/wait.h>

#define LOG_LINES 60u
#define SEED_LIMIT 1000000000u

struct load_run {
	process_t *process;
	char *results_path;
};

static GPtrArray *make_arguments(const world_t *world, const load_run_t *run,
				 const char *name, const char *database,
				 const char *user, const char *extra_arguments)
{
	GPtrArray *arguments = g_ptr_array_new_with_free_func(g_free);
	g_auto(GStrv) words = g_strsplit(extra_arguments, " ", -1);

	g_ptr_array_add(arguments,
			g_build_filename(world->programs, "toucanload", NULL));
	for (guint i = 0;
	     !strstr(extra_arguments, "--connect=") && i < world->nodes->len;
	     i++) {
		g_autofree char *conninfo = world_conninfo(
			world, world->nodes->pdata[i], database, user,
			"connect_timeout=10 gssencmode=disable");

		g_ptr_array_add(arguments,
				g_strdup_printf("--connect=%s", conninfo));
	}
	g_ptr_array_add(arguments, g_strdup_printf("--prefix=%s", name));
	g_ptr_array_add(arguments,
			g_strdup_printf("--json=%s", run->results_path));
	g_ptr_array_add(arguments,
			g_strdup_printf("--seed=%" G_GUINT64_FORMAT,
					world->deployment.seed % SEED_LIMIT));
	for (char **word = words; *word; word++)
		if (**word)
			g_ptr_array_add(arguments, g_strdup(*word));
	g_ptr_array_add(arguments, NULL);
	return arguments;
}

load_run_t *load_run_start(const world_t *world, const char *name,
			   const char *database, const char *user,
			   const char *arguments, GError **error)
{
	load_run_t *run = g_new0(load_run_t, 1);
	g_autofree char *log =
		g_strdup_printf("%s/load-%s.log", world->directory, name);
	g_autoptr(GPtrArray) argv = NULL;

	run->results_path =
		g_strdup_printf("%s/load-%s.json", world->directory, name);
	argv = make_arguments(world, run, name, database, user, arguments);
	run->process =
		process_start(name, log, (char *const *)argv->pdata, error);
	if (run->process)
		return run;
	g_free(run->results_path);
	g_free(run);
	return NULL;
}

void load_run_stop(load_run_t *run)
{
	process_signal(run->process, SIGTERM);
}

bool load_run_finish(load_run_t *run, uint32_t timeout_ms, json_t **results)
{
	int status = -1;
	bool ended = process_wait(run->process, timeout_ms, &status);
	bool passed = ended && WIFEXITED(status) && !WEXITSTATUS(status);

	if (!passed)
		process_print_log(run->process, LOG_LINES);
	if (results)
		*results = json_load_file(run->results_path, 0, NULL);
	process_destroy(run->process);
	g_free(run->results_path);
	g_free(run);
	return passed;
}

double load_run_number(const json_t *results, const char *path)
{
	g_auto(GStrv) names = g_strsplit(path, ".", -1);

	for (char **name = names; *name; name++)
		results = json_object_get(results, *name);
	return json_is_number(results) ? json_number_value(results) : -1;
}
