#ifndef COORDINATION_MEMBERSHIP_PRIVATE_H
#define COORDINATION_MEMBERSHIP_PRIVATE_H

#include "coordination/member_table.h"
#include "coordination/membership.h"
#include "coordination/watch_ring.h"

/* What a sudden lot of news may cost. */
#define MEMBERSHIP_NEWS_BURST_BYTES 32768

/* How often to beat and how long to bear silence. */
typedef struct {
	uint64_t beat_ms;
	uint64_t ping_ms;
	uint64_t suspect_ms;
	uint64_t dead_ms; /* after it became suspect */
} pace_t;

typedef struct {
	member_entry_t *entry;
	const pace_t *pace;
} partner_t;

struct membership {
	member_table_t table;
	uint64_t random;
	uint64_t started_ms;
	uint64_t ran_ms;
	uint64_t next_ms;
	uint64_t knocked_ms;
	uint64_t budget_ms;
	int64_t urgent_bytes;
	int64_t calm_bytes;
	uint64_t sync_order;
	bool has_replies;
	partner_t targets[WATCH_RING_TARGETS_MAX];
	uint32_t targets_count;
	partner_t watched[WATCH_RING_WATCHED_MAX];
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

/* Sends a beat, with the record of its receiver if it should contradict. */
void membership_send_beat(const run_t *run, member_entry_t *to,
			  bool wants_reply);

/* Sends what has not been passed on yet, as far as the budget goes. */
void membership_send_news(const run_t *run);

/* Answers those who asked or whose records differ. */
void membership_send_replies(const run_t *run);

#endif
