#ifndef COORDINATION_CONFIG_APPLY_H
#define COORDINATION_CONFIG_APPLY_H

#include <stdbool.h>
#include <stdint.h>

#include "store/store.h"
#include "state/config.h"

/** What is to be done next. */
typedef enum {
	CONFIG_APPLY_READ, /**< read the key, after config_apply_pause_ms() */
	CONFIG_APPLY_SWAP, /**< swap it at config_apply_index() */
	CONFIG_APPLY_END,  /**< see config_apply_outcome() */
} config_apply_step_t;

/** How an apply ended. */
typedef enum {
	CONFIG_APPLY_ACCEPTED,	/**< in force, at config_apply_revision() */
	CONFIG_APPLY_UNCHANGED, /**< the same is in force already */
	CONFIG_APPLY_CONFLICT,	/**< not in force; another change came first */
	CONFIG_APPLY_REFUSED,	/**< not in force; the platform said no */
	CONFIG_APPLY_UNREACHABLE, /**< not in force; nothing was sent */
	CONFIG_APPLY_UNKNOWN,	  /**< may be in force; its change id tells */
} config_apply_outcome_t;

/**
 * One operator's change of the configuration, as a sequence of reads and
 * swaps. Pure: results and time in, steps out.
 */
typedef struct config_apply config_apply_t;

/**
 * @param change_id       marks this change for ever
 * @param expect_revision revision that must be in force, or 0 for any
 * @param above_revision  the new revision is above this one, too: nodes keep
 *        a higher revision than that of a platform which lost its values
 * @param deadline_ms     time of the clock at which it gives up
 */
config_apply_t *config_apply_create(const char *change_id,
				    uint64_t expect_revision,
				    uint64_t above_revision,
				    uint64_t deadline_ms);

/** Frees it; NULL is allowed. */
void config_apply_destroy(config_apply_t *apply);

/** @return the first step. */
config_apply_step_t config_apply_begin(const config_apply_t *apply);

/**
 * Takes in the end of a read.
 *
 * @param current      what is in force, or NULL when there is none
 * @param same_content whether it holds what shall be applied
 * @param index        of the key, 0 when there is none
 */
config_apply_step_t config_apply_read(config_apply_t *apply,
				      store_result_t result,
				      const config_t *current,
				      bool same_content, uint64_t index,
				      uint64_t now_ms);

/** Takes in the end of a swap. */
config_apply_step_t config_apply_swapped(config_apply_t *apply,
					 store_result_t result,
					 uint64_t now_ms);

/** @return pause before the next read, in milliseconds. */
uint32_t config_apply_pause_ms(const config_apply_t *apply);

/** @return index at which the swap is due. */
uint64_t config_apply_index(const config_apply_t *apply);

/** @return revision of the swap that is due, or at which it came in force. */
uint64_t config_apply_revision(const config_apply_t *apply);

config_apply_outcome_t config_apply_outcome(const config_apply_t *apply);

/** @return a lower-case name for logs and messages. */
const char *config_apply_outcome_name(config_apply_outcome_t outcome);

/**
 * Gives @p config its revision and change, and remembers the changes that
 * came before it.
 *
 * @param current what was in force, or NULL
 */
void config_apply_stamp(config_t *config, const config_t *current,
			uint64_t revision, const char *change_id);

#endif
