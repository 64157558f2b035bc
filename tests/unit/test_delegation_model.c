/*
 * Model checker of the rule in coordination/delegation.h, lease_keys.h and
 * lease_revocation.h. It explores every
 * order of the steps of one hub, one node that follows it and a coordinator
 * that replaces the primary. Messages may be delayed, the connection may break,
 * and the hub may be killed and start again. No order may let the node or the
 * hub use the old primary after a promotion; each variant that leaves out a
 * part of the rule must allow that.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

/* Ticks for which a proof is valid; a coordinator waits for one more. */
#define VALID 3
#define WAIT (VALID + 1)

/* Starts of the hub, breaks of the connection and lost leases in one search. */
#define RESTARTS_MAX 2
#define BREAKS_MAX 1

/* A proof on its way or in use, and whether it came with the takeover. */
typedef struct {
	uint8_t left; /* ticks until it expires */
	uint8_t known;
} proof_t;

/*
 * The key of the hub's present lease. One that is registered again has taken
 * the place of the one whose lease the coordinator has ended.
 */
enum { ABSENT, REGISTERED, REGISTERED_AGAIN };

enum { IDLE, INTENT, PROMOTED };

/* One state; all members are bytes, so that it has no padding. */
typedef struct {
	/* The coordinator and the store. */
	uint8_t phase;
	uint8_t ended;	    /* the coordinator has ended the hub's lease */
	uint8_t wait;	    /* ticks until old proofs have surely expired */
	uint8_t lease_runs; /* the hub's lease was not ended */
	uint8_t key;	    /* the key of the present lease */
	uint8_t abandoned;  /* there is a key of an earlier run */
	uint8_t confirmed;  /* some run of the hub has confirmed the takeover */
	/* The hub. */
	uint8_t own_left;	/* ticks of its own proof */
	uint8_t own_read;	/* it has read the takeover */
	uint8_t restarted_left; /* ticks until proofs of the earlier run expire
				 */
	proof_t used;		/* book: applied by the node */
	proof_t pending;	/* book: in an answer */
	proof_t gone[2];	/* book: of a broken connection */
	/* The node and the connection. */
	proof_t node;	    /* the proof that it uses */
	uint8_t node_known; /* it has read the takeover */
	uint8_t asked;	    /* a request is on its way or unanswered */
	uint8_t asked_known;
	uint8_t answered; /* an answer is on its way */
	proof_t answer;
	/* Counts that bound the search. */
	uint8_t restarts;
	uint8_t breaks;
} state_t;

/* The rule, and variants that each leave out a part of it. */
typedef enum {
	RULE,
	CONFIRM_AT_ONCE,   /* confirms as soon as the hub knows */
	REGISTER_AT_ONCE,  /* registers again while proofs are in use */
	REMOVE_AT_ONCE,	   /* a restarted hub removes its earlier key at once */
	CONFIRM_UNSETTLED, /* a restarted hub confirms for its earlier run */
	HUB_KEY_TELLS,	   /* a hub whose lease was ended has no earlier run */
	KEYS_STAND,	   /* keys of two runs count for each other */
	FRESH_PROOFS,	   /* proofs last longer than the hub's own */
	BREAK_FORGETS,	   /* forgets the proofs of a broken connection */
	ANSWER_IS_RECEIPT, /* takes an answer that was sent as applied */
} variant_t;

typedef struct {
	variant_t variant;
	GHashTable *seen;
	GQueue todo;
	bool broken;
} search_t;

static guint state_hash(gconstpointer data)
{
	const uint8_t *bytes = data;
	guint hash = 5381;

	for (size_t i = 0; i < sizeof(state_t); i++)
		hash = hash * 33 + bytes[i];
	return hash;
}

static gboolean state_equal(gconstpointer a, gconstpointer b)
{
	return !memcmp(a, b, sizeof(state_t));
}

static bool old_primary_in_use(const state_t *state)
{
	return (state->node.left && !state->node_known) ||
	       (state->own_left && !state->own_read);
}

static void visit(search_t *search, state_t state)
{
	state_t *copy;

	if (state.phase == PROMOTED && old_primary_in_use(&state))
		search->broken = true;
	if (g_hash_table_contains(search->seen, &state))
		return;
	copy = g_memdup2(&state, sizeof(state));
	g_hash_table_add(search->seen, copy);
	g_queue_push_tail(&search->todo, copy);
}

static void decrement(uint8_t *ticks)
{
	*ticks -= *ticks ? 1 : 0;
}

static void step_time(search_t *search, state_t state)
{
	decrement(&state.wait);
	decrement(&state.own_left);
	decrement(&state.restarted_left);
	decrement(&state.used.left);
	decrement(&state.pending.left);
	decrement(&state.gone[0].left);
	decrement(&state.gone[1].left);
	decrement(&state.node.left);
	decrement(&state.answer.left);
	visit(search, state);
}

/* @return whether a proof in the book may be used without the takeover */
static bool counts(const proof_t *proof, bool all)
{
	return proof->left && (all || !proof->known);
}

static bool book_settled(const state_t *state, bool all)
{
	return !counts(&state->used, all) && !counts(&state->pending, all) &&
	       !counts(&state->gone[0], all) && !counts(&state->gone[1], all);
}

static void step_hub_lease(search_t *search, state_t state)
{
	state_t next = state;

	if (state.lease_runs) {
		next.own_left = VALID;
		visit(search, next);
		return;
	}
	/* Registers again; it reads the record afterwards. */
	if (search->variant != REGISTER_AT_ONCE && !book_settled(&state, true))
		return;
	next.lease_runs = 1;
	next.own_left = 0;
	next.own_read = state.phase != IDLE;
	next.key = state.ended && state.key != ABSENT ? REGISTERED_AGAIN :
							REGISTERED;
	if (!state.restarted_left)
		next.abandoned = 0;
	visit(search, next);
}

