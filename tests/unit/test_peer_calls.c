#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include "daemon/peer_calls.h"
#include "daemon/peer_served.h"

#define OWN 100
#define PEER 200
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
} rig_t;

static peer_message_t *copy_message(const peer_message_t *message)
{
	peer_message_t *copy = peer_message_new(message->kind);

	*copy = *message;
	copy->request = NULL;
	copy->heartbeat = NULL;
	if (message->bytes)
		g_bytes_ref(copy->bytes);
	g_strlcpy(copy->sender, "owner", sizeof(copy->sender));
	copy->incarnation = PEER;
	return copy;
}

static bool on_send(void *context, const char *node,
		    const peer_message_t *message)
{
	rig_t *rig = context;

	if (message->kind == PEER_MESSAGE_REQUEST)
		rig->call_id = message->call_id;
	if (message->kind == PEER_MESSAGE_CANCEL)
		rig->cancels_sent++;
	if (message->kind == PEER_MESSAGE_INQUIRY)
		rig->inquiries_sent++;
	if (message->kind == PEER_MESSAGE_RELEASE)
		rig->released = message->lease_id;
	return true;
}

static bool on_withdraw(void *context, const char *node, uint64_t call_id)
{
	return ((rig_t *)context)->is_queued;
}

static bool on_answer(void *context, const char *node,
		      const peer_message_t *message)
{
	g_ptr_array_add(((rig_t *)context)->answers, copy_message(message));
	return true;
}

static void on_request(void *context, const char *from,
		       const request_t *request, answer_sink_t sink)
{
	rig_t *rig = context;

	rig->requests_count++;
	rig->sink = sink;
}

static void on_cancel(void *context, uint64_t request_id, void *sink_context)
{
}

static void on_release(void *context, uint64_t lease_id)
{
	((rig_t *)context)->released = lease_id;
}

static void on_chunk(void *context, uint64_t request_id, GBytes *bytes)
{
	rig_t *rig = context;
	gsize size_bytes;
	const char *data = g_bytes_get_data(bytes, &size_bytes);

	g_string_append_len(rig->body, data, (gssize)size_bytes);
}

static void on_end(void *context, uint64_t request_id, const answer_t *answer)
{
	rig_t *rig = context;

	rig->ends_count++;
	rig->answer = *answer;
}

static int set_up(void **state)
{
	rig_t *rig = g_new0(rig_t, 1);
	const peer_calls_link_t link = {
		.send = on_send, .withdraw = on_withdraw, .context = rig};
	const peer_served_link_t served_link = {.send = on_answer,
						.context = rig};
	const peers_handlers_t handlers = {
		.request = on_request,
		.cancel = on_cancel,
		.release = on_release,
		.context = rig,
	};

	rig->calls = peer_calls_create(link);
	rig->served = peer_served_create(served_link, &handlers);
	rig->body = g_string_new(NULL);
	rig->answers = g_ptr_array_new_with_free_func(
		(GDestroyNotify)peer_message_delete);
	*state = rig;
	return 0;
}

static int tear_down(void **state)
{
	rig_t *rig = *state;

	peer_calls_destroy(rig->calls);
	peer_served_destroy(rig->served);
	g_string_free(rig->body, TRUE);
	g_ptr_array_unref(rig->answers);
	g_free(rig);
	return 0;
}

static void submit(rig_t *rig, request_kind_t kind)
{
	g_autoptr(request_t) request = request_new();
	const answer_sink_t sink = {
		.chunk = on_chunk, .end = on_end, .context = rig};

	request->request_id = 9;
	request->kind = kind;
	request->timeout_ms = TIMEOUT_MS;
	rig->ends_count = 0;
	peer_calls_submit(rig->calls, "owner", OWN, PEER, request, sink,
			  NOW_MS);
}

static peer_message_t *new_answer(const rig_t *rig, peer_message_kind_t kind)
{
	peer_message_t *message = peer_message_new(kind);

	strcpy(message->sender, "owner");
	message->incarnation = PEER;
	message->receiver_incarnation = OWN;
	message->call_id = rig->call_id;
	return message;
}

static void give_chunk(rig_t *rig, uint32_t index, const char *text)
{
	g_autoptr(peer_message_t) message = new_answer(rig, PEER_MESSAGE_CHUNK);

	message->chunk_index = index;
	message->bytes = g_bytes_new(text, strlen(text));
	peer_calls_answer(rig->calls, message, NOW_MS);
}

static void give_end(rig_t *rig, uint32_t chunks_count, uint64_t lease_id)
{
	g_autoptr(peer_message_t) message = new_answer(rig, PEER_MESSAGE_END);

	message->chunks_count = chunks_count;
	message->answer.outcome = OUTCOME_DONE;
	message->answer.lease_id = lease_id;
	peer_calls_answer(rig->calls, message, NOW_MS);
}

