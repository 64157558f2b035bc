#include "coordination/config_spread.h"

#include <string.h>

#include "coordination/owner.h"

#define RANK_KEY "toucanhook/config"

/* A watcher reads no more than this while nothing changes. */
#define WATCHED_BYTES_PER_S 1000u
#define RETRY_MIN_MS 500u
#define RETRY_MAX_MS 60000u
/* A key that is absent is asked for again after this time. */
#define ABSENT_RETRY_MS 1000u
/* Nodes of a domain ask one after the other when the platform is silent. */
#define BLIND_STEP_MS 1000u
#define BLIND_STEPS_MAX 20u
/* Peers remembered to have a higher revision. */
#define SOURCES_MAX 4
#define NODE_NAME_SIZE 64

/* One thing that is read from the platform, again and again. */
typedef struct {
	bool outstanding;
	bool answered; /* the last read was */
	uint64_t index;
	uint64_t next_ms;
	uint32_t failures;
} reader_t;

struct config_spread {
	char *node;
	char *failure_domain;
	GRand *random;
	member_t *members;
	uint32_t members_count;
	bool watches;
	uint32_t rank; /* of this node among those of its domain */
	uint64_t revision;
	uint32_t wait_ms;  /* of a watch */
	uint64_t heard_ms; /* when the platform last spoke, to anyone */
	bool started;
	reader_t config;
	reader_t list;
	uint64_t wanted; /* highest revision heard of */
	char sources[SOURCES_MAX][NODE_NAME_SIZE];
	uint32_t sources_count;
	uint64_t fetch_until_ms; /* 0 while no fetch is outstanding */
	uint64_t ask_ms;	 /* when peers are asked for the first one */
};

config_spread_t *config_spread_create(const char *node,
				      const char *failure_domain, uint32_t seed)
{
	config_spread_t *spread = g_new0(config_spread_t, 1);

	spread->node = g_strdup(node);
	spread->failure_domain = g_strdup(failure_domain);
	spread->wait_ms = CONFIG_SPREAD_WAIT_MS;
	spread->random = g_rand_new_with_seed(seed);
	return spread;
}

void config_spread_destroy(config_spread_t *spread)
{
	if (!spread)
		return;
	g_rand_free(spread->random);
	g_free(spread->members);
	g_free(spread->failure_domain);
	g_free(spread->node);
	g_free(spread);
}

/* Counts the live nodes of the domain that come before this one by name. */
static uint32_t rank_in_domain(const config_spread_t *spread)
{
	uint32_t rank = 0;

	for (uint32_t i = 0; i < spread->members_count; i++) {
		const member_t *member = &spread->members[i];

		if (member->state != MEMBER_DEAD &&
		    !strcmp(member->failure_domain, spread->failure_domain) &&
		    strcmp(member->name, spread->node) < 0)
			rank++;
	}
	return rank;
}

static bool is_watcher(const member_view_t *view, const char *node,
		       const char *failure_domain)
{
	const char *nodes[OWNER_LIMIT];
	const uint32_t count = owner_rank(view, RANK_KEY, failure_domain,
					  CONFIG_SPREAD_WATCHERS, nodes);

	for (uint32_t i = 0; i < count; i++)
		if (!strcmp(nodes[i], node))
			return true;
	return !count;
}

void config_spread_members(config_spread_t *spread, const member_view_t *view)
{
	g_free(spread->members);
	spread->members = g_memdup2(view->members,
				    view->members_count * sizeof(member_t));
	spread->members_count = view->members_count;
	spread->watches =
		is_watcher(view, spread->node, spread->failure_domain);
	spread->rank = rank_in_domain(spread);
}

static config_action_t *action_add(GArray *actions, config_action_kind_t kind,
				   const char *node)
{
	const config_action_t action = {.kind = kind};
	config_action_t *added;

	g_array_append_val(actions, action);
	added = &g_array_index(actions, config_action_t, actions->len - 1);
	g_strlcpy(added->node, node, sizeof(added->node));
	return added;
}

