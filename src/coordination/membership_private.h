#ifndef COORDINATION_MEMBERSHIP_PRIVATE_H
#define COORDINATION_MEMBERSHIP_PRIVATE_H

#include "coordination/member_table.h"
#include "coordination/membership.h"
#include "coordination/watch_ring.h"

/* Maximum bytes of updates that may be sent in one burst. */
#define MEMBERSHIP_UPDATE_BURST_BYTES 32768

/* Interval of heartbeats and timeouts of the failure detection. */
typedef struct {
	uint64_t interval_ms; /* between heartbeats */
	uint64_t ping_ms;     /* unresponsive time until the member is pinged */
	uint64_t suspect_ms;  /* unresponsive time until it is suspected */
	uint64_t dead_ms;     /* time from suspicion until it counts as dead */
} timing_t;

/* A member that exchanges heartbeats with this node. */
typedef struct {
	member_entry_t *entry;
	const timing_t *timing;
} partner_t;

struct membership {
	member_table_t table;
	uint64_t random; /* state of the random number generator */
	uint64_t started_ms;
	uint64_t ran_ms;	/* time of the last run */
	uint64_t next_ms;	/* time of the next run */
	uint64_t probed_ms;	/* time of the last probe of a dead member */
	uint64_t budget_ms;	/* time up to which the budgets are refilled */
	int64_t urgent_bytes;	/* budget of urgent updates */
	int64_t routine_bytes;	/* budget of other updates and of syncs */
	uint64_t sync_position; /* entry at which the next sync starts */
	bool has_replies;	/* some entry wants a reply or a sync */
	partner_t targets[WATCH_RING_TARGETS_MAX]; /* receive heartbeats */
	uint32_t targets_count;
	partner_t watched[WATCH_RING_WATCHED_MAX]; /* send heartbeats */
	uint32_t watched_count;
};

/* One call of membership_run(). */
typedef struct {
	membership_t *membership;
	uint64_t now_ms;
	membership_send_t send;
	void *context;
	uint64_t digest;
} run_t;

/*
 * Sends a heartbeat. Unless the receiver counts as live, its own record is
 * added, so that the receiver can refute it.
 */
void membership_send_heartbeat(const run_t *run, member_entry_t *to,
			       bool wants_reply);

/* Sends the unsent records to the partners, as far as the budgets allow. */
void membership_send_updates(const run_t *run);

/* Sends the wanted replies, and records to members whose digest differs. */
void membership_send_replies(const run_t *run);

#endif
