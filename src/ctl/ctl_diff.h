#ifndef CTL_CTL_DIFF_H
#define CTL_CTL_DIFF_H

#include <stdbool.h>
#include <stdint.h>

#include "state/config.h"

/**
 * Prints each value that differs between two configurations: `+` added, `-`
 * removed, `~` changed.
 *
 * @param before NULL if no configuration is in force
 * @param json   print a JSON array instead of lines
 * @return number of values that differ
 */
uint32_t ctl_diff_print(const config_t *before, const config_t *after,
			bool json);

#endif
