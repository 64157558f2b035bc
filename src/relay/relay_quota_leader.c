#include "relay/relay_quota_leader.h"

#include <inttypes.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "coordination/quota_leadership.h"

/* Interval of looking for a write that is due. */
#define TICK_MS 100

/*
 * Upper bound of the delay of a takeover, different for each node, so that the
 * hubs of a domain do not all write at once.
 */
#define SPREAD_MS 150u

/* Upper bound of the number of customers in use. */
#define CUSTOMERS_MAX 12000u

/* Delay after which a customer may be known that this node does not know. */
#define UNKNOWN_RETRY_MS 200u

struct relay_quota_leader {
	kv_store_t *store;
	relay_quota_leader_handlers_t handlers;
	char *key; /* of the domain's record */
	quota_share_t share;
	catalog_t *catalog; /* NULL before the first one */
	bool has_quotas;
	bool is_hub;
	quota_leadership_t *leadership;
	quota_buckets_t *buckets; /* of the present tenure, or NULL */
	uint32_t tenure;	  /* last one noticed */
	bool active;		  /* state last logged */
	struct event *timer;	  /* pending while enabled */
	relay_quota_lenders_t lenders;
};

static void step(relay_quota_leader_t *leader);

static void on_timer(evutil_socket_t fd, short what, void *context)
{
	relay_quota_leader_t *leader = context;
	const struct timeval delay = clock_timeval(TICK_MS);

	step(leader);
	if (leader->is_hub || quota_leadership_is_releasing(leader->leadership))
		event_add(leader->timer, &delay);
}

relay_quota_leader_t *
relay_quota_leader_create(struct event_base *base, kv_store_t *store,
			  const char *node, const char *domain,
			  quota_share_t share,
			  relay_quota_leader_handlers_t handlers)
{
	relay_quota_leader_t *leader = g_new0(relay_quota_leader_t, 1);

	leader->store = store;
	leader->handlers = handlers;
	leader->key = g_strconcat(RELAY_QUOTA_PREFIX, domain, NULL);
	leader->share = share;
	leader->leadership =
		quota_leadership_create((quota_leadership_settings_t){
			.node = node,
			.spread_ms = g_str_hash(node) % SPREAD_MS,
			.proof_ms = QUOTA_LEADERSHIP_PROOF_MS,
			.settle_ms = QUOTA_LEADERSHIP_SETTLE_MS,
		});
	leader->timer = evtimer_new(base, on_timer, leader);
	return leader;
}

void relay_quota_leader_destroy(relay_quota_leader_t *leader)
{
	if (!leader)
		return;
	event_free(leader->timer);
	quota_leadership_destroy(leader->leadership);
	quota_buckets_destroy(leader->buckets);
	catalog_unref(leader->catalog);
	g_free(leader->key);
	g_free(leader);
}

/* Follows the leadership: each tenure begins with empty buckets. */
static void update(relay_quota_leader_t *leader)
{
	const uint64_t now_ms = clock_boot_ms();
	const uint32_t tenure = quota_leadership_tenure(leader->leadership);
	const bool active =
		quota_leadership_may_admit(leader->leadership, now_ms);

	if (tenure != leader->tenure) {
		leader->tenure = tenure;
		quota_buckets_destroy(leader->buckets);
		leader->buckets = quota_buckets_create(leader->share,
						       CUSTOMERS_MAX, now_ms);
	}
	if (active == leader->active)
		return;
	leader->active = active;
	log_event(LOG_LEVEL_NOTICE,
		  active ? "quota_leader_started" : "quota_leader_stopped",
		  "key=%s tenure=%u", leader->key, tenure);
}

static void on_written(void *context, const kv_answer_t *answer)
{
	relay_quota_leader_t *leader = context;
	const quota_write_result_t result =
		answer->result == KV_OK	      ? QUOTA_WRITE_DONE :
		answer->result == KV_CONFLICT ? QUOTA_WRITE_CONFLICT :
						QUOTA_WRITE_UNKNOWN;

	log_event(LOG_LEVEL_NOTICE, "quota_record_written",
		  "key=%s result=%s revision=%" PRId64, leader->key,
		  kv_result_name(answer->result), answer->revision);
	quota_leadership_written(leader->leadership, result, answer->revision,
				 clock_boot_ms());
	step(leader);
}

static void write_record(relay_quota_leader_t *leader,
			 const quota_write_t *write)
{
	g_autofree char *value = quota_record_encode(&write->record);
	const kv_condition_t condition = {.key = leader->key,
					  .revision = write->revision};
	const kv_put_t put = {.key = leader->key, .value = value};
	const kv_transaction_t transaction = {
		.conditions = &condition,
		.conditions_count = 1,
		.puts = &put,
		.puts_count = 1,
	};

	log_event(LOG_LEVEL_NOTICE, "quota_record_due",
		  "key=%s value=\"%s\" after=%" PRId64, leader->key, value,
		  write->revision);
	leader->store->calls->commit(leader->store->self, &transaction,
				     on_written, leader);
}

static void report_holder(relay_quota_leader_t *leader, uint64_t now_ms)
{
	const quota_record_t *record =
		quota_leadership_record(leader->leadership);
	void *context = leader->handlers.context;

	if (record)
		quota_leadership_holder_seen(
			leader->leadership,
			leader->handlers.is_hub(context, record->holder),
			leader->handlers.heard_ms(context, record->holder),
			now_ms);
}

static void step(relay_quota_leader_t *leader)
{
	const uint64_t now_ms = clock_boot_ms();
	quota_write_t write;

	if (!leader->has_quotas)
		return;
	report_holder(leader, now_ms);
	if (quota_leadership_step(leader->leadership, now_ms, &write))
		write_record(leader, &write);
	update(leader);
}

