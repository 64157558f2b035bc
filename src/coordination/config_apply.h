#ifndef COORDINATION_CONFIG_APPLY_H
#define COORDINATION_CONFIG_APPLY_H

#include <stdbool.h>
#include <stdint.h>

#include "store/store.h"
#include "state/config.h"

/** The step that the caller must carry out next. */
typedef enum {
	CONFIG_APPLY_READ, /**< read the key after config_apply_pause_ms() */
	CONFIG_APPLY_SWAP, /**< compare-and-swap at config_apply_index() */
	CONFIG_APPLY_END,  /**< done; see config_apply_outcome() */
} config_apply_step_t;

/** How an apply ended. */
typedef enum {
	CONFIG_APPLY_ACCEPTED,	  /**< in force as of config_apply_revision() */
	CONFIG_APPLY_UNCHANGED,	  /**< the same content was already in force */
	CONFIG_APPLY_CONFLICT,	  /**< not in force; another change won */
	CONFIG_APPLY_REFUSED,	  /**< not in force; the platform rejected it */
	CONFIG_APPLY_UNREACHABLE, /**< not in force; no swap was sent */
	CONFIG_APPLY_UNKNOWN,	  /**< may be in force; look up its change id */
} config_apply_outcome_t;

/**
 * One operator's change of the configuration, as a sequence of reads and
 * compare-and-swaps of the platform's key. The module does no I/O: it receives
 * results and the time, and returns the next step.
 */
typedef struct config_apply config_apply_t;

/**
 * @param change_id       identifies this change permanently
 * @param expect_revision revision that must be in force, or 0 for any
 * @param above_revision  lower bound of the new revision, exclusive: if the
 *        platform has lost its values, nodes still hold a higher revision
 *        and would ignore a lower one
 * @param deadline_ms     time after which reads are no longer repeated
 */
config_apply_t *config_apply_create(const char *change_id,
				    uint64_t expect_revision,
				    uint64_t above_revision,
				    uint64_t deadline_ms);

/** Frees the change; NULL is allowed. */
void config_apply_destroy(config_apply_t *apply);

/** @return the first step. */
config_apply_step_t config_apply_begin(const config_apply_t *apply);

/**
 * Handles the result of a read.
 *
 * @param current      configuration in force, or NULL if there is none
 * @param same_content whether @p current has the content to be applied
 * @param index        the platform's index of the key, 0 if it is absent
 */
config_apply_step_t config_apply_read(config_apply_t *apply,
				      store_result_t result,
				      const config_t *current,
				      bool same_content, uint64_t index,
				      uint64_t now_ms);

/** Handles the result of a swap. */
config_apply_step_t config_apply_swapped(config_apply_t *apply,
					 store_result_t result,
					 uint64_t now_ms);

/** @return pause before the next read, in milliseconds. */
uint32_t config_apply_pause_ms(const config_apply_t *apply);

/** @return the key's index that the next swap must expect. */
uint64_t config_apply_index(const config_apply_t *apply);

/** @return the revision that the next swap writes or that came into force. */
uint64_t config_apply_revision(const config_apply_t *apply);

/** @return the outcome; valid after the step CONFIG_APPLY_END. */
config_apply_outcome_t config_apply_outcome(const config_apply_t *apply);

/** @return a lower-case name for logs and messages. */
const char *config_apply_outcome_name(config_apply_outcome_t outcome);

/**
 * Sets the revision and change id of @p config and its list of preceding
 * changes.
 *
 * @param current configuration that was in force before, or NULL
 */
void config_apply_stamp(config_t *config, const config_t *current,
			uint64_t revision, const char *change_id);

#endif
