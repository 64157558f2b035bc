#include "state/config_problems.h"

#include <stdarg.h>
#include <string.h>

struct config_problems {
	GPtrArray *paths;    /* char * */
	GPtrArray *expected; /* char *, one for each path */
	uint32_t count;
};

config_problems_t *config_problems_create(void)
{
	config_problems_t *problems = g_new0(config_problems_t, 1);

	problems->paths = g_ptr_array_new_with_free_func(g_free);
	problems->expected = g_ptr_array_new_with_free_func(g_free);
	return problems;
}

void config_problems_destroy(config_problems_t *problems)
{
	if (!problems)
		return;
	g_ptr_array_unref(problems->paths);
	g_ptr_array_unref(problems->expected);
	g_free(problems);
}

static bool is_known(const config_problems_t *problems, const char *path)
{
	return g_ptr_array_find_with_equal_func(problems->paths, path,
						g_str_equal, NULL);
}

void config_problems_add(config_problems_t *problems, const char *path,
			 const char *format, ...)
{
	va_list arguments;

	if (is_known(problems, path))
		return;
	problems->count++;
	if (problems->paths->len >= CONFIG_PROBLEMS_MAX)
		return;
	va_start(arguments, format);
	g_ptr_array_add(problems->paths, g_strdup(path));
	g_ptr_array_add(problems->expected,
			g_strdup_vprintf(format, arguments));
	va_end(arguments);
}

uint32_t config_problems_count(const config_problems_t *problems)
{
	return problems->count;
}

void config_problems_each(const config_problems_t *problems,
			  void (*visit)(void *context, const char *path,
					const char *expected),
			  void *context)
{
	for (guint i = 0; i < problems->paths->len; i++)
		visit(context, problems->paths->pdata[i],
		      problems->expected->pdata[i]);
}
