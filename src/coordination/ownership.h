#ifndef COORDINATION_OWNERSHIP_H
#define COORDINATION_OWNERSHIP_H

#include <stdbool.h>
#include <stdint.h>

#include "state/config.h"
#include "state/member_view.h"

/**
 * Time for which a member that is gone still counts as an owner, and for which
 * a newly started node owns nothing. It must exceed the time by which the
 * views of two nodes can differ.
 */
#define OWNERSHIP_TAKEOVER_MS 3000

/** The wait of a newly started node while the whole fleet is starting. */
#define OWNERSHIP_START_MS 500

/**
 * Determines which backend servers this node owns, and its share of their
 * connections. Owners are ranked over all members that were candidates at some
 * time within the last OWNERSHIP_TAKEOVER_MS. A node therefore releases a
 * server as soon as it learns of a higher ranked candidate, and acquires a
 * server only after the former owner has been gone for that time. While views
 * differ by less than that time, the shares of a server never add up to more
 * than its limit.
 *
 * A node that has just started owns nothing for the same time, because it may
 * not know all candidates yet. The wait is only OWNERSHIP_START_MS if the node
 * has heard from every candidate and no member has settled: then the whole
 * fleet is starting and knows its members from the platform's list, which names
 * VMs before their processes run.
 */
typedef struct ownership ownership_t;

/**
 * Called for a server whose ownership has changed.
 *
 * @param connections this node's share for requests, 0 if it owns none
 * @param watched     whether this node polls the server, over at most
 *                    OWNER_CONTROL_CONNECTIONS additional connections
 */
typedef void (*ownership_change_t)(void *context, const char *database,
				   const char *server, uint32_t connections,
				   bool watched);

ownership_t *ownership_create(const char *node);

/** Frees the ownership; NULL is allowed. */
void ownership_destroy(ownership_t *ownership);

/**
 * Applies the newest view and configuration; must also be called at the time
 * of ownership_next_ms().
 *
 * @param now_ms monotonic time
 * @param change called for each server whose share has changed, including
 *               servers removed from the configuration; reductions are
 *               reported before increases
 */
void ownership_update(ownership_t *ownership, const member_view_t *view,
		      const config_t *config, uint64_t now_ms,
		      ownership_change_t change, void *context);

/**
 * Lists the owners of a server that hold connections, as far as this node
 * knows. A member that is gone still ranks for OWNERSHIP_TAKEOVER_MS without
 * being listed, so the node that will replace it is not listed either. Members
 * that have not settled are left out if there is a settled owner.
 *
 * @param nodes receives at most OWNER_LIMIT names, highest ranked first; they
 *              are valid until the next update
 * @return the number of owners
 */
uint32_t ownership_owners(const ownership_t *ownership,
			  const config_service_t *service,
			  const config_server_t *server, const char **nodes);

/** @return when the next update is due; UINT64_MAX if none is pending. */
uint64_t ownership_next_ms(const ownership_t *ownership);

#endif
