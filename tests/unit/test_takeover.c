/* Tests takeover.c with takeover_choice.c, _fence.c and _order.c. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "coordination/primary_lease.h"
#include "coordination/takeover.h"

/* Time of one step, in which each operation is answered. */
#define STEP_MS 10

/* Simulates three servers and a store for a takeover. */
typedef struct {
	takeover_t *takeover;
	uint64_t now_ms;
	struct {
		const char *id;
		bool unresponsive;
		takeover_status_t status;
	} servers[3];
	bool writes_fail;
	bool promoted;
	char promoted_id[16];
	bool other_promoted; /* a second server was promoted after the first */
	uint32_t promotions; /* requested so far */
	bool busy_after_promotion; /* the promoted server answers no status */
	bool promotions_change_nothing; /* the server is primary already */
	bool orders_unsent;		/* the lease was not renewed lately */
	takeover_promoted_t order_result;
	uint64_t done_ms;
	uint64_t promoted_ms;
	bool fenced;
	char fenced_id[16];
	uint64_t fenced_ms;
	uint64_t fence_again_ms; /* when a replica was last fenced */
	uint32_t releases;	 /* of a surplus fence */
	bool done;
	bool published;
	uint64_t term;
	char primary[16];
	GQueue pending; /* char *: "operation id" of unanswered operations */
} fixture_t;

static void add_pending(fixture_t *fixture, const char *operation,
			const char *id)
{
	g_queue_push_tail(&fixture->pending,
			  g_strdup_printf("%s %s", operation, id));
}

static void on_write(void *context, uint64_t term, const char *primary,
		     uint64_t takeover_term)
{
	add_pending(context, "write", primary);
}

static void on_revoke(void *context)
{
	add_pending(context, "revoke", "-");
}

static void on_status(void *context, const char *server)
{
	add_pending(context, "status", server);
}

static void on_fence(void *context, const char *server, uint64_t term)
{
	fixture_t *fixture = context;

	add_pending(fixture, "fence", server);
	for (int i = 0; i < 3; i++)
		if (!strcmp(fixture->servers[i].id, server) &&
		    term > fixture->servers[i].status.term)
			fixture->servers[i].status.fence = term;
}

static void on_release(void *context, const char *server)
{
	fixture_t *fixture = context;

	fixture->releases++;
	for (int i = 0; i < 3; i++)
		if (!strcmp(fixture->servers[i].id, server))
			fixture->servers[i].status.fence = 0;
}

static void on_promote(void *context, const char *server)
{
	fixture_t *fixture = context;

	if (fixture->orders_unsent) {
		takeover_promoted(fixture->takeover, TAKEOVER_NOT_DONE,
				  fixture->now_ms);
		return;
	}
	fixture->other_promoted |=
		fixture->promoted && strcmp(fixture->promoted_id, server) != 0;
	fixture->promotions++;
	fixture->promoted = true;
	fixture->promoted_ms = fixture->now_ms;
	g_strlcpy(fixture->promoted_id, server, sizeof(fixture->promoted_id));
	add_pending(fixture, "promote", server);
}

static void on_done(void *context, bool published, uint64_t term,
		    const char *old, const char *primary)
{
	fixture_t *fixture = context;

	fixture->done = true;
	fixture->done_ms = fixture->now_ms;
	fixture->published = published;
	fixture->term = term;
	g_strlcpy(fixture->primary, primary, sizeof(fixture->primary));
}

static int open_fixture(void **state)
{
	static const char *const ids[] = {"a", "b", "c"};
	fixture_t *fixture = g_new0(fixture_t, 1);
	const takeover_actions_t actions = {
		.write = on_write,
		.revoke = on_revoke,
		.status = on_status,
		.fence = on_fence,
		.release = on_release,
		.promote = on_promote,
		.done = on_done,
		.context = fixture,
	};

	fixture->now_ms = 100000;
	for (int i = 0; i < 3; i++) {
		fixture->servers[i].id = ids[i];
		fixture->servers[i].status = (takeover_status_t){
			.answered = true,
			.role = i ? SERVER_REPLICA : SERVER_PRIMARY,
			.term = 1,
			.received = {1, 100},
		};
	}
	g_queue_init(&fixture->pending);
	fixture->takeover = takeover_create(actions);
	*state = fixture;
	return 0;
}

static int close_fixture(void **state)
{
	fixture_t *fixture = *state;

	takeover_destroy(fixture->takeover);
	g_queue_clear_full(&fixture->pending, g_free);
	g_free(fixture);
	return 0;
}

static void start(fixture_t *fixture, takeover_kind_t kind)
{
	const takeover_server_t servers[] = {
		{.id = "a",
		 .started_ms = 1,
		 .draining = kind == TAKEOVER_LEAVING},
		{.id = "b", .started_ms = 2},
		{.id = "c", .started_ms = 3},
	};

	takeover_start(fixture->takeover, 1, "a", kind, servers, 3,
		       fixture->now_ms);
}

static takeover_status_t status_of(const fixture_t *fixture, const char *id)
{
	for (int i = 0; i < 3; i++)
		if (!strcmp(fixture->servers[i].id, id) &&
		    !fixture->servers[i].unresponsive)
			return fixture->servers[i].status;
	return (takeover_status_t){0};
}

static void make_primary(fixture_t *fixture, const char *id)
{
	for (int i = 0; i < 3; i++) {
		if (strcmp(fixture->servers[i].id, id))
			continue;
		fixture->servers[i].status.role = SERVER_PRIMARY;
		fixture->servers[i].status.term = 2;
		fixture->servers[i].unresponsive =
			fixture->busy_after_promotion;
	}
}

