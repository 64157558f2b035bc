#include "world/line_client.h"

#include <poll.h>
#include <string.h>
#include <unistd.h>

#include <arpa/inet.h>
#include <sys/socket.h>

#include "base/clock.h"

#define ANSWER_TIMEOUT_MS 8000
#define ID_SIZE 40

struct line_client {
	int fd;
	GString *input;
	char *error;
	char status;
	uint64_t last_id;
	uint64_t id_prefix;
};

static uint64_t next_id_prefix(void)
{
	static uint64_t last_prefix;

	return __atomic_add_fetch(&last_prefix, 1, __ATOMIC_RELAXED);
}

static bool guarantees_no_effect(const char *code)
{
	static const char *const codes[] = {"BUSY",	"ABORTED",   "LAGGING",
					    "READONLY", "WRONGNODE", "TOOMANY"};

	for (size_t i = 0; i < G_N_ELEMENTS(codes); i++)
		if (g_str_has_prefix(code, codes[i]))
			return true;
	return false;
}

/*
 * Reads the next line.
 *
 * @return the line without its line end, or NULL if the connection was closed
 * or no line came in time
 */
static char *read_line(line_client_t *client)
{
	const uint64_t deadline_ms = clock_now_ms() + ANSWER_TIMEOUT_MS;
	struct pollfd in = {.fd = client->fd, .events = POLLIN};
	char bytes[4096];

	for (;;) {
		const char *end = strstr(client->input->str, "\r\n");
		const uint64_t now_ms = clock_now_ms();
		ssize_t size;
		char *line;

		if (end) {
			line = g_strndup(client->input->str,
					 (gsize)(end - client->input->str));
			g_string_erase(client->input, 0,
				       end - client->input->str + 2);
			return line;
		}
		if (now_ms >= deadline_ms ||
		    poll(&in, 1, (int)(deadline_ms - now_ms)) != 1)
			return NULL;
		size = recv(client->fd, bytes, sizeof(bytes), 0);
		if (size <= 0)
			return NULL;
		g_string_append_len(client->input, bytes, size);
	}
}

static line_result_t read_answer(line_client_t *client, char **row)
{
	line_result_t result = LINE_DONE;

	for (;;) {
		g_autofree char *line = read_line(client);

		if (!line)
			return LINE_NO_ANSWER;
		if (g_str_has_prefix(line, "READY ")) {
			client->status = line[6];
			return result;
		}
		if (g_str_has_prefix(line, "DATAROW ") && row && !*row)
			*row = g_strdup(line + 8);
		if (!g_str_has_prefix(line, "ERROR "))
			continue;
		g_free(client->error);
		client->error = g_strdup(line + 6);
		result = guarantees_no_effect(client->error) ? LINE_NO_EFFECT :
							       LINE_ERROR;
	}
}

static bool send_text(line_client_t *client, const char *text)
{
	const ssize_t size = (ssize_t)strlen(text);

	return send(client->fd, text, (size_t)size, MSG_NOSIGNAL) == size;
}

line_client_t *line_client_open(uint16_t port, const char *database)
{
	g_autofree char *error = NULL;

	return line_client_open_as(port, database, "soak", &error);
}

line_client_t *line_client_open_as(uint16_t port, const char *database,
				   const char *key, char **error)
{
	const struct sockaddr_in address = {.sin_family = AF_INET,
					    .sin_port = htons(port),
					    .sin_addr.s_addr =
						    htonl(INADDR_LOOPBACK)};
	g_autofree char *startup_message =
		g_strdup_printf("STARTUP %s %s\r\n", database, key);
	line_client_t *client = g_new0(line_client_t, 1);

	*error = NULL;
	client->input = g_string_new("");
	client->error = g_strdup("");
	client->id_prefix = next_id_prefix();
	client->fd = socket(AF_INET, SOCK_STREAM, 0);
	if (!connect(client->fd, (const struct sockaddr *)&address,
		     sizeof(address)) &&
	    send_text(client, startup_message) &&
	    read_answer(client, NULL) == LINE_DONE)
		return client;
	*error = g_steal_pointer(&client->error);
	line_client_close(client);
	return NULL;
}

void line_client_close(line_client_t *client)
{
	if (!client)
		return;
	close(client->fd);
	g_string_free(client->input, TRUE);
	g_free(client->error);
	g_free(client);
}

bool line_client_send(line_client_t *client, const char *text)
{
	g_autofree char *message = g_strdup_printf(
		"QUERY %lx-%lx %s\r\n", (unsigned long)client->id_prefix,
		(unsigned long)++client->last_id, text);

	return send_text(client, message);
}

line_result_t line_client_run(line_client_t *client, const char *text,
			      char **row)
{
	if (row)
		*row = NULL;
	if (!line_client_send(client, text))
		return LINE_NO_ANSWER;
	return read_answer(client, row);
}

const char *line_client_error(const line_client_t *client)
{
	return client->error;
}

char line_client_status(const line_client_t *client)
{
	return client->status;
}
