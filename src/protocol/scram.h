#ifndef PROTOCOL_SCRAM_H
#define PROTOCOL_SCRAM_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/** Largest number of iterations that a verifier may ask for. */
#define SCRAM_ITERATIONS_MAX 100000

/** The server's side of one SCRAM-SHA-256 exchange (RFC 5802, RFC 7677). */
typedef struct scram scram_t;

/**
 * Makes the verifier that the configuration holds in place of a password.
 *
 * @param password   UTF-8, not empty
 * @param salt       at least 8 bytes from a secure source
 * @param iterations 4096 to SCRAM_ITERATIONS_MAX
 * @return SCRAM-SHA-256$iterations:salt$stored:server, free with g_free(), or
 *         NULL when an argument is out of bounds
 */
char *scram_verifier_new(const char *password, const uint8_t *salt,
			 size_t salt_size_bytes, uint32_t iterations);

/** @return whether @p verifier has the form that scram_create() takes. */
bool scram_verifier_is_valid(const char *verifier);

/**
 * Starts an exchange.
 *
 * @param verifier of the caller; one that cannot be read gives an exchange
 *        that fails at its end, as for a wrong password
 * @param nonce    at least 18 printable characters without comma, random
 */
scram_t *scram_create(const char *verifier, const char *nonce);
void scram_destroy(scram_t *scram);

/**
 * Takes the client's first message.
 *
 * @return the server's first message, free with g_free(), or NULL when the
 *         message breaks the protocol
 */
char *scram_first(scram_t *scram, const char *message);

/**
 * Takes the client's last message.
 *
 * @return the server's last message, free with g_free(), or NULL when the
 *         proof is wrong
 */
char *scram_final(scram_t *scram, const char *message);

/**
 * Makes a verifier that no password fits, for a caller that is not known. It
 * is the same each time, so that the exchange does not tell who is known.
 *
 * @param secret of this process, random
 */
char *scram_verifier_fake(const char *user, const uint8_t *secret,
			  size_t secret_size_bytes);

G_DEFINE_AUTOPTR_CLEANUP_FUNC(scram_t, scram_destroy)

#endif
