#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include "daemon/peer_calls.h"
#include "daemon/peer_served.h"

#define OWN_INCARNATION 100
#define PEER_INCARNATION 200
#define NOW_MS 1000
#define TIMEOUT_MS 5000

/* The calling and the serving side, connected without a network. */
typedef struct {
	peer_calls_t *calls;
	peer_served_t *served;
	bool is_queued; /* sent messages stay in the queue */
	uint64_t call_id;
	uint32_t cancels_sent;
	uint32_t inquiries_sent;
	uint64_t released;
	uint32_t ends_count;
	answer_t answer;
	GString *body;
	uint32_t requests_count;
	answer_sink_t sink;
	GPtrArray *answers; /* peer_message_t sent by the serving side */
} fixture_t;

static peer_message_t *copy_message(const peer_message_t *message)
{
	peer_message_t *copy = peer_message_new(message->kind);

	*copy = *message;
	copy->request = NULL;
	copy->heartbeat = NULL;
	if (message->bytes)
		g_bytes_ref(copy->bytes);
	g_strlcpy(copy->sender, "owner", sizeof(copy->sender));
	copy->incarnation = PEER_INCARNATION;
	return copy;
}

static bool on_send(void *context, const char *node,
		    const peer_message_t *message)
{
	fixture_t *fixture = context;

	if (message->kind == PEER_MESSAGE_REQUEST)
		fixture->call_id = message->call_id;
	if (message->kind == PEER_MESSAGE_CANCEL)
		fixture->cancels_sent++;
	if (message->kind == PEER_MESSAGE_INQUIRY)
		fixture->inquiries_sent++;
	if (message->kind == PEER_MESSAGE_RELEASE)
		fixture->released = message->lease_id;
	return true;
}

static bool on_withdraw(void *context, const char *node, uint64_t call_id)
{
	return ((fixture_t *)context)->is_queued;
}

static bool on_answer(void *context, const char *node,
		      const peer_message_t *message)
{
	g_ptr_array_add(((fixture_t *)context)->answers, copy_message(message));
	return true;
}

static void on_request(void *context, const char *from,
		       const request_t *request, answer_sink_t sink)
{
	fixture_t *fixture = context;

	fixture->requests_count++;
	fixture->sink = sink;
}

static void on_cancel(void *context, uint64_t request_id, void *sink_context)
{
}

static void on_release(void *context, uint64_t lease_id)
{
	((fixture_t *)context)->released = lease_id;
}

static void on_chunk(void *context, uint64_t request_id, GBytes *bytes)
{
	fixture_t *fixture = context;
	gsize size_bytes;
	const char *data = g_bytes_get_data(bytes, &size_bytes);

	g_string_append_len(fixture->body, data, (gssize)size_bytes);
}

static void on_end(void *context, uint64_t request_id, const answer_t *answer)
{
	fixture_t *fixture = context;

	fixture->ends_count++;
	fixture->answer = *answer;
}

static int set_up(void **state)
{
	fixture_t *fixture = g_new0(fixture_t, 1);
	const peer_calls_link_t link = {
		.send = on_send, .withdraw = on_withdraw, .context = fixture};
	const peer_served_link_t served_link = {.send = on_answer,
						.context = fixture};
	const peers_handlers_t handlers = {
		.request = on_request,
		.cancel = on_cancel,
		.release = on_release,
		.context = fixture,
	};

	fixture->calls = peer_calls_create(link);
	fixture->served = peer_served_create(served_link, &handlers);
	fixture->body = g_string_new(NULL);
	fixture->answers = g_ptr_array_new_with_free_func(
		(GDestroyNotify)peer_message_delete);
	*state = fixture;
	return 0;
}

static int tear_down(void **state)
{
	fixture_t *fixture = *state;

	peer_calls_destroy(fixture->calls);
	peer_served_destroy(fixture->served);
	g_string_free(fixture->body, TRUE);
	g_ptr_array_unref(fixture->answers);
	g_free(fixture);
	return 0;
}

static void submit(fixture_t *fixture, request_kind_t kind)
{
	g_autoptr(request_t) request = request_new();
	const answer_sink_t sink = {
		.chunk = on_chunk, .end = on_end, .context = fixture};

	request->request_id = 9;
	request->kind = kind;
	request->timeout_ms = TIMEOUT_MS;
	fixture->ends_count = 0;
	peer_calls_submit(fixture->calls, "owner", OWN_INCARNATION,
			  PEER_INCARNATION, request, sink, NOW_MS);
}

