/* What nodes request of each other besides forwarded statements. */
#include "relay/relay_forwarding_private.h"

#include <inttypes.h>

#include "base/clock.h"
#include "base/log.h"
#include "relay/relay_grant.h"

/* Answers with this node's proof of the primaries. */
void forwarding_session_send_proof(forwarding_session_t *session)
{
	g_autofree char *offer = relay_grant_offer(
		session->forwarding->services, clock_boot_ms());

	forwarding_session_codec(session)->put_row(
		forwarding_session_output(session), offer);
	forwarding_session_answer_complete(session);
}

/* Sends the answer of the hub. */
static void on_hub_reply(void *context, const GPtrArray *rows)
{
	forwarding_session_t *session = context;

	for (guint i = 0; i < rows->len; i++)
		forwarding_session_codec(session)->put_row(
			forwarding_session_output(session), rows->pdata[i]);
	forwarding_session_answer_complete(session);
	forwarding_session_statement_done(session);
}

void forwarding_session_follow(forwarding_session_t *session)
{
	hub_request_t request;

	if (session->command.kind != COMMAND_FOLLOW ||
	    !hub_request_decode(session->command.value, &request)) {
		log_event(LOG_LEVEL_WARNING, "hub_request_invalid",
			  "text=\"%.60s\"", session->message.text);
		forwarding_session_close_soon(session);
		return;
	}
	session->busy = true;
	relay_hub_request(session->subscriber, &request);
}

/* Gives tokens to another quota leader. */
static void lend(forwarding_session_t *session, uint32_t count,
		 quota_admission_t *admission)
{
	const relay_forwarding_t *forwarding = session->forwarding;

	relay_quota_leader_lend(forwarding->leader, session->command.name,
				count, admission);
	metric_add(
		metrics_counter(
			relay_services_settings(forwarding->services)->metrics,
			"toucanhook_quota_tokens_total", "kind=\"lent\""),
		admission->granted);
}

/* Answers "granted retry_after_ms level expected_ms", all 0 if this node may
 * not admit now.
 */
void forwarding_session_admit(forwarding_session_t *session)
{
	const command_t *command = &session->command;
	const bool lends = command->kind == COMMAND_LEND;
	quota_admission_t admission = {0};
	g_autofree char *row = NULL;
	guint64 count;

	if ((command->kind != COMMAND_ADMIT && !lends) ||
	    !g_ascii_string_to_unsigned(command->value, 10, 1, G_MAXUINT32,
					&count, NULL)) {
		log_event(LOG_LEVEL_WARNING, "token_request_invalid",
			  "text=\"%.60s\"", session->message.text);
		forwarding_session_close_soon(session);
		return;
	}
	if (lends)
		lend(session, (uint32_t)count, &admission);
	else
		relay_quota_leader_admit(session->forwarding->leader,
					 command->name, (uint32_t)count,
					 &admission);
	row = g_strdup_printf("%" PRIu32 " %" PRIu32 " %" PRIu32 " %" PRIu32,
			      admission.granted, admission.retry_after_ms,
			      admission.level, admission.expected_ms);
	forwarding_session_codec(session)->put_row(
		forwarding_session_output(session), row);
	forwarding_session_answer_complete(session);
	forwarding_session_statement_done(session);
}

/* Accepts a node that follows this hub. */
void forwarding_session_start_following(forwarding_session_t *session)
{
	relay_forwarding_t *forwarding = session->forwarding;

	relay_message_clear(&session->message);
	if (forwarding->draining || !forwarding->hub) {
		forwarding_session_refuse_session(session,
						  RELAY_ERROR_CONNECTION_LIMIT);
		return;
	}
	session->subscriber =
		relay_hub_join(forwarding->hub, on_hub_reply, session);
	forwarding_session_answer_ready(session, (log_point_t){0});
}

/* Accepts a node that asks for tokens. */
void forwarding_session_start_asking(forwarding_session_t *session)
{
	const relay_forwarding_t *forwarding = session->forwarding;

	relay_message_clear(&session->message);
	if (forwarding->draining || !forwarding->leader ||
	    !relay_quota_leader_is_active(forwarding->leader)) {
		forwarding_session_refuse_session(session,
						  RELAY_ERROR_CONNECTION_LIMIT);
		return;
	}
	session->asks_tokens = true;
	forwarding_session_answer_ready(session, (log_point_t){0});
}
