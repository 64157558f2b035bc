#ifndef DAEMON_PEERS_TASK_H
#define DAEMON_PEERS_TASK_H

#include <event2/event.h>

#include "base/metrics.h"
#include "daemon/settings.h"
#include "protocol/request.h"
#include "state/config.h"
#include "state/member_view.h"

/**
 * Exchanges messages with the other nodes: heartbeats, forwarded requests, and
 * the notes of the group and configuration tasks. Owns every ZeroMQ socket.
 */
typedef struct peers_task peers_task_t;

/** Maximum payload of a note, in bytes. */
#define PEERS_NOTE_SIZE_BYTES_MAX (2u * 1024 * 1024)

/** Kinds of notes; each kind is handled by one task. */
typedef enum {
	PEERS_NOTE_GROUP,  /**< group_task: evidence, fences, terms */
	PEERS_NOTE_CONFIG, /**< config_task: digests and values */
	PEERS_NOTE_COUNT,
} peers_note_kind_t;

/** Callbacks for messages from peers; never called re-entrantly. */
typedef struct {
	/** Runs a forwarded request; the answer goes to @p sink. */
	void (*request)(void *context, const char *from,
			const request_t *request, answer_sink_t sink);
	/** Cancels a request whose peer cancelled it or is gone. */
	void (*cancel)(void *context, uint64_t request_id, void *sink_context);
	/** Releases a transaction of a peer. */
	void (*release)(void *context, uint64_t lease_id);
	/** Handles a note for the group or configuration task. */
	void (*note)(void *context, const char *from, peers_note_kind_t kind,
		     const uint8_t *bytes, size_t size_bytes);
	/** Called when members joined, left or changed state. */
	void (*members)(void *context, const member_view_t *view);
	/**
	 * Writes the digest that is sent with each heartbeat.
	 *
	 * @return its size, up to 64 bytes
	 */
	size_t (*digest)(void *context, uint8_t *bytes, size_t limit_bytes);
	/** Handles the digest in a peer's heartbeat. */
	void (*digest_seen)(void *context, const char *from,
			    const uint8_t *bytes, size_t size_bytes);
	void *context;
} peers_handlers_t;

/** @return the task, or NULL with @p error set (address in use, bad key). */
peers_task_t *peers_task_create(struct event_base *base, metrics_t *metrics,
				const settings_t *settings,
				peers_handlers_t handlers, GError **error);
void peers_task_destroy(peers_task_t *peers);

/** Applies the platform's list of VMs, which may be outdated. */
void peers_task_set_listed(peers_task_t *peers, const member_t *members,
			   uint32_t members_count);

/** @return the newest view; valid until the next event. */
const member_view_t *peers_task_view(const peers_task_t *peers);

/**
 * Forwards a request to the owner @p node. The sink's end is called exactly
 * once. If the peer dies before the request was sent, the outcome is NOT_RUN;
 * if it dies afterwards, the outcome is NOT_RUN for reads and UNKNOWN for all
 * other requests. A read of which a chunk was delivered ends as UNKNOWN,
 * because a retry would mix two answers.
 */
void peers_task_submit(peers_task_t *peers, const char *node,
		       const request_t *request, answer_sink_t sink);

/** Cancels a forwarded request; its sink is not called again. */
void peers_task_cancel(peers_task_t *peers, uint64_t request_id,
		       void *sink_context);

/** Releases a transaction at the owner @p node. */
void peers_task_release(peers_task_t *peers, const char *node,
			uint64_t lease_id);

/** Sends a note once; delivery is not guaranteed. */
void peers_task_send_note(peers_task_t *peers, const char *node,
			  peers_note_kind_t kind, const uint8_t *bytes,
			  size_t size_bytes);

/** Announces to all peers that this node is leaving. */
void peers_task_leave(peers_task_t *peers);

#endif
