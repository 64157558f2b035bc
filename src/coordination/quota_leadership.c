#include "coordination/quota_leadership.h"

#include <string.h>

#include "state/store_revision.h"

/* Highest era of a store that was never restored. */
#define FIRST_ERA 1

/* Time for which the leader alone may rewrite a record after a restore. */
#define RESTORED_DELAY_MS 500u

/* First and longest delay before a write without an answer is repeated. */
#define RETRY_MS 500u
#define RETRY_MS_MAX 8000u

/* A longer pause between steps shows that this process was frozen. */
#define STEP_MS_MAX 1000u

typedef enum {
	PHASE_FOLLOWING,
	PHASE_SETTLING,
	PHASE_LEADING,
} phase_t;

struct quota_leadership {
	quota_leadership_settings_t settings;
	char *node;
	bool enabled;
	bool registered; /* the hub's key is claimed */
	bool withdrawn;	 /* no hub until it is registered again */
	bool resigned;
	phase_t phase;
	uint32_t tenure;
	/* The record as known. */
	bool present;
	quota_record_t record;
	int64_t revision;   /* of the record or of its removal */
	uint64_t known_ms;  /* when this state became known */
	bool seen;	    /* a record was seen in this run */
	bool synced;	    /* the store was read since the last conflict */
	int64_t era;	    /* of the store */
	uint64_t proof_ms;  /* when the last proof was requested */
	bool proved;	    /* proof_ms is set */
	uint64_t settle_ms; /* end of the wait while settling */
	/* The record's holder. */
	uint64_t heard_ms; /* last sign of it, or when it became known */
	uint64_t hub_ms;   /* when its hub key was last seen */
	uint64_t step_ms;  /* time of the last step, 0 before */
	/* The last write. */
	bool writing;
	/* The record was given up, and not kept since: that may take effect. */
	bool released;
	quota_record_t written;
	uint64_t sent_ms;
	int64_t own_revision; /* of the last write that succeeded */
	uint64_t retry_ms;    /* no write before then */
	uint32_t delay_ms;    /* before the next write without an answer */
};

quota_leadership_t *
quota_leadership_create(quota_leadership_settings_t settings)
{
	quota_leadership_t *leadership = g_new0(quota_leadership_t, 1);

	leadership->settings = settings;
	leadership->node = g_strdup(settings.node);
	leadership->delay_ms = RETRY_MS;
	return leadership;
}

void quota_leadership_destroy(quota_leadership_t *leadership)
{
	if (!leadership)
		return;
	g_free(leadership->node);
	g_free(leadership);
}

void quota_leadership_enable(quota_leadership_t *leadership, bool enabled)
{
	leadership->enabled = enabled;
}

void quota_leadership_register(quota_leadership_t *leadership)
{
	leadership->registered = true;
	leadership->withdrawn = false;
}

void quota_leadership_withdraw(quota_leadership_t *leadership)
{
	leadership->registered = false;
	leadership->withdrawn = true;
}

static bool is_own(const quota_leadership_t *leadership)
{
	return leadership->present &&
	       !strcmp(leadership->record.holder, leadership->node);
}

/* Whether the record was written in the era in which it was read. */
static bool is_current(const quota_leadership_t *leadership)
{
	return leadership->present &&
	       leadership->record.era ==
		       store_revision_era(leadership->revision) &&
	       leadership->record.era == leadership->era;
}

static bool is_proved(const quota_leadership_t *leadership, uint64_t now_ms)
{
	return leadership->proved &&
	       now_ms < leadership->proof_ms + leadership->settings.proof_ms;
}

static void add_proof(quota_leadership_t *leadership, uint64_t sent_ms)
{
	leadership->proof_ms = leadership->proved ?
				       MAX(leadership->proof_ms, sent_ms) :
				       sent_ms;
	leadership->proved = true;
}

static void set_phase(quota_leadership_t *leadership, phase_t phase)
{
	if (leadership->phase == phase)
		return;
	leadership->phase = phase;
	if (phase != PHASE_LEADING)
		return;
	leadership->tenure++;
	leadership->proved = false;
}

