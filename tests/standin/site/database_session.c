#include "standin/site/database_session.h"

#include <inttypes.h>
#include <string.h>

#include <sys/socket.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include "base/clock.h"
#include "platform/line_codec.h"

/** One connection to a server, which speaks the line protocol. */
typedef struct {
	db_server_t *server;
	struct bufferevent *bev;
	size_t searched_bytes;	  /* of the input, for the end of a message */
	struct event *work_timer; /**< end of the current command's execution */
	bool started;		  /**< the first message was handled */
	char *user;		  /**< of the connection */
	bool in_transaction;	  /**< a transaction is open */
	bool read_only;		  /**< the open transaction is read-only */
	bool failed;		  /**< the open transaction has failed */
	GHashTable *values;	  /**< settings by name */
	GHashTable *prepared;	  /**< definitions of statements by name */
	GPtrArray *writes;	  /**< of char *, as in commit_t */
	relay_message_t message;
	command_t command; /**< the parsed message */
	bool busy;	   /**< a command is being executed */
} session_t;

static void process_input(session_t *session);

static struct evbuffer *output_of(session_t *session)
{
	return bufferevent_get_output(session->bev);
}

static log_point_t log_end(const db_server_t *server)
{
	const commit_t *last;

	if (!server->log->len)
		return (log_point_t){1, 0};
	last = server->log->pdata[server->log->len - 1];
	return (log_point_t){last->term, last->number};
}

static void session_free(session_t *session)
{
	g_hash_table_remove(session->server->sessions, session);
	relay_message_clear(&session->message);
	command_clear(&session->command);
	event_free(session->work_timer);
	bufferevent_free(session->bev);
	g_hash_table_destroy(session->values);
	g_hash_table_destroy(session->prepared);
	g_ptr_array_unref(session->writes);
	g_free(session->user);
	g_free(session);
}

void database_sessions_end(db_server_t *server)
{
	g_autoptr(GList) sessions = g_hash_table_get_keys(server->sessions);

	for (GList *i = sessions; i; i = i->next)
		session_free(i->data);
}

/* @return whether the answer to a write is lost, chosen at random. */
static bool answer_is_lost(session_t *session)
{
	db_server_t *server = session->server;

	return server->answer_loss_percent &&
	       (uint32_t)g_rand_int_range(server->group->random, 0, 100) <
		       server->answer_loss_percent;
}

/* Closes the connection without sending the answer. */
static void lose_answer(session_t *session)
{
	shutdown(bufferevent_getfd(session->bev), SHUT_RDWR);
}

static void send_ready(session_t *session)
{
	const char status = session->failed	    ? 'E' :
			    session->in_transaction ? 'T' :
						      'I';

	line_codec.put_ready(output_of(session), status,
			     log_end(session->server));
	relay_message_clear(&session->message);
	command_clear(&session->command);
	session->busy = false;
}

static void send_complete(session_t *session, const char *row)
{
	if (row)
		evbuffer_add_printf(output_of(session), "DATAROW %s\r\n", row);
	evbuffer_add_printf(output_of(session), "COMPLETE 1.%s\r\n",
			    session->server->id);
	send_ready(session);
}

static void send_error(session_t *session, relay_error_t error)
{
	line_codec.put_error(output_of(session), error, session->server->id);
	session->failed = session->in_transaction;
	send_ready(session);
}

static void end_transaction(session_t *session)
{
	session->in_transaction = false;
	session->failed = false;
	session->read_only = false;
	g_ptr_array_set_size(session->writes, 0);
}

/* Counts the writes in the server's log that already have @p data. */
static void count_repeated_writes(group_t *group, const db_server_t *server,
				  const char *data)
{
	for (guint i = 0; i < server->log->len; i++) {
		const commit_t *commit = server->log->pdata[i];

		for (guint j = 1; j < commit->writes->len; j += 2)
			if (!strcmp(commit->writes->pdata[j], data))
				group->repeated_writes++;
	}
}

