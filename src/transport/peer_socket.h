#ifndef TRANSPORT_PEER_SOCKET_H
#define TRANSPORT_PEER_SOCKET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <event2/event.h>
#include <glib.h>

/** Domain of the errors below. */
#define PEER_SOCKET_ERROR (peer_socket_error_quark())

/** Why a socket could not be made. */
typedef enum {
	PEER_SOCKET_ERROR_NO_CURVE, /**< ZeroMQ was built without it */
	PEER_SOCKET_ERROR_KEY,	    /**< a key is malformed */
	PEER_SOCKET_ERROR_ADDRESS,  /**< it cannot be bound */
} peer_socket_error_t;

GQuark peer_socket_error_quark(void);

/**
 * The one bound socket on which a node receives from its peers. It never
 * sends, so nothing is dropped when a peer reads slowly.
 */
typedef struct peer_socket peer_socket_t;

/** The connection on which a node sends to one peer. */
typedef struct peer_link peer_link_t;

/** Messages of a lower lane leave first. */
typedef enum {
	PEER_LANE_CONTROL, /**< when it is full, the oldest is dropped */
	PEER_LANE_CALLS,   /**< when it is full, the newest is refused */
	PEER_LANE_COUNT,
} peer_lane_t;

/** Where a peer socket is bound and the keys that it and its links use. */
typedef struct {
	const char *address; /**< IP number */
	uint16_t port;	     /**< 0 for any */
	const char *public_key;
	const char *secret_key;
} peer_socket_settings_t;

/** A message came; @p bytes are valid during the call. */
typedef void (*peer_socket_received_t)(void *context, const uint8_t *bytes,
				       size_t size_bytes);

/** @return the socket, or NULL with @p error set. */
peer_socket_t *peer_socket_create(struct event_base *base,
				  const peer_socket_settings_t *settings,
				  peer_socket_received_t received,
				  void *context, GError **error);

/** Frees the socket; its links have to be destroyed before. */
void peer_socket_destroy(peer_socket_t *socket);

/** @return the port that is bound. */
uint16_t peer_socket_port(const peer_socket_t *socket);

/** Starts to connect, again and again until the link is destroyed. */
peer_link_t *peer_link_create(peer_socket_t *socket, const char *address,
			      uint16_t port);

/** Drops what is queued; NULL is allowed. */
void peer_link_destroy(peer_link_t *link);

/**
 * Sends a message once, in order within its lane.
 *
 * @param tag names the message for peer_link_withdraw(); 0 for none
 * @return false if the lane is full and the message was not taken
 */
bool peer_link_send(peer_link_t *link, peer_lane_t lane, GBytes *bytes,
		    uint64_t tag);

/**
 * Takes back a message that has not been handed to the network yet.
 *
 * @return true if it was taken back: the peer will never see it
 */
bool peer_link_withdraw(peer_link_t *link, uint64_t tag);

/** @return bytes queued in a lane. */
size_t peer_link_queued_bytes(const peer_link_t *link, peer_lane_t lane);

#endif
