#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include <argtable2.h>

#include "base/clock.h"
#include "base/log.h"
#include "standin/common/http.h"
#include "standin/platform/platform.h"

#define EXPIRY_POLL_MS 20

typedef struct {
	struct arg_str *listen;
	struct arg_str *control;
	struct arg_int *list_lag_ms;
	struct arg_lit *help;
	struct arg_end *end;
} options_t;

static void on_expiry(evutil_socket_t fd, short what, void *context)
{
	platform_t *platform = context;

	if (kv_expire(&platform->kv, clock_now_ms()))
		api_answer_changed_watches(platform);
}

static void platform_open(platform_t *platform)
{
	struct timeval interval = {.tv_usec = EXPIRY_POLL_MS * 1000};
	struct event *expiry;

	platform->base = event_base_new();
	kv_open(&platform->kv);
	platform->nodes = json_array();
	platform->nodes_index = 1;
	platform->watches = g_ptr_array_new();
	expiry = event_new(platform->base, -1, EV_PERSIST, on_expiry, platform);
	event_add(expiry, &interval);
}

/* Exits the process if it could not listen on @p address. */
static void exit_unless_listening(bool started, const char *address)
{
	if (started)
		return;
	log_event(LOG_LEVEL_ERROR, "listen_failed", "address=%s", address);
	exit(EXIT_FAILURE);
}

int main(int argc, char **argv)
{
	static platform_t platform;
	options_t options = {
		.listen = arg_str1(NULL, "listen", "ADDRESS:PORT",
				   "where nodes reach the platform"),
		.control =
			arg_str1(NULL, "control", "ADDRESS:PORT",
				 "where tests inject faults and read counters"),
		.list_lag_ms =
			arg_int0(NULL, "list-lag-ms", "MS",
				 "delay until a new list of VMs is published"),
		.help = arg_lit0(NULL, "help", "print this and exit"),
		.end = arg_end(8),
	};
	endpoint_t listen;
	endpoint_t control;

	options.list_lag_ms->ival[0] = 0;
	if (arg_parse(argc, argv, (void **)&options) || options.help->count ||
	    !endpoint_parse(options.listen->sval[0], &listen) ||
	    !endpoint_parse(options.control->sval[0], &control)) {
		arg_print_errors(stderr, options.end, argv[0]);
		arg_print_glossary(stderr, (void **)&options, NULL);
		return EXIT_FAILURE;
	}
	signal(SIGPIPE, SIG_IGN);
	log_open("standin-platform", LOG_LEVEL_INFO);
	platform_open(&platform);
	platform.list_lag_ms = (uint32_t)options.list_lag_ms->ival[0];
	exit_unless_listening(api_start(&platform, listen.address, listen.port),
			      options.listen->sval[0]);
	exit_unless_listening(platform_control_start(&platform, control.address,
						     control.port),
			      options.control->sval[0]);
	log_event(LOG_LEVEL_NOTICE, "serving", "address=%s",
		  options.listen->sval[0]);
	event_base_dispatch(platform.base);
	return EXIT_SUCCESS;
}
