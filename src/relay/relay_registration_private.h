#ifndef RELAY_RELAY_REGISTRATION_PRIVATE_H
#define RELAY_RELAY_REGISTRATION_PRIVATE_H

#include "coordination/lease_keys.h"
#include "relay/relay_registration.h"

/* Declarations shared by the source files of the registration. */

struct relay_registration {
	kv_store_t *store;
	node_lease_t *lease;
	relay_services_t *services;
	char *node;
	lease_keys_t *keys;   /* keys to remove from the store */
	bool listing;	      /* the node's keys are being listed */
	char *lease_key;      /* key of the lease last registered, or NULL */
	int64_t key_revision; /* revision of that key's last change */
	bool confirming;      /* a confirmation is under way */
	int64_t next_confirmation; /* revision to confirm next, or 0 */
	int64_t seen_revision; /* highest revision confirmed for the lease */
	char *hub_key;	       /* NULL before it is claimed */
	int64_t hub_revision;  /* expected revision of that key */
	bool claimed;	       /* the key was written by this run */
	bool settling;	       /* waits for relay_registration_settled() */
	uint64_t refresh_ms;   /* when the record is due to be written again */
	uint64_t expiry_ms;    /* no proof may be used from then on */
	char *description;     /* value of hub_key */
	struct event *timer;
	/* Lists the node's keys, and later removes those of earlier runs. */
	struct event *keys_timer;
	GHashTable *calls;	   /* call_t, the calls under way */
	uint32_t pending_renewals; /* renewals under way */
	bool opening;		   /* a lease is being opened and registered */
	bool leaving;		   /* the keys were removed permanently */
	/*
	 * The lease was lost in a restore of the store. The replicas' proofs
	 * under it still hold, since they need no store.
	 */
	bool restored;
	uint64_t restored_ms; /* when that was noticed */
	bool valid;	      /* validity last logged */
	bool interrupted;     /* a renewal since the last recovery failed */
	relay_registration_handlers_t handlers;
};

/** A call to the store. */
typedef struct {
	relay_registration_t *registration;
	int64_t lease; /* lease the call is for, or 0 */
	uint64_t sent_ms;
	uint64_t written_ms; /* when the record was made that it writes */
	bool refresh;	     /* the call writes nothing new */
	GPtrArray *removals; /* keys that the call removes, or NULL */
} registration_call_t;

/** Creates a call; it is freed by registration_call_end(). */
registration_call_t *registration_call_new(relay_registration_t *registration,
					   int64_t lease);

/** Creates one that writes the record, and removes what keys may be removed. */
registration_call_t *registration_call_write(relay_registration_t *registration,
					     int64_t lease);

/**
 * Frees a call and returns a copy of it, without the removals.
 *
 * @param written whether the store has done what the call asked for
 */
registration_call_t registration_call_end(registration_call_t *call,
					  bool written);

/** @return the value of the lease's key; free with g_free() */
char *registration_encode_record(int64_t lease, int64_t seen_revision);

/** Records that the store has the record that was made at @p written_ms. */
void registration_written(relay_registration_t *registration,
			  uint64_t written_ms);

/** Writes the record again if that was long ago; after a renewal. */
void registration_refresh(relay_registration_t *registration);

#endif