static peer_message_t *new_answer(const fixture_t *fixture,
				  peer_message_kind_t kind)
{
	peer_message_t *message = peer_message_new(kind);

	strcpy(message->sender, "owner");
	message->incarnation = PEER_INCARNATION;
	message->receiver_incarnation = OWN_INCARNATION;
	message->call_id = fixture->call_id;
	return message;
}

static void deliver_chunk(fixture_t *fixture, uint32_t index, const char *text)
{
	g_autoptr(peer_message_t) message =
		new_answer(fixture, PEER_MESSAGE_CHUNK);

	message->chunk_index = index;
	message->bytes = g_bytes_new(text, strlen(text));
	peer_calls_answer(fixture->calls, message, NOW_MS);
}

static void deliver_end(fixture_t *fixture, uint32_t chunks_count,
			uint64_t lease_id)
{
	g_autoptr(peer_message_t) message =
		new_answer(fixture, PEER_MESSAGE_END);

	message->chunks_count = chunks_count;
	message->answer.outcome = OUTCOME_DONE;
	message->answer.lease_id = lease_id;
	peer_calls_answer(fixture->calls, message, NOW_MS);
}

static void test_chunk_that_comes_twice_is_dropped(void **state)
{
	fixture_t *fixture = *state;

	submit(fixture, REQUEST_READ);
	deliver_chunk(fixture, 0, "a");
	deliver_chunk(fixture, 0, "a");
	deliver_chunk(fixture, 1, "b");
	deliver_end(fixture, 2, 0);
	deliver_end(fixture, 2, 0);
	assert_string_equal(fixture->body->str, "ab");
	assert_int_equal(fixture->ends_count, 1);
	assert_int_equal(fixture->answer.outcome, OUTCOME_DONE);
	assert_int_equal(peer_calls_drops(fixture->calls).duplicate_count, 1);
	assert_int_equal(peer_calls_drops(fixture->calls).late_count, 1);
}

static void test_answer_with_a_gap_is_not_reported_as_complete(void **state)
{
	fixture_t *fixture = *state;

	submit(fixture, REQUEST_WRITE);
	deliver_chunk(fixture, 0, "a");
	deliver_chunk(fixture, 2, "c");
	deliver_end(fixture, 3, 5);
	peer_calls_run(fixture->calls, NOW_MS);
	assert_int_equal(fixture->ends_count, 1);
	assert_int_equal(fixture->answer.outcome, OUTCOME_UNKNOWN);
	assert_string_equal(fixture->body->str, "a");
	assert_int_equal(fixture->released, 5);

	submit(fixture, REQUEST_WRITE);
	deliver_end(fixture, 1, 0);
	peer_calls_run(fixture->calls, NOW_MS);
	assert_int_equal(fixture->answer.outcome, OUTCOME_UNKNOWN);
}

static void deliver_mismatched_end(fixture_t *fixture, const char *sender,
				   uint64_t incarnation, uint64_t own)
{
	g_autoptr(peer_message_t) message =
		new_answer(fixture, PEER_MESSAGE_END);

	g_strlcpy(message->sender, sender, sizeof(message->sender));
	message->incarnation = incarnation;
	message->receiver_incarnation = own;
	peer_calls_answer(fixture->calls, message, NOW_MS);
}

static void test_answer_of_other_incarnation_or_node_is_dropped(void **state)
{
	fixture_t *fixture = *state;

	submit(fixture, REQUEST_READ);
	deliver_mismatched_end(fixture, "other", PEER_INCARNATION,
			       OWN_INCARNATION);
	deliver_mismatched_end(fixture, "owner", PEER_INCARNATION - 1,
			       OWN_INCARNATION);
	deliver_mismatched_end(fixture, "owner", PEER_INCARNATION,
			       OWN_INCARNATION - 1);
	assert_int_equal(fixture->ends_count, 0);
	assert_int_equal(peer_calls_drops(fixture->calls).late_count, 3);
	deliver_end(fixture, 0, 0);
	assert_int_equal(fixture->ends_count, 1);
}

