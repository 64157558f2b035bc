#include "world/fixture.h"

#include <stdio.h>

int fixture_start(const deployment_t *deployment, world_t **world,
		  char **database)
{
	g_autoptr(GError) error = NULL;

	*database = NULL;
	*world = world_create(deployment, &error);
	if (!*world) {
		fprintf(stderr, "%s\n", error->message);
		return -1;
	}
	*database = world_database(*world, 0, 0);
	return 0;
}

int fixture_end(world_t *world, char *database)
{
	world_destroy(world);
	g_free(database);
	return 0;
}

bool fixture_check(world_t *world, bool passed)
{
	world->failed = !passed;
	return passed;
}

bool fixture_wait(world_t *world, bool (*condition)(void *context),
		  void *context)
{
	return fixture_check(world,
			     world_wait(FIXTURE_WAIT_MS, condition, context));
}

static json_int_t state_count(const json_t *state, const char *name)
{
	return json_integer_value(
		json_object_get(json_object_get(state, "counts"), name));
}

json_int_t fixture_count(const world_server_t *server, const char *name)
{
	json_t *state = http_get_json(server->control_port, "/state");
	const json_int_t count = state_count(state, name);

	json_decref(state);
	return count;
}

json_int_t fixture_count_all(const world_t *world, const char *name)
{
	json_int_t sum = 0;

	for (guint i = 0; i < world->servers->len; i++)
		sum += fixture_count(world->servers->pdata[i], name);
	return sum;
}

/* Arguments of has_progressed(). */
typedef struct {
	const world_t *world;
	const fixture_progress_t *wanted;
} progress_t;

static bool has_progressed(void *context)
{
	const progress_t *progress = context;
	const fixture_progress_t *wanted = progress->wanted;
	bool progressed = false;

	for (guint i = 0; i < progress->world->servers->len; i++) {
		const world_server_t *server =
			progress->world->servers->pdata[i];
		json_t *state;

		if (server == wanted->except)
			continue;
		state = http_get_json(server->control_port, "/state");
		if (json_integer_value(json_object_get(state, "term")) >=
			    wanted->term &&
		    state_count(state, "commits") >= wanted->commits)
			progressed = true;
		json_decref(state);
	}
	return progressed;
}

bool fixture_wait_progress(world_t *world, const fixture_progress_t *wanted)
{
	progress_t progress = {world, wanted};

	return fixture_wait(world, has_progressed, &progress);
}
