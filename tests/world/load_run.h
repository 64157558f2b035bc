#ifndef WORLD_LOAD_RUN_H
#define WORLD_LOAD_RUN_H

#include "world/world.h"

/** One run of toucanload beside a test. */
typedef struct load_run load_run_t;

/**
 * Starts toucanload on every entry VM's address, or on those that the
 * arguments name by --connect.
 *
 * @param name      distinguishes the runs of one world; prefix of the keys
 * @param arguments further arguments, divided by spaces
 * @return the run, or NULL with @p error set
 */
load_run_t *load_run_start(const world_t *world, const char *name,
			   const char *database, const char *user,
			   const char *arguments, GError **error);

/** Asks the run to end before its time. */
void load_run_stop(load_run_t *run);

/**
 * Waits for the end.
 *
 * @param results receives what it reports, to be freed, or NULL
 * @return true if it ended in time and found no broken promise
 */
bool load_run_finish(load_run_t *run, uint32_t timeout_ms, json_t **results);

/** @return the report's number at a path such as "faults.lost", or -1. */
double load_run_number(const json_t *results, const char *path);

#endif
