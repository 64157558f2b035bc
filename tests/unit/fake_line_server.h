#ifndef UNIT_FAKE_LINE_SERVER_H
#define UNIT_FAKE_LINE_SERVER_H

#include <stdbool.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <glib.h>

/*
 * Fake backend server of the line protocol: keeps the session variables, the
 * prepared statements and the transaction of each connection, and records what
 * it runs. It can reject statements by their first words.
 */
typedef struct {
	struct evconnlistener *listener;
	uint16_t port;
	GString *log; /* all statements, in order of arrival, one a line */
	GByteArray *received; /* all bytes of all connections, as they came */
	uint32_t sessions;    /* connections that are open */
	GBytes *row;	      /* row that answers a READ, or NULL for none */
	/*
	 * Statements that ran: "STATE[NAME=VALUE...] TEXT", an EXECUTE with its
	 * definition in place of its name; one a line.
	 */
	GString *runs;
	const char *rejects;	/* first words of what is rejected, or NULL */
	const char *error;	/* "CODE text" that rejects it */
	uint32_t rejects_count; /* statements that are still to be rejected */
	bool breaks;		/* the connection breaks in place of an error */
	const char *holds; /* first words of what is not answered, or NULL */
	struct bufferevent *held; /* connection that waits for an answer */
	bool ignores_begin;	  /* a BEGIN is answered, but opens nothing */
} fake_line_server_t;

typedef struct {
	fake_line_server_t *server;
	struct bufferevent *bev;
	GHashTable *values;
	GHashTable *prepared;
	char state;
} fake_line_session_t;

static void fake_line_session_free(fake_line_session_t *session)
{
	session->server->sessions--;
	bufferevent_free(session->bev);
	g_hash_table_destroy(session->values);
	g_hash_table_destroy(session->prepared);
	g_free(session);
}

static void fake_line_answer(fake_line_session_t *session, const char *line)
{
	g_autofree char *text =
		g_strdup_printf("%s%sREADY %c 1.5\r\n", line,
				*line ? "\r\n" : "", session->state);

	bufferevent_write(session->bev, text, strlen(text));
}

static void fake_line_error(fake_line_session_t *session, const char *error)
{
	g_autofree char *line = g_strconcat("ERROR ", error, NULL);

	if (session->state != 'I')
		session->state = 'E';
	fake_line_answer(session, line);
}

/* Answers with a row of any bytes, which may not be one of the protocol. */
static void fake_line_put_row(fake_line_session_t *session, GBytes *row)
{
	gsize size_bytes;
	const void *bytes = g_bytes_get_data(row, &size_bytes);

	bufferevent_write(session->bev, "DATAROW ", strlen("DATAROW "));
	bufferevent_write(session->bev, bytes, size_bytes);
	bufferevent_write(session->bev, "\r\n", strlen("\r\n"));
}

static void fake_line_run(fake_line_session_t *session, const char *text)
{
	GString *runs = session->server->runs;
	GHashTableIter iter;
	gpointer name;
	gpointer value;

	g_string_append_c(runs, session->state);
	g_hash_table_iter_init(&iter, session->values);
	while (g_hash_table_iter_next(&iter, &name, &value))
		g_string_append_printf(runs, "[%s=%s]", (char *)name,
				       (char *)value);
	g_string_append_printf(runs, " %s\n", text);
	if (session->server->row && g_str_has_prefix(text, "READ"))
		fake_line_put_row(session, session->server->row);
	fake_line_answer(session, "COMPLETE 1");
}

static void fake_line_execute(fake_line_session_t *session, GStrv words)
{
	const char *definition =
		g_hash_table_lookup(session->prepared, words[1]);
	g_autofree char *text = NULL;

	if (!definition) {
		fake_line_error(session, "UNKNOWN i-1");
		return;
	}
	text = g_strdup_printf("%s %s", definition, words[2]);
	fake_line_run(session, text);
}

