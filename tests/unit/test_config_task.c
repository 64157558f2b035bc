#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "base/deflate.h"
#include "daemon/config_task.h"

#define NODES 4

/* A call to the platform that has not been answered yet. */
typedef struct {
	store_value_t value_done;
	store_members_t members_done;
	void *context;
	uint64_t after_index;
} pending_call_t;

typedef struct {
	store_t store;
	char *value;
	uint64_t index;
	uint64_t list_index;
	bool down;
	GArray *pending; /* pending_call_t */
	uint32_t reads;
} fake_store_t;

typedef struct fleet fleet_t;

typedef struct {
	fleet_t *fleet;
	char name[64];
	config_task_t *task;
	uint64_t active_revision; /* the next one must be higher */
	uint32_t changes;
	uint32_t listed;
	uint32_t leaving; /* leaving VMs in the list */
} fake_node_t;

typedef struct {
	fake_node_t *from;
	char to[64];
	GBytes *bytes;
} note_t;

struct fleet {
	struct event_base *base;
	metrics_t *metrics;
	fake_store_t platform;
	fake_node_t nodes[NODES];
	member_t members[NODES];
	GArray *notes; /* note_t */
};

static void fake_get(void *self, const char *key, uint64_t after_index,
		     uint32_t wait_ms, store_value_t done, void *context)
{
	fake_store_t *platform = self;
	const pending_call_t pending = {done, NULL, context, after_index};

	assert_string_equal(key, "toucanhook/config");
	platform->reads++;
	g_array_append_val(platform->pending, pending);
}

static void fake_members(void *self, uint64_t after_index, uint32_t wait_ms,
			 store_members_t done, void *context)
{
	fake_store_t *platform = self;
	const pending_call_t pending = {NULL, done, context, after_index};

	g_array_append_val(platform->pending, pending);
}

static void answer_call(const fleet_t *fleet, const pending_call_t *pending)
{
	const fake_store_t *platform = &fleet->platform;
	const char *value = platform->value;

	if (pending->members_done) {
		pending->members_done(pending->context,
				      platform->down ? STORE_UNKNOWN : STORE_OK,
				      fleet->members, NODES,
				      platform->list_index);
		return;
	}
	if (platform->down)
		pending->value_done(pending->context, STORE_UNKNOWN, NULL, 0,
				    0);
	else if (!value)
		pending->value_done(pending->context, STORE_ABSENT, NULL, 0, 0);
	else
		pending->value_done(pending->context, STORE_OK,
				    (const uint8_t *)value, strlen(value),
				    platform->index);
}

/* Answers the due calls; a watch of the newest index stays unanswered. */
static void answer_due_calls(fleet_t *fleet)
{
	fake_store_t *platform = &fleet->platform;
	GArray *due = platform->pending;

	platform->pending = g_array_new(FALSE, FALSE, sizeof(pending_call_t));
	for (guint i = 0; i < due->len; i++) {
		const pending_call_t pending =
			g_array_index(due, pending_call_t, i);
		const uint64_t index = pending.members_done ?
					       platform->list_index :
					       platform->index;

		if (!platform->down && pending.after_index >= index &&
		    pending.after_index)
			g_array_append_val(platform->pending, pending);
		else
			answer_call(fleet, &pending);
	}
	g_array_unref(due);
}

static void deliver(fleet_t *fleet)
{
	GArray *notes = fleet->notes;

	fleet->notes = g_array_new(FALSE, FALSE, sizeof(note_t));
	for (guint i = 0; i < notes->len; i++) {
		const note_t *note = &g_array_index(notes, note_t, i);
		gsize size_bytes;
		const uint8_t *bytes =
			g_bytes_get_data(note->bytes, &size_bytes);

		for (uint32_t n = 0; n < NODES; n++)
			if (!strcmp(fleet->nodes[n].name, note->to))
				config_task_handle_note(fleet->nodes[n].task,
							note->from->name, bytes,
							size_bytes);
		g_bytes_unref(note->bytes);
	}
	g_array_unref(notes);
}

static void on_changed(void *context, const config_t *config)
{
	fake_node_t *node = context;

	assert_true(config->revision > node->active_revision);
	node->active_revision = config->revision;
	node->changes++;
}

static void on_send(void *context, const char *to, const uint8_t *bytes,
		    size_t size_bytes)
{
	fake_node_t *node = context;
	note_t note = {.from = node, .bytes = g_bytes_new(bytes, size_bytes)};

	g_strlcpy(note.to, to, sizeof(note.to));
	g_array_append_val(node->fleet->notes, note);
}

static void on_listed(void *context, const member_t *members,
		      uint32_t members_count)
{
	fake_node_t *node = context;

	node->listed = members_count;
	node->leaving = 0;
	for (uint32_t i = 0; i < members_count; i++)
		node->leaving += members[i].state == MEMBER_LEAVING;
}

