#ifndef STATE_CONFIG_CHECK_H
#define STATE_CONFIG_CHECK_H

#include "state/config.h"
#include "state/config_problems.h"

/**
 * Checks what no single field shows: names that are used twice or that name
 * nothing, IP numbers, verifiers, and bounds that depend on one another.
 */
void config_check(const config_t *config, config_problems_t *problems);

#endif
