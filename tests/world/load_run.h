#ifndef WORLD_LOAD_RUN_H
#define WORLD_LOAD_RUN_H

#include "world/world.h"

/** A toucanload process that runs in the background of a test. */
typedef struct load_run load_run_t;

/**
 * Starts toucanload with connections to every entry VM, or only to those that
 * @p arguments list with --connect.
 *
 * @param name      identifies the run within the deployment; prefix of the
 *                  keys that toucanload writes
 * @param arguments further command line arguments, separated by spaces
 * @return the run, or NULL with @p error set
 */
load_run_t *load_run_start(const world_t *world, const char *name,
			   const char *database, const char *user,
			   const char *arguments, GError **error);

/** Signals toucanload to end before its run time is over. */
void load_run_stop(load_run_t *run);

/**
 * Waits until toucanload ends and frees the run. Prints the end of its log if
 * toucanload failed or did not end in time.
 *
 * @param results receives the JSON report, to be released with json_decref();
 *                may be NULL
 * @return true if toucanload ended in time and found no consistency violation
 */
bool load_run_finish(load_run_t *run, uint32_t timeout_ms, json_t **results);

/** Returns the report's number at a path such as "faults.lost", or -1. */
double load_run_number(const json_t *results, const char *path);

#endif
