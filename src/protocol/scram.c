#include "protocol/scram.h"

#include <string.h>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/sha.h>

#include "base/text.h"

/*
 * libgsasl rejects the empty user name in the client-first-message of
 * PostgreSQL's clients, so the exchange uses OpenSSL's primitives directly.
 */

#define KEY_SIZE_BYTES SHA256_DIGEST_LENGTH
#define SALT_SIZE_BYTES_MIN 8
#define SALT_SIZE_BYTES_MAX 64
#define FAKE_SALT_SIZE_BYTES 16
#define ITERATIONS_MIN 4096
#define MESSAGE_SIZE_BYTES_MAX 1024
#define MECHANISM "SCRAM-SHA-256"

typedef struct {
	uint32_t iterations;
	char *salt; /* in base64, as sent to the client */
	uint8_t stored_key[KEY_SIZE_BYTES];
	uint8_t server_key[KEY_SIZE_BYTES];
} verifier_t;

struct scram {
	verifier_t verifier;
	bool has_verifier; /* the caller's verifier is valid */
	char *nonce;	   /* server's nonce, then the combined nonce */
	char *client_first_bare;
	char *server_first;
};

static void hmac(const uint8_t *key, const char *text, size_t size_bytes,
		 uint8_t *result)
{
	HMAC(EVP_sha256(), key, KEY_SIZE_BYTES, (const uint8_t *)text,
	     size_bytes, result, NULL);
}

static bool decode_key(const char *text, uint8_t *key)
{
	size_t size_bytes = strlen(text);
	g_autofree uint8_t *bytes = text_decode_base64(text, &size_bytes);

	if (!bytes || size_bytes != KEY_SIZE_BYTES)
		return false;
	memcpy(key, bytes, KEY_SIZE_BYTES);
	return true;
}

static bool verifier_read(const char *text, verifier_t *verifier)
{
	g_auto(GStrv) parts = g_strsplit(text, "$", 4);
	g_auto(GStrv) iterations_and_salt = NULL;
	g_auto(GStrv) keys = NULL;
	g_autofree uint8_t *salt = NULL;
	size_t salt_size = 0;
	guint64 iterations = 0;

	if (g_strv_length(parts) != 3 || strcmp(parts[0], MECHANISM) != 0)
		return false;
	iterations_and_salt = g_strsplit(parts[1], ":", 3);
	keys = g_strsplit(parts[2], ":", 3);
	if (g_strv_length(iterations_and_salt) != 2 || g_strv_length(keys) != 2)
		return false;
	if (!g_ascii_string_to_unsigned(iterations_and_salt[0], 10,
					ITERATIONS_MIN, SCRAM_ITERATIONS_MAX,
					&iterations, NULL))
		return false;
	salt_size = strlen(iterations_and_salt[1]);
	salt = text_decode_base64(iterations_and_salt[1], &salt_size);
	if (!salt || salt_size < SALT_SIZE_BYTES_MIN ||
	    salt_size > SALT_SIZE_BYTES_MAX)
		return false;
	if (!decode_key(keys[0], verifier->stored_key) ||
	    !decode_key(keys[1], verifier->server_key))
		return false;
	verifier->iterations = (uint32_t)iterations;
	verifier->salt = g_base64_encode(salt, salt_size);
	return true;
}

char *scram_verifier_new(const char *password, const uint8_t *salt,
			 size_t salt_size_bytes, uint32_t iterations)
{
	uint8_t salted[KEY_SIZE_BYTES];
	uint8_t client_key[KEY_SIZE_BYTES];
	uint8_t stored_key[KEY_SIZE_BYTES];
	uint8_t server_key[KEY_SIZE_BYTES];
	g_autofree char *salt_text = NULL;
	g_autofree char *stored_text = NULL;
	g_autofree char *server_text = NULL;

	if (!*password || salt_size_bytes < SALT_SIZE_BYTES_MIN ||
	    salt_size_bytes > SALT_SIZE_BYTES_MAX ||
	    iterations < ITERATIONS_MIN || iterations > SCRAM_ITERATIONS_MAX)
		return NULL;
	if (!PKCS5_PBKDF2_HMAC(password, (int)strlen(password), salt,
			       (int)salt_size_bytes, (int)iterations,
			       EVP_sha256(), KEY_SIZE_BYTES, salted))
		return NULL;
	hmac(salted, "Client Key", strlen("Client Key"), client_key);
	hmac(salted, "Server Key", strlen("Server Key"), server_key);
	SHA256(client_key, KEY_SIZE_BYTES, stored_key);
	salt_text = g_base64_encode(salt, salt_size_bytes);
	stored_text = g_base64_encode(stored_key, KEY_SIZE_BYTES);
	server_text = g_base64_encode(server_key, KEY_SIZE_BYTES);
	OPENSSL_cleanse(salted, sizeof(salted));
	OPENSSL_cleanse(client_key, sizeof(client_key));
	return g_strdup_printf(MECHANISM "$%u:%s$%s:%s", iterations, salt_text,
			       stored_text, server_text);
}

bool scram_verifier_is_valid(const char *verifier)
{
	verifier_t parsed = {0};
	const bool valid = verifier_read(verifier, &parsed);

	g_free(parsed.salt);
	return valid;
}

