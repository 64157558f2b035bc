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
} held_t;

typedef struct {
	store_t store;
	char *value;
	uint64_t index;
	uint64_t list_index;
	bool down;
	GArray *held; /* held_t */
	uint32_t reads;
} fake_store_t;

typedef struct fleet fleet_t;

typedef struct {
	fleet_t *fleet;
	char name[64];
	config_task_t *task;
	uint64_t
		lowest_allowed; /* active revision; later ones must be higher */
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
	const held_t held = {done, NULL, context, after_index};

	assert_string_equal(key, "toucanhook/config");
	platform->reads++;
	g_array_append_val(platform->held, held);
}

static void fake_members(void *self, uint64_t after_index, uint32_t wait_ms,
			 store_members_t done, void *context)
{
	fake_store_t *platform = self;
	const held_t held = {NULL, done, context, after_index};

	g_array_append_val(platform->held, held);
}

static void answer(const fleet_t *fleet, const held_t *held)
{
	const fake_store_t *platform = &fleet->platform;
	const char *value = platform->value;

	if (held->members_done) {
		held->members_done(held->context,
				   platform->down ? STORE_UNKNOWN : STORE_OK,
				   fleet->members, NODES, platform->list_index);
		return;
	}
	if (platform->down)
		held->value_done(held->context, STORE_UNKNOWN, NULL, 0, 0);
	else if (!value)
		held->value_done(held->context, STORE_ABSENT, NULL, 0, 0);
	else
		held->value_done(held->context, STORE_OK,
				 (const uint8_t *)value, strlen(value),
				 platform->index);
}

/* Answers the due calls; a watch of the newest index stays unanswered. */
static void serve(fleet_t *fleet)
{
	fake_store_t *platform = &fleet->platform;
	GArray *due = platform->held;

	platform->held = g_array_new(FALSE, FALSE, sizeof(held_t));
	for (guint i = 0; i < due->len; i++) {
		const held_t held = g_array_index(due, held_t, i);
		const uint64_t index = held.members_done ?
					       platform->list_index :
					       platform->index;

		if (!platform->down && held.after_index >= index &&
		    held.after_index)
			g_array_append_val(platform->held, held);
		else
			answer(fleet, &held);
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
				config_task_note(fleet->nodes[n].task,
						 note->from->name, bytes,
						 size_bytes);
		g_bytes_unref(note->bytes);
	}
	g_array_unref(notes);
}

