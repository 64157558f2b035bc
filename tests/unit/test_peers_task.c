#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>
#include <zmq.h>

#include "base/clock.h"
#include "daemon/peers_task.h"
#include "protocol/peer_message.h"

#define NODES_MAX 3
#define WAIT_MS 30000
#define STEP_MS 5
#define KEY_SIZE_BYTES 41
#define LONG_TIMEOUT_MS 60000

/* One node and everything that its handlers received. */
typedef struct {
	struct event_base *base;
	metrics_t *metrics;
	settings_t settings;
	peers_task_t *peers;
	char public_key[KEY_SIZE_BYTES];
	char secret_key[KEY_SIZE_BYTES];
	uint32_t requests_count;
	request_t *request;
	char from[64];
	answer_sink_t sink;
	uint32_t cancels_count;
	uint64_t released;
	GBytes *note;
	uint32_t digests_count;
	answer_t answer;
	GByteArray *body;
	uint32_t ends_count;
} node_t;

typedef struct {
	struct event_base *base;
	char public_key[KEY_SIZE_BYTES];
	char secret_key[KEY_SIZE_BYTES];
	node_t nodes[NODES_MAX];
} rig_t;

static void on_request(void *context, const char *from,
		       const request_t *request, answer_sink_t sink)
{
	node_t *node = context;

	node->requests_count++;
	request_delete(node->request);
	node->request = request_copy(request);
	node->sink = sink;
	g_strlcpy(node->from, from, sizeof(node->from));
}

static void on_cancel(void *context, uint64_t request_id, void *sink_context)
{
	node_t *node = context;

	assert_ptr_equal(sink_context, node->sink.context);
	node->cancels_count++;
}

static void on_release(void *context, uint64_t lease_id)
{
	((node_t *)context)->released = lease_id;
}

static void on_note(void *context, const char *from, peers_note_kind_t kind,
		    const uint8_t *bytes, size_t size_bytes)
{
	node_t *node = context;

	assert_int_equal(kind, PEERS_NOTE_GROUP);
	g_clear_pointer(&node->note, g_bytes_unref);
	node->note = g_bytes_new(bytes, size_bytes);
}

static void on_members(void *context, const member_view_t *view)
{
}

static size_t on_digest(void *context, uint8_t *bytes, size_t limit_bytes)
{
	static const uint8_t digest[] = {'d', 'i', 'g'};

	assert_true(limit_bytes >= sizeof(digest));
	memcpy(bytes, digest, sizeof(digest));
	return sizeof(digest);
}

static void on_digest_seen(void *context, const char *from,
			   const uint8_t *bytes, size_t size_bytes)
{
	node_t *node = context;

	assert_int_equal(size_bytes, 3);
	assert_memory_equal(bytes, "dig", 3);
	node->digests_count++;
}

static void on_chunk(void *context, uint64_t request_id, GBytes *bytes)
{
	node_t *node = context;
	gsize size_bytes;
	const uint8_t *data = g_bytes_get_data(bytes, &size_bytes);

	assert_int_equal(node->ends_count, 0);
	g_byte_array_append(node->body, data, (guint)size_bytes);
}

static void on_end(void *context, uint64_t request_id, const answer_t *answer)
{
	node_t *node = context;

	node->ends_count++;
	node->answer = *answer;
}

static void start_node(node_t *node)
{
	const peers_handlers_t handlers = {
		.request = on_request,
		.cancel = on_cancel,
		.release = on_release,
		.note = on_note,
		.members = on_members,
		.digest = on_digest,
		.digest_seen = on_digest_seen,
		.context = node,
	};
	g_autoptr(GError) error = NULL;

	node->peers = peers_task_create(node->base, node->metrics,
					&node->settings, handlers, &error);
	assert_null(error);
	assert_non_null(node->peers);
}

static void create_node(rig_t *rig, uint32_t index)
{
	node_t *node = &rig->nodes[index];

	node->base = rig->base;
	node->metrics = metrics_create(100);
	node->body = g_byte_array_new();
	g_strlcpy(node->public_key, rig->public_key, KEY_SIZE_BYTES);
	g_strlcpy(node->secret_key, rig->secret_key, KEY_SIZE_BYTES);
	node->settings = (settings_t){
		.node = g_strdup_printf("n%u", index),
		.region = "akl",
		.failure_domain = "akl-a",
		.peers = {.address = "127.0.0.1"},
		.fleet_public_key = node->public_key,
		.fleet_secret_key = node->secret_key,
	};
	start_node(node);
}

