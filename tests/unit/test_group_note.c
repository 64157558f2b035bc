#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "protocol/group_note.h"

#define FUZZ_SEED 20261204
#define FUZZ_ROUNDS 200000

static group_note_t sample(void)
{
	return (group_note_t){
		.kind = GROUP_NOTE_ANSWER,
		.id = UINT64_MAX,
		.database = "match",
		.server = "match-1",
		.primary = "match-2",
		.operation = SERVER_FENCE,
		.term = 1ull << 40,
		.point = {3, 4},
		.timeout_ms = 50,
		.result = SERVER_REFUSED,
		.has_status = true,
		.status = {.role = SERVER_PRIMARY,
			   .term = 5,
			   .fence = 6,
			   .last = {7, 8},
			   .replayed = {9, 10},
			   .upstream_age_ms = 11},
	};
}

static void test_note_round_trip(void **state)
{
	const group_note_t sent = sample();
	uint8_t bytes[GROUP_NOTE_SIZE_BYTES_MAX];
	const size_t size = group_note_encode(&sent, bytes, sizeof(bytes));
	group_note_t decoded;

	memset(&decoded, 0, sizeof(decoded));
	assert_true(group_note_decode(bytes, size, &decoded));
	assert_string_equal(decoded.database, sent.database);
	assert_string_equal(decoded.server, sent.server);
	assert_string_equal(decoded.primary, sent.primary);
	assert_int_equal(decoded.id, sent.id);
	assert_int_equal(decoded.term, sent.term);
	assert_int_equal(decoded.result, sent.result);
	assert_int_equal(decoded.point.position, sent.point.position);
	assert_int_equal(decoded.status.role, sent.status.role);
	assert_int_equal(decoded.status.fence, sent.status.fence);
	assert_int_equal(decoded.status.last.position,
			 sent.status.last.position);
	assert_int_equal(decoded.status.replayed.term,
			 sent.status.replayed.term);
}

/* The name was taken up to its NUL byte. */
static void test_names_with_nul_are_rejected(void **state)
{
	group_note_t note = sample();
	uint8_t bytes[GROUP_NOTE_SIZE_BYTES_MAX];
	uint8_t *found;
	size_t size;
	group_note_t decoded;

	strcpy(note.server, "match-1~x");
	size = group_note_encode(&note, bytes, sizeof(bytes));
	found = memchr(bytes, '~', size);
	assert_non_null(found);
	*found = '!';
	assert_true(group_note_decode(bytes, size, &decoded));
	assert_string_equal(decoded.server, "match-1!x");
	*found = 0;
	assert_false(group_note_decode(bytes, size, &decoded));
}

/* The last of both was taken; see protocol/unpacked.h. */
static void test_field_that_comes_twice_is_rejected(void **state)
{
	static const uint8_t another_id[] = {2 << 3, 5};
	const group_note_t note = sample();
	uint8_t bytes[GROUP_NOTE_SIZE_BYTES_MAX];
	const size_t size = group_note_encode(&note, bytes, sizeof(bytes));
	group_note_t decoded;

	memcpy(bytes + size, another_id, sizeof(another_id));
	assert_false(
		group_note_decode(bytes, size + sizeof(another_id), &decoded));
}

static void test_longest_names_fit(void **state)
{
	group_note_t note = sample();
	uint8_t bytes[GROUP_NOTE_SIZE_BYTES_MAX];

	memset(note.database, 'd', sizeof(note.database) - 1);
	memset(note.server, 's', sizeof(note.server) - 1);
	memset(note.primary, 'p', sizeof(note.primary) - 1);
	assert_true(group_note_encode(&note, bytes, sizeof(bytes)) > 0);
	assert_int_equal(group_note_encode(&note, bytes, 20), 0);
}

static void test_success_without_status_is_rejected(void **state)
{
	group_note_t note = sample();
	uint8_t bytes[GROUP_NOTE_SIZE_BYTES_MAX];
	size_t size;

	note.result = SERVER_OK;
	note.has_status = false;
	size = group_note_encode(&note, bytes, sizeof(bytes));
	assert_false(group_note_decode(bytes, size, &note));
}

/* Decoded fields are within bounds, whatever the bytes are. */
static void test_damaged_notes_are_rejected_or_within_bounds(void **state)
{
	g_autoptr(GRand) random = g_rand_new_with_seed(FUZZ_SEED);
	const group_note_t note = sample();
	uint8_t bytes[GROUP_NOTE_SIZE_BYTES_MAX];
	const size_t size = group_note_encode(&note, bytes, sizeof(bytes));

	for (uint32_t i = 0; i < FUZZ_ROUNDS; i++) {
		g_autofree uint8_t *damaged = g_memdup2(bytes, size);
		const int changes = g_rand_int_range(random, 1, 5);
		const size_t cut =
			(size_t)g_rand_int_range(random, 0, (int)size + 1);
		group_note_t decoded = {0};

		for (int j = 0; j < changes; j++)
			damaged[g_rand_int_range(random, 0, (int)size)] =
				(uint8_t)g_rand_int(random);
		if (!group_note_decode(damaged, cut, &decoded))
			continue;
		assert_true(decoded.kind < GROUP_NOTE_KIND_COUNT);
		assert_true(decoded.operation < SERVER_OPERATION_COUNT);
		assert_true(decoded.result < SERVER_RESULT_COUNT);
		assert_true(decoded.status.role < SERVER_ROLE_COUNT);
		assert_non_null(
			memchr(decoded.server, 0, GROUP_SERVER_NAME_SIZE));
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_note_round_trip),
		cmocka_unit_test(test_names_with_nul_are_rejected),
		cmocka_unit_test(test_field_that_comes_twice_is_rejected),
		cmocka_unit_test(test_longest_names_fit),
		cmocka_unit_test(test_success_without_status_is_rejected),
		cmocka_unit_test(
			test_damaged_notes_are_rejected_or_within_bounds),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