static void on_changed(void *context, const config_t *config)
{
	fake_node_t *node = context;

	assert_true(config->revision > node->lowest_allowed);
	node->lowest_allowed = config->revision;
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

static void start(fleet_t *fleet, uint32_t n)
{
	fake_node_t *node = &fleet->nodes[n];
	const config_handlers_t handlers = {on_changed, on_send, on_listed,
					    node};
	const member_view_t view = {fleet->members, NODES, 1};

	node->lowest_allowed = 0;
	node->changes = 0;
	node->task =
		config_task_create(fleet->base, fleet->metrics, node->name,
				   "akl", &fleet->platform.store, handlers);
	config_task_members(node->task, &view);
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
	fleet->platform.held = g_array_new(FALSE, FALSE, sizeof(held_t));
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
		start(fleet, n);
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
	g_array_unref(fleet->platform.held);
	metrics_destroy(fleet->metrics);
	event_base_free(fleet->base);
	g_free(fleet->platform.value);
	g_free(fleet);
	return 0;
}

static void put(fleet_t *fleet, uint64_t revision)
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

static bool all_at(const fleet_t *fleet, uint64_t revision)
{
	for (uint32_t n = 0; n < NODES; n++)
		if (fleet->nodes[n].lowest_allowed != revision)
			return false;
	return true;
}

static void turn(fleet_t *fleet)
{
	event_base_loop(fleet->base, EVLOOP_ONCE);
	serve(fleet);
	deliver(fleet);
}

static void wait_for_all(fleet_t *fleet, uint64_t revision)
{
	while (!all_at(fleet, revision))
		turn(fleet);
}

static void test_a_change_reaches_every_node(void **state)
{
	fleet_t *fleet = *state;
	uint32_t reads;

	put(fleet, 1);
	wait_for_all(fleet, 1);
	assert_int_equal(fleet->nodes[0].listed, NODES);
	for (uint32_t i = 0; i < 20; i++)
		turn(fleet);
	reads = fleet->platform.reads;
	put(fleet, 2);
	wait_for_all(fleet, 2);
	for (uint32_t i = 0; i < 20; i++)
		turn(fleet);
	/* Only the two watchers have read the platform again. */
	assert_int_equal(fleet->platform.reads, reads + 2);
	assert_int_equal(config_task_current(fleet->nodes[3].task)->revision,
			 2);
}

static void test_a_leaving_vm_is_known_everywhere(void **state)
{
	fleet_t *fleet = *state;
	uint32_t knowing = 0;

	put(fleet, 1);
	wait_for_all(fleet, 1);
	for (uint32_t i = 0; i < 20; i++)
		turn(fleet);
	fleet->members[2].state = MEMBER_LEAVING;
	fleet->platform.list_index++;
	for (uint32_t i = 0; i < 1000 && knowing < NODES; i++) {
		turn(fleet);
		knowing = 0;
		for (uint32_t n = 0; n < NODES; n++)
			knowing += fleet->nodes[n].leaving == 1;
	}
	assert_int_equal(knowing, NODES);
}

static void test_nothing_goes_back(void **state)
{
	fleet_t *fleet = *state;

	put(fleet, 5);
	wait_for_all(fleet, 5);
	put(fleet, 3);
	for (uint32_t i = 0; i < 20; i++)
		turn(fleet);
	g_free(fleet->platform.value);
	fleet->platform.value = g_strdup("{\"revision\":9}");
	fleet->platform.index++;
	for (uint32_t i = 0; i < 20; i++)
		turn(fleet);
	assert_true(all_at(fleet, 5));
	put(fleet, 6);
	wait_for_all(fleet, 6);
}

static void test_a_new_node_asks_peers_in_an_outage(void **state)
{
	fleet_t *fleet = *state;
	GArray *kept;

	put(fleet, 1);
	wait_for_all(fleet, 1);
	fleet->platform.down = true;
	serve(fleet);
	config_task_destroy(fleet->nodes[2].task);
	kept = g_array_new(FALSE, FALSE, sizeof(held_t));
	for (guint i = 0; i < fleet->platform.held->len; i++) {
		const held_t held =
			g_array_index(fleet->platform.held, held_t, i);

		if (held.context != fleet->nodes[2].task)
			g_array_append_val(kept, held);
	}
	g_array_unref(fleet->platform.held);
	fleet->platform.held = kept;
	start(fleet, 2);
	wait_for_all(fleet, 1);
}

/* Notes and digests of random bytes (fixed seed) must change nothing. */
static void test_broken_notes_lose_nothing(void **state)
{
	fleet_t *fleet = *state;
	GRand *random = g_rand_new_with_seed(20261204);

	put(fleet, 1);
	wait_for_all(fleet, 1);
	for (uint32_t round = 0; round < 2000; round++) {
		uint8_t bytes[80];
		const size_t size_bytes =
			(size_t)g_rand_int_range(random, 0, sizeof(bytes));

		for (size_t i = 0; i < size_bytes; i++)
			bytes[i] = (uint8_t)g_rand_int_range(random, 0, 256);
		if (size_bytes)
			bytes[0] = (uint8_t) "DFVL["[round % 5];
		config_task_note(fleet->nodes[0].task, "akl-1", bytes,
				 size_bytes);
		config_task_digest_seen(fleet->nodes[0].task, "akl-1", bytes,
					size_bytes);
	}
	g_rand_free(random);
	assert_true(all_at(fleet, 1));
	put(fleet, 2);
	wait_for_all(fleet, 2);
}

static void test_unpacking_is_bounded(void **state)
{
	const size_t size_bytes = (size_t)CONFIG_SIZE_BYTES_MAX + 1;
	uint8_t *zeros = g_malloc0(size_bytes);
	g_autoptr(GBytes) packed = deflate_pack(zeros, size_bytes);
	g_autoptr(GBytes) whole = NULL;
	gsize packed_size_bytes;
	const uint8_t *bytes = g_bytes_get_data(packed, &packed_size_bytes);

	assert_true(packed_size_bytes < 5000);
	assert_null(deflate_unpack(bytes, packed_size_bytes, size_bytes - 1));
	assert_null(deflate_unpack(bytes, packed_size_bytes - 1, size_bytes));
	assert_null(deflate_unpack(bytes, 0, size_bytes));
	whole = deflate_unpack(bytes, packed_size_bytes, size_bytes);
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
		cmocka_unit_test_setup_teardown(test_nothing_goes_back, setup,
						teardown),
		cmocka_unit_test_setup_teardown(
			test_a_new_node_asks_peers_in_an_outage, setup,
			teardown),
		cmocka_unit_test_setup_teardown(test_broken_notes_lose_nothing,
						setup, teardown),
		cmocka_unit_test(test_unpacking_is_bounded),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
