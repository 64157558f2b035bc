#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include "protocol/scram.h"

/* Example exchange of RFC 7677, section 3. */
#define SALT_BASE64 "W22ZaJ0SNY7soEsUEjb6gQ=="
#define SERVER_NONCE "%hvYDpWUa2RaTCAfuxFIlj)hNlF$k0"
#define CLIENT_FIRST "n,,n=user,r=rOprNGfwEbeRWgbNEkqO"
#define SERVER_FIRST                                            \
	"r=rOprNGfwEbeRWgbNEkqO%hvYDpWUa2RaTCAfuxFIlj)hNlF$k0," \
	"s=" SALT_BASE64 ",i=4096"
#define CLIENT_FINAL_WITHOUT_PROOF \
	"c=biws,r=rOprNGfwEbeRWgbNEkqO%hvYDpWUa2RaTCAfuxFIlj)hNlF$k0,"
#define PROOF "p=dHzbZapWIk4jUhN+Ute9ytag9zjfMHgsqmmiz7AndVQ="
#define SERVER_FINAL "v=6rriTRBi23WpRR/wtup+mMhUZUn/dB5nLTJRsjl95G4="

static char *make_verifier(const char *password)
{
	gsize size = 0;
	g_autofree guchar *salt = g_base64_decode(SALT_BASE64, &size);

	return scram_verifier_new(password, salt, size, 4096);
}

static void test_example_exchange_of_rfc_7677(void **state)
{
	g_autofree char *verifier = make_verifier("pencil");
	g_autoptr(scram_t) scram = scram_create(verifier, SERVER_NONCE);
	g_autofree char *first = scram_first(scram, CLIENT_FIRST);
	g_autofree char *final =
		scram_final(scram, CLIENT_FINAL_WITHOUT_PROOF PROOF);

	assert_true(scram_verifier_is_valid(verifier));
	assert_string_equal(first, SERVER_FIRST);
	assert_string_equal(final, SERVER_FINAL);
}

static void assert_rejected(const char *verifier, const char *last)
{
	g_autoptr(scram_t) scram = scram_create(verifier, SERVER_NONCE);

	g_free(scram_first(scram, CLIENT_FIRST));
	assert_null(scram_final(scram, last));
}

static void test_wrong_proof_or_verifier_is_rejected(void **state)
{
	g_autofree char *verifier = make_verifier("pencil");
	g_autofree char *other = make_verifier("pen");

	assert_rejected(other, CLIENT_FINAL_WITHOUT_PROOF PROOF);
	assert_rejected("", CLIENT_FINAL_WITHOUT_PROOF PROOF);
	assert_rejected(verifier, CLIENT_FINAL_WITHOUT_PROOF "p=AAAA");
	assert_rejected(verifier, CLIENT_FINAL_WITHOUT_PROOF);
	assert_rejected(verifier, "c=biws,r=rOprNGfwEbeRWgbNEkqO," PROOF);
	assert_rejected(verifier, "");
	/* The proof was read without what is no base64. */
	assert_rejected(verifier, CLIENT_FINAL_WITHOUT_PROOF
			"p=dHzb*ZapWIk4jUhN+Ute9ytag9zjfMHgsqmmiz7AndVQ=");
	assert_rejected(verifier, CLIENT_FINAL_WITHOUT_PROOF PROOF "\n");
}

static void test_malformed_messages_and_verifiers_are_rejected(void **state)
{
	static const char *const messages[] = {
		"", "n,,", "n,,n=,r=", "p=tls-unique,,n=,r=a", "n,,n=,r=a,b",
	};
	static const char *const verifiers[] = {
		"",
		"SCRAM-SHA-256",
		"SCRAM-SHA-256$4096:c2FsdA==$a:b",
		"SCRAM-SHA-256$1:W22ZaJ0SNY7soEsUEjb6gQ==$a:b",
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(messages); i++) {
		g_autoptr(scram_t) scram = scram_create("", SERVER_NONCE);

		assert_null(scram_first(scram, messages[i]));
	}
	for (i = 0; i < G_N_ELEMENTS(verifiers); i++)
		assert_false(scram_verifier_is_valid(verifiers[i]));
	assert_null(
		scram_verifier_new("", (const uint8_t *)"12345678", 8, 4096));
	assert_null(scram_verifier_new("a", (const uint8_t *)"1", 1, 4096));
	assert_null(scram_verifier_new("a", (const uint8_t *)"12345678", 8, 1));
}

static void test_fake_verifier_is_valid_and_stable(void **state)
{
	const uint8_t secret[] = "secret";
	g_autofree char *one = scram_verifier_fake("a", secret, 6);
	g_autofree char *same = scram_verifier_fake("a", secret, 6);
	g_autofree char *other = scram_verifier_fake("b", secret, 6);

	assert_true(scram_verifier_is_valid(one));
	assert_string_equal(one, same);
	assert_string_not_equal(one, other);
	assert_rejected(one, CLIENT_FINAL_WITHOUT_PROOF PROOF);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_example_exchange_of_rfc_7677),
		cmocka_unit_test(test_wrong_proof_or_verifier_is_rejected),
		cmocka_unit_test(
			test_malformed_messages_and_verifiers_are_rejected),
		cmocka_unit_test(test_fake_verifier_is_valid_and_stable),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
