#ifndef PROTOCOL_MEMBER_LIST_H
#define PROTOCOL_MEMBER_LIST_H

#include <stdint.h>

#include <jansson.h>

#include "state/member_view.h"

/** Most VMs of a list; further ones are left out. */
#define MEMBER_LIST_MAX 4096

/**
 * Reads the platform's list of VMs, see docs/DESIGN.md. Entries that make no
 * sense are left out.
 *
 * @param count receives how many were taken
 * @return them; free with g_free()
 */
member_t *member_list_read(const json_t *json, uint32_t *count);

/** @return the list in the same form. */
json_t *member_list_write(const member_t *members, uint32_t count);

#endif