static void apply_own(quota_leadership_t *leadership, uint64_t now_ms)
{
	switch (leadership->record.state) {
	case QUOTA_RECORD_LEADING:
		set_phase(leadership, PHASE_LEADING);
		break;
	case QUOTA_RECORD_SETTLING:
		set_phase(leadership, PHASE_SETTLING);
		leadership->settle_ms = now_ms + leadership->settings.settle_ms;
		break;
	default:
		set_phase(leadership, PHASE_FOLLOWING);
	}
}

/*
 * After a restore the leader continues: nobody else can have become leader
 * since its last proof. Whoever waits must take over the record again.
 */
static void apply_outdated(quota_leadership_t *leadership, uint64_t now_ms)
{
	if (leadership->phase == PHASE_SETTLING ||
	    !is_proved(leadership, now_ms))
		set_phase(leadership, PHASE_FOLLOWING);
}

static void apply_record(quota_leadership_t *leadership, bool new_era,
			 uint64_t now_ms)
{
	if (is_current(leadership) && is_own(leadership))
		apply_own(leadership, now_ms);
	else if (is_current(leadership) || (!leadership->present && !new_era))
		set_phase(leadership, PHASE_FOLLOWING);
	else
		apply_outdated(leadership, now_ms);
}

void quota_leadership_changed(quota_leadership_t *leadership,
			      const quota_record_t *record, int64_t revision,
			      uint64_t now_ms)
{
	const bool new_era = store_revision_era(revision) >
			     store_revision_era(leadership->revision);

	if (revision <= leadership->revision && leadership->known_ms)
		return;
	if (record && (!leadership->present ||
		       strcmp(record->holder, leadership->record.holder))) {
		leadership->heard_ms = now_ms;
		leadership->hub_ms = now_ms;
	}
	leadership->present = record;
	if (record)
		leadership->record = *record;
	leadership->seen |= leadership->present;
	leadership->revision = revision;
	leadership->known_ms = now_ms;
	leadership->era = MAX(leadership->era, store_revision_era(revision));
	apply_record(leadership, new_era, now_ms);
}

void quota_leadership_synced(quota_leadership_t *leadership, int64_t revision,
			     uint64_t sent_ms, uint64_t now_ms)
{
	const int64_t era = store_revision_era(revision);

	if (era < leadership->era)
		return;
	/* A record that the read of a new era does not have is gone. */
	if (!leadership->known_ms ||
	    era > store_revision_era(leadership->revision))
		quota_leadership_changed(leadership, NULL, revision, now_ms);
	leadership->era = era;
	leadership->synced = true;
	if (leadership->phase == PHASE_LEADING && is_current(leadership))
		add_proof(leadership, sent_ms);
}

void quota_leadership_holder_seen(quota_leadership_t *leadership, bool is_hub,
				  uint64_t heard_ms, uint64_t now_ms)
{
	if (is_hub)
		leadership->hub_ms = now_ms;
	leadership->heard_ms = MAX(leadership->heard_ms, heard_ms);
}

static bool is_holder_lost(const quota_leadership_t *leadership,
			   uint64_t now_ms)
{
	return now_ms >= leadership->heard_ms + QUOTA_LEADERSHIP_SILENT_MS +
				 leadership->settings.spread_ms &&
	       now_ms >= leadership->hub_ms + QUOTA_LEADERSHIP_GONE_MS +
				 leadership->settings.spread_ms;
}

/* Without the time of a freeze, in which nothing could be heard. */
static void note_step(quota_leadership_t *leadership, uint64_t now_ms)
{
	if (now_ms > leadership->step_ms + STEP_MS_MAX) {
		leadership->heard_ms = now_ms;
		leadership->hub_ms = now_ms;
	}
	leadership->step_ms = now_ms;
}

/* @return whether the record may be taken over, and in which state */
static bool may_take(const quota_leadership_t *leadership, uint64_t now_ms,
		     quota_record_state_t *state)
{
	const uint64_t known_ms =
		leadership->known_ms + leadership->settings.spread_ms;

	*state = QUOTA_RECORD_SETTLING;
	if (!leadership->present) {
		if (leadership->seen || leadership->era > FIRST_ERA)
			return now_ms >= known_ms + RESTORED_DELAY_MS;
		*state = QUOTA_RECORD_LEADING;
		return now_ms >= known_ms;
	}
	if (!is_current(leadership))
		return now_ms >= known_ms + RESTORED_DELAY_MS;
	if (leadership->record.state != QUOTA_RECORD_RELEASED)
		return is_holder_lost(leadership, now_ms);
	*state = QUOTA_RECORD_LEADING;
	return now_ms >= known_ms;
}