static void commit_writes(session_t *session)
{
	db_server_t *server = session->server;
	commit_t *commit = g_new0(commit_t, 1);

	commit->term = server->term;
	commit->number = log_end(server).position + 1;
	commit->serial = ++server->group->last_serial;
	commit->writes = session->writes;
	for (guint i = 1; i < commit->writes->len; i += 2)
		count_repeated_writes(server->group, server,
				      commit->writes->pdata[i]);
	session->writes = g_ptr_array_new_with_free_func(g_free);
	g_ptr_array_add(server->group->commits, commit);
	g_ptr_array_add(server->log, commit);
}

/* Reads the item, or writes the pair "ITEM DATA", in @p arguments. */
static void read_or_write(session_t *session, bool writes,
			  const char *arguments)
{
	g_auto(GStrv) parts = g_strsplit(arguments, " ", 2);
	const char *data;

	if (!writes) {
		data = db_server_lookup(session->server, parts[0]);
		send_complete(session, data ? data : "-");
		return;
	}
	if (!session->server->primary || session->read_only) {
		send_error(session, RELAY_ERROR_READ_ONLY);
		return;
	}
	g_ptr_array_add(session->writes, g_strdup(parts[0]));
	g_ptr_array_add(session->writes, g_strdup(parts[1] ? parts[1] : "-"));
	if (!session->in_transaction)
		commit_writes(session);
	if (!session->in_transaction && answer_is_lost(session))
		lose_answer(session);
	else
		send_complete(session, NULL);
}

static void finish_commit(session_t *session)
{
	if (session->failed ||
	    (session->writes->len && !session->server->primary)) {
		end_transaction(session);
		send_error(session, session->failed ? RELAY_ERROR_ABORTED :
						      RELAY_ERROR_READ_ONLY);
		return;
	}
	if (session->writes->len)
		commit_writes(session);
	end_transaction(session);
	if (answer_is_lost(session))
		lose_answer(session);
	else
		send_complete(session, NULL);
}

static void execute_prepared(session_t *session)
{
	const char *definition =
		g_hash_table_lookup(session->prepared, session->command.name);

	if (!definition)
		send_error(session, RELAY_ERROR_UNKNOWN_NAME);
	else
		read_or_write(session, g_str_has_prefix(definition, "WRITE"),
			      session->command.value);
}

static void on_work_done(evutil_socket_t fd, short what, void *context)
{
	session_t *session = context;
	const command_t *command = &session->command;
	g_autofree char *write = NULL;

	switch (command->kind) {
	case COMMAND_READ:
		read_or_write(session, false, command->name);
		break;
	case COMMAND_WRITE:
		write = g_strdup_printf("%s %s", command->name, command->value);
		read_or_write(session, true, write);
		break;
	case COMMAND_EXECUTE:
		execute_prepared(session);
		break;
	default:
		finish_commit(session);
	}
	process_input(session);
}

/* Handles PAUSE, RESUME and STEPDOWN; answers any command with the status. */
static void handle_control(session_t *session, const char *text)
{
	db_server_t *server = session->server;
	uint64_t term = 0;
	const char *space = strchr(text, ' ');

	if (space)
		term = g_ascii_strtoull(space + 1, NULL, 10);
	if (g_str_has_prefix(text, "PAUSE") && !server->primary &&
	    term > server->term)
		server->fence = term;
	else if (g_str_has_prefix(text, "RESUME"))
		server->fence = 0;
	else if (g_str_has_prefix(text, "STEPDOWN") && term > server->term)
		server->primary = false;
	evbuffer_add_printf(output_of(session),
			    "DATAROW %s %" PRIu64 " %" PRIu64 ".%" PRIu64
			    " %" PRIu64 " 0 0 1\r\nCOMPLETE -\r\n",
			    server->primary ? "primary" : "replica",
			    server->term, log_end(server).term,
			    log_end(server).position, server->fence);
	send_ready(session);
}

