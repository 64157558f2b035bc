#ifndef COORDINATION_CONFIG_SPREAD_H
#define COORDINATION_CONFIG_SPREAD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "protocol/config_note.h"
#include "state/member_view.h"

/** Nodes of each failure domain that watch the platform. */
#define CONFIG_SPREAD_WATCHERS 2
/** Waits of one watch; each is one call to the platform. */
#define CONFIG_SPREAD_WAIT_MS 10000u
#define CONFIG_SPREAD_WAIT_MS_MAX 60000u
/** Age of the platform's last word at which any node asks it itself. */
#define CONFIG_SPREAD_BLIND_MS 20000u
/** Time until a peer that was asked counts as silent. */
#define CONFIG_SPREAD_FETCH_TIMEOUT_MS 1000u
/** Peers that a node without a configuration asks at once. */
#define CONFIG_SPREAD_ASKED 3

/** Something to be done by the owner of a config_spread_t. */
typedef enum {
	CONFIG_ACTION_READ_CONFIG,  /**< read the platform's key */
	CONFIG_ACTION_READ_MEMBERS, /**< read the platform's list of VMs */
	CONFIG_ACTION_FETCH,	    /**< ask @p node for its configuration */
	CONFIG_ACTION_TELL,	    /**< send @p node the digest */
} config_action_kind_t;

typedef struct {
	config_action_kind_t kind;
	char node[64];	      /**< for FETCH and TELL */
	uint64_t after_index; /**< for reads: 0 to be answered at once */
	uint32_t wait_ms;
} config_action_t;

/** What a read of the platform brought. */
typedef enum {
	CONFIG_READ_DONE,
	CONFIG_READ_ABSENT, /**< there is no such key yet */
	CONFIG_READ_FAILED, /**< no answer, or one that cannot be used */
} config_read_t;

/**
 * Decides who reads the platform and who asks which peer, so that every node
 * that can be reached comes to the highest revision and none goes back. Pure:
 * time in, actions out. Actions are appended to a GArray of config_action_t.
 */
typedef struct config_spread config_spread_t;

/** @param seed of the jitter; differs between nodes */
config_spread_t *config_spread_create(const char *node,
				      const char *failure_domain,
				      uint32_t seed);

/** Frees it; NULL is allowed. */
void config_spread_destroy(config_spread_t *spread);

/** Takes in who is there; @p view is copied. */
void config_spread_members(config_spread_t *spread, const member_view_t *view);

/**
 * Asks whether a configuration of @p revision may come into force.
 *
 * @return true when it is above all before; it then counts as in force
 */
bool config_spread_offer(config_spread_t *spread, uint64_t revision,
			 GArray *actions);

/** @return the revision in force, 0 for none. */
uint64_t config_spread_revision(const config_spread_t *spread);

/**
 * A watch that ends without a change brings the whole value again: the wait
 * grows with its size.
 */
void config_spread_set_size(config_spread_t *spread, size_t size_bytes);

/** @return what peers are told. */
config_digest_t config_spread_digest(const config_spread_t *spread,
				     uint64_t now_ms);

/** Takes in a peer's digest. */
void config_spread_heard(config_spread_t *spread, const char *from,
			 const config_digest_t *digest, uint64_t now_ms,
			 GArray *actions);

/** A read of the key ended; a value that it brought was offered before. */
void config_spread_config_read(config_spread_t *spread, config_read_t result,
			       uint64_t index, uint64_t now_ms);

/** A read of the list of VMs ended. */
void config_spread_members_read(config_spread_t *spread, config_read_t result,
				uint64_t index, uint64_t now_ms);

/** Time passed: begins what is due. Called at least each 250 ms. */
void config_spread_tick(config_spread_t *spread, uint64_t now_ms,
			GArray *actions);

#endif
