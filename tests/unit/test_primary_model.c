/*
 * Model checker of the rule in coordination/primary_lease.h. It explores every
 * order of the steps of one node that proves its primary, and of coordinators
 * that replace the primary. The node may lose the store at any time, the two
 * replicas may restart and lose their fence, answers may be delayed, a
 * coordinator may fail at any step and be followed by another, and one clock
 * may run faster. The store may come back from a copy of before the takeover,
 * with the node's lease or without knowing the node. No order may let the node
 * use the old primary after a promotion; each variant that leaves out a part of
 * the rule must allow that.
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

/* The intent that an acknowledgement is for. */
enum { NO_ACK, OLD_INTENT, THIS_INTENT };

enum { IDLE, INTENT, WAITING, PROMOTING, DONE, RELEASED };

/* The state of the query to a replica in the current round. */
enum { NOT_QUERIED, QUERIED, ANSWERED_FREE, ANSWERED_FENCED, COUNTED };

/* One state of the model; all members are bytes, so that it has no padding. */
typedef struct {
	/* The store. */
	uint8_t takeover;   /* the record shows a takeover */
	uint8_t acked;	    /* the intent that the node has acknowledged */
	uint8_t lease_runs; /* the node's lease was not ended */
	uint8_t era;	    /* the store was restored */
	uint8_t current;    /* the record was written since then */
	uint8_t unlisted;   /* the store does not know the node's lease */
	/* The node. */
	uint8_t registered_era; /* of its lease */
	uint8_t registered;
	uint8_t read;	     /* record read without takeover since then */
	uint8_t acking;	     /* the acknowledgement on its way to the store */
	uint8_t store_left;  /* ticks left of the store's proof */
	uint8_t round_left;  /* ticks left of a proof by the current round */
	uint8_t rounds_left; /* ticks left of the replicas' proof */
	uint8_t query[2];    /* state of the query to each replica */
	uint8_t verified[2]; /* the connection is older than the last read */
	/* The replicas; the first is fenced, the second promoted. */
	uint8_t fenced;
	uint8_t promoted;
	/* The coordinator. */
	uint8_t phase;
	uint8_t fence_done;
	uint8_t lease_done;
	uint8_t wait;	      /* ticks until the promotion may start */
	uint8_t release_wait; /* ticks until the fence may be lifted */
	/* Ticks in which a promotion of an earlier coordinator takes effect. */
	uint8_t in_flight;
	uint8_t unfinished; /* the takeover was begun by another one */
	/* Counts that bound the search. */
	uint8_t restarts; /* of replicas */
	uint8_t failures; /* of coordinators */
	uint8_t kept;	  /* takeovers that ended with the old primary */
	uint8_t drift;	  /* ticks of the faster clock alone */
} state_t;

/* The rule, and variants that each leave out a part of it. */
typedef enum {
	RULE,
	NO_WAIT,	       /* promotes before earlier proofs have expired */
	NO_INTENT,	       /* writes no takeover into the record */
	NO_REVOKE,	       /* ends no lease */
	ANY_CONNECTION,	       /* counts answers on new connections */
	NO_ROUNDS,	       /* combines answers of different rounds */
	RELEASE_AT_ONCE,       /* lifts the fence without a wait */
	PROOF_WITHOUT_READING, /* uses replicas' proofs without the record */
	ANY_ACK,      /* accepts the acknowledgement of an old intent */
	ACK_UNREAD,   /* acknowledges but still uses the old record */
	TRUST_RECORD, /* believes a record that the copy brought back */
	TRUST_LEASE,  /* counts renewals of a lease of before the restore */
	NO_SURVEY,    /* writes the record anew without asking the servers */
	SURVEY_UNSETTLED, /* asks them while a promotion may be in flight */
	KEEP_UNFINISHED,  /* keeps the primary in another's takeover */
	TRUST_LISTING,	  /* skips the wait if all nodes that are listed know */
} variant_t;

/* Bounds of the search. */
typedef struct {
	uint8_t restarts_max;
	uint8_t kept_max;
	uint8_t takeovers_max; /* failed or ended takeovers */
	uint8_t drift_max;     /* ticks of the faster clock alone */
	bool acks;     /* the node acknowledges intents that it has read */
	bool restores; /* the store may be restored once */
} bounds_t;

