#include "protocol/config_note.h"

#include <string.h>

#include <jansson.h>

/* First byte of an encoded note, indexed by its kind. */
static const uint8_t kind_bytes[] = {'D', 'F', 'V', 'L'};

size_t config_digest_encode(const config_digest_t *digest, uint8_t *bytes,
			    size_t limit_bytes)
{
	json_t *json = json_pack("[I, I, I]", (json_int_t)digest->revision,
				 (json_int_t)digest->age_ms,
				 (json_int_t)digest->list_index);
	const size_t size_bytes =
		json_dumpb(json, (char *)bytes, limit_bytes, JSON_COMPACT);

	json_decref(json);
	return size_bytes <= limit_bytes ? size_bytes : 0;
}

bool config_digest_decode(const uint8_t *bytes, size_t size_bytes,
			  config_digest_t *digest)
{
	json_int_t revision = 0;
	json_int_t age_ms = 0;
	json_int_t list_index = 0;
	json_t *json = NULL;
	bool valid;

	if (size_bytes <= CONFIG_DIGEST_SIZE_BYTES_MAX)
		json = json_loadb((const char *)bytes, size_bytes, 0, NULL);
	valid = json &&
		!json_unpack(json, "[I, I, I!]", &revision, &age_ms,
			     &list_index) &&
		revision >= 0 && age_ms >= 0 && age_ms <= UINT32_MAX &&
		list_index >= 0;
	json_decref(json);
	digest->revision = (uint64_t)revision;
	digest->age_ms = (uint32_t)age_ms;
	digest->list_index = (uint64_t)list_index;
	return valid;
}

static bool is_compressed(config_note_kind_t kind)
{
	return kind == CONFIG_NOTE_VALUE || kind == CONFIG_NOTE_LIST;
}

GBytes *config_note_encode(const config_note_t *note)
{
	uint8_t header[1 + CONFIG_DIGEST_SIZE_BYTES_MAX];
	GByteArray *bytes = g_byte_array_new();
	size_t size_bytes = 0;

	header[0] = kind_bytes[note->kind];
	if (!is_compressed(note->kind))
		size_bytes = config_digest_encode(&note->digest, header + 1,
						  CONFIG_DIGEST_SIZE_BYTES_MAX);
	g_byte_array_append(bytes, header, (guint)(1 + size_bytes));
	if (is_compressed(note->kind))
		g_byte_array_append(bytes, note->compressed,
				    (guint)note->compressed_size_bytes);
	return g_byte_array_free_to_bytes(bytes);
}

bool config_note_decode(const uint8_t *bytes, size_t size_bytes,
			config_note_t *note)
{
	const uint8_t *kind;

	memset(note, 0, sizeof(*note));
	if (!size_bytes)
		return false;
	kind = memchr(kind_bytes, bytes[0], sizeof(kind_bytes));
	if (!kind)
		return false;
	note->kind = (config_note_kind_t)(kind - kind_bytes);
	if (!is_compressed(note->kind))
		return config_digest_decode(bytes + 1, size_bytes - 1,
					    &note->digest);
	note->compressed = bytes + 1;
	note->compressed_size_bytes = size_bytes - 1;
	return true;
}
