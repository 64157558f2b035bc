#include "relay/relay_quota_link.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "relay/relay_link.h"
#include "relay/relay_quota_leader.h"

/* Timeout of opening a connection; three round trips between regions. */
#define OPEN_TIMEOUT_MS 250u

/* Delay before a connection is opened again after a failure. */
#define REOPEN_MS 200u

/* The same after a refusal: a leader that has just started refuses at first. */
#define REFUSED_REOPEN_MS 50u

/*
 * Timeout of a request. Leaders have not answered for up to 100 ms while they
 * applied a new catalog, all at the same time.
 */
#define ANSWER_TIMEOUT_MS 300u

/* Time after which a connection that is not used is closed. */
#define IDLE_MS 60000u

/*
 * Age from which an answer no longer counts: this node was frozen, and the
 * tokens belong to an earlier window.
 */
#define ANSWER_AGE_MS 500u

typedef struct {
	char *customer;
	uint32_t count;
	uint64_t sent_ms;
} request_t;

struct relay_quota_link {
	relay_services_t *services;
	uint32_t late_ms;
	relay_quota_link_handlers_t handlers;
	endpoint_t endpoint; /* address NULL if unknown */
	relay_link_t *connection;
	GQueue requests; /* request_t, unanswered, oldest first */
	uint64_t opening_ms;
	uint64_t reopen_ms; /* no connection is opened before then */
	uint64_t used_ms;
	bool late; /* reported since the last answer */
};

static void request_free(gpointer data)
{
	request_t *request = data;

	g_free(request->customer);
	g_free(request);
}

static void disconnect(relay_quota_link_t *link)
{
	g_clear_pointer(&link->connection, relay_link_destroy);
	g_queue_clear_full(&link->requests, request_free);
}

/* Reports the requests that will not be answered any more. */
static void abandon(relay_quota_link_t *link)
{
	request_t *request;

	g_clear_pointer(&link->connection, relay_link_destroy);
	while ((request = g_queue_pop_head(&link->requests))) {
		if (link->handlers.unanswered)
			link->handlers.unanswered(link->handlers.context,
						  request->customer);
		request_free(request);
	}
}

relay_quota_link_t *
relay_quota_link_create(relay_services_t *services, uint32_t late_ms,
			relay_quota_link_handlers_t handlers)
{
	relay_quota_link_t *link = g_new0(relay_quota_link_t, 1);

	link->services = services;
	link->late_ms = late_ms;
	link->handlers = handlers;
	g_queue_init(&link->requests);
	return link;
}

void relay_quota_link_destroy(relay_quota_link_t *link)
{
	if (!link)
		return;
	disconnect(link);
	g_free(link->endpoint.address);
	g_free(link);
}

/* @param refused whether the other node is not the leader yet or any more */
static void fail(relay_quota_link_t *link, const char *reason, bool refused)
{
	log_event(LOG_LEVEL_INFO, "quota_leader_lost",
		  "address=%s port=%u reason=%s requests=%u",
		  link->endpoint.address, link->endpoint.port, reason,
		  link->requests.length);
	abandon(link);
	link->reopen_ms =
		clock_boot_ms() + (refused ? REFUSED_REOPEN_MS : REOPEN_MS);
	link->handlers.failed(link->handlers.context, refused);
}

static bool is_same(const endpoint_t *a, const endpoint_t *b)
{
	return a->port == b->port && !strcmp(a->address, b->address);
}

void relay_quota_link_set_endpoint(relay_quota_link_t *link,
				   const endpoint_t *endpoint)
{
	const bool connected = link->connection;

	if (endpoint && link->endpoint.address &&
	    is_same(endpoint, &link->endpoint))
		return;
	abandon(link);
	g_clear_pointer(&link->endpoint.address, g_free);
	if (endpoint)
		link->endpoint = (endpoint_t){
			.address = g_strdup(endpoint->address),
			.port = endpoint->port,
		};
	link->reopen_ms = 0;
	if (connected)
		link->handlers.failed(link->handlers.context, false);
}

static void on_opened(void *context, relay_link_t *connection,
		      log_point_t point, uint64_t requested_ms)
{
	relay_quota_link_t *link = context;

	link->used_ms = clock_boot_ms();
	link->handlers.changed(link->handlers.context);
}