/* Adds the watchers of every domain but this node's own. */
static void add_watchers(const config_spread_t *spread, GHashTable *told)
{
	const member_view_t view = {.members = spread->members,
				    .members_count = spread->members_count};
	g_autoptr(GHashTable) domains =
		g_hash_table_new(g_str_hash, g_str_equal);

	g_hash_table_add(domains, spread->failure_domain);
	for (uint32_t i = 0; i < spread->members_count; i++) {
		char *domain = spread->members[i].failure_domain;
		const char *nodes[OWNER_LIMIT];
		uint32_t count;

		if (!g_hash_table_add(domains, domain))
			continue;
		count = owner_rank(&view, RANK_KEY, domain,
				   CONFIG_SPREAD_WATCHERS, nodes);
		for (uint32_t n = 0; n < count; n++)
			g_hash_table_add(told, (char *)nodes[n]);
	}
}

/* Watchers tell their domain, and the watchers of the other domains. */
static void tell(const config_spread_t *spread, GArray *actions)
{
	g_autoptr(GHashTable) told = g_hash_table_new(g_str_hash, g_str_equal);

	add_watchers(spread, told);
	for (uint32_t i = 0; i < spread->members_count; i++) {
		const member_t *member = &spread->members[i];
		const bool near =
			!strcmp(member->failure_domain, spread->failure_domain);

		if (member->state == MEMBER_DEAD ||
		    !strcmp(member->name, spread->node))
			continue;
		if (near || g_hash_table_contains(told, member->name))
			action_add(actions, CONFIG_ACTION_TELL, member->name);
	}
}

bool config_spread_offer(config_spread_t *spread, uint64_t revision,
			 GArray *actions)
{
	if (revision <= spread->revision)
		return false;
	spread->revision = revision;
	spread->fetch_until_ms = 0;
	if (spread->wanted <= revision)
		spread->sources_count = 0;
	if (spread->watches)
		tell(spread, actions);
	return true;
}

void config_spread_set_size(config_spread_t *spread, size_t size_bytes)
{
	const uint64_t wait_ms =
		(uint64_t)size_bytes * 1000 / WATCHED_BYTES_PER_S;

	spread->wait_ms = (uint32_t)CLAMP(wait_ms, CONFIG_SPREAD_WAIT_MS,
					  CONFIG_SPREAD_WAIT_MS_MAX);
}

uint64_t config_spread_revision(const config_spread_t *spread)
{
	return spread->revision;
}

/* A watch that the platform holds shows that it speaks. */
static uint64_t heard_ms(const config_spread_t *spread, uint64_t now_ms)
{
	const reader_t *config = &spread->config;

	if (config->outstanding && config->answered && config->index)
		return now_ms;
	return spread->heard_ms;
}

config_digest_t config_spread_digest(const config_spread_t *spread,
				     uint64_t now_ms)
{
	const uint64_t age_ms = now_ms - heard_ms(spread, now_ms);

	return (config_digest_t){
		.revision = spread->revision,
		.age_ms = (uint32_t)MIN(age_ms, UINT32_MAX),
	};
}

static void source_add(config_spread_t *spread, const char *from,
		       uint64_t revision)
{
	if (revision > spread->wanted) {
		spread->wanted = revision;
		spread->sources_count = 0;
	}
	for (uint32_t i = 0; i < spread->sources_count; i++)
		if (!strcmp(spread->sources[i], from))
			return;
	if (spread->sources_count < SOURCES_MAX)
		g_strlcpy(spread->sources[spread->sources_count++], from,
			  NODE_NAME_SIZE);
}

/* Asks one of the sources, which is then forgotten until it speaks again. */
static void fetch(config_spread_t *spread, uint64_t now_ms, GArray *actions)
{
	uint32_t chosen;

	if (!spread->sources_count || now_ms < spread->fetch_until_ms)
		return;
	chosen = (uint32_t)g_rand_int_range(spread->random, 0,
					    (gint32)spread->sources_count);
	action_add(actions, CONFIG_ACTION_FETCH, spread->sources[chosen]);
	spread->sources_count--;
	memmove(spread->sources[chosen], spread->sources[spread->sources_count],
		NODE_NAME_SIZE);
	spread->fetch_until_ms = now_ms + CONFIG_SPREAD_FETCH_TIMEOUT_MS;
}

