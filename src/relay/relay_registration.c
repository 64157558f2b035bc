#include "relay/relay_registration_private.h"

#include <inttypes.h>

#include "base/clock.h"
#include "base/log.h"
#include "state/lease_record.h"

/* Time to live of the node's lease. */
#define LEASE_TTL_MS 5000

/* Interval between renewals; several fit into PRIMARY_LEASE_VALID_MS. */
#define RENEW_MS 450

/*
 * A renewal that succeeds this long after the one before is reported as a
 * recovery of the store.
 */
#define RECOVERED_MS 1500

/* Delay before a failed registration is retried. */
#define REGISTER_RETRY_MS 200

/*
 * Time after a restore of the store for which the node keeps its earlier
 * registration, while the primary records are written again.
 */
#define RESTORED_MS 15000

/* Maximum number of unanswered renewals. */
#define PENDING_RENEWALS_MAX 6

registration_call_t *registration_call_new(relay_registration_t *registration,
					   int64_t lease)
{
	registration_call_t *call = g_new0(registration_call_t, 1);

	call->registration = registration;
	call->lease = lease;
	call->sent_ms = clock_boot_ms();
	g_hash_table_add(registration->calls, call);
	return call;
}

static void call_free(gpointer data)
{
	registration_call_t *call = data;

	g_clear_pointer(&call->removals, g_ptr_array_unref);
	g_free(call);
}

registration_call_t *registration_call_write(relay_registration_t *registration,
					     int64_t lease)
{
	registration_call_t *call = registration_call_new(registration, lease);

	call->written_ms = call->sent_ms;
	call->removals =
		lease_keys_removable(registration->keys, call->sent_ms);
	return call;
}

registration_call_t registration_call_end(registration_call_t *call,
					  bool written)
{
	registration_call_t copy = *call;

	if (written && call->removals)
		lease_keys_removed(call->registration->keys, call->removals);
	copy.removals = NULL;
	g_hash_table_remove(call->registration->calls, call);
	return copy;
}

static void schedule(relay_registration_t *registration, uint32_t delay_ms)
{
	const struct timeval delay = clock_timeval(delay_ms);

	event_add(registration->timer, &delay);
}

static void log_validity(relay_registration_t *registration)
{
	const bool valid =
		clock_boot_ms() < registration->lease->valid_until_ms;

	if (valid == registration->valid)
		return;
	registration->valid = valid;
	log_event(LOG_LEVEL_NOTICE, valid ? "lease_valid" : "lease_lapsed",
		  "lease=%" PRId64 " registered_at=%" PRId64,
		  registration->lease->lease,
		  registration->lease->registered_at);
}

/*
 * Removes the keys of earlier runs, whose proofs have expired, and confirms
 * what had to wait for that.
 */
static void settle_earlier(relay_registration_t *registration)
{
	const uint64_t now_ms = clock_boot_ms();
	const uint32_t wait_ms =
		lease_keys_settle_ms(registration->keys, now_ms);
	const struct timeval delay = clock_timeval(wait_ms);
	const int64_t next = registration->next_confirmation;
	g_autoptr(GPtrArray) removable = NULL;

	/* The event loop counts from when its iteration began. */
	if (wait_ms) {
		event_add(registration->keys_timer, &delay);
		return;
	}
	removable = lease_keys_removable(registration->keys, now_ms);
	registration->next_confirmation = 0;
	if (removable->len || next)
		relay_registration_confirm(registration, next);
}

static void on_registered(void *context, const kv_answer_t *answer)
{
	const registration_call_t call =
		registration_call_end(context, answer->result == KV_OK);
	relay_registration_t *registration = call.registration;

	registration->opening = false;
	if (answer->result == KV_CONFLICT) {
		log_event(LOG_LEVEL_NOTICE, "hub_key_taken", "key=%s",
			  registration->hub_key);
		g_clear_pointer(&registration->hub_key, g_free);
		registration->handlers.taken(registration->handlers.context);
		return;
	}
	if (answer->result != KV_OK) {
		log_event(LOG_LEVEL_NOTICE, "registration_failed", "result=%s",
			  kv_result_name(answer->result));
		schedule(registration, REGISTER_RETRY_MS);
		return;
	}
	registration->claimed = true;
	registration->restored = false;
	registration->lease->lease = call.lease;
	registration->lease->registered_at = answer->revision;
	registration->key_revision = answer->revision;
	registration_written(registration, call.written_ms);
	node_lease_renewed(registration->lease, call.sent_ms);
	log_event(LOG_LEVEL_NOTICE, "registered",
		  "lease=%" PRId64 " revision=%" PRId64, call.lease,
		  answer->revision);
	schedule(registration, RENEW_MS);
	if (lease_keys_is_listed(registration->keys))
		settle_earlier(registration);
	registration->handlers.registered(registration->handlers.context);
}

/*
 * Gives up the key of the last lease, whose proofs were forgotten before a new
 * one was opened. After a restore of the store they were not.
 */
static void forget_last_key(relay_registration_t *registration)
{
	if (registration->lease_key && !registration->restored)
		lease_keys_forgotten(registration->keys,
				     registration->lease_key);
	g_clear_pointer(&registration->lease_key, g_free);
}

