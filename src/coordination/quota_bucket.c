#include "coordination/quota_bucket.h"

#include <math.h>
#include <stdbool.h>

#include <glib.h>

/* Longest time until the next token that is stated. */
#define RETRY_AFTER_MS_MAX 60000u

/*
 * Idle time before a bucket may be dropped. Quotas hold for windows of 5 s; a
 * bucket that is created again must not add to what it admitted in the same
 * window under a limit that has changed since.
 */
#define IDLE_MS 10000u

/* Interval of looking for buckets to be dropped. */
#define SWEEP_MS 10000u

/*
 * Levels are in parts of a token, 10^6 times the number of domains each, so
 * that one domain's bucket gains in a millisecond as many parts as all leaders
 * together admit operations in 1000 s.
 */
#define PARTS_PER_DOMAIN 1000000u

/* Operations that all leaders may admit at once above the burst. */
#define BURST_SLACK 6u

/*
 * Largest rate of all leaders together: a tenth above the quota's, and this
 * many more. A large burst with a small rate would give a multiple of the rate.
 */
#define RATE_SLACK_PER_S 4u

/* Window of the limit, and the part of it that admissions may use. */
#define WINDOW_S 5u
#define WINDOW_PER_CENT 97u

/* Time over which the demand is averaged. */
#define DEMAND_MS 1000.0

/*
 * A leader borrows when its level is below the demand of LOW_MS, about three
 * times as long as an answer of another region takes, and keeps as much when it
 * lends; it asks for the demand of LOAN_MS.
 */
#define LOW_MS 150.0
#define LOAN_MS 400.0

/* Least level at which nothing is borrowed, in tokens. */
#define LOW_TOKENS 2u

/*
 * Part of the capacity for which there must be room: loans of single tokens
 * bring too few, since only one is under way.
 */
#define LOAN_ROOM_PART 3

/* Maximum number of tokens of a loan. */
#define LOAN_TOKENS_MAX 256u

/* Lowest demand for which is borrowed, operations in DEMAND_MS. */
#define DEMAND_MIN 0.1

typedef struct {
	quota_limit_t limit;
	uint64_t level;	   /* in parts */
	uint64_t incoming; /* loan under way, in parts */
	uint64_t used_ms;
	double demand;	 /* requested operations, decaying over DEMAND_MS */
	double admitted; /* of these operations */
	uint64_t demand_ms;
} bucket_t;

struct quota_buckets {
	uint32_t domains;
	uint64_t initial; /* level at the start, less than a token */
	uint32_t customers_max;
	uint64_t created_ms;
	uint64_t swept_ms;
	GHashTable *table; /* customer -> bucket_t */
};

quota_buckets_t *quota_buckets_create(quota_share_t share,
				      uint32_t customers_max, uint64_t now_ms)
{
	quota_buckets_t *buckets = g_new0(quota_buckets_t, 1);

	buckets->domains = MAX(share.domains, 1);
	buckets->initial = (uint64_t)PARTS_PER_DOMAIN *
			   MIN(share.rank, buckets->domains - 1);
	buckets->customers_max = customers_max;
	buckets->created_ms = now_ms;
	buckets->swept_ms = now_ms;
	buckets->table =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return buckets;
}

void quota_buckets_destroy(quota_buckets_t *buckets)
{
	if (!buckets)
		return;
	g_hash_table_destroy(buckets->table);
	g_free(buckets);
}

static uint64_t token_parts(const quota_buckets_t *buckets)
{
	return (uint64_t)PARTS_PER_DOMAIN * buckets->domains;
}

/* @return tokens that the buckets of all leaders hold together */
static uint64_t total_capacity(const quota_buckets_t *buckets,
			       quota_limit_t limit)
{
	return MAX((uint64_t)limit.burst + BURST_SLACK, buckets->domains);
}

static uint64_t capacity_parts(const quota_buckets_t *buckets,
			       quota_limit_t limit)
{
	return total_capacity(buckets, limit) * PARTS_PER_DOMAIN;
}

/* @return operations that all leaders together admit in 1000 s */
static uint64_t total_rate(const quota_buckets_t *buckets, quota_limit_t limit)
{
	const uint64_t rate = limit.rate_per_s;
	/* (5 rate + burst) x 1.1 + 20, in thousandths, less what is not used */
	const uint64_t window =
		(11 * (WINDOW_S * rate + limit.burst) + 200) * WINDOW_PER_CENT;
	const uint64_t capacity = total_capacity(buckets, limit) * 1000;
	const uint64_t left =
		window > capacity ? (window - capacity) / WINDOW_S : 0;

	if (!rate)
		return 0;
	return CLAMP(left, rate * 1000, rate * 1100 + RATE_SLACK_PER_S * 1000);
}

/* @return the level that a bucket of @p level reaches in @p elapsed_ms */
static uint64_t refill(uint64_t level, uint64_t rate, uint64_t capacity,
		       uint64_t elapsed_ms)
{
	if (level >= capacity)
		return capacity;
	if (rate && elapsed_ms > (capacity - level) / rate)
		return capacity;
	return level + rate * elapsed_ms;
}

