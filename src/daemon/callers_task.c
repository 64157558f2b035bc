#include "daemon/callers_task.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <event2/listener.h>
#include <openssl/err.h>
#include <openssl/rand.h>
#include <openssl/ssl.h>

#include "base/clock.h"
#include "base/log.h"
#include "daemon/session.h"
#include "protocol/pg_frame.h"

/* All users of a shift may connect at the same time. */
#define BACKLOG 4096

/* Statement texts whose class is cached. */
#define STATEMENT_CACHE_SIZE_MAX 4096

/* Maximum number of sessions of one node; more are rejected. */
#define SESSIONS_MAX 20000

struct callers_task {
	session_host_t host;
	struct evconnlistener *listener;
	GHashTable *sessions; /* process id -> session_t */
	uint32_t next_process_id;
	uint64_t next_session_id;
	metric_t *connected;
};

/* clang-format off */
G_DEFINE_QUARK(callers-error-quark, callers_error)
/* clang-format on */

static void on_cancel(void *context, uint32_t process_id, uint32_t secret)
{
	callers_task_t *callers = context;
	session_t *session = g_hash_table_lookup(callers->sessions,
						 GUINT_TO_POINTER(process_id));

	if (session && session->secret == secret)
		session_cancel(session);
}

static void on_ended(void *context, session_t *session)
{
	callers_task_t *callers = context;

	g_hash_table_remove(callers->sessions,
			    GUINT_TO_POINTER(session->process_id));
	metric_set(callers->connected, g_hash_table_size(callers->sessions));
}

static uint32_t new_process_id(callers_task_t *callers)
{
	do {
		callers->next_process_id =
			callers->next_process_id % INT32_MAX + 1;
	} while (g_hash_table_contains(
		callers->sessions, GUINT_TO_POINTER(callers->next_process_id)));
	return callers->next_process_id;
}

/*
 * Sends an error and closes the connection. The protocol lets a server send
 * an error before it has received the start-up packet.
 */
static void reject_connection(evutil_socket_t fd)
{
	g_autoptr(GByteArray) out = g_byte_array_new();

	log_event(LOG_LEVEL_WARNING, "sessions_full", "limit=%d", SESSIONS_MAX);
	pg_write_error(out, "FATAL", "53300", "too many sessions", NULL);
	if (send(fd, out->data, out->len, MSG_NOSIGNAL | MSG_DONTWAIT) < 0)
		log_event(LOG_LEVEL_INFO, "refusal_not_sent", "limit=%d",
			  SESSIONS_MAX);
	close(fd);
}

static void on_accept(struct evconnlistener *listener, evutil_socket_t fd,
		      struct sockaddr *address, int size, void *context)
{
	callers_task_t *callers = context;
	const uint32_t process_id = new_process_id(callers);
	session_t *session = NULL;
	uint32_t secret = 0;

	if (g_hash_table_size(callers->sessions) >= SESSIONS_MAX) {
		reject_connection(fd);
		return;
	}
	RAND_bytes((unsigned char *)&secret, sizeof(secret));
	session = session_create(&callers->host, fd, ++callers->next_session_id,
				 process_id, secret);
	g_hash_table_insert(callers->sessions, GUINT_TO_POINTER(process_id),
			    session);
	metric_set(callers->connected, g_hash_table_size(callers->sessions));
}

static void on_accept_error(struct evconnlistener *listener, void *context)
{
	log_event(LOG_LEVEL_WARNING, "accept_failed", "error=\"%s\"",
		  evutil_socket_error_to_string(EVUTIL_SOCKET_ERROR()));
}

static SSL_CTX *open_tls(const settings_t *settings, GError **error)
{
	SSL_CTX *tls = SSL_CTX_new(TLS_server_method());

	SSL_CTX_set_min_proto_version(tls, TLS1_2_VERSION);
	if (SSL_CTX_use_certificate_chain_file(
		    tls, settings->tls_certificate) == 1 &&
	    SSL_CTX_use_PrivateKey_file(tls, settings->tls_key,
					SSL_FILETYPE_PEM) == 1)
		return tls;
	g_set_error(error, CALLERS_ERROR, CALLERS_ERROR_TLS,
		    "cannot load TLS certificate %s or its key: %s",
		    settings->tls_certificate,
		    ERR_error_string(ERR_get_error(), NULL));
	SSL_CTX_free(tls);
	return NULL;
}

