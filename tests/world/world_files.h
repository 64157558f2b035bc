#ifndef WORLD_WORLD_FILES_H
#define WORLD_WORLD_FILES_H

#include "world/world.h"

/** Returns the operators' base configuration file as YAML. */
char *world_files_base(const world_t *world);

/** Returns the catalog of VMs for the platform as JSON. */
char *world_files_nodes(const world_t *world);

/** Writes the settings file of an entry VM. */
bool world_files_write_settings(const world_t *world, const world_node_t *node,
				GError **error);

#endif
