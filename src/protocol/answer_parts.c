#include "protocol/answer_parts.h"

void answer_parts_clear(answer_parts_t *parts)
{
	g_clear_pointer(&parts->partial, g_byte_array_unref);
}

static bool exceeds_limit(const answer_parts_t *parts, GBytes *bytes)
{
	const size_t partial_bytes = parts->partial ? parts->partial->len : 0;

	return partial_bytes + g_bytes_get_size(bytes) >
	       ANSWER_PARTS_CHUNK_BYTES_MAX;
}

static void append(answer_parts_t *parts, GBytes *bytes)
{
	gsize size_bytes;
	const uint8_t *data = g_bytes_get_data(bytes, &size_bytes);

	if (!parts->partial)
		parts->partial = g_byte_array_new();
	g_byte_array_append(parts->partial, data, (guint)size_bytes);
}

answer_parts_result_t answer_parts_add(answer_parts_t *parts,
				       const peer_message_t *message,
				       GBytes **chunk)
{
	if (message->chunk_index < parts->count)
		return ANSWER_PARTS_DUPLICATE;
	if (message->chunk_index > parts->count ||
	    exceeds_limit(parts, message->bytes))
		return ANSWER_PARTS_GAP;
	parts->count++;
	if (!parts->partial && !message->chunk_continues) {
		*chunk = g_bytes_ref(message->bytes);
		return ANSWER_PARTS_CHUNK;
	}
	append(parts, message->bytes);
	if (message->chunk_continues)
		return ANSWER_PARTS_INCOMPLETE;
	*chunk = g_byte_array_free_to_bytes(parts->partial);
	parts->partial = NULL;
	return ANSWER_PARTS_CHUNK;
}

bool answer_parts_are_complete(const answer_parts_t *parts, uint32_t count)
{
	return parts->count == count && !parts->partial;
}