static void test_chunk_that_comes_twice_is_dropped(void **state)
{
	rig_t *rig = *state;

	submit(rig, REQUEST_READ);
	give_chunk(rig, 0, "a");
	give_chunk(rig, 0, "a");
	give_chunk(rig, 1, "b");
	give_end(rig, 2, 0);
	give_end(rig, 2, 0);
	assert_string_equal(rig->body->str, "ab");
	assert_int_equal(rig->ends_count, 1);
	assert_int_equal(rig->answer.outcome, OUTCOME_DONE);
	assert_int_equal(peer_calls_drops(rig->calls).twice_count, 1);
	assert_int_equal(peer_calls_drops(rig->calls).late_count, 1);
}

static void test_answer_with_a_gap_is_not_passed_as_whole(void **state)
{
	rig_t *rig = *state;

	submit(rig, REQUEST_WRITE);
	give_chunk(rig, 0, "a");
	give_chunk(rig, 2, "c");
	give_end(rig, 3, 5);
	peer_calls_run(rig->calls, NOW_MS);
	assert_int_equal(rig->ends_count, 1);
	assert_int_equal(rig->answer.outcome, OUTCOME_UNKNOWN);
	assert_string_equal(rig->body->str, "a");
	assert_int_equal(rig->released, 5);

	submit(rig, REQUEST_WRITE);
	give_end(rig, 1, 0);
	peer_calls_run(rig->calls, NOW_MS);
	assert_int_equal(rig->answer.outcome, OUTCOME_UNKNOWN);
}

static void give_wrong(rig_t *rig, const char *sender, uint64_t incarnation,
		       uint64_t own)
{
	g_autoptr(peer_message_t) message = new_answer(rig, PEER_MESSAGE_END);

	g_strlcpy(message->sender, sender, sizeof(message->sender));
	message->incarnation = incarnation;
	message->receiver_incarnation = own;
	peer_calls_answer(rig->calls, message, NOW_MS);
}

static void test_answer_of_another_time_or_node_is_dropped(void **state)
{
	rig_t *rig = *state;

	submit(rig, REQUEST_READ);
	give_wrong(rig, "other", PEER, OWN);
	give_wrong(rig, "owner", PEER - 1, OWN);
	give_wrong(rig, "owner", PEER, OWN - 1);
	assert_int_equal(rig->ends_count, 0);
	assert_int_equal(peer_calls_drops(rig->calls).late_count, 3);
	give_end(rig, 0, 0);
	assert_int_equal(rig->ends_count, 1);
}

static void test_read_delivered_in_part_is_not_retried(void **state)
{
	rig_t *rig = *state;

	submit(rig, REQUEST_READ);
	give_chunk(rig, 0, "a");
	peer_calls_peer_changed(rig->calls, "owner", 0);
	assert_int_equal(rig->ends_count, 0);
	peer_calls_run(rig->calls, NOW_MS);
	assert_int_equal(rig->answer.outcome, OUTCOME_UNKNOWN);
}

static void test_deadline_ends_what_hangs(void **state)
{
	rig_t *rig = *state;

	submit(rig, REQUEST_WRITE);
	peer_calls_run(rig->calls, NOW_MS + TIMEOUT_MS);
	assert_int_equal(rig->ends_count, 0);
	peer_calls_run(rig->calls, NOW_MS + 2 * TIMEOUT_MS);
	assert_int_equal(rig->ends_count, 1);
	assert_int_equal(rig->answer.outcome, OUTCOME_UNKNOWN);
	assert_int_equal(rig->answer.reason, REASON_DEADLINE);
	assert_int_equal(rig->cancels_sent, 1);
	give_end(rig, 0, 6);
	assert_int_equal(rig->ends_count, 1);
	assert_int_equal(rig->released, 6);
}

static void test_write_still_queued_when_its_owner_dies_is_not_run(void **state)
{
	rig_t *rig = *state;

	rig->is_queued = true;
	submit(rig, REQUEST_WRITE);
	peer_calls_peer_changed(rig->calls, "owner", 0);
	peer_calls_run(rig->calls, NOW_MS);
	assert_int_equal(rig->answer.outcome, OUTCOME_NOT_RUN);
	assert_int_equal(rig->cancels_sent, 0);
}

static void serve(rig_t *rig, uint64_t call_id, uint64_t incarnation)
{
	g_autoptr(peer_message_t) message =
		peer_message_new(PEER_MESSAGE_REQUEST);

	strcpy(message->sender, "entry");
	message->incarnation = incarnation;
	message->call_id = call_id;
	message->request = request_new();
	peer_served_request(rig->served, message);
}

static void test_request_that_comes_twice_runs_once(void **state)
{
	rig_t *rig = *state;
	const answer_t done = {.outcome = OUTCOME_DONE};

	serve(rig, 1, OWN);
	serve(rig, 3, OWN);
	rig->sink.end(rig->sink.context, 0, &done);
	serve(rig, 3, OWN);
	serve(rig, 1, OWN);
	assert_int_equal(rig->requests_count, 2);
	serve(rig, 2, OWN);
	assert_int_equal(rig->requests_count, 3);
	serve(rig, 1000000, OWN);
	serve(rig, 2, OWN);
	assert_int_equal(rig->requests_count, 4);
	assert_int_equal(peer_served_duplicates(rig->served), 3);

	peer_served_peer_changed(rig->served, "entry", OWN + 1, NOW_MS);
	serve(rig, 1, OWN + 1);
	assert_int_equal(rig->requests_count, 5);
	serve(rig, 5, OWN);
	assert_int_equal(rig->requests_count, 5);
}

