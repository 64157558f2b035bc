#ifndef PROTOCOL_ANSWER_PARTS_H
#define PROTOCOL_ANSWER_PARTS_H

#include <stdbool.h>
#include <stdint.h>

#include "protocol/peer_message.h"

/** Size of the largest chunk that is joined from parts, in bytes. */
#define ANSWER_PARTS_CHUNK_BYTES_MAX (64u * 1024 * 1024)

/** Reassembles an answer's chunks from their parts; starts as zeroes. */
typedef struct {
	uint32_t count;	     /**< parts received so far, in order */
	GByteArray *partial; /**< start of an incomplete chunk, or NULL */
} answer_parts_t;

/** Result of adding a part. */
typedef enum {
	ANSWER_PARTS_CHUNK,	 /**< the part completes a chunk */
	ANSWER_PARTS_INCOMPLETE, /**< the chunk needs more parts */
	ANSWER_PARTS_DUPLICATE,	 /**< the part was received before */
	ANSWER_PARTS_GAP, /**< a part is missing, or the chunk is too large */
} answer_parts_result_t;

/** Frees the incomplete chunk, not the structure itself. */
void answer_parts_clear(answer_parts_t *parts);

/**
 * Adds a part.
 *
 * @param message message of kind PEER_MESSAGE_CHUNK
 * @param chunk   receives the complete chunk for ANSWER_PARTS_CHUNK; free with
 *                g_bytes_unref()
 */
answer_parts_result_t answer_parts_add(answer_parts_t *parts,
				       const peer_message_t *message,
				       GBytes **chunk);

/** @return whether exactly @p count parts with complete chunks were added. */
bool answer_parts_are_complete(const answer_parts_t *parts, uint32_t count);

#endif