static void on_closed(void *context, relay_link_t *connection,
		      relay_error_t error, bool was_open)
{
	fail(context, relay_error_name(error),
	     error == RELAY_ERROR_CONNECTION_LIMIT);
}

bool relay_quota_link_connect(relay_quota_link_t *link, uint64_t now_ms)
{
	static char service[] = RELAY_QUOTA_SERVICE;
	static const backend_entry_t entry = {.id = service,
					      .service = service};
	const relay_services_settings_t *settings =
		relay_services_settings(link->services);
	const relay_link_handlers_t handlers = {
		.opened = on_opened,
		.closed = on_closed,
		.context = link,
	};

	if (link->connection)
		return true;
	if (!link->endpoint.address || now_ms < link->reopen_ms)
		return false;
	link->opening_ms = now_ms;
	link->late = false;
	link->connection =
		relay_link_open(settings->base, settings->codec, &entry, NULL,
				&link->endpoint, handlers);
	return true;
}

bool relay_quota_link_is_open(const relay_quota_link_t *link)
{
	return link->connection && relay_link_is_open(link->connection);
}

/* @return false if the row is not "granted retry_after_ms [level [expected]]"
 */
static bool parse_row(const char *row, quota_admission_t *admission)
{
	*admission = (quota_admission_t){0};
	return row &&
	       sscanf(row, "%" SCNu32 " %" SCNu32 " %" SCNu32 " %" SCNu32,
		      &admission->granted, &admission->retry_after_ms,
		      &admission->level, &admission->expected_ms) >= 2;
}

static void on_answer(void *context, const relay_answer_t *answer)
{
	relay_quota_link_t *link = context;
	request_t *request;
	quota_admission_t admission;
	bool certain;

	/* The connection has ended, and on_closed() was called. */
	if (answer->broken)
		return;
	link->late = false;
	request = g_queue_pop_head(&link->requests);
	if (answer->failed || !parse_row(answer->row, &admission) ||
	    admission.granted > request->count ||
	    clock_boot_ms() > request->sent_ms + ANSWER_AGE_MS) {
		g_queue_push_head(&link->requests, request);
		fail(link, "answer_invalid", false);
		return;
	}
	certain = admission.granted || admission.retry_after_ms;
	link->handlers.answered(link->handlers.context, request->customer,
				request->count, certain ? &admission : NULL);
	request_free(request);
}

static void send_request(relay_quota_link_t *link, const char *customer,
			 uint32_t count, const char *text)
{
	request_t *request = g_new0(request_t, 1);

	request->customer = g_strdup(customer);
	request->count = count;
	request->sent_ms = clock_boot_ms();
	link->used_ms = request->sent_ms;
	g_queue_push_tail(&link->requests, request);
	relay_link_run(link->connection, NULL, (log_point_t){0}, text,
		       on_answer, link);
}

void relay_quota_link_ask(relay_quota_link_t *link, const char *customer,
			  uint32_t count)
{
	const relay_codec_t *codec =
		relay_services_settings(link->services)->codec;
	g_autofree char *text = codec->text_admit(customer, count);

	send_request(link, customer, count, text);
}

void relay_quota_link_borrow(relay_quota_link_t *link, const char *customer,
			     uint32_t count)
{
	const relay_codec_t *codec =
		relay_services_settings(link->services)->codec;
	g_autofree char *text = codec->text_lend(customer, count);

	send_request(link, customer, count, text);
}

static void report_late(relay_quota_link_t *link)
{
	link->late = true;
	if (link->handlers.late)
		link->handlers.late(link->handlers.context);
}

void relay_quota_link_step(relay_quota_link_t *link, uint64_t now_ms)
{
	const request_t *oldest = g_queue_peek_head(&link->requests);

	if (!link->connection)
		return;
	if (oldest && now_ms >= oldest->sent_ms + ANSWER_TIMEOUT_MS)
		fail(link, "answer_timeout", false);
	else if (oldest && !link->late &&
		 now_ms >= oldest->sent_ms + link->late_ms)
		report_late(link);
	else if (!relay_link_is_open(link->connection) &&
		 now_ms >= link->opening_ms + OPEN_TIMEOUT_MS)
		fail(link, "open_timeout", false);
	else if (relay_link_is_open(link->connection) &&
		 now_ms >= link->used_ms + IDLE_MS) {
		disconnect(link);
		link->handlers.changed(link->handlers.context);
	}
}
