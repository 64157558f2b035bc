#include "standin/platform/platform.h"

#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>

#include "base/clock.h"
#include "standin/common/http.h"

#define KV_PREFIX "/v1/kv/"
#define RENEW_PREFIX "/v1/session/renew/"
#define DESTROY_PREFIX "/v1/session/destroy/"
/** Wait of a watch without the query parameter "wait". */
#define WAIT_DEFAULT_MS 300000
/** Maximum wait of a watch. */
#define WAIT_MAX_MS 600000
/** A call that hangs in an outage is answered 503 after this time. */
#define HANG_MAX_MS 3600000u

typedef struct call call_t;

/** A call in progress. It is freed unanswered if its connection closes. */
struct call {
	platform_t *platform;
	struct evhttp_request *request;
	void (*answer)(call_t *call); /**< not used */
	char *key;		      /**< NULL for the list of VMs */
	uint64_t after;		      /**< a watch waits for a higher index */
	uint64_t wait_ends_ms;	      /**< not used */
	struct event *timer;	      /**< end of a wait or of a delay */
	int status;		      /**< HTTP status of the answer */
	json_t *body;		      /**< body of the answer, or NULL */
};

static void call_free(call_t *call)
{
	if (call->timer)
		event_free(call->timer);
	json_decref(call->body);
	g_free(call->key);
	g_free(call);
}

static void on_client_gone(struct evhttp_connection *connection, void *context)
{
	call_t *call = context;

	g_ptr_array_remove_fast(call->platform->watches, call);
	call_free(call);
}

static void call_reply(call_t *call)
{
	struct evhttp_connection *connection =
		evhttp_request_get_connection(call->request);

	if (connection)
		evhttp_connection_set_closecb(connection, NULL, NULL);
	if (call->status == HTTP_OK)
		http_reply_json(call->request, json_incref(call->body));
	else
		http_reply_text(call->request, call->status, "");
	call_free(call);
}

static void on_delay_over(evutil_socket_t fd, short what, void *context)
{
	call_reply(context);
}

static void call_set_timer(call_t *call, event_callback_fn what, uint64_t ms)
{
	struct timeval wait = {.tv_sec = (time_t)(ms / 1000),
			       .tv_usec = (suseconds_t)(ms % 1000 * 1000)};

	if (call->timer)
		event_free(call->timer);
	call->timer = event_new(call->platform->base, -1, 0, what, call);
	event_add(call->timer, &wait);
}

/* Sends the answer, after the delay of a slow platform. */
static void call_finish(call_t *call, int status, json_t *body)
{
	const platform_faults_t *faults = &call->platform->faults;

	call->status = status;
	call->body = body;
	if (faults->slow_ms && clock_now_ms() < faults->slow_until_ms)
		call_set_timer(call, on_delay_over, faults->slow_ms);
	else
		call_reply(call);
}

/* Closes the connection without an answer; the write has taken effect. */
static void call_drop_answer(call_t *call)
{
	struct evhttp_connection *connection =
		evhttp_request_get_connection(call->request);

	call->platform->faults.lose_answers--;
	evhttp_connection_set_closecb(connection, NULL, NULL);
	evhttp_connection_free(connection);
	call_free(call);
}

static void finish_write(call_t *call, json_t *body)
{
	platform_t *platform = call->platform;

	if (platform->faults.lose_answers)
		call_drop_answer(call);
	else
		call_finish(call, HTTP_OK, body);
	api_answer_changed_watches(platform);
}

static void add_index(const call_t *call, uint64_t index)
{
	char text[24];

	g_snprintf(text, sizeof(text), "%" G_GUINT64_FORMAT, index);
	evhttp_add_header(evhttp_request_get_output_headers(call->request),
			  "X-Consul-Index", text);
}

