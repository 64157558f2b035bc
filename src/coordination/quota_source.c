#include "coordination/quota_source.h"

#include <glib.h>

/* Customers of which something is known, before old entries are dropped. */
#define CUSTOMERS_MAX 1024u

/* Interval of dropping entries that are of no use any more. */
#define SWEEP_MS 5000u

/* Number of tokens kept for one customer; more need not be kept apart. */
#define KEPT_MAX 64u

typedef struct {
	quota_distance_t distance;
	bool exists;
	bool connected;
	uint64_t avoid_ms; /* not asked before then */
} domain_t;

/* What is known of one customer. */
typedef struct {
	/* When the leaders have a token again. */
	uint64_t empty_ms[QUOTA_SOURCE_DOMAINS_MAX];
	uint64_t until_ms;    /* highest of empty_ms */
	uint64_t expected_ms; /* an operation can expect a token then */
	uint32_t token_ms;    /* of the own leader's last answer */
	uint32_t last;	      /* domain asked last, of other domains */
	uint32_t kept;
	uint64_t
		kept_ms[KEPT_MAX]; /* when each kept token ends, oldest first */
} customer_t;

struct quota_source {
	domain_t domains[QUOTA_SOURCE_DOMAINS_MAX];
	uint32_t domains_count;
	GHashTable *customers; /* name -> customer_t */
	uint64_t swept_ms;
};

quota_source_t *quota_source_create(void)
{
	quota_source_t *source = g_new0(quota_source_t, 1);

	source->customers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return source;
}

void quota_source_destroy(quota_source_t *source)
{
	if (!source)
		return;
	g_hash_table_destroy(source->customers);
	g_free(source);
}

uint32_t quota_source_add(quota_source_t *source, quota_distance_t distance)
{
	if (source->domains_count >= QUOTA_SOURCE_DOMAINS_MAX)
		return QUOTA_SOURCE_NONE;
	source->domains[source->domains_count].distance = distance;
	return source->domains_count++;
}

static void forget_level(quota_source_t *source, uint32_t domain)
{
	GHashTableIter iter;
	gpointer customer;

	g_hash_table_iter_init(&iter, source->customers);
	while (g_hash_table_iter_next(&iter, NULL, &customer))
		((customer_t *)customer)->empty_ms[domain] = 0;
}

void quota_source_set_leader(quota_source_t *source, uint32_t domain,
			     bool exists)
{
	source->domains[domain].exists = exists;
	source->domains[domain].avoid_ms = 0;
	forget_level(source, domain);
}

void quota_source_set_connected(quota_source_t *source, uint32_t domain,
				bool connected)
{
	source->domains[domain].connected = connected;
}

void quota_source_failed(quota_source_t *source, uint32_t domain, bool answered,
			 uint64_t now_ms)
{
	source->domains[domain].avoid_ms =
		now_ms + (answered ? QUOTA_SOURCE_AVOID_ANSWERED_MS :
				     QUOTA_SOURCE_AVOID_MS);
}

void quota_source_reached(quota_source_t *source, uint32_t domain)
{
	source->domains[domain].avoid_ms = 0;
}

static void drop_ended(customer_t *customer, uint64_t now_ms)
{
	uint32_t ended = 0;

	while (ended < customer->kept && customer->kept_ms[ended] <= now_ms)
		ended++;
	customer->kept -= ended;
	for (uint32_t i = 0; i < customer->kept; i++)
		customer->kept_ms[i] = customer->kept_ms[i + ended];
}

/* Drops the entries that hold nothing; all of them if there are too many. */
static void sweep(quota_source_t *source, uint64_t now_ms)
{
	const bool full = g_hash_table_size(source->customers) >= CUSTOMERS_MAX;
	GHashTableIter iter;
	gpointer value;

	if (!full && now_ms < source->swept_ms + SWEEP_MS)
		return;
	source->swept_ms = now_ms;
	g_hash_table_iter_init(&iter, source->customers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		customer_t *customer = value;

		drop_ended(customer, now_ms);
		if (!customer->kept && customer->until_ms <= now_ms &&
		    customer->expected_ms <= now_ms)
			g_hash_table_iter_remove(&iter);
	}
	if (g_hash_table_size(source->customers) >= CUSTOMERS_MAX)
		g_hash_table_remove_all(source->customers);
}

static customer_t *find(const quota_source_t *source, const char *name)
{
	return g_hash_table_lookup(source->customers, name);
}

static customer_t *get(quota_source_t *source, const char *name,
		       uint64_t now_ms)
{
	customer_t *customer = find(source, name);

	if (customer)
		return customer;
	sweep(source, now_ms);
	customer = g_new0(customer_t, 1);
	g_hash_table_insert(source->customers, g_strdup(name), customer);
	return customer;
}

void quota_source_answered(quota_source_t *source, uint32_t domain,
			   const char *customer, uint32_t retry_after_ms,
			   uint64_t now_ms)
{
	customer_t *known = get(source, customer, now_ms);

	if (source->domains[domain].distance == QUOTA_DISTANCE_OWN)
		known->token_ms = retry_after_ms;
	known->empty_ms[domain] = retry_after_ms ? now_ms + retry_after_ms : 0;
	known->until_ms = MAX(known->until_ms, known->empty_ms[domain]);
}

