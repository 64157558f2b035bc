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
	bool ended; /* answer.result is final */
	relay_control_done_t done;
	void *context;
} control_t;

static const relay_services_settings_t *settings_of(const control_t *control)
{
	return relay_services_settings(
		relay_service_services(control->service));
}

static void finish(control_t *control)
{
	const relay_control_done_t done = control->done;
	void *const context = control->context;
	const relay_control_answer_t answer = control->answer;

	event_free(control->timer);
	g_free(control);
	done(context, &answer);
}

static void end(control_t *control, relay_control_result_t result)
{
	control->answer.result = result;
	control->ended = true;
	event_active(control->timer, EV_TIMEOUT, 0);
}

/*
 * A server that refuses a connection at its connection limit is alive. If
 * another node refused to forward, the server's own last answer decides.
 */
static void end_refused(control_t *control, const relay_server_t *server)
{
	end(control, relay_server_is_full(server) ? RELAY_CONTROL_BUSY :
						    RELAY_CONTROL_UNREACHABLE);
}

static void on_answer(void *context, const relay_answer_t *answer)
{
	control_t *control = context;
	relay_link_t *link = control->link;
	const bool lent = relay_link_is_lent(link);

	control->answer.sent_ms = answer->sent_ms;
	control->answer.link_opened_ms = relay_link_opened_ms(link);
	control->link = NULL;
	if (answer->broken) {
		relay_server_discard(control->server, link);
		end(control, RELAY_CONTROL_SILENT);
		return;
	}
	relay_service_seen(control->service, control->server, answer->point,
			   answer->sent_ms);
	if (answer->failed && lent) {
		relay_server_discard(control->server, link);
		end_refused(control, control->server);
		return;
	}
	relay_server_ran(control->server, clock_boot_ms() - answer->sent_ms);
	relay_server_give_back(control->server, link, 0);
	if (answer->failed || !answer->row ||
	    !settings_of(control)->codec->parse_status(answer->row,
						       &control->answer.status))
		end(control, RELAY_CONTROL_BUSY);
	else
		end(control, RELAY_CONTROL_DONE);
}

static void on_granted(void *context, relay_server_t *server,
		       relay_link_t *link)
{
	control_t *control = context;
	g_autofree char *text = settings_of(control)->codec->text_control(
		control->operation, control->term);

	control->link = link;
	relay_link_run(link, NULL, (log_point_t){0}, text, on_answer, control);
}

static void on_refused(void *context, relay_server_t *server)
{
	control_t *control = context;

	control->server = NULL;
	end_refused(control, server);
}

static void on_timer(evutil_socket_t fd, short what, void *context)
{
	control_t *control = context;

	if (!control->ended && control->link) {
		control->answer.result = RELAY_CONTROL_SILENT;
		relay_server_discard(control->server, control->link);
	} else if (!control->ended) {
		control->answer.result = RELAY_CONTROL_SILENT;
		if (control->server)
			relay_server_leave(control->server, &control->waiter);
	}
	finish(control);
}

void relay_control_ask(relay_service_t *service, const char *server,
		       relay_control_t operation, uint64_t term,
		       uint32_t timeout_ms, relay_control_done_t done,
		       void *context)
{
	relay_control_ask_before(service, server, operation, term, 0,
				 timeout_ms, done, context);
}

void relay_control_ask_before(relay_service_t *service, const char *server,
			      relay_control_t operation, uint64_t term,
			      uint64_t opened_before_ms, uint32_t timeout_ms,
			      relay_control_done_t done, void *context)
{
	control_t *control = g_new0(control_t, 1);
	const uint64_t now_ms = clock_boot_ms();
	const struct timeval timeout = clock_timeval(timeout_ms);

	control->service = service;
	control->server = relay_service_server(service, server);
	control->operation = operation;
	control->term = term;
	control->done = done;
	control->context = context;
	control->answer.sent_ms = now_ms;
	control->waiter = (relay_waiter_t){
		.entry = {.first = true,
			  .target_ms = now_ms,
			  .deadline_ms = now_ms + timeout_ms},
		.urgent = true,
		.opened_before_ms = opened_before_ms,
		.granted = on_granted,
		.refused = on_refused,
		.context = control,
	};
	control->timer =
		evtimer_new(settings_of(control)->base, on_timer, control);
	event_add(control->timer, &timeout);
	if (control->server)
		relay_server_ask(control->server, &control->waiter);
	else
		end(control, RELAY_CONTROL_UNREACHABLE);
}

const char *relay_control_result_name(relay_control_result_t result)
{
	static const char *const names[] = {"done", "busy", "unreachable",
					    "silent"};

	return names[result];
}