/* @return index of the last change of what the call reads; 0 if absent. */
static uint64_t watched_index(const call_t *call)
{
	const kv_entry_t *entry;

	if (!call->key)
		return call->platform->nodes_index;
	entry = kv_get(&call->platform->kv, call->key);
	return entry ? entry->index : 0;
}

static json_t *entry_to_json(const char *key, const kv_entry_t *entry)
{
	gsize size_bytes;
	const guchar *bytes = g_bytes_get_data(entry->value, &size_bytes);
	g_autofree char *value = g_base64_encode(bytes, size_bytes);
	json_t *node =
		json_pack("{s:s,s:s,s:I,s:I,s:i}", "Key", key, "Value", value,
			  "ModifyIndex", (json_int_t)entry->index,
			  "CreateIndex", (json_int_t)entry->index, "Flags", 0);

	if (entry->session_id)
		json_object_set_new(node, "Session",
				    json_string(entry->session_id));
	return json_pack("[o]", node);
}

static void answer_read(call_t *call)
{
	const platform_t *platform = call->platform;
	const kv_entry_t *entry;

	if (!call->key) {
		add_index(call, platform->nodes_index);
		call_finish(call, HTTP_OK, json_deep_copy(platform->nodes));
		return;
	}
	entry = kv_get(&platform->kv, call->key);
	add_index(call, entry ? entry->index : platform->kv.index);
	if (entry)
		call_finish(call, HTTP_OK, entry_to_json(call->key, entry));
	else
		call_finish(call, HTTP_NOTFOUND, NULL);
}

static void on_wait_over(evutil_socket_t fd, short what, void *context)
{
	call_t *call = context;

	g_ptr_array_remove_fast(call->platform->watches, call);
	answer_read(call);
}

static void start_read(call_t *call)
{
	platform_t *platform = call->platform;
	int64_t after = http_number(call->request, "index", 0);
	int64_t wait_ms = http_number(call->request, "wait", WAIT_DEFAULT_MS);

	if (call->key)
		platform->calls.reads++;
	else
		platform->calls.lists++;
	if (after <= 0 || watched_index(call) > (uint64_t)after) {
		answer_read(call);
		return;
	}
	platform->calls.watches++;
	call->after = (uint64_t)after;
	g_ptr_array_add(platform->watches, call);
	call_set_timer(call, on_wait_over,
		       (uint64_t)CLAMP(wait_ms, 0, WAIT_MAX_MS));
}

void api_answer_changed_watches(platform_t *platform)
{
	g_autoptr(GPtrArray) due = g_ptr_array_new();

	for (guint i = 0; i < platform->watches->len; i++) {
		call_t *call = platform->watches->pdata[i];

		if (watched_index(call) > call->after)
			g_ptr_array_add(due, call);
	}
	for (guint i = 0; i < due->len; i++) {
		g_ptr_array_remove_fast(platform->watches, due->pdata[i]);
		answer_read(due->pdata[i]);
	}
}

void api_cut_watches(platform_t *platform)
{
	while (platform->watches->len) {
		const call_t *call = platform->watches->pdata[0];

		evhttp_connection_free(
			evhttp_request_get_connection(call->request));
	}
}

static void start_put(call_t *call)
{
	struct evbuffer *input = evhttp_request_get_input_buffer(call->request);
	size_t size_bytes = evbuffer_get_length(input);
	g_autoptr(GBytes) value =
		g_bytes_new(evbuffer_pullup(input, -1), size_bytes);
	g_autofree char *cas = http_argument(call->request, "cas");
	g_autofree char *acquire = http_argument(call->request, "acquire");
	g_autofree char *release = http_argument(call->request, "release");
	kv_condition_t condition = {
		.has_cas = cas != NULL,
		.cas = cas ? g_ascii_strtoull(cas, NULL, 10) : 0,
		.acquire = acquire,
		.release = release,
	};

	call->platform->calls.writes++;
	if (size_bytes > KV_VALUE_SIZE_BYTES_MAX) {
		call_finish(call, HTTP_ENTITYTOOLARGE, NULL);
		return;
	}
	finish_write(call, json_boolean(kv_put(&call->platform->kv, call->key,
					       value, &condition)));
}

