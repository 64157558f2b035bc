#include "protocol/member_list.h"

#include <stdbool.h>
#include <stdio.h>
#include <string.h>

#include <arpa/inet.h>

#include <glib.h>

static bool copy_text(char *to, size_t size_bytes, const json_t *json)
{
	const char *text = json_string_value(json);

	return text && *text && strlen(text) == json_string_length(json) &&
	       g_strlcpy(to, text, size_bytes) < size_bytes;
}

static bool read_member(const json_t *node, member_t *member)
{
	const json_t *meta = json_object_get(node, "Meta");
	const char *port =
		json_string_value(json_object_get(meta, "peer_port"));
	const char *state = json_string_value(json_object_get(meta, "state"));
	struct in6_addr address;
	guint64 number;

	if (!copy_text(member->name, sizeof(member->name),
		       json_object_get(node, "Node")) ||
	    !copy_text(member->address, sizeof(member->address),
		       json_object_get(node, "Address")) ||
	    !copy_text(member->failure_domain, sizeof(member->failure_domain),
		       json_object_get(meta, "failure_domain")) ||
	    !copy_text(member->region, sizeof(member->region),
		       json_object_get(meta, "region")))
		return false;
	if (inet_pton(AF_INET, member->address, &address) != 1 &&
	    inet_pton(AF_INET6, member->address, &address) != 1)
		return false;
	if (!port ||
	    !g_ascii_string_to_unsigned(port, 10, 1, UINT16_MAX, &number, NULL))
		return false;
	member->peer_port = (uint16_t)number;
	member->state =
		g_strcmp0(state, "leaving") ? MEMBER_LIVE : MEMBER_LEAVING;
	return true;
}

member_t *member_list_read(const json_t *json, uint32_t *count)
{
	const size_t listed = json_array_size(json);
	const size_t size = MIN(listed, MEMBER_LIST_MAX);
	member_t *members = g_new0(member_t, size + 1);

	*count = 0;
	for (size_t i = 0; i < listed && *count < size; i++) {
		member_t member = {.peer_port = 0};

		if (read_member(json_array_get(json, i), &member))
			members[(*count)++] = member;
	}
	return members;
}

json_t *member_list_write(const member_t *members, uint32_t count)
{
	json_t *list = json_array();

	for (uint32_t i = 0; i < count; i++) {
		const member_t *member = &members[i];
		char port[8];

		(void)snprintf(port, sizeof(port), "%u", member->peer_port);
		json_array_append_new(
			list,
			json_pack("{s:s, s:s, s:{s:s, s:s, s:s, s:s}}", "Node",
				  member->name, "Address", member->address,
				  "Meta", "failure_domain",
				  member->failure_domain, "region",
				  member->region, "peer_port", port, "state",
				  member->state == MEMBER_LEAVING ? "leaving" :
								    "live"));
	}
	return list;
}
