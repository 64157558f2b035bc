#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <argtable2.h>
#include <event2/event.h>

#include "base/log.h"
#include "daemon/node.h"

#define EXIT_USAGE 2
#define VERSION "0.1.0"

static void on_terminate(evutil_socket_t fd, short what, void *context)
{
	node_drain(context);
}

static log_level_t log_level_of(const char *name)
{
	if (!strcmp(name, "error"))
		return LOG_LEVEL_ERROR;
	if (!strcmp(name, "warning"))
		return LOG_LEVEL_WARNING;
	if (!strcmp(name, "notice"))
		return LOG_LEVEL_NOTICE;
	if (!strcmp(name, "debug"))
		return LOG_LEVEL_DEBUG;
	return LOG_LEVEL_INFO;
}

static int serve(const settings_t *settings)
{
	struct event_base *base = event_base_new();
	g_autoptr(GError) error = NULL;
	struct event *on_term;
	struct event *on_int;
	node_t *node;

	signal(SIGPIPE, SIG_IGN);
	node = node_create(base, settings, &error);
	if (!node) {
		log_event(LOG_LEVEL_ERROR, "start_failed", "reason=\"%s\"",
			  error->message);
		event_base_free(base);
		return EXIT_FAILURE;
	}
	on_term = evsignal_new(base, SIGTERM, on_terminate, node);
	on_int = evsignal_new(base, SIGINT, on_terminate, node);
	event_add(on_term, NULL);
	event_add(on_int, NULL);
	log_event(LOG_LEVEL_NOTICE, "started",
		  "node=%s failure_domain=%s callers=%s:%u", settings->node,
		  settings->failure_domain, settings->callers.address,
		  settings->callers.port);
	event_base_dispatch(base);
	event_free(on_term);
	event_free(on_int);
	node_destroy(node);
	event_base_free(base);
	return EXIT_SUCCESS;
}

static int run(const char *path, bool check_only)
{
	g_autoptr(GError) error = NULL;
	settings_t *settings = settings_load(path, &error);
	int status;

	if (!settings) {
		fprintf(stderr, "toucanhookd: %s\n", error->message);
		return EXIT_USAGE;
	}
	if (check_only) {
		settings_delete(settings);
		return EXIT_SUCCESS;
	}
	log_open("toucanhookd", log_level_of(settings->log_level));
	status = serve(settings);
	settings_delete(settings);
	return status;
}

int main(int argc, char **argv)
{
	struct arg_file *settings = arg_file1("s", "settings", "FILE",
					      "settings of this VM (YAML)");
	struct arg_lit *check =
		arg_lit0("c", "check", "validate the settings and exit");
	struct arg_lit *help = arg_lit0("h", "help", "show this help and exit");
	struct arg_lit *version =
		arg_lit0("V", "version", "show the version and exit");
	struct arg_end *end = arg_end(8);
	void *table[] = {settings, check, help, version, end};
	const int errors = arg_parse(argc, argv, table);
	int status;

	if (help->count) {
		printf("usage: toucanhookd");
		arg_print_syntax(stdout, table, "\n");
		arg_print_glossary(stdout, table, "  %-24s %s\n");
		status = EXIT_SUCCESS;
	} else if (version->count) {
		printf("toucanhookd %s\n", VERSION);
		status = EXIT_SUCCESS;
	} else if (errors) {
		arg_print_errors(stderr, end, "toucanhookd");
		status = EXIT_USAGE;
	} else {
		status = run(settings->filename[0], check->count);
	}
	arg_freetable(table, G_N_ELEMENTS(table));
	return status;
}
