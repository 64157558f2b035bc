#include "ctl/ctl.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <jansson.h>

#include "base/text.h"
#include "ctl/ctl_status.h"
#include "transport/http_client.h"

#define REQUEST_TIMEOUT_MS 10000
#define NODE_DEFAULT "127.0.0.1:9470"
#define NAME_SIZE_BYTES 256

/* Answer of a node. */
typedef struct {
	bool answered;	 /* the request has ended */
	uint32_t status; /* HTTP status; 0 without an answer */
	char *body;
} answer_t;

static void on_answer(void *context, const http_response_t *response)
{
	answer_t *answer = context;

	answer->answered = true;
	answer->status = response->status;
	answer->body = text_new(response->bytes, response->size_bytes);
	if (!answer->body)
		answer->body = g_strdup("the answer is no text");
}

/* Sends a request and waits for its end. Free the body with g_free(). */
static answer_t send_request(const ctl_endpoint_t *node, http_method_t method,
			     const char *path)
{
	static const uint8_t no_body[1];
	struct event_base *base = event_base_new();
	http_client_t *client =
		http_client_create(base, node->address, node->port);
	answer_t answer = {.answered = false};

	http_client_send(client, method, path,
			 method == HTTP_POST ? no_body : NULL, 0,
			 REQUEST_TIMEOUT_MS, on_answer, &answer, NULL);
	while (!answer.answered)
		event_base_loop(base, EVLOOP_ONCE);
	http_client_destroy(client);
	event_base_free(base);
	return answer;
}

/* Prints the member @p name of an answer, or the body if there is none. */
static void print_answer(const answer_t *answer, const char *name, FILE *file)
{
	json_t *json = json_loads(answer->body, 0, NULL);
	const char *text = json_string_value(json_object_get(json, name));

	fprintf(file, "%s\n", text ? text : answer->body);
	json_decref(json);
}

/* Posts a command to a node and prints its answer. */
static ctl_exit_t post_command(const ctl_endpoint_t *node, const char *path)
{
	answer_t answer = send_request(node, HTTP_POST, path);
	ctl_exit_t code = CTL_DONE;

	if (answer.status == 202) {
		print_answer(&answer, "result", stdout);
	} else if (!answer.status) {
		fprintf(stderr,
			"toucanctl: no answer from the node at %s port %u; "
			"the command may have been accepted\n",
			node->address, node->port);
		code = CTL_UNKNOWN;
	} else {
		fprintf(stderr, "toucanctl: refused: ");
		print_answer(&answer, "error", stderr);
		code = CTL_REFUSED;
	}
	g_free(answer.body);
	return code;
}

static ctl_exit_t status(const ctl_endpoint_t *node, bool json)
{
	answer_t answer = send_request(node, HTTP_GET, "/status");
	ctl_exit_t code = CTL_UNREACHABLE;

	if (answer.status == 200 && json) {
		puts(answer.body);
		code = CTL_DONE;
	} else if (answer.status == 200 && ctl_status_print(answer.body)) {
		code = CTL_DONE;
	} else {
		fprintf(stderr,
			"toucanctl: no status from the node at %s port %u\n",
			node->address, node->port);
	}
	g_free(answer.body);
	return code;
}

static struct arg_str *node_argument(void)
{
	struct arg_str *node =
		arg_str0("n", "node", "IP:PORT",
			 "operators' endpoint of the node (" NODE_DEFAULT ")");

	node->sval[0] = NODE_DEFAULT;
	return node;
}

/* Parses a command line and its --node. @return false to exit with @p code */
static bool parse_node(const ctl_arguments_t *arguments, int argc, char **argv,
		       const struct arg_str *node, ctl_endpoint_t *endpoint,
		       ctl_exit_t *code)
{
	return ctl_parse(arguments, argc, argv, code) &&
	       ctl_endpoint_parse("node", node->sval[0], endpoint);
}

ctl_exit_t ctl_status(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0("h", "help", "show this help");
	struct arg_str *node = node_argument();
	struct arg_lit *json = arg_lit0("j", "json", "print JSON");
	struct arg_end *end = arg_end(20);
	void *table[] = {help, node, json, end};
	const ctl_arguments_t arguments = {
		"status",
		"Shows the state that a node holds: its configuration "
		"revision, the other nodes,\nand the terms, primaries and "
		"backend servers of every database.",
		table, G_N_ELEMENTS(table)};
	ctl_endpoint_t endpoint;
	ctl_exit_t code = CTL_USAGE;

	if (parse_node(&arguments, argc, argv, node, &endpoint, &code))
		code = status(&endpoint, json->count > 0);
	arg_freetable(table, G_N_ELEMENTS(table));
	return code;
}

