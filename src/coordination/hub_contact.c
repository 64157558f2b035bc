#include "coordination/hub_contact.h"

/* Timeout of opening a connection. */
#define OPEN_TIMEOUT_MS 400u

/*
 * The same for a hub of the domain while the node starts: 0.4 ms away, but on a
 * VM with 0.08 cores that is starting as well.
 */
#define OPEN_TIMEOUT_STARTING_MS 150u

/* Delay before a hub is tried again after a failure. */
#define RETRY_MS 300u

/* The same after a refusal, and after any failure while the node starts. */
#define RETRY_SOON_MS 50u

/* Time after which a node without an answer no longer counts as starting. */
#define STARTING_MS 5000u

/* Longest pause between the parts of an answer that is being received. */
#define RECEIVING_PAUSE_MS 300u

/* Time in which the answer of an idle hub of the domain begins to arrive. */
#define FIRST_BYTE_MS 30u

static bool is_starting(const hub_contact_t *contact)
{
	return !contact->answered && contact->run_time_ms < STARTING_MS;
}

uint32_t hub_contact_open_timeout_ms(const hub_contact_t *contact)
{
	return contact->near && is_starting(contact) ?
		       OPEN_TIMEOUT_STARTING_MS :
		       OPEN_TIMEOUT_MS;
}

uint32_t hub_contact_retry_ms(const hub_contact_t *contact,
			      hub_contact_failure_t failure)
{
	const bool soon = failure == HUB_CONTACT_REFUSED ||
			  (contact->near && is_starting(contact));

	return soon ? RETRY_SOON_MS : RETRY_MS;
}

static bool has_begun(const hub_contact_request_t *request)
{
	return request->heard_ms > request->sent_ms;
}

bool hub_contact_is_receiving(const hub_contact_request_t *request,
			      uint64_t now_ms)
{
	return has_begun(request) &&
	       now_ms < request->heard_ms + RECEIVING_PAUSE_MS;
}

bool hub_contact_is_unresponsive(const hub_contact_request_t *request,
				 uint64_t now_ms)
{
	const uint64_t last_ms =
		has_begun(request) ? request->heard_ms : request->sent_ms;

	return now_ms >= last_ms + HUB_CONTACT_ANSWER_TIMEOUT_MS;
}

bool hub_contact_may_ask_another(const hub_contact_request_t *request,
				 uint64_t now_ms)
{
	return !hub_contact_is_receiving(request, now_ms) &&
	       now_ms >= request->sent_ms + FIRST_BYTE_MS;
}
