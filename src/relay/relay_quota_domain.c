#include "relay/relay_quota_private.h"

#include <string.h>

#include "base/clock.h"

/*
 * Time after which the operations ask another leader than that of the own
 * domain, or of another one. Other regions answer in 40 ms, busy ones in more.
 */
#define OWN_LATE_MS 50u
#define OTHER_LATE_MS 150u

/* Maximum number of tokens of one request. */
#define REQUEST_TOKENS_MAX 64u

/* Operations of one customer that wait for the same leader. */
typedef struct {
	char *customer;
	GQueue tickets;
	uint32_t asked; /* tokens of the unanswered request, or 0 */
} batch_t;

static void batch_free(gpointer data)
{
	batch_t *batch = data;

	g_free(batch->customer);
	g_free(batch);
}

static batch_t *batch_get(quota_domain_t *domain, const char *customer)
{
	batch_t *batch = g_hash_table_lookup(domain->batches, customer);

	if (batch)
		return batch;
	batch = g_new0(batch_t, 1);
	batch->customer = g_strdup(customer);
	g_queue_init(&batch->tickets);
	g_hash_table_insert(domain->batches, batch->customer, batch);
	return batch;
}

/* Requests a token for each operation that waits. */
static void ask(quota_domain_t *domain, batch_t *batch)
{
	if (batch->asked || !batch->tickets.length ||
	    !relay_quota_link_is_open(domain->link))
		return;
	batch->asked = MIN(batch->tickets.length, REQUEST_TOKENS_MAX);
	relay_quota_link_ask(domain->link, batch->customer, batch->asked);
}

/* The others are likely to be needed soon, and far ones take long to open. */
static void connect_all(relay_quota_t *quota)
{
	const uint64_t now_ms = clock_boot_ms();

	for (guint i = 0; i < quota->domains->len; i++)
		relay_quota_link_connect(
			((quota_domain_t *)quota->domains->pdata[i])->link,
			now_ms);
}

bool quota_domain_join(quota_domain_t *domain, relay_quota_ticket_t *ticket)
{
	const uint64_t now_ms = clock_boot_ms();
	batch_t *batch;

	if (!relay_quota_link_connect(domain->link, now_ms)) {
		quota_source_failed(domain->quota->source, domain->index, true,
				    now_ms);
		return false;
	}
	if (domain->distance != QUOTA_DISTANCE_OWN)
		connect_all(domain->quota);
	batch = batch_get(domain, ticket->customer);
	quota_ticket_enqueue(ticket, &batch->tickets);
	ask(domain, batch);
	return true;
}

static void remove_if_unused(quota_domain_t *domain, batch_t *batch)
{
	if (!batch->asked && !batch->tickets.length)
		g_hash_table_remove(domain->batches, batch->customer);
}

static void apply_admission(quota_domain_t *domain, batch_t *batch,
			    const quota_admission_t *admission)
{
	relay_quota_t *quota = domain->quota;
	const uint64_t now_ms = clock_boot_ms();
	uint32_t left = admission->granted;

	quota_source_reached(quota->source, domain->index);
	quota_source_answered(quota->source, domain->index, batch->customer,
			      admission->retry_after_ms, now_ms);
	quota_source_expect(quota->source, domain->index, batch->customer,
			    admission->expected_ms, now_ms);
	for (; left && batch->tickets.length; left--)
		quota_ticket_admit(g_queue_peek_head(&batch->tickets));
	if (left)
		quota_source_keep(quota->source, batch->customer, left, now_ms);
	if (!admission->retry_after_ms) {
		ask(domain, batch);
		return;
	}
	for (GList *node = batch->tickets.head; node; node = node->next)
		((relay_quota_ticket_t *)node->data)->quest.answered |=
			1u << domain->index;
	quota_tickets_advance(&batch->tickets);
}

static void on_answered(void *context, const char *customer, uint32_t count,
			const quota_admission_t *admission)
{
	quota_domain_t *domain = context;
	batch_t *batch = g_hash_table_lookup(domain->batches, customer);

	if (!batch)
		return;
	batch->asked = 0;
	if (admission) {
		apply_admission(domain, batch, admission);
	} else {
		quota_source_failed(domain->quota->source, domain->index, true,
				    clock_boot_ms());
		quota_tickets_advance(&batch->tickets);
	}
	remove_if_unused(domain, batch);
}

