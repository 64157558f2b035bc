#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "coordination/quota_leadership.h"
#include "state/store_revision.h"

#define START_MS 1000000u
#define SPREAD_MS 100u

static quota_leadership_t *create_leadership(void)
{
	quota_leadership_t *leadership =
		quota_leadership_create((quota_leadership_settings_t){
			.node = "n1",
			.spread_ms = SPREAD_MS,
			.proof_ms = QUOTA_LEADERSHIP_PROOF_MS,
			.settle_ms = QUOTA_LEADERSHIP_SETTLE_MS,
		});

	quota_leadership_enable(leadership, true);
	quota_leadership_register(leadership);
	return leadership;
}

/* Applies a record of era 1 that was read in @p era. */
static void read_record(quota_leadership_t *leadership, const char *holder,
			quota_record_state_t state, int64_t era, int64_t number,
			uint64_t now_ms)
{
	const int64_t revision = store_revision_make(era, number);
	quota_record_t record = {.era = 1, .state = state};

	g_strlcpy(record.holder, holder, sizeof(record.holder));
	quota_leadership_changed(leadership, &record, revision, now_ms);
	quota_leadership_synced(leadership, revision, now_ms, now_ms);
}

/* Steps to a time, several times a second. */
static bool step_until(quota_leadership_t *leadership, uint64_t from_ms,
		       uint64_t to_ms, quota_write_t *write)
{
	for (uint64_t now_ms = from_ms; now_ms < to_ms; now_ms += 100)
		if (quota_leadership_step(leadership, now_ms, write))
			return true;
	return false;
}

static void test_first_hub_leads_at_once(void **state)
{
	quota_leadership_t *leadership = create_leadership();
	quota_write_t write;

	assert_false(quota_leadership_step(leadership, START_MS, &write));
	quota_leadership_synced(leadership, store_revision_make(1, 5), START_MS,
				START_MS);
	assert_false(quota_leadership_step(leadership, START_MS, &write));
	assert_true(quota_leadership_step(leadership, START_MS + SPREAD_MS,
					  &write));
	assert_int_equal(write.revision, 0);
	assert_int_equal(write.record.state, QUOTA_RECORD_LEADING);
	assert_false(
		quota_leadership_may_admit(leadership, START_MS + SPREAD_MS));
	quota_leadership_written(leadership, QUOTA_WRITE_DONE,
				 store_revision_make(1, 6), START_MS + 110);
	assert_true(quota_leadership_may_admit(leadership, START_MS + 110));
	assert_false(quota_leadership_may_admit(
		leadership, START_MS + SPREAD_MS + QUOTA_LEADERSHIP_PROOF_MS));
	quota_leadership_destroy(leadership);
}

/* A hub that frees no quota must not cost calls to the store. */
static void test_site_without_quotas_writes_nothing(void **state)
{
	quota_leadership_t *leadership = create_leadership();
	quota_write_t write;

	quota_leadership_enable(leadership, false);
	quota_leadership_synced(leadership, store_revision_make(1, 5), START_MS,
				START_MS);
	assert_false(
		step_until(leadership, START_MS, START_MS + 60000, &write));
	quota_leadership_destroy(leadership);
}

/* After a loss of power the leaders must work with their first read. */
static void test_restarted_leader_continues_at_once(void **state)
{
	quota_leadership_t *leadership = create_leadership();
	quota_write_t write;

	read_record(leadership, "n1", QUOTA_RECORD_LEADING, 1, 5, START_MS);
	assert_true(quota_leadership_may_admit(leadership, START_MS));
	/* A write of the earlier run must not take effect any more. */
	assert_true(quota_leadership_step(leadership, START_MS, &write));
	assert_int_equal(write.revision, store_revision_make(1, 5));
	quota_leadership_written(leadership, QUOTA_WRITE_DONE,
				 store_revision_make(1, 6), START_MS);
	assert_false(
		step_until(leadership, START_MS, START_MS + 60000, &write));
	quota_leadership_destroy(leadership);
}