static void test_read_delivered_in_part_is_not_retried(void **state)
{
	fixture_t *fixture = *state;

	submit(fixture, REQUEST_READ);
	deliver_chunk(fixture, 0, "a");
	peer_calls_peer_changed(fixture->calls, "owner", 0);
	assert_int_equal(fixture->ends_count, 0);
	peer_calls_run(fixture->calls, NOW_MS);
	assert_int_equal(fixture->answer.outcome, OUTCOME_UNKNOWN);
}

static void test_deadline_ends_an_unanswered_request(void **state)
{
	fixture_t *fixture = *state;

	submit(fixture, REQUEST_WRITE);
	peer_calls_run(fixture->calls, NOW_MS + TIMEOUT_MS);
	assert_int_equal(fixture->ends_count, 0);
	peer_calls_run(fixture->calls, NOW_MS + 2 * TIMEOUT_MS);
	assert_int_equal(fixture->ends_count, 1);
	assert_int_equal(fixture->answer.outcome, OUTCOME_UNKNOWN);
	assert_int_equal(fixture->answer.reason, REASON_DEADLINE);
	assert_int_equal(fixture->cancels_sent, 1);
	deliver_end(fixture, 0, 6);
	assert_int_equal(fixture->ends_count, 1);
	assert_int_equal(fixture->released, 6);
}

static void test_write_still_queued_when_its_owner_dies_is_not_run(void **state)
{
	fixture_t *fixture = *state;

	fixture->is_queued = true;
	submit(fixture, REQUEST_WRITE);
	peer_calls_peer_changed(fixture->calls, "owner", 0);
	peer_calls_run(fixture->calls, NOW_MS);
	assert_int_equal(fixture->answer.outcome, OUTCOME_NOT_RUN);
	assert_int_equal(fixture->cancels_sent, 0);
}

static void serve_request(fixture_t *fixture, uint64_t call_id,
			  uint64_t incarnation)
{
	g_autoptr(peer_message_t) message =
		peer_message_new(PEER_MESSAGE_REQUEST);

	strcpy(message->sender, "entry");
	message->incarnation = incarnation;
	message->call_id = call_id;
	message->request = request_new();
	peer_served_request(fixture->served, message);
}

static void test_request_that_comes_twice_runs_once(void **state)
{
	fixture_t *fixture = *state;
	const answer_t done = {.outcome = OUTCOME_DONE};

	serve_request(fixture, 1, OWN_INCARNATION);
	serve_request(fixture, 3, OWN_INCARNATION);
	fixture->sink.end(fixture->sink.context, 0, &done);
	serve_request(fixture, 3, OWN_INCARNATION);
	serve_request(fixture, 1, OWN_INCARNATION);
	assert_int_equal(fixture->requests_count, 2);
	serve_request(fixture, 2, OWN_INCARNATION);
	assert_int_equal(fixture->requests_count, 3);
	serve_request(fixture, 1000000, OWN_INCARNATION);
	serve_request(fixture, 2, OWN_INCARNATION);
	assert_int_equal(fixture->requests_count, 4);
	assert_int_equal(peer_served_duplicates(fixture->served), 3);

	peer_served_peer_changed(fixture->served, "entry", OWN_INCARNATION + 1,
				 NOW_MS);
	serve_request(fixture, 1, OWN_INCARNATION + 1);
	assert_int_equal(fixture->requests_count, 5);
	serve_request(fixture, 5, OWN_INCARNATION);
	assert_int_equal(fixture->requests_count, 5);
}

/* Delivers the inquiry to the owner and its reply to the caller. */
static void exchange_inquiry(fixture_t *fixture)
{
	g_autoptr(peer_message_t) message =
		peer_message_new(PEER_MESSAGE_INQUIRY);

	peer_calls_run(fixture->calls, NOW_MS + 1500);
	assert_int_equal(fixture->inquiries_sent, 1);
	strcpy(message->sender, "entry");
	message->incarnation = OWN_INCARNATION;
	message->call_id = fixture->call_id;
	peer_served_inquiry(fixture->served, message);
	for (guint i = 0; i < fixture->answers->len; i++)
		peer_calls_answer(fixture->calls, fixture->answers->pdata[i],
				  NOW_MS);
}

