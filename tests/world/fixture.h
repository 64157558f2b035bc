#ifndef WORLD_FIXTURE_H
#define WORLD_FIXTURE_H

#include "world/world.h"

/** Timeout of the conditions that tests wait for. */
#define FIXTURE_WAIT_MS 30000u

/**
 * Starts a test deployment and prints the error if that fails.
 *
 * @param world    receives the deployment, or NULL
 * @param database receives the name of its first database, or NULL
 * @return 0, or -1 on failure, as cmocka's set-up functions return
 */
int fixture_start(const deployment_t *deployment, world_t **world,
		  char **database);

/**
 * Stops the deployment and frees what fixture_start() returned.
 *
 * @return 0, as cmocka's tear-down functions return
 */
int fixture_end(world_t *world, char *database);

/**
 * Records the result of a check. If the check failed, the tear-down prints the
 * logs of all processes.
 *
 * @return @p passed
 */
bool fixture_check(world_t *world, bool passed);

/**
 * Waits for a condition as world_wait() does, for up to FIXTURE_WAIT_MS. If the
 * wait fails, the tear-down prints the logs of all processes.
 */
bool fixture_wait(world_t *world, bool (*condition)(void *context),
		  void *context);

/** Returns a count that a backend server reports, such as "commits". */
json_int_t fixture_count(const world_server_t *server, const char *name);

/** Returns the sum of a count over all backend servers. */
json_int_t fixture_count_all(const world_t *world, const char *name);

/** Commits that some server must have made itself, in this term or later. */
typedef struct {
	const world_server_t
		*except; /**< skipped, as the server may not answer; or NULL */
	json_int_t term; /**< lowest term that counts */
	json_int_t commits; /**< number of commits to reach */
} fixture_progress_t;

/**
 * Waits until any server has made the wanted commits. If the wait fails, the
 * tear-down prints the logs of all processes.
 */
bool fixture_wait_progress(world_t *world, const fixture_progress_t *wanted);

#endif
