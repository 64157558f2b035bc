#include "store/store.h"

#include <inttypes.h>
#include <string.h>

#include <glib.h>
#include <jansson.h>

#include "base/log.h"
#include "base/text.h"
#include "protocol/member_list.h"
#include "transport/http_client.h"

/* Timeout of a call, in addition to the wait of a watch. */
#define CALL_TIMEOUT_MS 5000u
/* The service adds up to 1/16 of the wait, to spread its answers. */
#define WAIT_JITTER_DIVISOR 16
#define VALUE_SIZE_BYTES_MAX (1024u * 1024)

typedef struct {
	store_t store;
	http_client_t *client;
} consul_t;

/* A pending call; one of the callbacks is set. */
typedef struct {
	store_value_t value_done;
	store_members_t members_done;
	void *context;
} call_t;

static call_t *call_new(store_value_t value_done, store_members_t members_done,
			void *context)
{
	call_t *call = g_new0(call_t, 1);

	call->value_done = value_done;
	call->members_done = members_done;
	call->context = context;
	return call;
}

static json_t *parse_array(const http_response_t *response)
{
	/* A NUL in one entry must not invalidate the others. */
	json_t *json = json_loadb((const char *)response->bytes,
				  response->size_bytes, JSON_ALLOW_NUL, NULL);

	if (json_is_array(json))
		return json;
	json_decref(json);
	return NULL;
}

static void value_done(const call_t *call, store_result_t result,
		       const uint8_t *bytes, size_t size_bytes, uint64_t index)
{
	call->value_done(call->context, result, bytes, size_bytes, index);
}

static void deliver_value(const call_t *call, const json_t *entry)
{
	const json_t *value = json_object_get(entry, "Value");
	const json_t *index = json_object_get(entry, "ModifyIndex");
	size_t size_bytes = json_string_length(value);
	g_autofree uint8_t *bytes = NULL;

	/* Consul has null for an empty value. */
	if (json_is_string(value))
		bytes = text_decode_base64(json_string_value(value),
					   &size_bytes);
	if ((!bytes && !json_is_null(value)) || !json_is_integer(index) ||
	    json_integer_value(index) <= 0 || size_bytes > VALUE_SIZE_BYTES_MAX)
		value_done(call, STORE_UNKNOWN, NULL, 0, 0);
	else
		value_done(call, STORE_OK, bytes, size_bytes,
			   (uint64_t)json_integer_value(index));
}

static void on_value(void *context, const http_response_t *response)
{
	const call_t *call = context;
	json_t *json = NULL;

	if (response->status == 404) {
		value_done(call, STORE_ABSENT, NULL, 0, 0);
		return;
	}
	if (response->status == 200)
		json = parse_array(response);
	if (json_array_size(json) == 1)
		deliver_value(call, json_array_get(json, 0));
	else if (response->status >= 400 && response->status < 500)
		value_done(call, STORE_REFUSED, NULL, 0, 0);
	else
		value_done(call, STORE_UNKNOWN, NULL, 0, 0);
	json_decref(json);
}

static uint32_t watch_timeout_ms(uint64_t after_index, uint32_t wait_ms)
{
	if (!after_index)
		return CALL_TIMEOUT_MS;
	return wait_ms + wait_ms / WAIT_JITTER_DIVISOR + CALL_TIMEOUT_MS;
}

/*
 * Sends a read. A read that does not wait uses the consistent mode, so that a
 * replaced Consul leader cannot answer it.
 */
static void send_read(consul_t *consul, const char *path, uint64_t after_index,
		      uint32_t wait_ms, http_done_t done, call_t *call)
{
	g_autofree char *full = NULL;

	if (after_index)
		full = g_strdup_printf("%s?index=%" PRIu64 "&wait=%ums", path,
				       after_index, wait_ms);
	else
		full = g_strconcat(path, "?consistent", NULL);
	http_client_send(consul->client, HTTP_GET, full, NULL, 0,
			 watch_timeout_ms(after_index, wait_ms), done, call,
			 g_free);
}