static void make_responsive(fixture_t *fixture, const char *id)
{
	for (int i = 0; i < 3; i++)
		if (!strcmp(fixture->servers[i].id, id))
			fixture->servers[i].unresponsive = false;
}

static void answer(fixture_t *fixture, const char *operation, const char *id)
{
	takeover_status_t status = status_of(fixture, id);

	/* Sent in the step before. */
	status.sent_ms = fixture->now_ms - STEP_MS;
	if (!strcmp(operation, "write")) {
		takeover_written(fixture->takeover, !fixture->writes_fail,
				 fixture->now_ms);
	} else if (!strcmp(operation, "revoke")) {
		takeover_revoked(fixture->takeover, fixture->now_ms);
	} else if (!strcmp(operation, "status")) {
		takeover_status(fixture->takeover, id, &status,
				fixture->now_ms);
	} else if (!strcmp(operation, "fence")) {
		if (status.answered)
			fixture->fence_again_ms = fixture->now_ms;
		if (status.answered && !fixture->fenced) {
			fixture->fenced = true;
			fixture->fenced_ms = fixture->now_ms;
			g_strlcpy(fixture->fenced_id, id,
				  sizeof(fixture->fenced_id));
		}
		takeover_fenced(fixture->takeover, id, &status,
				fixture->now_ms);
	} else {
		takeover_promoted(fixture->takeover, fixture->order_result,
				  fixture->now_ms);
		if (fixture->order_result == TAKEOVER_PROMOTED &&
		    !fixture->promotions_change_nothing)
			make_primary(fixture, id);
	}
}

static void run(fixture_t *fixture, uint64_t for_ms)
{
	const uint64_t end_ms = fixture->now_ms + for_ms;

	while (fixture->now_ms < end_ms && !fixture->done) {
		guint count = g_queue_get_length(&fixture->pending);

		while (count-- > 0) {
			g_autofree char *entry =
				g_queue_pop_head(&fixture->pending);
			g_auto(GStrv) words = g_strsplit(entry, " ", 2);

			answer(fixture, words[0], words[1]);
		}
		fixture->now_ms += STEP_MS;
		takeover_step(fixture->takeover, fixture->now_ms);
	}
}

static void test_lost_primary_is_replaced_after_proofs_ran_out(void **state)
{
	fixture_t *fixture = *state;

	fixture->servers[0].unresponsive = true;
	fixture->servers[2].status.received.position = 120;
	start(fixture, TAKEOVER_LOST);
	run(fixture, 5000);
	assert_true(fixture->published);
	assert_int_equal(fixture->term, 2);
	assert_string_equal(fixture->fenced_id, "b");
	assert_string_equal(fixture->primary, "c");
	assert_true(fixture->promoted_ms >
		    fixture->fenced_ms + PRIMARY_LEASE_VALID_MS);
}

static void test_forgotten_proofs_end_the_wait(void **state)
{
	fixture_t *fixture = *state;

	fixture->servers[0].unresponsive = true;
	start(fixture, TAKEOVER_LOST);
	run(fixture, 300);
	assert_int_equal(takeover_phase(fixture->takeover), TAKEOVER_WAIT);
	assert_false(fixture->promoted);
	takeover_proofs_forgotten(fixture->takeover, fixture->now_ms);
	run(fixture, 2000);
	assert_true(fixture->published);
	assert_true(fixture->promoted_ms <
		    fixture->fenced_ms + PRIMARY_LEASE_VALID_MS);
}

/* The wait must not be skipped before a replica is fenced. */
static void test_wait_is_not_skipped_before_the_fence(void **state)
{
	fixture_t *fixture = *state;

	for (int i = 0; i < 3; i++)
		fixture->servers[i].unresponsive = true;
	start(fixture, TAKEOVER_LOST);
	run(fixture, 200);
	takeover_proofs_forgotten(fixture->takeover, fixture->now_ms);
	run(fixture, 10000);
	assert_false(fixture->promoted);
}

/* The wait is also skipped if the proofs were forgotten before the fence. */
static void test_fence_after_forgetting_skips_the_wait(void **state)
{
	fixture_t *fixture = *state;

	fixture->servers[0].unresponsive = true;
	start(fixture, TAKEOVER_LOST);
	takeover_revoked(fixture->takeover, fixture->now_ms);
	takeover_proofs_forgotten(fixture->takeover, fixture->now_ms);
	run(fixture, 2000);
	assert_true(fixture->published);
	assert_true(fixture->promoted_ms <
		    fixture->fenced_ms + PRIMARY_LEASE_VALID_MS);
}

/* Runs a takeover of a lost primary until it waits, with "b" fenced. */
static void run_until_wait(fixture_t *fixture)
{
	fixture->servers[0].unresponsive = true;
	start(fixture, TAKEOVER_LOST);
	run(fixture, 300);
	assert_int_equal(takeover_phase(fixture->takeover), TAKEOVER_WAIT);
	assert_string_equal(fixture->fenced_id, "b");
}

/* Whether the order came after a whole wait for proofs since the last fence. */
static void assert_waited_again(fixture_t *fixture)
{
	run(fixture, 5000);
	assert_true(fixture->published);
	assert_true(fixture->fence_again_ms > fixture->fenced_ms);
	assert_true(fixture->promoted_ms >
		    fixture->fence_again_ms + PRIMARY_LEASE_VALID_MS);
}

/*
 * Guards against a fence that an earlier holder lifts, or whose lift arrives
 * late (review/12): nodes prove the old primary by its replicas meanwhile.
 */
static void test_lifted_fence_is_set_again(void **state)
{
	fixture_t *fixture = *state;

	run_until_wait(fixture);
	fixture->servers[1].status.fence = 0;
	assert_waited_again(fixture);
}