/* A restart in the wait must not end it: the former leader may still admit. */
static void test_restart_while_settling_waits_again(void **state)
{
	quota_leadership_t *leadership = create_leadership();
	const uint64_t end_ms = START_MS + QUOTA_LEADERSHIP_SETTLE_MS;
	quota_write_t write;

	read_record(leadership, "n1", QUOTA_RECORD_SETTLING, 1, 5, START_MS);
	assert_false(step_until(leadership, START_MS, end_ms, &write));
	assert_false(quota_leadership_may_admit(leadership, end_ms - 1));
	assert_true(quota_leadership_step(leadership, end_ms, &write));
	assert_int_equal(write.record.state, QUOTA_RECORD_LEADING);
	assert_false(quota_leadership_may_admit(leadership, end_ms));
	quota_leadership_written(leadership, QUOTA_WRITE_DONE,
				 store_revision_make(1, 6), end_ms);
	assert_true(quota_leadership_may_admit(leadership, end_ms));
	quota_leadership_destroy(leadership);
}

/* A dead leader's hub key lapses, and it does not answer. */
static void test_silent_leader_without_key_is_replaced(void **state)
{
	quota_leadership_t *leadership = create_leadership();
	const uint64_t last_ms = START_MS + 60000;
	quota_write_t write;

	read_record(leadership, "n2", QUOTA_RECORD_LEADING, 1, 5, START_MS);
	for (uint64_t now_ms = START_MS; now_ms < last_ms; now_ms += 100) {
		quota_leadership_holder_seen(leadership, true, now_ms, now_ms);
		assert_false(quota_leadership_step(leadership, now_ms, &write));
	}
	assert_false(step_until(leadership, last_ms, last_ms + 14900, &write));
	assert_true(step_until(leadership, last_ms + 14900, last_ms + 15200,
			       &write));
	assert_int_equal(write.record.state, QUOTA_RECORD_SETTLING);
	quota_leadership_destroy(leadership);
}

/*
 * Hubs that were cut off from the leaders of four domains took their records
 * over, so that the site admitted a third of all quotas for 33 s.
 */
static void test_partition_replaces_no_leader(void **state)
{
	quota_leadership_t *leadership = create_leadership();
	const uint64_t end_ms = START_MS + 60000;
	quota_write_t write;

	read_record(leadership, "n2", QUOTA_RECORD_LEADING, 1, 5, START_MS);
	for (uint64_t now_ms = START_MS; now_ms < end_ms; now_ms += 100) {
		quota_leadership_holder_seen(leadership, true, START_MS,
					     now_ms);
		assert_false(quota_leadership_step(leadership, now_ms, &write));
	}
	/* Nor if its key has lapsed and it answers. */
	for (uint64_t now_ms = end_ms; now_ms < end_ms + 60000; now_ms += 100) {
		quota_leadership_holder_seen(leadership, false, now_ms, now_ms);
		assert_false(quota_leadership_step(leadership, now_ms, &write));
	}
	quota_leadership_destroy(leadership);
}

/* After a freeze of this hub the leader has not been silent. */
static void test_own_freeze_replaces_nobody(void **state)
{
	quota_leadership_t *leadership = create_leadership();
	quota_write_t write;

	read_record(leadership, "n2", QUOTA_RECORD_LEADING, 1, 5, START_MS);
	assert_false(quota_leadership_step(leadership, START_MS, &write));
	assert_false(
		quota_leadership_step(leadership, START_MS + 20000, &write));
	assert_false(step_until(leadership, START_MS + 20100, START_MS + 34900,
				&write));
	assert_true(step_until(leadership, START_MS + 34900, START_MS + 35500,
			       &write));
	quota_leadership_destroy(leadership);
}

static void test_leader_stops_when_replaced(void **state)
{
	quota_leadership_t *leadership = create_leadership();

	read_record(leadership, "n1", QUOTA_RECORD_LEADING, 1, 5, START_MS);
	assert_true(quota_leadership_may_admit(leadership, START_MS));
	read_record(leadership, "n2", QUOTA_RECORD_SETTLING, 1, 6,
		    START_MS + 1);
	assert_false(quota_leadership_may_admit(leadership, START_MS + 1));
	quota_leadership_destroy(leadership);
}

