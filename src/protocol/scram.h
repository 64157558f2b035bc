#ifndef PROTOCOL_SCRAM_H
#define PROTOCOL_SCRAM_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/** Maximum number of iterations in a verifier. */
#define SCRAM_ITERATIONS_MAX 100000

/** Server side of one SCRAM-SHA-256 exchange (RFC 5802, RFC 7677). */
typedef struct scram scram_t;

/**
 * Creates the verifier that the configuration stores instead of a password.
 *
 * @param password   UTF-8, not empty
 * @param salt       at least 8 bytes from a secure source
 * @param iterations 4096 to SCRAM_ITERATIONS_MAX
 * @return SCRAM-SHA-256$iterations:salt$stored:server, free with g_free(), or
 *         NULL when an argument is out of bounds
 */
char *scram_verifier_new(const char *password, const uint8_t *salt,
			 size_t salt_size_bytes, uint32_t iterations);

/** @return whether @p verifier has the form of scram_verifier_new(). */
bool scram_verifier_is_valid(const char *verifier);

/**
 * Starts an exchange.
 *
 * @param verifier verifier of the caller; with a malformed one the exchange
 *        fails at its end, as with a wrong password
 * @param nonce    at least 18 random printable characters without comma
 */
scram_t *scram_create(const char *verifier, const char *nonce);
void scram_destroy(scram_t *scram);

/**
 * Handles the client-first-message.
 *
 * @return the server-first-message, free with g_free(), or NULL if the
 *         client's message violates the protocol
 */
char *scram_first(scram_t *scram, const char *message);

/**
 * Handles the client-final-message.
 *
 * @return the server-final-message, free with g_free(), or NULL if the message
 *         violates the protocol or the proof is wrong
 */
char *scram_final(scram_t *scram, const char *message);

/**
 * Creates a verifier that matches no password, for an unknown user. The
 * verifier of a user name is always the same, so the exchange does not reveal
 * which users exist.
 *
 * @param secret random secret of this process
 */
char *scram_verifier_fake(const char *user, const uint8_t *secret,
			  size_t secret_size_bytes);

G_DEFINE_AUTOPTR_CLEANUP_FUNC(scram_t, scram_destroy)

#endif
