#include "coordination/config_sync.h"

#include <string.h>

#include "coordination/owner.h"

#define RANK_KEY "toucanhook/config"

/* Maximum rate at which a watcher reads while nothing changes. */
#define WATCHED_BYTES_PER_S 1000u
#define RETRY_MIN_MS 500u
#define RETRY_MAX_MS 60000u
/* Time after which an absent key is read again. */
#define ABSENT_RETRY_MS 1000u
/* Delay per rank before a node reads a platform without recent answers. */
#define STALE_STEP_MS 1000u
#define STALE_STEPS_MAX 20u
/* Maximum number of known peers with a higher revision. */
#define SOURCES_MAX 4
#define NODE_NAME_SIZE 64

/* The repeated reads of one key of the platform. */
typedef struct {
	bool outstanding;  /* a read has not ended yet */
	bool answered;	   /* the last read was answered */
	uint64_t index;	   /* of the last successful read, or 0 */
	uint64_t next_ms;  /* when the next read is due */
	uint32_t failures; /* consecutive failed reads */
} reader_t;

struct config_sync {
	char *node;
	char *failure_domain;
	GRand *random;
	member_t *members;
	uint32_t members_count;
	bool watches;	   /* this node is a watcher of its domain */
	uint32_t rank;	   /* of this node among the nodes of its domain */
	uint64_t revision; /* in force, 0 for none */
	uint32_t wait_ms;  /* of one watch */
	uint64_t heard_ms; /* latest known answer of the platform to any node */
	bool started;
	reader_t config;	    /* of the configuration key */
	reader_t list;		    /* of the list of VMs */
	uint64_t list_index;	    /* of this node's list of VMs, 0 for none */
	uint64_t wanted;	    /* highest revision of any peer */
	uint64_t wanted_list_index; /* highest list index of any peer */
	char sources[SOURCES_MAX][NODE_NAME_SIZE]; /* peers with either */
	uint32_t sources_count;
	uint64_t fetch_until_ms; /* 0 while no fetch is outstanding */
	uint64_t next_query_ms;	 /* next query of peers without a revision */
};

config_sync_t *config_sync_create(const char *node, const char *failure_domain,
				  uint32_t seed)
{
	config_sync_t *spread = g_new0(config_sync_t, 1);

	spread->node = g_strdup(node);
	spread->failure_domain = g_strdup(failure_domain);
	spread->wait_ms = CONFIG_SYNC_WAIT_MS;
	spread->random = g_rand_new_with_seed(seed);
	return spread;
}

void config_sync_destroy(config_sync_t *spread)
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
static uint32_t rank_in_domain(const config_sync_t *spread)
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
					  CONFIG_SYNC_WATCHERS, nodes);

	for (uint32_t i = 0; i < count; i++)
		if (!strcmp(nodes[i], node))
			return true;
	return !count;
}

void config_sync_set_members(config_sync_t *spread, const member_view_t *view)
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
static void add_watchers(const config_sync_t *spread, GHashTable *receivers)
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
				   CONFIG_SYNC_WATCHERS, nodes);
		for (uint32_t n = 0; n < count; n++)
			g_hash_table_add(receivers, (char *)nodes[n]);
	}
}

/* Sends the digest to this node's domain and the watchers of other domains. */
static void send_digests(const config_sync_t *spread, GArray *actions)
{
	g_autoptr(GHashTable) receivers =
		g_hash_table_new(g_str_hash, g_str_equal);

	add_watchers(spread, receivers);
	for (uint32_t i = 0; i < spread->members_count; i++) {
		const member_t *member = &spread->members[i];
		const bool near =
			!strcmp(member->failure_domain, spread->failure_domain);

		if (member->state == MEMBER_DEAD ||
		    !strcmp(member->name, spread->node))
			continue;
		if (near || g_hash_table_contains(receivers, member->name))
			action_add(actions, CONFIG_ACTION_SEND_DIGEST,
				   member->name);
	}
}

static bool is_behind(const config_sync_t *spread)
{
	return spread->wanted > spread->revision ||
	       spread->wanted_list_index > spread->list_index;
}

/* Ends the fetch; the sources are of no use once nothing is missing. */
static void end_fetch(config_sync_t *spread)
{
	spread->fetch_until_ms = 0;
	if (!is_behind(spread))
		spread->sources_count = 0;
}

bool config_sync_offer_list(config_sync_t *spread, uint64_t index)
{
	if (index <= spread->list_index)
		return false;
	spread->list_index = index;
	end_fetch(spread);
	return true;
}

bool config_sync_offer(config_sync_t *spread, uint64_t revision,
		       GArray *actions)
{
	if (revision <= spread->revision)
		return false;
	spread->revision = revision;
	end_fetch(spread);
	if (spread->watches)
		send_digests(spread, actions);
	return true;
}

void config_sync_set_size(config_sync_t *spread, size_t size_bytes)
{
	const uint64_t wait_ms =
		(uint64_t)size_bytes * 1000 / WATCHED_BYTES_PER_S;

	spread->wait_ms = (uint32_t)CLAMP(wait_ms, CONFIG_SYNC_WAIT_MS,
					  CONFIG_SYNC_WAIT_MS_MAX);
}