static void handle_begin(session_t *session)
{
	session->read_only = session->command.kind == COMMAND_BEGIN_READ;
	if (!session->read_only && !session->server->primary) {
		send_error(session, RELAY_ERROR_READ_ONLY);
		return;
	}
	session->in_transaction = true;
	send_complete(session, NULL);
}

static void start_work(session_t *session)
{
	const struct timeval delay =
		clock_timeval(session->server->group->work_ms);

	if (session->command.kind == COMMAND_READ ||
	    session->command.kind == COMMAND_WRITE)
		g_hash_table_add(session->server->group->users,
				 g_strdup_printf("%s %s", session->command.name,
						 session->user));
	event_add(session->work_timer, &delay);
}

static void handle_command(session_t *session)
{
	command_t *command = &session->command;
	const log_point_t end = log_end(session->server);

	session->busy = true;
	line_codec.parse(session->message.text, command);
	if (command->after.term && !log_point_covers(end, command->after)) {
		send_error(session, RELAY_ERROR_BEHIND);
		return;
	}
	switch (command->kind) {
	case COMMAND_BEGIN:
	case COMMAND_BEGIN_READ:
		handle_begin(session);
		break;
	case COMMAND_SET:
		g_hash_table_replace(session->values, g_strdup(command->name),
				     g_strdup(command->value));
		send_complete(session, NULL);
		break;
	case COMMAND_PREPARE:
		g_hash_table_replace(session->prepared, g_strdup(command->name),
				     g_strdup(command->value));
		send_complete(session, NULL);
		break;
	case COMMAND_RESET:
		g_hash_table_remove_all(session->values);
		g_hash_table_remove_all(session->prepared);
		send_complete(session, NULL);
		break;
	case COMMAND_ROLLBACK:
		end_transaction(session);
		send_complete(session, NULL);
		break;
	case COMMAND_INVALID:
		handle_control(session, session->message.text);
		break;
	default:
		start_work(session);
	}
}

static void handle_startup(session_t *session)
{
	db_server_t *server = session->server;

	session->started = true;
	session->user = g_steal_pointer(&session->message.user);
	if (g_strcmp0(session->message.text, server->group->name) ||
	    g_strcmp0(session->message.id, server->id))
		line_codec.put_error(output_of(session),
				     RELAY_ERROR_OTHER_SERVER, server->id);
	else if (g_hash_table_size(server->sessions) >
		 server->group->connections_max)
		line_codec.put_error(output_of(session),
				     RELAY_ERROR_CONNECTION_LIMIT, server->id);
	else
		send_ready(session);
	relay_message_clear(&session->message);
}

static void process_input(session_t *session)
{
	struct evbuffer *input = bufferevent_get_input(session->bev);

	if (clock_now_ms() < session->server->unresponsive_until_ms)
		return;
	while (!session->busy) {
		relay_message_clear(&session->message);
		if (line_codec.decode(input, &session->searched_bytes,
				      &session->message, NULL) != RELAY_DECODED)
			return;
		if (!session->started)
			handle_startup(session);
		else if (session->message.kind == RELAY_MESSAGE_QUERY)
			handle_command(session);
	}
}

static void on_read(struct bufferevent *bev, void *context)
{
	process_input(context);
}

static void on_event(struct bufferevent *bev, short what, void *context)
{
	session_free(context);
}

void database_session_create(db_server_t *server, evutil_socket_t fd)
{
	session_t *session = g_new0(session_t, 1);

	session->server = server;
	session->values =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	session->prepared =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	session->writes = g_ptr_array_new_with_free_func(g_free);
	session->work_timer =
		evtimer_new(server->group->base, on_work_done, session);
	session->bev = bufferevent_socket_new(server->group->base, fd,
					      BEV_OPT_CLOSE_ON_FREE);
	bufferevent_setcb(session->bev, on_read, NULL, on_event, session);
	bufferevent_enable(session->bev, EV_READ | EV_WRITE);
	g_hash_table_add(server->sessions, session);
}
