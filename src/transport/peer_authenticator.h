#ifndef TRANSPORT_PEER_AUTHENTICATOR_H
#define TRANSPORT_PEER_AUTHENTICATOR_H

#include <event2/event.h>

/**
 * Authenticates peers: answers the ZAP requests (ZeroMQ Authentication
 * Protocol) of one ZeroMQ context and accepts only the key of the fleet.
 */
typedef struct peer_authenticator peer_authenticator_t;

/**
 * Creates the authenticator of a context. It must exist before a socket of the
 * context is bound.
 *
 * @param public_key CURVE key in Z85
 * @return the authenticator, or NULL if the key is malformed
 */
peer_authenticator_t *peer_authenticator_create(struct event_base *base,
						void *zmq_context,
						const char *public_key);

/** Frees the authenticator; NULL is allowed. */
void peer_authenticator_destroy(peer_authenticator_t *authenticator);

#endif
