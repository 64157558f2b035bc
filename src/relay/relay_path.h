#ifndef RELAY_RELAY_PATH_H
#define RELAY_RELAY_PATH_H

#include <stdbool.h>
#include <stdint.h>

/**
 * What is known of the ways to reach a server: when the next connection may be
 * opened, and whether it is forwarded. Times are on the boot clock.
 */
typedef struct {
	uint64_t reconnect_at_ms;    /**< no connection is opened before then */
	uint32_t reconnect_delay_ms; /**< next delay after a failure */
	bool is_full; /**< the server's limit rejected the last connection */
	uint64_t full_until_ms; /**< until then only the share is opened */
	uint64_t forwarding_until_ms; /**< until then others forward */
	uint32_t hub_failures;	/**< connections over hubs that failed lately */
	uint64_t hub_failed_ms; /**< when the last of them failed */
} relay_path_t;

void relay_path_init(relay_path_t *path);

/** Delays the next connection after a failure to connect. */
void relay_path_back_off(relay_path_t *path, uint64_t now_ms);

/** A connection was opened. */
void relay_path_opened(relay_path_t *path, bool forwarded);

/** @return number of connections over hubs that failed lately */
uint32_t relay_path_hub_failures(const relay_path_t *path, uint64_t now_ms);

/** The next connection goes over another hub, in the end directly. */
void relay_path_hub_failed(relay_path_t *path, uint64_t now_ms);

/** The next connections are forwarded by other nodes for some time. */
void relay_path_forward(relay_path_t *path, uint64_t now_ms);

/** The server rejected a connection because of its limit. */
void relay_path_limited(relay_path_t *path, uint64_t now_ms);

/** A server that was full may have room again and is tried directly. */
void relay_path_forwarding_failed(relay_path_t *path);

#endif
