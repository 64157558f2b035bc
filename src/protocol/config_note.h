#ifndef PROTOCOL_CONFIG_NOTE_H
#define PROTOCOL_CONFIG_NOTE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

/** Size limit of an encoded digest, which heartbeats carry, in bytes. */
#define CONFIG_DIGEST_SIZE_BYTES_MAX 64

/** Summary of the configuration that a node uses. */
typedef struct {
	uint64_t revision;   /**< revision of the configuration, 0 for none */
	uint32_t age_ms;     /**< time since the platform's last known answer */
	uint64_t list_index; /**< index of the platform's VM list, 0 for none */
} config_digest_t;

/** Kind of a note. */
typedef enum {
	CONFIG_NOTE_DIGEST, /**< announces the sender's digest */
	CONFIG_NOTE_FETCH,  /**< requests data newer than the digest */
	CONFIG_NOTE_VALUE,  /**< carries the stored configuration, compressed */
	CONFIG_NOTE_LIST,   /**< carries the list of VMs, compressed */
} config_note_kind_t;

/** Message between the configuration tasks of two nodes; plain data. */
typedef struct {
	config_note_kind_t kind;
	config_digest_t digest; /**< DIGEST, FETCH: digest of the sender */
	/** VALUE, LIST: compressed data; points into the decoded bytes. */
	const uint8_t *compressed;
	size_t compressed_size_bytes; /**< size of compressed */
} config_note_t;

/** @return the encoded note; free with g_bytes_unref(). */
GBytes *config_note_encode(const config_note_t *note);

/**
 * Decodes a note. The note points into @p bytes.
 *
 * @return whether @p bytes are a valid note
 */
bool config_note_decode(const uint8_t *bytes, size_t size_bytes,
			config_note_t *note);

/**
 * Encodes a digest.
 *
 * @return bytes written, at most CONFIG_DIGEST_SIZE_BYTES_MAX, or 0 if the
 *         digest needs more than @p limit_bytes
 */
size_t config_digest_encode(const config_digest_t *digest, uint8_t *bytes,
			    size_t limit_bytes);

/** Decodes a digest. @return whether @p bytes are a valid digest */
bool config_digest_decode(const uint8_t *bytes, size_t size_bytes,
			  config_digest_t *digest);

#endif
