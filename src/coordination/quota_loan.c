#include "coordination/quota_loan.h"

#include <glib.h>

/* Customers of which something is known; further ones borrow nothing. */
#define CUSTOMERS_MAX 1024u

/* Time after which an entry without a loan is dropped, and interval of that. */
#define IDLE_MS 10000u

/* Age up to which the stated level of a lender counts. */
#define LEVEL_AGE_MS 1000u

/* Longest time for which a lender that refused is not asked. */
#define REFUSED_MS_MAX 1000u

typedef struct {
	bool reachable;
	uint64_t avoid_ms; /* not asked before then */
} lender_t;

/* What is known of a lender's bucket of one customer. */
typedef struct {
	uint32_t level;	   /* tokens that it would lend */
	uint64_t asked_ms; /* when it last answered, 0 if never */
	uint64_t again_ms; /* not asked before then, since it refused */
} offer_t;

typedef struct {
	uint32_t lender; /* of the loan under way, or QUOTA_LOAN_NONE */
	uint64_t used_ms;
	offer_t offers[QUOTA_LOAN_LENDERS_MAX];
} customer_t;

struct quota_loan {
	lender_t lenders[QUOTA_LOAN_LENDERS_MAX];
	GHashTable *customers; /* name -> customer_t */
	uint32_t count;	       /* loans under way */
	uint64_t swept_ms;
};

quota_loan_t *quota_loan_create(void)
{
	quota_loan_t *loan = g_new0(quota_loan_t, 1);

	loan->customers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return loan;
}

void quota_loan_destroy(quota_loan_t *loan)
{
	if (!loan)
		return;
	g_hash_table_destroy(loan->customers);
	g_free(loan);
}

void quota_loan_set_reachable(quota_loan_t *loan, uint32_t lender,
			      bool reachable)
{
	loan->lenders[lender].reachable = reachable;
}

static void sweep(quota_loan_t *loan, uint64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;

	if (now_ms < loan->swept_ms + IDLE_MS)
		return;
	loan->swept_ms = now_ms;
	g_hash_table_iter_init(&iter, loan->customers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const customer_t *customer = value;

		if (customer->lender == QUOTA_LOAN_NONE &&
		    now_ms >= customer->used_ms + IDLE_MS)
			g_hash_table_iter_remove(&iter);
	}
}

/* @return the customer's entry, or NULL if there are too many */
static customer_t *get(quota_loan_t *loan, const char *name, uint64_t now_ms)
{
	customer_t *customer;

	sweep(loan, now_ms);
	customer = g_hash_table_lookup(loan->customers, name);
	if (!customer) {
		if (g_hash_table_size(loan->customers) >= CUSTOMERS_MAX)
			return NULL;
		customer = g_new0(customer_t, 1);
		customer->lender = QUOTA_LOAN_NONE;
		g_hash_table_insert(loan->customers, g_strdup(name), customer);
	}
	customer->used_ms = now_ms;
	return customer;
}

static bool is_known(const offer_t *offer, uint64_t now_ms)
{
	return offer->asked_ms && now_ms < offer->asked_ms + LEVEL_AGE_MS;
}

/* An unknown level may have been gained since; it is better than a low one. */
static uint32_t rank(const offer_t *offer, uint32_t count, uint64_t now_ms)
{
	if (!is_known(offer, now_ms))
		return 1;
	return offer->level >= count ? 2 : 0;
}

static bool is_better(const offer_t *a, const offer_t *b, uint32_t count,
		      uint64_t now_ms)
{
	const uint32_t a_rank = rank(a, count, now_ms);
	const uint32_t b_rank = rank(b, count, now_ms);

	if (a_rank != b_rank)
		return a_rank > b_rank;
	if (a_rank != 1 && a->level != b->level)
		return a->level > b->level;
	return a->asked_ms < b->asked_ms;
}

uint32_t quota_loan_choose(quota_loan_t *loan, const char *name, uint32_t count,
			   uint64_t now_ms)
{
	customer_t *customer = get(loan, name, now_ms);
	uint32_t best = QUOTA_LOAN_NONE;

	if (!customer || customer->lender != QUOTA_LOAN_NONE)
		return QUOTA_LOAN_NONE;
	for (uint32_t i = 0; i < QUOTA_LOAN_LENDERS_MAX; i++) {
		const lender_t *lender = &loan->lenders[i];
		const offer_t *offer = &customer->offers[i];

		if (!lender->reachable || now_ms < lender->avoid_ms ||
		    now_ms < offer->again_ms)
			continue;
		if (best == QUOTA_LOAN_NONE ||
		    is_better(offer, &customer->offers[best], count, now_ms))
			best = i;
	}
	if (best == QUOTA_LOAN_NONE)
		return best;
	customer->lender = best;
	loan->count++;
	return best;
}

/* @return the customer's entry with its lender, if a loan was under way */
static customer_t *end(quota_loan_t *loan, const char *name, uint32_t *lender)
{
	customer_t *customer = g_hash_table_lookup(loan->customers, name);

	if (!customer || customer->lender == QUOTA_LOAN_NONE)
		return NULL;
	*lender = customer->lender;
	customer->lender = QUOTA_LOAN_NONE;
	loan->count--;
	return customer;
}

void quota_loan_answered(quota_loan_t *loan, const char *name,
			 const quota_admission_t *admission, uint64_t now_ms)
{
	uint32_t lender;
	customer_t *customer = end(loan, name, &lender);
	offer_t *offer;

	if (!customer)
		return;
	offer = &customer->offers[lender];
	offer->level = admission ? admission->level : 0;
	offer->asked_ms = now_ms;
	if (admission && admission->granted)
		return;
	offer->again_ms =
		now_ms + CLAMP(admission ? admission->retry_after_ms : 0,
			       QUOTA_LOAN_REFUSED_MS, REFUSED_MS_MAX);
}

void quota_loan_failed(quota_loan_t *loan, const char *name, uint64_t now_ms)
{
	uint32_t lender;

	if (end(loan, name, &lender))
		loan->lenders[lender].avoid_ms = now_ms + QUOTA_LOAN_AVOID_MS;
}

uint32_t quota_loan_count(const quota_loan_t *loan)
{
	return loan->count;
}