static rig_t *create_rig(uint32_t count)
{
	rig_t *rig = g_new0(rig_t, 1);

	rig->base = event_base_new();
	assert_int_equal(zmq_curve_keypair(rig->public_key, rig->secret_key),
			 0);
	for (uint32_t i = 0; i < count; i++)
		create_node(rig, i);
	return rig;
}

static void stop_node(node_t *node)
{
	peers_task_destroy(node->peers);
	node->peers = NULL;
}

static void destroy_rig(rig_t *rig)
{
	for (uint32_t i = 0; i < NODES_MAX; i++) {
		node_t *node = &rig->nodes[i];

		if (!node->base)
			continue;
		stop_node(node);
		metrics_destroy(node->metrics);
		request_delete(node->request);
		g_clear_pointer(&node->note, g_bytes_unref);
		g_byte_array_unref(node->body);
		g_free(node->settings.node);
	}
	event_base_free(rig->base);
	g_free(rig);
}

static const member_t *self_of(const node_t *node)
{
	return member_view_find(peers_task_view(node->peers),
				node->settings.node);
}

/* Gives every node the list of all nodes, as the platform does. */
static void list_nodes(rig_t *rig)
{
	member_t members[NODES_MAX];
	uint32_t count = 0;

	for (uint32_t i = 0; i < NODES_MAX; i++)
		if (rig->nodes[i].peers)
			members[count++] = *self_of(&rig->nodes[i]);
	for (uint32_t i = 0; i < NODES_MAX; i++)
		if (rig->nodes[i].peers)
			peers_task_listed(rig->nodes[i].peers, members, count);
}

typedef bool (*condition_t)(const rig_t *rig);

static void step(rig_t *rig)
{
	const struct timeval delay = {.tv_usec = STEP_MS * 1000};

	event_base_loopexit(rig->base, &delay);
	event_base_dispatch(rig->base);
}

static void wait_for(rig_t *rig, condition_t condition)
{
	const uint64_t until_ms = clock_now_ms() + WAIT_MS;

	while (!condition(rig)) {
		assert_true(clock_now_ms() < until_ms);
		step(rig);
	}
}

static void run_for(rig_t *rig, uint64_t delay_ms)
{
	const uint64_t until_ms = clock_now_ms() + delay_ms;

	while (clock_now_ms() < until_ms)
		step(rig);
}

static member_state_t state_at(const rig_t *rig, uint32_t at, uint32_t of)
{
	const member_t *member =
		member_view_find(peers_task_view(rig->nodes[at].peers),
				 rig->nodes[of].settings.node);

	return member ? member->state : MEMBER_DEAD;
}

static bool all_know_each_other(const rig_t *rig)
{
	for (uint32_t i = 0; i < NODES_MAX; i++)
		for (uint32_t k = 0; k < NODES_MAX; k++) {
			const node_t *at = &rig->nodes[i];
			const node_t *of = &rig->nodes[k];
			const member_t *member;

			if (!at->peers || !of->peers)
				continue;
			member = member_view_find(peers_task_view(at->peers),
						  of->settings.node);
			if (!member || member->state != MEMBER_LIVE ||
			    !member->incarnation)
				return false;
		}
	return true;
}

static bool request_came(const rig_t *rig)
{
	return rig->nodes[1].requests_count > 0;
}

static bool answer_came(const rig_t *rig)
{
	return rig->nodes[0].ends_count > 0;
}

static bool cancel_came(const rig_t *rig)
{
	return rig->nodes[1].cancels_count > 0;
}

static bool release_came(const rig_t *rig)
{
	return rig->nodes[1].released != 0;
}

static bool note_came(const rig_t *rig)
{
	return rig->nodes[1].note && rig->nodes[1].digests_count;
}

static void submit(rig_t *rig, request_kind_t kind, uint64_t lease_id)
{
	node_t *node = &rig->nodes[0];
	g_autoptr(request_t) request = request_new();
	const answer_sink_t sink = {
		.chunk = on_chunk, .end = on_end, .context = node};

	request->request_id = 41;
	request->kind = kind;
	request->lease_id = lease_id;
	request->database = g_strdup("pairings");
	request->server = g_strdup("s1");
	request->tenant = g_strdup("match-core");
	request->timeout_ms = LONG_TIMEOUT_MS;
	request->bytes = g_bytes_new_static("Q\0\0\0\5", 6);
	node->ends_count = 0;
	peers_task_submit(node->peers, "n1", request, sink);
	assert_int_equal(node->ends_count, 0);
}

