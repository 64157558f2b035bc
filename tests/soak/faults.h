#ifndef SOAK_FAULTS_H
#define SOAK_FAULTS_H

#include "world/site_world.h"

/** Injects overlapping faults, chosen at random from the plan's seed. */
typedef struct faults faults_t;

/** @param world must outlive the faults */
faults_t *faults_create(site_world_t *world, const site_plan_t *plan);
void faults_destroy(faults_t *faults);

/** Injects and ends the faults that are due at @p now_ms. */
void faults_step(faults_t *faults, uint64_t now_ms);

/**
 * Ends the faults of links, lost answers and nodes, and starts all nodes that
 * do not run. The other faults end by themselves after their duration.
 */
void faults_undo_all(faults_t *faults);

#endif
