#ifndef COORDINATION_QUOTA_BUCKET_H
#define COORDINATION_QUOTA_BUCKET_H

#include <stdint.h>

/**
 * The token buckets of one quota leader, one for each customer in use.
 *
 * Load pattern: a customer at several times its quota, on any number of nodes,
 * while quota leaders restart and limits change. Each failure domain's leader
 * may admit its part of the quota alone, so that the sum holds without any
 * message between leaders.
 *
 * All leaders together hold up to C = burst + 6 tokens, at least one each, and
 * gain R = (0.97 x L - C) / 5 per second, where L = (5 x rate + burst) x 1.1 +
 * 20 is the limit of a window of 5 s: what is sent and arrives in a window was
 * admitted in it. R is at least the rate and at most 1.1 x rate + 4; a customer
 * of rate 0 gets nothing. The 3 % are for reads that are sent to two servers.
 */
typedef struct quota_buckets quota_buckets_t;

/** Limits of one customer, over all nodes together. */
typedef struct {
	uint32_t rate_per_s;
	uint32_t burst;
} quota_limit_t;

/** Answer to a request for tokens. */
typedef struct {
	uint32_t granted;
	/** When the next token is available, 0 if there is one now. */
	uint32_t retry_after_ms;
	/** Tokens left that may be given away, for an answer to a leader. */
	uint32_t level;
	/**
	 * When an operation that was refused can expect to be admitted, as many
	 * others were refused in the last second; 0 if there is a token now.
	 */
	uint32_t expected_ms;
} quota_admission_t;

/** Longest time after which an operation is expected to be admitted. */
#define QUOTA_EXPECTED_MS_MAX 1000u

/** A leader among those of all failure domains. */
typedef struct {
	uint32_t
		domains; /**< number of failure domains, each with one leader */
	uint32_t rank;	 /**< of this leader's domain, from 0 on */
} quota_share_t;

/**
 * Creates the buckets of a leader. They hold no token at @p now_ms, only a part
 * of one that differs between the domains: leaders that start at the same time
 * gain their tokens one after the other, together as many as one empty bucket
 * of the whole quota.
 *
 * @param customers_max upper bound of the number of buckets; further customers
 *        are rejected
 */
quota_buckets_t *quota_buckets_create(quota_share_t share,
				      uint32_t customers_max, uint64_t now_ms);

/** Frees the buckets; NULL is allowed. */
void quota_buckets_destroy(quota_buckets_t *buckets);

/**
 * Takes up to @p count tokens of a customer. A bucket whose limit has changed
 * has gained tokens at the lower of both rates since it was last used.
 *
 * @param now_ms time on the boot clock
 */
quota_admission_t quota_buckets_admit(quota_buckets_t *buckets,
				      const char *customer, quota_limit_t limit,
				      uint32_t count, uint64_t now_ms);

/**
 * Returns how many tokens to borrow from another leader: some if the level is
 * below what the demand of 150 ms uses, as far as it exceeds what the bucket
 * gains, and below two tokens; what the demand of 400 ms uses. None while a
 * loan is under way.
 */
uint32_t quota_buckets_shortage(quota_buckets_t *buckets, const char *customer,
				quota_limit_t limit, uint64_t now_ms);

/**
 * A loan is under way. Buckets and loans of all leaders together hold at most
 * the tokens gained in that time more than the buckets alone: a loan fits into
 * the bucket when it is asked for, and what does not when it ends is lost.
 */
void quota_buckets_start_loan(quota_buckets_t *buckets, const char *customer,
			      uint32_t count);

/**
 * A loan has ended. Nothing is added if the bucket has begun anew meanwhile.
 *
 * @param granted tokens that the other leader has given
 */
void quota_buckets_end_loan(quota_buckets_t *buckets, const char *customer,
			    quota_limit_t limit, uint32_t granted,
			    uint64_t now_ms);

/**
 * Gives tokens to another leader, but none that the demand of the next 150 ms
 * uses here, and none while this leader itself borrows.
 */
quota_admission_t quota_buckets_lend(quota_buckets_t *buckets,
				     const char *customer, quota_limit_t limit,
				     uint32_t count, uint64_t now_ms);

/** @return number of buckets that are kept */
uint32_t quota_buckets_count(const quota_buckets_t *buckets);

#endif
