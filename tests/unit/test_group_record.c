#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include "base/clock.h"
#include "daemon/group_private.h"

/* Later than any retry, and later than the next check of the record. */
#define LATER_MS (clock_now_ms() + 20000)
#define CHECK_MS (clock_now_ms() + 40000)

/* A group task and a store whose answers the test provides. */
typedef struct {
	store_t store;
	store_value_t get;
	store_value_t swap;
	void *context;
	char written[256];
	uint64_t index;
	struct event_base *base;
	metrics_t *metrics;
	group_table_t *table;
	group_task_t *task;
	group_database_t *database;
} fixture_t;

static fixture_t fixture;

static void on_get(void *self, const char *key, uint64_t after_index,
		   uint32_t wait_ms, store_value_t done, void *context)
{
	assert_string_equal(key, "toucanhook/groups/match");
	fixture.get = done;
	fixture.context = context;
}

static void on_swap(void *self, const char *key, const uint8_t *bytes,
		    size_t size_bytes, uint64_t index, store_value_t done,
		    void *context)
{
	g_strlcpy(fixture.written, (const char *)bytes,
		  MIN(size_bytes + 1, sizeof(fixture.written)));
	fixture.index = index;
	fixture.swap = done;
	fixture.context = context;
}

static void on_send(void *context, const char *node, const uint8_t *bytes,
		    size_t size_bytes)
{
}

static uint32_t on_owners(void *context, const char *database,
			  const char *server, const char **nodes,
			  uint32_t limit)
{
	return 0;
}

static void on_changed(void *context, const char *database,
		       const group_view_t *view)
{
}

static int setup(void **state)
{
	static const store_calls_t calls = {.get = on_get, .swap = on_swap};
	static config_server_t servers[] = {
		{.name = "a", .failure_domain = "a", .address = "127.0.0.1"},
		{.name = "b", .failure_domain = "b", .address = "127.0.0.1"},
		{.name = "c", .failure_domain = "c", .address = "127.0.0.1"},
	};
	static config_database_t database = {.name = "match",
					     .first_primary = "a",
					     .servers = servers,
					     .servers_count = 3};
	static config_service_t service = {.confirm_replicas = 1,
					   .backend_user = "toucanhook",
					   .databases = &database,
					   .databases_count = 1};
	static config_t config = {.services = &service, .services_count = 1};
	const group_handlers_t handlers = {
		.send = on_send, .owners = on_owners, .changed = on_changed};

	fixture = (fixture_t){.store = {.calls = &calls}};
	fixture.base = event_base_new();
	fixture.metrics = metrics_create(100);
	fixture.table = group_table_create();
	fixture.task =
		group_task_create(fixture.base, fixture.metrics, "n",
				  fixture.table, &fixture.store, handlers);
	group_task_configure(fixture.task, &config);
	fixture.database =
		g_hash_table_lookup(fixture.task->databases, "match");
	group_database_update_primary(fixture.database, 9, "b");
	group_record_write(fixture.database);
	return 0;
}

static int teardown(void **state)
{
	group_task_destroy(fixture.task);
	group_table_destroy(fixture.table);
	metrics_destroy(fixture.metrics);
	event_base_free(fixture.base);
	return 0;
}

static void answer_get(store_result_t result, const char *text)
{
	const store_value_t done = g_steal_pointer(&fixture.get);

	assert_non_null(done);
	done(fixture.context, result, (const uint8_t *)text,
	     text ? strlen(text) : 0, 7);
}

static void answer_swap(store_result_t result)
{
	const store_value_t done = g_steal_pointer(&fixture.swap);

	assert_non_null(done);
	done(fixture.context, result, NULL, 0, 8);
}

static void test_lost_answer_causes_a_new_read(void **state)
{
	group_record_step(fixture.database, LATER_MS);
	answer_get(STORE_ABSENT, NULL);
	assert_string_equal(fixture.written, "{\"term\":9,\"primary\":\"b\"}");
	assert_int_equal(fixture.index, 0);
	answer_swap(STORE_UNKNOWN);
	group_record_step(fixture.database, LATER_MS);
	answer_get(STORE_OK, fixture.written);
	assert_null(fixture.swap);
	group_record_step(fixture.database, LATER_MS);
	assert_null(fixture.get);
}

static void test_lower_record_is_replaced_at_its_index(void **state)
{
	group_record_step(fixture.database, LATER_MS);
	answer_get(STORE_OK, "{\"term\":4,\"primary\":\"c\"}");
	assert_int_equal(fixture.index, 7);
	answer_swap(STORE_CONFLICT);
	group_record_step(fixture.database, LATER_MS);
	answer_get(STORE_OK, "{\"term\":5,\"primary\":\"c\"}");
	answer_swap(STORE_OK);
	group_record_step(fixture.database, LATER_MS);
	assert_null(fixture.get);
}

static void test_higher_record_is_adopted_and_kept(void **state)
{
	group_record_step(fixture.database, LATER_MS);
	answer_get(STORE_OK, "{\"term\":12,\"primary\":\"c\"}");
	assert_null(fixture.swap);
	assert_int_equal(group_table_view(fixture.table, "match").term, 12);
	assert_string_equal(group_table_view(fixture.table, "match").primary,
			    "c");
}

static void test_damaged_record_is_replaced(void **state)
{
	group_record_step(fixture.database, LATER_MS);
	answer_get(STORE_OK, "{\"term\":99,\"primary\":\"nobody\"}");
	assert_string_equal(fixture.written, "{\"term\":9,\"primary\":\"b\"}");
	answer_swap(STORE_OK);
	assert_int_equal(group_table_view(fixture.table, "match").term, 9);
}

/* The store was restored from a copy of before the promotion. */
static void test_record_that_the_store_lost_is_written_again(void **state)
{
	group_record_step(fixture.database, 1000);
	answer_get(STORE_ABSENT, NULL);
	answer_swap(STORE_OK);
	fixture.written[0] = '\0';
	group_record_step(fixture.database, clock_now_ms());
	assert_null(fixture.get);
	group_record_step(fixture.database, CHECK_MS);
	answer_get(STORE_OK, "{\"term\":4,\"primary\":\"c\"}");
	assert_string_equal(fixture.written, "{\"term\":9,\"primary\":\"b\"}");
	answer_swap(STORE_OK);
}

#define FIXTURE_TEST(test) \
	cmocka_unit_test_setup_teardown(test, setup, teardown)

int main(void)
{
	const struct CMUnitTest tests[] = {
		FIXTURE_TEST(test_lost_answer_causes_a_new_read),
		FIXTURE_TEST(test_lower_record_is_replaced_at_its_index),
		FIXTURE_TEST(test_higher_record_is_adopted_and_kept),
		FIXTURE_TEST(test_damaged_record_is_replaced),
		FIXTURE_TEST(test_record_that_the_store_lost_is_written_again),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
