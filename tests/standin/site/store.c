#include "standin/site/store.h"

#include <inttypes.h>
#include <string.h>

#include <jansson.h>

#include "base/clock.h"
#include "standin/common/http.h"
#include "standin/site/store_data.h"

#define HTTP_CONFLICT 412
#define HTTP_COMPACTED 410
/** Interval at which expired leases and watches are ended. */
#define SWEEP_MS 50

/* Limits of one page of a range, as the platform's. */
#define PAGE_ITEMS_MAX 500u
#define PAGE_BYTES_MAX (1000u * 1000)

/** A call that waits for a change of a key with a prefix. */
typedef struct {
	site_store_t *store;
	struct evhttp_request *request;
	char *prefix;
	int64_t after;	   /**< only changes of a later revision count */
	uint64_t until_ms; /**< when the call is answered without a change */
} watch_t;

/** An answer that the store's slowness delays. */
typedef struct {
	const site_store_t *store;
	struct evhttp_request *request;
	int status;
	json_t *body;
	struct event *timer;
} delayed_t;

struct site_store {
	struct event_base *base;
	store_data_t *data;
	store_data_t *copy;  /**< restored by site_store_restore(), or NULL */
	int64_t era;	     /**< 1, and one more with each restore */
	GPtrArray *watches;  /**< of watch_t */
	struct event *sweep; /**< ends expired leases and watches */
	site_store_faults_t faults;
};

static json_t *change_json(const store_change_t *change)
{
	if (!change->value)
		return json_pack("{s:s,s:I,s:b}", "key", change->key,
				 "revision", (json_int_t)change->revision,
				 "deleted", 1);
	return json_pack("{s:s,s:s,s:I,s:I}", "key", change->key, "value",
			 change->value, "revision",
			 (json_int_t)change->revision, "lease",
			 (json_int_t)change->lease);
}

static json_t *item_json(const store_item_t *item)
{
	return json_pack("{s:s,s:s,s:I,s:I,s:I}", "key", item->key, "value",
			 item->value, "revision", (json_int_t)item->revision,
			 "created", (json_int_t)item->created, "lease",
			 (json_int_t)item->lease);
}

static void reply_now(const site_store_t *store, struct evhttp_request *request,
		      int status, json_t *body)
{
	g_autofree char *text =
		body ? json_dumps(body, JSON_COMPACT) : g_strdup("{}");
	g_autofree char *era = g_strdup_printf("%" PRId64, store->era);

	evhttp_add_header(evhttp_request_get_output_headers(request),
			  "Store-Era", era);
	http_reply_text(request, status, text);
	json_decref(body);
}

static void on_delayed(evutil_socket_t fd, short what, void *context)
{
	delayed_t *delayed = context;

	reply_now(delayed->store, delayed->request, delayed->status,
		  delayed->body);
	event_free(delayed->timer);
	g_free(delayed);
}

static void reply(site_store_t *store, struct evhttp_request *request,
		  int status, json_t *body)
{
	const struct timeval delay = clock_timeval(store->faults.slow_ms);
	delayed_t *delayed;

	if (!store->faults.slow_ms) {
		reply_now(store, request, status, body);
		return;
	}
	delayed = g_new0(delayed_t, 1);
	delayed->store = store;
	delayed->request = request;
	delayed->status = status;
	delayed->body = body;
	delayed->timer = evtimer_new(store->base, on_delayed, delayed);
	event_add(delayed->timer, &delay);
}

static json_t *changes_after(site_store_t *store, const char *prefix,
			     int64_t after)
{
	json_t *events = json_array();

	for (guint i = 0; i < store->data->changes->len; i++) {
		const store_change_t *change = store->data->changes->pdata[i];

		if (change->revision > after &&
		    g_str_has_prefix(change->key, prefix))
			json_array_append_new(events, change_json(change));
	}
	return events;
}