static void start_kv(call_t *call, const char *path)
{
	call->key = g_uri_unescape_string(path + strlen(KV_PREFIX), NULL);
	switch (evhttp_request_get_command(call->request)) {
	case EVHTTP_REQ_GET:
		start_read(call);
		break;
	case EVHTTP_REQ_PUT:
		start_put(call);
		break;
	case EVHTTP_REQ_DELETE:
		call->platform->calls.writes++;
		kv_remove(&call->platform->kv, call->key);
		finish_write(call, json_true());
		break;
	default:
		call_finish(call, HTTP_BADMETHOD, NULL);
	}
}

/* Reads a duration such as "10s" or "500ms". */
static uint64_t duration_ms(const char *text)
{
	char *end = NULL;
	uint64_t number = g_ascii_strtoull(text ?: "0", &end, 10);

	return end && !strcmp(end, "ms") ? number : number * 1000;
}

static void start_session(call_t *call, const char *path)
{
	kv_t *kv = &call->platform->kv;
	g_autofree char *body = http_body(call->request);
	json_t *wanted = json_loads(body, 0, NULL);
	g_autofree char *id = NULL;

	call->platform->calls.sessions++;
	if (!strcmp(path, "/v1/session/create")) {
		id = kv_session_create(kv,
				       duration_ms(json_string_value(
					       json_object_get(wanted, "TTL"))),
				       clock_now_ms());
		finish_write(call, json_pack("{s:s}", "ID", id));
	} else if (g_str_has_prefix(path, DESTROY_PREFIX)) {
		kv_session_destroy(kv, path + strlen(DESTROY_PREFIX));
		finish_write(call, json_true());
	} else if (!g_str_has_prefix(path, RENEW_PREFIX) ||
		   !kv_session_renew(kv, path + strlen(RENEW_PREFIX),
				     clock_now_ms())) {
		call_finish(call, HTTP_NOTFOUND, NULL);
	} else {
		finish_write(call, json_pack("[{s:s}]", "ID",
					     path + strlen(RENEW_PREFIX)));
	}
	json_decref(wanted);
}

static void on_call(struct evhttp_request *request, void *context)
{
	platform_t *platform = context;
	const char *path =
		evhttp_uri_get_path(evhttp_request_get_evhttp_uri(request));
	struct evhttp_connection *connection =
		evhttp_request_get_connection(request);
	call_t *call;

	if (clock_now_ms() < platform->faults.outage_until_ms &&
	    !platform->faults.outage_hangs) {
		platform->calls.refused++;
		evhttp_connection_free(connection);
		return;
	}
	call = g_new0(call_t, 1);
	call->platform = platform;
	call->request = request;
	evhttp_connection_set_closecb(connection, on_client_gone, call);
	if (clock_now_ms() < platform->faults.outage_until_ms) {
		platform->calls.refused++;
		call->status = HTTP_SERVUNAVAIL;
		call_set_timer(call, on_delay_over, HANG_MAX_MS);
	} else if (g_str_has_prefix(path, KV_PREFIX)) {
		start_kv(call, path);
	} else if (!strcmp(path, "/v1/catalog/nodes")) {
		start_read(call);
	} else if (g_str_has_prefix(path, "/v1/session/")) {
		start_session(call, path);
	} else {
		call_finish(call, HTTP_NOTFOUND, NULL);
	}
}

bool api_start(platform_t *platform, const char *address, uint16_t port)
{
	struct evhttp *http = http_listen(platform->base, address, port);

	if (!http)
		return false;
	evhttp_set_timeout(http, WAIT_MAX_MS / 1000 * 2);
	evhttp_set_gencb(http, on_call, platform);
	return true;
}
