#ifndef SIM_MEMBER_SIM_H
#define SIM_MEMBER_SIM_H

#include <stdbool.h>
#include <stdint.h>

#include "coordination/membership.h"

/**
 * Membership state machines of many nodes that exchange heartbeats in simulated
 * time. All random choices come from the seed, so a run is reproducible.
 */
typedef struct member_sim member_sim_t;

/** Size and links of the simulated fleet. */
typedef struct {
	uint32_t nodes_count;
	uint32_t domains_count;
	uint32_t same_domain_delay_ms;	/**< one-way delay within a failure
					   domain */
	uint32_t cross_domain_delay_ms; /**< one-way delay between failure
					   domains */
	uint32_t loss_percent;		/**< loss of all messages */
	uint64_t seed;
	bool measure_cost; /**< measures bytes and CPU time, which slows the
			  simulation */
} member_sim_settings_t;

/** Totals since the start of the simulation. */
typedef struct {
	uint64_t messages_count; /**< messages sent, lost ones included */
	uint64_t payload_bytes;	 /**< size of the messages as encoded by
				    peer_message */
	uint64_t cpu_us;	 /**< CPU time of the membership code alone */
	uint64_t node_ms; /**< simulated running time, summed over all nodes */
} member_sim_stats_t;

/** Creates a simulation in which no node runs yet. */
member_sim_t *member_sim_create(const member_sim_settings_t *settings);

/** Frees the simulation. */
void member_sim_destroy(member_sim_t *sim);

/** Starts a node with a new incarnation and the platform's list of nodes. */
void member_sim_start(member_sim_t *sim, uint32_t node);

/** Stops a node as in a crash: it sends no further message. */
void member_sim_stop(member_sim_t *sim, uint32_t node);

/** Makes a node announce that it is leaving. */
void member_sim_leave(member_sim_t *sim, uint32_t node);

/** Cuts a failure domain off from the others, or heals it. */
void member_sim_cut(member_sim_t *sim, uint32_t domain, bool is_cut);

/** Sets the percentage of messages that are lost. */
void member_sim_set_loss(member_sim_t *sim, uint32_t loss_percent);

/**
 * Sends @p listener a false record, which states that @p victim is in @p state.
 */
void member_sim_inject_record(member_sim_t *sim, uint32_t listener,
			      uint32_t victim, member_state_t state);

/** Advances the simulated time and handles all events that fall due. */
void member_sim_run(member_sim_t *sim, uint64_t duration_ms);

/** Returns whether a node runs. */
bool member_sim_is_running(const member_sim_t *sim, uint32_t node);

/** Returns the index of a node's failure domain. */
uint32_t member_sim_domain(const member_sim_t *sim, uint32_t node);

/** Returns the simulated time. */
uint64_t member_sim_now_ms(const member_sim_t *sim);

/** Returns the totals since the start of the simulation. */
member_sim_stats_t member_sim_stats(const member_sim_t *sim);

/** Returns the state of @p subject in the view of @p observer; DEAD if unknown.
 */
member_state_t member_sim_state(member_sim_t *sim, uint32_t observer,
				uint32_t subject);

/** Counts the running nodes in whose view @p subject is in @p state. */
uint32_t member_sim_count(member_sim_t *sim, uint32_t subject,
			  member_state_t state);

/** Returns the number of running nodes. */
uint32_t member_sim_running_count(const member_sim_t *sim);

#endif
