#include "protocol/peer_message.h"

#include "protocol/peer.pb-c.h"

typedef GBytes *(*encode_t)(const peer_message_t *message,
			    Peer__Envelope *envelope);

peer_message_t *peer_message_new(peer_message_kind_t kind)
{
	peer_message_t *message = g_new0(peer_message_t, 1);

	message->kind = kind;
	if (kind == PEER_MESSAGE_HEARTBEAT)
		message->heartbeat = g_new0(peer_heartbeat_t, 1);
	return message;
}

void peer_message_delete(peer_message_t *message)
{
	if (!message)
		return;
	g_free(message->heartbeat);
	request_delete(message->request);
	g_clear_pointer(&message->bytes, g_bytes_unref);
	g_free(message);
}

/* Wire structures borrow the message's data; packing only reads them. */

static char *borrow(const char *string)
{
	return (char *)(string ? string : "");
}

static ProtobufCBinaryData borrow_bytes(GBytes *bytes)
{
	ProtobufCBinaryData data = {0};

	if (bytes)
		data.data = (uint8_t *)g_bytes_get_data(bytes, &data.len);
	return data;
}

static void encode_member(const member_record_t *record, Peer__Member *wire)
{
	const member_t *member = &record->member;

	peer__member__init(wire);
	wire->name = borrow(member->name);
	wire->address = borrow(member->address);
	wire->peer_port = member->peer_port;
	wire->failure_domain = borrow(member->failure_domain);
	wire->region = borrow(member->region);
	wire->incarnation = member->incarnation;
	wire->version = record->version;
	wire->state = member->state;
	wire->leaving = record->leaving;
	wire->settled = member->settled;
}

static GBytes *pack(const Peer__Envelope *envelope)
{
	size_t size_bytes = peer__envelope__get_packed_size(envelope);
	uint8_t *bytes = g_malloc(size_bytes);

	peer__envelope__pack(envelope, bytes);
	return g_bytes_new_take(bytes, size_bytes);
}

static GBytes *encode_heartbeat(const peer_message_t *message,
				Peer__Envelope *envelope)
{
	const peer_heartbeat_t *heartbeat = message->heartbeat;
	Peer__Member members[PEER_MESSAGE_MEMBERS_MAX];
	Peer__Member *pointers[PEER_MESSAGE_MEMBERS_MAX];
	Peer__Heartbeat wire = PEER__HEARTBEAT__INIT;

	g_assert(heartbeat->members_count &&
		 heartbeat->members_count <= PEER_MESSAGE_MEMBERS_MAX);
	for (uint32_t i = 0; i < heartbeat->members_count; i++) {
		encode_member(&heartbeat->members[i], &members[i]);
		pointers[i] = &members[i];
	}
	/* The first record is the sender's; the envelope holds its name. */
	members[0].name = borrow(NULL);
	members[0].incarnation = 0;
	wire.members_digest = heartbeat->members_digest;
	wire.digest.data = (uint8_t *)heartbeat->digest;
	wire.digest.len = heartbeat->digest_size_bytes;
	wire.wants_reply = heartbeat->wants_reply;
	wire.members = pointers;
	wire.n_members = heartbeat->members_count;
	envelope->body_case = PEER__ENVELOPE__BODY_HEARTBEAT;
	envelope->heartbeat = &wire;
	return pack(envelope);
}

static void encode_point(log_point_t point, Peer__Point *wire)
{
	peer__point__init(wire);
	wire->term = point.term;
	wire->position = point.position;
}

static GBytes *encode_request(const peer_message_t *message,
			      Peer__Envelope *envelope)
{
	const request_t *request = message->request;
	Peer__Request wire = PEER__REQUEST__INIT;
	Peer__Point at_least;

	encode_point(request->at_least, &at_least);
	wire.call_id = message->call_id;
	wire.request_id = request->request_id;
	wire.session_id = request->session_id;
	wire.lease_id = request->lease_id;
	wire.database = borrow(request->database);
	wire.server = borrow(request->server);
	wire.tenant = borrow(request->tenant);
	wire.class_index = request->class_index;
	wire.kind = request->kind;
	wire.term = request->term;
	wire.at_least = &at_least;
	wire.max_age_ms = request->max_age_ms;
	wire.timeout_ms = request->timeout_ms;
	wire.has_request_key = request->request_key != NULL;
	wire.request_key = borrow(request->request_key);
	wire.bytes = borrow_bytes(request->bytes);
	envelope->body_case = PEER__ENVELOPE__BODY_REQUEST;
	envelope->request = &wire;
	return pack(envelope);
}

