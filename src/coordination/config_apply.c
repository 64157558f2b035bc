#include "coordination/config_apply.h"

#include <string.h>

#include <glib.h>

#define PAUSE_MIN_MS 100u
#define PAUSE_MAX_MS 2000u

struct config_apply {
	char *change_id;
	uint64_t expect_revision;
	uint64_t above_revision;
	uint64_t deadline_ms;
	uint64_t index;	       /* index of the key that the next swap expects */
	uint64_t revision;     /* to be written, or that came into force */
	uint64_t newest_index; /* highest index that was read */
	bool in_doubt; /* a sent swap may have taken effect, or still may */
	uint64_t doubtful_index;    /* index that the swap in doubt expects */
	uint64_t doubtful_revision; /* revision of the swap in doubt */
	uint32_t pause_ms;
	config_apply_outcome_t outcome;
};

config_apply_t *config_apply_create(const char *change_id,
				    uint64_t expect_revision,
				    uint64_t above_revision,
				    uint64_t deadline_ms)
{
	config_apply_t *apply = g_new0(config_apply_t, 1);

	apply->change_id = g_strdup(change_id);
	apply->expect_revision = expect_revision;
	apply->above_revision = above_revision;
	apply->deadline_ms = deadline_ms;
	return apply;
}

void config_apply_destroy(config_apply_t *apply)
{
	if (!apply)
		return;
	g_free(apply->change_id);
	g_free(apply);
}

config_apply_step_t config_apply_begin(const config_apply_t *apply)
{
	return CONFIG_APPLY_READ;
}

static config_apply_step_t end(config_apply_t *apply,
			       config_apply_outcome_t outcome)
{
	apply->outcome = outcome;
	return CONFIG_APPLY_END;
}

static config_apply_step_t read_again(config_apply_t *apply, uint64_t now_ms)
{
	if (now_ms >= apply->deadline_ms)
		return end(apply, apply->in_doubt ? CONFIG_APPLY_UNKNOWN :
						    CONFIG_APPLY_UNREACHABLE);
	apply->pause_ms = apply->pause_ms ?
				  MIN(apply->pause_ms * 2, PAUSE_MAX_MS) :
				  PAUSE_MIN_MS;
	return CONFIG_APPLY_READ;
}

/* @return the revision at which the change came into force, or 0. */
static uint64_t find_change(const config_t *config, const char *change_id)
{
	if (!strcmp(config->change_id, change_id))
		return config->revision;
	for (uint32_t i = 0; i < config->changes_count; i++)
		if (!strcmp(config->changes[i].change_id, change_id))
			return config->changes[i].revision;
	return 0;
}

/* Whether the configuration's list of changes reaches back to a revision. */
static bool has_history_since(const config_t *config, uint64_t revision)
{
	return config && config->revision >= revision &&
	       config->revision - revision <= config->changes_count;
}

/*
 * Whether a read is older than an earlier one. A replaced leader of the
 * platform can still answer with old values.
 */
static bool is_stale(config_apply_t *apply, uint64_t index)
{
	if (index < apply->newest_index)
		return true;
	apply->newest_index = index;
	return false;
}

/*
 * Resolves a swap in doubt. While the key's index is still the one that the
 * swap expects, the swap may still take effect; then it is sent again, because
 * at most one of the two can take effect. At any other index it can no longer
 * take effect.
 */
static config_apply_step_t
resolve_doubt(config_apply_t *apply, const config_t *current, uint64_t index)
{
	if (index == apply->doubtful_index)
		return CONFIG_APPLY_SWAP;
	return end(apply, has_history_since(current, apply->doubtful_revision) ?
				  CONFIG_APPLY_CONFLICT :
				  CONFIG_APPLY_UNKNOWN);
}