/* The copy may name any earlier leader, and only the present one continues. */
static void test_leader_continues_after_restore(void **state)
{
	quota_leadership_t *leadership = create_leadership();
	quota_write_t write;

	read_record(leadership, "n1", QUOTA_RECORD_LEADING, 1, 50, START_MS);
	read_record(leadership, "n2", QUOTA_RECORD_LEADING, 2, 5,
		    START_MS + 1000);
	assert_true(quota_leadership_may_admit(leadership, START_MS + 1000));
	assert_true(quota_leadership_step(leadership, START_MS + 1000, &write));
	assert_int_equal(write.record.era, 2);
	assert_int_equal(write.record.state, QUOTA_RECORD_LEADING);
	assert_int_equal(write.revision, store_revision_make(2, 5));
	quota_leadership_destroy(leadership);
}

/* One that was out of touch may have been replaced in the lost history. */
static void test_leader_without_proof_settles_after_restore(void **state)
{
	quota_leadership_t *leadership = create_leadership();
	const uint64_t later_ms = START_MS + QUOTA_LEADERSHIP_PROOF_MS;
	quota_write_t write;

	read_record(leadership, "n1", QUOTA_RECORD_LEADING, 1, 50, START_MS);
	read_record(leadership, "n1", QUOTA_RECORD_LEADING, 2, 5, later_ms);
	assert_false(quota_leadership_may_admit(leadership, later_ms));
	assert_true(step_until(leadership, later_ms, later_ms + 2000, &write));
	assert_int_equal(write.record.state, QUOTA_RECORD_SETTLING);
	quota_leadership_destroy(leadership);
}

/* A copy from before the first record does not show that nobody leads. */
static void test_absent_record_of_restored_store_settles(void **state)
{
	quota_leadership_t *leadership = create_leadership();
	quota_write_t write;

	quota_leadership_synced(leadership, store_revision_make(2, 5), START_MS,
				START_MS);
	assert_true(step_until(leadership, START_MS, START_MS + 2000, &write));
	assert_int_equal(write.record.state, QUOTA_RECORD_SETTLING);
	quota_leadership_destroy(leadership);
}

static void test_released_record_is_taken_at_once(void **state)
{
	quota_leadership_t *leadership = create_leadership();
	quota_write_t write;

	read_record(leadership, "n2", QUOTA_RECORD_RELEASED, 1, 5, START_MS);
	assert_true(quota_leadership_step(leadership, START_MS + SPREAD_MS,
					  &write));
	assert_int_equal(write.record.state, QUOTA_RECORD_LEADING);
	quota_leadership_destroy(leadership);
}

/* Only one that leads may release; the former leader of one that waits may
 * still admit. */
static void test_resigning(void **state)
{
	quota_leadership_t *leadership = create_leadership();
	quota_write_t write;

	read_record(leadership, "n1", QUOTA_RECORD_SETTLING, 1, 5, START_MS);
	quota_leadership_resign(leadership);
	assert_false(
		step_until(leadership, START_MS, START_MS + 60000, &write));
	read_record(leadership, "n1", QUOTA_RECORD_LEADING, 1, 6,
		    START_MS + 60000);
	assert_false(quota_leadership_may_admit(leadership, START_MS + 60000));
	assert_true(
		quota_leadership_step(leadership, START_MS + 60000, &write));
	assert_int_equal(write.record.state, QUOTA_RECORD_RELEASED);
	quota_leadership_destroy(leadership);
}

/* Each call to the store costs money, also while it does not answer. */
/*
 * Guards against a hub that gives its record up, becomes a hub again, and leads
 * on while the write may take effect yet: the next leader does not wait.
 */
static void test_release_under_way_ends_the_leadership(void **state)
{
	quota_leadership_t *leadership = create_leadership();
	quota_write_t write;

	read_record(leadership, "n1", QUOTA_RECORD_LEADING, 1, 5, START_MS);
	assert_true(quota_leadership_may_admit(leadership, START_MS));
	quota_leadership_withdraw(leadership);
	assert_true(quota_leadership_step(leadership, START_MS, &write));
	assert_int_equal(write.record.state, QUOTA_RECORD_RELEASED);
	quota_leadership_written(leadership, QUOTA_WRITE_UNKNOWN, 0,
				 START_MS + 100);
	quota_leadership_register(leadership);
	assert_false(quota_leadership_may_admit(leadership, START_MS + 200));
	/* A write of its own that takes effect rules the release out. */
	assert_true(step_until(leadership, START_MS + 200, START_MS + 2000,
			       &write));
	assert_int_equal(write.record.state, QUOTA_RECORD_LEADING);
	assert_int_equal(write.revision, store_revision_make(1, 5));
	quota_leadership_written(leadership, QUOTA_WRITE_DONE,
				 store_revision_make(1, 6), START_MS + 2000);
	assert_true(quota_leadership_may_admit(leadership, START_MS + 2000));
	assert_false(step_until(leadership, START_MS + 2000, START_MS + 20000,
				&write));
	quota_leadership_destroy(leadership);
}