/* Delivers the inquiry to the owner and its reply to the caller. */
static void inquire(rig_t *rig)
{
	g_autoptr(peer_message_t) message =
		peer_message_new(PEER_MESSAGE_INQUIRY);

	peer_calls_run(rig->calls, NOW_MS + 1500);
	assert_int_equal(rig->inquiries_sent, 1);
	strcpy(message->sender, "entry");
	message->incarnation = OWN;
	message->call_id = rig->call_id;
	peer_served_inquiry(rig->served, message);
	for (guint i = 0; i < rig->answers->len; i++)
		peer_calls_answer(rig->calls, rig->answers->pdata[i], NOW_MS);
}

static void test_request_lost_on_its_way_is_not_run(void **state)
{
	rig_t *rig = *state;

	submit(rig, REQUEST_WRITE);
	inquire(rig);
	assert_int_equal(rig->ends_count, 1);
	assert_int_equal(rig->answer.outcome, OUTCOME_NOT_RUN);
	serve(rig, rig->call_id, OWN);
	assert_int_equal(rig->requests_count, 0);
}

static void test_request_that_runs_is_waited_for(void **state)
{
	rig_t *rig = *state;

	submit(rig, REQUEST_WRITE);
	serve(rig, rig->call_id, OWN);
	inquire(rig);
	assert_int_equal(rig->ends_count, 0);
}

static void lose_answer(rig_t *rig, request_kind_t kind, outcome_t expected)
{
	const answer_t done = {.outcome = OUTCOME_DONE};

	submit(rig, kind);
	serve(rig, rig->call_id, OWN);
	rig->sink.end(rig->sink.context, 0, &done);
	g_ptr_array_set_size(rig->answers, 0);
	rig->inquiries_sent = 0;
	inquire(rig);
	assert_int_equal(rig->ends_count, 1);
	assert_int_equal(rig->answer.outcome, expected);
	g_ptr_array_set_size(rig->answers, 0);
}

static void test_lost_answer_is_unknown_except_for_reads(void **state)
{
	lose_answer(*state, REQUEST_WRITE, OUTCOME_UNKNOWN);
	lose_answer(*state, REQUEST_READ, OUTCOME_NOT_RUN);
}

static void test_answer_to_a_cancelled_request_is_not_sent(void **state)
{
	rig_t *rig = *state;
	const answer_t held = {.outcome = OUTCOME_DONE, .lease_id = 8};

	serve(rig, 1, OWN);
	peer_served_peer_changed(rig->served, "entry", 0, NOW_MS);
	rig->sink.end(rig->sink.context, 0, &held);
	assert_int_equal(rig->answers->len, 0);
	assert_int_equal(rig->released, 8);
	assert_int_equal(peer_served_count(rig->served), 0);
}

static void test_large_chunk_travels_in_parts(void **state)
{
	rig_t *rig = *state;
	static char data[3 * PEER_SERVED_PART_BYTES / 2];
	g_autoptr(GBytes) chunk = NULL;
	const answer_t done = {.outcome = OUTCOME_DONE};

	memset(data, 'x', sizeof(data));
	chunk = g_bytes_new_static(data, sizeof(data));
	submit(rig, REQUEST_READ);
	serve(rig, rig->call_id, OWN);
	rig->sink.chunk(rig->sink.context, 0, chunk);
	rig->sink.end(rig->sink.context, 0, &done);
	assert_int_equal(rig->answers->len, 3);
	peer_calls_answer(rig->calls, rig->answers->pdata[0], NOW_MS);
	assert_int_equal(rig->body->len, 0);
	peer_calls_answer(rig->calls, rig->answers->pdata[1], NOW_MS);
	assert_int_equal(rig->body->len, sizeof(data));
	peer_calls_answer(rig->calls, rig->answers->pdata[2], NOW_MS);
	assert_int_equal(rig->answer.outcome, OUTCOME_DONE);
}

#define TEST(name) cmocka_unit_test_setup_teardown(name, set_up, tear_down)

int main(void)
{
	const struct CMUnitTest tests[] = {
		TEST(test_chunk_that_comes_twice_is_dropped),
		TEST(test_answer_with_a_gap_is_not_passed_as_whole),
		TEST(test_answer_of_another_time_or_node_is_dropped),
		TEST(test_read_delivered_in_part_is_not_retried),
		TEST(test_deadline_ends_what_hangs),
		TEST(test_write_still_queued_when_its_owner_dies_is_not_run),
		TEST(test_request_that_comes_twice_runs_once),
		TEST(test_request_lost_on_its_way_is_not_run),
		TEST(test_request_that_runs_is_waited_for),
		TEST(test_lost_answer_is_unknown_except_for_reads),
		TEST(test_answer_to_a_cancelled_request_is_not_sent),
		TEST(test_large_chunk_travels_in_parts),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