static struct evconnlistener *open_listener(callers_task_t *callers,
					    const endpoint_t *endpoint)
{
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_port = htons(endpoint->port),
	};

	if (inet_pton(AF_INET, endpoint->address, &address.sin_addr) != 1)
		return NULL;
	return evconnlistener_new_bind(
		callers->host.base, on_accept, callers,
		LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE |
			LEV_OPT_CLOSE_ON_EXEC,
		BACKLOG, (struct sockaddr *)&address, sizeof(address));
}

callers_task_t *callers_task_create(struct event_base *base, metrics_t *metrics,
				    const settings_t *settings,
				    callers_dispatch_t dispatch, GError **error)
{
	callers_task_t *callers = g_new0(callers_task_t, 1);
	const endpoint_t *endpoint = &settings->callers;

	callers->host = (session_host_t){
		.base = base,
		.metrics = metrics,
		.dispatch = dispatch,
		.statements = statement_cache_create(STATEMENT_CACHE_SIZE_MAX),
		.cancel = on_cancel,
		.ended = on_ended,
		.context = callers,
	};
	callers->sessions = g_hash_table_new(NULL, NULL);
	callers->connected = metrics_gauge(metrics, "toucanhook_sessions", "");
	RAND_bytes(callers->host.secret, sizeof(callers->host.secret));
	/* A random start keeps the session ids of two nodes apart. */
	RAND_bytes((unsigned char *)&callers->next_session_id,
		   sizeof(callers->next_session_id));
	if (settings->tls_certificate) {
		callers->host.tls = open_tls(settings, error);
		if (!callers->host.tls) {
			callers_task_destroy(callers);
			return NULL;
		}
	}
	callers->listener = open_listener(callers, endpoint);
	if (!callers->listener) {
		g_set_error(error, CALLERS_ERROR, CALLERS_ERROR_LISTEN,
			    "cannot listen on %s:%u: %s", endpoint->address,
			    endpoint->port, g_strerror(EVUTIL_SOCKET_ERROR()));
		callers_task_destroy(callers);
		return NULL;
	}
	evconnlistener_set_error_cb(callers->listener, on_accept_error);
	return callers;
}

void callers_task_destroy(callers_task_t *callers)
{
	g_autoptr(GList) sessions = NULL;
	GList *link = NULL;

	if (!callers)
		return;
	if (callers->listener)
		evconnlistener_free(callers->listener);
	sessions = g_hash_table_get_values(callers->sessions);
	for (link = sessions; link; link = link->next)
		session_destroy(link->data);
	g_hash_table_destroy(callers->sessions);
	statement_cache_destroy(callers->host.statements);
	SSL_CTX_free(callers->host.tls);
	g_free(callers);
}

void callers_task_configure(callers_task_t *callers, const config_t *config)
{
	callers->host.config = config;
	callers->host.config_version++;
}

void callers_task_drain(callers_task_t *callers, const drain_plan_t *plan)
{
	g_autoptr(GList) sessions = g_hash_table_get_values(callers->sessions);
	GList *link = NULL;

	callers->host.drain = *plan;
	if (callers->listener)
		evconnlistener_free(callers->listener);
	callers->listener = NULL;
	for (link = sessions; link; link = link->next)
		session_drain(link->data);
}

void callers_task_finish(callers_task_t *callers)
{
	g_autoptr(GList) sessions = g_hash_table_get_values(callers->sessions);

	for (GList *link = sessions; link; link = link->next)
		session_finish(link->data);
}

uint32_t callers_task_busy_count(const callers_task_t *callers)
{
	GHashTableIter iter;
	gpointer session = NULL;
	uint32_t busy = 0;

	g_hash_table_iter_init(&iter, callers->sessions);
	while (g_hash_table_iter_next(&iter, NULL, &session))
		busy += session_is_busy(session);
	return busy;
}

uint32_t callers_task_session_count(const callers_task_t *callers)
{
	return g_hash_table_size(callers->sessions);
}