static void fake_line_query(fake_line_session_t *session, const char *text)
{
	g_auto(GStrv) words = g_strsplit(text, " ", 3);
	const guint count = g_strv_length(words);
	const char *word = words[0];

	if (session->state == 'E' && strcmp(word, "ROLLBACK")) {
		fake_line_error(session, "MALFORMED failed transaction");
		return;
	}
	if (!strcmp(word, "RESET")) {
		g_hash_table_remove_all(session->values);
		g_hash_table_remove_all(session->prepared);
	} else if (!strcmp(word, "SET") && count == 3) {
		g_hash_table_replace(session->values, g_strdup(words[1]),
				     g_strdup(words[2]));
	} else if (!strcmp(word, "PREPARE") && count == 3) {
		g_hash_table_replace(session->prepared, g_strdup(words[1]),
				     g_strdup(words[2]));
	} else if (!strcmp(word, "CLOSE") && count == 2) {
		if (!g_hash_table_remove(session->prepared, words[1])) {
			fake_line_error(session, "UNKNOWN i-1");
			return;
		}
	} else if (!strcmp(word, "BEGIN")) {
		session->state = session->server->ignores_begin ? 'I' : 'T';
	} else if (!strcmp(word, "COMMIT") || !strcmp(word, "ROLLBACK")) {
		session->state = 'I';
	} else if (!strcmp(word, "EXECUTE") && count == 3) {
		fake_line_execute(session, words);
		return;
	} else {
		fake_line_run(session, text);
		return;
	}
	fake_line_answer(session, "COMPLETE -");
}

static bool fake_line_rejects(fake_line_server_t *server, const char *text)
{
	if (!server->rejects || !server->rejects_count ||
	    !g_str_has_prefix(text, server->rejects))
		return false;
	server->rejects_count--;
	return true;
}

static void fake_line_on_read(struct bufferevent *bev, void *context)
{
	fake_line_session_t *session = context;
	fake_line_server_t *server = session->server;
	size_t size_bytes;
	char *line;

	while ((line = evbuffer_readln(bufferevent_get_input(bev), &size_bytes,
				       EVBUFFER_EOL_CRLF_STRICT))) {
		g_auto(GStrv) words = g_strsplit(line, " ", 3);

		g_byte_array_append(server->received, (const guint8 *)line,
				    (guint)size_bytes);
		g_byte_array_append(server->received, (const guint8 *)"\r\n",
				    2);
		free(line);
		if (strcmp(words[0], "QUERY")) {
			fake_line_answer(session, "");
			continue;
		}
		g_string_append_printf(server->log, "%s\n", words[2]);
		if (server->holds &&
		    g_str_has_prefix(words[2], server->holds)) {
			server->held = bev;
			bufferevent_disable(bev, EV_READ);
			return;
		}
		if (!fake_line_rejects(server, words[2])) {
			fake_line_query(session, words[2]);
		} else if (server->breaks) {
			fake_line_session_free(session);
			return;
		} else {
			fake_line_error(session, server->error);
		}
	}
}

/* Answers the statement that is held; later ones are read again. */
static G_GNUC_UNUSED void fake_line_server_release(fake_line_server_t *server)
{
	struct bufferevent *bev = server->held;
	void *session;

	bufferevent_getcb(bev, NULL, NULL, NULL, &session);
	server->holds = NULL;
	fake_line_answer(session, "COMPLETE -");
	bufferevent_enable(bev, EV_READ);
	bufferevent_trigger(bev, EV_READ, 0);
}

static void fake_line_on_event(struct bufferevent *bev, short what,
			       void *context)
{
	fake_line_session_free(context);
}

static void fake_line_on_accept(struct evconnlistener *listener,
				evutil_socket_t fd, struct sockaddr *address,
				int size, void *context)
{
	fake_line_session_t *session = g_new0(fake_line_session_t, 1);

	session->server = context;
	session->server->sessions++;
	session->state = 'I';
	session->values =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	session->prepared =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	session->bev = bufferevent_socket_new(evconnlistener_get_base(listener),
					      fd, BEV_OPT_CLOSE_ON_FREE);
	bufferevent_setcb(session->bev, fake_line_on_read, NULL,
			  fake_line_on_event, session);
	bufferevent_enable(session->bev, EV_READ | EV_WRITE);
}

static fake_line_server_t *fake_line_server_create(struct event_base *base)
{
	fake_line_server_t *server = g_new0(fake_line_server_t, 1);
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	socklen_t size = sizeof(address);

	server->log = g_string_new("");
	server->received = g_byte_array_new();
	server->runs = g_string_new("");
	server->listener = evconnlistener_new_bind(
		base, fake_line_on_accept, server, LEV_OPT_CLOSE_ON_FREE, 8,
		(struct sockaddr *)&address, sizeof(address));
	getsockname(evconnlistener_get_fd(server->listener),
		    (struct sockaddr *)&address, &size);
	server->port = ntohs(address.sin_port);
	return server;
}

static void fake_line_server_destroy(fake_line_server_t *server)
{
	evconnlistener_free(server->listener);
	g_string_free(server->log, TRUE);
	g_byte_array_unref(server->received);
	g_clear_pointer(&server->row, g_bytes_unref);
	g_string_free(server->runs, TRUE);
	g_free(server);
}

#endif
