#ifndef PROTOCOL_PEER_MESSAGE_H
#define PROTOCOL_PEER_MESSAGE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "protocol/request.h"
#include "state/member_record.h"

/** Size limit of the request, chunk or note in one message, in bytes. */
#define PEER_MESSAGE_BYTES_MAX (16u * 1024 * 1024)

/** Size limit of an encoded message, in bytes. */
#define PEER_MESSAGE_SIZE_BYTES_MAX (PEER_MESSAGE_BYTES_MAX + 64u * 1024)

/** Maximum number of member records in one heartbeat. */
#define PEER_MESSAGE_MEMBERS_MAX 32

/** Size limit of the digest in a heartbeat, in bytes. */
#define PEER_MESSAGE_DIGEST_BYTES_MAX 64

/** Longest name of a database, server, tenant or key, in bytes. */
#define PEER_MESSAGE_NAME_BYTES_MAX 255

/** Kind of a message between two nodes. */
typedef enum {
	PEER_MESSAGE_HEARTBEAT,
	PEER_MESSAGE_REQUEST,
	PEER_MESSAGE_CHUNK,
	PEER_MESSAGE_END,
	PEER_MESSAGE_CANCEL,
	PEER_MESSAGE_INQUIRY, /**< queries whether a request was received */
	PEER_MESSAGE_RELEASE,
	PEER_MESSAGE_NOTE,
	PEER_MESSAGE_KIND_COUNT,
} peer_message_kind_t;

/** Body of a heartbeat: summary of the sender's state. */
typedef struct {
	uint64_t members_digest; /**< digest of all its member records */
	uint8_t digest[PEER_MESSAGE_DIGEST_BYTES_MAX]; /**< config digest */
	size_t digest_size_bytes;
	bool wants_reply; /**< the receiver must reply at once */
	member_record_t members[PEER_MESSAGE_MEMBERS_MAX]; /**< sender first */
	uint32_t members_count;
} peer_heartbeat_t;

/** One message between two nodes; its kind determines which fields are set. */
typedef struct {
	char sender[sizeof(((member_t *)0)->name)];
	uint64_t incarnation;	       /**< incarnation of the sender */
	uint64_t receiver_incarnation; /**< CHUNK, END: of the requester */
	uint64_t sequence; /**< number of the message at its sender */
	peer_message_kind_t kind;
	peer_heartbeat_t *heartbeat; /**< HEARTBEAT */
	uint64_t call_id;      /**< REQUEST, CHUNK, END, CANCEL, INQUIRY */
	request_t *request;    /**< REQUEST */
	uint32_t chunk_index;  /**< CHUNK: number of the chunk, from 0 */
	bool chunk_continues;  /**< CHUNK: the next part continues this one */
	uint32_t chunks_count; /**< END: number of chunks sent */
	answer_t answer;       /**< END */
	uint64_t lease_id;     /**< RELEASE */
	uint32_t note_kind;    /**< NOTE: kind, validated by the receiver */
	GBytes *bytes;	       /**< CHUNK, NOTE */
} peer_message_t;

/** @return a zeroed message; free with peer_message_delete(). */
peer_message_t *peer_message_new(peer_message_kind_t kind);

/** Frees a message and everything it owns; NULL is allowed. */
void peer_message_delete(peer_message_t *message);

/** @return the encoded message; free with g_bytes_unref(). */
GBytes *peer_message_encode(const peer_message_t *message);

/**
 * Decodes and validates a message.
 *
 * @return the message, or NULL if a field is out of bounds
 */
peer_message_t *peer_message_decode(const uint8_t *bytes, size_t size_bytes);

G_DEFINE_AUTOPTR_CLEANUP_FUNC(peer_message_t, peer_message_delete)

#endif
