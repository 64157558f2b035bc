#ifndef RELAY_RELAY_COORDINATOR_PRIVATE_H
#define RELAY_RELAY_COORDINATOR_PRIVATE_H

#include "coordination/fence_release.h"
#include "coordination/primary_watch.h"
#include "coordination/replica_watch.h"
#include "relay/relay_coordinator.h"
#include "relay/relay_revocation.h"
#include "state/primary_record.h"

/* Declarations shared by the source files of the coordinator. */

/** State that the coordinator keeps for one service. */
typedef struct {
	relay_coordinator_t *coordinator;
	char *name;
	int64_t revision; /**< store revision of the record, 0 without one */
	/**
	 * Newest primary record known; the store may have lost it in a restore.
	 */
	primary_record_t record;
	primary_watch_t watch;
	replica_watch_t replicas;
	uint64_t replicas_polled_ms; /**< when the last poll round started */
	/** When the servers were last polled for a new record. */
	uint64_t polled_ms;
	takeover_t *takeover;
	relay_revocation_t *revocation; /**< takeover's revocation, or NULL */
	void *pending_write; /**< identifies the write under way, or NULL */
	primary_record_t pending_record; /**< the record of that write */
	fence_release_t release; /**< fences that takeovers may have left */
	/** Server id -> relay_status_t, for a new record. */
	GHashTable *statuses;
	uint64_t seen_takeover_term; /**< takeover term last seen, or 0 */
	uint64_t seen_token;	   /**< fencing token of the last record seen */
	uint64_t missing_since_ms; /**< since when there is no record, or 0 */
	uint64_t ready_since_ms;  /**< since when a new record is ready, or 0 */
	uint64_t absent_since_ms; /**< when the primary lost its entry, or 0 */
	/** Counts takeovers; answers to actions of earlier ones are dropped. */
	uint64_t round;
	uint64_t recall_ms; /**< when a lost record is written again, or 0 */
	/**
	 * The record at that revision was written in the store's present era,
	 * so that it counts.
	 */
	bool current;
	uint64_t holders_polled_ms;  /**< see relay_coordinator_holders.c */
	uint64_t primary_started_ms; /**< start time of the primary, or 0 */
	uint64_t leaving_since_ms; /**< when the primary began to leave, or 0 */
	uint64_t successor_ms;	 /**< when a replica that stays had all last */
	uint64_t wait_logged_ms; /**< when a takeover's wait was last logged */
	/** The takeover knows what earlier holders may have ordered. */
	bool order_assumed;
	bool polling_holders;  /**< a poll for a departed replica's commits */
	bool holders_changed;  /**< the record's holders are to be written */
	bool saving_holders;   /**< they are being written */
	bool polling_replicas; /**< a poll round of the replicas is under way */
	bool probing;	       /**< a probe of the primary is under way */
	bool writing_initial;  /**< the record is being written */
	/** The servers are polled since earlier promotions have settled. */
	bool settled;
} coordinator_service_t;

/** Value of the key that names the node that last acquired the lease. */
typedef struct {
	char *node;  /**< NULL if the lease was never acquired */
	int64_t era; /**< era of the store in which it was acquired */
	/**
	 * When a restore of the store was last noticed, Unix ms, or 0. Nodes
	 * may then have registered without the store knowing it.
	 */
	int64_t restored_ms;
} coordinator_holder_t;

struct relay_coordinator {
	struct event_base *base;
	kv_store_t *store;
	relay_services_t *services;
	relay_promoter_t promoter;
	char *node;
	struct event *timer;
	GHashTable *entries; /**< service name -> coordinator_service_t */
	uint32_t first;	     /**< service that the next step begins with */
	uint32_t polls_left; /**< services that may be polled in this step */
	GRand *random;	     /**< jitter for acquiring the lease */
	int64_t lease;	     /**< store lease id, 0 for none */
	/**
	 * Revision of the coordinator key while this node holds the lease, else
	 * 0; serves as the fencing token.
	 */
	int64_t held_revision;
	int64_t key_revision; /**< coordinator key's revision, 0 when free */
	coordinator_holder_t last_holder; /**< who last acquired the lease */
	coordinator_holder_t next_holder; /**< written while acquiring */
	int64_t holder_revision; /**< revision of that key, 0 without one */
	/** A restore of the store was noticed, by the wall clock, or 0. */
	int64_t restored_ms;
	uint64_t renewed_ms; /**< when the last successful renewal was sent */
	uint64_t renew_sent_ms; /**< when the last renewal was sent */
	GHashTable *renewals;	/**< renewal_t, those without an answer */
	/** When orders of earlier holders have taken effect. */
	uint64_t settled_ms;
	uint64_t acquire_at_ms;	 /**< earliest time of the next acquisition */
	uint64_t write_attempts; /**< record writes by takeovers so far */
	bool acquiring;		 /**< an acquisition is under way */
	bool settling; /**< an earlier holder may have ordered promotions */
	bool enabled;  /**< may acquire the lease */
	bool synced;   /**< the keys were read at least once */
	bool leaving;  /**< the lease was released permanently */
	void (*on_takeover)(
		void *context); /**< see relay_coordinator_create() */
	void *context;
};

#define COORDINATOR_KEY RELAY_PRIMARIES_PREFIX "duty"
#define COORDINATOR_HOLDER_KEY RELAY_PRIMARIES_PREFIX "holder"
#define COORDINATOR_SERVICE_PREFIX RELAY_PRIMARIES_PREFIX "service/"