static bool is_leaving(const quota_leadership_t *leadership)
{
	return leadership->resigned || leadership->withdrawn;
}

static bool may_write(const quota_leadership_t *leadership)
{
	return is_leaving(leadership) ||
	       (leadership->enabled && leadership->registered);
}

/* @return whether a write is due, and of which state */
static bool is_due(quota_leadership_t *leadership, uint64_t now_ms,
		   quota_record_state_t *state)
{
	const bool own = is_own(leadership) && is_current(leadership);

	if (is_leaving(leadership)) {
		*state = QUOTA_RECORD_RELEASED;
		return own && leadership->record.state == QUOTA_RECORD_LEADING;
	}
	*state = QUOTA_RECORD_LEADING;
	switch (leadership->phase) {
	case PHASE_LEADING:
		/*
		 * A write of an earlier run may still be under way; after this
		 * one it has no effect any more.
		 */
		if (own)
			return leadership->released ||
			       leadership->own_revision != leadership->revision;
		if (is_proved(leadership, now_ms))
			return true;
		set_phase(leadership, PHASE_FOLLOWING);
		return false;
	case PHASE_SETTLING:
		return now_ms >= leadership->settle_ms;
	default:
		return may_take(leadership, now_ms, state);
	}
}

bool quota_leadership_step(quota_leadership_t *leadership, uint64_t now_ms,
			   quota_write_t *write)
{
	quota_record_state_t state;

	note_step(leadership, now_ms);
	if (!may_write(leadership) || leadership->writing ||
	    now_ms < leadership->retry_ms ||
	    (!leadership->synced && !is_leaving(leadership)) ||
	    !is_due(leadership, now_ms, &state))
		return false;
	*write = (quota_write_t){
		.record = {.era = leadership->era, .state = state},
		.revision = leadership->present ? leadership->revision : 0,
	};
	g_strlcpy(write->record.holder, leadership->node,
		  sizeof(write->record.holder));
	leadership->writing = true;
	leadership->released |= state == QUOTA_RECORD_RELEASED;
	leadership->written = write->record;
	leadership->sent_ms = now_ms;
	return true;
}

void quota_leadership_written(quota_leadership_t *leadership,
			      quota_write_result_t result, int64_t revision,
			      uint64_t now_ms)
{
	leadership->writing = false;
	if (result == QUOTA_WRITE_CONFLICT) {
		leadership->synced = false;
		if (is_leaving(leadership))
			leadership->retry_ms = now_ms + RETRY_MS;
		return;
	}
	if (result == QUOTA_WRITE_UNKNOWN) {
		leadership->retry_ms = now_ms + leadership->delay_ms;
		leadership->delay_ms =
			MIN(2 * leadership->delay_ms, RETRY_MS_MAX);
		return;
	}
	leadership->delay_ms = RETRY_MS;
	leadership->own_revision = revision;
	leadership->released &=
		leadership->written.state == QUOTA_RECORD_RELEASED;
	quota_leadership_changed(leadership, &leadership->written, revision,
				 now_ms);
	if (leadership->phase == PHASE_LEADING && is_current(leadership))
		add_proof(leadership, leadership->sent_ms);
}

void quota_leadership_resign(quota_leadership_t *leadership)
{
	leadership->resigned = true;
}

bool quota_leadership_may_admit(const quota_leadership_t *leadership,
				uint64_t now_ms)
{
	return leadership->enabled && !is_leaving(leadership) &&
	       !leadership->released && leadership->phase == PHASE_LEADING &&
	       is_proved(leadership, now_ms);
}

bool quota_leadership_is_releasing(const quota_leadership_t *leadership)
{
	return is_leaving(leadership) &&
	       (leadership->writing ||
		(is_own(leadership) && is_current(leadership) &&
		 leadership->record.state == QUOTA_RECORD_LEADING));
}

uint32_t quota_leadership_tenure(const quota_leadership_t *leadership)
{
	return leadership->tenure;
}

const quota_record_t *
quota_leadership_record(const quota_leadership_t *leadership)
{
	return leadership->present ? &leadership->record : NULL;
}