/* The same when the wait is just over. */
static void test_fence_is_seen_after_the_wait(void **state)
{
	fixture_t *fixture = *state;

	run_until_wait(fixture);
	run(fixture,
	    fixture->fenced_ms + PRIMARY_LEASE_VALID_MS - fixture->now_ms + 40);
	assert_false(fixture->promoted);
	fixture->servers[1].status.fence = 0;
	assert_waited_again(fixture);
}

/* The fenced replica falls silent: it may have lost the fence. */
static void test_silent_fence_is_replaced(void **state)
{
	fixture_t *fixture = *state;

	run_until_wait(fixture);
	fixture->servers[1].unresponsive = true;
	assert_waited_again(fixture);
	assert_string_equal(fixture->primary, "c");
}

/* Two fences would keep each replica from catching up. */
static void test_surplus_fence_is_lifted(void **state)
{
	fixture_t *fixture = *state;

	run_until_wait(fixture);
	fixture->servers[1].unresponsive = true;
	for (int i = 0; i < 300 && !fixture->servers[2].status.fence; i++)
		run(fixture, STEP_MS);
	assert_int_equal(fixture->servers[2].status.fence, 2);
	fixture->servers[1].unresponsive = false;
	assert_waited_again(fixture);
	assert_int_equal(fixture->releases, 1);
}

/* An order without a visible effect is not repeated while the fence is gone. */
static void test_order_is_not_repeated_without_a_fence(void **state)
{
	fixture_t *fixture = *state;

	fixture->promotions_change_nothing = true;
	run_until_wait(fixture);
	for (int i = 0; i < 300 && !fixture->promotions; i++)
		run(fixture, STEP_MS);
	assert_int_equal(fixture->promotions, 1);
	fixture->servers[1].status.fence = 0;
	run(fixture, 1500);
	assert_int_equal(fixture->promotions, 1);
	run(fixture, 2000);
	assert_true(fixture->fence_again_ms > fixture->fenced_ms);
	assert_true(fixture->promotions > 1);
}

/* An answer that was sent before the fence was set does not mean it is gone. */
static void test_answer_of_before_the_fence_is_ignored(void **state)
{
	fixture_t *fixture = *state;
	takeover_status_t status = status_of(fixture, "b");

	run_until_wait(fixture);
	status.sent_ms = fixture->fenced_ms - 1;
	takeover_status(fixture->takeover, "b", &status, fixture->now_ms);
	assert_int_equal(takeover_phase(fixture->takeover), TAKEOVER_WAIT);
	run(fixture, 5000);
	assert_int_equal(fixture->fence_again_ms, fixture->fenced_ms);
}

/* Where no node has a proof any more, no fence is needed. */
static void test_forgotten_proofs_need_no_fence(void **state)
{
	fixture_t *fixture = *state;

	run_until_wait(fixture);
	takeover_proofs_forgotten(fixture->takeover, fixture->now_ms);
	fixture->servers[1].status.fence = 0;
	run(fixture, 5000);
	assert_true(fixture->published);
	assert_int_equal(fixture->fence_again_ms, fixture->fenced_ms);
}

/* A handover goes to a replica that has the primary's whole log. */
static void test_handover_needs_the_whole_log(void **state)
{
	fixture_t *fixture = *state;

	start(fixture, TAKEOVER_HANDOVER);
	run(fixture, 2000);
	assert_true(fixture->published);
	assert_int_equal(fixture->term, 2);
	assert_string_not_equal(fixture->primary, "a");
}

static void test_handover_loses_nothing(void **state)
{
	fixture_t *fixture = *state;

	fixture->servers[0].status.received.position = 101;
	start(fixture, TAKEOVER_HANDOVER);
	run(fixture, 6000);
	assert_true(fixture->done);
	assert_false(fixture->promoted);
	assert_string_equal(fixture->primary, "a");
}

/*
 * A primary that becomes unresponsive during a handover is replaced like a lost
 * one, but not before it has had TAKEOVER_CATCH_UP_MS to answer.
 */
static void test_primary_lost_during_a_handover_is_replaced(void **state)
{
	fixture_t *fixture = *state;

	start(fixture, TAKEOVER_HANDOVER);
	fixture->servers[0].unresponsive = true;
	run(fixture, 2000);
	assert_false(fixture->promoted);
	run(fixture, 6000);
	assert_true(fixture->published);
	assert_string_not_equal(fixture->primary, "a");
}

/*
 * After a restore of the store the old primary alone answers. It is promoted,
 * since another may have been; it stays if that changes nothing.
 */
static void test_restored_primary_is_promoted_before_it_counts(void **state)
{
	fixture_t *fixture = *state;

	fixture->promotions_change_nothing = true;
	fixture->servers[2].unresponsive = true;
	start(fixture, TAKEOVER_RESTORED);
	run(fixture, 8000);
	assert_true(fixture->published);
	assert_string_equal(fixture->promoted_id, "a");
	assert_string_equal(fixture->primary, "a");
	assert_int_equal(fixture->term, 1);
	assert_true(fixture->promoted_ms >
		    fixture->fenced_ms + PRIMARY_LEASE_VALID_MS);
}

/* A promotion that the copy does not know is not undone. */
static void test_restored_service_follows_the_promoted_server(void **state)
{
	fixture_t *fixture = *state;

	fixture->promotions_change_nothing = true;
	make_primary(fixture, "c");
	start(fixture, TAKEOVER_RESTORED);
	run(fixture, 8000);
	assert_true(fixture->published);
	assert_string_equal(fixture->primary, "c");
	assert_int_equal(fixture->term, 2);
	assert_false(fixture->other_promoted);
}

