#include "relay/relay_link.h"

#include <string.h>

#include <event2/bufferevent.h>

#include <netinet/in.h>
#include <arpa/inet.h>

#include "base/clock.h"
#include "base/log.h"
#include "transport/socket_options.h"

/* Timeout for connecting and for the server's first ready message. */
#define OPEN_TIMEOUT_MS 1500

/* Time after which the connection to an unresponsive machine is closed. */
#define UNRESPONSIVE_S 3

/* A statement that was sent and is not answered yet. */
typedef struct {
	relay_link_done_t done;
	void *context;
	uint64_t sent_ms; /* on the boot clock */
	bool own;	  /* a statement of the proxy itself */
} pending_t;

struct relay_link {
	struct bufferevent *bev;
	size_t searched_bytes; /* of the input, for the end of a message */
	const relay_codec_t *codec;
	relay_link_handlers_t handlers;
	char *server;		   /* id of the server, for logs */
	bool open;		   /* the server has accepted the connection */
	bool forwarded;		   /* forwarded by another node */
	bool served;		   /* has answered a statement */
	uint64_t created_ms;	   /* connection requested, on the boot clock */
	uint64_t opened_ms;	   /* connection accepted, on the boot clock */
	uint64_t last_received_ms; /* data last received, on the boot clock */
	GQueue pending;		   /* pending_t, oldest first */
	/* The part of the current answer received so far. */
	GByteArray *body;
	bool failed;
	relay_error_t error;
	char *error_text;
	char *row;
	GPtrArray *rows; /* char *, rows of a statement of the proxy itself */
	relay_link_state_t state;
};

/*
 * Reports that the connection ended. The callbacks may destroy the link, which
 * is therefore not used after them.
 */
static void link_ended(relay_link_t *link, relay_error_t error)
{
	const relay_link_handlers_t handlers = link->handlers;
	g_autofree pending_t *first = g_queue_pop_head(&link->pending);
	const relay_answer_t answer = {
		.broken = true,
		.status = 'E',
		.error = error,
		.sent_ms = first ? first->sent_ms : 0,
	};
	const bool was_open = link->open;

	bufferevent_disable(link->bev, EV_READ | EV_WRITE);
	link->open = false;
	g_queue_clear_full(&link->pending, g_free);
	handlers.closed(handlers.context, link, error, was_open);
	if (first)
		first->done(first->context, &answer);
}

static void on_startup_ready(relay_link_t *link, const relay_message_t *message)
{
	link->open = true;
	link->opened_ms = clock_boot_ms();
	bufferevent_set_timeouts(link->bev, NULL, NULL);
	link->handlers.opened(link->handlers.context, link, message->point,
			      link->created_ms);
}

static void on_ready(relay_link_t *link, const relay_message_t *message)
{
	g_autofree pending_t *first = g_queue_pop_head(&link->pending);
	g_autoptr(GByteArray) body = link->body;
	g_autofree char *error_text = g_steal_pointer(&link->error_text);
	g_autofree char *row = g_steal_pointer(&link->row);
	g_autoptr(GPtrArray) rows = g_steal_pointer(&link->rows);
	const relay_answer_t answer = {
		.failed = link->failed,
		.error = link->error,
		.error_text = error_text ? error_text : "",
		.row = row,
		.rows = rows,
		.status = message->status,
		.point = message->point,
		.body = body,
		.sent_ms = first->sent_ms,
	};

	link->body = g_byte_array_new();
	link->failed = false;
	link->served = true;
	link->state.in_transaction = message->status != 'I';
	first->done(first->context, &answer);
}

static void append_row(relay_link_t *link, const char *text)
{
	const pending_t *first = g_queue_peek_head(&link->pending);

	if (!first->own)
		return;
	if (!link->rows)
		link->rows = g_ptr_array_new_with_free_func(g_free);
	g_ptr_array_add(link->rows, g_strdup(text));
}

/* Adds one message to the current answer. */
static void append_message(relay_link_t *link, relay_message_t *message)
{
	if (message->kind == RELAY_MESSAGE_ERROR) {
		link->failed = true;
		link->error = message->error;
		g_free(link->error_text);
		link->error_text = g_steal_pointer(&message->text);
	} else if (message->kind == RELAY_MESSAGE_ROW) {
		append_row(link, message->text);
		if (!link->row)
			link->row = g_steal_pointer(&message->text);
	}
	g_byte_array_append(link->body, (const guint8 *)message->encoded,
			    (guint)message->encoded_size);
}

static void on_invalid(relay_link_t *link, const GError *error)
{
	log_event(LOG_LEVEL_WARNING, "server_message_invalid",
		  "server=%s reason=\"%s\"", link->server, error->message);
	link_ended(link, RELAY_ERROR_MALFORMED);
}

/* Closes the connection after a message that answers no statement. */
static void on_unexpected(relay_link_t *link)
{
	log_event(LOG_LEVEL_WARNING, "server_message_unexpected", "server=%s",
		  link->server);
	link_ended(link, RELAY_ERROR_OTHER);
}

