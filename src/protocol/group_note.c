#include "protocol/group_note.h"

#include <string.h>

#include <glib.h>

#include "protocol/group_note.pb-c.h"
#include "protocol/unpacked.h"

static void status_encode(const server_status_t *from,
			  Toucanhook__ServerStatus *to)
{
	to->role = from->role;
	to->term = from->term;
	to->fence = from->fence;
	to->last_term = from->last.term;
	to->last_position = from->last.position;
	to->replayed_term = from->replayed.term;
	to->replayed_position = from->replayed.position;
	to->upstream_age_ms = from->upstream_age_ms;
}

size_t group_note_encode(const group_note_t *note, uint8_t *bytes,
			 size_t limit_bytes)
{
	Toucanhook__ServerStatus status = TOUCANHOOK__SERVER_STATUS__INIT;
	Toucanhook__GroupNote message = TOUCANHOOK__GROUP_NOTE__INIT;

	message.kind = note->kind;
	message.id = note->id;
	message.database = (char *)note->database;
	message.server = (char *)note->server;
	message.primary = (char *)note->primary;
	message.operation = note->operation;
	message.term = note->term;
	message.point_term = note->point.term;
	message.point_position = note->point.position;
	message.timeout_ms = note->timeout_ms;
	message.result = note->result;
	if (note->has_status) {
		status_encode(&note->status, &status);
		message.status = &status;
	}
	if (toucanhook__group_note__get_packed_size(&message) > limit_bytes)
		return 0;
	return toucanhook__group_note__pack(&message, bytes);
}

static server_status_t status_decode(const Toucanhook__ServerStatus *from)
{
	return (server_status_t){
		.role = from->role,
		.term = from->term,
		.fence = from->fence,
		.last = {from->last_term, from->last_position},
		.replayed = {from->replayed_term, from->replayed_position},
		.upstream_age_ms = from->upstream_age_ms,
	};
}

static bool message_valid(const Toucanhook__GroupNote *message)
{
	if (message->kind >= GROUP_NOTE_KIND_COUNT ||
	    message->operation >= SERVER_OPERATION_COUNT ||
	    message->result >= SERVER_RESULT_COUNT)
		return false;
	if (message->status && message->status->role >= SERVER_ROLE_COUNT)
		return false;
	if (message->result == SERVER_OK && !message->status &&
	    message->kind == GROUP_NOTE_ANSWER)
		return false;
	return *message->database &&
	       strlen(message->database) < GROUP_DATABASE_NAME_SIZE &&
	       strlen(message->server) < GROUP_SERVER_NAME_SIZE &&
	       strlen(message->primary) < GROUP_SERVER_NAME_SIZE;
}

static void note_fill(const Toucanhook__GroupNote *message, group_note_t *note)
{
	*note = (group_note_t){
		.kind = message->kind,
		.id = message->id,
		.operation = message->operation,
		.term = message->term,
		.point = {message->point_term, message->point_position},
		.timeout_ms = message->timeout_ms,
		.result = message->result,
		.has_status = message->status != NULL,
	};
	g_strlcpy(note->database, message->database, sizeof(note->database));
	g_strlcpy(note->server, message->server, sizeof(note->server));
	g_strlcpy(note->primary, message->primary, sizeof(note->primary));
	if (message->status)
		note->status = status_decode(message->status);
}

bool group_note_decode(const uint8_t *bytes, size_t size_bytes,
		       group_note_t *note)
{
	Toucanhook__GroupNote *message;
	bool valid;

	if (size_bytes > GROUP_NOTE_SIZE_BYTES_MAX)
		return false;
	message = toucanhook__group_note__unpack(NULL, size_bytes, bytes);
	if (!message)
		return false;
	valid = unpacked_is_whole(&message->base, size_bytes) &&
		message_valid(message);
	if (valid)
		note_fill(message, note);
	toucanhook__group_note__free_unpacked(message, NULL);
	return valid;
}
