#include "daemon/session.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>

#include <event2/buffer.h>

#include "base/clock.h"
#include "base/log.h"
#include "daemon/session_login.h"
#include "daemon/session_request.h"
#include "protocol/pg_frame.h"
#include "transport/read_limit.h"

/* Time that a closing session waits for its caller to read the output. */
#define CLOSE_TIMEOUT_S 5

#define LEAVING_MESSAGE "the entry VM is leaving"

static void on_deferred_end(evutil_socket_t fd, short what, void *context)
{
	session_destroy(context);
}

void session_end_later(session_t *session)
{
	session->state = SESSION_CLOSING;
	event_active(session->deferred_end, EV_TIMEOUT, 0);
}

static void on_timer(evutil_socket_t fd, short what, void *context)
{
	session_t *session = context;

	if (session->state == SESSION_CLOSING) {
		session_destroy(session);
		return;
	}
	if (session->state == SESSION_READY || session->state == SESSION_BUSY) {
		if (!session_is_busy(session))
			session_fatal(session, "57P01", LEAVING_MESSAGE);
		return;
	}
	log_event(LOG_LEVEL_INFO, "login_timeout", "process_id=%u",
		  session->process_id);
	session_destroy(session);
}

static void on_output_written(struct bufferevent *bev, void *context)
{
	session_t *session = context;

	if (session->state == SESSION_CLOSING)
		session_end_later(session);
}

static void on_event(struct bufferevent *bev, short what, void *context)
{
	if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
		session_destroy(context);
}

static void on_read(struct bufferevent *bev, void *context)
{
	session_process(context);
}

session_t *session_create(session_host_t *host, evutil_socket_t fd,
			  uint64_t session_id, uint32_t process_id,
			  uint32_t secret)
{
	session_t *session = g_new0(session_t, 1);
	const struct timeval timeout = {
		.tv_sec = SESSION_LOGIN_TIMEOUT_MS / 1000,
	};
	const int on = 1;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
	session->host = host;
	session->session_id = session_id;
	session->process_id = process_id;
	session->secret = secret;
	session->status = 'I';
	session->settings = session_settings_new();
	session->batch = batch_create(host->statements);
	session->counters =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	session->bev =
		bufferevent_socket_new(host->base, fd, BEV_OPT_CLOSE_ON_FREE);
	session->timer = evtimer_new(host->base, on_timer, session);
	session->deferred_end =
		evtimer_new(host->base, on_deferred_end, session);
	event_add(session->timer, &timeout);
	bufferevent_setcb(session->bev, on_read, on_output_written, on_event,
			  session);
	session->read_limit_bytes = PG_STARTUP_SIZE_BYTES_MAX;
	bufferevent_enable(session->bev, EV_READ | EV_WRITE);
	return session;
}

void session_destroy(session_t *session)
{
	if (!session)
		return;
	session->host->ended(session->host->context, session);
	session_request_abandon(session);
	event_free(session->timer);
	event_free(session->deferred_end);
	bufferevent_free(session->bev);
	session_settings_delete(session->settings);
	batch_destroy(session->batch);
	scram_destroy(session->scram);
	g_hash_table_destroy(session->counters);
	g_free(session->user);
	g_free(session->database);
	g_free(session->tenant);
	g_free(session->class_name);
	g_free(session);
}

bool session_is_busy(const session_t *session)
{
	return session->state == SESSION_BUSY || session->status != 'I';
}

/*
 * The caller may be sending a request right now. Closing the connection would
 * leave the request's outcome unknown to the caller, so the session continues
 * to run requests and is closed once it has been idle for a while.
 */
void session_drain(session_t *session)
{
	const struct timeval idle_time = clock_timeval(SESSION_DRAIN_IDLE_MS);

	if (session->state == SESSION_CLOSING || session_is_busy(session))
		return;
	if (session->state == SESSION_READY)
		event_add(session->timer, &idle_time);
	else
		session_fatal(session, "57P01", LEAVING_MESSAGE);
}

bool session_refuses_statements(const session_t *session)
{
	const session_host_t *host = session->host;
	const uint64_t now_ms = clock_now_ms();

	if (!drain_plan_is_begun(&host->drain) || session->status != 'I')
		return false;
	return now_ms >= host->drain.begun_ms + SESSION_DRAIN_GRACE_MS ||
	       !drain_plan_may_begin(&host->drain, now_ms,
				     session_request_timeout_ms(session));
}

void session_finish(session_t *session)
{
	if (session->state == SESSION_CLOSING)
		return;
	if (session->state == SESSION_BUSY)
		session_request_end(session, REASON_LEAVING);
	if (session->state != SESSION_CLOSING)
		session_fatal(session, "57P01", LEAVING_MESSAGE);
}

void session_cancel(session_t *session)
{
	if (session->state == SESSION_BUSY)
		session_request_end(session, REASON_CANCELLED);
}

