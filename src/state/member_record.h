#ifndef STATE_MEMBER_RECORD_H
#define STATE_MEMBER_RECORD_H

#include <stdbool.h>
#include <stdint.h>

#include "state/member_view.h"

/**
 * State of a member as nodes exchange it. Of two records of one member the one
 * with the higher incarnation takes precedence, then the one with the higher
 * version, then the one with the higher state (dead over suspect over live).
 * Only the member itself raises its version.
 */
typedef struct {
	member_t member;  /**< the state is never MEMBER_LEAVING here */
	uint32_t version; /**< raised by each update from the member itself */
	bool leaving;	  /**< the member has announced that it leaves */
} member_record_t;

/** @return whether @p fresh takes precedence over @p known. */
bool member_record_supersedes(const member_record_t *fresh,
			      const member_record_t *known);

/** @return hash of name, incarnation and version, for digests of the member
 * list. */
uint64_t member_record_digest(const member_record_t *record);

#endif
