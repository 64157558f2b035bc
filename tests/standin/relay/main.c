#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <argtable2.h>

#include "base/clock.h"
#include "base/log.h"
#include "standin/common/http.h"
#include "standin/relay/link.h"

#define LINKS_MAX 4096

typedef struct {
	struct event_base *base;
	GPtrArray *links; /**< of link_t */
	uint64_t random_state;
} relay_t;

typedef struct {
	struct arg_str *link;
	struct arg_str *control;
	struct arg_int *seed;
	struct arg_lit *help;
	struct arg_end *end;
} options_t;

/* Opens the link described by TAG=LISTEN=TARGET. */
static bool relay_open_link(relay_t *relay, const char *text)
{
	g_auto(GStrv) parts = g_strsplit(text, "=", 3);
	endpoint_t listen;
	endpoint_t target;
	link_t *link;

	if (g_strv_length(parts) != 3 || !endpoint_parse(parts[1], &listen) ||
	    !endpoint_parse(parts[2], &target))
		return false;
	link = link_create(relay->base, parts[0], &listen, &target,
			   &relay->random_state);
	if (link)
		g_ptr_array_add(relay->links, link);
	return link != NULL;
}

static void read_settings(struct evhttp_request *request,
			  link_settings_t *settings)
{
	g_autofree char *loss = http_argument(request, "loss_percent");
	int64_t freeze_ms = http_number(request, "freeze", -1);

	settings->delay_ms =
		(uint32_t)http_number(request, "delay_ms", settings->delay_ms);
	settings->jitter_ms = (uint32_t)http_number(request, "jitter_ms",
						    settings->jitter_ms);
	settings->cut = http_number(request, "cut", settings->cut);
	settings->mute = http_number(request, "mute", settings->mute);
	if (loss)
		settings->loss_percent = g_ascii_strtod(loss, NULL);
	if (freeze_ms >= 0)
		settings->frozen_until_ms =
			clock_now_ms() + (uint64_t)freeze_ms;
}

static void on_set(struct evhttp_request *request, void *context)
{
	relay_t *relay = context;
	g_autofree char *tag = http_argument(request, "tag");
	bool keep_flows = http_number(request, "keep", 0);
	uint32_t found = 0;

	for (guint i = 0; i < relay->links->len; i++) {
		link_t *link = relay->links->pdata[i];
		link_settings_t settings = link->settings;

		if (tag && strcmp(tag, "*") != 0 && strcmp(tag, link->tag) != 0)
			continue;
		found++;
		read_settings(request, &settings);
		link_set(link, &settings, keep_flows);
	}
	http_reply_text(request, found ? HTTP_OK : HTTP_NOTFOUND,
			found ? "ok\n" : "no such tag\n");
}

static void on_link(struct evhttp_request *request, void *context)
{
	g_autofree char *body = http_body(request);
	bool opened = relay_open_link(context, body);

	http_reply_text(request, opened ? HTTP_OK : HTTP_BADREQUEST,
			opened ? "ok\n" : "not TAG=LISTEN=TARGET\n");
}

static void on_state(struct evhttp_request *request, void *context)
{
	const relay_t *relay = context;
	json_t *list = json_array();

	for (guint i = 0; i < relay->links->len; i++) {
		const link_t *link = relay->links->pdata[i];

		json_array_append_new(
			list, json_pack("{s:s,s:i,s:I,s:I,s:I,s:I,s:b}", "tag",
					link->tag, "target_port",
					(int)link->target.port, "flows_open",
					(json_int_t)link->flows->len, "flows",
					(json_int_t)link->counts.flows, "bytes",
					(json_int_t)link->counts.bytes,
					"segments_lost",
					(json_int_t)link->counts.segments_lost,
					"cut", link->settings.cut));
	}
	http_reply_json(request, list);
}

static void relay_serve(relay_t *relay, const endpoint_t *control)
{
	struct evhttp *http =
		http_listen(relay->base, control->address, control->port);

	if (!http) {
		log_event(LOG_LEVEL_ERROR, "listen_failed", "control=%s:%u",
			  control->address, control->port);
		exit(EXIT_FAILURE);
	}
	evhttp_set_cb(http, "/set", on_set, relay);
	evhttp_set_cb(http, "/link", on_link, relay);
	evhttp_set_cb(http, "/state", on_state, relay);
	log_event(LOG_LEVEL_NOTICE, "serving", "links=%u", relay->links->len);
	event_base_dispatch(relay->base);
}

/* Creates an event base whose timers are not rounded to milliseconds. */
static struct event_base *precise_base(void)
{
	struct event_config *config = event_config_new();
	struct event_base *base;

	event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
	base = event_base_new_with_config(config);
	event_config_free(config);
	return base;
}

int main(int argc, char **argv)
{
	relay_t relay = {0};
	endpoint_t control;
	options_t options = {
		.link = arg_strn(NULL, "link", "TAG=LISTEN=TARGET", 0,
				 LINKS_MAX, "address to forward to a target"),
		.control =
			arg_str1(NULL, "control", "ADDRESS:PORT",
				 "where tests inject faults and read counters"),
		.seed = arg_int0(NULL, "seed", "N", "seed of jitter and loss"),
		.help = arg_lit0(NULL, "help", "print this and exit"),
		.end = arg_end(8),
	};

	options.seed->ival[0] = 1;
	if (arg_parse(argc, argv, (void **)&options) || options.help->count ||
	    !endpoint_parse(options.control->sval[0], &control)) {
		arg_print_errors(stderr, options.end, argv[0]);
		arg_print_glossary(stderr, (void **)&options, NULL);
		return EXIT_FAILURE;
	}
	signal(SIGPIPE, SIG_IGN);
	log_open("standin-relay", LOG_LEVEL_INFO);
	relay.base = precise_base();
	relay.links = g_ptr_array_new();
	relay.random_state = (uint64_t)options.seed->ival[0];
	for (int i = 0; i < options.link->count; i++) {
		if (relay_open_link(&relay, options.link->sval[i]))
			continue;
		log_event(LOG_LEVEL_ERROR, "link_failed", "link=%s",
			  options.link->sval[i]);
		return EXIT_FAILURE;
	}
	relay_serve(&relay, &control);
	return EXIT_SUCCESS;
}
