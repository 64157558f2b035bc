#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include <sys/resource.h>

#include <cmocka.h>

#include "protocol/peer_message.h"

#define SEED_DEFAULT 20261204
#define MUTATIONS 20000
#define BYTE_CHANGES_MAX 6
#define UNPACKED_KB_MAX (64 * 1024)

static member_record_t sample_record(const char *name)
{
	member_record_t record = {.version = 7, .leaving = true};

	g_strlcpy(record.member.name, name, sizeof(record.member.name));
	strcpy(record.member.address, "192.0.2.7");
	strcpy(record.member.failure_domain, "akl-a");
	strcpy(record.member.region, "akl");
	record.member.peer_port = 7000;
	record.member.incarnation = UINT64_MAX;
	record.member.state = MEMBER_SUSPECT;
	record.member.settled = true;
	return record;
}

static peer_message_t *sample_heartbeat(void)
{
	peer_message_t *message = peer_message_new(PEER_MESSAGE_HEARTBEAT);

	message->heartbeat->members[0] = sample_record("a1");
	message->heartbeat->members[1] = sample_record("b2");
	message->heartbeat->members[0].member.incarnation = 11;
	message->heartbeat->members_count = 2;
	message->heartbeat->digest_size_bytes = PEER_MESSAGE_DIGEST_BYTES_MAX;
	memset(message->heartbeat->digest, 9, PEER_MESSAGE_DIGEST_BYTES_MAX);
	message->heartbeat->members_digest = 0x123456789abcdefULL;
	return message;
}

static peer_message_t *sample_request(void)
{
	peer_message_t *message = peer_message_new(PEER_MESSAGE_REQUEST);
	request_t *request = request_new();

	message->request = request;
	message->call_id = 77;
	request->request_id = 1;
	request->session_id = 2;
	request->lease_id = 3;
	request->database = g_strdup("d");
	request->server = g_strdup("s");
	request->tenant = g_strdup("t");
	request->class_index = 4;
	request->kind = REQUEST_TRANSACTION;
	request->term = 5;
	request->at_least = (log_point_t){.term = 6, .position = 7};
	request->max_age_ms = 8;
	request->timeout_ms = 9;
	request->request_key = g_strdup("");
	request->bytes = g_bytes_new_static("Q\0\0\0\5", 6);
	return message;
}

static peer_message_t *sample_end(void)
{
	peer_message_t *message = peer_message_new(PEER_MESSAGE_END);

	message->chunks_count = 3;
	message->receiver_incarnation = 12;
	message->answer = (answer_t){
		.outcome = OUTCOME_UNKNOWN,
		.reason = REASON_LOST_ANSWER,
		.transaction_status = 'T',
		.lease_id = 5,
		.point = {.term = 1, .position = 2},
		.primary_term = 3,
		.primary = "s1",
	};
	return message;
}

static peer_message_t *sample_chunk(void)
{
	peer_message_t *message = peer_message_new(PEER_MESSAGE_CHUNK);

	message->chunk_index = 2;
	message->bytes = g_bytes_new_static("abc", 3);
	return message;
}

static peer_message_t *with_sender(peer_message_t *message)
{
	strcpy(message->sender, "a1");
	message->incarnation = 11;
	message->sequence = 13;
	return message;
}

static peer_message_t *round_trip(peer_message_t *message)
{
	g_autoptr(GBytes) bytes = peer_message_encode(message);
	gsize size_bytes;
	const uint8_t *data = g_bytes_get_data(bytes, &size_bytes);

	return peer_message_decode(data, size_bytes);
}

