#ifndef STATE_CONFIG_MERGE_H
#define STATE_CONFIG_MERGE_H

#include "base/yaml_tree.h"

/**
 * Merges an overlay into @p base. Maps merge by key and lists of named maps
 * by `name`; other values are replaced. An element with `remove: true` is
 * taken out. An overlay names only what the base has, and two overlays may
 * not give one value differently; `site` is joined by commas.
 *
 * @param problems receives char * of file, line, path and what was expected
 */
void config_merge(yaml_value_t *base, const yaml_value_t *overlay,
		  GPtrArray *problems);

#endif