static void handle_ready(relay_link_t *link, const relay_message_t *message)
{
	const guint waiting = g_queue_get_length(&link->pending);
	const bool more = evbuffer_get_length(bufferevent_get_input(link->bev));

	/* No bytes may follow the last expected answer. */
	if ((link->open && !waiting) || (waiting <= 1 && more)) {
		on_unexpected(link);
		return;
	}
	if (!link->open) {
		on_startup_ready(link, message);
		return;
	}
	/*
	 * The callback may destroy the link, so the next answer is read in a
	 * later event.
	 */
	if (more)
		bufferevent_trigger(link->bev, EV_READ,
				    BEV_TRIG_DEFER_CALLBACKS);
	on_ready(link, message);
}

/* An error before the first ready message rejects the connection. */
static bool handle_rejection(relay_link_t *link, const relay_message_t *message)
{
	if (link->open || message->kind != RELAY_MESSAGE_ERROR)
		return false;
	link_ended(link, message->error);
	return true;
}

static void on_read(struct bufferevent *bev, void *context)
{
	relay_link_t *link = context;
	struct evbuffer *input = bufferevent_get_input(bev);

	link->last_received_ms = clock_boot_ms();
	for (;;) {
		g_auto(relay_message_t) message = {0};
		g_autoptr(GError) error = NULL;

		switch (link->codec->decode(input, &link->searched_bytes,
					    &message, &error)) {
		case RELAY_INCOMPLETE:
			return;
		case RELAY_INVALID:
			on_invalid(link, error);
			return;
		case RELAY_DECODED:
			break;
		}
		if (handle_rejection(link, &message))
			return;
		if (message.kind == RELAY_MESSAGE_READY) {
			handle_ready(link, &message);
			return;
		}
		if (g_queue_is_empty(&link->pending)) {
			on_unexpected(link);
			return;
		}
		append_message(link, &message);
	}
}

static void on_event(struct bufferevent *bev, short what, void *context)
{
	relay_link_t *link = context;

	if (what & BEV_EVENT_CONNECTED) {
		socket_options_set(bufferevent_getfd(bev), UNRESPONSIVE_S);
		return;
	}
	link_ended(link, what & BEV_EVENT_TIMEOUT ? RELAY_ERROR_TIMEOUT :
						    RELAY_ERROR_OTHER);
}

relay_link_t *relay_link_open(struct event_base *base,
			      const relay_codec_t *codec,
			      const backend_entry_t *entry,
			      const char *customer, const endpoint_t *via,
			      relay_link_handlers_t handlers)
{
	relay_link_t *link = g_new0(relay_link_t, 1);
	const struct timeval timeout = clock_timeval(OPEN_TIMEOUT_MS);
	const endpoint_t *endpoint = via ? via : &entry->endpoint;
	struct sockaddr_in address = {.sin_family = AF_INET,
				      .sin_port = htons(endpoint->port)};

	inet_pton(AF_INET, endpoint->address, &address.sin_addr);
	link->forwarded = via;
	link->created_ms = clock_boot_ms();
	link->codec = codec;
	link->handlers = handlers;
	link->server = g_strdup(entry->id);
	link->body = g_byte_array_new();
	g_queue_init(&link->pending);
	link->last_received_ms = clock_boot_ms();
	link->state.values =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	link->state.prepared = relay_prepared_create();
	link->state.customer = g_strdup(customer);
	link->bev = bufferevent_socket_new(
		base, -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
	bufferevent_setcb(link->bev, on_read, NULL, on_event, link);
	bufferevent_set_timeouts(link->bev, &timeout, &timeout);
	bufferevent_enable(link->bev, EV_READ | EV_WRITE);
	codec->put_startup(bufferevent_get_output(link->bev), entry->service,
			   customer, entry->id);
	bufferevent_socket_connect(link->bev, (struct sockaddr *)&address,
				   sizeof(address));
	return link;
}

void relay_link_destroy(relay_link_t *link)
{
	if (!link)
		return;
	bufferevent_free(link->bev);
	g_queue_clear_full(&link->pending, g_free);
	g_byte_array_unref(link->body);
	g_free(link->error_text);
	g_free(link->row);
	g_clear_pointer(&link->rows, g_ptr_array_unref);
	g_free(link->server);
	g_hash_table_destroy(link->state.values);
	relay_prepared_destroy(link->state.prepared);
	g_free(link->state.customer);
	g_free(link);
}

void relay_link_run(relay_link_t *link, const char *id, log_point_t after,
		    const char *text, relay_link_done_t done, void *context)
{
	pending_t *pending = g_new0(pending_t, 1);

	pending->done = done;
	pending->context = context;
	pending->sent_ms = clock_boot_ms();
	pending->own = !id;
	g_queue_push_tail(&link->pending, pending);
	link->codec->put_query(bufferevent_get_output(link->bev), id, after,
			       text);
}

bool relay_link_is_open(const relay_link_t *link)
{
	return link->open;
}

bool relay_link_is_forwarded(const relay_link_t *link)
{
	return link->forwarded;
}

bool relay_link_is_busy(const relay_link_t *link)
{
	return link->pending.length > 0;
}

bool relay_link_has_served(const relay_link_t *link)
{
	return link->served;
}

uint64_t relay_link_opened_ms(const relay_link_t *link)
{
	return link->forwarded ? UINT64_MAX : link->opened_ms;
}

uint64_t relay_link_last_received_ms(const relay_link_t *link)
{
	return link->last_received_ms;
}

relay_link_state_t *relay_link_state(relay_link_t *link)
{
	return &link->state;
}
