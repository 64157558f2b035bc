#ifndef RELAY_RELAY_REGISTRATION_PRIVATE_H
#define RELAY_RELAY_REGISTRATION_PRIVATE_H

#include "relay/relay_registration.h"

/* Declarations shared by the source files of the registration. */

struct relay_registration {
	kv_store_t *store;
	node_lease_t *lease;
	relay_services_t *services;
	char *node;
	char *lease_key;      /* key of the lease last registered, or NULL */
	int64_t key_revision; /* revision of that key's last change */
	bool confirming;      /* a confirmation is under way */
	int64_t next_confirmation; /* revision to confirm next, or 0 */
	int64_t seen_revision; /* highest revision confirmed for the lease */
	char *hub_key;	       /* NULL before it is claimed */
	int64_t hub_revision;  /* expected revision of that key */
	bool claimed;	       /* the key was written by this run */
	bool settling;	       /* waits for relay_registration_settled() */
	uint64_t settled_ms;   /* when proofs of earlier runs have expired */
	char *description;     /* value of hub_key */
	struct event *timer;
	struct event *settled_timer; /* rewrites the record at settled_ms */
	GHashTable *calls;	     /* call_t, the calls under way */
	uint32_t pending_renewals;   /* renewals under way */
	bool opening; /* a lease is being opened and registered */
	bool leaving; /* the keys were removed permanently */
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
} registration_call_t;

/** Creates a call; it is freed by registration_call_end(). */
registration_call_t *registration_call_new(relay_registration_t *registration,
					   int64_t lease);

/** Frees a call and returns a copy of it. */
registration_call_t registration_call_end(registration_call_t *call);

/** @return the value of the lease's key; free with g_free() */
char *registration_encode_record(const relay_registration_t *registration,
				 int64_t lease, int64_t seen_revision);

#endif