static void watch_reply(watch_t *watch, json_t *events)
{
	site_store_t *store = watch->store;

	g_ptr_array_remove_fast(store->watches, watch);
	reply(store, watch->request, HTTP_OK,
	      json_pack("{s:o,s:I}", "events", events, "current_rev",
			(json_int_t)store->data->revision));
	g_free(watch->prefix);
	g_free(watch);
}

static void wake_watches(site_store_t *store)
{
	const uint64_t now_ms = clock_now_ms();

	for (guint i = store->watches->len; i > 0; i--) {
		watch_t *watch = store->watches->pdata[i - 1];
		json_t *events =
			changes_after(store, watch->prefix, watch->after);

		if (json_array_size(events) || now_ms >= watch->until_ms)
			watch_reply(watch, events);
		else
			json_decref(events);
	}
}

void site_store_put(site_store_t *store, const char *key, const char *value)
{
	g_autofree char *encoded =
		g_base64_encode((const guchar *)value, strlen(value));

	store->data->revision++;
	store_data_set(store->data, key, encoded, 0);
	wake_watches(store);
}

void site_store_remove(site_store_t *store, const char *key)
{
	store->data->revision++;
	store_data_drop(store->data, key);
	wake_watches(store);
}

void site_store_compact(site_store_t *store)
{
	g_ptr_array_set_size(store->data->changes, 0);
	store->data->compacted = store->data->revision;
}

void site_store_keep_copy(site_store_t *store)
{
	store_data_destroy(store->copy);
	store->copy = store_data_copy(store->data);
}

/* The pending watches are not answered, as those of a stopped store. */
static void forget_watches(site_store_t *store)
{
	for (guint i = 0; i < store->watches->len; i++) {
		watch_t *watch = store->watches->pdata[i];

		g_free(watch->prefix);
		g_free(watch);
	}
	g_ptr_array_set_size(store->watches, 0);
}

void site_store_restore(site_store_t *store)
{
	if (!store->copy)
		return;
	forget_watches(store);
	store_data_destroy(store->data);
	store->data = store_data_copy(store->copy);
	store->era++;
}

site_store_faults_t *site_store_faults(site_store_t *store)
{
	return &store->faults;
}

/** The keys of one lease, collected from the tree. */
typedef struct {
	int64_t lease;
	GPtrArray *names; /**< of char *, the keys */
} lease_keys_t;

static gboolean collect_leased(gpointer key, gpointer value, gpointer data)
{
	lease_keys_t *found = data;

	if (((store_item_t *)value)->lease == found->lease)
		g_ptr_array_add(found->names, g_strdup(key));
	return FALSE;
}

/* Ends a lease and removes its keys. */
static void end_lease(site_store_t *store, int64_t lease)
{
	g_autoptr(GPtrArray) list = g_ptr_array_new_with_free_func(g_free);
	lease_keys_t found = {.lease = lease, .names = list};

	g_hash_table_remove(store->data->leases, &lease);
	g_tree_foreach(store->data->items, collect_leased, &found);
	if (!list->len)
		return;
	store->data->revision++;
	for (guint i = 0; i < list->len; i++)
		store_data_drop(store->data, list->pdata[i]);
}

static void on_sweep(evutil_socket_t fd, short what, void *context)
{
	site_store_t *store = context;
	g_autoptr(GArray) ended = g_array_new(FALSE, FALSE, sizeof(int64_t));
	GHashTableIter iter;
	gpointer id;
	gpointer lease;

	g_hash_table_iter_init(&iter, store->data->leases);
	while (g_hash_table_iter_next(&iter, &id, &lease))
		if (clock_now_ms() >= ((store_lease_t *)lease)->expires_ms)
			g_array_append_val(ended, *(int64_t *)id);
	for (guint i = 0; i < ended->len; i++)
		end_lease(store, g_array_index(ended, int64_t, i));
	wake_watches(store);
}

