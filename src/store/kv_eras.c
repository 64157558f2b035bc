#include "store/kv_eras.h"

#include <inttypes.h>

#include "base/clock.h"
#include "base/log.h"
#include "state/store_revision.h"

typedef struct {
	struct event_base *base;
	kv_store_t *outer;
	kv_store_t *inner;
	int64_t era;	    /* highest era of an answer, 0 before */
	GHashTable *leases; /* lease id -> era in which it was opened */
	GHashTable *calls;  /* call_t, the calls under way */
} eras_t;

/* A call under way. */
typedef struct {
	eras_t *eras;
	kv_done_t done; /* NULL for none */
	void *context;
	int64_t era;	    /* era that the call depends on, 0 for none */
	kv_result_t passed; /* result if the era has passed meanwhile */
	bool opens_lease;
	struct event *timer; /* of a call that fails without being sent */
} call_t;

static void call_free(gpointer data)
{
	call_t *call = data;

	if (call->timer)
		event_free(call->timer);
	g_free(call);
}

/*
 * @param era    era that the call depends on, 0 for none
 * @param passed result if the store is of another era when it answers
 */
static call_t *call_new(eras_t *eras, int64_t era, kv_result_t passed,
			kv_done_t done, void *context)
{
	call_t *call = g_new0(call_t, 1);

	call->eras = eras;
	call->done = done;
	call->context = context;
	call->era = era;
	call->passed = passed;
	g_hash_table_add(eras->calls, call);
	return call;
}

static bool has_passed(const eras_t *eras, int64_t era)
{
	return era && eras->era && era != eras->era;
}

static void deliver(call_t *call, const kv_answer_t *answer)
{
	const kv_done_t done = call->done;
	void *context = call->context;

	g_hash_table_remove(call->eras->calls, call);
	if (done)
		done(context, answer);
}

static void deliver_failure(call_t *call, kv_result_t result)
{
	g_autoptr(GPtrArray) none = g_ptr_array_new();
	const kv_answer_t answer = {
		.result = result, .era = call->eras->era, .items = none};

	deliver(call, &answer);
}

static void on_failed(evutil_socket_t fd, short what, void *context)
{
	call_t *call = context;

	deliver_failure(call, call->passed);
}

/* Fails a call of an era that has passed, after the call has returned. */
static void fail_later(call_t *call, kv_result_t result)
{
	const struct timeval now = clock_timeval(0);

	call->passed = result;
	call->timer = evtimer_new(call->eras->base, on_failed, call);
	event_add(call->timer, &now);
}

static void enter_era(eras_t *eras, int64_t era)
{
	const int64_t before = eras->era;

	eras->era = era;
	if (!before)
		return;
	log_event(LOG_LEVEL_NOTICE, "store_restored",
		  "era=%" PRId64 " before=%" PRId64, era, before);
	if (eras->outer->restored)
		eras->outer->restored(eras->outer->restored_context);
}

static kv_item_t *item_copy(const kv_item_t *item, int64_t era)
{
	kv_item_t *copy = g_new0(kv_item_t, 1);

	copy->key = g_strdup(item->key);
	copy->value = item->value ? g_bytes_ref(item->value) : NULL;
	copy->revision = store_revision_make(era, item->revision);
	copy->deleted = item->deleted;
	return copy;
}

static void deliver_with_era(call_t *call, const kv_answer_t *answer)
{
	g_autoptr(GPtrArray) items =
		g_ptr_array_new_with_free_func((GDestroyNotify)kv_item_free);
	kv_answer_t copy = *answer;

	for (guint i = 0; i < answer->items->len; i++)
		g_ptr_array_add(
			items, item_copy(answer->items->pdata[i], answer->era));
	copy.items = items;
	copy.revision = store_revision_make(answer->era, answer->revision);
	deliver(call, &copy);
}

static void remember_lease(eras_t *eras, int64_t lease)
{
	g_hash_table_replace(eras->leases, g_memdup2(&lease, sizeof(lease)),
			     g_memdup2(&eras->era, sizeof(eras->era)));
}

static void on_answer(void *context, const kv_answer_t *answer)
{
	call_t *call = context;
	eras_t *eras = call->eras;

	if (answer->era > eras->era)
		enter_era(eras, answer->era);
	if (answer->result != KV_OK) {
		deliver_with_era(call, answer);
		return;
	}
	if (answer->era < eras->era) {
		deliver_failure(call, KV_UNKNOWN);
		return;
	}
	if (has_passed(eras, call->era)) {
		deliver_failure(call, call->passed);
		return;
	}
	if (call->opens_lease)
		remember_lease(eras, answer->lease);
	deliver_with_era(call, answer);
}

static void eras_range(void *self, const char *prefix, const char *after_key,
		       kv_done_t done, void *context)
{
	eras_t *eras = self;

	eras->inner->calls->range(eras->inner->self, prefix, after_key,
				  on_answer,
				  call_new(eras, 0, KV_UNKNOWN, done, context));
}