char *scram_verifier_fake(const char *user, const uint8_t *secret,
			  size_t secret_size_bytes)
{
	uint8_t salt[KEY_SIZE_BYTES];
	uint8_t key[KEY_SIZE_BYTES];
	g_autofree char *salt_text = NULL;
	g_autofree char *key_text = NULL;

	HMAC(EVP_sha256(), secret, (int)secret_size_bytes,
	     (const uint8_t *)user, strlen(user), salt, NULL);
	SHA256(salt, KEY_SIZE_BYTES, key);
	salt_text = g_base64_encode(salt, FAKE_SALT_SIZE_BYTES);
	key_text = g_base64_encode(key, KEY_SIZE_BYTES);
	return g_strdup_printf(MECHANISM "$%u:%s$%s:%s", ITERATIONS_MIN,
			       salt_text, key_text, key_text);
}

scram_t *scram_create(const char *verifier, const char *nonce)
{
	scram_t *scram = g_new0(scram_t, 1);

	scram->nonce = g_strdup(nonce);
	scram->has_verifier = verifier_read(verifier, &scram->verifier);
	if (!scram->has_verifier) {
		scram->verifier.iterations = ITERATIONS_MIN;
		g_free(scram->verifier.salt);
		scram->verifier.salt =
			g_base64_encode((const guchar *)nonce, 16);
	}
	return scram;
}

void scram_destroy(scram_t *scram)
{
	if (!scram)
		return;
	OPENSSL_cleanse(&scram->verifier.stored_key, KEY_SIZE_BYTES);
	OPENSSL_cleanse(&scram->verifier.server_key, KEY_SIZE_BYTES);
	g_free(scram->verifier.salt);
	g_free(scram->nonce);
	g_free(scram->client_first_bare);
	g_free(scram->server_first);
	g_free(scram);
}

/* Skips "n,," or "y,,": no channel binding, no authorization identity. */
static const char *skip_gs2_header(const char *message)
{
	if (g_str_has_prefix(message, "n,,") ||
	    g_str_has_prefix(message, "y,,"))
		return message + strlen("n,,");
	return NULL;
}

char *scram_first(scram_t *scram, const char *message)
{
	const char *bare = NULL;
	const char *client_nonce = NULL;
	g_autofree char *nonce = NULL;

	if (scram->server_first || strlen(message) > MESSAGE_SIZE_BYTES_MAX)
		return NULL;
	bare = skip_gs2_header(message);
	if (!bare || !g_str_has_prefix(bare, "n="))
		return NULL;
	client_nonce = strchr(bare, ',');
	if (!client_nonce || !g_str_has_prefix(client_nonce, ",r="))
		return NULL;
	client_nonce += strlen(",r=");
	if (!*client_nonce || strchr(client_nonce, ','))
		return NULL;
	nonce = g_strconcat(client_nonce, scram->nonce, NULL);
	scram->client_first_bare = g_strdup(bare);
	scram->server_first =
		g_strdup_printf("r=%s,s=%s,i=%u", nonce, scram->verifier.salt,
				scram->verifier.iterations);
	g_free(g_steal_pointer(&scram->nonce));
	scram->nonce = g_steal_pointer(&nonce);
	return g_strdup(scram->server_first);
}

static bool proof_matches(const scram_t *scram, const char *auth,
			  const char *proof_text)
{
	uint8_t proof[KEY_SIZE_BYTES];
	uint8_t signature[KEY_SIZE_BYTES];
	uint8_t stored_key[KEY_SIZE_BYTES];
	size_t i;

	if (!decode_key(proof_text, proof))
		return false;
	hmac(scram->verifier.stored_key, auth, strlen(auth), signature);
	for (i = 0; i < KEY_SIZE_BYTES; i++)
		proof[i] ^= signature[i];
	SHA256(proof, KEY_SIZE_BYTES, stored_key);
	return CRYPTO_memcmp(stored_key, scram->verifier.stored_key,
			     KEY_SIZE_BYTES) == 0;
}

char *scram_final(scram_t *scram, const char *message)
{
	uint8_t signature[KEY_SIZE_BYTES];
	g_auto(GStrv) parts = NULL;
	g_autofree char *bare = NULL;
	g_autofree char *auth = NULL;
	g_autofree char *text = NULL;

	if (!scram->server_first || strlen(message) > MESSAGE_SIZE_BYTES_MAX)
		return NULL;
	parts = g_strsplit(message, ",", 4);
	if (g_strv_length(parts) != 3 || !g_str_has_prefix(parts[1], "r=") ||
	    !g_str_has_prefix(parts[2], "p="))
		return NULL;
	/* base64 of "n,," and "y,,": no channel binding. */
	if (strcmp(parts[0], "c=biws") != 0 && strcmp(parts[0], "c=eSws") != 0)
		return NULL;
	if (strcmp(parts[1] + 2, scram->nonce) != 0)
		return NULL;
	bare = g_strdup_printf("%s,%s", parts[0], parts[1]);
	auth = g_strdup_printf("%s,%s,%s", scram->client_first_bare,
			       scram->server_first, bare);
	if (!scram->has_verifier || !proof_matches(scram, auth, parts[2] + 2))
		return NULL;
	hmac(scram->verifier.server_key, auth, strlen(auth), signature);
	text = g_base64_encode(signature, KEY_SIZE_BYTES);
	return g_strdup_printf("v=%s", text);
}
