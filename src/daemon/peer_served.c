#include "daemon/peer_served.h"

#include <string.h>

#include <glib.h>

#include "base/log.h"

/* Size of a window of call ids; older ids are dropped as duplicates. */
#define WINDOW_CALLS 16384
#define WORD_BITS 64

/* Time a cancelled request is kept, because its sink may still be called. */
#define CANCELLED_KEEP_MS 60000

/* Sliding window of the call ids received from one incarnation of a peer. */
typedef struct {
	uint64_t highest;
	uint64_t words[WINDOW_CALLS / WORD_BITS];
} call_window_t;

typedef struct {
	char node[sizeof(((member_t *)0)->name)];
	uint64_t incarnation;
	call_window_t window;
	GHashTable *leases; /* set of lease ids */
} requester_t;

/* One request of a peer; the context of its sink. */
typedef struct {
	peer_served_t *served;
	char node[sizeof(((member_t *)0)->name)];
	uint64_t incarnation;
	uint64_t call_id;
	uint64_t request_id;
	uint64_t lease_id;
	request_kind_t kind;
	uint32_t chunks_count;
	bool is_cancelled;
	uint64_t cancelled_ms;
} served_request_t;

struct peer_served {
	peer_served_link_t link;
	peers_handlers_t handlers;
	GHashTable *requesters; /* maps a node name to a requester_t */
	GHashTable *running;	/* set of served_request_t */
	uint64_t duplicates_count;
	uint64_t last_run_ms;
};

static bool window_add(call_window_t *window, uint64_t call_id)
{
	uint64_t *word;
	uint64_t bit;

	if (call_id + WINDOW_CALLS <= window->highest)
		return false;
	if (call_id > window->highest + WINDOW_CALLS) {
		memset(window->words, 0, sizeof(window->words));
		window->highest = call_id - 1;
	}
	while (window->highest < call_id) {
		uint64_t next = ++window->highest % WINDOW_CALLS;

		window->words[next / WORD_BITS] &=
			~(1ULL << (next % WORD_BITS));
	}
	word = &window->words[call_id % WINDOW_CALLS / WORD_BITS];
	bit = 1ULL << (call_id % WORD_BITS);
	if (*word & bit)
		return false;
	*word |= bit;
	return true;
}

static void requester_free(gpointer data)
{
	requester_t *requester = data;

	g_hash_table_destroy(requester->leases);
	g_free(requester);
}

peer_served_t *peer_served_create(peer_served_link_t link,
				  const peers_handlers_t *handlers)
{
	peer_served_t *served = g_new0(peer_served_t, 1);

	served->link = link;
	served->handlers = *handlers;
	served->requesters = g_hash_table_new_full(g_str_hash, g_str_equal,
						   NULL, requester_free);
	served->running = g_hash_table_new_full(g_direct_hash, g_direct_equal,
						g_free, NULL);
	return served;
}

void peer_served_destroy(peer_served_t *served)
{
	if (!served)
		return;
	g_hash_table_destroy(served->requesters);
	g_hash_table_destroy(served->running);
	g_free(served);
}

static requester_t *find_requester(peer_served_t *served, const char *node,
				   uint64_t incarnation)
{
	requester_t *requester = g_hash_table_lookup(served->requesters, node);

	if (requester)
		return requester->incarnation == incarnation ? requester : NULL;
	requester = g_new0(requester_t, 1);
	g_strlcpy(requester->node, node, sizeof(requester->node));
	requester->incarnation = incarnation;
	requester->leases = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						  g_free, NULL);
	g_hash_table_insert(served->requesters, requester->node, requester);
	return requester;
}

static void add_lease(requester_t *requester, uint64_t lease_id)
{
	g_hash_table_add(requester->leases,
			 g_memdup2(&lease_id, sizeof(lease_id)));
}

static peer_message_t *new_message(const served_request_t *request,
				   peer_message_kind_t kind)
{
	peer_message_t *message = peer_message_new(kind);

	message->call_id = request->call_id;
	message->receiver_incarnation = request->incarnation;
	return message;
}