static void step_confirm(search_t *search, state_t state)
{
	if (!state.own_read || !state.lease_runs)
		return;
	if (search->variant != CONFIRM_AT_ONCE && !book_settled(&state, false))
		return;
	if (search->variant != CONFIRM_UNSETTLED && state.restarted_left)
		return;
	state.confirmed = 1;
	visit(search, state);
}

static void step_hub_record(search_t *search, state_t state)
{
	state_t next = state;

	if (state.phase == IDLE)
		return;
	next.own_read = 1;
	visit(search, next);
	step_confirm(search, state);
}

/* @return whether the hub waits for the proofs that its earlier run gave */
static bool knows_earlier(const search_t *search, const state_t *state)
{
	if (search->variant == HUB_KEY_TELLS)
		return state->lease_runs;
	return search->variant != REMOVE_AT_ONCE;
}

/* The hub is killed and starts again; it knows nothing of before. */
static void step_restart(search_t *search, state_t state)
{
	if (state.restarts == RESTARTS_MAX)
		return;
	state.restarts++;
	state.own_left = 0;
	state.own_read = state.phase != IDLE;
	state.used = state.pending = (proof_t){0};
	state.gone[0] = state.gone[1] = (proof_t){0};
	state.asked = 0;
	state.restarted_left = knows_earlier(search, &state) ? WAIT : 0;
	state.lease_runs = 0;
	state.abandoned = 1;
	state.key = ABSENT;
	visit(search, state);
}

static void step_settled(search_t *search, state_t state)
{
	if (state.key == ABSENT || state.restarted_left)
		return;
	state.abandoned = 0;
	visit(search, state);
}

static void step_request(search_t *search, state_t state)
{
	if (state.asked || state.answered)
		return;
	state.asked = 1;
	state.asked_known = state.node_known;
	visit(search, state);
}

static void step_answer(search_t *search, state_t state)
{
	const bool fresh = search->variant == FRESH_PROOFS && state.own_left;

	if (!state.asked)
		return;
	state.used = state.pending;
	state.used.known |= state.asked_known;
	state.asked = 0;
	state.answered = 1;
	state.answer.left = fresh ? VALID : state.own_left;
	state.answer.known = state.own_read;
	state.pending = state.answer;
	if (search->variant == FRESH_PROOFS)
		state.pending.left = state.own_left;
	if (search->variant == ANSWER_IS_RECEIPT)
		state.used = state.pending;
	visit(search, state);
}

static void step_receive(search_t *search, state_t state)
{
	if (!state.answered)
		return;
	state.answered = 0;
	state.node = state.answer;
	state.node_known |= state.answer.known;
	state.answer = (proof_t){0};
	visit(search, state);
}

/* The connection breaks; an answer that was on its way may be lost. */
static void step_break(search_t *search, state_t state)
{
	if (state.breaks == BREAKS_MAX)
		return;
	state.breaks++;
	state.gone[0] = state.used;
	state.gone[1] = state.pending;
	if (search->variant == BREAK_FORGETS)
		state.gone[0] = state.gone[1] = (proof_t){0};
	state.used = state.pending = (proof_t){0};
	state.asked = state.answered = 0;
	state.answer = (proof_t){0};
	visit(search, state);
}

static bool may_promote(const search_t *search, const state_t *state)
{
	if (state->confirmed)
		return true;
	if (state->key == REGISTERED_AGAIN && !state->abandoned)
		return true;
	if (search->variant == KEYS_STAND && state->ended && state->abandoned &&
	    state->key == REGISTERED && !state->restarted_left)
		return true;
	return state->ended && !state->wait;
}

static void step_coordinator(search_t *search, state_t state)
{
	state_t next = state;

	if (state.phase == IDLE) {
		next.phase = INTENT;
		visit(search, next);
		return;
	}
	if (state.phase == PROMOTED)
		return;
	if (!state.ended) {
		next.ended = 1;
		next.wait = WAIT;
		if (!state.confirmed)
			next.lease_runs = 0;
		visit(search, next);
	}
	if (!may_promote(search, &state))
		return;
	next = state;
	next.phase = PROMOTED;
	visit(search, next);
}

static void expand(search_t *search, const state_t *state)
{
	step_time(search, *state);
	step_hub_lease(search, *state);
	step_hub_record(search, *state);
	step_restart(search, *state);
	step_settled(search, *state);
	step_request(search, *state);
	step_answer(search, *state);
	step_receive(search, *state);
	step_break(search, *state);
	step_coordinator(search, *state);
}

/* @return whether some order of steps uses the old primary */
static bool explore(variant_t variant)
{
	search_t search = {.variant = variant};
	guint states;
	state_t *state;

	search.seen =
		g_hash_table_new_full(state_hash, state_equal, g_free, NULL);
	g_queue_init(&search.todo);
	visit(&search, (state_t){.lease_runs = 1, .key = REGISTERED});
	while (!search.broken && (state = g_queue_pop_head(&search.todo)))
		expand(&search, state);
	states = g_hash_table_size(search.seen);
	print_message("variant %d: %u states\n", variant, states);
	g_queue_clear(&search.todo);
	g_hash_table_destroy(search.seen);
	return search.broken;
}

static void test_rule_holds_in_all_orders(void **state)
{
	assert_false(explore(RULE));
}

static void test_each_shortcut_breaks_the_rule(void **state)
{
	for (variant_t variant = RULE + 1; variant <= ANSWER_IS_RECEIPT;
	     variant++)
		assert_true(explore(variant));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_rule_holds_in_all_orders),
		cmocka_unit_test(test_each_shortcut_breaks_the_rule),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
