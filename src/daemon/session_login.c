#include "daemon/session_login.h"

#include <string.h>

#include <event2/buffer.h>
#include <event2/bufferevent_ssl.h>
#include <openssl/rand.h>

#include "base/log.h"
#include "base/text.h"
#include "daemon/session_request.h"

#define NONCE_SIZE_BYTES 18
#define MECHANISM "SCRAM-SHA-256"

#define AUTHENTICATION_OK 0
#define AUTHENTICATION_SASL 10
#define AUTHENTICATION_SASL_CONTINUE 11
#define AUTHENTICATION_SASL_FINAL 12

/* Parameters reported to every caller; server connections match them. */
static const char *const parameters[][2] = {
	{"server_version", "15.1"},
	{"server_encoding", "UTF8"},
	{"client_encoding", "UTF8"},
	{"DateStyle", "ISO, MDY"},
	{"TimeZone", "UTC"},
	{"IntervalStyle", "postgres"},
	{"integer_datetimes", "on"},
	{"standard_conforming_strings", "on"},
	{"default_transaction_read_only", "off"},
	{"in_hot_standby", "off"},
	{"is_superuser", "off"},
};

static void count_login(const session_t *session, const char *result)
{
	g_autofree char *labels = g_strdup_printf("result=\"%s\"", result);

	metric_add(metrics_counter(session->host->metrics,
				   "toucanhook_logins_total", labels),
		   1);
}

static void reject_login(session_t *session, const char *sqlstate,
			 const char *message)
{
	count_login(session, "refused");
	session_fatal(session, sqlstate, message);
}

static void write_parameters(const session_t *session, GByteArray *out)
{
	g_autofree char *token = session_token_format(session->settings->token);
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(parameters); i++)
		pg_write_parameter(out, parameters[i][0], parameters[i][1]);
	pg_write_parameter(out, "session_authorization", session->user);
	pg_write_parameter(out, SESSION_SETTINGS_TOKEN, token);
}

static void finish_login(session_t *session, const char *last_message)
{
	g_autoptr(GByteArray) out = g_byte_array_new();
	size_t mark;

	count_login(session, "ok");
	event_del(session->timer);
	g_clear_pointer(&session->scram, scram_destroy);
	session->state = SESSION_READY;
	if (last_message)
		pg_write_authentication(out, AUTHENTICATION_SASL_FINAL,
					(const uint8_t *)last_message,
					strlen(last_message));
	pg_write_authentication(out, AUTHENTICATION_OK, NULL, 0);
	write_parameters(session, out);
	mark = pg_write_begin(out, 'K');
	pg_write_u32(out, session->process_id);
	pg_write_u32(out, session->secret);
	pg_write_end(out, mark);
	pg_write_ready(out, 'I');
	session_write(session, out);
	if (drain_plan_is_begun(&session->host->drain))
		session_drain(session);
}

static const char *find_verifier(const session_t *session)
{
	config_lookup_t place = {0};
	uint32_t i;

	config_find_database(session->host->config, session->database, &place);
	for (i = 0; place.service && i < place.service->callers_count; i++)
		if (!strcmp(place.service->callers[i].name, session->user))
			return place.service->callers[i].verifier;
	return NULL;
}

static void start_scram(session_t *session, const char *verifier)
{
	g_autoptr(GByteArray) out = g_byte_array_new();
	uint8_t random[NONCE_SIZE_BYTES];
	g_autofree char *nonce = NULL;
	g_autofree char *fake_verifier = NULL;

	if (!verifier || !*verifier) {
		fake_verifier = scram_verifier_fake(
			session->user, session->host->secret,
			SESSION_HOST_SECRET_SIZE_BYTES);
		verifier = fake_verifier;
	}
	RAND_bytes(random, sizeof(random));
	nonce = g_base64_encode(random, sizeof(random));
	session->scram = scram_create(verifier, nonce);
	session->state = SESSION_SCRAM_CLIENT_FIRST;
	/* A zero byte ends the mechanism's name, another one the list. */
	pg_write_authentication(out, AUTHENTICATION_SASL,
				(const uint8_t *)MECHANISM "\0",
				sizeof(MECHANISM) + 1);
	session_write(session, out);
}

static void authenticate(session_t *session)
{
	config_lookup_t place = {0};
	const char *verifier = NULL;

	if (!session->host->config) {
		reject_login(session, "57P03",
			     "the entry VM has no configuration yet");
		return;
	}
	if (!config_find_database(session->host->config, session->database,
				  &place)) {
		reject_login(session, "3D000", "database does not exist");
		return;
	}
	verifier = find_verifier(session);
	if (verifier && !*verifier && session_refresh(session)) {
		finish_login(session, NULL);
		return;
	}
	start_scram(session, verifier);
}

static bool set_parameter(session_t *session, const char *name,
			  const char *value, GError **error)
{
	g_autofree char *lower = g_ascii_strdown(name, -1);

	if (!strcmp(name, "user")) {
		g_free(session->user);
		session->user = g_strdup(value);
		return true;
	}
	if (!strcmp(name, "database")) {
		g_free(session->database);
		session->database = g_strdup(value);
		return true;
	}
	if (!strcmp(name, "options"))
		return session_settings_options(session->settings, value,
						error);
	/* Unknown protocol extensions are ignored. */
	if (g_str_has_prefix(name, "_pq_."))
		return true;
	return session_settings_set(session->settings, lower, value, error);
}

