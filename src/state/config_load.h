#ifndef STATE_CONFIG_LOAD_H
#define STATE_CONFIG_LOAD_H

#include <stdint.h>

#include <glib.h>

#include "state/config.h"

/**
 * Reads configuration files, merges them and checks the result. The first
 * path is the base file, the others are its overlays.
 *
 * @return the configuration with no revision and change id, or NULL with
 *         @p error set to one line per problem: file, line, path and what
 *         was expected
 */
config_t *config_load(const char *const *paths, uint32_t paths_count,
		      GError **error);

#endif