static void test_request_round_trip(void **state)
{
	g_autoptr(peer_message_t) message = with_sender(sample_request());
	g_autoptr(peer_message_t) read = round_trip(message);
	const request_t *request;

	assert_non_null(read);
	request = read->request;
	assert_string_equal(read->sender, "a1");
	assert_int_equal(read->incarnation, 11);
	assert_int_equal(read->sequence, 13);
	assert_int_equal(read->call_id, 77);
	assert_int_equal(request->request_id, 1);
	assert_int_equal(request->session_id, 2);
	assert_int_equal(request->lease_id, 3);
	assert_string_equal(request->database, "d");
	assert_string_equal(request->server, "s");
	assert_string_equal(request->tenant, "t");
	assert_int_equal(request->class_index, 4);
	assert_int_equal(request->kind, REQUEST_TRANSACTION);
	assert_int_equal(request->term, 5);
	assert_int_equal(request->at_least.term, 6);
	assert_int_equal(request->at_least.position, 7);
	assert_int_equal(request->max_age_ms, 8);
	assert_int_equal(request->timeout_ms, 9);
	assert_string_equal(request->request_key, "");
	assert_true(g_bytes_equal(request->bytes, message->request->bytes));
}

static void test_answer_and_heartbeat_round_trip(void **state)
{
	g_autoptr(peer_message_t) end = with_sender(sample_end());
	g_autoptr(peer_message_t) heartbeat = with_sender(sample_heartbeat());
	g_autoptr(peer_message_t) read_end = round_trip(end);
	g_autoptr(peer_message_t) read_heartbeat = round_trip(heartbeat);

	assert_non_null(read_end);
	assert_memory_equal(&read_end->answer, &end->answer,
			    sizeof(end->answer));
	assert_int_equal(read_end->chunks_count, 3);
	assert_int_equal(read_end->receiver_incarnation, 12);
	assert_non_null(read_heartbeat);
	assert_memory_equal(read_heartbeat->heartbeat, heartbeat->heartbeat,
			    sizeof(*heartbeat->heartbeat));
}

/* Replaces one byte of a message that is found once, then decodes it. */
static peer_message_t *decode_changed(peer_message_t *message, char from,
				      char to)
{
	g_autoptr(GBytes) bytes = peer_message_encode(message);
	gsize size_bytes;
	const uint8_t *data = g_bytes_get_data(bytes, &size_bytes);
	g_autofree uint8_t *changed = g_memdup2(data, size_bytes);
	uint8_t *found = memchr(changed, from, size_bytes);

	peer_message_delete(message);
	assert_non_null(found);
	*found = (uint8_t)to;
	assert_null(
		memchr(found, from, size_bytes - (size_t)(found - changed)));
	return peer_message_decode(changed, size_bytes);
}

/* The name was taken up to its NUL byte. */
static void test_names_with_nul_are_rejected(void **state)
{
	for (int place = 0; place < 5; place++) {
		for (int valid = 0; valid < 2; valid++) {
			peer_message_t *message = with_sender(
				place == 4 ? sample_end() : sample_request());
			g_autoptr(peer_message_t) decoded = NULL;
			request_t *request = message->request;

			if (place == 0)
				strcpy(message->sender, "a1~x");
			else if (place == 1)
				request->database = (g_free(request->database),
						     g_strdup("d~x"));
			else if (place == 2)
				request->tenant = (g_free(request->tenant),
						   g_strdup("t~x"));
			else if (place == 3)
				request->request_key =
					(g_free(request->request_key),
					 g_strdup("k~x"));
			else
				strcpy(message->answer.primary, "s~x");
			decoded = decode_changed(message, '~',
						 (char)(valid ? '!' : '\0'));
			assert_true((decoded != NULL) == valid);
		}
	}
}

/* A member with such a name is missing from JSON texts. */
static void test_names_that_are_no_utf8_are_rejected(void **state)
{
	peer_message_t *message = with_sender(sample_heartbeat());
	g_autoptr(peer_message_t) decoded = NULL;

	strcpy(message->heartbeat->members[1].member.region, "akl~");
	decoded = decode_changed(message, '~', '\xff');
	assert_null(decoded);
}

