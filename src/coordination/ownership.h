#ifndef COORDINATION_OWNERSHIP_H
#define COORDINATION_OWNERSHIP_H

#include <stdbool.h>
#include <stdint.h>

#include "state/config.h"
#include "state/member_view.h"

/**
 * Time for which a member that has gone still counts as an owner, and for
 * which a newly started node takes nothing; longer than the lag of views.
 */
#define OWNERSHIP_TAKEOVER_MS 3000

/** The same wait in a fleet that is just starting. */
#define OWNERSHIP_START_MS 500

/**
 * Which backend servers this node owns, and with which share. Owners are
 * ranked over every member that was a candidate at some time within the last
 * OWNERSHIP_TAKEOVER_MS. So a node gives up a server as soon as it hears of a
 * better candidate, and takes one over only when the former owner has been
 * gone for that long. While views differ by less than that, the shares of a
 * server never add up to more than its limit.
 *
 * A node that has just started takes nothing for as long, since it may not
 * yet know of all candidates. The wait is OWNERSHIP_START_MS if it has heard
 * from every candidate and no member has settled: then the whole fleet is
 * starting and knows its members from the platform's list, which names VMs
 * before their processes run.
 */
typedef struct ownership ownership_t;

/**
 * Told of a server whose ownership changed.
 *
 * @param connections this node's share for requests, 0 when it owns none
 * @param watched     whether this node watches the server, with at most
 *                    OWNER_CONTROL_CONNECTIONS more
 */
typedef void (*ownership_change_t)(void *context, const char *database,
				   const char *server, uint32_t connections,
				   bool watched);

ownership_t *ownership_create(const char *node);

/** Frees the ownership; NULL is allowed. */
void ownership_destroy(ownership_t *ownership);

/**
 * Takes in the newest view and configuration; also to be called when
 * ownership_next_ms() has come.
 *
 * @param now_ms monotonic time
 * @param change called for every server whose share changed, those that have
 *               left the configuration included; losses come first
 */
void ownership_update(ownership_t *ownership, const member_view_t *view,
		      const config_t *config, uint64_t now_ms,
		      ownership_change_t change, void *context);

/**
 * Lists the owners of a server that hold connections, as far as this node
 * knows: during a take-over the one that is to take over is left out.
 *
 * @param nodes receives at most OWNER_LIMIT names, best first; they are valid
 *              until the next update
 * @return how many there are
 */
uint32_t ownership_owners(const ownership_t *ownership,
			  const config_service_t *service,
			  const config_server_t *server, const char **nodes);

/** @return when to update next without an event; UINT64_MAX for never. */
uint64_t ownership_next_ms(const ownership_t *ownership);

#endif
