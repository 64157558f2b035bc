#ifndef STATE_MEMBER_VIEW_H
#define STATE_MEMBER_VIEW_H

#include <stdbool.h>
#include <stdint.h>

/** State of a member as this node sees it. */
typedef enum {
	MEMBER_LIVE,
	MEMBER_LEAVING, /**< takes no new work, finishes its current work */
	MEMBER_SUSPECT, /**< unresponsive, still counted as a member */
	MEMBER_DEAD,
} member_state_t;

/** One member; plain data owned by the view. */
typedef struct {
	char name[64];
	char address[46]; /**< IP number */
	uint16_t peer_port;
	char failure_domain[32];
	char region[32];
	uint64_t incarnation; /**< raised at each start of the process */
	member_state_t state;
	bool settled; /**< has run for longer than the wait of a takeover */
} member_t;

/** All members known to this node, including itself, sorted by name. */
typedef struct {
	const member_t *members;
	uint32_t members_count;
	uint64_t version; /**< raised by every change */
} member_view_t;

/** @return the member of that name, or NULL. */
const member_t *member_view_find(const member_view_t *view, const char *name);

#endif
