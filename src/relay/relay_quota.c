#include "relay/relay_quota_private.h"

#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "state/quota_record.h"

/* Timer interval while an operation waits, and otherwise. */
#define TICK_MS 10u
#define IDLE_TICK_MS 1000u

/*
 * Delay of the timer from which this process was kept from running; what it has
 * not read yet has not timed out.
 */
#define LATE_TICK_MS 30u

/* Time after which a rejected operation may be retried if no leader answers. */
#define UNREACHABLE_RETRY_MS 500u

/* Longest time after which a rejected operation may be retried. */
#define RETRY_MS_MAX 1000u

/* Least range over which retries of rejected operations are spread. */
#define SPREAD_MS_MIN 100u

const relay_services_settings_t *quota_settings(const relay_quota_t *quota)
{
	return relay_services_settings(quota->services);
}

static void count_outcome(const relay_quota_t *quota, const char *customer,
			  const char *outcome)
{
	g_autofree char *labels =
		metrics_labels("customer", customer, "outcome", outcome, NULL);

	metric_add(metrics_counter(quota_settings(quota)->metrics,
				   "toucanhook_quota_total", labels),
		   1);
}

static bool is_busy(const relay_quota_t *quota)
{
	return quota->waiting || quota_loan_count(quota->loans);
}

static void schedule_tick(relay_quota_t *quota)
{
	const uint32_t delay_ms = is_busy(quota) ? TICK_MS : IDLE_TICK_MS;
	const struct timeval delay = clock_timeval(delay_ms);

	quota->tick_ms = clock_boot_ms() + delay_ms;
	event_add(quota->timer, &delay);
}

void quota_schedule(relay_quota_t *quota)
{
	/* A timer that is due sooner is kept, else it might never fire. */
	if (!evtimer_pending(quota->timer, NULL) ||
	    clock_boot_ms() + TICK_MS < quota->tick_ms)
		schedule_tick(quota);
}

void quota_ticket_enqueue(relay_quota_ticket_t *ticket, GQueue *queue)
{
	if (ticket->queue)
		g_queue_delete_link(ticket->queue, ticket->node);
	ticket->queue = queue;
	g_queue_push_tail(queue, ticket);
	ticket->node = g_queue_peek_tail_link(queue);
}

static void ticket_free(relay_quota_ticket_t *ticket)
{
	if (ticket->queue)
		g_queue_delete_link(ticket->queue, ticket->node);
	ticket->quota->waiting--;
	g_free(ticket->customer);
	g_free(ticket->id);
	g_free(ticket);
}

static void end_ticket(relay_quota_ticket_t *ticket)
{
	quota_ticket_enqueue(ticket, &ticket->quota->ended);
	event_active(ticket->quota->deliver, EV_TIMEOUT, 0);
}

void quota_ticket_admit(relay_quota_ticket_t *ticket)
{
	ticket->admitted = true;
	count_outcome(ticket->quota, ticket->customer, "admitted");
	end_ticket(ticket);
}

static char *list_asked(const relay_quota_ticket_t *ticket)
{
	const GPtrArray *domains = ticket->quota->domains;
	GString *text = g_string_new(NULL);

	for (guint i = 0; i < domains->len; i++) {
		const quota_domain_t *domain = domains->pdata[i];

		if ((ticket->asked | ticket->quest.asked) >> i & 1)
			g_string_append_printf(
				text, "%s%s/%s", text->len ? "," : "",
				domain->name,
				domain->holder ? domain->holder : "-");
	}
	return g_string_free(text, text->len == 0);
}

/* Callers that were rejected together must not return together. */
static uint32_t spread(const relay_quota_t *quota, uint32_t retry_ms)
{
	const uint32_t first_ms = MIN(retry_ms, RETRY_MS_MAX - SPREAD_MS_MIN);
	const uint32_t range_ms =
		CLAMP(first_ms / 2, SPREAD_MS_MIN, RETRY_MS_MAX - first_ms);

	return first_ms +
	       (uint32_t)g_rand_int_range(quota->random, 0, (gint32)range_ms);
}

