#ifndef COORDINATION_QUOTA_LEADERSHIP_H
#define COORDINATION_QUOTA_LEADERSHIP_H

#include "state/quota_record.h"

/**
 * Decides whether this hub is the quota leader of its failure domain, and which
 * write to the domain's quota record is due.
 *
 * Load pattern: hubs that are frozen, cut off or restarted, all at once as
 * well, while callers use all of their quotas; outages and restores of the
 * store. At most one node of a domain admits operations at any time.
 *
 * A record of state LEADING is only written when no other node may admit, and
 * is changed only on condition that it has not changed. So its holder may
 * admit, also after a restart, while it can prove that the record is unchanged.
 * Times are of the boot clock.
 */
typedef struct quota_leadership quota_leadership_t;

/** Age up to which a proof allows to admit operations. */
#define QUOTA_LEADERSHIP_PROOF_MS 30000u

/**
 * Time from a takeover of the record until its holder may admit operations. It
 * exceeds the age of a proof by a tenth, more than clocks can differ.
 */
#define QUOTA_LEADERSHIP_SETTLE_MS 33000u

/**
 * Times without a sign of the holder, and without its hub key, after which it
 * is replaced. Both are needed: a holder whose key exists is alive, and its
 * domain would be without a leader for QUOTA_LEADERSHIP_SETTLE_MS.
 */
#define QUOTA_LEADERSHIP_SILENT_MS 3000u
#define QUOTA_LEADERSHIP_GONE_MS 15000u

typedef struct {
	const char *node;
	/** Delay of this node's takeovers, so that hubs do not write at once.
	 */
	uint32_t spread_ms;
	uint32_t proof_ms;  /**< QUOTA_LEADERSHIP_PROOF_MS */
	uint32_t settle_ms; /**< QUOTA_LEADERSHIP_SETTLE_MS */
} quota_leadership_settings_t;

/** Result of a conditional write. */
typedef enum {
	QUOTA_WRITE_DONE,
	QUOTA_WRITE_CONFLICT, /**< the record had changed */
	QUOTA_WRITE_UNKNOWN,  /**< it may still take effect */
} quota_write_result_t;

/** A write of the record that is due. */
typedef struct {
	quota_record_t record;
	int64_t revision; /**< that the record must have, 0 if absent */
} quota_write_t;

/** Creates a follower that is not enabled, of a hub that is not registered. */
quota_leadership_t *
quota_leadership_create(quota_leadership_settings_t settings);

/** Frees the state; NULL is allowed. */
void quota_leadership_destroy(quota_leadership_t *leadership);

/** Sets whether the site has quotas, without which no record is written. */
void quota_leadership_enable(quota_leadership_t *leadership, bool enabled);

/**
 * The hub's key is claimed. Nothing is written before: a node that loses its
 * claim is no hub, and its record would leave the domain without a leader. A
 * record of an earlier run holds without the claim.
 */
void quota_leadership_register(quota_leadership_t *leadership);

/**
 * The node is no hub any more, until it is registered again. A record of state
 * LEADING is released.
 */
void quota_leadership_withdraw(quota_leadership_t *leadership);

/**
 * Applies a change of the record, from any source.
 *
 * @param record   NULL if it was removed
 * @param revision of the change, see state/store_revision.h
 */
void quota_leadership_changed(quota_leadership_t *leadership,
			      const quota_record_t *record, int64_t revision,
			      uint64_t now_ms);

/**
 * Applies a read or watch that the store itself answered; all changes up to
 * @p revision were applied before.
 *
 * @param sent_ms when the request was sent
 */
void quota_leadership_synced(quota_leadership_t *leadership, int64_t revision,
			     uint64_t sent_ms, uint64_t now_ms);

/**
 * Reports what is known of the record's holder.
 *
 * @param is_hub   whether its hub key exists
 * @param heard_ms when it last answered, 0 if never
 */
void quota_leadership_holder_seen(quota_leadership_t *leadership, bool is_hub,
				  uint64_t heard_ms, uint64_t now_ms);

/**
 * Returns a write that is due; its result must be passed to
 * quota_leadership_written(). To be called several times a second.
 *
 * @return false if no write is due
 */
bool quota_leadership_step(quota_leadership_t *leadership, uint64_t now_ms,
			   quota_write_t *write);

/** @param revision of the record, if it was written */
void quota_leadership_written(quota_leadership_t *leadership,
			      quota_write_result_t result, int64_t revision,
			      uint64_t now_ms);

/** Stops for good; a record of state LEADING is released by a last write. */
void quota_leadership_resign(quota_leadership_t *leadership);

/** @return whether this node may admit operations now */
bool quota_leadership_may_admit(const quota_leadership_t *leadership,
				uint64_t now_ms);

/** @return whether a node that has left still has to release its record */
bool quota_leadership_is_releasing(const quota_leadership_t *leadership);

/** @return number of times that this node became the leader */
uint32_t quota_leadership_tenure(const quota_leadership_t *leadership);

/** @return the known record, or NULL */
const quota_record_t *
quota_leadership_record(const quota_leadership_t *leadership);

#endif
