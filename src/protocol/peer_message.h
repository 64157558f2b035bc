#ifndef PROTOCOL_PEER_MESSAGE_H
#define PROTOCOL_PEER_MESSAGE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "protocol/request.h"
#include "state/member_record.h"

/** Largest request, chunk or note that travels in one message, in bytes. */
#define PEER_MESSAGE_BYTES_MAX (16u * 1024 * 1024)

/** Largest message with all that surrounds its bytes. */
#define PEER_MESSAGE_SIZE_BYTES_MAX (PEER_MESSAGE_BYTES_MAX + 64u * 1024)

/** Most member records on one heartbeat. */
#define PEER_MESSAGE_MEMBERS_MAX 32

/** Most bytes of the digest that rides on a heartbeat. */
#define PEER_MESSAGE_DIGEST_BYTES_MAX 64

/** Longest name of a database, server, tenant or key, in bytes. */
#define PEER_MESSAGE_NAME_BYTES_MAX 255

typedef enum {
	PEER_MESSAGE_HEARTBEAT,
	PEER_MESSAGE_REQUEST,
	PEER_MESSAGE_CHUNK,
	PEER_MESSAGE_END,
	PEER_MESSAGE_CANCEL,
	PEER_MESSAGE_INQUIRY, /**< has the request arrived? */
	PEER_MESSAGE_RELEASE,
	PEER_MESSAGE_NOTE,
	PEER_MESSAGE_KIND_COUNT,
} peer_message_kind_t;

/** Heartbeat: what its sender knows, in short. */
typedef struct {
	uint64_t members_digest; /**< of all member records of the sender */
	uint8_t digest[PEER_MESSAGE_DIGEST_BYTES_MAX];
	size_t digest_size_bytes;
	bool wants_reply; /**< the receiver shall send one at once */
	member_record_t members[PEER_MESSAGE_MEMBERS_MAX]; /**< sender first */
	uint32_t members_count;
} peer_heartbeat_t;

/** One message between two nodes; what applies depends on its kind. */
typedef struct {
	char sender[sizeof(((member_t *)0)->name)];
	uint64_t incarnation;	       /**< of the sender */
	uint64_t receiver_incarnation; /**< CHUNK, END: of who asked */
	uint64_t sequence;	       /**< of this message at its sender */
	peer_message_kind_t kind;
	peer_heartbeat_t *heartbeat; /**< HEARTBEAT */
	uint64_t call_id;      /**< REQUEST, CHUNK, END, CANCEL, INQUIRY */
	request_t *request;    /**< REQUEST */
	uint32_t chunk_index;  /**< CHUNK: 0, 1, 2 and so on */
	bool chunk_continues;  /**< CHUNK: the next is a part of the same */
	uint32_t chunks_count; /**< END: how many chunks there were */
	answer_t answer;       /**< END */
	uint64_t lease_id;     /**< RELEASE */
	uint32_t note_kind;    /**< NOTE: checked by the receiver */
	GBytes *bytes;	       /**< CHUNK, NOTE */
} peer_message_t;

/** @return a message of zeroes that peer_message_delete() frees. */
peer_message_t *peer_message_new(peer_message_kind_t kind);

/** Frees a message and all that it owns; NULL is allowed. */
void peer_message_delete(peer_message_t *message);

/** @return the message as bytes; free with g_bytes_unref(). */
GBytes *peer_message_encode(const peer_message_t *message);

/**
 * Reads and checks a message.
 *
 * @return the message, or NULL if anything in it is out of bounds
 */
peer_message_t *peer_message_decode(const uint8_t *bytes, size_t size_bytes);

G_DEFINE_AUTOPTR_CLEANUP_FUNC(peer_message_t, peer_message_delete)

#endif
