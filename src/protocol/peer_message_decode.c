#include "protocol/peer_message.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#include "protocol/peer.pb-c.h"
#include "protocol/unpacked.h"

/* Memory for unpacking beyond the size of the message, in bytes. */
#define UNPACK_EXTRA_BYTES (64 * 1024)

typedef bool (*decode_t)(const Peer__Envelope *envelope,
			 peer_message_t *message);

/* The strings of a message are UTF-8; they become part of JSON texts. */
static bool fits(const char *string, size_t size_bytes)
{
	return strlen(string) < size_bytes && g_utf8_validate(string, -1, NULL);
}

static bool fits_bytes(const ProtobufCBinaryData *data)
{
	return data->len <= PEER_MESSAGE_BYTES_MAX;
}

static bool is_address(const char *address)
{
	struct in6_addr number;

	return inet_pton(AF_INET, address, &number) == 1 ||
	       inet_pton(AF_INET6, address, &number) == 1;
}

/*
 * A record without an address is valid: the receiver keeps the address, port,
 * failure domain and region that it knows.
 */
static bool has_valid_endpoint(const Peer__Member *wire)
{
	if (!*wire->address)
		return !wire->peer_port && !*wire->failure_domain &&
		       !*wire->region;
	return is_address(wire->address) && wire->peer_port &&
	       wire->peer_port <= UINT16_MAX;
}

static bool decode_member(const Peer__Member *wire, member_record_t *record)
{
	member_t *member = &record->member;

	if (!fits(wire->name, sizeof(member->name)) ||
	    !fits(wire->address, sizeof(member->address)) ||
	    !has_valid_endpoint(wire) ||
	    !fits(wire->failure_domain, sizeof(member->failure_domain)) ||
	    !fits(wire->region, sizeof(member->region)))
		return false;
	if (wire->state > MEMBER_DEAD || wire->state == MEMBER_LEAVING)
		return false;
	g_strlcpy(member->name, wire->name, sizeof(member->name));
	g_strlcpy(member->address, wire->address, sizeof(member->address));
	g_strlcpy(member->failure_domain, wire->failure_domain,
		  sizeof(member->failure_domain));
	g_strlcpy(member->region, wire->region, sizeof(member->region));
	member->peer_port = (uint16_t)wire->peer_port;
	member->incarnation = wire->incarnation;
	member->state = (member_state_t)wire->state;
	member->settled = wire->settled;
	record->version = wire->version;
	record->leaving = wire->leaving;
	return true;
}

static bool decode_heartbeat(const Peer__Envelope *envelope,
			     peer_message_t *message)
{
	const Peer__Heartbeat *wire = envelope->heartbeat;
	peer_heartbeat_t *heartbeat = message->heartbeat;

	if (wire->digest.len > PEER_MESSAGE_DIGEST_BYTES_MAX ||
	    !wire->n_members || wire->n_members > PEER_MESSAGE_MEMBERS_MAX)
		return false;
	for (size_t i = 0; i < wire->n_members; i++)
		if (!decode_member(wire->members[i], &heartbeat->members[i]) ||
		    !*wire->members[i]->name != !i)
			return false;
	g_strlcpy(heartbeat->members[0].member.name, envelope->sender,
		  sizeof(heartbeat->members[0].member.name));
	heartbeat->members[0].member.incarnation = envelope->incarnation;
	heartbeat->members_count = (uint32_t)wire->n_members;
	heartbeat->members_digest = wire->members_digest;
	heartbeat->wants_reply = wire->wants_reply;
	heartbeat->digest_size_bytes = wire->digest.len;
	if (wire->digest.len)
		memcpy(heartbeat->digest, wire->digest.data, wire->digest.len);
	return true;
}

static log_point_t decode_point(const Peer__Point *wire)
{
	if (!wire)
		return (log_point_t){0};
	return (log_point_t){.term = wire->term, .position = wire->position};
}

static bool decode_request(const Peer__Envelope *envelope,
			   peer_message_t *message)
{
	const Peer__Request *wire = envelope->request;
	const size_t name_size_bytes = PEER_MESSAGE_NAME_BYTES_MAX + 1;
	request_t *request;

	if (wire->kind >= REQUEST_KIND_COUNT ||
	    !fits(wire->database, name_size_bytes) ||
	    !fits(wire->server, name_size_bytes) ||
	    !fits(wire->tenant, name_size_bytes) ||
	    !fits(wire->request_key, name_size_bytes) ||
	    !fits_bytes(&wire->bytes))
		return false;
	request = request_new();
	message->request = request;
	message->call_id = wire->call_id;
	request->request_id = wire->request_id;
	request->session_id = wire->session_id;
	request->lease_id = wire->lease_id;
	request->database = g_strdup(wire->database);
	request->server = g_strdup(wire->server);
	request->tenant = g_strdup(wire->tenant);
	request->class_index = wire->class_index;
	request->kind = (request_kind_t)wire->kind;
	request->term = wire->term;
	request->at_least = decode_point(wire->at_least);
	request->max_age_ms = wire->max_age_ms;
	request->timeout_ms = wire->timeout_ms;
	if (wire->has_request_key)
		request->request_key = g_strdup(wire->request_key);
	request->bytes = g_bytes_new(wire->bytes.data, wire->bytes.len);
	return true;
}

static bool decode_chunk(const Peer__Envelope *envelope,
			 peer_message_t *message)
{
	const Peer__Chunk *wire = envelope->chunk;

	if (!fits_bytes(&wire->bytes))
		return false;
	message->call_id = wire->call_id;
	message->chunk_index = wire->index;
	message->chunk_continues = wire->continues;
	message->bytes = g_bytes_new(wire->bytes.data, wire->bytes.len);
	return true;
}