/*
 * All servers are of a term that the restored record does not have: a fence
 * above the record's term has no effect on them.
 */
static void test_restored_service_is_fenced_above_its_real_term(void **state)
{
	fixture_t *fixture = *state;

	fixture->servers[0].unresponsive = true;
	fixture->servers[1].status.term = 7;
	fixture->servers[2].status.term = 7;
	fixture->servers[2].status.role = SERVER_PRIMARY;
	fixture->promotions_change_nothing = true;
	start(fixture, TAKEOVER_RESTORED);
	run(fixture, 9000);
	assert_true(fixture->published);
	assert_string_equal(fixture->primary, "c");
	assert_int_equal(fixture->term, 7);
}

/*
 * The coordinator before requested a promotion and left; it takes effect only
 * now, and the old primary does not know of it yet.
 */
static void test_promotion_in_flight_of_an_unfinished_takeover(void **state)
{
	fixture_t *fixture = *state;

	fixture->promotions_change_nothing = true;
	start(fixture, TAKEOVER_UNFINISHED);
	run(fixture, 300);
	assert_false(fixture->done);
	make_primary(fixture, "c");
	run(fixture, 8000);
	assert_true(fixture->published);
	assert_string_equal(fixture->primary, "c");
	assert_int_equal(fixture->term, 2);
	assert_false(fixture->promoted);
}

/* Nobody was promoted: the primary is, which changes nothing. */
static void test_unfinished_takeover_of_a_well_primary_ends(void **state)
{
	fixture_t *fixture = *state;

	fixture->promotions_change_nothing = true;
	start(fixture, TAKEOVER_UNFINISHED);
	run(fixture, 8000);
	assert_true(fixture->published);
	assert_string_equal(fixture->promoted_id, "a");
	assert_string_equal(fixture->primary, "a");
	assert_int_equal(fixture->term, 1);
}

/* A primary that is about to leave is not promoted once more. */
static void test_restored_primary_that_leaves_hands_over(void **state)
{
	static const takeover_server_t servers[] = {
		{.id = "a", .started_ms = 1, .draining = true},
		{.id = "b", .started_ms = 2},
		{.id = "c", .started_ms = 3},
	};
	fixture_t *fixture = *state;

	takeover_start(fixture->takeover, 1, "a", TAKEOVER_RESTORED, servers, 3,
		       fixture->now_ms);
	run(fixture, 8000);
	assert_true(fixture->published);
	assert_string_not_equal(fixture->promoted_id, "a");
	assert_int_equal(fixture->promotions, 1);
	assert_int_equal(fixture->term, 2);
}

/*
 * Guards against a takeover that orders the leaving primary itself once more,
 * as it had waited for its predecessor's order (DRAIN of review/4).
 */
static void test_wait_for_an_order_is_no_time_to_catch_up(void **state)
{
	static const takeover_server_t servers[] = {
		{.id = "a", .started_ms = 1, .draining = true},
		{.id = "b", .started_ms = 2},
		{.id = "c", .started_ms = 3},
	};
	fixture_t *fixture = *state;
	const uint64_t until_ms = fixture->now_ms + 6000;

	takeover_assume_order(fixture->takeover, "a", until_ms);
	takeover_start(fixture->takeover, 1, "a", TAKEOVER_UNFINISHED, servers,
		       3, fixture->now_ms);
	run(fixture, 5900);
	assert_false(fixture->promoted);
	run(fixture, 8000);
	assert_true(fixture->published);
	assert_string_not_equal(fixture->promoted_id, "a");
	assert_int_equal(fixture->promotions, 1);
	assert_int_equal(fixture->term, 2);
	assert_in_range(fixture->promoted_ms, until_ms, until_ms + 200);
}

static void test_lost_primary_of_a_restored_service_is_replaced(void **state)
{
	fixture_t *fixture = *state;

	fixture->servers[0].unresponsive = true;
	fixture->servers[2].status.received.position = 120;
	start(fixture, TAKEOVER_RESTORED);
	run(fixture, 8000);
	assert_true(fixture->published);
	assert_string_equal(fixture->primary, "c");
	assert_int_equal(fixture->term, 2);
}

static void test_primary_that_answers_is_kept(void **state)
{
	fixture_t *fixture = *state;

	start(fixture, TAKEOVER_LOST);
	run(fixture, 5000);
	assert_true(fixture->done);
	assert_false(fixture->promoted);
	assert_string_equal(fixture->primary, "a");
	assert_int_equal(fixture->term, 1);
}

static void test_replica_catches_up_with_a_leaving_primary(void **state)
{
	fixture_t *fixture = *state;

	fixture->servers[0].status.received.position = 150;
	start(fixture, TAKEOVER_LEAVING);
	run(fixture, 1600);
	assert_false(fixture->promoted);
	fixture->servers[2].status.received.position = 150;
	run(fixture, 2000);
	assert_true(fixture->published);
	assert_string_equal(fixture->primary, "c");
}

static void test_next_replica_is_fenced_if_the_oldest_is_silent(void **state)
{
	fixture_t *fixture = *state;

	fixture->servers[0].unresponsive = true;
	fixture->servers[1].unresponsive = true;
	start(fixture, TAKEOVER_LOST);
	run(fixture, 8000);
	assert_true(fixture->published);
	assert_string_equal(fixture->fenced_id, "c");
	assert_string_equal(fixture->primary, "c");
}

static void test_refused_intent_changes_nothing(void **state)
{
	fixture_t *fixture = *state;

	fixture->writes_fail = true;
	start(fixture, TAKEOVER_LOST);
	run(fixture, 100);
	assert_true(fixture->done);
	assert_false(fixture->published);
	assert_false(fixture->fenced);
}

