#ifndef CTL_CTL_DIFF_H
#define CTL_CTL_DIFF_H

#include <stdbool.h>
#include <stdint.h>

#include "state/config.h"

/**
 * Prints each value that differs: `+` added, `-` removed, `~` changed.
 *
 * @param before NULL for none
 * @return how many values differ
 */
uint32_t ctl_diff_print(const config_t *before, const config_t *after,
			bool json);

#endif
