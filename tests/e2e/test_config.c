#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include <signal.h>
#include <sys/wait.h>

#include "world/fixture.h"
#include "world/world_files.h"

#define OPERATORS 5u
#define EXIT_APPLIED 0
#define EXIT_CONFLICT 3

static world_t *world;
static char *database;
static char *base_path;

static int set_up(void **state)
{
	deployment_t deployment = deployment_tauhara();
	g_autofree char *base = NULL;

	if (fixture_start(&deployment, &world, &database))
		return -1;
	base = world_files_base(world);
	base_path = g_build_filename(world->directory, "operators.yaml", NULL);
	return g_file_set_contents(base_path, base, -1, NULL) ? 0 : -1;
}

static int tear_down(void **state)
{
	g_free(base_path);
	return fixture_end(world, database);
}

/*
 * Starts toucanctl to set drain_ms.
 *
 * @param number distinguishes the files of operators that run at once
 * @param above  lower bound of the revision, or 0
 */
static process_t *operator_start_above(uint32_t number, uint32_t drain_ms,
				       uint32_t above)
{
	g_autofree char *name = g_strdup_printf("operator-%u", number);
	g_autofree char *path =
		g_strdup_printf("%s/%s.yaml", world->directory, name);
	g_autofree char *log =
		g_strdup_printf("%s/%s.log", world->directory, name);
	g_autofree char *text = g_strdup_printf(
		"site: tauhara\nlimits:\n  drain_ms: %u\n", drain_ms);
	g_autofree char *program =
		g_build_filename(world->programs, "toucanctl", NULL);
	g_autofree char *platform = g_strdup_printf("--platform=127.0.0.1:%u",
						    world->platform_port);
	g_autofree char *base = g_strdup_printf("--base=%s", base_path);
	g_autofree char *overlay = g_strdup_printf("--overlay=%s", path);
	g_autofree char *bound = g_strdup_printf("--above-revision=%u", above);
	char *arguments[] = {program, "apply", platform,
			     base,    overlay, above ? bound : NULL,
			     NULL};
	process_t *process;

	assert_true(g_file_set_contents(path, text, -1, NULL));
	process = process_start(name, log, arguments, NULL);
	assert_non_null(process);
	return process;
}

static process_t *operator_start(uint32_t number, uint32_t drain_ms)
{
	return operator_start_above(number, drain_ms, 0);
}

static int operator_end(process_t *process)
{
	int status = -1;

	assert_true(process_wait(process, FIXTURE_WAIT_MS, &status));
	process_destroy(process);
	assert_true(WIFEXITED(status));
	return WEXITSTATUS(status);
}

static int apply(uint32_t drain_ms)
{
	return operator_end(operator_start(0, drain_ms));
}

static json_int_t revision_of(const world_node_t *node)
{
	json_t *status = http_get_json(node->operators_port, "/status");
	const json_int_t revision =
		json_integer_value(json_object_get(status, "config_revision"));

	json_decref(status);
	return revision;
}

/* The configuration revision that all VMs must reach. */
typedef struct {
	json_int_t revision;
	uint32_t skipped_domain; /* its VMs are not waited for */
	json_int_t highest[64];	 /* highest revision seen at each VM */
	bool reverted;		 /* a VM went back to an earlier revision */
} target_t;

static target_t target_new(json_int_t revision)
{
	return (target_t){.revision = revision, .skipped_domain = UINT32_MAX};
}

static bool target_is_reached(void *context)
{
	target_t *target = context;
	bool everywhere = true;

	for (guint i = 0; i < world->nodes->len; i++) {
		const world_node_t *node = world->nodes->pdata[i];
		const json_int_t revision = revision_of(node);

		if (node->domain == target->skipped_domain)
			continue;
		if (revision < target->highest[i])
			target->reverted = true;
		target->highest[i] = MAX(target->highest[i], revision);
		everywhere &= revision >= target->revision;
	}
	return everywhere;
}

static void await_revision(target_t *target)
{
	assert_true(fixture_wait(world, target_is_reached, target));
	assert_false(target->reverted);
}