static rig_t *create_joined_rig(uint32_t count)
{
	rig_t *rig = create_rig(count);

	list_nodes(rig);
	wait_for(rig, all_know_each_other);
	return rig;
}

static void answer(rig_t *rig, const answer_t *answer)
{
	const answer_sink_t *sink = &rig->nodes[1].sink;

	sink->end(sink->context, rig->nodes[1].request->request_id, answer);
}

static void test_request_and_answer_make_the_round(void **state)
{
	rig_t *rig = create_joined_rig(2);
	const answer_t done = {
		.outcome = OUTCOME_DONE,
		.transaction_status = 'I',
		.point = {.term = 3, .position = 9},
		.primary = "s1",
	};
	node_t *owner = &rig->nodes[1];
	g_autoptr(GBytes) row = g_bytes_new_static("row", 3);

	submit(rig, REQUEST_WRITE, 0);
	wait_for(rig, request_came);
	assert_string_equal(owner->from, "n0");
	assert_int_equal(owner->request->request_id, 41);
	assert_string_equal(owner->request->database, "pairings");
	owner->sink.chunk(owner->sink.context, 41, row);
	owner->sink.chunk(owner->sink.context, 41, row);
	answer(rig, &done);
	wait_for(rig, answer_came);
	assert_memory_equal(&rig->nodes[0].answer, &done, sizeof(done));
	assert_int_equal(rig->nodes[0].body->len, 6);
	assert_memory_equal(rig->nodes[0].body->data, "rowrow", 6);
	destroy_rig(rig);
}

static void test_large_answer_comes_whole(void **state)
{
	const guint size_bytes = 10 * 1024 * 1024;
	rig_t *rig = create_joined_rig(2);
	const answer_t done = {.outcome = OUTCOME_DONE};
	g_autofree uint8_t *data = g_malloc(size_bytes);
	g_autoptr(GBytes) rows = NULL;
	const node_t *owner = &rig->nodes[1];

	for (guint i = 0; i < size_bytes; i++)
		data[i] = (uint8_t)(i * 31 + i / 1021);
	rows = g_bytes_new_static(data, size_bytes);
	submit(rig, REQUEST_READ, 0);
	wait_for(rig, request_came);
	owner->sink.chunk(owner->sink.context, 41, rows);
	answer(rig, &done);
	wait_for(rig, answer_came);
	assert_int_equal(rig->nodes[0].answer.outcome, OUTCOME_DONE);
	assert_int_equal(rig->nodes[0].body->len, size_bytes);
	assert_memory_equal(rig->nodes[0].body->data, data, size_bytes);
	destroy_rig(rig);
}

/* The peer receives the request and dies before it answers. */
static void lose_peer(request_kind_t kind, uint64_t lease_id,
		      outcome_t expected)
{
	rig_t *rig = create_joined_rig(2);

	submit(rig, kind, lease_id);
	wait_for(rig, request_came);
	stop_node(&rig->nodes[1]);
	wait_for(rig, answer_came);
	assert_int_equal(rig->nodes[0].answer.outcome, expected);
	assert_int_equal(rig->nodes[0].answer.lease_id, 0);
	run_for(rig, 300);
	assert_int_equal(rig->nodes[0].ends_count, 1);
	destroy_rig(rig);
}

static void test_death_of_the_owner_ends_requests(void **state)
{
	lose_peer(REQUEST_READ, 0, OUTCOME_NOT_RUN);
	lose_peer(REQUEST_WRITE, 0, OUTCOME_UNKNOWN);
	lose_peer(REQUEST_TRANSACTION, 7, OUTCOME_UNKNOWN);
}

static void test_restart_of_the_owner_ends_requests(void **state)
{
	rig_t *rig = create_joined_rig(2);
	node_t *owner = &rig->nodes[1];

	submit(rig, REQUEST_WRITE, 0);
	wait_for(rig, request_came);
	owner->settings.peers.port = self_of(owner)->peer_port;
	stop_node(owner);
	start_node(owner);
	list_nodes(rig);
	wait_for(rig, answer_came);
	assert_int_equal(rig->nodes[0].answer.outcome, OUTCOME_UNKNOWN);
	wait_for(rig, all_know_each_other);
	owner->requests_count = 0;
	submit(rig, REQUEST_READ, 0);
	wait_for(rig, request_came);
	assert_int_equal(owner->requests_count, 1);
	destroy_rig(rig);
}