/** The items with one prefix, collected from the tree. */
typedef struct {
	const char *prefix;
	json_t *items;
	const char *after; /* key after which the page begins, or NULL */
	size_t size_bytes; /* of the page so far */
	bool has_more;
} range_t;

/* Adds an item to the page. @return TRUE once the page is full */
static gboolean collect_range(gpointer key, gpointer value, gpointer data)
{
	range_t *range = data;
	json_t *item;

	if (!g_str_has_prefix(key, range->prefix) ||
	    (range->after && strcmp(key, range->after) <= 0))
		return FALSE;
	if (json_array_size(range->items) >= PAGE_ITEMS_MAX ||
	    range->size_bytes >= PAGE_BYTES_MAX) {
		range->has_more = true;
		return TRUE;
	}
	item = item_json(value);
	range->size_bytes += json_string_length(json_object_get(item, "value"));
	json_array_append_new(range->items, item);
	return FALSE;
}

static void serve_range(site_store_t *store, struct evhttp_request *request)
{
	g_autofree char *prefix = http_argument(request, "prefix");
	g_autofree char *after = http_argument(request, "after");
	range_t range = {.prefix = prefix ? prefix : "",
			 .items = json_array(),
			 .after = after};

	g_tree_foreach(store->data->items, collect_range, &range);
	reply(store, request, HTTP_OK,
	      json_pack("{s:o,s:b,s:I}", "items", range.items, "has_more",
			range.has_more, "current_rev",
			(json_int_t)store->data->revision));
}

static void serve_watch(site_store_t *store, struct evhttp_request *request)
{
	g_autofree char *prefix = http_argument(request, "prefix");
	const int64_t after = http_number(request, "after", 0);
	watch_t *watch;

	if (after < store->data->compacted || after > store->data->revision) {
		reply(store, request, HTTP_COMPACTED, NULL);
		return;
	}
	watch = g_new0(watch_t, 1);
	watch->store = store;
	watch->request = request;
	watch->prefix = g_strdup(prefix ? prefix : "");
	watch->after = after;
	watch->until_ms =
		clock_now_ms() + (uint64_t)http_number(request, "wait_ms", 0);
	g_ptr_array_add(store->watches, watch);
	wake_watches(store);
}

/* @return whether each key has its expected revision; 0 if absent. */
static bool conditions_hold(site_store_t *store, json_t *conditions)
{
	size_t i;
	json_t *row;

	json_array_foreach(conditions, i, row)
	{
		const char *key =
			json_string_value(json_object_get(row, "key"));
		const store_item_t *item =
			g_tree_lookup(store->data->items, key);
		const int64_t wanted =
			json_integer_value(json_object_get(row, "revision"));

		if ((item ? item->revision : 0) != wanted)
			return false;
	}
	return true;
}

/* @return whether the lease of each put exists. */
static bool leases_exist(site_store_t *store, json_t *puts)
{
	size_t i;
	json_t *put;

	json_array_foreach(puts, i, put)
	{
		const int64_t lease =
			json_integer_value(json_object_get(put, "lease"));

		if (lease &&
		    !g_hash_table_contains(store->data->leases, &lease))
			return false;
	}
	return true;
}

static void apply_commit(site_store_t *store, json_t *body)
{
	size_t i;
	json_t *row;

	store->data->revision++;
	json_array_foreach(json_object_get(body, "puts"), i, row)
		store_data_set(
			store->data,
			json_string_value(json_object_get(row, "key")),
			json_string_value(json_object_get(row, "value")),
			json_integer_value(json_object_get(row, "lease")));
	json_array_foreach(json_object_get(body, "remove"), i, row)
		store_data_drop(store->data, json_string_value(row));
}