static GBytes *encode_chunk(const peer_message_t *message,
			    Peer__Envelope *envelope)
{
	Peer__Chunk wire = PEER__CHUNK__INIT;

	wire.call_id = message->call_id;
	wire.index = message->chunk_index;
	wire.continues = message->chunk_continues;
	wire.bytes = borrow_bytes(message->bytes);
	envelope->body_case = PEER__ENVELOPE__BODY_CHUNK;
	envelope->chunk = &wire;
	return pack(envelope);
}

static GBytes *encode_end(const peer_message_t *message,
			  Peer__Envelope *envelope)
{
	const answer_t *answer = &message->answer;
	Peer__End wire = PEER__END__INIT;
	Peer__Point point;

	encode_point(answer->point, &point);
	wire.call_id = message->call_id;
	wire.chunks_count = message->chunks_count;
	wire.outcome = answer->outcome;
	wire.reason = answer->reason;
	wire.transaction_status = (uint8_t)answer->transaction_status;
	wire.lease_id = answer->lease_id;
	wire.point = &point;
	wire.primary_term = answer->primary_term;
	wire.primary = borrow(answer->primary);
	envelope->body_case = PEER__ENVELOPE__BODY_END;
	envelope->end = &wire;
	return pack(envelope);
}

static GBytes *encode_cancel(const peer_message_t *message,
			     Peer__Envelope *envelope)
{
	Peer__Cancel wire = PEER__CANCEL__INIT;

	wire.call_id = message->call_id;
	envelope->body_case = PEER__ENVELOPE__BODY_CANCEL;
	envelope->cancel = &wire;
	return pack(envelope);
}

static GBytes *encode_inquiry(const peer_message_t *message,
			      Peer__Envelope *envelope)
{
	Peer__Inquiry wire = PEER__INQUIRY__INIT;

	wire.call_id = message->call_id;
	envelope->body_case = PEER__ENVELOPE__BODY_INQUIRY;
	envelope->inquiry = &wire;
	return pack(envelope);
}

static GBytes *encode_release(const peer_message_t *message,
			      Peer__Envelope *envelope)
{
	Peer__Release wire = PEER__RELEASE__INIT;

	wire.lease_id = message->lease_id;
	envelope->body_case = PEER__ENVELOPE__BODY_RELEASE;
	envelope->release = &wire;
	return pack(envelope);
}

static GBytes *encode_note(const peer_message_t *message,
			   Peer__Envelope *envelope)
{
	Peer__Note wire = PEER__NOTE__INIT;

	wire.kind = message->note_kind;
	wire.bytes = borrow_bytes(message->bytes);
	envelope->body_case = PEER__ENVELOPE__BODY_NOTE;
	envelope->note = &wire;
	return pack(envelope);
}

GBytes *peer_message_encode(const peer_message_t *message)
{
	static const encode_t encoders[PEER_MESSAGE_KIND_COUNT] = {
		[PEER_MESSAGE_HEARTBEAT] = encode_heartbeat,
		[PEER_MESSAGE_REQUEST] = encode_request,
		[PEER_MESSAGE_CHUNK] = encode_chunk,
		[PEER_MESSAGE_END] = encode_end,
		[PEER_MESSAGE_CANCEL] = encode_cancel,
		[PEER_MESSAGE_INQUIRY] = encode_inquiry,
		[PEER_MESSAGE_RELEASE] = encode_release,
		[PEER_MESSAGE_NOTE] = encode_note,
	};
	Peer__Envelope envelope = PEER__ENVELOPE__INIT;

	g_assert(message->kind < PEER_MESSAGE_KIND_COUNT);
	envelope.sender = borrow(message->sender);
	envelope.incarnation = message->incarnation;
	envelope.receiver_incarnation = message->receiver_incarnation;
	envelope.sequence = message->sequence;
	return encoders[message->kind](message, &envelope);
}