static ctl_exit_t explain(const ctl_endpoint_t *node, const char *database,
			  bool writes)
{
	g_autofree char *escaped = g_uri_escape_string(database, NULL, FALSE);
	g_autofree char *path = g_strdup_printf(
		"/explain?database=%s%s", escaped, writes ? "&write=1" : "");
	answer_t answer = send_request(node, HTTP_GET, path);
	ctl_exit_t code = CTL_DONE;

	if (answer.status == 200) {
		fputs(answer.body, stdout);
	} else if (answer.status) {
		fprintf(stderr, "toucanctl: the node knows no database %s\n",
			database);
		code = CTL_REFUSED;
	} else {
		fprintf(stderr,
			"toucanctl: no answer from the node at %s port %u\n",
			node->address, node->port);
		code = CTL_UNREACHABLE;
	}
	g_free(answer.body);
	return code;
}

ctl_exit_t ctl_explain(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0("h", "help", "show this help");
	struct arg_str *node = arg_str1("m", "metrics", "IP:PORT",
					"metrics endpoint of the node");
	struct arg_lit *write =
		arg_lit0("w", "write", "a statement that may change data");
	struct arg_str *database = arg_str1(
		NULL, NULL, "DATABASE", "database that the statement is for");
	struct arg_end *end = arg_end(20);
	void *table[] = {help, node, write, database, end};
	const ctl_arguments_t arguments = {
		"explain",
		"Shows to which server a node would send a statement now, and "
		"why. Nothing is sent\nto a server.",
		table, G_N_ELEMENTS(table)};
	ctl_endpoint_t endpoint;
	ctl_exit_t code = CTL_USAGE;

	if (ctl_parse(&arguments, argc, argv, &code) &&
	    ctl_endpoint_parse("metrics", node->sval[0], &endpoint))
		code = explain(&endpoint, database->sval[0], write->count > 0);
	arg_freetable(table, G_N_ELEMENTS(table));
	return code;
}

ctl_exit_t ctl_drain(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0("h", "help", "show this help");
	struct arg_str *node = node_argument();
	struct arg_end *end = arg_end(20);
	void *table[] = {help, node, end};
	const ctl_arguments_t arguments = {
		"drain",
		"Drains a node: it accepts no new callers, finishes running "
		"requests, hands its\nbackend servers over and exits.",
		table, G_N_ELEMENTS(table)};
	ctl_endpoint_t endpoint;
	ctl_exit_t code = CTL_USAGE;

	if (parse_node(&arguments, argc, argv, node, &endpoint, &code))
		code = post_command(&endpoint, "/drain");
	arg_freetable(table, G_N_ELEMENTS(table));
	return code;
}

/*
 * A promotion terminates running transactions, so the operator has to repeat
 * the name of the database.
 */
static bool is_confirmed(const char *database, const struct arg_str *confirm)
{
	char line[NAME_SIZE_BYTES];

	if (!confirm->count && isatty(STDIN_FILENO)) {
		fprintf(stderr,
			"Running transactions on %s will be terminated.\n"
			"Type the database's name to continue: ",
			database);
		if (!fgets(line, sizeof(line), stdin))
			return false;
		line[strcspn(line, "\n")] = '\0';
		return !strcmp(line, database);
	}
	return confirm->count && !strcmp(confirm->sval[0], database);
}

static ctl_exit_t promote(const ctl_endpoint_t *node, const char *database,
			  const struct arg_str *server,
			  const struct arg_str *confirm)
{
	g_autofree char *escaped_database =
		g_uri_escape_string(database, NULL, FALSE);
	g_autofree char *escaped_server = NULL;
	g_autofree char *path = NULL;

	if (!is_confirmed(database, confirm)) {
		fprintf(stderr,
			"toucanctl: not confirmed; expected --confirm=%s\n",
			database);
		return CTL_USAGE;
	}
	if (server->count)
		escaped_server =
			g_uri_escape_string(server->sval[0], NULL, FALSE);
	path = g_strdup_printf("/promote?database=%s&confirm=%s%s%s",
			       escaped_database, escaped_database,
			       escaped_server ? "&server=" : "",
			       escaped_server ? escaped_server : "");
	return post_command(node, path);
}

ctl_exit_t ctl_promote(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0("h", "help", "show this help");
	struct arg_str *node = node_argument();
	struct arg_str *server =
		arg_str0("s", "server", "NAME",
			 "server to promote; default: the best replica");
	struct arg_str *confirm =
		arg_str0("c", "confirm", "DATABASE",
			 "the database's name again; a terminal is prompted "
			 "if omitted");
	struct arg_str *database = arg_str1(
		NULL, NULL, "DATABASE", "database whose primary is replaced");
	struct arg_end *end = arg_end(20);
	void *table[] = {help, node, server, confirm, database, end};
	const ctl_arguments_t arguments = {
		"promote",
		"Replaces the primary of a database by one of its replicas. A "
		"server that lacks an\nacknowledged change is not promoted.",
		table, G_N_ELEMENTS(table)};
	ctl_endpoint_t endpoint;
	ctl_exit_t code = CTL_USAGE;

	if (parse_node(&arguments, argc, argv, node, &endpoint, &code))
		code = promote(&endpoint, database->sval[0], server, confirm);
	arg_freetable(table, G_N_ELEMENTS(table));
	return code;
}