static void test_promotion_by_a_dead_coordinator_is_published(void **state)
{
	fixture_t *fixture = *state;

	fixture->servers[0].unresponsive = true;
	make_primary(fixture, "b");
	fixture->servers[2].status.term = 2;
	start(fixture, TAKEOVER_LOST);
	run(fixture, 5000);
	assert_true(fixture->published);
	assert_false(fixture->promoted);
	assert_string_equal(fixture->primary, "b");
	assert_int_equal(fixture->term, 2);
}

/*
 * The replicas are full of reads that wait for the primary: the promoted one
 * answers no status for seconds. A promotion of the other one would replace it
 * while it acknowledges changes.
 */
static void test_busy_new_primary_is_not_replaced(void **state)
{
	fixture_t *fixture = *state;

	fixture->servers[0].unresponsive = true;
	fixture->busy_after_promotion = true;
	start(fixture, TAKEOVER_LOST);
	run(fixture, 1300 + 2 * 1000);
	assert_true(fixture->promoted);
	assert_false(fixture->done);
	assert_false(fixture->other_promoted);
	make_responsive(fixture, fixture->promoted_id);
	run(fixture, 1500);
	assert_true(fixture->published);
	assert_false(fixture->other_promoted);
	assert_string_equal(fixture->primary, fixture->promoted_id);
	assert_in_range(fixture->promotions, 2, 4);
}

/*
 * A new primary that stays silent is replaced in the end. It must not be
 * published when it answers again: the later promotion is in force.
 */
static void test_replaced_new_primary_is_not_published(void **state)
{
	fixture_t *fixture = *state;
	g_autofree char *first = NULL;

	fixture->servers[0].unresponsive = true;
	fixture->busy_after_promotion = true;
	start(fixture, TAKEOVER_LOST);
	run(fixture, 2000);
	first = g_strdup(fixture->promoted_id);
	while (!fixture->other_promoted && fixture->now_ms < 130000)
		run(fixture, 100);
	assert_true(fixture->other_promoted);
	make_responsive(fixture, first);
	run(fixture, 300);
	assert_false(fixture->published && !strcmp(fixture->primary, first));
	make_responsive(fixture, fixture->promoted_id);
	run(fixture, 3000);
	assert_true(fixture->published);
	assert_string_not_equal(fixture->primary, first);
}

/*
 * Guards against a primary that is confirmed by an order that was never sent:
 * the time in which it takes effect counts from its answer.
 */
static void test_order_that_was_not_sent_confirms_nothing(void **state)
{
	fixture_t *fixture = *state;

	fixture->promotions_change_nothing = true;
	fixture->orders_unsent = true;
	start(fixture, TAKEOVER_UNFINISHED);
	while (takeover_phase(fixture->takeover) != TAKEOVER_PROMOTE)
		run(fixture, 10);
	run(fixture, 800);
	fixture->orders_unsent = false;
	run(fixture, 8000);
	assert_true(fixture->published);
	assert_string_equal(fixture->primary, "a");
	assert_true(fixture->done_ms >=
		    fixture->promoted_ms + TAKEOVER_ORDER_EFFECT_MS);
}

/*
 * Guards against a new holder that orders the old primary while the promotion
 * that its predecessor ordered is under way.
 */
static void test_ordered_server_is_ordered_again(void **state)
{
	fixture_t *fixture = *state;

	takeover_assume_order(fixture->takeover, "c", fixture->now_ms + 2100);
	start(fixture, TAKEOVER_UNFINISHED);
	run(fixture, 8000);
	assert_true(fixture->published);
	assert_string_equal(fixture->promoted_id, "c");
	assert_false(fixture->other_promoted);
	assert_string_equal(fixture->primary, "c");
}

/* The ordered server is gone: its order runs out, then another one follows. */
static void test_no_other_server_is_ordered_meanwhile(void **state)
{
	fixture_t *fixture = *state;

	takeover_assume_order(fixture->takeover, "gone",
			      fixture->now_ms + 6000);
	start(fixture, TAKEOVER_UNFINISHED);
	run(fixture, 5900);
	assert_false(fixture->promoted);
	assert_false(fixture->done);
	fixture->promotions_change_nothing = true;
	run(fixture, 6000);
	assert_true(fixture->published);
	assert_string_equal(fixture->primary, "a");
	assert_string_equal(fixture->promoted_id, "a");
}

/* A holder of an earlier version, or before a restore, has named no server. */
static void test_unknown_order_is_waited_for(void **state)
{
	fixture_t *fixture = *state;

	takeover_assume_order(fixture->takeover, NULL, fixture->now_ms + 6000);
	make_primary(fixture, "c");
	start(fixture, TAKEOVER_UNFINISHED);
	assert_null(takeover_ordered(fixture->takeover));
	run(fixture, 5900);
	assert_false(fixture->promoted);
	assert_false(fixture->done);
	fixture->promotions_change_nothing = true;
	run(fixture, 6000);
	assert_true(fixture->published);
	assert_string_equal(fixture->primary, "c");
}

/*
 * Guards against an old primary that answers again and is kept although a
 * promotion was ordered that may have taken effect unseen. It is ordered itself
 * once that one can no longer take effect.
 */
static void test_old_primary_is_not_kept_after_an_order(void **state)
{
	fixture_t *fixture = *state;

	fixture->servers[0].unresponsive = true;
	fixture->servers[2].unresponsive = true;
	fixture->order_result = TAKEOVER_UNKNOWN;
	start(fixture, TAKEOVER_LOST);
	run(fixture, 3000);
	assert_string_equal(fixture->promoted_id, "b");
	fixture->servers[1].unresponsive = true;
	make_responsive(fixture, "a");
	run(fixture, 1500);
	assert_false(fixture->done);
	assert_false(fixture->other_promoted);
	fixture->order_result = TAKEOVER_PROMOTED;
	run(fixture, 8000);
	assert_true(fixture->published);
	assert_string_equal(fixture->promoted_id, "a");
	assert_int_equal(fixture->term, 2);
}

