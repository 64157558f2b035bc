#ifndef STATE_MEMBER_VIEW_H
#define STATE_MEMBER_VIEW_H

#include <stdbool.h>
#include <stdint.h>

/** What is believed of an entry VM. */
typedef enum {
	MEMBER_LIVE,
	MEMBER_LEAVING, /**< takes no new work, finishes what it has */
	MEMBER_SUSPECT, /**< silent for a while; still counted */
	MEMBER_DEAD,
} member_state_t;

/** One entry VM; plain data owned by the view. */
typedef struct {
	char name[64];
	char address[46]; /**< IP number */
	uint16_t peer_port;
	char failure_domain[32];
	char region[32];
	uint64_t incarnation; /**< grows at each start of the process */
	member_state_t state;
	bool settled; /**< has run for longer than a take-over waits */
} member_t;

/** All entry VMs known to this node, sorted by name, itself included. */
typedef struct {
	const member_t *members;
	uint32_t members_count;
	uint64_t version; /**< grows with every change */
} member_view_t;

/** @return the member of that name, or NULL. */
const member_t *member_view_find(const member_view_t *view, const char *name);

#endif
