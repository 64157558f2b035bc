#ifndef PROTOCOL_GROUP_NOTE_H
#define PROTOCOL_GROUP_NOTE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "state/server_status.h"

/** Size of the largest encoded note, in bytes. */
#define GROUP_NOTE_SIZE_BYTES_MAX 1024

/** Size of a database name with its terminating zero, in bytes. */
#define GROUP_DATABASE_NAME_SIZE 128

/** Kind of a note between the group tasks of two nodes. */
typedef enum {
	GROUP_NOTE_REQUEST, /**< requests an operation on an owned server */
	GROUP_NOTE_ANSWER,  /**< result of the operation */
	/** Requests a barrier from an owner of the primary. */
	GROUP_NOTE_BARRIER,
	GROUP_NOTE_BARRIER_ANSWER, /**< point proved, or zero */
	GROUP_NOTE_ANNOUNCE,	   /**< announces the primary of a term */
	GROUP_NOTE_KIND_COUNT,
} group_note_kind_t;

/**
 * One note; plain data. Fields that its kind does not use are zero.
 * An answer carries the id of its request.
 */
typedef struct {
	group_note_kind_t kind;
	uint64_t id;
	char database[GROUP_DATABASE_NAME_SIZE];
	char server[GROUP_SERVER_NAME_SIZE];
	char primary[GROUP_SERVER_NAME_SIZE]; /**< server to follow */
	server_operation_t operation;
	uint64_t term; /**< term requested or announced; newest of the sender */
	log_point_t point; /**< point to wait for, or point proved */
	uint32_t timeout_ms;
	server_result_t result;
	bool has_status;
	server_status_t status;
} group_note_t;

/** Encodes a note. @return its size, or 0 if it exceeds @p limit_bytes */
size_t group_note_encode(const group_note_t *note, uint8_t *bytes,
			 size_t limit_bytes);

/** Decodes a note. @return false, with @p note unchanged, if invalid */
bool group_note_decode(const uint8_t *bytes, size_t size_bytes,
		       group_note_t *note);

#endif