static void enable(relay_quota_leader_t *leader)
{
	const bool enabled = leader->is_hub && leader->has_quotas;
	const bool releasing =
		quota_leadership_is_releasing(leader->leadership);
	const struct timeval now = clock_timeval(0);

	quota_leadership_enable(leader->leadership, enabled);
	if (enabled || releasing)
		event_add(leader->timer, &now);
	else
		event_del(leader->timer);
	update(leader);
}

void relay_quota_leader_configure(relay_quota_leader_t *leader,
				  catalog_t *catalog)
{
	catalog_unref(leader->catalog);
	leader->catalog = catalog_ref(catalog);
	leader->has_quotas = catalog_has_quotas(catalog);
	enable(leader);
}

void relay_quota_leader_set_hub(relay_quota_leader_t *leader, bool is_hub)
{
	leader->is_hub = is_hub;
	if (!is_hub)
		quota_leadership_withdraw(leader->leadership);
	enable(leader);
	step(leader);
}

void relay_quota_leader_registered(relay_quota_leader_t *leader)
{
	quota_leadership_register(leader->leadership);
	step(leader);
}

void relay_quota_leader_key_changed(relay_quota_leader_t *leader,
				    const kv_item_t *item)
{
	quota_record_t record;
	bool valid;

	if (strcmp(item->key, leader->key))
		return;
	valid = !item->deleted && item->value &&
		quota_record_decode(item->value, &record);
	if (!item->deleted && !valid)
		log_event(LOG_LEVEL_WARNING, "quota_record_invalid",
			  "key=%s revision=%" PRId64, item->key,
			  item->revision);
	/* Nobody leads by an invalid record. It is taken over with a wait. */
	if (!item->deleted && !valid)
		record = (quota_record_t){.holder = "-",
					  .state = QUOTA_RECORD_SETTLING};
	quota_leadership_changed(leader->leadership,
				 item->deleted ? NULL : &record, item->revision,
				 clock_boot_ms());
	/* A write without an answer may have taken effect since. */
	if (!leader->is_hub)
		enable(leader);
	update(leader);
}

void relay_quota_leader_synced(relay_quota_leader_t *leader, int64_t revision,
			       uint64_t sent_ms)
{
	quota_leadership_synced(leader->leadership, revision, sent_ms,
				clock_boot_ms());
	step(leader);
}

void relay_quota_leader_resign(relay_quota_leader_t *leader)
{
	quota_leadership_resign(leader->leadership);
	step(leader);
}

bool relay_quota_leader_is_active(const relay_quota_leader_t *leader)
{
	return leader->buckets &&
	       quota_leadership_may_admit(leader->leadership, clock_boot_ms());
}

void relay_quota_leader_set_lenders(relay_quota_leader_t *leader,
				    relay_quota_lenders_t lenders)
{
	leader->lenders = lenders;
}

/* @return the customer if it has a quota, else NULL */
static const catalog_customer_t *find_limited(relay_quota_leader_t *leader,
					      const char *name)
{
	const catalog_customer_t *customer =
		leader->catalog ? catalog_customer(leader->catalog, name) :
				  NULL;

	return customer && customer->has_quota ? customer : NULL;
}

static quota_limit_t limit_of(const catalog_customer_t *customer)
{
	return (quota_limit_t){customer->rate_per_s, customer->burst};
}

static void borrow_if_low(relay_quota_leader_t *leader,
			  const catalog_customer_t *customer)
{
	uint32_t count;

	if (!leader->lenders.borrow)
		return;
	count = quota_buckets_shortage(leader->buckets, customer->name,
				       limit_of(customer), clock_boot_ms());
	if (count && leader->lenders.borrow(leader->lenders.context,
					    customer->name, count))
		quota_buckets_start_loan(leader->buckets, customer->name,
					 count);
}

void relay_quota_leader_end_loan(relay_quota_leader_t *leader, const char *name,
				 uint32_t granted)
{
	const catalog_customer_t *customer = find_limited(leader, name);

	if (leader->buckets)
		quota_buckets_end_loan(leader->buckets, name,
				       customer ? limit_of(customer) :
						  (quota_limit_t){0},
				       granted, clock_boot_ms());
}

bool relay_quota_leader_lend(relay_quota_leader_t *leader, const char *name,
			     uint32_t count, quota_admission_t *admission)
{
	const catalog_customer_t *customer = find_limited(leader, name);

	update(leader);
	if (!relay_quota_leader_is_active(leader))
		return false;
	*admission = (quota_admission_t){.retry_after_ms = UNKNOWN_RETRY_MS};
	if (customer)
		*admission = quota_buckets_lend(leader->buckets, name,
						limit_of(customer), count,
						clock_boot_ms());
	return true;
}

bool relay_quota_leader_admit(relay_quota_leader_t *leader,
			      const char *customer, uint32_t count,
			      quota_admission_t *admission)
{
	const catalog_customer_t *known;

	update(leader);
	if (!relay_quota_leader_is_active(leader))
		return false;
	known = catalog_customer(leader->catalog, customer);
	if (!known)
		*admission =
			(quota_admission_t){.retry_after_ms = UNKNOWN_RETRY_MS};
	else if (!known->has_quota)
		*admission = (quota_admission_t){.granted = count};
	if (!known || !known->has_quota)
		return true;
	*admission =
		quota_buckets_admit(leader->buckets, customer, limit_of(known),
				    count, clock_boot_ms());
	borrow_if_low(leader, known);
	return true;
}
