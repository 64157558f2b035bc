#ifndef STATE_CONFIG_PROBLEMS_H
#define STATE_CONFIG_PROBLEMS_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/** Most problems that are kept; further ones are only counted. */
#define CONFIG_PROBLEMS_MAX 100

/** Everything found wrong with a configuration, by the path of the value. */
typedef struct config_problems config_problems_t;

config_problems_t *config_problems_create(void);

/** Frees the problems; NULL is allowed. */
void config_problems_destroy(config_problems_t *problems);

/**
 * Adds a problem, unless one is known for this path already.
 *
 * @param path   such as `services[orders].slots`
 * @param format what was expected there
 */
void config_problems_add(config_problems_t *problems, const char *path,
			 const char *format, ...) G_GNUC_PRINTF(3, 4);

/** @return how many were found. */
uint32_t config_problems_count(const config_problems_t *problems);

/** Calls @p visit for each problem that was kept, in order of discovery. */
void config_problems_each(const config_problems_t *problems,
			  void (*visit)(void *context, const char *path,
					const char *expected),
			  void *context);

G_DEFINE_AUTOPTR_CLEANUP_FUNC(config_problems_t, config_problems_destroy)

#endif