/* Lets all operations that wait for the leader ask another. */
static void on_failed(void *context, bool refused)
{
	quota_domain_t *domain = context;
	g_autoptr(GHashTable) batches = g_steal_pointer(&domain->batches);
	GHashTableIter iter;
	gpointer batch;

	domain->batches = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						batch_free);
	quota_source_set_connected(domain->quota->source, domain->index, false);
	quota_source_failed(domain->quota->source, domain->index, refused,
			    clock_boot_ms());
	g_hash_table_iter_init(&iter, batches);
	while (g_hash_table_iter_next(&iter, NULL, &batch))
		quota_tickets_advance(&((batch_t *)batch)->tickets);
}

/* Lets the operations ask another leader; what comes later is kept. */
static void on_late(void *context)
{
	quota_domain_t *domain = context;
	GHashTableIter iter;
	gpointer batch;

	quota_source_failed(domain->quota->source, domain->index, false,
			    clock_boot_ms());
	g_hash_table_iter_init(&iter, domain->batches);
	while (g_hash_table_iter_next(&iter, NULL, &batch))
		quota_tickets_advance(&((batch_t *)batch)->tickets);
}

static void on_link_changed(void *context)
{
	quota_domain_t *domain = context;
	GHashTableIter iter;
	gpointer batch;

	quota_source_set_connected(domain->quota->source, domain->index,
				   relay_quota_link_is_open(domain->link));
	g_hash_table_iter_init(&iter, domain->batches);
	while (g_hash_table_iter_next(&iter, NULL, &batch))
		ask(domain, batch);
}

void quota_domain_step(quota_domain_t *domain, uint64_t now_ms, bool late)
{
	GHashTableIter iter;
	gpointer batch;

	if (late)
		return;
	relay_quota_link_step(domain->link, now_ms);
	relay_quota_link_step(domain->loan_link, now_ms);
	g_hash_table_iter_init(&iter, domain->batches);
	while (g_hash_table_iter_next(&iter, NULL, &batch))
		quota_tickets_end_late(&((batch_t *)batch)->tickets, now_ms);
}

void quota_domain_free(gpointer data)
{
	quota_domain_t *domain = data;

	relay_quota_link_destroy(domain->link);
	relay_quota_link_destroy(domain->loan_link);
	g_hash_table_destroy(domain->batches);
	g_free(domain->name);
	g_free(domain->holder);
	g_free(domain);
}

static quota_distance_t distance_of(const relay_quota_t *quota,
				    const char *domain)
{
	if (!strcmp(domain, quota_settings(quota)->failure_domain))
		return QUOTA_DISTANCE_OWN;
	return relay_services_same_region(quota->services, domain) ?
		       QUOTA_DISTANCE_REGION :
		       QUOTA_DISTANCE_FAR;
}

void quota_domain_add(relay_quota_t *quota, const char *name)
{
	const quota_distance_t distance = distance_of(quota, name);
	const uint32_t index = quota_source_add(quota->source, distance);
	quota_domain_t *domain;

	if (index == QUOTA_SOURCE_NONE)
		return;
	domain = g_new0(quota_domain_t, 1);
	domain->quota = quota;
	domain->index = index;
	domain->distance = distance;
	domain->name = g_strdup(name);
	domain->batches = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						batch_free);
	domain->link = relay_quota_link_create(
		quota->services,
		distance == QUOTA_DISTANCE_OWN ? OWN_LATE_MS : OTHER_LATE_MS,
		(relay_quota_link_handlers_t){
			.changed = on_link_changed,
			.answered = on_answered,
			.late = on_late,
			.failed = on_failed,
			.context = domain,
		});
	domain->loan_link = quota_loan_link_create(domain);
	g_ptr_array_add(quota->domains, domain);
}

void quota_domain_update_endpoint(quota_domain_t *domain)
{
	relay_quota_t *quota = domain->quota;
	const endpoint_t *endpoint = NULL;

	if (domain->holder && !domain->is_self) {
		endpoint = quota->handlers.endpoint(quota->handlers.context,
						    domain->holder);
		/* A hub whose key has lapsed is used while it answers. */
		if (!endpoint)
			return;
	}
	relay_quota_link_set_endpoint(domain->link, endpoint);
	relay_quota_link_set_endpoint(domain->loan_link, endpoint);
}

bool quota_domain_set_holder(quota_domain_t *domain, const char *holder)
{
	relay_quota_t *quota = domain->quota;

	if (!g_strcmp0(holder, domain->holder))
		return false;
	g_free(domain->holder);
	domain->holder = g_strdup(holder);
	domain->is_self = !g_strcmp0(holder, quota_settings(quota)->node);
	relay_quota_link_set_endpoint(domain->link, NULL);
	relay_quota_link_set_endpoint(domain->loan_link, NULL);
	quota_source_set_leader(quota->source, domain->index, holder);
	quota_domain_update_endpoint(domain);
	return true;
}
