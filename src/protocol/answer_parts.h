#ifndef PROTOCOL_ANSWER_PARTS_H
#define PROTOCOL_ANSWER_PARTS_H

#include <stdbool.h>
#include <stdint.h>

#include "protocol/peer_message.h"

/** Largest chunk that is joined from parts, in bytes. */
#define ANSWER_PARTS_CHUNK_BYTES_MAX (64u * 1024 * 1024)

/** The parts of one answer that have come; zeroes at the beginning. */
typedef struct {
	uint32_t count;	     /**< parts that have come, in order */
	GByteArray *partial; /**< the beginning of a chunk, or NULL */
} answer_parts_t;

typedef enum {
	ANSWER_PARTS_CHUNK, /**< a chunk is whole */
	ANSWER_PARTS_MORE,  /**< more parts are to come */
	ANSWER_PARTS_TWICE, /**< this part had come before */
	ANSWER_PARTS_GAP,   /**< a part is missing, or the chunk too large */
} answer_parts_result_t;

/** Frees what is kept, not the structure. */
void answer_parts_clear(answer_parts_t *parts);

/**
 * Takes in a part.
 *
 * @param chunk set to the whole chunk for ANSWER_PARTS_CHUNK; to be freed
 */
answer_parts_result_t answer_parts_take(answer_parts_t *parts,
					const peer_message_t *message,
					GBytes **chunk);

/** @return whether all of @p count parts have come. */
bool answer_parts_are_whole(const answer_parts_t *parts, uint32_t count);

#endif