/**
 * @return whether the coordinator lease is held and was renewed recently, so
 *         that a promotion may be ordered, or a fence lifted
 */
bool coordinator_may_promote(const relay_coordinator_t *coordinator);

/**
 * @return whether the store knows every node that may use a proof; not for a
 *         while after a restore
 */
bool coordinator_knows_all_nodes(const relay_coordinator_t *coordinator);

/** Applies the key that names who last acquired the coordinator lease. */
void coordinator_holder_seen(relay_coordinator_t *coordinator,
			     const kv_item_t *item);

/**
 * @param era the store's present era
 * @return the next value of that key; its node is not copied
 */
coordinator_holder_t
coordinator_holder_next(const relay_coordinator_t *coordinator, int64_t era);

/** @return the value of the key as text; free with g_free() */
char *coordinator_holder_encode(const coordinator_holder_t *holder);

/** Frees the members. */
void coordinator_holder_clear(coordinator_holder_t *holder);

/** Applies a primary record that was read from the store. */
void coordinator_record_seen(relay_coordinator_t *coordinator,
			     const kv_item_t *item);

/** Writes records again that the store has lost and this node remembers. */
void coordinator_recall_step(relay_coordinator_t *coordinator, uint64_t now_ms);

/** @return the state of a service, created on first use */
coordinator_service_t *coordinator_service_get(relay_coordinator_t *coordinator,
					       const char *name);

/** Frees the state of a service; a GDestroyNotify. */
void coordinator_service_free(gpointer data);

/** Clears the observations of the primary. */
void coordinator_service_reset(coordinator_service_t *entry);

/**
 * Advances a running takeover; otherwise checks the primary and starts a
 * probe or takeover that is due.
 */
void coordinator_service_step(coordinator_service_t *entry, uint64_t now_ms);

/** Starts a takeover of the service. */
void coordinator_takeover_start(coordinator_service_t *entry,
				takeover_kind_t kind, const char *reason);

/**
 * Handles a record that was read from the store. If the record is the one that
 * the takeover is writing, the write is complete even without its answer.
 */
void coordinator_takeover_record_seen(coordinator_service_t *entry,
				      const primary_record_t *record,
				      int64_t revision);

/**
 * Polls the replicas if they seem to lag or if the primary fails statements.
 *
 * @return the reason why the primary should hand over to a replica now, or
 *         NULL
 */
const char *coordinator_handover_reason(coordinator_service_t *entry,
					relay_service_t *service,
					relay_server_t *primary,
					uint64_t now_ms);

/** @return number of replicas that have each acknowledged commit, or 0 */
uint32_t coordinator_sync_replicas(const coordinator_service_t *entry);

/**
 * Adds the replicas that are present to a list.
 *
 * @param primary id of the primary, which is no replica
 * @return whether a replica of the list has departed since the last call
 */
bool coordinator_holders_update(const coordinator_service_t *entry,
				const char *primary, sync_holders_t *holders);

/** Tells the takeover what the server that it promotes must hold. */
void coordinator_holders_guard(coordinator_service_t *entry);

/**
 * Follows which replicas may hold acknowledged commits; does nothing for a
 * service without synchronous replicas. One that has departed is forgotten once
 * enough others have received all that the primary had.
 */
void coordinator_holders_step(coordinator_service_t *entry, uint64_t now_ms);

/**
 * @return whether a primary that leaves should hand over now: at once, but with
 *         synchronous replicas not before one that stays has all of its log,
 *         within bounds
 */
bool coordinator_may_hand_over(coordinator_service_t *entry, uint64_t now_ms);

/** Lifts the fence of one server; the caller must hold the duty. */
void coordinator_lift_fence(coordinator_service_t *entry, const char *server);

/** Lifts the fences that takeovers have left, when that is due. */
void coordinator_release_step(coordinator_service_t *entry, uint64_t now_ms);

/** Advances the takeover that is running, and logs what it waits for. */
void coordinator_takeover_step(coordinator_service_t *entry, uint64_t now_ms);

/** Updates the servers of a running takeover. */
void coordinator_takeover_set_servers(coordinator_service_t *entry);

/** Aborts the takeover if one is running. */
void coordinator_takeover_stop(coordinator_service_t *entry);

/** Creates the takeover state machine of a service, initially idle. */
void coordinator_takeover_create(coordinator_service_t *entry);

/**
 * Polls the servers of a service whose primary record is missing, or is older
 * than the last restore of the store, to find the present primary. Starts a
 * takeover if the servers do not agree with what is known.
 */
void coordinator_initial_prepare(coordinator_service_t *entry, uint64_t now_ms);

/** Writes the prepared records, several in one transaction. */
void coordinator_initial_write(relay_coordinator_t *coordinator,
			       uint64_t now_ms);

/**
 * Writes the records of several services in one transaction, on condition that
 * no record has changed and the coordinator lease is still held.
 */
void coordinator_write_records(relay_coordinator_t *coordinator,
			       coordinator_service_t *const *entries,
			       const primary_record_t *records, uint32_t count,
			       kv_done_t done, void *context);

/** Writes the record of one service, see coordinator_write_records(). */
void coordinator_write_record(coordinator_service_t *entry,
			      const primary_record_t *record, kv_done_t done,
			      void *context);

#endif
