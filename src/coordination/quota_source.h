#ifndef COORDINATION_QUOTA_SOURCE_H
#define COORDINATION_QUOTA_SOURCE_H

#include <stdbool.h>
#include <stdint.h>

#include "coordination/quota_bucket.h"

/**
 * What a node knows of the quota leaders, and the tokens that it keeps: decides
 * which leader is asked for an operation of a customer.
 *
 * Load pattern: all operations of a customer come through one node, so that its
 * own domain's leader has only a part of the quota; a customer at several times
 * its quota, whose rejections must not cost messages; leaders that are cut off.
 * Times are of the boot clock.
 */
typedef struct quota_source quota_source_t;

/** Result of quota_source_next() if there is no leader to ask. */
#define QUOTA_SOURCE_NONE UINT32_MAX

/** Maximum number of failure domains. */
#define QUOTA_SOURCE_DOMAINS_MAX 32u

/** Number of leaders of other domains that are asked for one operation. */
#define QUOTA_SOURCE_OTHERS_MAX 2u

/** Time for which a leader that did not answer is not asked. */
#define QUOTA_SOURCE_AVOID_MS 500u

/** The same for one that answered that it may not admit operations. */
#define QUOTA_SOURCE_AVOID_ANSWERED_MS 50u

/**
 * Time for which an unused token is kept. It may be used in a window of 5 s in
 * which it was not admitted; the leaders gain 3 % of the limit in this time.
 */
#define QUOTA_SOURCE_KEEP_MS 150u

/** Distance of a failure domain from the node. */
typedef enum {
	QUOTA_DISTANCE_OWN,
	QUOTA_DISTANCE_REGION, /**< another domain of the node's region */
	QUOTA_DISTANCE_FAR,
} quota_distance_t;

/** What was asked for one operation. */
typedef struct {
	uint32_t asked;	   /**< set of domains that were asked */
	uint32_t answered; /**< set of domains that answered */
} quota_quest_t;

/** Creates a source that knows no leader. */
quota_source_t *quota_source_create(void);

/** Frees the source; NULL is allowed. */
void quota_source_destroy(quota_source_t *source);

/**
 * Adds a failure domain.
 *
 * @return its index, from 0 on, or QUOTA_SOURCE_NONE if there are too many
 */
uint32_t quota_source_add(quota_source_t *source, quota_distance_t distance);

/** Sets whether a domain has a leader; a new one has an unknown level. */
void quota_source_set_leader(quota_source_t *source, uint32_t domain,
			     bool exists);

/** Sets whether a request to the leader needs no new connection. */
void quota_source_set_connected(quota_source_t *source, uint32_t domain,
				bool connected);

/**
 * A leader did not answer, or it answered that it may not admit operations.
 *
 * @param answered the leader is asked again sooner; it may just have started
 */
void quota_source_failed(quota_source_t *source, uint32_t domain, bool answered,
			 uint64_t now_ms);

/**
 * The leader of the own domain, which most operations ask first, stated when a
 * refused operation can expect to be admitted.
 */
void quota_source_expect(quota_source_t *source, uint32_t domain,
			 const char *customer, uint32_t expected_ms,
			 uint64_t now_ms);

/**
 * An operation was rejected, perhaps without asking a leader. The next one can
 * expect to be admitted one token later, up to QUOTA_EXPECTED_MS_MAX.
 */
void quota_source_rejected(quota_source_t *source, const char *customer,
			   uint64_t now_ms);

/** A leader that was late has answered; it may be asked again. */
void quota_source_reached(quota_source_t *source, uint32_t domain);

/**
 * A leader answered a request.
 *
 * @param retry_after_ms when it will have a token, 0 if it has one now
 */
void quota_source_answered(quota_source_t *source, uint32_t domain,
			   const char *customer, uint32_t retry_after_ms,
			   uint64_t now_ms);

/**
 * Chooses the leader to be asked next: the one of the own domain, then others
 * that are not known to be without a token.
 *
 * @return the domain, which is added to @p quest, or QUOTA_SOURCE_NONE
 */
uint32_t quota_source_next(quota_source_t *source, const char *customer,
			   quota_quest_t *quest, uint64_t now_ms);

/**
 * @return whether the operation was rejected by a leader, or all reachable ones
 *         are known to have no token; otherwise no leader could be asked
 */
bool quota_source_is_rejected(const quota_source_t *source,
			      const char *customer, const quota_quest_t *quest,
			      uint64_t now_ms);

/**
 * @return time until the first leader is known to have a token again, or until
 *         an operation can expect to be admitted if that is later; 0 if nothing
 *         is known
 */
uint32_t quota_source_retry_ms(const quota_source_t *source,
			       const char *customer, uint64_t now_ms);

/** Keeps a token that was obtained and not used. */
void quota_source_keep(quota_source_t *source, const char *customer,
		       uint32_t count, uint64_t now_ms);

/** Takes a kept token. @return false if there is none */
bool quota_source_take(quota_source_t *source, const char *customer,
		       uint64_t now_ms);

/** @return number of customers of which something is known */
uint32_t quota_source_count(const quota_source_t *source);

#endif
