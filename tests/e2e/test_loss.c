#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include <cmocka.h>

#include <signal.h>

#include "world/load_run.h"
#include "world/world.h"

#define LOSS_PERCENT 1
#define JITTER_MS 3
#define WAIT_MS 30000u
#define COMMITS_WITHOUT_FAULT 800
#define COMMITS_AFTER_FAULT 100
#define LOAD_ARGUMENTS                                                   \
	"--seconds=90 --sessions=12 --reads=0.6 --hand-over=0.3 --roam " \
	"--transactions=0.2 --request-keys --rate=400"

/** Commits that some server must have made itself. */
typedef struct {
	const world_t *world;
	const world_server_t
		*except; /**< skipped, as the server may not answer; or NULL */
	double commits;
} progress_t;

static bool has_progressed(void *context)
{
	const progress_t *wanted = context;

	for (guint i = 0; i < wanted->world->servers->len; i++) {
		const world_server_t *server = wanted->world->servers->pdata[i];
		double commits;
		json_t *state;

		if (server == wanted->except)
			continue;
		state = http_get_json(server->control_port, "/state");
		commits = load_run_number(state, "counts.commits");
		json_decref(state);
		if (commits >= wanted->commits)
			return true;
	}
	return false;
}

/* Returns the number of segments that the links have lost so far. */
static double segments_lost(const world_t *world)
{
	json_t *links = http_get_json(world->relay_control_port, "/state");
	double lost = 0;
	json_t *link;
	size_t i;

	json_array_foreach(links, i, link) lost +=
		load_run_number(link, "segments_lost");
	json_decref(links);
	return lost;
}

static int set_up(void **state)
{
	deployment_t deployment = deployment_tauhara();
	g_autoptr(GError) error = NULL;

	deployment.loss_percent = LOSS_PERCENT;
	deployment.jitter_ms = JITTER_MS;
	*state = world_create(&deployment, &error);
	if (!*state)
		fprintf(stderr, "%s\n", error->message);
	return *state ? 0 : -1;
}

static int tear_down(void **state)
{
	world_destroy(*state);
	return 0;
}

/*
 * Lost segments and jitter alone must not cause a takeover. A primary that is
 * killed must be replaced in spite of them.
 */
static void test_loss_and_jitter_between_domains(void **state)
{
	world_t *world = *state;
	g_autofree char *database = world_database(world, 0, 0);
	progress_t enough = {world, NULL, COMMITS_WITHOUT_FAULT};
	const world_server_t *primary = world_primary(world, database);
	int64_t promotions = world_promotions(world, "promoted");
	load_run_t *load = load_run_start(world, "loss", database,
					  world->deployment.classes[0].name,
					  LOAD_ARGUMENTS, NULL);

	assert_non_null(load);
	world->failed = true;
	assert_true(world_wait(WAIT_MS, has_progressed, &enough));
	assert_true(segments_lost(world) > 0);
	assert_int_equal(world_promotions(world, "promoted"), promotions);
	assert_ptr_equal(world_primary(world, database), primary);
	process_signal(primary->process, SIGKILL);
	enough = (progress_t){world, primary, COMMITS_AFTER_FAULT};
	assert_true(world_wait(WAIT_MS, has_progressed, &enough));
	assert_int_equal(world_promotions(world, "promoted"), promotions + 1);
	load_run_stop(load);
	assert_true(load_run_finish(load, WAIT_MS, NULL));
	world->failed = false;
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(
			test_loss_and_jitter_between_domains, set_up,
			tear_down),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
