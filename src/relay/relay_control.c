#include "relay/relay_control.h"

#include "base/clock.h"

/* One control operation under way. */
typedef struct {
	relay_service_t *service;
	relay_server_t *server; /* NULL when unknown or after a refusal */
	relay_link_t *link;	/* while the operation runs, else NULL */
	relay_waiter_t waiter;
	relay_control_t operation;
	uint64_t term;
	struct event *timer; /* timeout; also defers the callback */
	relay_control_answer_t answer;
	bool completed; /* answer.result is final */
	relay_control_done_t done;
	void *context;
} request_t;

static const relay_services_settings_t *settings_of(const request_t *request)
{
	return relay_services_settings(
		relay_service_services(request->service));
}

static void finish(request_t *request)
{
	const relay_control_done_t done = request->done;
	void *const context = request->context;
	const relay_control_answer_t answer = request->answer;

	event_free(request->timer);
	g_free(request);
	done(context, &answer);
}

static void complete(request_t *request, relay_control_result_t result)
{
	request->answer.result = result;
	request->completed = true;
	event_active(request->timer, EV_TIMEOUT, 0);
}

/*
 * A server that refuses a connection at its connection limit is alive. If
 * another node refused to forward, the server's own last answer decides.
 */
static void complete_refused(request_t *request, const relay_server_t *server)
{
	complete(request, relay_server_is_full(server) ?
				  RELAY_CONTROL_BUSY :
				  RELAY_CONTROL_UNREACHABLE);
}

static void on_answer(void *context, const relay_answer_t *answer)
{
	request_t *request = context;
	relay_link_t *link = request->link;
	const bool forwarded = relay_link_is_forwarded(link);

	request->answer.sent_ms = answer->sent_ms;
	request->answer.link_opened_ms = relay_link_opened_ms(link);
	request->link = NULL;
	if (answer->broken) {
		relay_server_discard(request->server, link);
		complete(request, RELAY_CONTROL_UNRESPONSIVE);
		return;
	}
	relay_service_record_point(request->service, request->server,
				   answer->point, answer->sent_ms);
	if (answer->failed && forwarded) {
		relay_server_discard(request->server, link);
		complete_refused(request, request->server);
		return;
	}
	relay_server_record_run_time(request->server,
				     clock_boot_ms() - answer->sent_ms);
	relay_server_release(request->server, link, 0);
	if (answer->failed || !answer->row ||
	    !settings_of(request)->codec->parse_status(answer->row,
						       &request->answer.status))
		complete(request, RELAY_CONTROL_BUSY);
	else
		complete(request, RELAY_CONTROL_DONE);
}

static void on_granted(void *context, relay_server_t *server,
		       relay_link_t *link)
{
	request_t *request = context;
	g_autofree char *text = settings_of(request)->codec->text_control(
		request->operation, request->term);

	request->link = link;
	relay_link_run(link, NULL, (log_point_t){0}, text, on_answer, request);
}

static void on_refused(void *context, relay_server_t *server)
{
	request_t *request = context;

	request->server = NULL;
	complete_refused(request, server);
}

static void on_timer(evutil_socket_t fd, short what, void *context)
{
	request_t *request = context;

	if (!request->completed && request->link) {
		request->answer.result = RELAY_CONTROL_UNRESPONSIVE;
		relay_server_discard(request->server, request->link);
	} else if (!request->completed) {
		request->answer.result = RELAY_CONTROL_UNRESPONSIVE;
		if (request->server)
			relay_server_cancel_wait(request->server,
						 &request->waiter);
	}
	finish(request);
}

void relay_control_run(relay_service_t *service, const char *server,
		       relay_control_t operation, uint64_t term,
		       uint32_t timeout_ms, relay_control_done_t done,
		       void *context)
{
	relay_control_run_opened_before(service, server, operation, term, 0,
					timeout_ms, done, context);
}

void relay_control_run_opened_before(relay_service_t *service,
				     const char *server,
				     relay_control_t operation, uint64_t term,
				     uint64_t opened_before_ms,
				     uint32_t timeout_ms,
				     relay_control_done_t done, void *context)
{
	request_t *request = g_new0(request_t, 1);
	const uint64_t now_ms = clock_boot_ms();
	const struct timeval timeout = clock_timeval(timeout_ms);

	request->service = service;
	request->server = relay_service_server(service, server);
	request->operation = operation;
	request->term = term;
	request->done = done;
	request->context = context;
	request->answer.sent_ms = now_ms;
	request->waiter = (relay_waiter_t){
		.entry = {.first = true,
			  .target_ms = now_ms,
			  .deadline_ms = now_ms + timeout_ms},
		.urgent = true,
		.opened_before_ms = opened_before_ms,
		.granted = on_granted,
		.refused = on_refused,
		.context = request,
	};
	request->timer =
		evtimer_new(settings_of(request)->base, on_timer, request);
	event_add(request->timer, &timeout);
	if (request->server)
		relay_server_acquire(request->server, &request->waiter);
	else
		complete(request, RELAY_CONTROL_UNREACHABLE);
}

const char *relay_control_result_name(relay_control_result_t result)
{
	static const char *const names[] = {"done", "busy", "unreachable",
					    "silent"};

	return names[result];
}