static void eras_range_stale(void *self, const char *prefix, kv_done_t done,
			     void *context)
{
	eras_t *eras = self;

	eras->inner->calls->range_stale(
		eras->inner->self, prefix, on_answer,
		call_new(eras, 0, KV_UNKNOWN, done, context));
}

static void eras_watch(void *self, const char *prefix, int64_t after_revision,
		       uint32_t wait_ms, kv_done_t done, void *context)
{
	eras_t *eras = self;
	const int64_t era = store_revision_era(after_revision);
	call_t *call = call_new(eras, era, KV_COMPACTED, done, context);

	if (has_passed(eras, era))
		fail_later(call, KV_COMPACTED);
	else
		eras->inner->calls->watch(eras->inner->self, prefix,
					  store_revision_number(after_revision),
					  wait_ms, on_answer, call);
}

/* @return the era in which this process opened a lease, 0 if it did not */
static int64_t lease_era(const eras_t *eras, int64_t lease)
{
	const int64_t *era = g_hash_table_lookup(eras->leases, &lease);

	return era ? *era : 0;
}

/* @return the result if a condition or lease is of a passed era, else KV_OK */
static kv_result_t check_transaction(const eras_t *eras,
				     const kv_transaction_t *transaction,
				     int64_t *era)
{
	for (size_t i = 0; i < transaction->puts_count; i++) {
		*era = lease_era(eras, transaction->puts[i].lease);
		if (has_passed(eras, *era))
			return KV_ABSENT;
	}
	for (size_t i = 0; i < transaction->conditions_count; i++) {
		const int64_t revision = transaction->conditions[i].revision;

		if (has_passed(eras, store_revision_era(revision)))
			return KV_CONFLICT;
		*era = MAX(*era, store_revision_era(revision));
	}
	return KV_OK;
}

static void send_transaction(eras_t *eras, const kv_transaction_t *transaction,
			     call_t *call)
{
	const size_t count = transaction->conditions_count;
	g_autofree kv_condition_t *conditions = g_new0(kv_condition_t, count);
	kv_transaction_t sent = *transaction;

	for (size_t i = 0; i < count; i++)
		conditions[i] = (kv_condition_t){
			.key = transaction->conditions[i].key,
			.revision = store_revision_number(
				transaction->conditions[i].revision),
		};
	sent.conditions = conditions;
	eras->inner->calls->commit(eras->inner->self, &sent, on_answer, call);
}

static void eras_commit(void *self, const kv_transaction_t *transaction,
			kv_done_t done, void *context)
{
	eras_t *eras = self;
	int64_t era = 0;
	const kv_result_t result = check_transaction(eras, transaction, &era);
	call_t *call = call_new(eras, era, KV_UNKNOWN, done, context);

	if (result != KV_OK)
		fail_later(call, result);
	else
		send_transaction(eras, transaction, call);
}

static void eras_lease_open(void *self, uint32_t ttl_ms, kv_done_t done,
			    void *context)
{
	eras_t *eras = self;
	call_t *call = call_new(eras, 0, KV_UNKNOWN, done, context);

	call->opens_lease = true;
	eras->inner->calls->lease_open(eras->inner->self, ttl_ms, on_answer,
				       call);
}

static void eras_lease_renew(void *self, int64_t lease, kv_done_t done,
			     void *context)
{
	eras_t *eras = self;
	const int64_t era = lease_era(eras, lease);
	call_t *call = call_new(eras, era, KV_ABSENT, done, context);

	if (has_passed(eras, era))
		fail_later(call, KV_ABSENT);
	else
		eras->inner->calls->lease_renew(eras->inner->self, lease,
						on_answer, call);
}

static void eras_lease_end(void *self, int64_t lease, kv_done_t done,
			   void *context)
{
	eras_t *eras = self;
	const int64_t era = lease_era(eras, lease);
	call_t *call = call_new(eras, era, KV_ABSENT, done, context);

	if (has_passed(eras, era))
		fail_later(call, KV_ABSENT);
	else
		eras->inner->calls->lease_end(eras->inner->self, lease,
					      on_answer, call);
	g_hash_table_remove(eras->leases, &lease);
}

static void eras_destroy(void *self)
{
	eras_t *eras = self;

	kv_store_destroy(eras->inner);
	g_hash_table_destroy(eras->calls);
	g_hash_table_destroy(eras->leases);
	g_free(eras);
}

kv_store_t *kv_eras_create(struct event_base *base, kv_store_t *inner)
{
	static const kv_store_calls_t calls = {
		.range = eras_range,
		.range_stale = eras_range_stale,
		.watch = eras_watch,
		.commit = eras_commit,
		.lease_open = eras_lease_open,
		.lease_renew = eras_lease_renew,
		.lease_end = eras_lease_end,
		.destroy = eras_destroy,
	};
	eras_t *eras = g_new0(eras_t, 1);

	eras->base = base;
	eras->inner = inner;
	eras->leases = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					     g_free, g_free);
	eras->calls = g_hash_table_new_full(g_direct_hash, g_direct_equal,
					    call_free, NULL);
	eras->outer = g_new0(kv_store_t, 1);
	eras->outer->calls = &calls;
	eras->outer->self = eras;
	return eras->outer;
}