static bool read_parameters(session_t *session, pg_reader_t *reader,
			    GError **error)
{
	for (;;) {
		const char *name = pg_read_string(reader);
		const char *value = NULL;

		if (!name || !*name) {
			/* An empty name ends the packet. */
			reader->bad |= !pg_reader_is_done(reader);
			return true;
		}
		value = pg_read_string(reader);
		if (!value)
			return true;
		if (!set_parameter(session, name, value, error))
			return false;
	}
}

/* Reports to a caller of a later minor version that 3.0 is supported. */
static void negotiate_version(session_t *session)
{
	g_autoptr(GByteArray) out = g_byte_array_new();
	const size_t mark = pg_write_begin(out, 'v');

	pg_write_u32(out, 0);
	pg_write_u32(out, 0);
	pg_write_end(out, mark);
	session_write(session, out);
}

static void handle_parameters(session_t *session, uint32_t version,
			      pg_reader_t *reader)
{
	g_autoptr(GError) error = NULL;

	if (!read_parameters(session, reader, &error)) {
		reject_login(session, session_settings_sqlstate(error),
			     error->message);
		return;
	}
	if (reader->bad || !session->user || !*session->user) {
		reject_login(session, "08P01", "invalid start-up packet");
		return;
	}
	if (!session->database)
		session->database = g_strdup(session->user);
	if (version != PG_CODE_VERSION_3)
		negotiate_version(session);
	authenticate(session);
}

static void handle_cancel(session_t *session, pg_reader_t *reader)
{
	const uint32_t process_id = pg_read_u32(reader);
	const uint32_t secret = pg_read_u32(reader);

	if (pg_reader_is_done(reader))
		session->host->cancel(session->host->context, process_id,
				      secret);
	session_end_later(session);
}

static void write_byte(session_t *session, char byte)
{
	bufferevent_write(session->bev, &byte, 1);
}

/* Replaces the session's bufferevent by an encrypted one on its socket. */
static void start_tls(session_t *session)
{
	const evutil_socket_t fd = bufferevent_getfd(session->bev);
	struct bufferevent *plain = session->bev;
	bufferevent_data_cb read_cb = NULL;
	bufferevent_data_cb write_cb = NULL;
	bufferevent_event_cb event_cb = NULL;

	/* A third party could have injected bytes ahead of the handshake. */
	if (evbuffer_get_length(bufferevent_get_input(plain))) {
		reject_login(session, "08P01",
			     "unencrypted data before the TLS handshake");
		return;
	}
	if (send(fd, "S", 1, MSG_NOSIGNAL) != 1) {
		session_end_later(session);
		return;
	}
	bufferevent_getcb(plain, &read_cb, &write_cb, &event_cb, NULL);
	session->bev = bufferevent_openssl_socket_new(
		session->host->base, fd, SSL_new(session->host->tls),
		BUFFEREVENT_SSL_ACCEPTING, BEV_OPT_CLOSE_ON_FREE);
	bufferevent_openssl_set_allow_dirty_shutdown(session->bev, 1);
	bufferevent_setfd(plain, -1);
	bufferevent_free(plain);
	bufferevent_setcb(session->bev, read_cb, write_cb, event_cb, session);
	bufferevent_enable(session->bev, EV_READ | EV_WRITE);
	session->encrypted = true;
}

void session_login_startup(session_t *session, const pg_message_t *message)
{
	pg_reader_t reader = pg_reader(message);
	const uint32_t code = pg_read_u32(&reader);

	if (code == PG_CODE_TLS && session->host->tls && !session->encrypted)
		start_tls(session);
	else if (code == PG_CODE_TLS || code == PG_CODE_GSSAPI)
		write_byte(session, 'N');
	else if (code == PG_CODE_CANCEL)
		handle_cancel(session, &reader);
	else if (code >> 16 == PG_CODE_VERSION_3 >> 16)
		handle_parameters(session, code, &reader);
	else
		reject_login(session, "0A000", "unsupported protocol version");
}

static char *read_client_first(const pg_message_t *message)
{
	pg_reader_t reader = pg_reader(message);
	const char *mechanism = pg_read_string(&reader);
	const uint32_t size = pg_read_u32(&reader);
	const uint8_t *bytes = NULL;

	if (!mechanism || strcmp(mechanism, MECHANISM) != 0)
		return NULL;
	bytes = pg_read_bytes(&reader, size);
	return pg_reader_is_done(&reader) ? text_new(bytes, size) : NULL;
}

static void handle_client_first(session_t *session, const pg_message_t *message)
{
	g_autofree char *first = read_client_first(message);
	g_autofree char *answer = NULL;
	g_autoptr(GByteArray) out = g_byte_array_new();

	if (first)
		answer = scram_first(session->scram, first);
	if (!answer) {
		reject_login(session, "08P01", "invalid SASL message");
		return;
	}
	session->state = SESSION_SCRAM_CLIENT_FINAL;
	pg_write_authentication(out, AUTHENTICATION_SASL_CONTINUE,
				(const uint8_t *)answer, strlen(answer));
	session_write(session, out);
}

static void handle_client_final(session_t *session, const pg_message_t *message)
{
	g_autofree char *final =
		text_new(message->body, message->body_size_bytes);
	g_autofree char *answer =
		final ? scram_final(session->scram, final) : NULL;

	if (!answer || !session_refresh(session)) {
		reject_login(session, "28P01",
			     "password authentication failed");
		return;
	}
	finish_login(session, answer);
}

void session_login_message(session_t *session, const pg_message_t *message)
{
	if (message->type != 'p')
		reject_login(session, "08P01", "expected a SASL message");
	else if (session->state == SESSION_SCRAM_CLIENT_FIRST)
		handle_client_first(session, message);
	else
		handle_client_final(session, message);
}
