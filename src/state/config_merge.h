#ifndef STATE_CONFIG_MERGE_H
#define STATE_CONFIG_MERGE_H

#include "base/yaml_tree.h"

/**
 * Merges an overlay into @p base. Maps are merged by key, lists of maps by
 * their `name`; a scalar replaces the scalar of the base. A list element with
 * `remove: true` is removed. An overlay may refer only to list elements that
 * the base has, and two overlays must not set one value differently. The
 * `site` values of the overlays are joined by commas.
 *
 * @param problems receives one char * per problem: file, line, path and what
 *        was expected
 */
void config_merge(yaml_value_t *base, const yaml_value_t *overlay,
		  GPtrArray *problems);

#endif