static uint64_t elapsed_ms(uint64_t since_ms, uint64_t now_ms)
{
	return now_ms > since_ms ? now_ms - since_ms : 0;
}

/* @return the level of a bucket that was not used since the leader began */
static uint64_t initial_level(const quota_buckets_t *buckets,
			      quota_limit_t limit, uint64_t now_ms)
{
	return refill(buckets->initial, total_rate(buckets, limit),
		      capacity_parts(buckets, limit),
		      elapsed_ms(buckets->created_ms, now_ms));
}

static void update(const quota_buckets_t *buckets, bucket_t *bucket,
		   quota_limit_t limit, uint64_t now_ms)
{
	const uint64_t capacity = MIN(capacity_parts(buckets, bucket->limit),
				      capacity_parts(buckets, limit));

	bucket->level = refill(bucket->level,
			       MIN(total_rate(buckets, bucket->limit),
				   total_rate(buckets, limit)),
			       capacity, elapsed_ms(bucket->used_ms, now_ms));
	bucket->limit = limit;
	bucket->used_ms = MAX(bucket->used_ms, now_ms);
}

/* Whether a bucket created anew would have no more tokens than this one. */
static bool is_dispensable(const quota_buckets_t *buckets,
			   const bucket_t *bucket, uint64_t now_ms)
{
	const uint64_t idle_ms = elapsed_ms(bucket->used_ms, now_ms);

	return idle_ms >= IDLE_MS && !bucket->incoming &&
	       initial_level(buckets, bucket->limit, now_ms) <=
		       refill(bucket->level, total_rate(buckets, bucket->limit),
			      capacity_parts(buckets, bucket->limit), idle_ms);
}

static void sweep(quota_buckets_t *buckets, uint64_t now_ms)
{
	GHashTableIter iter;
	gpointer bucket;

	if (now_ms < buckets->swept_ms + SWEEP_MS)
		return;
	buckets->swept_ms = now_ms;
	g_hash_table_iter_init(&iter, buckets->table);
	while (g_hash_table_iter_next(&iter, NULL, &bucket))
		if (is_dispensable(buckets, bucket, now_ms))
			g_hash_table_iter_remove(&iter);
}

/* @return the part of what was counted that is left now */
static double decay(const bucket_t *bucket, uint64_t now_ms)
{
	return exp(-(double)elapsed_ms(bucket->demand_ms, now_ms) / DEMAND_MS);
}

/* @return operations requested per DEMAND_MS */
static double demand_at(const bucket_t *bucket, uint64_t now_ms)
{
	return bucket->demand * decay(bucket, now_ms);
}

/* @return tokens that a bucket gains per DEMAND_MS */
static double gain(const quota_buckets_t *buckets, const bucket_t *bucket)
{
	return (double)total_rate(buckets, bucket->limit) * DEMAND_MS /
	       (double)token_parts(buckets);
}

static void count_request(bucket_t *bucket, uint32_t count, uint32_t granted,
			  uint64_t now_ms)
{
	const double left = decay(bucket, now_ms);

	bucket->demand = bucket->demand * left + count;
	bucket->admitted = bucket->admitted * left + granted;
	bucket->demand_ms = MAX(bucket->demand_ms, now_ms);
}

/*
 * The operations refused in the last second compete for the next tokens, which
 * come as fast as operations were admitted, loans included. Retries at the time
 * of the next token mostly found it taken.
 */
static uint32_t expected_ms(const quota_buckets_t *buckets,
			    const bucket_t *bucket, uint32_t next_ms)
{
	const double speed = MAX(gain(buckets, bucket), bucket->admitted);
	double wait_ms;

	if (!next_ms)
		return 0;
	if (speed <= 0)
		return QUOTA_EXPECTED_MS_MAX;
	wait_ms = next_ms +
		  (bucket->demand - bucket->admitted) / speed * DEMAND_MS;
	return (uint32_t)MIN(wait_ms, QUOTA_EXPECTED_MS_MAX);
}

/* @return the customer's bucket as of now, or NULL if there are too many */
static bucket_t *get_bucket(quota_buckets_t *buckets, const char *customer,
			    quota_limit_t limit, uint64_t now_ms)
{
	bucket_t *bucket = g_hash_table_lookup(buckets->table, customer);

	if (bucket) {
		update(buckets, bucket, limit, now_ms);
		return bucket;
	}
	if (g_hash_table_size(buckets->table) >= buckets->customers_max)
		return NULL;
	bucket = g_new0(bucket_t, 1);
	bucket->limit = limit;
	bucket->level = initial_level(buckets, limit, now_ms);
	bucket->used_ms = now_ms;
	g_hash_table_insert(buckets->table, g_strdup(customer), bucket);
	return bucket;
}

