#include "daemon/peer_calls.h"

#include <string.h>

#include <glib.h>

#include "base/log.h"
#include "daemon/peer_call.h"

/* Time for the owner and the network beyond the request's own timeout. */
#define ANSWER_GRACE_MS 2000

/* A request that is not sent by then fails as not run and can be retried. */
#define SEND_TIMEOUT_MS 1000

/* Interval of inquiries to the owner about a request without an answer. */
#define INQUIRY_INTERVAL_MS 1000

/* Time an abandoned call is kept, to release a lease in its answer. */
#define ABANDONED_KEEP_MS 60000

struct peer_calls {
	peer_calls_link_t link;
	GHashTable *calls; /* maps a call_id to a peer_call_t */
	uint64_t last_id;
	peer_calls_drops_t drops;
};

peer_calls_t *peer_calls_create(peer_calls_link_t link)
{
	peer_calls_t *calls = g_new0(peer_calls_t, 1);

	calls->link = link;
	calls->calls = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					     peer_call_free);
	return calls;
}

void peer_calls_destroy(peer_calls_t *calls)
{
	if (!calls)
		return;
	g_hash_table_destroy(calls->calls);
	g_free(calls);
}

static peer_call_t *add_call(peer_calls_t *calls, const char *node,
			     const request_t *request, answer_sink_t sink,
			     uint64_t now_ms)
{
	peer_call_t *call = g_new0(peer_call_t, 1);

	call->call_id = ++calls->last_id;
	g_strlcpy(call->node, node, sizeof(call->node));
	call->request_id = request->request_id;
	call->lease_id = request->lease_id;
	call->kind = request->kind;
	call->sink = sink;
	call->send_deadline_ms = now_ms + SEND_TIMEOUT_MS;
	call->inquiry_ms = now_ms + INQUIRY_INTERVAL_MS;
	call->deadline_ms = now_ms + request->timeout_ms + ANSWER_GRACE_MS;
	g_hash_table_insert(calls->calls, &call->call_id, call);
	return call;
}

static bool is_too_large(const request_t *request)
{
	return request->bytes &&
	       g_bytes_get_size(request->bytes) > PEER_MESSAGE_BYTES_MAX;
}

void peer_calls_refuse(peer_calls_t *calls, const request_t *request,
		       reason_t reason, answer_sink_t sink, uint64_t now_ms)
{
	peer_call_refuse(add_call(calls, "", request, sink, now_ms), reason);
}

void peer_calls_submit(peer_calls_t *calls, const char *node, uint64_t own,
		       uint64_t peer, const request_t *request,
		       answer_sink_t sink, uint64_t now_ms)
{
	g_autoptr(peer_message_t) message =
		peer_message_new(PEER_MESSAGE_REQUEST);
	peer_call_t *call;

	if (is_too_large(request)) {
		peer_calls_refuse(calls, request, REASON_OVERLOADED, sink,
				  now_ms);
		return;
	}
	call = add_call(calls, node, request, sink, now_ms);
	call->own_incarnation = own;
	call->peer_incarnation = peer;
	message->call_id = call->call_id;
	message->receiver_incarnation = peer;
	message->request = request_copy(request);
	if (calls->link.send(calls->link.context, node, message))
		return;
	peer_call_refuse(call, REASON_OVERLOADED);
}

static void send_cancel(peer_calls_t *calls, const peer_call_t *call)
{
	g_autoptr(peer_message_t) message =
		peer_message_new(PEER_MESSAGE_CANCEL);

	message->call_id = call->call_id;
	calls->link.send(calls->link.context, call->node, message);
}

static void send_release(peer_calls_t *calls, const char *node,
			 uint64_t lease_id)
{
	g_autoptr(peer_message_t) message =
		peer_message_new(PEER_MESSAGE_RELEASE);

	message->lease_id = lease_id;
	calls->link.send(calls->link.context, node, message);
}

static bool withdraw_unsent(peer_calls_t *calls, peer_call_t *call)
{
	if (call->was_sent)
		return false;
	call->was_sent = !calls->link.withdraw(calls->link.context, call->node,
					       call->call_id);
	return !call->was_sent;
}

/* Keeps a call only to release a lease that its answer may contain. */
static void abandon(peer_call_t *call, uint64_t now_ms)
{
	call->state = CALL_ABANDONED;
	call->deadline_ms = now_ms + ABANDONED_KEEP_MS;
}

static void report_result(peer_calls_t *calls, peer_call_t *call,
			  uint64_t now_ms)
{
	const answer_sink_t sink = call->sink;
	const uint64_t request_id = call->request_id;
	const answer_t result = call->result;

	if (call->may_answer)
		abandon(call, now_ms);
	else
		g_hash_table_remove(calls->calls, &call->call_id);
	sink.end(sink.context, request_id, &result);
}

