#ifndef WORLD_FIXTURE_H
#define WORLD_FIXTURE_H

#include "world/world.h"

/** Patience with a condition that a test waits for, in milliseconds. */
#define FIXTURE_WAIT_MS 30000u

/**
 * Starts a world for a test; prints why if it cannot.
 *
 * @return 0, or -1 as cmocka's set-up functions do
 */
int fixture_start(const deployment_t *deployment, world_t **world,
		  char **database);

/** Ends what fixture_start() gave. @return 0, as cmocka's tear-down does */
int fixture_end(world_t *world, char *database);

/** @return whether a promise was kept; logs are printed later if not. */
bool fixture_check(world_t *world, bool kept);

/** Waits as world_wait() does; logs are printed later if it fails. */
bool fixture_wait(world_t *world, bool (*condition)(void *context),
		  void *context);

/** @return a number that a backend server counts, as it reports it. */
json_int_t fixture_count(const world_server_t *server, const char *name);

/** @return the sum of a number that all backend servers count. */
json_int_t fixture_count_all(const world_t *world, const char *name);

/** Commits that one server shall have made itself in at least some term. */
typedef struct {
	const world_server_t *except; /**< not asked, as it may not answer */
	json_int_t term;
	json_int_t commits;
} fixture_progress_t;

/** Waits for progress at any server; logs are printed later if it fails. */
bool fixture_wait_progress(world_t *world, const fixture_progress_t *wanted);

#endif
