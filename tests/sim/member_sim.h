#ifndef SIM_MEMBER_SIM_H
#define SIM_MEMBER_SIM_H

#include <stdbool.h>
#include <stdint.h>

#include "coordination/membership.h"

/**
 * A fleet of membership cores that exchange heartbeats in simulated time.
 * Nothing is drawn but from the seed.
 */
typedef struct member_sim member_sim_t;

typedef struct {
	uint32_t nodes_count;
	uint32_t domains_count;
	uint32_t near_delay_ms; /**< one way, within a failure domain */
	uint32_t far_delay_ms;	/**< one way, across */
	uint32_t loss_percent;
	uint64_t seed;
	bool measures; /**< bytes and processor time, which takes time */
} member_sim_settings_t;

/** What was sent and used so far. */
typedef struct {
	uint64_t messages_count;
	uint64_t payload_bytes; /**< as encoded by peer_message */
	uint64_t cpu_us;	/**< of the cores alone */
	uint64_t node_ms;	/**< simulated time of all running nodes */
} member_sim_stats_t;

member_sim_t *member_sim_create(const member_sim_settings_t *settings);
void member_sim_destroy(member_sim_t *sim);

/** Starts a node with a new incarnation; it knows the platform's list. */
void member_sim_start(member_sim_t *sim, uint32_t node);

/** Stops a node without a word. */
void member_sim_stop(member_sim_t *sim, uint32_t node);

/** Makes a node say that it is leaving. */
void member_sim_leave(member_sim_t *sim, uint32_t node);

/** Loses everything between a failure domain and the others, or no more. */
void member_sim_cut(member_sim_t *sim, uint32_t domain, bool is_cut);

void member_sim_set_loss(member_sim_t *sim, uint32_t loss_percent);

/** Tells a node what another is said to be. */
void member_sim_inject_record(member_sim_t *sim, uint32_t listener,
			      uint32_t victim, member_state_t state);

/** Lets time pass. */
void member_sim_run(member_sim_t *sim, uint64_t duration_ms);

bool member_sim_is_running(const member_sim_t *sim, uint32_t node);
uint32_t member_sim_domain(const member_sim_t *sim, uint32_t node);
uint64_t member_sim_now_ms(const member_sim_t *sim);
member_sim_stats_t member_sim_stats(const member_sim_t *sim);

/** @return what @p observer holds @p subject to be; DEAD if unknown. */
member_state_t member_sim_state(member_sim_t *sim, uint32_t observer,
				uint32_t subject);

/** @return how many running nodes hold @p subject to be in @p state. */
uint32_t member_sim_count(member_sim_t *sim, uint32_t subject,
			  member_state_t state);

uint32_t member_sim_running(const member_sim_t *sim);

#endif