/* @return time until the bucket holds @p level, bounded */
static uint32_t time_until_ms(const quota_buckets_t *buckets,
			      const bucket_t *bucket, uint64_t level)
{
	const uint64_t rate = total_rate(buckets, bucket->limit);
	uint64_t wait_ms;

	if (bucket->level >= level)
		return 0;
	if (!rate)
		return RETRY_AFTER_MS_MAX;
	wait_ms = (level - bucket->level + rate - 1) / rate;
	return (uint32_t)MIN(wait_ms, RETRY_AFTER_MS_MAX);
}

quota_admission_t quota_buckets_admit(quota_buckets_t *buckets,
				      const char *customer, quota_limit_t limit,
				      uint32_t count, uint64_t now_ms)
{
	const uint64_t token = token_parts(buckets);
	quota_admission_t admission = {.retry_after_ms = RETRY_AFTER_MS_MAX};
	bucket_t *bucket;

	sweep(buckets, now_ms);
	bucket = get_bucket(buckets, customer, limit, now_ms);
	if (!bucket)
		return admission;
	admission.granted = (uint32_t)MIN(bucket->level / token, count);
	bucket->level -= admission.granted * token;
	count_request(bucket, count, admission.granted, now_ms);
	admission.retry_after_ms = time_until_ms(buckets, bucket, token);
	admission.expected_ms =
		expected_ms(buckets, bucket, admission.retry_after_ms);
	admission.level = (uint32_t)(bucket->level / token);
	return admission;
}

/* @return the level that the demand of LOW_MS uses */
static uint64_t low_parts(const quota_buckets_t *buckets,
			  const bucket_t *bucket, uint64_t now_ms)
{
	return (uint64_t)(demand_at(bucket, now_ms) * LOW_MS / DEMAND_MS *
			  (double)token_parts(buckets));
}

static bool is_low(const quota_buckets_t *buckets, const bucket_t *bucket,
		   uint64_t now_ms)
{
	const double demand = demand_at(bucket, now_ms);

	if (demand < DEMAND_MIN)
		return false;
	return bucket->level < LOW_TOKENS * token_parts(buckets) ||
	       (demand > gain(buckets, bucket) &&
		bucket->level < low_parts(buckets, bucket, now_ms));
}

uint32_t quota_buckets_shortage(quota_buckets_t *buckets, const char *customer,
				quota_limit_t limit, uint64_t now_ms)
{
	bucket_t *bucket = get_bucket(buckets, customer, limit, now_ms);
	uint64_t capacity;
	uint64_t wanted;
	uint64_t least;
	uint64_t room;

	if (!bucket || bucket->incoming || !limit.rate_per_s ||
	    !is_low(buckets, bucket, now_ms))
		return 0;
	wanted = (uint64_t)MIN(
		ceil(demand_at(bucket, now_ms) * LOAN_MS / DEMAND_MS),
		LOAN_TOKENS_MAX);
	capacity = capacity_parts(buckets, limit);
	room = (capacity - bucket->level) / token_parts(buckets);
	least = capacity / token_parts(buckets) / LOAN_ROOM_PART;
	return room < MIN(least, wanted) ? 0 : (uint32_t)MIN(room, wanted);
}

void quota_buckets_start_loan(quota_buckets_t *buckets, const char *customer,
			      uint32_t count)
{
	bucket_t *bucket = g_hash_table_lookup(buckets->table, customer);

	if (bucket)
		bucket->incoming = count * token_parts(buckets);
}

void quota_buckets_end_loan(quota_buckets_t *buckets, const char *customer,
			    quota_limit_t limit, uint32_t granted,
			    uint64_t now_ms)
{
	bucket_t *bucket = g_hash_table_lookup(buckets->table, customer);

	if (!bucket || !bucket->incoming)
		return;
	update(buckets, bucket, limit, now_ms);
	bucket->level += MIN(granted * token_parts(buckets), bucket->incoming);
	bucket->level = MIN(bucket->level, capacity_parts(buckets, limit));
	bucket->incoming = 0;
}

quota_admission_t quota_buckets_lend(quota_buckets_t *buckets,
				     const char *customer, quota_limit_t limit,
				     uint32_t count, uint64_t now_ms)
{
	const uint64_t token = token_parts(buckets);
	quota_admission_t admission = {.retry_after_ms = RETRY_AFTER_MS_MAX};
	bucket_t *bucket = get_bucket(buckets, customer, limit, now_ms);
	uint64_t kept;

	if (!bucket || bucket->incoming)
		return admission;
	kept = low_parts(buckets, bucket, now_ms);
	if (bucket->level > kept)
		admission.granted =
			(uint32_t)MIN((bucket->level - kept) / token, count);
	bucket->level -= admission.granted * token;
	admission.retry_after_ms = time_until_ms(buckets, bucket, kept + token);
	if (bucket->level > kept)
		admission.level = (uint32_t)((bucket->level - kept) / token);
	return admission;
}

uint32_t quota_buckets_count(const quota_buckets_t *buckets)
{
	return g_hash_table_size(buckets->table);
}