void quota_source_expect(quota_source_t *source, uint32_t domain,
			 const char *customer, uint32_t expected_ms,
			 uint64_t now_ms)
{
	if (source->domains[domain].distance == QUOTA_DISTANCE_OWN)
		get(source, customer, now_ms)->expected_ms =
			now_ms + expected_ms;
}

void quota_source_rejected(quota_source_t *source, const char *customer,
			   uint64_t now_ms)
{
	customer_t *known = find(source, customer);

	if (known)
		known->expected_ms =
			MIN(MAX(known->expected_ms, now_ms) + known->token_ms,
			    now_ms + QUOTA_EXPECTED_MS_MAX);
}

static bool is_reachable(const domain_t *domain, uint64_t now_ms)
{
	return domain->exists && now_ms >= domain->avoid_ms;
}

static bool is_empty(const customer_t *customer, uint32_t domain,
		     uint64_t now_ms)
{
	return customer && now_ms < customer->empty_ms[domain];
}

static uint32_t count_others(const quota_source_t *source,
			     const quota_quest_t *quest)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < source->domains_count; i++)
		count += source->domains[i].distance != QUOTA_DISTANCE_OWN &&
			 (quest->asked >> i & 1);
	return count;
}

/* @return the rank of a candidate; the lowest is asked */
static uint32_t rank(const quota_source_t *source, const customer_t *customer,
		     uint32_t domain)
{
	const domain_t *candidate = &source->domains[domain];
	const uint32_t count = source->domains_count;
	const uint32_t after = customer ? customer->last : 0;
	/* The one asked longest ago has gained the most tokens. */
	const uint32_t turn = (domain + count - after - 1) % count;

	return ((candidate->distance * 2u + !candidate->connected) * count) +
	       turn;
}

uint32_t quota_source_next(quota_source_t *source, const char *customer,
			   quota_quest_t *quest, uint64_t now_ms)
{
	customer_t *known = find(source, customer);
	const bool others_left =
		count_others(source, quest) < QUOTA_SOURCE_OTHERS_MAX;
	uint32_t next = QUOTA_SOURCE_NONE;

	for (uint32_t i = 0; i < source->domains_count; i++) {
		const domain_t *domain = &source->domains[i];

		if (quest->asked >> i & 1 || !is_reachable(domain, now_ms) ||
		    is_empty(known, i, now_ms) ||
		    (domain->distance != QUOTA_DISTANCE_OWN && !others_left))
			continue;
		if (next == QUOTA_SOURCE_NONE ||
		    rank(source, known, i) < rank(source, known, next))
			next = i;
	}
	if (next == QUOTA_SOURCE_NONE)
		return next;
	quest->asked |= 1u << next;
	if (known && source->domains[next].distance != QUOTA_DISTANCE_OWN)
		known->last = next;
	return next;
}

bool quota_source_is_rejected(const quota_source_t *source,
			      const char *customer, const quota_quest_t *quest,
			      uint64_t now_ms)
{
	const customer_t *known = find(source, customer);

	if (quest->answered)
		return true;
	for (uint32_t i = 0; i < source->domains_count; i++)
		if (is_reachable(&source->domains[i], now_ms) &&
		    is_empty(known, i, now_ms))
			return true;
	return false;
}

uint32_t quota_source_retry_ms(const quota_source_t *source,
			       const char *customer, uint64_t now_ms)
{
	const customer_t *known = find(source, customer);
	uint64_t first_ms = 0;

	for (uint32_t i = 0; known && i < source->domains_count; i++)
		if (source->domains[i].exists && is_empty(known, i, now_ms) &&
		    (!first_ms || known->empty_ms[i] < first_ms))
			first_ms = known->empty_ms[i];
	if (known)
		first_ms = MAX(first_ms, known->expected_ms);
	return first_ms > now_ms ? (uint32_t)(first_ms - now_ms) : 0;
}

void quota_source_keep(quota_source_t *source, const char *customer,
		       uint32_t count, uint64_t now_ms)
{
	customer_t *known = get(source, customer, now_ms);

	drop_ended(known, now_ms);
	for (uint32_t i = 0; i < count && known->kept < KEPT_MAX; i++)
		known->kept_ms[known->kept++] = now_ms + QUOTA_SOURCE_KEEP_MS;
}

bool quota_source_take(quota_source_t *source, const char *customer,
		       uint64_t now_ms)
{
	customer_t *known = find(source, customer);

	if (!known)
		return false;
	drop_ended(known, now_ms);
	if (!known->kept)
		return false;
	/* The newest one is taken last, since it can be kept for longer. */
	known->kept--;
	for (uint32_t i = 0; i < known->kept; i++)
		known->kept_ms[i] = known->kept_ms[i + 1];
	return true;
}

uint32_t quota_source_count(const quota_source_t *source)
{
	return g_hash_table_size(source->customers);
}
