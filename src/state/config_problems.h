#ifndef STATE_CONFIG_PROBLEMS_H
#define STATE_CONFIG_PROBLEMS_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/** Maximum number of stored problems; further ones are only counted. */
#define CONFIG_PROBLEMS_MAX 100

/** Problems of a configuration, at most one for each path. */
typedef struct config_problems config_problems_t;

/** Creates an empty list. */
config_problems_t *config_problems_create(void);

/** Frees the problems; NULL is allowed. */
void config_problems_destroy(config_problems_t *problems);

/**
 * Adds a problem unless the path already has one.
 *
 * @param path   path of the value, such as `services[0].slots`
 * @param format what was expected at the path
 */
void config_problems_add(config_problems_t *problems, const char *path,
			 const char *format, ...) G_GNUC_PRINTF(3, 4);

/** @return number of problems, including those that were not stored. */
uint32_t config_problems_count(const config_problems_t *problems);

/** Calls @p visit for each stored problem, in order of discovery. */
void config_problems_each(const config_problems_t *problems,
			  void (*visit)(void *context, const char *path,
					const char *expected),
			  void *context);

G_DEFINE_AUTOPTR_CLEANUP_FUNC(config_problems_t, config_problems_destroy)

#endif