static void register_keys(relay_registration_t *registration, int64_t lease,
			  uint64_t sent_ms)
{
	/*
	 * Each lease has its own key, so that a transaction that takes effect
	 * late cannot overwrite the record of the present lease.
	 */
	g_autofree char *value = g_strdup_printf("%" PRId64, lease);
	g_autofree char *record = registration_encode_record(lease, 0);
	g_autofree char *key = g_strdup_printf(RELAY_LEASES_PREFIX "%s/%s",
					       registration->node, value);
	registration_call_t *call =
		registration_call_write(registration, lease);
	/* After the first time the key is this node's, or nobody's. */
	const kv_condition_t condition = {
		.key = registration->hub_key,
		.revision = registration->hub_revision,
	};
	const kv_put_t puts[] = {
		{.key = key, .value = record},
		{.key = registration->hub_key,
		 .value = registration->description,
		 .lease = lease},
	};
	const kv_transaction_t transaction = {
		.conditions = &condition,
		.conditions_count = registration->claimed ? 0 : 1,
		.puts = puts,
		.puts_count = G_N_ELEMENTS(puts),
		.removals = (const char *const *)call->removals->pdata,
		.removals_count = call->removals->len,
	};

	lease_keys_written(registration->keys, key);
	registration->lease_key = g_strdup(key);
	registration->seen_revision = 0;
	/* The lease counts from when opening it was requested. */
	call->sent_ms = sent_ms;
	registration->store->calls->commit(registration->store->self,
					   &transaction, on_registered, call);
}

static void on_opened(void *context, const kv_answer_t *answer)
{
	const registration_call_t call = registration_call_end(context, false);
	relay_registration_t *registration = call.registration;

	if (answer->result != KV_OK || !answer->lease) {
		registration->opening = false;
		log_event(LOG_LEVEL_NOTICE, "lease_refused", "result=%s",
			  kv_result_name(answer->result));
		schedule(registration, REGISTER_RETRY_MS);
		return;
	}
	forget_last_key(registration);
	register_keys(registration, answer->lease, call.sent_ms);
}

static void on_renewed(void *context, const kv_answer_t *answer)
{
	const registration_call_t call = registration_call_end(context, false);
	relay_registration_t *registration = call.registration;
	node_lease_t *lease = registration->lease;

	registration->pending_renewals--;
	if (call.lease != lease->lease || registration->restored)
		return;
	if (answer->result == KV_OK) {
		const bool lapsed = clock_boot_ms() >= lease->valid_until_ms;
		const bool recovered =
			registration->interrupted ||
			call.sent_ms > lease->renewed_ms + RECOVERED_MS;

		registration->interrupted = false;
		node_lease_renewed(lease, call.sent_ms);
		if (recovered)
			registration->handlers.recovered(
				registration->handlers.context);
		log_validity(registration);
		if (lapsed)
			relay_services_wake(registration->services);
		registration_refresh(registration);
	} else if (answer->result == KV_ABSENT) {
		log_event(LOG_LEVEL_NOTICE, "lease_ended", "lease=%" PRId64,
			  lease->lease);
		relay_services_forget_proofs(registration->services);
		schedule(registration, 0);
	} else {
		/* The outage may have swallowed a watch as well. */
		registration->interrupted = true;
	}
}

static void open_lease(relay_registration_t *registration)
{
	registration->opening = true;
	registration->store->calls->lease_open(
		registration->store->self, LEASE_TTL_MS, on_opened,
		registration_call_new(registration, 0));
}

static void renew(relay_registration_t *registration)
{
	if (registration->pending_renewals >= PENDING_RENEWALS_MAX)
		return;
	registration->pending_renewals++;
	registration->store->calls->lease_renew(
		registration->store->self, registration->lease->lease,
		on_renewed,
		registration_call_new(registration,
				      registration->lease->lease));
}

/* Registers the lease or renews it, whichever is due. */
static void step(relay_registration_t *registration)
{
	if (registration->leaving || registration->opening ||
	    registration->settling || !registration->hub_key)
		return;
	log_validity(registration);
	if (registration->restored) {
		if (clock_boot_ms() < registration->restored_ms + RESTORED_MS)
			schedule(registration, RENEW_MS);
		else
			open_lease(registration);
		return;
	}
	if (registration->lease->lease &&
	    clock_boot_ms() >= registration->expiry_ms)
		relay_services_forget_proofs(registration->services);
	if (!registration->lease->lease) {
		registration->settling = true;
		registration->handlers.settle(registration->handlers.context);
		return;
	}
	renew(registration);
	schedule(registration, RENEW_MS);
}

static void on_timer(evutil_socket_t fd, short what, void *context)
{
	step(context);
}

static void list_keys(relay_registration_t *registration, const char *after);