static bool is_transaction_status(uint32_t status)
{
	return !status || status == 'I' || status == 'T' || status == 'E';
}

static bool decode_end(const Peer__Envelope *envelope, peer_message_t *message)
{
	const Peer__End *wire = envelope->end;
	answer_t *answer = &message->answer;

	if (wire->outcome > OUTCOME_UNKNOWN || wire->reason >= REASON_COUNT ||
	    !is_transaction_status(wire->transaction_status) ||
	    !fits(wire->primary, sizeof(answer->primary)))
		return false;
	message->call_id = wire->call_id;
	message->chunks_count = wire->chunks_count;
	answer->outcome = (outcome_t)wire->outcome;
	answer->reason = (reason_t)wire->reason;
	answer->transaction_status = (char)wire->transaction_status;
	answer->lease_id = wire->lease_id;
	answer->point = decode_point(wire->point);
	answer->primary_term = wire->primary_term;
	g_strlcpy(answer->primary, wire->primary, sizeof(answer->primary));
	return true;
}

static bool decode_cancel(const Peer__Envelope *envelope,
			  peer_message_t *message)
{
	message->call_id = envelope->cancel->call_id;
	return true;
}

static bool decode_inquiry(const Peer__Envelope *envelope,
			   peer_message_t *message)
{
	message->call_id = envelope->inquiry->call_id;
	return true;
}

static bool decode_release(const Peer__Envelope *envelope,
			   peer_message_t *message)
{
	message->lease_id = envelope->release->lease_id;
	return true;
}

static bool decode_note(const Peer__Envelope *envelope, peer_message_t *message)
{
	const Peer__Note *wire = envelope->note;

	if (!fits_bytes(&wire->bytes))
		return false;
	message->note_kind = wire->kind;
	message->bytes = g_bytes_new(wire->bytes.data, wire->bytes.len);
	return true;
}

static bool find_kind(const Peer__Envelope *envelope, peer_message_kind_t *kind)
{
	static const Peer__Envelope__BodyCase bodies[PEER_MESSAGE_KIND_COUNT] =
		{
			[PEER_MESSAGE_HEARTBEAT] =
				PEER__ENVELOPE__BODY_HEARTBEAT,
			[PEER_MESSAGE_REQUEST] = PEER__ENVELOPE__BODY_REQUEST,
			[PEER_MESSAGE_CHUNK] = PEER__ENVELOPE__BODY_CHUNK,
			[PEER_MESSAGE_END] = PEER__ENVELOPE__BODY_END,
			[PEER_MESSAGE_CANCEL] = PEER__ENVELOPE__BODY_CANCEL,
			[PEER_MESSAGE_INQUIRY] = PEER__ENVELOPE__BODY_INQUIRY,
			[PEER_MESSAGE_RELEASE] = PEER__ENVELOPE__BODY_RELEASE,
			[PEER_MESSAGE_NOTE] = PEER__ENVELOPE__BODY_NOTE,
		};

	for (uint32_t i = 0; i < PEER_MESSAGE_KIND_COUNT; i++) {
		if (bodies[i] != envelope->body_case)
			continue;
		*kind = (peer_message_kind_t)i;
		return true;
	}
	return false;
}

static peer_message_t *decode_envelope(const Peer__Envelope *envelope)
{
	static const decode_t decoders[PEER_MESSAGE_KIND_COUNT] = {
		[PEER_MESSAGE_HEARTBEAT] = decode_heartbeat,
		[PEER_MESSAGE_REQUEST] = decode_request,
		[PEER_MESSAGE_CHUNK] = decode_chunk,
		[PEER_MESSAGE_END] = decode_end,
		[PEER_MESSAGE_CANCEL] = decode_cancel,
		[PEER_MESSAGE_INQUIRY] = decode_inquiry,
		[PEER_MESSAGE_RELEASE] = decode_release,
		[PEER_MESSAGE_NOTE] = decode_note,
	};
	g_autoptr(peer_message_t) message = NULL;
	peer_message_kind_t kind;

	if (!find_kind(envelope, &kind) || !*envelope->sender ||
	    !fits(envelope->sender, sizeof(message->sender)))
		return NULL;
	message = peer_message_new(kind);
	g_strlcpy(message->sender, envelope->sender, sizeof(message->sender));
	message->incarnation = envelope->incarnation;
	message->receiver_incarnation = envelope->receiver_incarnation;
	message->sequence = envelope->sequence;
	if (!decoders[kind](envelope, message))
		return NULL;
	return g_steal_pointer(&message);
}

/*
 * Allocates from a budget. Small members unpack to many times their encoded
 * size, so a limit on the message's size alone does not bound the memory.
 */
static void *budget_alloc(void *data, size_t size_bytes)
{
	size_t *budget_bytes = data;

	if (size_bytes > *budget_bytes)
		return NULL;
	*budget_bytes -= size_bytes;
	return malloc(size_bytes);
}

static void budget_free(void *data, void *pointer)
{
	free(pointer);
}

peer_message_t *peer_message_decode(const uint8_t *bytes, size_t size_bytes)
{
	size_t budget_bytes = size_bytes + UNPACK_EXTRA_BYTES;
	ProtobufCAllocator allocator = {
		.alloc = budget_alloc,
		.free = budget_free,
		.allocator_data = &budget_bytes,
	};
	Peer__Envelope *envelope;
	peer_message_t *message;

	if (size_bytes > PEER_MESSAGE_SIZE_BYTES_MAX)
		return NULL;
	envelope = peer__envelope__unpack(&allocator, size_bytes, bytes);
	if (!envelope)
		return NULL;
	message = unpacked_is_whole(&envelope->base, size_bytes) ?
			  decode_envelope(envelope) :
			  NULL;
	peer__envelope__free_unpacked(envelope, &allocator);
	return message;
}