typedef struct {
	variant_t variant;
	bounds_t bounds;
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

static bool may_use(const search_t *search, const state_t *state)
{
	const bool reading_needed = search->variant != PROOF_WITHOUT_READING;

	if (reading_needed && !(state->registered && state->read))
		return false;
	return state->rounds_left ||
	       (state->store_left && state->registered && state->read);
}

static void visit(search_t *search, state_t state)
{
	state_t *copy;

	if (state.promoted && may_use(search, &state))
		search->broken = true;
	if (g_hash_table_contains(search->seen, &state))
		return;
	copy = g_memdup2(&state, sizeof(state));
	g_hash_table_add(search->seen, copy);
	g_queue_push_tail(&search->todo, copy);
}

static uint8_t decrement(uint8_t ticks)
{
	return ticks ? ticks - 1 : 0;
}

static state_t node_tick(state_t state)
{
	state.store_left = decrement(state.store_left);
	state.round_left = decrement(state.round_left);
	state.rounds_left = decrement(state.rounds_left);
	return state;
}

static state_t coordinator_tick(state_t state)
{
	state.wait = decrement(state.wait);
	state.release_wait = decrement(state.release_wait);
	state.in_flight = decrement(state.in_flight);
	return state;
}

static void time_steps(search_t *search, state_t state)
{
	visit(search, node_tick(coordinator_tick(state)));
	if (state.drift < search->bounds.drift_max) {
		state.drift++;
		visit(search, coordinator_tick(state));
	}
}

static void forget_proofs(state_t *state)
{
	state->registered = 0;
	state->read = 0;
	state->acking = 0;
	state->store_left = 0;
	state->rounds_left = 0;
	state->round_left = 0;
	state->query[0] = NOT_QUERIED;
	state->query[1] = NOT_QUERIED;
}

static state_t register_node(state_t state)
{
	state.registered = 1;
	state.registered_era = state.era;
	state.lease_runs = 1;
	state.unlisted = 0;
	return state;
}

/* A node of before the restore keeps its proofs, but must read again. */
static void register_again(search_t *search, state_t state)
{
	if (!state.registered || state.registered_era == state.era)
		return;
	state = register_node(state);
	state.read = 0;
	state.store_left = 0;
	state.acking = NO_ACK;
	state.acked = NO_ACK;
	visit(search, state);
}

/* Steps of the node at the store; they may also never happen. */
static void store_steps(search_t *search, state_t state)
{
	const bool same_era = state.registered_era == state.era;
	const bool counts =
		!state.era || state.current || search->variant == TRUST_RECORD;
	state_t next = state;

	register_again(search, state);
	if (state.registered && state.lease_runs &&
	    (same_era || search->variant == TRUST_LEASE)) {
		next.store_left = VALID;
		visit(search, next);
	}
	if (state.registered && !state.lease_runs && same_era) {
		next = state;
		forget_proofs(&next);
		visit(search, next);
	}
	if (!state.registered) {
		visit(search, register_node(state));
	}
	if (state.registered && !state.takeover && counts) {
		next = state;
		next.read = 1;
		next.verified[0] = 1;
		next.verified[1] = 1;
		visit(search, next);
	}
	if (state.registered && state.takeover &&
	    search->variant != PROOF_WITHOUT_READING) {
		next = state;
		next.read = search->variant == ACK_UNREAD ? state.read : 0;
		next.acking = search->bounds.acks ? THIS_INTENT : NO_ACK;
		visit(search, next);
	}
	/* The acknowledgement may arrive at any later time. */
	if (state.acking) {
		next = state;
		next.acked = MAX(state.acked, state.acking);
		next.acking = NO_ACK;
		visit(search, next);
	}
}

static bool is_fenced(const state_t *state, int replica)
{
	return replica ? state->promoted : state->fenced;
}

static void query_steps(search_t *search, state_t state, int replica)
{
	state_t next = state;

	if (state.query[replica] == QUERIED) {
		next.query[replica] = is_fenced(&state, replica) ?
					      ANSWERED_FENCED :
					      ANSWERED_FREE;
		visit(search, next);
	}
	next = state;
	if (state.query[replica] == ANSWERED_FENCED) {
		next.query[0] = NOT_QUERIED;
		next.query[1] = NOT_QUERIED;
		next.rounds_left = 0;
		visit(search, next);
	}
	if (state.query[replica] == ANSWERED_FREE &&
	    (state.verified[replica] || search->variant == ANY_CONNECTION)) {
		next.query[replica] = COUNTED;
		if (next.query[!replica] == COUNTED)
			next.rounds_left = next.round_left;
		visit(search, next);
	}
}

static void round_steps(search_t *search, state_t state)
{
	state_t next = state;

	query_steps(search, state, 0);
	query_steps(search, state, 1);
	next.round_left = VALID;
	next.query[0] = QUERIED;
	next.query[1] = QUERIED;
	visit(search, next);
	if (search->variant != NO_ROUNDS)
		return;
	/* Queries one replica alone; the answer of the other one stays valid.
	 */
	for (int i = 0; i < 2; i++) {
		next = state;
		next.query[i] = QUERIED;
		next.round_left = VALID;
		visit(search, next);
	}
}

static void replica_steps(search_t *search, state_t state)
{
	if (state.restarts >= search->bounds.restarts_max)
		return;
	state.restarts++;
	for (int i = 0; i < 2; i++) {
		state_t next = state;

		if (i && state.promoted)
			continue;
		if (!i)
			next.fenced = 0;
		next.verified[i] = 0;
		next.query[i] = NOT_QUERIED;
		visit(search, next);
	}
}

/*
 * Whether the node knows of this takeover; it then reads the record before it
 * uses the primary again.
 */
static bool has_acked(const search_t *search, const state_t *state)
{
	if (search->variant == ANY_ACK)
		return state->acked != NO_ACK;
	return state->acked == THIS_INTENT;
}

static void write_intent(state_t *state)
{
	state->phase = INTENT;
	state->fence_done = 0;
	state->lease_done = 0;
	state->wait = 0;
	state->acked = MIN(state->acked, OLD_INTENT);
	state->acking = MIN(state->acking, OLD_INTENT);
}

static void revoke_steps(search_t *search, state_t state)
{
	state_t next = state;

	if (!state.lease_done) {
		next.lease_done = 1;
		if (search->variant != NO_REVOKE && !state.unlisted &&
		    !has_acked(search, &state))
			next.lease_runs = 0;
		visit(search, next);
	}
	if (!state.fence_done) {
		next = state;
		next.fenced = 1;
		next.fence_done = 1;
		visit(search, next);
	}
	if (state.lease_done && state.fence_done) {
		next = state;
		next.phase = WAITING;
		next.wait = search->variant == NO_WAIT ? 0 : WAIT;
		visit(search, next);
	}
}

/* Whether the node has registered again, and so has forgotten its proofs. */
static bool has_forgotten(const state_t *state)
{
	return state->registered && state->lease_runs;
}

/* Whether the store shows that no node may use a proof any more. */
static bool all_forgotten(const search_t *search, const state_t *state)
{
	if (state->era && search->variant != TRUST_LISTING)
		return false;
	return state->unlisted || has_forgotten(state) ||
	       has_acked(search, state);
}

/* The record is written anew if the servers agree that nothing has changed. */
static void survey_step(search_t *search, state_t state)
{
	const bool settled =
		!state.in_flight || search->variant == SURVEY_UNSETTLED;
	const bool agreed = (!state.fenced && !state.promoted) ||
			    search->variant == NO_SURVEY;

	if (!state.era || state.current || !settled || !agreed)
		return;
	state.current = 1;
	visit(search, state);
}

/*
 * The store comes back from a copy of before the takeover. A promotion that was
 * requested may still take effect; the next coordinator starts anew.
 */
static void restore_steps(search_t *search, state_t state)
{
	if (state.in_flight) {
		state_t next = state;

		next.in_flight = 0;
		next.promoted = 1;
		visit(search, next);
	}
	if (!search->bounds.restores || state.era)
		return;
	state.in_flight = state.phase == PROMOTING ? VALID : 0;
	state.era = 1;
	state.phase = IDLE;
	state.takeover = 0;
	state.acked = NO_ACK;
	state.acking = NO_ACK;
	state.lease_runs = 1;
	visit(search, state);
	state.unlisted = 1;
	visit(search, state);
}

static void coordinator_steps(search_t *search, state_t state)
{
	state_t next = state;

	switch (state.phase) {
	case IDLE:
		survey_step(search, state);
		write_intent(&next);
		next.current = state.era;
		next.takeover = search->variant != NO_INTENT;
		visit(search, next);
		break;
	case INTENT:
		revoke_steps(search, state);
		break;
	case WAITING:
		if (!state.wait || all_forgotten(search, &state)) {
			next.phase = PROMOTING;
			visit(search, next);
		}
		break;
	case PROMOTING:
		next.phase = DONE;
		next.promoted = 1;
		next.in_flight = 0;
		next.release_wait =
			search->variant == RELEASE_AT_ONCE ? 0 : WAIT;
		visit(search, next);
		break;
	case DONE:
		if (!state.release_wait) {
			next.phase = RELEASED;
			next.fenced = 0;
			visit(search, next);
		}
		break;
	default:
		break;
	}
	/* The old primary turns out to be healthy and is kept. */
	if ((state.phase == INTENT || state.phase == WAITING) &&
	    (!state.unfinished || search->variant == KEEP_UNFINISHED) &&
	    state.kept < search->bounds.kept_max &&
	    state.failures + state.kept < search->bounds.takeovers_max) {
		next = state;
		next.kept++;
		next.takeover = 0;
		next.phase = IDLE;
		visit(search, next);
	}
	/* The coordinator fails, perhaps after it has requested the promotion.
	 */
	if (state.phase > IDLE && state.phase <= PROMOTING &&
	    state.failures + state.kept < search->bounds.takeovers_max) {
		next = state;
		next.failures++;
		next.unfinished = 1;
		if (state.phase == PROMOTING)
			next.in_flight = VALID;
		write_intent(&next);
		visit(search, next);
	}
}

/* @return whether no order breaks the rule's guarantee in this variant */
static bool explore(variant_t variant, bounds_t bounds, uint32_t *states)
{
	const state_t start = {.lease_runs = 1,
			       .registered = 1,
			       .read = 1,
			       .verified = {1, 1}};
	search_t search = {.variant = variant, .bounds = bounds};

	search.seen =
		g_hash_table_new_full(state_hash, state_equal, g_free, NULL);
	g_queue_init(&search.todo);
	visit(&search, start);
	while (!search.broken && !g_queue_is_empty(&search.todo)) {
		const state_t state =
			*(const state_t *)g_queue_pop_head(&search.todo);

		time_steps(&search, state);
		store_steps(&search, state);
		round_steps(&search, state);
		replica_steps(&search, state);
		coordinator_steps(&search, state);
		restore_steps(&search, state);
	}
	*states = g_hash_table_size(search.seen);
	g_queue_clear(&search.todo);
	g_hash_table_destroy(search.seen);
	return !search.broken;
}

static const bounds_t more_restarts = {.restarts_max = 2,
				       .takeovers_max = 2,
				       .drift_max = 1};
static const bounds_t more_takeovers = {.kept_max = 1,
					.takeovers_max = 2,
					.drift_max = 1,
					.acks = true};
static const bounds_t restore = {.restarts_max = 1, .restores = true};

static void test_rule_holds_in_every_order(void **state)
{
	uint32_t states;

	assert_true(explore(RULE, more_restarts, &states));
	print_message("%u states\n", states);
	assert_true(states > 1000000);
	assert_true(explore(RULE, more_takeovers, &states));
	print_message("%u states\n", states);
	assert_true(states > 1000000);
}

static void test_rule_holds_when_the_store_is_restored(void **state)
{
	uint32_t states;

	assert_true(explore(RULE, restore, &states));
	print_message("%u states\n", states);
	assert_true(states > 500000);
}

static void test_restore_breaks_every_shortcut(void **state)
{
	static const variant_t variants[] = {TRUST_RECORD, TRUST_LEASE,
					     NO_SURVEY, SURVEY_UNSETTLED,
					     TRUST_LISTING};

	for (size_t i = 0; i < G_N_ELEMENTS(variants); i++) {
		uint32_t states;

		if (explore(variants[i], restore, &states))
			fail_msg("variant %d keeps the rule in %u states",
				 variants[i], states);
	}
}

static void test_every_variant_breaks_the_rule(void **state)
{
	static const variant_t variants[] = {NO_WAIT,
					     NO_INTENT,
					     NO_REVOKE,
					     ANY_CONNECTION,
					     NO_ROUNDS,
					     RELEASE_AT_ONCE,
					     PROOF_WITHOUT_READING,
					     ANY_ACK,
					     ACK_UNREAD,
					     KEEP_UNFINISHED};

	for (size_t i = 0; i < G_N_ELEMENTS(variants); i++) {
		uint32_t states;

		if (explore(variants[i],
			    variants[i] < ANY_ACK ? more_restarts :
						    more_takeovers,
			    &states))
			fail_msg("variant %d keeps the rule in %u states",
				 variants[i], states);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_rule_holds_in_every_order),
		cmocka_unit_test(test_every_variant_breaks_the_rule),
		cmocka_unit_test(test_rule_holds_when_the_store_is_restored),
		cmocka_unit_test(test_restore_breaks_every_shortcut),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