/*
 * Guards against a primary that is confirmed although the order may have been
 * lost while it was silent: it does not know of a later one yet.
 */
static void test_silent_server_is_not_confirmed(void **state)
{
	fixture_t *fixture = *state;

	fixture->promotions_change_nothing = true;
	start(fixture, TAKEOVER_UNFINISHED);
	while (!fixture->promoted)
		run(fixture, 10);
	run(fixture, 500);
	fixture->servers[0].unresponsive = true;
	run(fixture, 300);
	make_responsive(fixture, "a");
	run(fixture, 8000);
	assert_true(fixture->published);
	assert_string_equal(fixture->primary, "a");
	assert_in_range(fixture->promotions, 2, 3);
	assert_true(fixture->done_ms >=
		    fixture->promoted_ms + TAKEOVER_ORDER_EFFECT_MS);
}

/*
 * Guards against a primary that is confirmed by an order of an earlier takeover
 * that was accepted.
 */
static void test_order_of_an_earlier_takeover_confirms_nothing(void **state)
{
	const takeover_server_t servers[] = {
		{.id = "a"}, {.id = "b"}, {.id = "c"}};
	fixture_t *fixture = *state;

	fixture->servers[0].unresponsive = true;
	fixture->busy_after_promotion = true;
	start(fixture, TAKEOVER_LOST);
	while (fixture->promotions < 2)
		run(fixture, 10);
	fixture->busy_after_promotion = false;
	make_responsive(fixture, "b");
	run(fixture, 2000);
	assert_string_equal(fixture->primary, "b");
	assert_string_equal(takeover_ordered(fixture->takeover), "b");
	run(fixture, 2000);
	fixture->now_ms += 2000;
	fixture->done = false;
	fixture->promotions_change_nothing = true;
	takeover_start(fixture->takeover, 2, "b", TAKEOVER_RESTORED, servers, 3,
		       fixture->now_ms);
	assert_string_equal(takeover_ordered(fixture->takeover), "");
	run(fixture, 8000);
	assert_true(fixture->done);
	assert_string_equal(fixture->primary, "b");
	assert_int_equal(fixture->promotions, 3);
	assert_true(fixture->done_ms >=
		    fixture->promoted_ms + TAKEOVER_ORDER_EFFECT_MS);
}

/* A server that refuses was not promoted; if no other order is under way. */
static void test_refused_order_leaves_the_old_primary(void **state)
{
	fixture_t *fixture = *state;

	fixture->servers[0].unresponsive = true;
	fixture->order_result = TAKEOVER_NOT_RUNNING;
	start(fixture, TAKEOVER_LOST);
	while (!fixture->promoted)
		run(fixture, 10);
	make_responsive(fixture, "a");
	run(fixture, 2000);
	assert_true(fixture->published);
	assert_string_equal(fixture->primary, "a");
	assert_int_equal(fixture->term, 1);
}

/* The server that is named in the record when an order may be under way. */
static void test_order_is_named_until_its_effect_is_seen(void **state)
{
	fixture_t *fixture = *state;

	fixture->servers[0].unresponsive = true;
	start(fixture, TAKEOVER_LOST);
	assert_string_equal(takeover_ordered(fixture->takeover), "");
	while (takeover_phase(fixture->takeover) != TAKEOVER_CONFIRM)
		run(fixture, 10);
	assert_false(fixture->promoted);
	assert_string_equal(takeover_ordered(fixture->takeover), "b");
	run(fixture, 10);
	assert_true(fixture->promoted);
	assert_string_equal(takeover_ordered(fixture->takeover), "b");
	run(fixture, 2000);
	assert_true(fixture->published);
	assert_string_equal(takeover_ordered(fixture->takeover), "");
}

/* The primary was unresponsive when the initial record was written. */
static void test_unknown_primary_is_recorded(void **state)
{
	fixture_t *fixture = *state;
	const takeover_server_t servers[3] = {
		{.id = "a"}, {.id = "b"}, {.id = "c"}};

	takeover_start(fixture->takeover, 1, "", TAKEOVER_LOST, servers, 3,
		       fixture->now_ms);
	run(fixture, 5000);
	assert_true(fixture->published);
	assert_false(fixture->promoted);
	assert_string_equal(fixture->primary, "a");
	assert_int_equal(fixture->term, 1);
}

/* Starts the takeover of a service with one synchronous replica. */
static void start_sync(fixture_t *fixture, takeover_kind_t kind,
		       const takeover_server_t *servers)
{
	const takeover_guarantee_t guarantee = {.sync_replicas = 1};

	takeover_set_guarantee(fixture->takeover, &guarantee);
	takeover_start(fixture->takeover, 1, "a", kind, servers, 3,
		       fixture->now_ms);
}

/* The server "c" is about to leave. */
static const takeover_server_t leaving_replica[] = {
	{.id = "a", .started_ms = 1},
	{.id = "b", .started_ms = 2},
	{.id = "c", .started_ms = 3, .draining = true},
};

static const takeover_server_t all_stay[] = {
	{.id = "a", .started_ms = 1},
	{.id = "b", .started_ms = 2},
	{.id = "c", .started_ms = 3},
};

/*
 * Guards against a replica that stays but lacks acknowledged commits, which one
 * that is about to leave has: all commits of three seconds were rolled back.
 */