void session_write(session_t *session, const GByteArray *bytes)
{
	if (bytes->len)
		bufferevent_write(session->bev, bytes->data, bytes->len);
}

void session_fatal(session_t *session, const char *sqlstate,
		   const char *message)
{
	g_autoptr(GByteArray) out = g_byte_array_new();
	const struct timeval timeout = {.tv_sec = CLOSE_TIMEOUT_S};

	log_event(LOG_LEVEL_INFO, "session_closed",
		  "process_id=%u sqlstate=%s reason=\"%s\"",
		  session->process_id, sqlstate, message);
	/* A transaction must not wait for the caller to read the error. */
	session_request_abandon(session);
	session->state = SESSION_CLOSING;
	pg_write_error(out, "FATAL", sqlstate, message, NULL);
	bufferevent_disable(session->bev, EV_READ);
	session_write(session, out);
	event_add(session->timer, &timeout);
}

/* Raises the read limit for a message larger than the read-ahead size. */
static void set_read_limit(session_t *session, size_t size_bytes)
{
	session->read_limit_bytes =
		MAX(size_bytes, SESSION_READ_AHEAD_SIZE_BYTES);
}

static pg_frame_result_t frame_message(const session_t *session,
				       const uint8_t *bytes, size_t size_bytes,
				       pg_message_t *message)
{
	if (session->state == SESSION_STARTUP)
		return pg_frame_startup(bytes, size_bytes, message);
	if (session->state == SESSION_SCRAM_CLIENT_FIRST ||
	    session->state == SESSION_SCRAM_CLIENT_FINAL)
		return pg_frame_next(bytes, size_bytes,
				     PG_STARTUP_SIZE_BYTES_MAX, message);
	return pg_frame_next(bytes, size_bytes, SESSION_MESSAGE_SIZE_BYTES_MAX,
			     message);
}

static void handle_message(session_t *session, const pg_message_t *message)
{
	switch (session->state) {
	case SESSION_STARTUP:
		session_login_startup(session, message);
		return;
	case SESSION_SCRAM_CLIENT_FIRST:
	case SESSION_SCRAM_CLIENT_FINAL:
		session_login_message(session, message);
		return;
	case SESSION_READY:
		session_request_message(session, message);
		return;
	case SESSION_BUSY:
	case SESSION_CLOSING:
		return;
	}
}

/* Handles one buffered message. @return false if none is complete */
static bool process_message(session_t *session)
{
	struct evbuffer *input = bufferevent_get_input(session->bev);
	uint8_t header[PG_HEADER_SIZE_BYTES];
	const ev_ssize_t copied =
		evbuffer_copyout(input, header, sizeof(header));
	pg_message_t message = {0};
	pg_frame_result_t result;
	g_autofree uint8_t *bytes = NULL;

	result = frame_message(session, header, copied > 0 ? (size_t)copied : 0,
			       &message);
	if (result == PG_FRAME_INVALID) {
		session_fatal(session, "08P01",
			      "message length is out of bounds");
		return false;
	}
	if (!message.size_bytes)
		return false;
	if (evbuffer_get_length(input) < message.size_bytes) {
		set_read_limit(session, message.size_bytes);
		return false;
	}
	bytes = g_malloc(message.size_bytes);
	evbuffer_remove(input, bytes, message.size_bytes);
	frame_message(session, bytes, message.size_bytes, &message);
	if (message.size_bytes > SESSION_READ_AHEAD_SIZE_BYTES)
		set_read_limit(session, 0);
	handle_message(session, &message);
	return true;
}

void session_process(session_t *session)
{
	while (session->state != SESSION_BUSY &&
	       session->state != SESSION_CLOSING)
		if (!process_message(session))
			break;
	if (session->state != SESSION_CLOSING)
		read_limit_apply(session->bev, session->read_limit_bytes);
}

static bool find_caller(session_t *session, const config_service_t *service)
{
	uint32_t i;

	for (i = 0; i < service->callers_count; i++) {
		if (strcmp(service->callers[i].name, session->user) != 0)
			continue;
		g_free(session->class_name);
		session->class_name = g_strdup(service->callers[i].class_name);
		return true;
	}
	return false;
}

static void find_class(session_t *session, const config_service_t *service)
{
	uint32_t i;

	for (i = 0; i < service->classes_count; i++) {
		if (strcmp(service->classes[i].name, session->class_name) != 0)
			continue;
		session->class_index = i;
		session->class_timeout_ms = service->classes[i].timeout_ms;
		session->class_max_age_ms = service->classes[i].max_age_ms;
		return;
	}
}

bool session_refresh(session_t *session)
{
	config_lookup_t place = {0};

	if (session->config_version == session->host->config_version)
		return true;
	if (!session->host->config ||
	    !config_find_database(session->host->config, session->database,
				  &place) ||
	    !find_caller(session, place.service))
		return false;
	g_free(session->tenant);
	session->tenant = g_strdup(place.service->name);
	find_class(session, place.service);
	session->config_version = session->host->config_version;
	return true;
}
