#ifndef WORLD_WORLD_FILES_H
#define WORLD_WORLD_FILES_H

#include "world/world.h"

/** @return the operators' base file of a world, as YAML. */
char *world_files_base(const world_t *world);

/** @return the platform's list of VMs, as JSON. */
char *world_files_nodes(const world_t *world);

/** Writes the settings of one entry VM. */
bool world_files_write_settings(const world_t *world, const world_node_t *node,
				GError **error);

#endif
