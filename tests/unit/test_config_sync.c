#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include "coordination/config_sync.h"

/* Two watchers of one domain. */
typedef struct {
	config_sync_t *a;
	config_sync_t *b;
	GArray *actions;
	uint64_t now_ms;
} fixture_t;

static config_sync_t *create_node(const char *name)
{
	config_sync_t *sync = config_sync_create(name, "akl-a", 1);
	member_t members[2] = {{.state = MEMBER_LIVE}, {.state = MEMBER_LIVE}};
	const member_view_t view = {.members = members, .members_count = 2};

	for (int i = 0; i < 2; i++) {
		g_strlcpy(members[i].name, i ? "b" : "a",
			  sizeof(members[i].name));
		g_strlcpy(members[i].failure_domain, "akl-a",
			  sizeof(members[i].failure_domain));
	}
	config_sync_set_members(sync, &view);
	return sync;
}

static int open_fixture(void **state)
{
	fixture_t *fixture = g_new0(fixture_t, 1);

	fixture->a = create_node("a");
	fixture->b = create_node("b");
	fixture->actions = g_array_new(FALSE, FALSE, sizeof(config_action_t));
	fixture->now_ms = 1000;
	*state = fixture;
	return 0;
}

static int close_fixture(void **state)
{
	fixture_t *fixture = *state;

	config_sync_destroy(fixture->a);
	config_sync_destroy(fixture->b);
	g_array_unref(fixture->actions);
	g_free(fixture);
	return 0;
}

static void read_list(fixture_t *fixture, config_sync_t *sync, uint64_t index)
{
	config_sync_members_read(sync, CONFIG_READ_DONE, index, fixture->now_ms,
				 fixture->actions);
}

/* Tells one node what another has. @return whether it then fetches */
static bool fetches_from(fixture_t *fixture, config_sync_t *sync,
			 const char *name, const config_sync_t *other)
{
	const config_digest_t digest =
		config_sync_digest(other, fixture->now_ms);
	bool fetches = false;

	g_array_set_size(fixture->actions, 0);
	config_sync_handle_digest(sync, name, &digest, fixture->now_ms,
				  fixture->actions);
	for (guint i = 0; i < fixture->actions->len; i++)
		fetches |= g_array_index(fixture->actions, config_action_t, i)
				   .kind == CONFIG_ACTION_FETCH;
	return fetches;
}

static void test_newer_list_is_fetched(void **state)
{
	fixture_t *fixture = *state;

	read_list(fixture, fixture->a, 80);
	read_list(fixture, fixture->b, 81);
	assert_true(fetches_from(fixture, fixture->a, "b", fixture->b));
	assert_false(fetches_from(fixture, fixture->b, "a", fixture->a));
}

/* The platform was restored from an older copy: its index went back. */
static void test_list_of_before_a_restore_does_not_come_back(void **state)
{
	fixture_t *fixture = *state;
	uint64_t before;

	read_list(fixture, fixture->a, 80);
	read_list(fixture, fixture->b, 80);
	before = config_sync_digest(fixture->b, fixture->now_ms).list_index;
	read_list(fixture, fixture->a, 50);
	assert_false(fetches_from(fixture, fixture->a, "b", fixture->b));
	assert_false(config_sync_offer_list(fixture->a, before));
	assert_true(fetches_from(fixture, fixture->b, "a", fixture->a));
	assert_true(config_sync_offer_list(
		fixture->b,
		config_sync_digest(fixture->a, fixture->now_ms).list_index));
	/* It then reads the same itself, and nothing has changed. */
	read_list(fixture, fixture->b, 50);
	assert_false(fetches_from(fixture, fixture->a, "b", fixture->b));
	assert_false(fetches_from(fixture, fixture->b, "a", fixture->a));
}

static void test_lists_after_a_restore_are_in_order(void **state)
{
	fixture_t *fixture = *state;

	read_list(fixture, fixture->a, 80);
	read_list(fixture, fixture->a, 50);
	read_list(fixture, fixture->b, 80);
	read_list(fixture, fixture->b, 50);
	read_list(fixture, fixture->b, 51);
	assert_true(fetches_from(fixture, fixture->a, "b", fixture->b));
	assert_false(fetches_from(fixture, fixture->b, "a", fixture->a));
}

#define SYNC_TEST(test) \
	cmocka_unit_test_setup_teardown(test, open_fixture, close_fixture)

int main(void)
{
	const struct CMUnitTest tests[] = {
		SYNC_TEST(test_newer_list_is_fetched),
		SYNC_TEST(test_list_of_before_a_restore_does_not_come_back),
		SYNC_TEST(test_lists_after_a_restore_are_in_order),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
