#ifndef STATE_CONFIG_DIFF_H
#define STATE_CONFIG_DIFF_H

#include <stdint.h>

#include "state/config.h"

/**
 * Called for each value that differs, in order of paths.
 *
 * @param before old value, or NULL if the value was added
 * @param after  new value, or NULL if the value was removed
 */
typedef void (*config_diff_visit_t)(void *context, const char *path,
				    const char *before, const char *after);

/**
 * Compares two configurations except for revision, change id and changes.
 * List elements are matched by name. A verifier is shown as a short checksum.
 *
 * @param before old configuration, or NULL to report every value as added
 * @return number of values that differ
 */
uint32_t config_diff(const config_t *before, const config_t *after,
		     config_diff_visit_t visit, void *context);

#endif