uint64_t config_sync_revision(const config_sync_t *spread)
{
	return spread->revision;
}

/* While the platform keeps a watch open, it counts as answering. */
static uint64_t heard_ms(const config_sync_t *spread, uint64_t now_ms)
{
	const reader_t *config = &spread->config;

	if (config->outstanding && config->answered && config->index)
		return now_ms;
	return spread->heard_ms;
}

config_digest_t config_sync_digest(const config_sync_t *spread, uint64_t now_ms)
{
	const uint64_t age_ms = now_ms - heard_ms(spread, now_ms);

	return (config_digest_t){
		.revision = spread->revision,
		.age_ms = (uint32_t)MIN(age_ms, UINT32_MAX),
		.list_index = spread->list_index,
	};
}

static void source_add(config_sync_t *spread, const char *from,
		       const config_digest_t *digest)
{
	if (digest->revision > spread->wanted ||
	    digest->list_index > spread->wanted_list_index)
		spread->sources_count = 0;
	spread->wanted = MAX(spread->wanted, digest->revision);
	spread->wanted_list_index =
		MAX(spread->wanted_list_index, digest->list_index);
	for (uint32_t i = 0; i < spread->sources_count; i++)
		if (!strcmp(spread->sources[i], from))
			return;
	if (spread->sources_count < SOURCES_MAX)
		g_strlcpy(spread->sources[spread->sources_count++], from,
			  NODE_NAME_SIZE);
}

/* Fetches from one source and removes it until its next digest arrives. */
static void fetch(config_sync_t *spread, uint64_t now_ms, GArray *actions)
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
	spread->fetch_until_ms = now_ms + CONFIG_SYNC_FETCH_TIMEOUT_MS;
}

void config_sync_handle_digest(config_sync_t *spread, const char *from,
			       const config_digest_t *digest, uint64_t now_ms,
			       GArray *actions)
{
	if (digest->age_ms < now_ms &&
	    now_ms - digest->age_ms > spread->heard_ms)
		spread->heard_ms = now_ms - digest->age_ms;
	if (digest->revision <= spread->revision &&
	    digest->list_index <= spread->list_index)
		return;
	source_add(spread, from, digest);
	fetch(spread, now_ms, actions);
}

static uint64_t jittered(config_sync_t *spread, uint64_t delay_ms)
{
	return delay_ms / 2 +
	       (uint64_t)g_rand_int_range(spread->random, 0,
					  (gint32)(delay_ms / 2 + 1));
}

static void reader_ended(config_sync_t *spread, reader_t *reader,
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

void config_sync_config_read(config_sync_t *spread, config_read_t result,
			     uint64_t index, uint64_t now_ms)
{
	reader_ended(spread, &spread->config, result, index, now_ms);
}

void config_sync_members_read(config_sync_t *spread, config_read_t result,
			      uint64_t index, uint64_t now_ms, GArray *actions)
{
	const bool changed = index != spread->list_index;

	reader_ended(spread, &spread->list, result, index, now_ms);
	if (result != CONFIG_READ_DONE || !index || !changed)
		return;
	spread->list_index = index;
	end_fetch(spread);
	if (spread->watches)
		send_digests(spread, actions);
}

static void read_platform(const config_sync_t *spread, reader_t *reader,
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

/*
 * Whether no recent answer of the platform is known. Every node then reads the
 * platform itself, so that no domain is cut off if all its watchers are.
 */
static bool is_stale(const config_sync_t *spread, uint64_t now_ms)
{
	const uint64_t timeout_ms =
		CONFIG_SYNC_STALE_MS +
		(uint64_t)STALE_STEP_MS * MIN(spread->rank, STALE_STEPS_MAX);

	return now_ms - heard_ms(spread, now_ms) >= timeout_ms;
}

/* Fetches from several random peers while this node has no configuration. */
static void query_peers(config_sync_t *spread, uint64_t now_ms, GArray *actions)
{
	if (spread->revision || now_ms < spread->next_query_ms ||
	    !spread->members_count)
		return;
	spread->next_query_ms = now_ms + CONFIG_SYNC_FETCH_TIMEOUT_MS;
	for (uint32_t i = 0; i < CONFIG_SYNC_FETCH_PEERS; i++) {
		const member_t *member = &spread->members[g_rand_int_range(
			spread->random, 0, (gint32)spread->members_count)];

		if (member->state != MEMBER_DEAD &&
		    strcmp(member->name, spread->node))
			action_add(actions, CONFIG_ACTION_FETCH, member->name);
	}
}

void config_sync_tick(config_sync_t *spread, uint64_t now_ms, GArray *actions)
{
	bool reads;

	if (!spread->started) {
		spread->started = true;
		spread->heard_ms = now_ms;
	}
	reads = spread->watches || !spread->revision ||
		is_stale(spread, now_ms);
	if (reads)
		read_platform(spread, &spread->config,
			      CONFIG_ACTION_READ_CONFIG, now_ms, actions);
	/* Every node reads the list once, to know who may own servers. */
	if (reads || !spread->list.index)
		read_platform(spread, &spread->list, CONFIG_ACTION_READ_MEMBERS,
			      now_ms, actions);
	query_peers(spread, now_ms, actions);
	if (is_behind(spread))
		fetch(spread, now_ms, actions);
}
