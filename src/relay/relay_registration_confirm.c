#include "relay/relay_registration_private.h"

#include <inttypes.h>

#include "base/clock.h"
#include "base/log.h"
#include "state/lease_record.h"

/*
 * Interval of writing the record anew: a record that was not written for
 * RELAY_LEASE_AGE_MAX_MS says that the node uses no proofs.
 */
#define REFRESH_MS (5u * 60 * 1000)

char *registration_encode_record(int64_t lease, int64_t seen_revision)
{
	const lease_record_t record = {
		.lease = lease,
		.written_ms = g_get_real_time() / 1000,
		.seen_revision = seen_revision,
	};

	return lease_record_encode(&record);
}

static void confirm(relay_registration_t *registration, int64_t revision);

static void on_confirmed(void *context, const kv_answer_t *answer)
{
	const registration_call_t call =
		registration_call_end(context, answer->result == KV_OK);
	relay_registration_t *registration = call.registration;
	const int64_t next = registration->next_confirmation;

	registration->confirming = false;
	registration->next_confirmation = 0;
	if (call.lease != registration->lease->lease)
		return;
	log_event(LOG_LEVEL_INFO, "takeover_confirmed",
		  "lease=%" PRId64 " result=%s", call.lease,
		  kv_result_name(answer->result));
	if (answer->result == KV_REFUSED && call.refresh && !next)
		return;
	if (answer->result != KV_OK) {
		relay_registration_renew(registration);
		return;
	}
	registration->key_revision = answer->revision;
	registration_written(registration, call.written_ms);
	if (next)
		confirm(registration, next);
}

static void confirm(relay_registration_t *registration, int64_t revision)
{
	const int64_t lease = registration->lease->lease;
	const int64_t seen = MAX(registration->seen_revision, revision);
	g_autofree char *record = registration_encode_record(lease, seen);
	registration_call_t *call =
		registration_call_write(registration, lease);
	const kv_condition_t condition = {
		.key = registration->lease_key,
		.revision = registration->key_revision,
	};
	const kv_put_t put = {.key = registration->lease_key, .value = record};
	const kv_transaction_t transaction = {
		.conditions = &condition,
		.conditions_count = 1,
		.puts = &put,
		.puts_count = 1,
		.removals = (const char *const *)call->removals->pdata,
		.removals_count = call->removals->len,
	};

	call->refresh = seen == registration->seen_revision;
	registration->seen_revision = seen;
	registration->confirming = true;
	registration->store->calls->commit(registration->store->self,
					   &transaction, on_confirmed, call);
}

void relay_registration_confirm(relay_registration_t *registration,
				int64_t revision)
{
	/* A node that is registering reads the records afterwards. */
	const bool settled =
		lease_keys_is_settled(registration->keys, clock_boot_ms());

	if (!relay_registration_is_active(registration))
		return;
	/*
	 * Each confirmation is conditional on the previous one, and says that
	 * proofs of earlier runs have expired.
	 */
	if (registration->confirming || !settled)
		registration->next_confirmation =
			MAX(registration->next_confirmation, revision);
	else
		confirm(registration, revision);
}

void registration_written(relay_registration_t *registration,
			  uint64_t written_ms)
{
	registration->refresh_ms = written_ms + REFRESH_MS;
	registration->expiry_ms = written_ms + RELAY_LEASE_AGE_MAX_MS;
}

void registration_refresh(relay_registration_t *registration)
{
	if (registration->confirming ||
	    clock_boot_ms() < registration->refresh_ms)
		return;
	relay_registration_confirm(registration, registration->seen_revision);
}
