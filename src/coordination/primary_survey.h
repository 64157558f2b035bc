#ifndef COORDINATION_PRIMARY_SURVEY_H
#define COORDINATION_PRIMARY_SURVEY_H

#include <stdbool.h>
#include <stdint.h>

#include "coordination/takeover.h"

/**
 * Decides from the status of a service's servers whether a primary that is
 * known from before a restore of the store is still right. The store may have
 * lost promotions, and intents of takeovers that are under way. Load pattern:
 * after a restore all services are surveyed at once, while they serve by the
 * replicas' proofs; an agreement is written without a takeover.
 */

/** What is known of one server. */
typedef struct {
	const char *id;
	takeover_status_t status; /**< not answered if there was no answer */
} survey_server_t;

/** What the node knew of the service before. */
typedef struct {
	uint64_t term;
	const char *primary;
	bool takeover; /**< a takeover was under way */
} survey_known_t;

typedef enum {
	SURVEY_WAITING, /**< further answers may decide */
	SURVEY_AGREED,	/**< the servers agree on the primary and its term */
	/**
	 * A server may have been promoted unseen, or a takeover may be under
	 * way: only a takeover settles which server is primary.
	 */
	SURVEY_UNCLEAR,
} survey_result_t;

/** Result of a survey. */
typedef struct {
	survey_result_t result;
	uint64_t term;	     /**< highest term that is known */
	const char *primary; /**< of that term, "" if unknown */
} survey_t;

/** Time after which servers that have not answered are not waited for. */
#define SURVEY_WAIT_MS 600u

/**
 * Evaluates the answers. All servers must agree; after SURVEY_WAIT_MS it is
 * enough that the known primary and one replica do.
 *
 * @param waited_ms time since the restore was noticed
 */
survey_t primary_survey(const survey_known_t *known,
			const survey_server_t *servers, uint32_t count,
			uint64_t waited_ms);

/** Services of which a coordinator may poll the servers in each step. */
#define PRIMARY_SURVEY_POLLS_MIN 24u

/**
 * Load: a coordinator of hundreds of services without a record, whose servers
 * all registered at once. If it opens the connections to all in one step, the
 * answers come after the time for which it waits for them.
 *
 * @param services number of services
 * @return number of services whose servers may be polled in one step
 */
uint32_t primary_survey_polls_max(uint32_t services);

#endif