static void start_node(fleet_t *fleet, uint32_t n)
{
	fake_node_t *node = &fleet->nodes[n];
	const config_handlers_t handlers = {on_changed, on_send, on_listed,
					    node};
	const member_view_t view = {fleet->members, NODES, 1};

	node->active_revision = 0;
	node->changes = 0;
	node->task =
		config_task_create(fleet->base, fleet->metrics, node->name,
				   "akl", &fleet->platform.store, handlers);
	config_task_set_members(node->task, &view);
}

static int setup(void **state)
{
	static const store_calls_t calls = {.get = fake_get,
					    .members = fake_members};
	fleet_t *fleet = g_new0(fleet_t, 1);

	fleet->base = event_base_new();
	fleet->metrics = metrics_create(16);
	fleet->notes = g_array_new(FALSE, FALSE, sizeof(note_t));
	fleet->platform.store.calls = &calls;
	fleet->platform.list_index = 1;
	fleet->platform.store.self = &fleet->platform;
	fleet->platform.pending =
		g_array_new(FALSE, FALSE, sizeof(pending_call_t));
	for (uint32_t n = 0; n < NODES; n++) {
		member_t *member = &fleet->members[n];

		fleet->nodes[n].fleet = fleet;
		(void)snprintf(member->name, sizeof(member->name), "akl-%u", n);
		g_strlcpy(member->failure_domain, "akl",
			  sizeof(member->failure_domain));
		g_strlcpy(fleet->nodes[n].name, member->name,
			  sizeof(member->name));
	}
	for (uint32_t n = 0; n < NODES; n++)
		start_node(fleet, n);
	*state = fleet;
	return 0;
}

static int teardown(void **state)
{
	fleet_t *fleet = *state;

	for (uint32_t n = 0; n < NODES; n++)
		config_task_destroy(fleet->nodes[n].task);
	for (guint i = 0; i < fleet->notes->len; i++)
		g_bytes_unref(g_array_index(fleet->notes, note_t, i).bytes);
	g_array_unref(fleet->notes);
	g_array_unref(fleet->platform.pending);
	metrics_destroy(fleet->metrics);
	event_base_free(fleet->base);
	g_free(fleet->platform.value);
	g_free(fleet);
	return 0;
}

static void put_config(fleet_t *fleet, uint64_t revision)
{
	g_free(fleet->platform.value);
	fleet->platform.value = g_strdup_printf(
		"{\"revision\":%" G_GUINT64_FORMAT ",\"change_id\":\"c\","
		"\"site\":\"akl-a\",\"services\":[{\"name\":\"core\","
		"\"slots\":1,\"connections\":20,\"backend_user\":\"t\","
		"\"databases\":[{\"name\":\"d\",\"first_primary\":\"a\","
		"\"servers\":[{\"name\":\"a\",\"failure_domain\":\"akl\","
		"\"address\":\"10.0.0.1\",\"port\":1}]}],"
		"\"classes\":[{\"name\":\"owners\"}]}]}",
		revision);
	fleet->platform.index++;
}

static bool all_active_at(const fleet_t *fleet, uint64_t revision)
{
	for (uint32_t n = 0; n < NODES; n++)
		if (fleet->nodes[n].active_revision != revision)
			return false;
	return true;
}

static void run_once(fleet_t *fleet)
{
	event_base_loop(fleet->base, EVLOOP_ONCE);
	answer_due_calls(fleet);
	deliver(fleet);
}

static void wait_for_all(fleet_t *fleet, uint64_t revision)
{
	while (!all_active_at(fleet, revision))
		run_once(fleet);
}

static void test_a_change_reaches_every_node(void **state)
{
	fleet_t *fleet = *state;
	uint32_t reads;

	put_config(fleet, 1);
	wait_for_all(fleet, 1);
	assert_int_equal(fleet->nodes[0].listed, NODES);
	for (uint32_t i = 0; i < 20; i++)
		run_once(fleet);
	reads = fleet->platform.reads;
	put_config(fleet, 2);
	wait_for_all(fleet, 2);
	for (uint32_t i = 0; i < 20; i++)
		run_once(fleet);
	/* Only the two watchers have read the platform again. */
	assert_int_equal(fleet->platform.reads, reads + 2);
	assert_int_equal(config_task_current(fleet->nodes[3].task)->revision,
			 2);
}