static void test_leaving_replica_with_all_commits_is_promoted(void **state)
{
	fixture_t *fixture = *state;

	fixture->servers[0].unresponsive = true;
	fixture->servers[2].status.received.position = 425;
	start_sync(fixture, TAKEOVER_LOST, leaving_replica);
	run(fixture, 5000);
	assert_true(fixture->published);
	assert_string_equal(fixture->primary, "c");
}

/* Of two replicas that have all commits the one that stays is promoted. */
static void test_replica_that_stays_is_preferred(void **state)
{
	fixture_t *fixture = *state;

	fixture->servers[0].unresponsive = true;
	start_sync(fixture, TAKEOVER_LOST, leaving_replica);
	run(fixture, 5000);
	assert_true(fixture->published);
	assert_string_equal(fixture->primary, "b");
}

/* Guards against a promotion without a replica that may have more. */
static void test_silent_replica_is_waited_for(void **state)
{
	fixture_t *fixture = *state;

	fixture->servers[0].unresponsive = true;
	fixture->servers[2].unresponsive = true;
	fixture->servers[2].status.received.position = 425;
	start_sync(fixture, TAKEOVER_LOST, all_stay);
	run(fixture, 60000);
	assert_false(fixture->promoted);
	assert_int_equal(takeover_unheard(fixture->takeover), 1);
	make_responsive(fixture, "c");
	run(fixture, 2000);
	assert_true(fixture->published);
	assert_string_equal(fixture->primary, "c");
}

/* The wait ends as well when the old primary comes back with its log. */
static void test_old_primary_ends_the_wait(void **state)
{
	fixture_t *fixture = *state;

	fixture->servers[0].unresponsive = true;
	fixture->servers[2].unresponsive = true;
	start_sync(fixture, TAKEOVER_LOST, all_stay);
	run(fixture, 20000);
	assert_false(fixture->done);
	make_responsive(fixture, "a");
	run(fixture, 2000);
	assert_true(fixture->published);
	assert_false(fixture->promoted);
	assert_string_equal(fixture->primary, "a");
}

/* With two synchronous replicas each has all that was acknowledged. */
static void test_two_synchronous_replicas_bear_a_silent_one(void **state)
{
	const takeover_guarantee_t guarantee = {.sync_replicas = 2};
	fixture_t *fixture = *state;

	fixture->servers[0].unresponsive = true;
	fixture->servers[2].unresponsive = true;
	takeover_set_guarantee(fixture->takeover, &guarantee);
	takeover_start(fixture->takeover, 1, "a", TAKEOVER_LOST, all_stay, 3,
		       fixture->now_ms);
	run(fixture, 5000);
	assert_true(fixture->published);
	assert_string_equal(fixture->primary, "b");
}

/* Guards against forgetting a replica whose entry is gone. */
static void test_departed_replica_is_waited_for(void **state)
{
	takeover_guarantee_t guarantee = {.sync_replicas = 1, .departed = 1};
	fixture_t *fixture = *state;

	fixture->servers[0].unresponsive = true;
	fixture->servers[2].status.received.position = 425;
	takeover_set_guarantee(fixture->takeover, &guarantee);
	takeover_start(fixture->takeover, 1, "a", TAKEOVER_LOST, all_stay, 2,
		       fixture->now_ms);
	run(fixture, 20000);
	assert_false(fixture->promoted);
	guarantee.departed = 0;
	takeover_set_guarantee(fixture->takeover, &guarantee);
	takeover_set_servers(fixture->takeover, all_stay, 3);
	run(fixture, 3000);
	assert_true(fixture->published);
	assert_string_equal(fixture->primary, "c");
}

/* A replica that has started anew during the takeover has lost its log. */
static void test_restarted_replica_does_not_count(void **state)
{
	static const takeover_server_t restarted[] = {
		{.id = "a", .started_ms = 1},
		{.id = "b", .started_ms = 2},
		{.id = "c", .started_ms = 99},
	};
	takeover_guarantee_t guarantee = {.sync_replicas = 1, .departed = 1};
	fixture_t *fixture = *state;

	fixture->servers[0].unresponsive = true;
	fixture->servers[2].status.received.position = 425;
	start_sync(fixture, TAKEOVER_LOST, all_stay);
	run(fixture, 200);
	fixture->servers[2].status.received.position = 0;
	takeover_set_guarantee(fixture->takeover, &guarantee);
	takeover_set_servers(fixture->takeover, restarted, 3);
	run(fixture, 20000);
	assert_false(fixture->promoted);
}

/* The operators accept the loss by setting sync_replicas to 0. */
static void test_wait_ends_without_the_guarantee(void **state)
{
	const takeover_guarantee_t none = {0};
	fixture_t *fixture = *state;

	fixture->servers[0].unresponsive = true;
	fixture->servers[2].unresponsive = true;
	start_sync(fixture, TAKEOVER_LOST, all_stay);
	run(fixture, 20000);
	assert_false(fixture->promoted);
	takeover_set_guarantee(fixture->takeover, &none);
	run(fixture, 3000);
	assert_true(fixture->published);
	assert_string_equal(fixture->primary, "b");
}

/* Guards against a leaving primary's commits that are lost after 1.2 s. */
static void test_leaving_primary_waits_for_its_successor(void **state)
{
	static const takeover_server_t servers[] = {
		{.id = "a", .started_ms = 1, .draining = true},
		{.id = "b", .started_ms = 2},
		{.id = "c", .started_ms = 3},
	};
	fixture_t *fixture = *state;

	fixture->servers[0].status.received.position = 150;
	start_sync(fixture, TAKEOVER_LEAVING, servers);
	run(fixture, 6000);
	assert_false(fixture->done);
	fixture->servers[2].status.received.position = 150;
	run(fixture, 2000);
	assert_true(fixture->published);
	assert_string_equal(fixture->primary, "c");
}

