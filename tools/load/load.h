#ifndef LOAD_LOAD_H
#define LOAD_LOAD_H

#include <stdbool.h>
#include <stdint.h>

#include <event2/event.h>
#include <jansson.h>

#include "base/metrics.h"
#include "load/checker.h"

/** Options of a run. */
typedef struct {
	const char **targets; /**< libpq connection strings */
	uint32_t targets_count;
	const char **replicas; /**< connection strings for reads; may be none */
	uint32_t replicas_count;
	uint32_t stick_ms; /**< time after a write without replica reads */
	uint32_t sessions; /**< number of concurrent sessions */
	uint32_t duration_ms;
	double read_share;	  /**< share of reads among the operations */
	double transaction_share; /**< share of writes in BEGIN and COMMIT */
	double other_token_share; /**< reads with another session's token */
	uint32_t rate_per_second; /**< operations; 0 for a closed loop */
	uint32_t timeout_ms;	  /**< timeout of one operation */
	uint32_t max_age_ms;	  /**< maximum age of reads; 0 for no limit */
	bool request_keys;	  /**< inserts carry idempotency keys */
	bool extended;		  /**< use the extended query protocol */
	bool roam;		  /**< sessions sometimes change their target */
	uint64_t seed;		  /**< seed of the random choices */
	const char *table;
	const char *prefix; /**< prefix of this run's row keys */
} load_options_t;

/** Results of a run. */
typedef struct {
	metrics_t *metrics;		  /**< owns the histograms below */
	metric_histogram_t *read_delays;  /**< successful reads */
	metric_histogram_t *write_delays; /**< acknowledged writes */
	uint64_t reads;			  /**< successful reads */
	uint64_t replica_reads;		  /**< successful reads at replicas */
	uint64_t writes;		  /**< acknowledged writes */
	uint64_t not_run;  /**< failed operations without effect */
	uint64_t unknown;  /**< writes of unknown outcome */
	uint64_t connects; /**< connections opened */
	GHashTable *codes; /**< number of failures by SQLSTATE or reason */
	uint64_t started_us;
	uint64_t ended_us;
	uint64_t last_write_us;	 /**< time of the last acknowledged write */
	uint64_t longest_gap_us; /**< longest time between such writes */
} load_results_t;

struct worker;

/** State of one run. */
typedef struct {
	load_options_t options;
	load_results_t results;
	checker_t *checker;
	struct event_base *base;
	struct worker *workers; /**< one for each session */
	struct worker *readers; /**< one for each session, or NULL */
	struct event *pace_timer;
	struct event *end_timer;
	uint64_t next_due_us; /**< open loop: due time of the next operation */
	uint64_t random_state;
	uint32_t running_count; /**< workers with a running operation */
	bool ending;		/**< no new operations are started */
} load_t;

/** @return a pseudo-random number below @p limit; depends on the seed. */
uint64_t load_random(load_t *load, uint64_t limit);

/** @return true with the given probability. */
bool load_chance(load_t *load, double share);

/** Creates the table. @return false after printing the error */
bool load_prepare(load_t *load);

/**
 * Runs operations until the duration is over or SIGTERM arrives, then waits
 * for the running ones.
 */
void load_run(load_t *load);

/** Checks all rows of the table. @return false if they cannot be read */
bool load_verify(load_t *load);

/** @return the results as a JSON object. */
json_t *load_report(const load_t *load);

#endif
