#ifndef TRANSPORT_PEER_SOCKET_H
#define TRANSPORT_PEER_SOCKET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <event2/event.h>
#include <glib.h>

/** Domain of the errors below. */
#define PEER_SOCKET_ERROR (peer_socket_error_quark())

/** Reason why a socket could not be created. */
typedef enum {
	PEER_SOCKET_ERROR_NO_CURVE, /**< ZeroMQ was built without CURVE */
	PEER_SOCKET_ERROR_KEY,	    /**< a key is malformed */
	PEER_SOCKET_ERROR_ADDRESS,  /**< the address cannot be bound */
} peer_socket_error_t;

GQuark peer_socket_error_quark(void);

/**
 * The bound socket on which a node receives messages of all its peers. It
 * never sends, so no message is dropped if a peer reads slowly.
 */
typedef struct peer_socket peer_socket_t;

/** Connection on which a node sends messages to one peer. */
typedef struct peer_link peer_link_t;

/** Priority queue of a link; lower lanes are sent first. */
typedef enum {
	PEER_LANE_CONTROL, /**< if full, drops the oldest message */
	PEER_LANE_CALLS,   /**< if full, rejects the new message */
	PEER_LANE_COUNT,
} peer_lane_t;

/** Address of a peer socket, and the CURVE keys of the socket and its links. */
typedef struct {
	const char *address; /**< IPv4 or IPv6 address */
	uint16_t port;	     /**< 0 for any free port */
	const char *public_key;
	const char *secret_key;
} peer_socket_settings_t;

/** Called for each message; @p bytes are valid during the call. */
typedef void (*peer_socket_received_t)(void *context, const uint8_t *bytes,
				       size_t size_bytes);

/** Creates and binds a socket. @return NULL with @p error set on failure */
peer_socket_t *peer_socket_create(struct event_base *base,
				  const peer_socket_settings_t *settings,
				  peer_socket_received_t received,
				  void *context, GError **error);

/** Frees the socket; its links must be destroyed first. NULL is allowed. */
void peer_socket_destroy(peer_socket_t *socket);

/** @return the port that the socket is bound to. */
uint16_t peer_socket_port(const peer_socket_t *socket);

/** Starts to connect; reconnects until the link is destroyed. */
peer_link_t *peer_link_create(peer_socket_t *socket, const char *address,
			      uint16_t port);

/** Frees the link with its queued messages; NULL is allowed. */
void peer_link_destroy(peer_link_t *link);

/**
 * Queues a message, which is sent at most once, in order within its lane.
 *
 * @param tag identifies the message for peer_link_withdraw(); 0 for none
 * @return false if the lane is full and the message was rejected
 */
bool peer_link_send(peer_link_t *link, peer_lane_t lane, GBytes *bytes,
		    uint64_t tag);

/**
 * Removes a message of PEER_LANE_CALLS that is still queued.
 *
 * @return true if it was removed: the peer will never receive it
 */
bool peer_link_withdraw(peer_link_t *link, uint64_t tag);

/** @return the number of bytes queued in a lane. */
size_t peer_link_queued_bytes(const peer_link_t *link, peer_lane_t lane);

#endif