static void test_out_of_bounds_is_rejected(void **state)
{
	g_autoptr(peer_message_t) kind = with_sender(sample_request());
	g_autoptr(peer_message_t) outcome = with_sender(sample_end());
	g_autoptr(peer_message_t) no_sender = sample_chunk();
	g_autoptr(peer_message_t) port = with_sender(sample_heartbeat());
	g_autoptr(peer_message_t) status = with_sender(sample_end());

	kind->request->kind = REQUEST_KIND_COUNT;
	assert_null(round_trip(kind));
	outcome->answer.outcome = 3;
	assert_null(round_trip(outcome));
	assert_null(round_trip(no_sender));
	port->heartbeat->members[1].member.peer_port = 0;
	assert_null(round_trip(port));
	status->answer.transaction_status = 'X';
	assert_null(round_trip(status));
}

static long peak_memory_kb(void)
{
	struct rusage usage;

	getrusage(RUSAGE_SELF, &usage);
	return usage.ru_maxrss;
}

/* Each empty member has two bytes on the wire and some hundred unpacked. */
static void test_unpacking_is_bounded(void **state)
{
	const uint32_t body_bytes = 4 * 1024 * 1024;
	g_autofree uint8_t *bytes = g_malloc0(body_bytes + 8);
	size_t used = 0;
	long before_kb;

	bytes[used++] = 5 << 3 | 2;
	for (uint32_t left = body_bytes; left; left >>= 7)
		bytes[used++] = (left & 0x7f) | (left > 0x7f ? 0x80 : 0);
	for (uint32_t i = 0; i < body_bytes; i += 2)
		bytes[used + i] = 4 << 3 | 2;
	before_kb = peak_memory_kb();
	assert_null(peer_message_decode(bytes, used + body_bytes));
	assert_true(peak_memory_kb() - before_kb < UNPACKED_KB_MAX);
}

static void mutate(GRand *random, GBytes *bytes)
{
	gsize size_bytes;
	const uint8_t *data = g_bytes_get_data(bytes, &size_bytes);
	g_autofree uint8_t *copy = g_memdup2(data, size_bytes);
	gsize truncated_size =
		(gsize)g_rand_int_range(random, 0, (gint32)size_bytes + 1);
	int changes = g_rand_int_range(random, 0, BYTE_CHANGES_MAX);
	g_autoptr(peer_message_t) message = NULL;

	for (int i = 0; i < changes; i++)
		copy[g_rand_int_range(random, 0, (gint32)size_bytes)] =
			(uint8_t)g_rand_int(random);
	message = peer_message_decode(copy,
				      changes ? size_bytes : truncated_size);
	if (!message)
		return;
	assert_true(message->kind < PEER_MESSAGE_KIND_COUNT);
	if (message->heartbeat)
		assert_true(message->heartbeat->members_count <=
			    PEER_MESSAGE_MEMBERS_MAX);
	if (message->request)
		assert_true(message->request->kind < REQUEST_KIND_COUNT);
	assert_true(message->answer.reason < REASON_COUNT);
}

static void test_mutated_messages_decode_within_bounds(void **state)
{
	peer_message_t *(*const samples[])(void) = {
		sample_heartbeat, sample_request, sample_end, sample_chunk};
	const char *seed = getenv("SEED");
	GRand *random = g_rand_new_with_seed(
		seed ? (guint32)strtoul(seed, NULL, 10) : SEED_DEFAULT);

	for (size_t i = 0; i < G_N_ELEMENTS(samples); i++) {
		g_autoptr(peer_message_t) message = with_sender(samples[i]());
		g_autoptr(GBytes) bytes = peer_message_encode(message);

		for (int k = 0; k < MUTATIONS; k++)
			mutate(random, bytes);
	}
	g_rand_free(random);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_request_round_trip),
		cmocka_unit_test(test_answer_and_heartbeat_round_trip),
		cmocka_unit_test(test_names_with_nul_are_rejected),
		cmocka_unit_test(test_names_that_are_no_utf8_are_rejected),
		cmocka_unit_test(test_out_of_bounds_is_rejected),
		cmocka_unit_test(test_unpacking_is_bounded),
		cmocka_unit_test(test_mutated_messages_decode_within_bounds),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