/* @param outcome "rejected" by the quota, or "unreachable" leaders */
static void reject(relay_quota_ticket_t *ticket, const char *outcome)
{
	relay_quota_t *quota = ticket->quota;
	const uint64_t now_ms = clock_boot_ms();
	const uint32_t known_ms =
		quota_source_retry_ms(quota->source, ticket->customer, now_ms);
	const uint32_t retry_ms = known_ms ? known_ms : UNREACHABLE_RETRY_MS;
	g_autofree char *asked = list_asked(ticket);

	ticket->retry_after_ms = spread(quota, retry_ms);
	quota_source_rejected(quota->source, ticket->customer, now_ms);
	log_event(LOG_LEVEL_INFO, "quota_rejected",
		  "id=%s customer=%s outcome=%s asked=%s waited_ms=%u"
		  " retry_after_ms=%u",
		  ticket->id, ticket->customer, outcome, asked ? asked : "-",
		  (uint32_t)(now_ms - ticket->received_ms),
		  ticket->retry_after_ms);
	count_outcome(quota, ticket->customer, outcome);
	end_ticket(ticket);
}

static void on_deliver(evutil_socket_t fd, short what, void *context)
{
	relay_quota_t *quota = context;
	relay_quota_ticket_t *ticket;

	while ((ticket = g_queue_peek_head(&quota->ended))) {
		const relay_quota_done_t done = ticket->done;
		void *const done_context = ticket->context;
		const bool admitted = ticket->admitted;
		const uint32_t retry_after_ms = ticket->retry_after_ms;

		ticket_free(ticket);
		done(done_context, admitted, retry_after_ms);
	}
}

/* Takes a token if this node itself leads. */
static bool take_own(relay_quota_ticket_t *ticket, const quota_domain_t *domain)
{
	relay_quota_t *quota = ticket->quota;
	quota_admission_t admission;

	if (!relay_quota_leader_admit(quota->own, ticket->customer, 1,
				      &admission))
		return false;
	ticket->quest.answered |= 1u << domain->index;
	quota_source_answered(quota->source, domain->index, ticket->customer,
			      admission.retry_after_ms, clock_boot_ms());
	quota_source_expect(quota->source, domain->index, ticket->customer,
			    admission.expected_ms, clock_boot_ms());
	return admission.granted;
}

/* Asks the next leader, or ends the ticket. */
static void advance(relay_quota_ticket_t *ticket)
{
	relay_quota_t *quota = ticket->quota;
	const uint64_t now_ms = clock_boot_ms();
	uint32_t next;

	/* A late answer may have brought a token meanwhile. */
	if (quota_source_take(quota->source, ticket->customer, now_ms)) {
		quota_ticket_admit(ticket);
		return;
	}
	while ((next = quota_source_next(quota->source, ticket->customer,
					 &ticket->quest, now_ms)) !=
	       QUOTA_SOURCE_NONE) {
		quota_domain_t *domain = quota->domains->pdata[next];

		if (domain->is_self && take_own(ticket, domain)) {
			quota_ticket_admit(ticket);
			return;
		}
		if (!domain->is_self && quota_domain_join(domain, ticket))
			return;
	}
	if (quota_source_is_rejected(quota->source, ticket->customer,
				     &ticket->quest, now_ms))
		reject(ticket, "rejected");
	else
		quota_ticket_enqueue(ticket, &quota->parked);
}

void quota_tickets_advance(GQueue *tickets)
{
	for (guint left = tickets->length; left > 0; left--)
		advance(g_queue_peek_head(tickets));
}

static void retry_parked(relay_quota_t *quota)
{
	for (GList *node = quota->parked.head; node; node = node->next) {
		relay_quota_ticket_t *ticket = node->data;

		ticket->asked |= ticket->quest.asked;
		ticket->quest = (quota_quest_t){0};
	}
	quota_tickets_advance(&quota->parked);
}

void quota_tickets_end_late(GQueue *tickets, uint64_t now_ms)
{
	while (tickets->length) {
		relay_quota_ticket_t *oldest = g_queue_peek_head(tickets);

		if (now_ms < oldest->received_ms + QUOTA_WAIT_MS)
			return;
		reject(oldest, "unreachable");
	}
}

static void on_tick(evutil_socket_t fd, short what, void *context)
{
	relay_quota_t *quota = context;
	const uint64_t now_ms = clock_boot_ms();
	const bool late = now_ms > quota->tick_ms + LATE_TICK_MS;

	for (guint i = 0; i < quota->domains->len; i++)
		quota_domain_step(quota->domains->pdata[i], now_ms, late);
	retry_parked(quota);
	if (!late)
		quota_tickets_end_late(&quota->parked, now_ms);
	if (quota->enabled || is_busy(quota))
		schedule_tick(quota);
}