static void test_accepted_change_is_in_force_everywhere(void **state)
{
	target_t target = target_new(2);

	assert_int_equal(apply(20000), EXIT_APPLIED);
	await_revision(&target);
	/* Applying the same files again creates no revision. */
	assert_int_equal(apply(20000), EXIT_APPLIED);
	assert_int_equal(revision_of(world_node(world, 0, 0)), 2);
}

static void test_concurrent_operators_apply_or_get_conflict(void **state)
{
	process_t *operators[OPERATORS];
	target_t target = target_new(1);
	json_int_t accepted = 0;

	for (uint32_t i = 0; i < OPERATORS; i++)
		operators[i] = operator_start(i, 20000 + i);
	for (uint32_t i = 0; i < OPERATORS; i++) {
		const int status = operator_end(operators[i]);

		assert_true(status == EXIT_APPLIED || status == EXIT_CONFLICT);
		accepted += status == EXIT_APPLIED;
	}
	assert_true(accepted >= 1);
	target.revision = 1 + accepted;
	await_revision(&target);
	assert_int_equal(revision_of(world_node(world, 2, 1)), 1 + accepted);
}

static void test_lost_answer_is_found_to_have_taken_effect(void **state)
{
	target_t target = target_new(2);

	assert_true(world_post_control(world->platform_control_port,
				       "/fault?lose_answers=1"));
	assert_int_equal(apply(20000), EXIT_APPLIED);
	await_revision(&target);
	assert_int_equal(revision_of(world_node(world, 1, 0)), 2);
}

/*
 * A VM that starts during an outage of the platform must get the newest
 * configuration from its peers.
 */
static void test_vm_started_in_an_outage_gets_newest_config(void **state)
{
	world_node_t *node = world_node(world, 1, 1);
	target_t target = target_new(2);
	g_autoptr(GError) error = NULL;

	assert_int_equal(apply(20000), EXIT_APPLIED);
	await_revision(&target);
	process_signal(node->process, SIGKILL);
	assert_true(world_post_control(world->platform_control_port,
				       "/fault?outage=60000"));
	assert_true(world_start_node(world, node, &error));
	target = target_new(2);
	await_revision(&target);
}

/*
 * A failure domain that is cut off keeps its configuration, and applies the
 * newest one once the links are healed.
 */
static void test_cut_off_domain_catches_up(void **state)
{
	target_t target = target_new(2);

	assert_true(world_cut_domain(world, 2, true));
	assert_int_equal(apply(20000), EXIT_APPLIED);
	target.skipped_domain = 2;
	await_revision(&target);
	assert_int_equal(revision_of(world_node(world, 2, 0)), 1);
	assert_true(world_cut_domain(world, 2, false));
	target.skipped_domain = UINT32_MAX;
	await_revision(&target);
}

/*
 * The platform comes back from an older copy, and the operator applies above
 * the revision that the VMs have, as CONFIGURATION.md says.
 */
static void test_change_after_a_restore_is_in_force_everywhere(void **state)
{
	target_t target = target_new(3);

	assert_int_equal(apply(20000), EXIT_APPLIED);
	assert_true(world_post_control(world->platform_control_port,
				       "/fault?copy=1"));
	assert_int_equal(apply(21000), EXIT_APPLIED);
	await_revision(&target);
	assert_true(world_post_control(world->platform_control_port,
				       "/fault?restore=1&outage=300"));
	g_usleep(500 * 1000);
	assert_int_equal(operator_end(operator_start_above(0, 22000, 3)),
			 EXIT_APPLIED);
	target.revision = 4;
	await_revision(&target);
}

#define TEST(name) cmocka_unit_test_setup_teardown(name, set_up, tear_down)

/** @param argv name of one test to run; all tests run if absent */
int main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		TEST(test_accepted_change_is_in_force_everywhere),
		TEST(test_concurrent_operators_apply_or_get_conflict),
		TEST(test_lost_answer_is_found_to_have_taken_effect),
		TEST(test_vm_started_in_an_outage_gets_newest_config),
		TEST(test_change_after_a_restore_is_in_force_everywhere),
		TEST(test_cut_off_domain_catches_up),
	};

	if (argc > 1)
		cmocka_set_test_filter(argv[1]);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
