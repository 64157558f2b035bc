#ifndef PROTOCOL_GROUP_NOTE_H
#define PROTOCOL_GROUP_NOTE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "state/server_status.h"

/** Largest encoded note, in bytes. */
#define GROUP_NOTE_SIZE_BYTES_MAX 1024

/** Size of the buffer of a database's name, in bytes. */
#define GROUP_DATABASE_NAME_SIZE 128

/** What a note between two group tasks is. */
typedef enum {
	GROUP_NOTE_ASK,		   /**< an operation on an owned server */
	GROUP_NOTE_ANSWER,	   /**< how it ended */
	GROUP_NOTE_BARRIER,	   /**< a barrier, at an owner of the primary */
	GROUP_NOTE_BARRIER_ANSWER, /**< the point proven, or zero */
	GROUP_NOTE_ANNOUNCE,	   /**< server leads term */
	GROUP_NOTE_KIND_COUNT,
} group_note_kind_t;

/**
 * One note. Plain data; fields without a meaning for its kind are zero.
 * An answer carries the id of what it answers.
 */
typedef struct {
	group_note_kind_t kind;
	uint64_t id;
	char database[GROUP_DATABASE_NAME_SIZE];
	char server[GROUP_SERVER_NAME_SIZE];
	char primary[GROUP_SERVER_NAME_SIZE]; /**< whom to follow */
	server_operation_t operation;
	uint64_t term;	   /**< term asked for or announced; asker's newest */
	log_point_t point; /**< point waited for or proven */
	uint32_t timeout_ms;
	server_result_t result;
	bool has_status;
	server_status_t status;
} group_note_t;

/** @return size in bytes, 0 if it does not fit in @p limit_bytes. */
size_t group_note_encode(const group_note_t *note, uint8_t *bytes,
			 size_t limit_bytes);

/** @return false, with @p note untouched, if the bytes are not a note. */
bool group_note_decode(const uint8_t *bytes, size_t size_bytes,
		       group_note_t *note);

#endif
