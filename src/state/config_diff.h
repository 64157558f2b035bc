#ifndef STATE_CONFIG_DIFF_H
#define STATE_CONFIG_DIFF_H

#include <stdint.h>

#include "state/config.h"

/**
 * Called for each value that differs, in order of paths.
 *
 * @param before NULL for one that was added
 * @param after  NULL for one that was removed
 */
typedef void (*config_diff_visit_t)(void *context, const char *path,
				    const char *before, const char *after);

/**
 * Compares what operators wrote; revisions and changes are left aside.
 * Elements of lists are paired by name. Verifiers are not shown.
 *
 * @param before NULL for none
 * @return how many values differ
 */
uint32_t config_diff(const config_t *before, const config_t *after,
		     config_diff_visit_t visit, void *context);

#endif
