#ifndef STATE_MEMBER_RECORD_H
#define STATE_MEMBER_RECORD_H

#include <stdbool.h>
#include <stdint.h>

#include "state/member_view.h"

/**
 * What one node tells another of a member. Of two records of a member the
 * one with the higher incarnation holds, then the one with the higher
 * version, which only the member itself raises, then the graver state.
 */
typedef struct {
	member_t member;  /**< its state is never MEMBER_LEAVING here */
	uint32_t version; /**< grows when the member speaks for itself */
	bool leaving;	  /**< given up by its member, with a new version */
} member_record_t;

/** @return whether @p fresh says more than @p known. */
bool member_record_supersedes(const member_record_t *fresh,
			      const member_record_t *known);

/** @return a hash of name, incarnation and version, for digests. */
uint64_t member_record_digest(const member_record_t *record);

#endif
