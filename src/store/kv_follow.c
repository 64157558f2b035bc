#include "store/kv_follow.h"

#include <inttypes.h>

#include "base/clock.h"
#include "base/log.h"

/*
 * Time after which the store answers a watch even without a change. A watch may
 * be lost without a sign; for so long a change is not noticed then.
 */
#define KV_FOLLOW_WAIT_MS 3500

/* Initial and maximum delay before a failed call is retried; it doubles. */
#define KV_FOLLOW_RETRY_MS 100
#define KV_FOLLOW_RETRY_MS_MAX 800

/* A pending list or watch call. */
typedef struct {
	kv_follow_t *follow;
	uint32_t round;
	uint64_t sent_ms;
} follow_call_t;

struct kv_follow {
	struct event_base *base;
	kv_store_t *store;
	char *prefix;
	uint32_t pause_ms;
	kv_follow_handlers_t handlers;
	struct event *timer;
	GHashTable *calls;   /* pending follow_call_t */
	GHashTable *known;   /* reported keys that are not removed */
	GHashTable *listing; /* keys of the current listing, or NULL */
	int64_t listing_revision;
	uint64_t listing_sent_ms;
	int64_t revision; /* 0 if the keys must be listed */
	uint32_t round; /* number of restarts; calls of other rounds are void */
	uint32_t retry_ms; /* delay after the next failed call */
	bool reachable;	   /* the last call was answered */
};

static void list_page(kv_follow_t *follow, const char *after_key);

static follow_call_t *call_new(kv_follow_t *follow)
{
	follow_call_t *call = g_new0(follow_call_t, 1);

	call->follow = follow;
	call->round = follow->round;
	call->sent_ms = clock_boot_ms();
	g_hash_table_add(follow->calls, call);
	return call;
}

/* @return the follower, or NULL if it was restarted since the call */
static kv_follow_t *call_end(follow_call_t *call)
{
	kv_follow_t *follow = call->follow;
	const uint32_t round = call->round;

	g_hash_table_remove(follow->calls, call);
	return round == follow->round ? follow : NULL;
}

/* @param sent_ms when the call was sent that was answered or failed */
static void set_reachable(kv_follow_t *follow, bool reachable, uint64_t sent_ms)
{
	if (reachable)
		follow->retry_ms = KV_FOLLOW_RETRY_MS;
	if (follow->reachable == reachable)
		return;
	follow->reachable = reachable;
	log_event(LOG_LEVEL_NOTICE, reachable ? "store_reached" : "store_lost",
		  "prefix=%s revision=%" PRId64 " after_ms=%" PRIu64,
		  follow->prefix, follow->revision, clock_boot_ms() - sent_ms);
	if (follow->handlers.reachability_changed)
		follow->handlers.reachability_changed(follow->handlers.context,
						      reachable);
}

static void schedule(kv_follow_t *follow, uint32_t delay_ms)
{
	const struct timeval delay = clock_timeval(delay_ms);

	event_add(follow->timer, &delay);
}

static void retry(kv_follow_t *follow, uint64_t sent_ms)
{
	set_reachable(follow, false, sent_ms);
	schedule(follow, follow->retry_ms);
	follow->retry_ms = MIN(2 * follow->retry_ms, KV_FOLLOW_RETRY_MS_MAX);
}

static void notify_changed(kv_follow_t *follow, const kv_item_t *item)
{
	if (item->deleted)
		g_hash_table_remove(follow->known, item->key);
	else
		g_hash_table_add(follow->known, g_strdup(item->key));
	follow->handlers.changed(follow->handlers.context, item);
}

static void notify_removed(kv_follow_t *follow)
{
	g_autoptr(GPtrArray) removed = g_ptr_array_new_with_free_func(g_free);
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, follow->known);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		if (!g_hash_table_contains(follow->listing, key))
			g_ptr_array_add(removed, g_strdup(key));
	for (guint i = 0; i < removed->len; i++) {
		const kv_item_t item = {.key = removed->pdata[i],
					.revision = follow->listing_revision,
					.deleted = true};

		notify_changed(follow, &item);
	}
}

static void notify_synced(kv_follow_t *follow, int64_t revision,
			  uint64_t sent_ms)
{
	follow->revision = revision;
	follow->handlers.synced(follow->handlers.context, revision, sent_ms);
}

