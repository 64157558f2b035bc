#ifndef COORDINATION_QUOTA_LOAN_H
#define COORDINATION_QUOTA_LOAN_H

#include <stdbool.h>
#include <stdint.h>

#include "coordination/quota_bucket.h"

/**
 * Decides which quota leader lends tokens to another one. The amounts are
 * decided by the leaders' buckets, see quota_buckets_shortage().
 *
 * Load pattern: all operations of a customer come through one failure domain,
 * whose leader gains only a part of the quota, while leaders 20 ms away have
 * tokens that nobody uses. At most one loan of a customer is under way. Times
 * are of the boot clock.
 */
typedef struct quota_loan quota_loan_t;

/** Result of quota_loan_choose() if there is nobody to ask. */
#define QUOTA_LOAN_NONE UINT32_MAX

/** Maximum number of lenders. */
#define QUOTA_LOAN_LENDERS_MAX 32u

/** Time for which a lender that did not answer is not asked. */
#define QUOTA_LOAN_AVOID_MS 500u

/** Least time for which a lender that refused a customer is not asked again. */
#define QUOTA_LOAN_REFUSED_MS 200u

/** Creates the state without any lender. */
quota_loan_t *quota_loan_create(void);

/** Frees the state; NULL is allowed. */
void quota_loan_destroy(quota_loan_t *loan);

/** Sets whether a lender can be asked now. */
void quota_loan_set_reachable(quota_loan_t *loan, uint32_t lender,
			      bool reachable);

/**
 * Chooses the leader to be asked: the one with the highest level of at least
 * @p count that was stated in the last second, else the one asked longest ago,
 * else the one with the highest level.
 *
 * @return the lender, of which a loan is now under way, or QUOTA_LOAN_NONE
 */
uint32_t quota_loan_choose(quota_loan_t *loan, const char *customer,
			   uint32_t count, uint64_t now_ms);

/**
 * The loan of a customer has ended with an answer.
 *
 * @param admission NULL if the lender may not admit operations now
 */
void quota_loan_answered(quota_loan_t *loan, const char *customer,
			 const quota_admission_t *admission, uint64_t now_ms);

/** The loan of a customer has ended without an answer. */
void quota_loan_failed(quota_loan_t *loan, const char *customer,
		       uint64_t now_ms);

/** @return number of loans under way */
uint32_t quota_loan_count(const quota_loan_t *loan);

#endif
