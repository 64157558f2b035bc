#ifndef COORDINATION_CONFIG_SYNC_H
#define COORDINATION_CONFIG_SYNC_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "protocol/config_note.h"
#include "state/member_view.h"

/** Number of nodes in each failure domain that watch the platform. */
#define CONFIG_SYNC_WATCHERS 2
/** Bounds of the wait of one watch; each watch is one call to the platform. */
#define CONFIG_SYNC_WAIT_MS 10000u
#define CONFIG_SYNC_WAIT_MS_MAX 60000u
/** Age of the platform's last answer at which every node reads it itself. */
#define CONFIG_SYNC_STALE_MS 20000u
/** Time until a fetch from a peer counts as failed. */
#define CONFIG_SYNC_FETCH_TIMEOUT_MS 1000u
/** Number of peers that a node without a configuration queries at once. */
#define CONFIG_SYNC_FETCH_PEERS 3

/** An action that the owner of a config_sync_t must carry out. */
typedef enum {
	CONFIG_ACTION_READ_CONFIG, /**< read the platform's configuration key */
	CONFIG_ACTION_READ_MEMBERS, /**< read the platform's list of VMs */
	CONFIG_ACTION_FETCH,	    /**< fetch the configuration of @p node */
	CONFIG_ACTION_SEND_DIGEST,  /**< send @p node this node's digest */
} config_action_kind_t;

typedef struct {
	config_action_kind_t kind;
	char node[64]; /**< peer to fetch from or to send the digest to */
	uint64_t after_index; /**< reads wait for a higher index; 0: no wait */
	uint32_t wait_ms;     /**< maximum wait of a read with an index */
} config_action_t;

/** The result of a read of the platform. */
typedef enum {
	CONFIG_READ_DONE,
	CONFIG_READ_ABSENT, /**< the key does not exist yet */
	CONFIG_READ_FAILED, /**< no answer, or an invalid one */
} config_read_t;

/**
 * Distributes the configuration: decides whether this node reads the platform
 * and which peers it fetches from, so that every reachable node gets the
 * highest revision and no node returns to a lower one. The module does no I/O;
 * it appends actions to a GArray of config_action_t.
 */
typedef struct config_sync config_sync_t;

/** @param seed seed of the jitter; must differ between nodes */
config_sync_t *config_sync_create(const char *node, const char *failure_domain,
				  uint32_t seed);

/** Frees the state; NULL is allowed. */
void config_sync_destroy(config_sync_t *sync);

/** Sets the known members; @p view is copied. */
void config_sync_set_members(config_sync_t *sync, const member_view_t *view);

/**
 * Checks whether a configuration of @p revision may come into force.
 *
 * @return true if @p revision is above all earlier ones; from then on it counts
 *         as in force
 */
bool config_sync_offer(config_sync_t *sync, uint64_t revision, GArray *actions);

/** @return the revision in force, 0 for none. */
uint64_t config_sync_revision(const config_sync_t *sync);

/**
 * Sets the size of the configuration. A watch that ends without a change
 * returns the whole value again, so the wait of a watch grows with the size.
 */
void config_sync_set_size(config_sync_t *sync, size_t size_bytes);

/** @return the digest to be sent to peers. */
config_digest_t config_sync_digest(const config_sync_t *sync, uint64_t now_ms);

/** Handles a peer's digest. */
void config_sync_handle_digest(config_sync_t *sync, const char *from,
			       const config_digest_t *digest, uint64_t now_ms,
			       GArray *actions);

/**
 * Handles the end of a read of the configuration key. A value that was read
 * must be passed to config_sync_offer() before.
 */
void config_sync_config_read(config_sync_t *sync, config_read_t result,
			     uint64_t index, uint64_t now_ms);

/**
 * Handles the end of a read of the list of VMs. The platform's own list is
 * accepted whatever its index; if the index went back, the platform was
 * restored from an older copy, and the list counts as newer than all before.
 */
void config_sync_members_read(config_sync_t *sync, config_read_t result,
			      uint64_t index, uint64_t now_ms, GArray *actions);

/**
 * @return the index of this node's list of VMs with its era, see
 *         state/store_revision.h; 0 without a list
 */
uint64_t config_sync_list_index(const config_sync_t *sync);

/**
 * Checks whether a peer's list of VMs is newer than this node's.
 *
 * @return true if it is; from then on its index counts as this node's
 */
bool config_sync_offer_list(config_sync_t *sync, uint64_t index);

/** Starts the reads and fetches that are due; to be called every 250 ms. */
void config_sync_tick(config_sync_t *sync, uint64_t now_ms, GArray *actions);

#endif