static void on_watched(void *context, const kv_answer_t *answer)
{
	const uint64_t sent_ms = ((follow_call_t *)context)->sent_ms;
	kv_follow_t *follow = call_end(context);

	if (!follow)
		return;
	/* A list has pages, the changes of a watch come all at once. */
	if (answer->result == KV_COMPACTED || answer->result == KV_TOO_LARGE) {
		log_event(LOG_LEVEL_NOTICE, "store_history_lost",
			  "prefix=%s revision=%" PRId64 " era=%" PRId64
			  " reason=%s",
			  follow->prefix, follow->revision, answer->era,
			  kv_result_name(answer->result));
		follow->revision = 0;
		schedule(follow, 0);
		return;
	}
	if (answer->result != KV_OK) {
		retry(follow, sent_ms);
		return;
	}
	set_reachable(follow, true, sent_ms);
	log_event(LOG_LEVEL_INFO, "store_changed",
		  "after=%" PRId64 " revision=%" PRId64 " era=%" PRId64
		  " items=%u first=%s",
		  follow->revision, answer->revision, answer->era,
		  answer->items->len,
		  answer->items->len ?
			  ((kv_item_t *)answer->items->pdata[0])->key :
			  "-");
	for (guint i = 0; i < answer->items->len; i++)
		notify_changed(follow, answer->items->pdata[i]);
	notify_synced(follow, MAX(answer->revision, follow->revision), sent_ms);
	schedule(follow, answer->items->len ? follow->pause_ms : 0);
}

static void on_listed(void *context, const kv_answer_t *answer)
{
	const uint64_t sent_ms = ((follow_call_t *)context)->sent_ms;
	kv_follow_t *follow = call_end(context);
	const kv_item_t *item = NULL;

	if (!follow)
		return;
	if (answer->result != KV_OK) {
		retry(follow, sent_ms);
		return;
	}
	set_reachable(follow, true, sent_ms);
	/* The watch reports the changes that were made between the pages. */
	if (!follow->listing_revision)
		follow->listing_revision = answer->revision;
	for (guint i = 0; i < answer->items->len; i++) {
		item = answer->items->pdata[i];
		g_hash_table_add(follow->listing, g_strdup(item->key));
		notify_changed(follow, item);
	}
	if (answer->has_more && item) {
		list_page(follow, item->key);
		return;
	}
	notify_removed(follow);
	g_clear_pointer(&follow->listing, g_hash_table_destroy);
	notify_synced(follow, follow->listing_revision,
		      follow->listing_sent_ms);
	schedule(follow, 0);
}

static void list_page(kv_follow_t *follow, const char *after_key)
{
	follow->store->calls->range(follow->store->self, follow->prefix,
				    after_key, on_listed, call_new(follow));
}

static void on_timer(evutil_socket_t fd, short what, void *context)
{
	kv_follow_t *follow = context;

	if (follow->revision) {
		follow->store->calls->watch(follow->store->self, follow->prefix,
					    follow->revision, KV_FOLLOW_WAIT_MS,
					    on_watched, call_new(follow));
		return;
	}
	g_clear_pointer(&follow->listing, g_hash_table_destroy);
	follow->listing =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	follow->listing_revision = 0;
	follow->listing_sent_ms = clock_boot_ms();
	list_page(follow, NULL);
}

kv_follow_t *kv_follow_create(struct event_base *base, kv_store_t *store,
			      const char *prefix, uint32_t pause_ms,
			      kv_follow_handlers_t handlers)
{
	kv_follow_t *follow = g_new0(kv_follow_t, 1);

	follow->base = base;
	follow->store = store;
	follow->prefix = g_strdup(prefix);
	follow->pause_ms = pause_ms;
	follow->handlers = handlers;
	follow->retry_ms = KV_FOLLOW_RETRY_MS;
	follow->calls = g_hash_table_new_full(g_direct_hash, g_direct_equal,
					      g_free, NULL);
	follow->known =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	follow->timer = evtimer_new(base, on_timer, follow);
	schedule(follow, 0);
	return follow;
}

void kv_follow_restart(kv_follow_t *follow)
{
	follow->round++;
	schedule(follow, 0);
}

void kv_follow_relist(kv_follow_t *follow)
{
	follow->revision = 0;
	kv_follow_restart(follow);
}

void kv_follow_stop(kv_follow_t *follow)
{
	follow->round++;
	event_del(follow->timer);
}

void kv_follow_destroy(kv_follow_t *follow)
{
	if (!follow)
		return;
	event_free(follow->timer);
	g_hash_table_destroy(follow->calls);
	g_hash_table_destroy(follow->known);
	g_clear_pointer(&follow->listing, g_hash_table_destroy);
	g_free(follow->prefix);
	g_free(follow);
}