static void test_request_lost_in_transit_is_not_run(void **state)
{
	fixture_t *fixture = *state;

	submit(fixture, REQUEST_WRITE);
	exchange_inquiry(fixture);
	assert_int_equal(fixture->ends_count, 1);
	assert_int_equal(fixture->answer.outcome, OUTCOME_NOT_RUN);
	serve_request(fixture, fixture->call_id, OWN_INCARNATION);
	assert_int_equal(fixture->requests_count, 0);
}

static void test_request_that_runs_is_waited_for(void **state)
{
	fixture_t *fixture = *state;

	submit(fixture, REQUEST_WRITE);
	serve_request(fixture, fixture->call_id, OWN_INCARNATION);
	exchange_inquiry(fixture);
	assert_int_equal(fixture->ends_count, 0);
}

static void lose_answer(fixture_t *fixture, request_kind_t kind,
			outcome_t expected)
{
	const answer_t done = {.outcome = OUTCOME_DONE};

	submit(fixture, kind);
	serve_request(fixture, fixture->call_id, OWN_INCARNATION);
	fixture->sink.end(fixture->sink.context, 0, &done);
	g_ptr_array_set_size(fixture->answers, 0);
	fixture->inquiries_sent = 0;
	exchange_inquiry(fixture);
	assert_int_equal(fixture->ends_count, 1);
	assert_int_equal(fixture->answer.outcome, expected);
	g_ptr_array_set_size(fixture->answers, 0);
}

static void test_lost_answer_is_unknown_except_for_reads(void **state)
{
	lose_answer(*state, REQUEST_WRITE, OUTCOME_UNKNOWN);
	lose_answer(*state, REQUEST_READ, OUTCOME_NOT_RUN);
}

static void test_answer_to_a_cancelled_request_is_not_sent(void **state)
{
	fixture_t *fixture = *state;
	const answer_t with_lease = {.outcome = OUTCOME_DONE, .lease_id = 8};

	serve_request(fixture, 1, OWN_INCARNATION);
	peer_served_peer_changed(fixture->served, "entry", 0, NOW_MS);
	fixture->sink.end(fixture->sink.context, 0, &with_lease);
	assert_int_equal(fixture->answers->len, 0);
	assert_int_equal(fixture->released, 8);
	assert_int_equal(peer_served_count(fixture->served), 0);
}

static void test_large_chunk_travels_in_parts(void **state)
{
	fixture_t *fixture = *state;
	static char data[3 * PEER_SERVED_PART_BYTES / 2];
	g_autoptr(GBytes) chunk = NULL;
	const answer_t done = {.outcome = OUTCOME_DONE};

	memset(data, 'x', sizeof(data));
	chunk = g_bytes_new_static(data, sizeof(data));
	submit(fixture, REQUEST_READ);
	serve_request(fixture, fixture->call_id, OWN_INCARNATION);
	fixture->sink.chunk(fixture->sink.context, 0, chunk);
	fixture->sink.end(fixture->sink.context, 0, &done);
	assert_int_equal(fixture->answers->len, 3);
	peer_calls_answer(fixture->calls, fixture->answers->pdata[0], NOW_MS);
	assert_int_equal(fixture->body->len, 0);
	peer_calls_answer(fixture->calls, fixture->answers->pdata[1], NOW_MS);
	assert_int_equal(fixture->body->len, sizeof(data));
	peer_calls_answer(fixture->calls, fixture->answers->pdata[2], NOW_MS);
	assert_int_equal(fixture->answer.outcome, OUTCOME_DONE);
}

#define TEST(name) cmocka_unit_test_setup_teardown(name, set_up, tear_down)

int main(void)
{
	const struct CMUnitTest tests[] = {
		TEST(test_chunk_that_comes_twice_is_dropped),
		TEST(test_answer_with_a_gap_is_not_reported_as_complete),
		TEST(test_answer_of_other_incarnation_or_node_is_dropped),
		TEST(test_read_delivered_in_part_is_not_retried),
		TEST(test_deadline_ends_an_unanswered_request),
		TEST(test_write_still_queued_when_its_owner_dies_is_not_run),
		TEST(test_request_that_comes_twice_runs_once),
		TEST(test_request_lost_in_transit_is_not_run),
		TEST(test_request_that_runs_is_waited_for),
		TEST(test_lost_answer_is_unknown_except_for_reads),
		TEST(test_answer_to_a_cancelled_request_is_not_sent),
		TEST(test_large_chunk_travels_in_parts),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