static void send_end(served_request_t *request, const answer_t *answer)
{
	const peer_served_link_t *link = &request->served->link;
	g_autoptr(peer_message_t) message =
		new_message(request, PEER_MESSAGE_END);

	message->chunks_count = request->chunks_count;
	message->answer = *answer;
	if (!link->send(link->context, request->node, message))
		log_event(LOG_LEVEL_WARNING, "answer_dropped",
			  "node=%s request=%" G_GUINT64_FORMAT, request->node,
			  request->request_id);
}

static bool send_part(served_request_t *request, GBytes *part, bool continues)
{
	const peer_served_link_t *link = &request->served->link;
	g_autoptr(peer_message_t) message =
		new_message(request, PEER_MESSAGE_CHUNK);

	message->chunk_index = request->chunks_count;
	message->chunk_continues = continues;
	message->bytes = g_bytes_ref(part);
	if (!link->send(link->context, request->node, message))
		return false;
	request->chunks_count++;
	return true;
}

static void cancel_request(served_request_t *request, uint64_t now_ms)
{
	const peers_handlers_t *handlers = &request->served->handlers;

	request->is_cancelled = true;
	request->cancelled_ms = now_ms;
	handlers->cancel(handlers->context, request->request_id, request);
}

/* Aborts an answer that a slow peer has received only in part. */
static void abort_answer(served_request_t *request)
{
	const answer_t answer = {
		.outcome = OUTCOME_UNKNOWN,
		.reason = REASON_LOST_ANSWER,
		.transaction_status = 'I',
	};

	log_event(LOG_LEVEL_WARNING, "answer_overflow",
		  "node=%s request=%" G_GUINT64_FORMAT, request->node,
		  request->request_id);
	send_end(request, &answer);
	cancel_request(request, request->served->last_run_ms);
}

static void on_chunk(void *context, uint64_t request_id, GBytes *bytes)
{
	served_request_t *request = context;
	const size_t size_bytes = g_bytes_get_size(bytes);
	size_t sent_bytes = 0;

	while (!request->is_cancelled && sent_bytes < size_bytes) {
		size_t part_bytes =
			MIN(size_bytes - sent_bytes, PEER_SERVED_PART_BYTES);
		g_autoptr(GBytes) part =
			g_bytes_new_from_bytes(bytes, sent_bytes, part_bytes);

		sent_bytes += part_bytes;
		if (!send_part(request, part, sent_bytes < size_bytes))
			abort_answer(request);
	}
}

static void track_lease(served_request_t *request, const answer_t *answer)
{
	requester_t *requester = find_requester(request->served, request->node,
						request->incarnation);

	if (!requester)
		return;
	if (request->lease_id)
		g_hash_table_remove(requester->leases, &request->lease_id);
	if (answer->lease_id)
		add_lease(requester, answer->lease_id);
}

static void on_end(void *context, uint64_t request_id, const answer_t *answer)
{
	served_request_t *request = context;
	peer_served_t *served = request->served;
	const peers_handlers_t *handlers = &served->handlers;

	if (!request->is_cancelled) {
		track_lease(request, answer);
		send_end(request, answer);
	} else if (answer->lease_id && answer->lease_id != request->lease_id) {
		handlers->release(handlers->context, answer->lease_id);
	}
	g_hash_table_remove(served->running, request);
}

void peer_served_request(peer_served_t *served, const peer_message_t *message)
{
	requester_t *requester =
		find_requester(served, message->sender, message->incarnation);
	const answer_sink_t sink_handlers = {.chunk = on_chunk, .end = on_end};
	answer_sink_t sink = sink_handlers;
	served_request_t *request;

	if (!requester || !window_add(&requester->window, message->call_id)) {
		served->duplicates_count++;
		return;
	}
	request = g_new0(served_request_t, 1);
	request->served = served;
	g_strlcpy(request->node, message->sender, sizeof(request->node));
	request->incarnation = message->incarnation;
	request->call_id = message->call_id;
	request->request_id = message->request->request_id;
	request->lease_id = message->request->lease_id;
	request->kind = message->request->kind;
	g_hash_table_add(served->running, request);
	sink.context = request;
	served->handlers.request(served->handlers.context, message->sender,
				 message->request, sink);
}