static void on_keys_listed(void *context, const kv_answer_t *answer)
{
	const registration_call_t call = registration_call_end(context, false);
	relay_registration_t *registration = call.registration;
	const struct timeval retry = clock_timeval(REGISTER_RETRY_MS);
	const kv_item_t *last = NULL;

	if (answer->result != KV_OK) {
		event_add(registration->keys_timer, &retry);
		return;
	}
	for (guint i = 0; i < answer->items->len; i++) {
		last = answer->items->pdata[i];
		lease_keys_found(registration->keys, last->key);
	}
	if (answer->has_more && last) {
		list_keys(registration, last->key);
		return;
	}
	lease_keys_listed(registration->keys);
	settle_earlier(registration);
}

/* Lists the keys of the node's leases: earlier runs may have left some. */
static void list_keys(relay_registration_t *registration, const char *after)
{
	g_autofree char *prefix =
		g_strdup_printf(RELAY_LEASES_PREFIX "%s/", registration->node);

	registration->store->calls->range(
		registration->store->self, prefix, after, on_keys_listed,
		registration_call_new(registration, 0));
}

static void on_keys_timer(evutil_socket_t fd, short what, void *context)
{
	relay_registration_t *registration = context;

	if (registration->leaving)
		return;
	if (lease_keys_is_listed(registration->keys))
		settle_earlier(registration);
	else
		list_keys(registration, NULL);
}

relay_registration_t *
relay_registration_create(struct event_base *base, kv_store_t *store,
			  relay_services_t *services, const char *node,
			  const char *description,
			  relay_registration_handlers_t handlers)
{
	relay_registration_t *registration = g_new0(relay_registration_t, 1);

	registration->store = store;
	registration->services = services;
	registration->lease = relay_services_lease(services);
	registration->node = g_strdup(node);
	registration->description = g_strdup(description);
	registration->calls = g_hash_table_new_full(
		g_direct_hash, g_direct_equal, call_free, NULL);
	registration->timer = evtimer_new(base, on_timer, registration);
	registration->keys = lease_keys_create(clock_boot_ms());
	registration->keys_timer =
		evtimer_new(base, on_keys_timer, registration);
	registration->handlers = handlers;
	return registration;
}

void relay_registration_claim(relay_registration_t *registration,
			      const char *key, int64_t revision)
{
	g_free(registration->hub_key);
	registration->hub_key = g_strdup(key);
	registration->hub_revision = revision;
	/*
	 * At once, so that opening the lease takes the connection on which the
	 * store has just answered: the watches that start now open their own,
	 * 40 ms later in another region, and registering must not wait for it.
	 */
	event_del(registration->timer);
	step(registration);
	if (!registration->listing)
		list_keys(registration, NULL);
	registration->listing = true;
}

const char *relay_registration_key(const relay_registration_t *registration)
{
	return registration->hub_key;
}

void relay_registration_settled(relay_registration_t *registration)
{
	if (!registration->settling)
		return;
	registration->settling = false;
	if (!registration->leaving)
		open_lease(registration);
}

bool relay_registration_is_active(const relay_registration_t *registration)
{
	return !registration->leaving && !registration->opening &&
	       !registration->settling && !registration->restored &&
	       registration->lease->lease;
}

void relay_registration_restored(relay_registration_t *registration)
{
	/* Of two restores the later one counts. */
	if (registration->restored)
		registration->restored_ms = clock_boot_ms();
	if (!relay_registration_is_active(registration))
		return;
	log_event(LOG_LEVEL_NOTICE, "registration_restored", "lease=%" PRId64,
		  registration->lease->lease);
	registration->restored = true;
	registration->restored_ms = clock_boot_ms();
	schedule(registration, RENEW_MS);
}

void relay_registration_records_restored(relay_registration_t *registration)
{
	if (!registration->restored || registration->leaving ||
	    registration->opening)
		return;
	registration->restored_ms = 0;
	open_lease(registration);
}

void relay_registration_destroy(relay_registration_t *registration)
{
	if (!registration)
		return;
	event_free(registration->timer);
	event_free(registration->keys_timer);
	g_hash_table_destroy(registration->calls);
	lease_keys_destroy(registration->keys);
	g_free(registration->node);
	g_free(registration->lease_key);
	g_free(registration->hub_key);
	g_free(registration->description);
	g_free(registration);
}

void relay_registration_key_removed(relay_registration_t *registration,
				    int64_t revision)
{
	if (!relay_registration_is_active(registration) ||
	    revision <= registration->lease->registered_at)
		return;
	log_event(LOG_LEVEL_NOTICE, "registration_removed", "lease=%" PRId64,
		  registration->lease->lease);
	relay_services_forget_proofs(registration->services);
	schedule(registration, 0);
}

void relay_registration_renew(relay_registration_t *registration)
{
	if (!relay_registration_is_active(registration))
		return;
	relay_services_forget_proofs(registration->services);
	schedule(registration, 0);
}

void relay_registration_leave(relay_registration_t *registration)
{
	const char *const removals[] = {registration->lease_key,
					registration->hub_key};
	const kv_transaction_t transaction = {
		.removals = removals,
		.removals_count = G_N_ELEMENTS(removals),
	};

	if (registration->leaving)
		return;
	registration->leaving = true;
	relay_services_forget_proofs(registration->services);
	if (registration->lease_key)
		registration->store->calls->commit(registration->store->self,
						   &transaction, NULL, NULL);
}