/* A handover is no reason to promote a server that is about to leave. */
static void test_handover_does_not_go_to_a_leaving_replica(void **state)
{
	fixture_t *fixture = *state;

	fixture->servers[0].status.received.position = 150;
	fixture->servers[2].status.received.position = 150;
	start_sync(fixture, TAKEOVER_HANDOVER, leaving_replica);
	run(fixture, 6000);
	assert_true(fixture->published);
	assert_false(fixture->promoted);
	assert_string_equal(fixture->primary, "a");
}

/* An unfinished takeover of which no server knows needs all replicas, too. */
static void test_unfinished_takeover_waits_for_replicas(void **state)
{
	fixture_t *fixture = *state;

	fixture->servers[0].unresponsive = true;
	fixture->servers[2].unresponsive = true;
	start_sync(fixture, TAKEOVER_UNFINISHED, all_stay);
	run(fixture, 20000);
	assert_false(fixture->promoted);
	make_responsive(fixture, "c");
	run(fixture, 6000);
	assert_true(fixture->published);
}

/* Guards against a replica that is forgotten as the list has no room for it. */
static void test_replicas_beyond_the_list_are_unheard(void **state)
{
	const takeover_guarantee_t guarantee = {.sync_replicas = 1};
	takeover_server_t servers[TAKEOVER_SERVERS_MAX + 2] = {0};
	char ids[G_N_ELEMENTS(servers)][8];
	fixture_t *fixture = *state;

	for (uint32_t i = 0; i < G_N_ELEMENTS(servers); i++) {
		g_snprintf(ids[i], sizeof(ids[i]), "s%u", i);
		servers[i].id = ids[i];
	}
	takeover_set_guarantee(fixture->takeover, &guarantee);
	takeover_start(fixture->takeover, 1, "s0", TAKEOVER_LOST, servers,
		       G_N_ELEMENTS(servers), fixture->now_ms);
	assert_int_equal(takeover_unheard(fixture->takeover),
			 TAKEOVER_SERVERS_MAX + 1);
	takeover_set_servers(fixture->takeover, servers, TAKEOVER_SERVERS_MAX);
	assert_int_equal(takeover_unheard(fixture->takeover),
			 TAKEOVER_SERVERS_MAX - 1);
}

#define TEST(name) \
	cmocka_unit_test_setup_teardown(name, open_fixture, close_fixture)

int main(void)
{
	const struct CMUnitTest tests[] = {
		TEST(test_busy_new_primary_is_not_replaced),
		TEST(test_replaced_new_primary_is_not_published),
		TEST(test_lost_primary_is_replaced_after_proofs_ran_out),
		TEST(test_forgotten_proofs_end_the_wait),
		TEST(test_wait_is_not_skipped_before_the_fence),
		TEST(test_fence_after_forgetting_skips_the_wait),
		TEST(test_lifted_fence_is_set_again),
		TEST(test_fence_is_seen_after_the_wait),
		TEST(test_silent_fence_is_replaced),
		TEST(test_surplus_fence_is_lifted),
		TEST(test_answer_of_before_the_fence_is_ignored),
		TEST(test_order_is_not_repeated_without_a_fence),
		TEST(test_forgotten_proofs_need_no_fence),
		TEST(test_handover_needs_the_whole_log),
		TEST(test_restored_primary_is_promoted_before_it_counts),
		TEST(test_restored_service_follows_the_promoted_server),
		TEST(test_restored_service_is_fenced_above_its_real_term),
		TEST(test_promotion_in_flight_of_an_unfinished_takeover),
		TEST(test_unfinished_takeover_of_a_well_primary_ends),
		TEST(test_restored_primary_that_leaves_hands_over),
		TEST(test_wait_for_an_order_is_no_time_to_catch_up),
		TEST(test_lost_primary_of_a_restored_service_is_replaced),
		TEST(test_handover_loses_nothing),
		TEST(test_primary_lost_during_a_handover_is_replaced),
		TEST(test_primary_that_answers_is_kept),
		TEST(test_replica_catches_up_with_a_leaving_primary),
		TEST(test_next_replica_is_fenced_if_the_oldest_is_silent),
		TEST(test_refused_intent_changes_nothing),
		TEST(test_promotion_by_a_dead_coordinator_is_published),
		TEST(test_order_that_was_not_sent_confirms_nothing),
		TEST(test_ordered_server_is_ordered_again),
		TEST(test_no_other_server_is_ordered_meanwhile),
		TEST(test_unknown_order_is_waited_for),
		TEST(test_old_primary_is_not_kept_after_an_order),
		TEST(test_silent_server_is_not_confirmed),
		TEST(test_order_of_an_earlier_takeover_confirms_nothing),
		TEST(test_refused_order_leaves_the_old_primary),
		TEST(test_order_is_named_until_its_effect_is_seen),
		TEST(test_unknown_primary_is_recorded),
		TEST(test_leaving_replica_with_all_commits_is_promoted),
		TEST(test_replica_that_stays_is_preferred),
		TEST(test_silent_replica_is_waited_for),
		TEST(test_old_primary_ends_the_wait),
		TEST(test_two_synchronous_replicas_bear_a_silent_one),
		TEST(test_departed_replica_is_waited_for),
		TEST(test_restarted_replica_does_not_count),
		TEST(test_wait_ends_without_the_guarantee),
		TEST(test_leaving_primary_waits_for_its_successor),
		TEST(test_handover_does_not_go_to_a_leaving_replica),
		TEST(test_unfinished_takeover_waits_for_replicas),
		TEST(test_replicas_beyond_the_list_are_unheard),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
