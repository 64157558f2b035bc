#ifndef LOAD_LOAD_H
#define LOAD_LOAD_H

#include <stdbool.h>
#include <stdint.h>

#include <event2/event.h>
#include <jansson.h>

#include "base/metrics.h"
#include "load/checker.h"

/** What a run shall do. */
typedef struct {
	const char **targets; /**< libpq connection strings */
	uint32_t targets_count;
	const char **replicas; /**< read there, but for the time below */
	uint32_t replicas_count;
	uint32_t stick_ms; /**< reads follow the session's own write */
	uint32_t sessions;
	uint32_t duration_ms;
	double read_share;
	double transaction_share; /**< of writes */
	double hand_over_share;	  /**< of reads, with another's token */
	uint32_t rate_per_second; /**< 0: each session goes as fast as it can */
	uint32_t timeout_ms;	  /**< of one operation */
	uint32_t max_age_ms;	  /**< reads of a stated age; 0 for none */
	bool request_keys;	  /**< inserts carry idempotency keys */
	bool extended;		  /**< the extended query protocol */
	bool roam;		  /**< sessions change their target at times */
	uint64_t seed;
	const char *table;
	const char *prefix; /**< of this run's keys */
} load_options_t;

/** What a run has seen. */
typedef struct {
	metrics_t *metrics;
	metric_histogram_t *read_delays;
	metric_histogram_t *write_delays;
	uint64_t reads;
	uint64_t replica_reads; /**< sent to the replicas above */
	uint64_t writes;
	uint64_t not_run;
	uint64_t unknown;
	uint64_t connects;
	GHashTable *codes; /**< how often, by SQLSTATE */
	uint64_t started_us;
	uint64_t ended_us;
	uint64_t last_write_us;	 /**< last acknowledged write */
	uint64_t longest_gap_us; /**< between acknowledged writes */
} load_results_t;

struct worker;

/** One run. */
typedef struct {
	load_options_t options;
	load_results_t results;
	checker_t *checker;
	struct event_base *base;
	struct worker *workers;
	struct worker *readers; /**< one for each, or NULL */
	struct event *pace_timer;
	struct event *end_timer;
	uint64_t next_due_us; /**< of the next operation in an open loop */
	uint64_t random_state;
	uint32_t busy; /**< workers with an operation on its way */
	bool ending;
} load_t;

/** @return a number below @p limit, by the run's seed. */
uint64_t load_random(load_t *load, uint64_t limit);

/** @return true with the given probability. */
bool load_chance(load_t *load, double share);

/** Makes the table. @return false with a message on standard error */
bool load_prepare(load_t *load);

/** Runs until the time is over or SIGTERM comes, and operations end. */
void load_run(load_t *load);

/** Reads every row and ends the check. @return false if it could not */
bool load_verify(load_t *load);

/** @return the results as JSON. */
json_t *load_report(const load_t *load);

#endif
