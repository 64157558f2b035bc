#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>
#include <sys/wait.h>

#include <cmocka.h>
#include <glib.h>

#include "base/clock.h"
#include "ctl/ctl.h"
#include "world/world.h"
#include "world/world_files.h"

#define PATIENCE_MS 60000
#define RACERS 4

/* A condition on what the nodes of a world tell. */
typedef struct {
	world_t *world;
	int64_t revision;
	int64_t except_domain; /* whose nodes are not asked; -1 for none */
} wish_t;

static int64_t revision_of(const world_node_t *node)
{
	json_t *status = http_ask_json(node->operators_port, "/status");
	const int64_t revision =
		json_integer_value(json_object_get(status, "config_revision"));

	json_decref(status);
	return revision;
}

static bool has_spread(void *context)
{
	const wish_t *wish = context;

	for (guint i = 0; i < wish->world->nodes->len; i++) {
		const world_node_t *node = wish->world->nodes->pdata[i];

		if ((int64_t)node->domain == wish->except_domain)
			continue;
		if (revision_of(node) != wish->revision)
			return false;
	}
	return true;
}

static void wait_for(world_t *world, int64_t revision, int64_t except_domain)
{
	wish_t wish = {world, revision, except_domain};
	const uint64_t started_ms = clock_now_ms();

	if (!world_wait(PATIENCE_MS, has_spread, &wish)) {
		world->failed = true;
		fail_msg("revision %" G_GINT64_FORMAT " is not everywhere",
			 revision);
	}
	print_message("revision %" G_GINT64_FORMAT
		      " everywhere after %" G_GUINT64_FORMAT " ms\n",
		      revision, clock_now_ms() - started_ms);
}

static void apply(world_t *world)
{
	g_autoptr(GError) error = NULL;

	/* Any difference makes a new revision. */
	world->deployment.connections++;
	if (!world_apply(world, &error)) {
		world->failed = true;
		fail_msg("%s", error->message);
	}
}

static int setup(void **state)
{
	deployment_t deployment = deployment_tauhara();
	g_autoptr(GError) error = NULL;

	deployment.relay = true;
	*state = world_create(&deployment, &error);
	if (!*state)
		print_error("%s\n", error->message);
	return !*state;
}

static int teardown(void **state)
{
	world_destroy(*state);
	return 0;
}

static void test_a_lost_answer_applies_once(void **state)
{
	world_t *world = *state;

	wait_for(world, 1, -1);
	apply(world);
	wait_for(world, 2, -1);
	assert_true(world_fault(world->platform_control_port,
				"/fault?lose_answers=1"));
	apply(world);
	wait_for(world, 3, -1);
}

static void test_a_domain_that_was_cut_off_catches_up(void **state)
{
	world_t *world = *state;
	const int64_t before = revision_of(world_node(world, 0, 0));

	assert_true(world_cut_domain(world, 2, true));
	apply(world);
	wait_for(world, before + 1, 2);
	assert_int_equal(revision_of(world_node(world, 2, 0)), before);
	assert_true(world_cut_domain(world, 2, false));
	wait_for(world, before + 1, -1);
}

static void test_a_new_node_learns_from_peers_in_an_outage(void **state)
{
	world_t *world = *state;
	world_node_t *node = world_node(world, 1, 0);
	const int64_t before = revision_of(world_node(world, 0, 0));
	g_autoptr(GError) error = NULL;

	assert_true(world_fault(world->platform_control_port,
				"/fault?outage=600000"));
	process_signal(node->process, SIGKILL);
	assert_true(process_wait(node->process, PATIENCE_MS, NULL));
	assert_true(world_start_node(world, node, &error));
	wait_for(world, before, -1);
	assert_true(
		world_fault(world->platform_control_port, "/fault?outage=0"));
}

static process_t *start_racer(world_t *world, uint32_t number, int64_t revision)
{
	g_autofree char *log =
		g_strdup_printf("%s/racer-%u.log", world->directory, number);
	g_autofree char *file =
		g_strdup_printf("%s/racer-%u.yaml", world->directory, number);
	g_autofree char *program =
		g_build_filename(world->programs, "toucanctl", NULL);
	g_autofree char *platform = g_strdup_printf("--platform=127.0.0.1:%u",
						    world->platform_port);
	g_autofree char *base = g_strconcat("--base=", file, NULL);
	g_autofree char *expect = g_strdup_printf(
		"--expect-revision=%" G_GINT64_FORMAT, revision);
	char *arguments[] = {program, "apply", platform, base, expect, NULL};
	g_autofree char *text = NULL;

	world->deployment.connections++;
	text = world_files_base(world);
	assert_true(g_file_set_contents(file, text, -1, NULL));
	return process_start("toucanctl", log, arguments, NULL);
}

static void test_one_of_two_operators_wins(void **state)
{
	world_t *world = *state;
	const int64_t before = revision_of(world_node(world, 0, 0));
	process_t *racers[RACERS];
	uint32_t ends[CTL_DIFFERS + 1] = {0};

	for (uint32_t i = 0; i < RACERS; i++)
		racers[i] = start_racer(world, i, before);
	for (uint32_t i = 0; i < RACERS; i++) {
		int status = 0;

		assert_true(process_wait(racers[i], PATIENCE_MS, &status));
		assert_true(WIFEXITED(status) &&
			    WEXITSTATUS(status) <= CTL_DIFFERS);
		ends[WEXITSTATUS(status)]++;
		process_destroy(racers[i]);
	}
	assert_int_equal(ends[CTL_DONE], 1);
	assert_int_equal(ends[CTL_CONFLICT], RACERS - 1);
	wait_for(world, before + 1, -1);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_a_lost_answer_applies_once),
		cmocka_unit_test(test_one_of_two_operators_wins),
		cmocka_unit_test(test_a_domain_that_was_cut_off_catches_up),
		cmocka_unit_test(
			test_a_new_node_learns_from_peers_in_an_outage),
	};

	return cmocka_run_group_tests(tests, setup, teardown);
}