relay_quota_t *relay_quota_create(relay_services_t *services,
				  relay_quota_leader_t *leader,
				  relay_quota_handlers_t handlers)
{
	const relay_services_settings_t *settings =
		relay_services_settings(services);
	relay_quota_t *quota = g_new0(relay_quota_t, 1);
	GHashTableIter iter;
	gpointer domain;

	quota->services = services;
	quota->own = leader;
	quota->handlers = handlers;
	quota->source = quota_source_create();
	quota->loans = quota_loan_create();
	quota->domains = g_ptr_array_new_with_free_func(quota_domain_free);
	quota->random = g_rand_new_with_seed(g_str_hash(settings->node));
	quota->timer = evtimer_new(settings->base, on_tick, quota);
	quota->deliver = evtimer_new(settings->base, on_deliver, quota);
	g_queue_init(&quota->parked);
	g_queue_init(&quota->ended);
	g_hash_table_iter_init(&iter, settings->regions);
	while (g_hash_table_iter_next(&iter, &domain, NULL))
		quota_domain_add(quota, domain);
	relay_quota_leader_set_lenders(
		leader, (relay_quota_lenders_t){.borrow = quota_loan_borrow,
						.context = quota});
	return quota;
}

void relay_quota_destroy(relay_quota_t *quota)
{
	if (!quota)
		return;
	relay_quota_leader_set_lenders(quota->own, (relay_quota_lenders_t){0});
	event_free(quota->timer);
	event_free(quota->deliver);
	g_ptr_array_unref(quota->domains);
	quota_source_destroy(quota->source);
	quota_loan_destroy(quota->loans);
	g_rand_free(quota->random);
	g_free(quota);
}

static void connect_own(relay_quota_t *quota)
{
	for (guint i = 0; quota->enabled && i < quota->domains->len; i++) {
		quota_domain_t *domain = quota->domains->pdata[i];

		if (domain->distance == QUOTA_DISTANCE_OWN)
			relay_quota_link_connect(domain->link, clock_boot_ms());
	}
}

void relay_quota_configure(relay_quota_t *quota, const catalog_t *catalog)
{
	quota->enabled = catalog_has_quotas(catalog);
	if (!quota->enabled)
		return;
	connect_own(quota);
	schedule_tick(quota);
}

void relay_quota_key_changed(relay_quota_t *quota, const kv_item_t *item)
{
	const char *name = item->key + strlen(RELAY_QUOTA_PREFIX);
	quota_record_t record;
	const bool leads = !item->deleted && item->value &&
			   quota_record_decode(item->value, &record) &&
			   record.state == QUOTA_RECORD_LEADING;

	for (guint i = 0; i < quota->domains->len; i++) {
		quota_domain_t *domain = quota->domains->pdata[i];

		if (strcmp(domain->name, name) ||
		    !quota_domain_set_holder(domain,
					     leads ? record.holder : NULL))
			continue;
		connect_own(quota);
		retry_parked(quota);
	}
}

void relay_quota_hubs_changed(relay_quota_t *quota)
{
	for (guint i = 0; i < quota->domains->len; i++)
		quota_domain_update_endpoint(quota->domains->pdata[i]);
	connect_own(quota);
}

relay_quota_ticket_t *relay_quota_acquire(relay_quota_t *quota,
					  const char *customer, const char *id,
					  relay_quota_done_t done,
					  void *context)
{
	const uint64_t now_ms = clock_boot_ms();
	relay_quota_ticket_t *ticket;

	if (quota_source_take(quota->source, customer, now_ms)) {
		count_outcome(quota, customer, "admitted");
		return NULL;
	}
	ticket = g_new0(relay_quota_ticket_t, 1);
	ticket->quota = quota;
	ticket->customer = g_strdup(customer);
	ticket->id = g_strdup(id);
	ticket->received_ms = now_ms;
	ticket->done = done;
	ticket->context = context;
	if (!quota->waiting++)
		quota_schedule(quota);
	advance(ticket);
	if (!ticket->admitted)
		return ticket;
	ticket_free(ticket);
	return NULL;
}

void relay_quota_cancel(relay_quota_ticket_t *ticket)
{
	if (ticket->admitted)
		relay_quota_keep(ticket->quota, ticket->customer);
	ticket_free(ticket);
}

void relay_quota_keep(relay_quota_t *quota, const char *customer)
{
	quota_source_keep(quota->source, customer, 1, clock_boot_ms());
}
