#ifndef RELAY_RELAY_QUOTA_PRIVATE_H
#define RELAY_RELAY_QUOTA_PRIVATE_H

#include "relay/relay_quota.h"

#include "coordination/quota_loan.h"
#include "coordination/quota_source.h"
#include "relay/relay_quota_link.h"

/** Maximum time that an operation waits for a leader that answers. */
#define QUOTA_WAIT_MS 300u

/** The quota leader of one failure domain, as this node knows it. */
typedef struct {
	relay_quota_t *quota;
	uint32_t index; /**< of the domain in the source */
	char *name;
	quota_distance_t distance;
	char *holder; /**< node that leads, or NULL */
	bool is_self; /**< this node leads */
	relay_quota_link_t *link;
	relay_quota_link_t *loan_link; /**< if this node leads its domain */
	GHashTable *batches; /**< customer -> operations that wait, private */
} quota_domain_t;

struct relay_quota_ticket {
	relay_quota_t *quota;
	GQueue *queue; /**< that has the ticket */
	GList *node;   /**< position in it */
	char *customer;
	char *id;
	quota_quest_t quest;
	uint32_t asked; /**< set of domains asked in earlier rounds */
	uint64_t received_ms;
	bool admitted;
	uint32_t retry_after_ms;
	relay_quota_done_t done;
	void *context;
};

struct relay_quota {
	relay_services_t *services;
	relay_quota_leader_t *own;
	relay_quota_handlers_t handlers;
	bool enabled; /**< the site has quotas */
	quota_source_t *source;
	quota_loan_t *loans;
	GPtrArray *domains;  /**< quota_domain_t, by index of the source */
	GQueue parked;	     /**< tickets that wait until a leader answers */
	GQueue ended;	     /**< tickets whose callback is due */
	uint32_t waiting;    /**< number of tickets */
	struct event *timer; /**< timeouts */
	struct event *deliver;
	uint64_t tick_ms; /**< when the timer is due */
	GRand *random;
};

/** @return the node's settings */
const relay_services_settings_t *quota_settings(const relay_quota_t *quota);

/** Adds the domain to the node's source; does nothing if there are too many. */
void quota_domain_add(relay_quota_t *quota, const char *name);
void quota_domain_free(gpointer data);

/** Sets which node leads, NULL for none. @return whether that has changed */
bool quota_domain_set_holder(quota_domain_t *domain, const char *holder);

/** Looks up the leader's address again. */
void quota_domain_update_endpoint(quota_domain_t *domain);

/**
 * Has a ticket wait for a token of the leader.
 *
 * @return false if the leader cannot be reached now
 */
bool quota_domain_join(quota_domain_t *domain, relay_quota_ticket_t *ticket);

/** Ends what has timed out. @param late whether answers may be unread */
void quota_domain_step(quota_domain_t *domain, uint64_t now_ms, bool late);

/** Sets the timer for what is under way. */
void quota_schedule(relay_quota_t *quota);

/** @return the link by which this node's leader borrows from the domain's */
relay_quota_link_t *quota_loan_link_create(quota_domain_t *domain);

/**
 * Asks another leader for tokens of a customer.
 *
 * @param context the quota
 * @return false if none can be asked now
 */
bool quota_loan_borrow(void *context, const char *customer, uint32_t count);

/** Moves a ticket to the end of a queue. */
void quota_ticket_enqueue(relay_quota_ticket_t *ticket, GQueue *queue);

void quota_ticket_admit(relay_quota_ticket_t *ticket);

/** Advances all tickets of a queue, which may be filled again meanwhile. */
void quota_tickets_advance(GQueue *tickets);

/** Rejects the operations that have waited for too long. */
void quota_tickets_end_late(GQueue *tickets, uint64_t now_ms);

#endif