static served_request_t *find_running(const peer_served_t *served,
				      const peer_message_t *message)
{
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, served->running);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		served_request_t *request = key;

		if (request->call_id == message->call_id &&
		    request->incarnation == message->incarnation &&
		    !strcmp(request->node, message->sender))
			return request;
	}
	return NULL;
}

void peer_served_cancel(peer_served_t *served, const peer_message_t *message,
			uint64_t now_ms)
{
	served_request_t *request = find_running(served, message);

	if (request && !request->is_cancelled)
		cancel_request(request, now_ms);
}

/* A sent answer arrives before the reply to the inquiry unless it was lost. */
void peer_served_inquiry(peer_served_t *served, const peer_message_t *message)
{
	requester_t *requester =
		find_requester(served, message->sender, message->incarnation);
	const served_request_t *running = find_running(served, message);
	g_autoptr(peer_message_t) reply = NULL;

	if (!requester || (running && !running->is_cancelled))
		return;
	reply = peer_message_new(PEER_MESSAGE_END);
	reply->call_id = message->call_id;
	reply->receiver_incarnation = message->incarnation;
	reply->answer.transaction_status = 'I';
	reply->answer.outcome = OUTCOME_UNKNOWN;
	reply->answer.reason = REASON_LOST_ANSWER;
	if (window_add(&requester->window, message->call_id)) {
		reply->answer.outcome = OUTCOME_NOT_RUN;
		reply->answer.reason = REASON_UNREACHABLE;
	}
	served->link.send(served->link.context, message->sender, reply);
}

void peer_served_release(peer_served_t *served, const peer_message_t *message)
{
	requester_t *requester =
		find_requester(served, message->sender, message->incarnation);

	if (requester &&
	    g_hash_table_remove(requester->leases, &message->lease_id))
		served->handlers.release(served->handlers.context,
					 message->lease_id);
}

static void cancel_all(peer_served_t *served, const char *node,
		       uint64_t incarnation, uint64_t now_ms)
{
	g_autoptr(GPtrArray) gone = g_ptr_array_new();
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, served->running);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		const served_request_t *request = key;

		if (!strcmp(request->node, node) && !request->is_cancelled &&
		    request->incarnation != incarnation)
			g_ptr_array_add(gone, key);
	}
	for (guint i = 0; i < gone->len; i++)
		cancel_request(gone->pdata[i], now_ms);
}

static void release_all(peer_served_t *served, const requester_t *requester)
{
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, requester->leases);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		served->handlers.release(served->handlers.context,
					 *(const uint64_t *)key);
}

void peer_served_peer_changed(peer_served_t *served, const char *node,
			      uint64_t incarnation, uint64_t now_ms)
{
	requester_t *requester = g_hash_table_lookup(served->requesters, node);

	if (!requester || requester->incarnation == incarnation)
		return;
	cancel_all(served, node, incarnation, now_ms);
	release_all(served, requester);
	if (incarnation) {
		g_hash_table_remove(served->requesters, node);
		return;
	}
	g_hash_table_remove_all(requester->leases);
}

void peer_served_forget(peer_served_t *served, const char *node)
{
	g_hash_table_remove(served->requesters, node);
}

static gboolean is_expired(gpointer key, gpointer value, gpointer context)
{
	const served_request_t *request = key;

	return request->is_cancelled &&
	       request->cancelled_ms + CANCELLED_KEEP_MS <=
		       *(const uint64_t *)context;
}

void peer_served_run(peer_served_t *served, uint64_t now_ms)
{
	served->last_run_ms = now_ms;
	g_hash_table_foreach_remove(served->running, is_expired, &now_ms);
}

uint32_t peer_served_count(const peer_served_t *served)
{
	return g_hash_table_size(served->running);
}

uint64_t peer_served_duplicates(const peer_served_t *served)
{
	return served->duplicates_count;
}
