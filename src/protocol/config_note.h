#ifndef PROTOCOL_CONFIG_NOTE_H
#define PROTOCOL_CONFIG_NOTE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

/** Most bytes of a digest; it rides on heartbeats. */
#define CONFIG_DIGEST_SIZE_BYTES_MAX 64

/** What a node tells of the configuration that it has in force. */
typedef struct {
	uint64_t revision; /**< 0 for none */
	uint32_t age_ms;   /**< since the platform was known to be heard */
} config_digest_t;

typedef enum {
	CONFIG_NOTE_DIGEST, /**< tells of a revision */
	CONFIG_NOTE_FETCH,  /**< asks for a revision above the one given */
	CONFIG_NOTE_VALUE,  /**< carries the stored form, packed */
} config_note_kind_t;

/** A note between the configuration tasks of two nodes; plain data. */
typedef struct {
	config_note_kind_t kind;
	config_digest_t digest; /**< of the sender; for digest and fetch */
	const uint8_t *packed;	/**< value: points into what was decoded */
	size_t packed_size_bytes;
} config_note_t;

/** @return bytes of the note. */
GBytes *config_note_encode(const config_note_t *note);

/** @return whether @p bytes are a note; it points into them. */
bool config_note_decode(const uint8_t *bytes, size_t size_bytes,
			config_note_t *note);

/** @return bytes written, at most CONFIG_DIGEST_SIZE_BYTES_MAX, or 0. */
size_t config_digest_encode(const config_digest_t *digest, uint8_t *bytes,
			    size_t limit_bytes);

/** @return whether @p bytes are a digest. */
bool config_digest_decode(const uint8_t *bytes, size_t size_bytes,
			  config_digest_t *digest);

#endif