/* Settles a call without an answer and cancels its request at the peer. */
static void fail_call(peer_calls_t *calls, peer_call_t *call,
		      peer_call_failure_t failure)
{
	const bool never_sent = withdraw_unsent(calls, call);
	const answer_t result =
		peer_call_failure_answer(call, never_sent, failure);

	peer_call_settle(call, &result);
	if (never_sent || failure.peer_is_gone)
		return;
	call->may_answer = true;
	send_cancel(calls, call);
	if (call->lease_id)
		send_release(calls, call->node, call->lease_id);
}

static peer_call_t *find_request(const peer_calls_t *calls, uint64_t request_id,
				 const void *sink_context)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, calls->calls);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		peer_call_t *call = value;

		if (call->request_id == request_id &&
		    call->sink.context == sink_context &&
		    call->state != CALL_ABANDONED)
			return call;
	}
	return NULL;
}

void peer_calls_cancel(peer_calls_t *calls, uint64_t request_id,
		       void *sink_context, uint64_t now_ms)
{
	peer_call_t *call = find_request(calls, request_id, sink_context);

	if (!call)
		return;
	if (call->state == CALL_SETTLED ? !call->may_answer :
					  withdraw_unsent(calls, call)) {
		g_hash_table_remove(calls->calls, &call->call_id);
		return;
	}
	if (call->state == CALL_WAITING)
		send_cancel(calls, call);
	abandon(call, now_ms);
}

static bool is_from_callee(const peer_call_t *call,
			   const peer_message_t *message)
{
	return !strcmp(call->node, message->sender) &&
	       call->own_incarnation == message->receiver_incarnation &&
	       (!call->peer_incarnation ||
		call->peer_incarnation == message->incarnation);
}

static void fail_incomplete(peer_calls_t *calls, peer_call_t *call)
{
	const peer_call_failure_t failure = {.reason = REASON_LOST_ANSWER};

	calls->drops.gap_count++;
	log_event(LOG_LEVEL_WARNING, "answer_incomplete",
		  "node=%s request=%" G_GUINT64_FORMAT, call->node,
		  call->request_id);
	fail_call(calls, call, failure);
}

static void handle_chunk(peer_calls_t *calls, peer_call_t *call,
			 const peer_message_t *message)
{
	g_autoptr(GBytes) chunk = NULL;

	if (call->state != CALL_WAITING)
		return;
	switch (answer_parts_add(&call->parts, message, &chunk)) {
	case ANSWER_PARTS_CHUNK:
		call->has_delivered = true;
		call->sink.chunk(call->sink.context, call->request_id, chunk);
		return;
	case ANSWER_PARTS_INCOMPLETE:
		return;
	case ANSWER_PARTS_DUPLICATE:
		calls->drops.duplicate_count++;
		return;
	case ANSWER_PARTS_GAP:
		fail_incomplete(calls, call);
		return;
	}
}

/* Handles the end of an answer that nobody waits for: releases its lease. */
static void handle_late_end(peer_calls_t *calls, peer_call_t *call,
			    const answer_t *answer)
{
	if (answer->lease_id)
		send_release(calls, call->node, answer->lease_id);
	call->may_answer = false;
	if (call->state == CALL_ABANDONED)
		g_hash_table_remove(calls->calls, &call->call_id);
}

static void handle_end(peer_calls_t *calls, peer_call_t *call,
		       const peer_message_t *message, uint64_t now_ms)
{
	const peer_call_failure_t failure = {.reason = REASON_LOST_ANSWER};
	const bool is_complete =
		answer_parts_are_complete(&call->parts, message->chunks_count);

	if (call->state != CALL_WAITING) {
		handle_late_end(calls, call, &message->answer);
		return;
	}
	if (!is_complete && message->answer.outcome == OUTCOME_DONE) {
		fail_incomplete(calls, call);
		handle_late_end(calls, call, &message->answer);
		return;
	}
	call->result = message->answer;
	if (message->answer.outcome == OUTCOME_UNKNOWN &&
	    message->answer.reason == REASON_LOST_ANSWER)
		call->result = peer_call_failure_answer(call, false, failure);
	report_result(calls, call, now_ms);
}

void peer_calls_answer(peer_calls_t *calls, const peer_message_t *message,
		       uint64_t now_ms)
{
	peer_call_t *call =
		g_hash_table_lookup(calls->calls, &message->call_id);

	if (!call || !is_from_callee(call, message)) {
		calls->drops.late_count++;
		return;
	}
	call->was_sent = true;
	call->peer_incarnation = message->incarnation;
	if (message->kind == PEER_MESSAGE_CHUNK)
		handle_chunk(calls, call, message);
	else
		handle_end(calls, call, message, now_ms);
}

/*
 * Returns ids rather than calls, because sinks may submit and cancel calls
 * while the caller iterates.
 */