static config_apply_step_t decide(config_apply_t *apply,
				  const config_t *current, bool same_content,
				  uint64_t index)
{
	const uint64_t in_force = current ? current->revision : 0;
	const uint64_t found =
		current ? find_change(current, apply->change_id) : 0;

	/* The change id was already used for a change of other content. */
	if (found && found == in_force && !same_content)
		return end(apply, CONFIG_APPLY_CONFLICT);
	if (found) {
		apply->revision = found;
		return end(apply, CONFIG_APPLY_ACCEPTED);
	}
	if (apply->in_doubt)
		return resolve_doubt(apply, current, index);
	if (apply->expect_revision && in_force != apply->expect_revision)
		return end(apply, CONFIG_APPLY_CONFLICT);
	if (current && same_content && in_force > apply->above_revision) {
		apply->revision = in_force;
		return end(apply, CONFIG_APPLY_UNCHANGED);
	}
	apply->index = index;
	apply->revision = MAX(in_force, apply->above_revision) + 1;
	return CONFIG_APPLY_SWAP;
}

config_apply_step_t config_apply_read(config_apply_t *apply,
				      store_result_t result,
				      const config_t *current,
				      bool same_content, uint64_t index,
				      uint64_t now_ms)
{
	if (result == STORE_OK && is_stale(apply, index))
		return read_again(apply, now_ms);
	if (result == STORE_OK)
		return decide(apply, current, same_content, index);
	if (result == STORE_ABSENT)
		return decide(apply, NULL, false, 0);
	if (result == STORE_REFUSED && !apply->in_doubt)
		return end(apply, CONFIG_APPLY_REFUSED);
	return read_again(apply, now_ms);
}

config_apply_step_t config_apply_swapped(config_apply_t *apply,
					 store_result_t result, uint64_t now_ms)
{
	switch (result) {
	case STORE_OK:
		return end(apply, CONFIG_APPLY_ACCEPTED);
	case STORE_CONFLICT:
		if (!apply->in_doubt)
			return end(apply, CONFIG_APPLY_CONFLICT);
		return read_again(apply, now_ms);
	case STORE_REFUSED:
	case STORE_ABSENT:
		if (!apply->in_doubt)
			return end(apply, CONFIG_APPLY_REFUSED);
		return read_again(apply, now_ms);
	case STORE_UNKNOWN:
		apply->in_doubt = true;
		apply->doubtful_index = apply->index;
		apply->doubtful_revision = apply->revision;
		return read_again(apply, now_ms);
	}
	g_assert_not_reached();
}

uint32_t config_apply_pause_ms(const config_apply_t *apply)
{
	return apply->pause_ms;
}

uint64_t config_apply_index(const config_apply_t *apply)
{
	return apply->index;
}

uint64_t config_apply_revision(const config_apply_t *apply)
{
	return apply->revision;
}

config_apply_outcome_t config_apply_outcome(const config_apply_t *apply)
{
	return apply->outcome;
}

const char *config_apply_outcome_name(config_apply_outcome_t outcome)
{
	static const char *const names[] = {
		"accepted", "unchanged",   "conflict",
		"refused",  "unreachable", "unknown",
	};

	return names[outcome];
}

static void add_change(config_t *config, uint64_t revision,
		       const char *change_id)
{
	config_change_t *change = &config->changes[config->changes_count++];

	change->revision = revision;
	change->change_id = g_strdup(change_id);
}

void config_apply_stamp(config_t *config, const config_t *current,
			uint64_t revision, const char *change_id)
{
	for (uint32_t i = 0; i < config->changes_count; i++)
		g_free(config->changes[i].change_id);
	g_free(config->changes);
	g_free(config->change_id);
	config->revision = revision;
	config->change_id = g_strdup(change_id);
	config->changes = g_new0(config_change_t, CONFIG_CHANGES_MAX);
	config->changes_count = 0;
	if (!current)
		return;
	add_change(config, current->revision, current->change_id);
	for (uint32_t i = 0; i < current->changes_count &&
			     config->changes_count < CONFIG_CHANGES_MAX;
	     i++)
		add_change(config, current->changes[i].revision,
			   current->changes[i].change_id);
}
