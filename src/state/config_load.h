#ifndef STATE_CONFIG_LOAD_H
#define STATE_CONFIG_LOAD_H

#include <stdint.h>

#include <glib.h>

#include "state/config.h"

/**
 * Reads operators' files: the base first, then its overlays. All are merged
 * and the whole is checked.
 *
 * @return the configuration without revision and change, or NULL with
 *         @p error set to one line for each problem: file, line, path and
 *         what was expected
 */
config_t *config_load(const char *const *paths, uint32_t paths_count,
		      GError **error);

#endif