static void serve_commit(site_store_t *store, struct evhttp_request *request)
{
	g_autofree char *text = http_body(request);
	json_t *body = json_loads(text, 0, NULL);

	if (!conditions_hold(store, json_object_get(body, "expected_rev"))) {
		reply(store, request, HTTP_CONFLICT, NULL);
	} else if (!leases_exist(store, json_object_get(body, "puts"))) {
		reply(store, request, HTTP_NOTFOUND, NULL);
	} else {
		apply_commit(store, body);
		reply(store, request, HTTP_OK,
		      json_pack("{s:I}", "revision",
				(json_int_t)store->data->revision));
		wake_watches(store);
	}
	json_decref(body);
}

static void serve_lease_create(site_store_t *store,
			       struct evhttp_request *request)
{
	g_autofree char *text = http_body(request);
	json_t *body = json_loads(text, 0, NULL);
	store_lease_t *lease = g_new0(store_lease_t, 1);
	int64_t *id = g_new(int64_t, 1);

	*id = ++store->data->last_lease_id;
	lease->ttl_ms =
		(uint32_t)json_integer_value(json_object_get(body, "ttl_ms"));
	lease->expires_ms = clock_now_ms() + lease->ttl_ms;
	g_hash_table_insert(store->data->leases, id, lease);
	reply(store, request, HTTP_OK,
	      json_pack("{s:I,s:i}", "lease", (json_int_t)*id, "ttl_ms",
			(int)lease->ttl_ms));
	json_decref(body);
}

static void serve_lease_renew(site_store_t *store,
			      struct evhttp_request *request, int64_t id)
{
	store_lease_t *lease = g_hash_table_lookup(store->data->leases, &id);

	if (!lease) {
		reply(store, request, HTTP_NOTFOUND, NULL);
		return;
	}
	lease->expires_ms = clock_now_ms() + lease->ttl_ms;
	reply(store, request, HTTP_OK, NULL);
}

static void serve_lease_end(site_store_t *store, struct evhttp_request *request,
			    int64_t id)
{
	const bool known = g_hash_table_contains(store->data->leases, &id);

	end_lease(store, id);
	wake_watches(store);
	reply(store, request, known ? HTTP_OK : HTTP_NOTFOUND, NULL);
}

/* @return whether a fault prevents the call from being served. */
static bool serve_fault(site_store_t *store, struct evhttp_request *request)
{
	const uint64_t now_ms = clock_now_ms();

	if (now_ms < store->faults.unresponsive_until_ms)
		return true; /* ended by the timeout of the calling node */
	if (now_ms < store->faults.down_until_ms) {
		reply_now(store, request, HTTP_SERVUNAVAIL, NULL);
		return true;
	}
	return false;
}

void site_store_serve(site_store_t *store, struct evhttp_request *request)
{
	const char *path =
		evhttp_uri_get_path(evhttp_request_get_evhttp_uri(request));
	const char *number = strrchr(path, '/') + 1;
	const int64_t id = g_ascii_strtoll(number, NULL, 10);

	if (serve_fault(store, request))
		return;
	if (!strcmp(path, "/kv-range"))
		serve_range(store, request);
	else if (!strcmp(path, "/kv-watch"))
		serve_watch(store, request);
	else if (!strcmp(path, "/kv-txn"))
		serve_commit(store, request);
	else if (!strcmp(path, "/kv-lease"))
		serve_lease_create(store, request);
	else if (g_str_has_prefix(path, "/kv-keep/"))
		serve_lease_renew(store, request, id);
	else if (g_str_has_prefix(path, "/kv-lease-end/"))
		serve_lease_end(store, request, id);
	else
		reply_now(store, request, HTTP_NOTFOUND, NULL);
}

site_store_t *site_store_create(struct event_base *base)
{
	site_store_t *store = g_new0(site_store_t, 1);
	const struct timeval step = clock_timeval(SWEEP_MS);

	store->base = base;
	store->era = 1;
	store->data = store_data_create();
	store->watches = g_ptr_array_new();
	store->sweep = event_new(base, -1, EV_PERSIST, on_sweep, store);
	event_add(store->sweep, &step);
	return store;
}