static void test_a_leaving_vm_is_known_everywhere(void **state)
{
	fleet_t *fleet = *state;
	uint32_t informed_count = 0;

	put_config(fleet, 1);
	wait_for_all(fleet, 1);
	for (uint32_t i = 0; i < 20; i++)
		run_once(fleet);
	fleet->members[2].state = MEMBER_LEAVING;
	fleet->platform.list_index++;
	for (uint32_t i = 0; i < 1000 && informed_count < NODES; i++) {
		run_once(fleet);
		informed_count = 0;
		for (uint32_t n = 0; n < NODES; n++)
			informed_count += fleet->nodes[n].leaving == 1;
	}
	assert_int_equal(informed_count, NODES);
}

static void test_revision_never_decreases(void **state)
{
	fleet_t *fleet = *state;

	put_config(fleet, 5);
	wait_for_all(fleet, 5);
	put_config(fleet, 3);
	for (uint32_t i = 0; i < 20; i++)
		run_once(fleet);
	g_free(fleet->platform.value);
	fleet->platform.value = g_strdup("{\"revision\":9}");
	fleet->platform.index++;
	for (uint32_t i = 0; i < 20; i++)
		run_once(fleet);
	assert_true(all_active_at(fleet, 5));
	put_config(fleet, 6);
	wait_for_all(fleet, 6);
}

static void test_a_new_node_fetches_from_peers_in_an_outage(void **state)
{
	fleet_t *fleet = *state;
	GArray *remaining;

	put_config(fleet, 1);
	wait_for_all(fleet, 1);
	fleet->platform.down = true;
	answer_due_calls(fleet);
	config_task_destroy(fleet->nodes[2].task);
	remaining = g_array_new(FALSE, FALSE, sizeof(pending_call_t));
	for (guint i = 0; i < fleet->platform.pending->len; i++) {
		const pending_call_t pending = g_array_index(
			fleet->platform.pending, pending_call_t, i);

		if (pending.context != fleet->nodes[2].task)
			g_array_append_val(remaining, pending);
	}
	g_array_unref(fleet->platform.pending);
	fleet->platform.pending = remaining;
	start_node(fleet, 2);
	wait_for_all(fleet, 1);
}

/* Notes and digests of random bytes (fixed seed) must change nothing. */
static void test_random_notes_change_nothing(void **state)
{
	fleet_t *fleet = *state;
	GRand *random = g_rand_new_with_seed(20261204);

	put_config(fleet, 1);
	wait_for_all(fleet, 1);
	for (uint32_t round = 0; round < 2000; round++) {
		uint8_t bytes[80];
		const size_t size_bytes =
			(size_t)g_rand_int_range(random, 0, sizeof(bytes));

		for (size_t i = 0; i < size_bytes; i++)
			bytes[i] = (uint8_t)g_rand_int_range(random, 0, 256);
		if (size_bytes)
			bytes[0] = (uint8_t) "DFVL["[round % 5];
		config_task_handle_note(fleet->nodes[0].task, "akl-1", bytes,
					size_bytes);
		config_task_handle_digest(fleet->nodes[0].task, "akl-1", bytes,
					  size_bytes);
	}
	g_rand_free(random);
	assert_true(all_active_at(fleet, 1));
	put_config(fleet, 2);
	wait_for_all(fleet, 2);
}

static void test_unpacked_size_is_bounded(void **state)
{
	const size_t size_bytes = (size_t)CONFIG_SIZE_BYTES_MAX + 1;
	uint8_t *zeros = g_malloc0(size_bytes);
	g_autoptr(GBytes) packed = deflate_compress(zeros, size_bytes);
	g_autoptr(GBytes) whole = NULL;
	gsize packed_size_bytes;
	const uint8_t *bytes = g_bytes_get_data(packed, &packed_size_bytes);

	assert_true(packed_size_bytes < 5000);
	assert_null(
		deflate_decompress(bytes, packed_size_bytes, size_bytes - 1));
	assert_null(
		deflate_decompress(bytes, packed_size_bytes - 1, size_bytes));
	assert_null(deflate_decompress(bytes, 0, size_bytes));
	whole = deflate_decompress(bytes, packed_size_bytes, size_bytes);
	assert_non_null(whole);
	assert_int_equal(g_bytes_get_size(whole), size_bytes);
	assert_memory_equal(g_bytes_get_data(whole, NULL), zeros, size_bytes);
	g_free(zeros);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(
			test_a_change_reaches_every_node, setup, teardown),
		cmocka_unit_test_setup_teardown(
			test_a_leaving_vm_is_known_everywhere, setup, teardown),
		cmocka_unit_test_setup_teardown(test_revision_never_decreases,
						setup, teardown),
		cmocka_unit_test_setup_teardown(
			test_a_new_node_fetches_from_peers_in_an_outage, setup,
			teardown),
		cmocka_unit_test_setup_teardown(
			test_random_notes_change_nothing, setup, teardown),
		cmocka_unit_test(test_unpacked_size_is_bounded),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