static GArray *collect_ids(const peer_calls_t *calls,
			   bool (*is_wanted)(const peer_call_t *call,
					     const void *context),
			   const void *context)
{
	GArray *ids = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, calls->calls);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const peer_call_t *call = value;

		if (is_wanted(call, context))
			g_array_append_val(ids, call->call_id);
	}
	return ids;
}

static peer_call_t *find_call(const peer_calls_t *calls, const GArray *ids,
			      guint index)
{
	return g_hash_table_lookup(calls->calls,
				   &g_array_index(ids, uint64_t, index));
}

static void fail_calls(peer_calls_t *calls, const GArray *ids,
		       peer_call_failure_t failure)
{
	for (guint i = 0; i < ids->len; i++) {
		peer_call_t *call = find_call(calls, ids, i);

		if (call->state == CALL_ABANDONED)
			g_hash_table_remove(calls->calls, &call->call_id);
		else
			fail_call(calls, call, failure);
	}
}

/* Peer that died, restarted or left the view. */
typedef struct {
	const char *node;
	uint64_t live_incarnation; /* 0 when the peer is dead */
} peer_change_t;

/* @return whether the process that the call was sent to has ended */
static bool is_of_ended_process(const peer_call_t *call, const void *context)
{
	const peer_change_t *change = context;

	if (call->state == CALL_SETTLED || strcmp(call->node, change->node))
		return false;
	return !change->live_incarnation ||
	       (call->peer_incarnation &&
		call->peer_incarnation != change->live_incarnation);
}

void peer_calls_peer_changed(peer_calls_t *calls, const char *node,
			     uint64_t incarnation)
{
	const peer_change_t change = {.node = node,
				      .live_incarnation = incarnation};
	const peer_call_failure_t failure = {
		.reason = REASON_LOST_ANSWER,
		.peer_is_gone = true,
	};
	g_autoptr(GArray) ids =
		collect_ids(calls, is_of_ended_process, &change);

	fail_calls(calls, ids, failure);
}

static bool is_past_deadline(const peer_call_t *call, const void *context)
{
	return call->state != CALL_SETTLED &&
	       call->deadline_ms <= *(const uint64_t *)context;
}

static bool is_send_overdue(const peer_call_t *call, const void *context)
{
	return call->state == CALL_WAITING && !call->was_sent &&
	       call->send_deadline_ms <= *(const uint64_t *)context;
}

static bool is_settled(const peer_call_t *call, const void *context)
{
	return call->state == CALL_SETTLED;
}

static void fail_unsent(peer_calls_t *calls, uint64_t now_ms)
{
	const peer_call_failure_t failure = {.reason = REASON_UNREACHABLE};
	g_autoptr(GArray) ids = collect_ids(calls, is_send_overdue, &now_ms);

	for (guint i = 0; i < ids->len; i++) {
		peer_call_t *call = find_call(calls, ids, i);
		answer_t result;

		if (!withdraw_unsent(calls, call))
			continue;
		result = peer_call_failure_answer(call, true, failure);
		peer_call_settle(call, &result);
	}
}

static bool is_inquiry_due(const peer_call_t *call, const void *context)
{
	return call->state == CALL_WAITING && call->was_sent &&
	       call->peer_incarnation &&
	       call->inquiry_ms <= *(const uint64_t *)context;
}

/*
 * The request or its answer may have been lost on a failed connection. Only
 * the process that received the request knows, so its incarnation has to be
 * known.
 */
static void send_inquiries(peer_calls_t *calls, uint64_t now_ms)
{
	g_autoptr(GArray) ids = collect_ids(calls, is_inquiry_due, &now_ms);

	for (guint i = 0; i < ids->len; i++) {
		peer_call_t *call = find_call(calls, ids, i);
		g_autoptr(peer_message_t) message =
			peer_message_new(PEER_MESSAGE_INQUIRY);

		call->inquiry_ms = now_ms + INQUIRY_INTERVAL_MS;
		message->call_id = call->call_id;
		calls->link.send(calls->link.context, call->node, message);
	}
}

static void report_settled(peer_calls_t *calls, uint64_t now_ms)
{
	g_autoptr(GArray) ids = collect_ids(calls, is_settled, NULL);

	for (guint i = 0; i < ids->len; i++) {
		peer_call_t *call = find_call(calls, ids, i);

		if (call)
			report_result(calls, call, now_ms);
	}
}

void peer_calls_run(peer_calls_t *calls, uint64_t now_ms)
{
	const peer_call_failure_t failure = {.reason = REASON_DEADLINE};
	g_autoptr(GArray) expired =
		collect_ids(calls, is_past_deadline, &now_ms);

	fail_calls(calls, expired, failure);
	fail_unsent(calls, now_ms);
	send_inquiries(calls, now_ms);
	report_settled(calls, now_ms);
}

uint32_t peer_calls_count(const peer_calls_t *calls)
{
	return g_hash_table_size(calls->calls);
}

peer_calls_drops_t peer_calls_drops(const peer_calls_t *calls)
{
	return calls->drops;
}