static void consul_get(void *self, const char *key, uint64_t after_index,
		       uint32_t wait_ms, store_value_t done, void *context)
{
	g_autofree char *escaped = g_uri_escape_string(key, "/", FALSE);
	g_autofree char *path = g_strconcat("/v1/kv/", escaped, NULL);

	send_read(self, path, after_index, wait_ms, on_value,
		  call_new(done, NULL, context));
}

/* Any answer not listed here leaves the outcome of the write unknown. */
static store_result_t swap_result(const http_response_t *response)
{
	g_autofree char *body = text_new(response->bytes, response->size_bytes);

	if (!response->sent)
		return STORE_REFUSED;
	if (response->status >= 400 && response->status < 500)
		return STORE_REFUSED;
	if (response->status != 200 || !body)
		return STORE_UNKNOWN;
	g_strstrip(body);
	if (!strcmp(body, "true"))
		return STORE_OK;
	return strcmp(body, "false") ? STORE_UNKNOWN : STORE_CONFLICT;
}

static void on_swapped(void *context, const http_response_t *response)
{
	const call_t *call = context;

	value_done(call, swap_result(response), NULL, 0, 0);
}

static void consul_swap(void *self, const char *key, const uint8_t *bytes,
			size_t size_bytes, uint64_t index, store_value_t done,
			void *context)
{
	consul_t *consul = self;
	g_autofree char *escaped = g_uri_escape_string(key, "/", FALSE);
	g_autofree char *path =
		g_strdup_printf("/v1/kv/%s?cas=%" PRIu64, escaped, index);

	http_client_send(consul->client, HTTP_PUT, path, bytes, size_bytes,
			 CALL_TIMEOUT_MS, on_swapped,
			 call_new(done, NULL, context), g_free);
}

static uint64_t index_header(const http_response_t *response)
{
	const char *text = http_response_header(response, "X-Consul-Index");
	guint64 index = 0;

	if (text)
		g_ascii_string_to_unsigned(text, 10, 0, G_MAXINT64, &index,
					   NULL);
	return index;
}

static void deliver_members(const call_t *call, const json_t *json,
			    uint64_t index)
{
	uint32_t count = 0;
	g_autofree member_t *members = member_list_read(json, &count);

	if (count < json_array_size(json))
		log_event(LOG_LEVEL_WARNING, "member_refused",
			  "listed=%zu taken=%u", json_array_size(json), count);
	call->members_done(call->context, STORE_OK, members, count, index);
}

static void on_members(void *context, const http_response_t *response)
{
	const call_t *call = context;
	json_t *json = NULL;

	if (response->status == 200)
		json = parse_array(response);
	if (json)
		deliver_members(call, json, index_header(response));
	else if (response->status >= 400 && response->status < 500)
		call->members_done(call->context, STORE_REFUSED, NULL, 0, 0);
	else
		call->members_done(call->context, STORE_UNKNOWN, NULL, 0, 0);
	json_decref(json);
}

static void consul_members(void *self, uint64_t after_index, uint32_t wait_ms,
			   store_members_t done, void *context)
{
	send_read(self, "/v1/catalog/nodes", after_index, wait_ms, on_members,
		  call_new(NULL, done, context));
}

static void consul_destroy(void *self)
{
	consul_t *consul = self;

	http_client_destroy(consul->client);
	g_free(consul);
}

store_t *store_consul_create(struct event_base *base, const char *address,
			     uint16_t port)
{
	static const store_calls_t calls = {
		.get = consul_get,
		.swap = consul_swap,
		.members = consul_members,
		.destroy = consul_destroy,
	};
	consul_t *consul = g_new0(consul_t, 1);

	consul->store.calls = &calls;
	consul->store.self = consul;
	consul->client = http_client_create(base, address, port);
	return &consul->store;
}

void store_destroy(store_t *store)
{
	if (store)
		store->calls->destroy(store->self);
}