/* No process listens on the owner's port, so the request is never sent. */
static void test_request_that_never_left_is_not_run(void **state)
{
	rig_t *rig = create_rig(1);
	member_t members[2] = {*self_of(&rig->nodes[0])};

	members[1] = members[0];
	g_strlcpy(members[1].name, "n1", sizeof(members[1].name));
	members[1].peer_port = 1;
	peers_task_listed(rig->nodes[0].peers, members, 2);
	run_for(rig, 20);
	submit(rig, REQUEST_WRITE, 0);
	wait_for(rig, answer_came);
	assert_int_equal(rig->nodes[0].answer.outcome, OUTCOME_NOT_RUN);
	assert_int_equal(rig->nodes[0].answer.reason, REASON_UNREACHABLE);
	destroy_rig(rig);
}

static void test_death_of_the_asker_cancels_and_releases(void **state)
{
	rig_t *rig = create_joined_rig(2);
	const answer_t held = {
		.outcome = OUTCOME_DONE,
		.transaction_status = 'T',
		.lease_id = 77,
	};

	submit(rig, REQUEST_TRANSACTION, 0);
	wait_for(rig, request_came);
	answer(rig, &held);
	wait_for(rig, answer_came);
	assert_int_equal(rig->nodes[0].answer.lease_id, 77);
	rig->nodes[1].requests_count = 0;
	submit(rig, REQUEST_READ, 0);
	wait_for(rig, request_came);
	stop_node(&rig->nodes[0]);
	wait_for(rig, cancel_came);
	wait_for(rig, release_came);
	assert_int_equal(rig->nodes[1].released, 77);
	destroy_rig(rig);
}

static void test_cancel_and_release_reach_the_owner(void **state)
{
	rig_t *rig = create_joined_rig(2);
	const answer_t held = {.outcome = OUTCOME_DONE, .lease_id = 78};

	submit(rig, REQUEST_TRANSACTION, 0);
	wait_for(rig, request_came);
	answer(rig, &held);
	wait_for(rig, answer_came);
	peers_task_release(rig->nodes[0].peers, "n1", 78);
	wait_for(rig, release_came);
	assert_int_equal(rig->nodes[1].released, 78);

	rig->nodes[1].requests_count = 0;
	submit(rig, REQUEST_READ, 0);
	wait_for(rig, request_came);
	peers_task_cancel(rig->nodes[0].peers, 41, &rig->nodes[0]);
	wait_for(rig, cancel_came);
	run_for(rig, 200);
	assert_int_equal(rig->nodes[0].ends_count, 0);
	destroy_rig(rig);
}

/* The owner must release the transaction that a cancelled request began. */
static void test_late_answer_gives_its_lease_back(void **state)
{
	rig_t *rig = create_joined_rig(2);
	const answer_t held = {.outcome = OUTCOME_DONE, .lease_id = 79};

	submit(rig, REQUEST_TRANSACTION, 0);
	wait_for(rig, request_came);
	answer(rig, &held);
	peers_task_cancel(rig->nodes[0].peers, 41, &rig->nodes[0]);
	wait_for(rig, release_came);
	assert_int_equal(rig->nodes[1].released, 79);
	assert_int_equal(rig->nodes[0].ends_count, 0);
	destroy_rig(rig);
}

static int64_t messages_sent(const node_t *node, const char *class)
{
	g_autofree char *labels =
		g_strdup_printf("direction=\"sent\",class=\"%s\"", class);

	return metric_value(metrics_counter(
		node->metrics, "toucanhook_peer_messages_total", labels));
}

static void test_notes_and_digests_arrive(void **state)
{
	rig_t *rig = create_joined_rig(2);

	peers_task_note(rig->nodes[0].peers, "n1", PEERS_NOTE_GROUP,
			(const uint8_t *)"hello", 5);
	wait_for(rig, note_came);
	assert_int_equal(g_bytes_get_size(rig->nodes[1].note), 5);
	assert_int_equal(messages_sent(&rig->nodes[0], "groups"), 1);
	assert_true(messages_sent(&rig->nodes[0], "control") > 0);
	assert_int_equal(messages_sent(&rig->nodes[0], "requests"), 0);
	destroy_rig(rig);
}

static void test_stranger_is_not_let_in(void **state)
{
	rig_t *rig = create_joined_rig(2);
	node_t *stranger = &rig->nodes[2];

	create_node(rig, 2);
	stop_node(stranger);
	assert_int_equal(
		zmq_curve_keypair(stranger->public_key, stranger->secret_key),
		0);
	start_node(stranger);
	list_nodes(rig);
	peers_task_note(stranger->peers, "n1", PEERS_NOTE_GROUP,
			(const uint8_t *)"in", 2);
	run_for(rig, 3000);
	assert_null(rig->nodes[1].note);
	assert_int_equal(state_at(rig, 0, 2), MEMBER_DEAD);
	assert_int_equal(state_at(rig, 0, 1), MEMBER_LIVE);
	destroy_rig(rig);
}