static void test_unanswered_writes_are_spread(void **state)
{
	quota_leadership_t *leadership = create_leadership();
	quota_write_t write;
	uint32_t writes = 0;

	quota_leadership_synced(leadership, store_revision_make(1, 5), START_MS,
				START_MS);
	for (uint64_t now_ms = START_MS; now_ms < START_MS + 60000;
	     now_ms += 100) {
		if (!quota_leadership_step(leadership, now_ms, &write))
			continue;
		writes++;
		quota_leadership_written(leadership, QUOTA_WRITE_UNKNOWN, 0,
					 now_ms);
	}
	assert_in_range(writes, 2, 12);
	quota_leadership_destroy(leadership);
}

static void test_record_encoding(void **state)
{
	const quota_record_t record = {"n1", 3, QUOTA_RECORD_SETTLING};
	g_autofree char *text = quota_record_encode(&record);
	g_autoptr(GBytes) bytes = g_bytes_new(text, strlen(text));
	static const char *const invalid[] = {"",
					      "n1",
					      "n1 1",
					      "n1 x leading",
					      "n1 1 other",
					      " 1 leading",
					      "n1 1 leading more"};
	quota_record_t decoded;

	assert_string_equal(text, "n1 3 settling");
	assert_true(quota_record_decode(bytes, &decoded));
	assert_string_equal(decoded.holder, "n1");
	assert_int_equal(decoded.era, 3);
	assert_int_equal(decoded.state, QUOTA_RECORD_SETTLING);
	for (guint i = 0; i < G_N_ELEMENTS(invalid); i++) {
		g_autoptr(GBytes) value =
			g_bytes_new(invalid[i], strlen(invalid[i]));

		assert_false(quota_record_decode(value, &decoded));
	}
}

/* Such a record was taken without what follows the NUL byte. */
static void test_record_with_nul_is_invalid(void **state)
{
	static const char text[] = "n1 3 settling\0 more";
	g_autoptr(GBytes) ended = g_bytes_new(text, strlen(text) + 1);
	g_autoptr(GBytes) followed = g_bytes_new(text, sizeof(text) - 1);
	g_autoptr(GBytes) empty = g_bytes_new(NULL, 0);
	quota_record_t decoded;

	assert_false(quota_record_decode(ended, &decoded));
	assert_false(quota_record_decode(followed, &decoded));
	assert_false(quota_record_decode(empty, &decoded));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_first_hub_leads_at_once),
		cmocka_unit_test(test_site_without_quotas_writes_nothing),
		cmocka_unit_test(test_restarted_leader_continues_at_once),
		cmocka_unit_test(test_restart_while_settling_waits_again),
		cmocka_unit_test(test_silent_leader_without_key_is_replaced),
		cmocka_unit_test(test_partition_replaces_no_leader),
		cmocka_unit_test(test_own_freeze_replaces_nobody),
		cmocka_unit_test(test_leader_stops_when_replaced),
		cmocka_unit_test(test_leader_continues_after_restore),
		cmocka_unit_test(
			test_leader_without_proof_settles_after_restore),
		cmocka_unit_test(test_absent_record_of_restored_store_settles),
		cmocka_unit_test(test_released_record_is_taken_at_once),
		cmocka_unit_test(test_resigning),
		cmocka_unit_test(test_release_under_way_ends_the_leadership),
		cmocka_unit_test(test_unanswered_writes_are_spread),
		cmocka_unit_test(test_record_encoding),
		cmocka_unit_test(test_record_with_nul_is_invalid),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
