#ifndef STATE_CONFIG_CHECK_H
#define STATE_CONFIG_CHECK_H

#include "state/config.h"
#include "state/config_problems.h"

/**
 * Runs the checks that the schema cannot express: duplicate names, references
 * to missing names, IP numbers, verifiers, and limits that depend on one
 * another.
 */
void config_check(const config_t *config, config_problems_t *problems);

#endif
