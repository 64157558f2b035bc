#ifndef DAEMON_CONFIG_TASK_H
#define DAEMON_CONFIG_TASK_H

#include <event2/event.h>

#include "base/metrics.h"
#include "store/store.h"
#include "state/config.h"
#include "state/member_view.h"

/**
 * Keeps the configuration in force: a few nodes per failure domain watch the
 * platform, the rest hear of it from peers. Never goes to a lower revision.
 */
typedef struct config_task config_task_t;

/** What the configuration task needs of the node. */
typedef struct {
	/** A newer configuration is in force; @p config lives until the next */
	void (*changed)(void *context, const config_t *config);
	/** Sends a note to the peer @p node. */
	void (*send)(void *context, const char *node, const uint8_t *bytes,
		     size_t size_bytes);
	/** The platform's list of VMs was read. */
	void (*listed)(void *context, const member_t *members,
		       uint32_t members_count);
	void *context;
} config_handlers_t;

config_task_t *config_task_create(struct event_base *base, metrics_t *metrics,
				  const char *node, const char *failure_domain,
				  store_t *store, config_handlers_t handlers);
void config_task_destroy(config_task_t *task);

/** Members changed: the choice of watchers may have, too. */
void config_task_members(config_task_t *task, const member_view_t *view);

/** Takes in a note from a peer's configuration task. */
void config_task_note(config_task_t *task, const char *from,
		      const uint8_t *bytes, size_t size_bytes);

/** Fills the digest (revision) that rides on heartbeats. */
size_t config_task_digest(const config_task_t *task, uint8_t *bytes,
			  size_t limit_bytes);

/** Takes in the digest of a peer; a higher revision is fetched from it. */
void config_task_digest_seen(config_task_t *task, const char *from,
			     const uint8_t *bytes, size_t size_bytes);

/** @return the configuration in force, or NULL before the first. */
const config_t *config_task_current(const config_task_t *task);

#endif
