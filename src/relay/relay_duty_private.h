#ifndef RELAY_RELAY_DUTY_PRIVATE_H
#define RELAY_RELAY_DUTY_PRIVATE_H

#include "coordination/primary_watch.h"
#include "coordination/replica_watch.h"
#include "relay/relay_duty.h"
#include "relay/relay_revocation.h"
#include "state/primary_record.h"

/* What the parts of the duty (relay_duty*.c) share. */

/** One service as the duty sees it. */
typedef struct {
	relay_duty_t *duty;
	char *name;
	int64_t revision; /**< of the record, 0 when there is none */
	primary_record_t record;
	primary_watch_t watch;
	replica_watch_t replicas;
	bool relief_asking;	  /**< all its servers are being asked */
	uint64_t relief_asked_ms; /**< when they were asked last */
	bool asking;		  /**< the primary is being asked */
	uint64_t asked_ms;	  /**< when it was asked last */
	takeover_t *takeover;
	relay_revocation_t *revocation; /**< of the takeover, or NULL */
	void *writing; /**< the takeover's write under way, or NULL */
	primary_record_t written; /**< what it writes */
	struct event *release;	  /**< lifts the fences */
	GHashTable *statuses; /**< id -> relay_status_t, for a first record */
	/** The takeover that was told last: its term, and its holder's token.
	 */
	uint64_t seen_takeover;
	uint64_t seen_token;
	uint64_t first_ms;  /**< since when a record is missing, or 0 */
	uint64_t ready_ms;  /**< since when one can be written, or 0 */
	uint64_t absent_ms; /**< since when the primary has no entry, or 0 */
	uint64_t round;	    /**< of takeovers; answers of others are dropped */
	bool writing_first;
} duty_service_t;

struct relay_duty {
	struct event_base *base;
	kv_store_t *store;
	relay_services_t *services;
	relay_promoter_t promoter;
	char *node;
	struct event *timer;
	GHashTable *entries; /**< service name -> duty_service_t */
	GRand *random;
	int64_t lease;	       /**< of the duty, 0 for none */
	int64_t held_revision; /**< of the duty's key while held, else 0 */
	int64_t key_revision;  /**< of the duty's key, 0 when it is free */
	char *last_holder;
	uint64_t renewed_ms; /**< when the last renewal was sent */
	uint64_t renew_sent_ms;
	uint64_t settled_ms; /**< from when promotions are allowed */
	uint64_t try_at_ms;
	uint64_t attempts; /**< writes of records so far */
	bool acquiring;
	bool synced;
	bool leaving;
	void (*takeover)(void *context);
	void *context;
};

#define DUTY_KEY RELAY_PRIMARIES_PREFIX "duty"
#define DUTY_HOLDER_KEY RELAY_PRIMARIES_PREFIX "holder"
#define DUTY_SERVICE_PREFIX RELAY_PRIMARIES_PREFIX "service/"

/** @return whether the duty is held and certainly still runs */
bool duty_is_safe(const relay_duty_t *duty);

/** @return the service's entry, made on first use */
duty_service_t *duty_service_get(relay_duty_t *duty, const char *name);

void duty_service_free(gpointer data);

/** Forgets what was seen of the primary so far. */
void duty_service_reset(duty_service_t *entry);

/** Watches the primary and starts what is due. */
void duty_service_step(duty_service_t *entry, uint64_t now_ms);

/** Starts a takeover of the service. */
void duty_takeover_start(duty_service_t *entry, takeover_kind_t kind,
			 const char *reason);

/**
 * A record was seen in the store: if it is what the takeover writes, its
 * answer is not waited for.
 */
void duty_takeover_seen(duty_service_t *entry, const primary_record_t *record,
			int64_t revision);

/**
 * Asks the replicas, if they seem late to apply what they receive or the
 * primary fails statements.
 *
 * @return why the primary should hand over to one of them now, or NULL
 */
const char *duty_relief_reason(duty_service_t *entry, relay_service_t *service,
			       relay_server_t *primary, uint64_t now_ms);

/** Gives the takeover up, if one runs. */
void duty_takeover_stop(duty_service_t *entry);

/** Makes the service's takeover, which is idle at first. */
void duty_takeover_create(duty_service_t *entry);

/** Finds out who leads a service that has no record yet. */
void duty_first_prepare(duty_service_t *entry, uint64_t now_ms);

/** Writes the records that were prepared, together where possible. */
void duty_first_write(relay_duty_t *duty, uint64_t now_ms);

/** Writes records of several services under the duty, all or none. */
void duty_write_all(relay_duty_t *duty, duty_service_t *const *entries,
		    const primary_record_t *records, uint32_t count,
		    kv_done_t done, void *context);

/** Writes the service's record under the duty. */
void duty_write(duty_service_t *entry, const primary_record_t *record,
		kv_done_t done, void *context);

#endif