void config_spread_heard(config_spread_t *spread, const char *from,
			 const config_digest_t *digest, uint64_t now_ms,
			 GArray *actions)
{
	if (digest->age_ms < now_ms &&
	    now_ms - digest->age_ms > spread->heard_ms)
		spread->heard_ms = now_ms - digest->age_ms;
	if (digest->revision <= spread->revision)
		return;
	source_add(spread, from, digest->revision);
	fetch(spread, now_ms, actions);
}

static uint64_t jittered(config_spread_t *spread, uint64_t delay_ms)
{
	return delay_ms / 2 +
	       (uint64_t)g_rand_int_range(spread->random, 0,
					  (gint32)(delay_ms / 2 + 1));
}

static void reader_ended(config_spread_t *spread, reader_t *reader,
			 config_read_t result, uint64_t index, uint64_t now_ms)
{
	uint64_t delay_ms;

	reader->outstanding = false;
	reader->answered = result != CONFIG_READ_FAILED;
	reader->index = result == CONFIG_READ_DONE ? index : 0;
	if (reader->answered) {
		reader->failures = 0;
		spread->heard_ms = now_ms;
		reader->next_ms = now_ms;
		if (result == CONFIG_READ_ABSENT || !index)
			reader->next_ms += jittered(spread, ABSENT_RETRY_MS);
		return;
	}
	delay_ms = (uint64_t)RETRY_MIN_MS << MIN(reader->failures, 10u);
	reader->failures++;
	reader->next_ms =
		now_ms + jittered(spread, MIN(delay_ms, RETRY_MAX_MS));
}

void config_spread_config_read(config_spread_t *spread, config_read_t result,
			       uint64_t index, uint64_t now_ms)
{
	reader_ended(spread, &spread->config, result, index, now_ms);
}

void config_spread_members_read(config_spread_t *spread, config_read_t result,
				uint64_t index, uint64_t now_ms)
{
	reader_ended(spread, &spread->list, result, index, now_ms);
}

static void read_platform(const config_spread_t *spread, reader_t *reader,
			  config_action_kind_t kind, uint64_t now_ms,
			  GArray *actions)
{
	config_action_t *action;

	if (reader->outstanding || now_ms < reader->next_ms)
		return;
	reader->outstanding = true;
	action = action_add(actions, kind, "");
	if (spread->watches && reader->index) {
		action->after_index = reader->index;
		action->wait_ms = spread->wait_ms;
	}
}

/* No rule of rank may leave a domain without the platform's word. */
static bool is_blind(const config_spread_t *spread, uint64_t now_ms)
{
	const uint64_t patience_ms =
		CONFIG_SPREAD_BLIND_MS +
		(uint64_t)BLIND_STEP_MS * MIN(spread->rank, BLIND_STEPS_MAX);

	return now_ms - heard_ms(spread, now_ms) >= patience_ms;
}

/* A node without a configuration asks several peers, while it has none. */
static void ask_peers(config_spread_t *spread, uint64_t now_ms, GArray *actions)
{
	if (spread->revision || now_ms < spread->ask_ms ||
	    !spread->members_count)
		return;
	spread->ask_ms = now_ms + CONFIG_SPREAD_FETCH_TIMEOUT_MS;
	for (uint32_t i = 0; i < CONFIG_SPREAD_ASKED; i++) {
		const member_t *member = &spread->members[g_rand_int_range(
			spread->random, 0, (gint32)spread->members_count)];

		if (member->state != MEMBER_DEAD &&
		    strcmp(member->name, spread->node))
			action_add(actions, CONFIG_ACTION_FETCH, member->name);
	}
}

void config_spread_tick(config_spread_t *spread, uint64_t now_ms,
			GArray *actions)
{
	bool reads;

	if (!spread->started) {
		spread->started = true;
		spread->heard_ms = now_ms;
	}
	reads = spread->watches || !spread->revision ||
		is_blind(spread, now_ms);
	if (reads) {
		read_platform(spread, &spread->config,
			      CONFIG_ACTION_READ_CONFIG, now_ms, actions);
		read_platform(spread, &spread->list, CONFIG_ACTION_READ_MEMBERS,
			      now_ms, actions);
	}
	ask_peers(spread, now_ms, actions);
	if (spread->wanted > spread->revision)
		fetch(spread, now_ms, actions);
}