/*
 * A sender that knows the fleet's public key and a valid message, but not the
 * fleet's secret key, must be rejected.
 */
static void test_unknown_key_is_refused(void **state)
{
	rig_t *rig = create_joined_rig(2);
	g_autoptr(peer_message_t) message = peer_message_new(PEER_MESSAGE_NOTE);
	g_autoptr(GBytes) bytes = NULL;
	g_autofree char *endpoint = g_strdup_printf(
		"tcp://127.0.0.1:%u", self_of(&rig->nodes[1])->peer_port);
	char public_key[KEY_SIZE_BYTES];
	char secret_key[KEY_SIZE_BYTES];
	void *zmq_context = zmq_ctx_new();
	void *socket = zmq_socket(zmq_context, ZMQ_DEALER);

	strcpy(message->sender, "n0");
	message->incarnation = self_of(&rig->nodes[0])->incarnation;
	message->bytes = g_bytes_new_static("in", 2);
	bytes = peer_message_encode(message);
	zmq_curve_keypair(public_key, secret_key);
	zmq_setsockopt(socket, ZMQ_CURVE_PUBLICKEY, public_key, KEY_SIZE_BYTES);
	zmq_setsockopt(socket, ZMQ_CURVE_SECRETKEY, secret_key, KEY_SIZE_BYTES);
	zmq_setsockopt(socket, ZMQ_CURVE_SERVERKEY, rig->public_key,
		       KEY_SIZE_BYTES);
	zmq_connect(socket, endpoint);
	zmq_send(socket, g_bytes_get_data(bytes, NULL), g_bytes_get_size(bytes),
		 0);
	run_for(rig, 1000);
	assert_null(rig->nodes[1].note);
	zmq_setsockopt(socket, ZMQ_LINGER, &(int){0}, sizeof(int));
	zmq_close(socket);
	zmq_ctx_term(zmq_context);
	destroy_rig(rig);
}

static bool all_hold_n1_leaving(const rig_t *rig)
{
	return state_at(rig, 0, 1) == MEMBER_LEAVING &&
	       state_at(rig, 2, 1) == MEMBER_LEAVING;
}

static bool all_hold_n1_dead(const rig_t *rig)
{
	return state_at(rig, 0, 1) == MEMBER_DEAD &&
	       state_at(rig, 2, 1) == MEMBER_DEAD;
}

static void test_leaving_and_death_are_known_everywhere(void **state)
{
	rig_t *rig = create_joined_rig(3);

	peers_task_leave(rig->nodes[1].peers);
	wait_for(rig, all_hold_n1_leaving);
	stop_node(&rig->nodes[1]);
	wait_for(rig, all_hold_n1_dead);
	assert_int_equal(state_at(rig, 0, 2), MEMBER_LIVE);
	destroy_rig(rig);
}

/* The platform is down, so members are found through the seed alone. */
static void test_seed_replaces_the_list(void **state)
{
	rig_t *rig = create_rig(1);
	endpoint_t seed = {.address = "127.0.0.1"};

	seed.port = self_of(&rig->nodes[0])->peer_port;
	create_node(rig, 1);
	stop_node(&rig->nodes[1]);
	rig->nodes[1].settings.seeds = &seed;
	rig->nodes[1].settings.seeds_count = 1;
	start_node(&rig->nodes[1]);
	wait_for(rig, all_know_each_other);
	destroy_rig(rig);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_request_and_answer_make_the_round),
		cmocka_unit_test(test_large_answer_comes_whole),
		cmocka_unit_test(test_death_of_the_owner_ends_requests),
		cmocka_unit_test(test_restart_of_the_owner_ends_requests),
		cmocka_unit_test(test_request_that_never_left_is_not_run),
		cmocka_unit_test(test_death_of_the_asker_cancels_and_releases),
		cmocka_unit_test(test_cancel_and_release_reach_the_owner),
		cmocka_unit_test(test_late_answer_gives_its_lease_back),
		cmocka_unit_test(test_notes_and_digests_arrive),
		cmocka_unit_test(test_stranger_is_not_let_in),
		cmocka_unit_test(test_unknown_key_is_refused),
		cmocka_unit_test(test_leaving_and_death_are_known_everywhere),
		cmocka_unit_test(test_seed_replaces_the_list),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
