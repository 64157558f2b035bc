#include "relay/relay_grant.h"

#include <inttypes.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"

/* Interval between requests to the same node. */
#define REQUEST_INTERVAL_MS 300

/* Timeout of a request, and of opening the connection. */
#define REQUEST_TIMEOUT_MS 600

/*
 * Fields of one service in an offer: name, term, primary, remaining ms. Name
 * and primary are escaped as in a URI.
 */
#define OFFER_FIELDS 4

struct relay_grant {
	relay_services_t *services;
	relay_link_t *link;	  /* connection to the other node, or NULL */
	uint64_t request_sent_ms; /* when the pending request was sent, or 0 */
	uint64_t next_ms;	  /* when the next request is due */
	uint64_t opened_ms;	  /* when opening the connection began */
};

/*
 * Appends the proof of one service. Names and ids may contain what separates
 * the fields, and would then forge a proof.
 */
static void append_offer(GString *offer, const char *service,
			 const primary_lease_t *lease, uint64_t remaining_ms)
{
	g_autofree char *name = g_uri_escape_string(service, NULL, FALSE);
	g_autofree char *primary =
		g_uri_escape_string(lease->primary, NULL, FALSE);

	g_string_append_printf(offer, "%s%s:%" PRIu64 ":%s:%" PRIu64,
			       offer->len ? "," : "", name, lease->term,
			       primary, remaining_ms);
}

char *relay_grant_offer(relay_services_t *services, uint64_t now_ms)
{
	g_autoptr(GPtrArray) names = relay_services_names(services);
	GString *offer = g_string_new("");

	for (guint i = 0; i < names->len; i++) {
		relay_service_t *service =
			relay_services_find(services, names->pdata[i]);
		const primary_lease_t *lease = relay_service_lease(service);
		const uint64_t until_ms = primary_lease_until_ms(
			lease, relay_services_lease(services));

		if (until_ms > now_ms)
			append_offer(offer, relay_service_name(service), lease,
				     until_ms - now_ms);
	}
	if (!offer->len)
		g_string_assign(offer, "-");
	return g_string_free(offer, FALSE);
}

static bool apply_service_offer(relay_services_t *services, const char *text,
				uint64_t sent_ms)
{
	g_auto(GStrv) fields = g_strsplit(text, ":", 0);
	g_autofree char *name = NULL;
	g_autofree char *primary = NULL;
	relay_service_t *service;
	guint64 term;
	guint64 remaining_ms;

	if (g_strv_length(fields) != OFFER_FIELDS ||
	    !g_ascii_string_to_unsigned(fields[1], 10, 0, G_MAXUINT64, &term,
					NULL) ||
	    !g_ascii_string_to_unsigned(fields[3], 10, 0,
					PRIMARY_LEASE_VALID_MS, &remaining_ms,
					NULL))
		return false;
	name = g_uri_unescape_string(fields[0], NULL);
	primary = g_uri_unescape_string(fields[2], NULL);
	service = name ? relay_services_find(services, name) : NULL;
	if (!service || !primary)
		return false;
	primary_lease_granted(relay_service_lease(service), term, primary,
			      sent_ms + remaining_ms);
	return true;
}

bool relay_grant_apply(relay_services_t *services, const char *offer,
		       uint64_t sent_ms)
{
	g_auto(GStrv) parts = g_strsplit(offer, ",", 0);
	bool applied = false;

	for (char **part = parts; *part; part++)
		applied |= apply_service_offer(services, *part, sent_ms);
	if (applied)
		relay_services_wake(services);
	return applied;
}

void relay_grant_reset(relay_grant_t *grant)
{
	g_clear_pointer(&grant->link, relay_link_destroy);
	grant->request_sent_ms = 0;
	grant->next_ms = 0;
}

static void on_answer(void *context, const relay_answer_t *answer)
{
	relay_grant_t *grant = context;

	grant->request_sent_ms = 0;
	if (answer->broken) /* the connection is already closed */
		return;
	if (answer->failed || !answer->row ||
	    !relay_grant_apply(grant->services, answer->row, answer->sent_ms))
		relay_grant_reset(grant);
}

static void on_opened(void *context, relay_link_t *link, log_point_t point,
		      uint64_t request_sent_ms)
{
	((relay_grant_t *)context)->next_ms = 0;
}

static void on_closed(void *context, relay_link_t *link, relay_error_t error,
		      bool was_open)
{
	relay_grant_reset(context);
}

/*
 * @return the entry of any server, or NULL; the node answers the request
 * itself, but opening a connection requires a server
 */
static const backend_entry_t *any_entry(relay_services_t *services)
{
	g_autoptr(GPtrArray) names = relay_services_names(services);

	for (guint i = 0; i < names->len; i++) {
		const GPtrArray *servers = relay_service_servers(
			relay_services_find(services, names->pdata[i]));

		if (servers->len)
			return relay_server_entry(servers->pdata[0]);
	}
	return NULL;
}

static void open_link(relay_grant_t *grant, uint64_t now_ms)
{
	const relay_services_settings_t *settings =
		relay_services_settings(grant->services);
	const backend_entry_t *entry = any_entry(grant->services);
	const endpoint_t *peer = relay_services_next_peer(grant->services);
	const relay_link_handlers_t handlers = {
		.opened = on_opened,
		.closed = on_closed,
		.context = grant,
	};

	if (!entry || !peer)
		return;
	grant->opened_ms = now_ms;
	grant->link = relay_link_open(settings->base, settings->codec, entry,
				      NULL, peer, handlers);
}

static void send_request(relay_grant_t *grant, uint64_t now_ms)
{
	const relay_codec_t *codec =
		relay_services_settings(grant->services)->codec;
	g_autofree char *text = codec->text_control(RELAY_CONTROL_PROVE, 0);

	grant->request_sent_ms = now_ms;
	grant->next_ms = now_ms + REQUEST_INTERVAL_MS;
	relay_link_run(grant->link, NULL, (log_point_t){0}, text, on_answer,
		       grant);
}

void relay_grant_step(relay_grant_t *grant, uint64_t now_ms)
{
	const uint64_t since_ms = grant->request_sent_ms ?
					  grant->request_sent_ms :
					  grant->opened_ms;

	if (grant->link &&
	    (grant->request_sent_ms || !relay_link_is_open(grant->link))) {
		if (now_ms < since_ms + REQUEST_TIMEOUT_MS)
			return;
		relay_grant_reset(grant);
	}
	if (!grant->link)
		open_link(grant, now_ms);
	else if (now_ms >= grant->next_ms)
		send_request(grant, now_ms);
}

relay_grant_t *relay_grant_create(relay_services_t *services)
{
	relay_grant_t *grant = g_new0(relay_grant_t, 1);

	grant->services = services;
	return grant;
}

void relay_grant_destroy(relay_grant_t *grant)
{
	if (!grant)
		return;
	relay_grant_reset(grant);
	g_free(grant);
}
