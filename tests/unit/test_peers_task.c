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
} fixture_t;

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

static void create_node(fixture_t *fixture, uint32_t index)
{
	node_t *node = &fixture->nodes[index];

	node->base = fixture->base;
	node->metrics = metrics_create(100);
	node->body = g_byte_array_new();
	g_strlcpy(node->public_key, fixture->public_key, KEY_SIZE_BYTES);
	g_strlcpy(node->secret_key, fixture->secret_key, KEY_SIZE_BYTES);
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

static fixture_t *create_fixture(uint32_t count)
{
	fixture_t *fixture = g_new0(fixture_t, 1);

	fixture->base = event_base_new();
	assert_int_equal(
		zmq_curve_keypair(fixture->public_key, fixture->secret_key), 0);
	for (uint32_t i = 0; i < count; i++)
		create_node(fixture, i);
	return fixture;
}

static void stop_node(node_t *node)
{
	peers_task_destroy(node->peers);
	node->peers = NULL;
}

static void destroy_fixture(fixture_t *fixture)
{
	for (uint32_t i = 0; i < NODES_MAX; i++) {
		node_t *node = &fixture->nodes[i];

		if (!node->base)
			continue;
		stop_node(node);
		metrics_destroy(node->metrics);
		request_delete(node->request);
		g_clear_pointer(&node->note, g_bytes_unref);
		g_byte_array_unref(node->body);
		g_free(node->settings.node);
	}
	event_base_free(fixture->base);
	g_free(fixture);
}

static const member_t *self_of(const node_t *node)
{
	return member_view_find(peers_task_view(node->peers),
				node->settings.node);
}

/* Gives every node the list of all nodes, as the platform does. */
static void list_nodes(fixture_t *fixture)
{
	member_t members[NODES_MAX];
	uint32_t count = 0;

	for (uint32_t i = 0; i < NODES_MAX; i++)
		if (fixture->nodes[i].peers)
			members[count++] = *self_of(&fixture->nodes[i]);
	for (uint32_t i = 0; i < NODES_MAX; i++)
		if (fixture->nodes[i].peers)
			peers_task_set_listed(fixture->nodes[i].peers, members,
					      count);
}

typedef bool (*condition_t)(const fixture_t *fixture);

static void step(fixture_t *fixture)
{
	const struct timeval delay = {.tv_usec = STEP_MS * 1000};

	event_base_loopexit(fixture->base, &delay);
	event_base_dispatch(fixture->base);
}

static void wait_for(fixture_t *fixture, condition_t condition)
{
	const uint64_t until_ms = clock_now_ms() + WAIT_MS;

	while (!condition(fixture)) {
		assert_true(clock_now_ms() < until_ms);
		step(fixture);
	}
}

static void run_for(fixture_t *fixture, uint64_t delay_ms)
{
	const uint64_t until_ms = clock_now_ms() + delay_ms;

	while (clock_now_ms() < until_ms)
		step(fixture);
}

static member_state_t state_at(const fixture_t *fixture, uint32_t at,
			       uint32_t of)
{
	const member_t *member =
		member_view_find(peers_task_view(fixture->nodes[at].peers),
				 fixture->nodes[of].settings.node);

	return member ? member->state : MEMBER_DEAD;
}

static bool all_know_each_other(const fixture_t *fixture)
{
	for (uint32_t i = 0; i < NODES_MAX; i++)
		for (uint32_t k = 0; k < NODES_MAX; k++) {
			const node_t *at = &fixture->nodes[i];
			const node_t *of = &fixture->nodes[k];
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

static bool request_arrived(const fixture_t *fixture)
{
	return fixture->nodes[1].requests_count > 0;
}

static bool answer_arrived(const fixture_t *fixture)
{
	return fixture->nodes[0].ends_count > 0;
}

static bool cancel_arrived(const fixture_t *fixture)
{
	return fixture->nodes[1].cancels_count > 0;
}

static bool release_arrived(const fixture_t *fixture)
{
	return fixture->nodes[1].released != 0;
}

static bool note_arrived(const fixture_t *fixture)
{
	return fixture->nodes[1].note && fixture->nodes[1].digests_count;
}

static void submit(fixture_t *fixture, request_kind_t kind, uint64_t lease_id)
{
	node_t *node = &fixture->nodes[0];
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

static fixture_t *create_joined_fixture(uint32_t count)
{
	fixture_t *fixture = create_fixture(count);

	list_nodes(fixture);
	wait_for(fixture, all_know_each_other);
	return fixture;
}

static void send_answer(fixture_t *fixture, const answer_t *answer)
{
	const answer_sink_t *sink = &fixture->nodes[1].sink;

	sink->end(sink->context, fixture->nodes[1].request->request_id, answer);
}

static void test_request_and_answer_are_forwarded(void **state)
{
	fixture_t *fixture = create_joined_fixture(2);
	const answer_t done = {
		.outcome = OUTCOME_DONE,
		.transaction_status = 'I',
		.point = {.term = 3, .position = 9},
		.primary = "s1",
	};
	node_t *owner = &fixture->nodes[1];
	g_autoptr(GBytes) row = g_bytes_new_static("row", 3);

	submit(fixture, REQUEST_WRITE, 0);
	wait_for(fixture, request_arrived);
	assert_string_equal(owner->from, "n0");
	assert_int_equal(owner->request->request_id, 41);
	assert_string_equal(owner->request->database, "pairings");
	owner->sink.chunk(owner->sink.context, 41, row);
	owner->sink.chunk(owner->sink.context, 41, row);
	send_answer(fixture, &done);
	wait_for(fixture, answer_arrived);
	assert_memory_equal(&fixture->nodes[0].answer, &done, sizeof(done));
	assert_int_equal(fixture->nodes[0].body->len, 6);
	assert_memory_equal(fixture->nodes[0].body->data, "rowrow", 6);
	destroy_fixture(fixture);
}

static void test_large_answer_arrives_complete(void **state)
{
	const guint size_bytes = 10 * 1024 * 1024;
	fixture_t *fixture = create_joined_fixture(2);
	const answer_t done = {.outcome = OUTCOME_DONE};
	g_autofree uint8_t *data = g_malloc(size_bytes);
	g_autoptr(GBytes) rows = NULL;
	const node_t *owner = &fixture->nodes[1];

	for (guint i = 0; i < size_bytes; i++)
		data[i] = (uint8_t)(i * 31 + i / 1021);
	rows = g_bytes_new_static(data, size_bytes);
	submit(fixture, REQUEST_READ, 0);
	wait_for(fixture, request_arrived);
	owner->sink.chunk(owner->sink.context, 41, rows);
	send_answer(fixture, &done);
	wait_for(fixture, answer_arrived);
	assert_int_equal(fixture->nodes[0].answer.outcome, OUTCOME_DONE);
	assert_int_equal(fixture->nodes[0].body->len, size_bytes);
	assert_memory_equal(fixture->nodes[0].body->data, data, size_bytes);
	destroy_fixture(fixture);
}

/* The peer receives the request and dies before it answers. */
static void lose_peer(request_kind_t kind, uint64_t lease_id,
		      outcome_t expected)
{
	fixture_t *fixture = create_joined_fixture(2);

	submit(fixture, kind, lease_id);
	wait_for(fixture, request_arrived);
	stop_node(&fixture->nodes[1]);
	wait_for(fixture, answer_arrived);
	assert_int_equal(fixture->nodes[0].answer.outcome, expected);
	assert_int_equal(fixture->nodes[0].answer.lease_id, 0);
	run_for(fixture, 300);
	assert_int_equal(fixture->nodes[0].ends_count, 1);
	destroy_fixture(fixture);
}

static void test_death_of_the_owner_ends_requests(void **state)
{
	lose_peer(REQUEST_READ, 0, OUTCOME_NOT_RUN);
	lose_peer(REQUEST_WRITE, 0, OUTCOME_UNKNOWN);
	lose_peer(REQUEST_TRANSACTION, 7, OUTCOME_UNKNOWN);
}

static void test_restart_of_the_owner_ends_requests(void **state)
{
	fixture_t *fixture = create_joined_fixture(2);
	node_t *owner = &fixture->nodes[1];

	submit(fixture, REQUEST_WRITE, 0);
	wait_for(fixture, request_arrived);
	owner->settings.peers.port = self_of(owner)->peer_port;
	stop_node(owner);
	start_node(owner);
	list_nodes(fixture);
	wait_for(fixture, answer_arrived);
	assert_int_equal(fixture->nodes[0].answer.outcome, OUTCOME_UNKNOWN);
	wait_for(fixture, all_know_each_other);
	owner->requests_count = 0;
	submit(fixture, REQUEST_READ, 0);
	wait_for(fixture, request_arrived);
	assert_int_equal(owner->requests_count, 1);
	destroy_fixture(fixture);
}

/* No process listens on the owner's port, so the request is never sent. */
static void test_request_that_never_left_is_not_run(void **state)
{
	fixture_t *fixture = create_fixture(1);
	member_t members[2] = {*self_of(&fixture->nodes[0])};

	members[1] = members[0];
	g_strlcpy(members[1].name, "n1", sizeof(members[1].name));
	members[1].peer_port = 1;
	peers_task_set_listed(fixture->nodes[0].peers, members, 2);
	run_for(fixture, 20);
	submit(fixture, REQUEST_WRITE, 0);
	wait_for(fixture, answer_arrived);
	assert_int_equal(fixture->nodes[0].answer.outcome, OUTCOME_NOT_RUN);
	assert_int_equal(fixture->nodes[0].answer.reason, REASON_UNREACHABLE);
	destroy_fixture(fixture);
}

static void test_death_of_the_sender_cancels_and_releases(void **state)
{
	fixture_t *fixture = create_joined_fixture(2);
	const answer_t with_lease = {
		.outcome = OUTCOME_DONE,
		.transaction_status = 'T',
		.lease_id = 77,
	};

	submit(fixture, REQUEST_TRANSACTION, 0);
	wait_for(fixture, request_arrived);
	send_answer(fixture, &with_lease);
	wait_for(fixture, answer_arrived);
	assert_int_equal(fixture->nodes[0].answer.lease_id, 77);
	fixture->nodes[1].requests_count = 0;
	submit(fixture, REQUEST_READ, 0);
	wait_for(fixture, request_arrived);
	stop_node(&fixture->nodes[0]);
	wait_for(fixture, cancel_arrived);
	wait_for(fixture, release_arrived);
	assert_int_equal(fixture->nodes[1].released, 77);
	destroy_fixture(fixture);
}

static void test_cancel_and_release_reach_the_owner(void **state)
{
	fixture_t *fixture = create_joined_fixture(2);
	const answer_t with_lease = {.outcome = OUTCOME_DONE, .lease_id = 78};

	submit(fixture, REQUEST_TRANSACTION, 0);
	wait_for(fixture, request_arrived);
	send_answer(fixture, &with_lease);
	wait_for(fixture, answer_arrived);
	peers_task_release(fixture->nodes[0].peers, "n1", 78);
	wait_for(fixture, release_arrived);
	assert_int_equal(fixture->nodes[1].released, 78);

	fixture->nodes[1].requests_count = 0;
	submit(fixture, REQUEST_READ, 0);
	wait_for(fixture, request_arrived);
	peers_task_cancel(fixture->nodes[0].peers, 41, &fixture->nodes[0]);
	wait_for(fixture, cancel_arrived);
	run_for(fixture, 200);
	assert_int_equal(fixture->nodes[0].ends_count, 0);
	destroy_fixture(fixture);
}

/* The owner must release the transaction that a cancelled request began. */
static void test_late_answer_releases_its_lease(void **state)
{
	fixture_t *fixture = create_joined_fixture(2);
	const answer_t with_lease = {.outcome = OUTCOME_DONE, .lease_id = 79};

	submit(fixture, REQUEST_TRANSACTION, 0);
	wait_for(fixture, request_arrived);
	send_answer(fixture, &with_lease);
	peers_task_cancel(fixture->nodes[0].peers, 41, &fixture->nodes[0]);
	wait_for(fixture, release_arrived);
	assert_int_equal(fixture->nodes[1].released, 79);
	assert_int_equal(fixture->nodes[0].ends_count, 0);
	destroy_fixture(fixture);
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
	fixture_t *fixture = create_joined_fixture(2);

	peers_task_send_note(fixture->nodes[0].peers, "n1", PEERS_NOTE_GROUP,
			     (const uint8_t *)"hello", 5);
	wait_for(fixture, note_arrived);
	assert_int_equal(g_bytes_get_size(fixture->nodes[1].note), 5);
	assert_int_equal(messages_sent(&fixture->nodes[0], "groups"), 1);
	assert_true(messages_sent(&fixture->nodes[0], "control") > 0);
	assert_int_equal(messages_sent(&fixture->nodes[0], "requests"), 0);
	destroy_fixture(fixture);
}

static void test_node_with_another_key_is_not_admitted(void **state)
{
	fixture_t *fixture = create_joined_fixture(2);
	node_t *outsider = &fixture->nodes[2];

	create_node(fixture, 2);
	stop_node(outsider);
	assert_int_equal(
		zmq_curve_keypair(outsider->public_key, outsider->secret_key),
		0);
	start_node(outsider);
	list_nodes(fixture);
	peers_task_send_note(outsider->peers, "n1", PEERS_NOTE_GROUP,
			     (const uint8_t *)"in", 2);
	run_for(fixture, 3000);
	assert_null(fixture->nodes[1].note);
	assert_int_equal(state_at(fixture, 0, 2), MEMBER_DEAD);
	assert_int_equal(state_at(fixture, 0, 1), MEMBER_LIVE);
	destroy_fixture(fixture);
}

/*
 * A sender that knows the fleet's public key and a valid message, but not the
 * fleet's secret key, must be rejected.
 */
static void test_message_with_unknown_key_is_dropped(void **state)
{
	fixture_t *fixture = create_joined_fixture(2);
	g_autoptr(peer_message_t) message = peer_message_new(PEER_MESSAGE_NOTE);
	g_autoptr(GBytes) bytes = NULL;
	g_autofree char *endpoint = g_strdup_printf(
		"tcp://127.0.0.1:%u", self_of(&fixture->nodes[1])->peer_port);
	char public_key[KEY_SIZE_BYTES];
	char secret_key[KEY_SIZE_BYTES];
	void *zmq_context = zmq_ctx_new();
	void *socket = zmq_socket(zmq_context, ZMQ_DEALER);

	strcpy(message->sender, "n0");
	message->incarnation = self_of(&fixture->nodes[0])->incarnation;
	message->bytes = g_bytes_new_static("in", 2);
	bytes = peer_message_encode(message);
	zmq_curve_keypair(public_key, secret_key);
	zmq_setsockopt(socket, ZMQ_CURVE_PUBLICKEY, public_key, KEY_SIZE_BYTES);
	zmq_setsockopt(socket, ZMQ_CURVE_SECRETKEY, secret_key, KEY_SIZE_BYTES);
	zmq_setsockopt(socket, ZMQ_CURVE_SERVERKEY, fixture->public_key,
		       KEY_SIZE_BYTES);
	zmq_connect(socket, endpoint);
	zmq_send(socket, g_bytes_get_data(bytes, NULL), g_bytes_get_size(bytes),
		 0);
	run_for(fixture, 1000);
	assert_null(fixture->nodes[1].note);
	zmq_setsockopt(socket, ZMQ_LINGER, &(int){0}, sizeof(int));
	zmq_close(socket);
	zmq_ctx_term(zmq_context);
	destroy_fixture(fixture);
}

static bool all_see_n1_leaving(const fixture_t *fixture)
{
	return state_at(fixture, 0, 1) == MEMBER_LEAVING &&
	       state_at(fixture, 2, 1) == MEMBER_LEAVING;
}

static bool all_see_n1_dead(const fixture_t *fixture)
{
	return state_at(fixture, 0, 1) == MEMBER_DEAD &&
	       state_at(fixture, 2, 1) == MEMBER_DEAD;
}

static void test_leaving_and_death_are_known_everywhere(void **state)
{
	fixture_t *fixture = create_joined_fixture(3);

	peers_task_leave(fixture->nodes[1].peers);
	wait_for(fixture, all_see_n1_leaving);
	stop_node(&fixture->nodes[1]);
	wait_for(fixture, all_see_n1_dead);
	assert_int_equal(state_at(fixture, 0, 2), MEMBER_LIVE);
	destroy_fixture(fixture);
}

/* The platform is down, so members are found through the seed alone. */
static void test_seed_replaces_the_list(void **state)
{
	fixture_t *fixture = create_fixture(1);
	endpoint_t seed = {.address = "127.0.0.1"};

	seed.port = self_of(&fixture->nodes[0])->peer_port;
	create_node(fixture, 1);
	stop_node(&fixture->nodes[1]);
	fixture->nodes[1].settings.seeds = &seed;
	fixture->nodes[1].settings.seeds_count = 1;
	start_node(&fixture->nodes[1]);
	wait_for(fixture, all_know_each_other);
	destroy_fixture(fixture);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_request_and_answer_are_forwarded),
		cmocka_unit_test(test_large_answer_arrives_complete),
		cmocka_unit_test(test_death_of_the_owner_ends_requests),
		cmocka_unit_test(test_restart_of_the_owner_ends_requests),
		cmocka_unit_test(test_request_that_never_left_is_not_run),
		cmocka_unit_test(test_death_of_the_sender_cancels_and_releases),
		cmocka_unit_test(test_cancel_and_release_reach_the_owner),
		cmocka_unit_test(test_late_answer_releases_its_lease),
		cmocka_unit_test(test_notes_and_digests_arrive),
		cmocka_unit_test(test_node_with_another_key_is_not_admitted),
		cmocka_unit_test(test_message_with_unknown_key_is_dropped),
		cmocka_unit_test(test_leaving_and_death_are_known_everywhere),
		cmocka_unit_test(test_seed_replaces_the_list),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
