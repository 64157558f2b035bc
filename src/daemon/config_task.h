#ifndef DAEMON_CONFIG_TASK_H
#define DAEMON_CONFIG_TASK_H

#include <event2/event.h>

#include "base/metrics.h"
#include "store/store.h"
#include "state/config.h"
#include "state/member_view.h"

/**
 * Keeps the active configuration current. A few nodes per failure domain watch
 * the platform; the others fetch the configuration from peers. The revision
 * never decreases.
 */
typedef struct config_task config_task_t;

/** Callbacks from the configuration task to the node. */
typedef struct {
	/** Called for a new configuration, valid until the next call. */
	void (*changed)(void *context, const config_t *config);
	/** Sends a note to the peer @p node. */
	void (*send)(void *context, const char *node, const uint8_t *bytes,
		     size_t size_bytes);
	/** Called with the platform's list of VMs when it was read. */
	void (*listed)(void *context, const member_t *members,
		       uint32_t members_count);
	void *context;
} config_handlers_t;

config_task_t *config_task_create(struct event_base *base, metrics_t *metrics,
				  const char *node, const char *failure_domain,
				  store_t *store, config_handlers_t handlers);
void config_task_destroy(config_task_t *task);

/** Applies a membership view, from which the watchers are chosen. */
void config_task_set_members(config_task_t *task, const member_view_t *view);

/** Handles a note from a peer's configuration task. */
void config_task_handle_note(config_task_t *task, const char *from,
			     const uint8_t *bytes, size_t size_bytes);

/**
 * Encodes the digest (revision) that is sent with heartbeats.
 *
 * @return its size in bytes
 */
size_t config_task_digest(const config_task_t *task, uint8_t *bytes,
			  size_t limit_bytes);

/** Handles a peer's digest; fetches a higher revision from the peer. */
void config_task_handle_digest(config_task_t *task, const char *from,
			       const uint8_t *bytes, size_t size_bytes);

/** @return the active configuration, or NULL before the first one. */
const config_t *config_task_current(const config_task_t *task);

#endif
