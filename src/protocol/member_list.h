#ifndef PROTOCOL_MEMBER_LIST_H
#define PROTOCOL_MEMBER_LIST_H

#include <stdint.h>

#include <jansson.h>

#include "state/member_view.h"

/** Maximum number of VMs in a list; further ones are ignored. */
#define MEMBER_LIST_MAX 4096

/**
 * Reads the platform's list of VMs, see docs/DESIGN.md. Invalid entries are
 * ignored.
 *
 * @param count receives the number of members returned
 * @return the members; free with g_free()
 */
member_t *member_list_read(const json_t *json, uint32_t *count);

/** @return the list in the platform's JSON form. */
json_t *member_list_write(const member_t *members, uint32_t count);

#endif
