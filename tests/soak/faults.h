#ifndef SOAK_FAULTS_H
#define SOAK_FAULTS_H

#include "world/site_world.h"

/** Draws faults from a seed and has them overlap. */
typedef struct faults faults_t;

faults_t *faults_create(site_world_t *world, const site_plan_t *plan);
void faults_destroy(faults_t *faults);

/** Begins and ends what is due at a time. */
void faults_step(faults_t *faults, uint64_t now_ms);

/** Ends everything, and starts all nodes that do not run. */
void faults_heal(faults_t *faults);

#endif
