#include "coordination/config_sync.h"

#include <string.h>

#include "coordination/owner.h"
#include "state/store_revision.h"

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
	uint64_t index;	   /* index of the last successful read, or 0 */
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
	uint32_t rank;	   /* this node's rank by name in its domain */
	uint64_t revision; /* revision in force, 0 for none */
	uint32_t wait_ms;  /* maximum wait of one watch */
	/* Time of the platform's latest known answer to any node. */
	uint64_t last_answer_ms;
	bool started;
	reader_t config;     /* reads of the configuration key */
	reader_t list;	     /* reads of the list of VMs */
	uint64_t list_index; /* index of this node's list of VMs, 0 for none */
	uint64_t wanted;     /* highest revision of any peer */
	uint64_t wanted_list_index; /* highest list index of any peer */
	/* Names of peers with a higher revision or list index. */
	char sources[SOURCES_MAX][NODE_NAME_SIZE];
	uint32_t sources_count;
	uint64_t fetch_until_ms; /* timeout of the current fetch, or 0 */
	uint64_t next_query_ms;	 /* next fetch while there is no revision */
};

config_sync_t *config_sync_create(const char *node, const char *failure_domain,
				  uint32_t seed)
{
	config_sync_t *sync = g_new0(config_sync_t, 1);

	sync->node = g_strdup(node);
	sync->failure_domain = g_strdup(failure_domain);
	sync->wait_ms = CONFIG_SYNC_WAIT_MS;
	sync->random = g_rand_new_with_seed(seed);
	return sync;
}

void config_sync_destroy(config_sync_t *sync)
{
	if (!sync)
		return;
	g_rand_free(sync->random);
	g_free(sync->members);
	g_free(sync->failure_domain);
	g_free(sync->node);
	g_free(sync);
}

/* Counts the live nodes of the domain that come before this one by name. */
static uint32_t rank_in_domain(const config_sync_t *sync)
{
	uint32_t rank = 0;

	for (uint32_t i = 0; i < sync->members_count; i++) {
		const member_t *member = &sync->members[i];

		if (member->state != MEMBER_DEAD &&
		    !strcmp(member->failure_domain, sync->failure_domain) &&
		    strcmp(member->name, sync->node) < 0)
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

void config_sync_set_members(config_sync_t *sync, const member_view_t *view)
{
	g_free(sync->members);
	sync->members = g_memdup2(view->members,
				  view->members_count * sizeof(member_t));
	sync->members_count = view->members_count;
	sync->watches = is_watcher(view, sync->node, sync->failure_domain);
	sync->rank = rank_in_domain(sync);
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
static void add_watchers(const config_sync_t *sync, GHashTable *receivers)
{
	const member_view_t view = {.members = sync->members,
				    .members_count = sync->members_count};
	g_autoptr(GHashTable) domains =
		g_hash_table_new(g_str_hash, g_str_equal);

	g_hash_table_add(domains, sync->failure_domain);
	for (uint32_t i = 0; i < sync->members_count; i++) {
		char *domain = sync->members[i].failure_domain;
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
static void send_digests(const config_sync_t *sync, GArray *actions)
{
	g_autoptr(GHashTable) receivers =
		g_hash_table_new(g_str_hash, g_str_equal);

	add_watchers(sync, receivers);
	for (uint32_t i = 0; i < sync->members_count; i++) {
		const member_t *member = &sync->members[i];
		const bool near =
			!strcmp(member->failure_domain, sync->failure_domain);

		if (member->state == MEMBER_DEAD ||
		    !strcmp(member->name, sync->node))
			continue;
		if (near || g_hash_table_contains(receivers, member->name))
			action_add(actions, CONFIG_ACTION_SEND_DIGEST,
				   member->name);
	}
}

static bool is_behind(const config_sync_t *sync)
{
	return sync->wanted > sync->revision ||
	       sync->wanted_list_index > sync->list_index;
}

/* Ends the fetch; discards the sources once this node is not behind. */
static void end_fetch(config_sync_t *sync)
{
	sync->fetch_until_ms = 0;
	if (!is_behind(sync))
		sync->sources_count = 0;
}

bool config_sync_offer_list(config_sync_t *sync, uint64_t index)
{
	if (index <= sync->list_index)
		return false;
	sync->list_index = index;
	end_fetch(sync);
	return true;
}

bool config_sync_offer(config_sync_t *sync, uint64_t revision, GArray *actions)
{
	if (revision <= sync->revision)
		return false;
	sync->revision = revision;
	end_fetch(sync);
	if (sync->watches)
		send_digests(sync, actions);
	return true;
}

void config_sync_set_size(config_sync_t *sync, size_t size_bytes)
{
	const uint64_t wait_ms =
		(uint64_t)size_bytes * 1000 / WATCHED_BYTES_PER_S;

	sync->wait_ms = (uint32_t)CLAMP(wait_ms, CONFIG_SYNC_WAIT_MS,
					CONFIG_SYNC_WAIT_MS_MAX);
}

uint64_t config_sync_list_index(const config_sync_t *sync)
{
	return sync->list_index;
}

uint64_t config_sync_revision(const config_sync_t *sync)
{
	return sync->revision;
}

/*
 * Returns the time of the platform's latest known answer. A platform that keeps
 * a watch open counts as answering.
 */
static uint64_t last_answer_ms(const config_sync_t *sync, uint64_t now_ms)
{
	const reader_t *config = &sync->config;

	if (config->outstanding && config->answered && config->index)
		return now_ms;
	return sync->last_answer_ms;
}

config_digest_t config_sync_digest(const config_sync_t *sync, uint64_t now_ms)
{
	const uint64_t age_ms = now_ms - last_answer_ms(sync, now_ms);

	return (config_digest_t){
		.revision = sync->revision,
		.age_ms = (uint32_t)MIN(age_ms, UINT32_MAX),
		.list_index = sync->list_index,
	};
}

static void source_add(config_sync_t *sync, const char *from,
		       const config_digest_t *digest)
{
	if (digest->revision > sync->wanted ||
	    digest->list_index > sync->wanted_list_index)
		sync->sources_count = 0;
	sync->wanted = MAX(sync->wanted, digest->revision);
	sync->wanted_list_index =
		MAX(sync->wanted_list_index, digest->list_index);
	for (uint32_t i = 0; i < sync->sources_count; i++)
		if (!strcmp(sync->sources[i], from))
			return;
	if (sync->sources_count < SOURCES_MAX)
		g_strlcpy(sync->sources[sync->sources_count++], from,
			  NODE_NAME_SIZE);
}

/* Fetches from one source and removes it until its next digest arrives. */
static void fetch(config_sync_t *sync, uint64_t now_ms, GArray *actions)
{
	uint32_t chosen;

	if (!sync->sources_count || now_ms < sync->fetch_until_ms)
		return;
	chosen = (uint32_t)g_rand_int_range(sync->random, 0,
					    (gint32)sync->sources_count);
	action_add(actions, CONFIG_ACTION_FETCH, sync->sources[chosen]);
	sync->sources_count--;
	memmove(sync->sources[chosen], sync->sources[sync->sources_count],
		NODE_NAME_SIZE);
	sync->fetch_until_ms = now_ms + CONFIG_SYNC_FETCH_TIMEOUT_MS;
}

void config_sync_handle_digest(config_sync_t *sync, const char *from,
			       const config_digest_t *digest, uint64_t now_ms,
			       GArray *actions)
{
	if (digest->age_ms < now_ms &&
	    now_ms - digest->age_ms > sync->last_answer_ms)
		sync->last_answer_ms = now_ms - digest->age_ms;
	if (digest->revision <= sync->revision &&
	    digest->list_index <= sync->list_index)
		return;
	source_add(sync, from, digest);
	fetch(sync, now_ms, actions);
}

static uint64_t jittered(config_sync_t *sync, uint64_t delay_ms)
{
	return delay_ms / 2 +
	       (uint64_t)g_rand_int_range(sync->random, 0,
					  (gint32)(delay_ms / 2 + 1));
}

static void reader_ended(config_sync_t *sync, reader_t *reader,
			 config_read_t result, uint64_t index, uint64_t now_ms)
{
	uint64_t delay_ms;

	reader->outstanding = false;
	reader->answered = result != CONFIG_READ_FAILED;
	reader->index = result == CONFIG_READ_DONE ? index : 0;
	if (reader->answered) {
		reader->failures = 0;
		sync->last_answer_ms = now_ms;
		reader->next_ms = now_ms;
		if (result == CONFIG_READ_ABSENT || !index)
			reader->next_ms += jittered(sync, ABSENT_RETRY_MS);
		return;
	}
	delay_ms = (uint64_t)RETRY_MIN_MS << MIN(reader->failures, 10u);
	reader->failures++;
	reader->next_ms = now_ms + jittered(sync, MIN(delay_ms, RETRY_MAX_MS));
}

void config_sync_config_read(config_sync_t *sync, config_read_t result,
			     uint64_t index, uint64_t now_ms)
{
	reader_ended(sync, &sync->config, result, index, now_ms);
}

/*
 * @return the index with the era in which the platform gave it: an index that
 *         went back shows that the platform was restored from an older copy
 */
static uint64_t with_era(const config_sync_t *sync, uint64_t index)
{
	const int64_t known = (int64_t)sync->list_index;
	const bool restored = (int64_t)index < store_revision_number(known);

	return (uint64_t)store_revision_make(
		store_revision_era(known) + restored, (int64_t)index);
}

void config_sync_members_read(config_sync_t *sync, config_read_t result,
			      uint64_t index, uint64_t now_ms, GArray *actions)
{
	const uint64_t list_index = with_era(sync, index);

	reader_ended(sync, &sync->list, result, index, now_ms);
	if (result != CONFIG_READ_DONE || !index ||
	    list_index == sync->list_index)
		return;
	sync->list_index = list_index;
	end_fetch(sync);
	if (sync->watches)
		send_digests(sync, actions);
}

static void read_platform(const config_sync_t *sync, reader_t *reader,
			  config_action_kind_t kind, uint64_t now_ms,
			  GArray *actions)
{
	config_action_t *action;

	if (reader->outstanding || now_ms < reader->next_ms)
		return;
	reader->outstanding = true;
	action = action_add(actions, kind, "");
	if (sync->watches && reader->index) {
		action->after_index = reader->index;
		action->wait_ms = sync->wait_ms;
	}
}

/*
 * Whether no recent answer of the platform is known. Every node then reads the
 * platform itself, so that no domain is cut off if all its watchers are.
 */
static bool is_stale(const config_sync_t *sync, uint64_t now_ms)
{
	const uint64_t timeout_ms =
		CONFIG_SYNC_STALE_MS +
		(uint64_t)STALE_STEP_MS * MIN(sync->rank, STALE_STEPS_MAX);

	return now_ms - last_answer_ms(sync, now_ms) >= timeout_ms;
}

/* Fetches from several random peers while this node has no configuration. */
static void query_peers(config_sync_t *sync, uint64_t now_ms, GArray *actions)
{
	if (sync->revision || now_ms < sync->next_query_ms ||
	    !sync->members_count)
		return;
	sync->next_query_ms = now_ms + CONFIG_SYNC_FETCH_TIMEOUT_MS;
	for (uint32_t i = 0; i < CONFIG_SYNC_FETCH_PEERS; i++) {
		const member_t *member = &sync->members[g_rand_int_range(
			sync->random, 0, (gint32)sync->members_count)];

		if (member->state != MEMBER_DEAD &&
		    strcmp(member->name, sync->node))
			action_add(actions, CONFIG_ACTION_FETCH, member->name);
	}
}

void config_sync_tick(config_sync_t *sync, uint64_t now_ms, GArray *actions)
{
	bool reads;

	if (!sync->started) {
		sync->started = true;
		sync->last_answer_ms = now_ms;
	}
	reads = sync->watches || !sync->revision || is_stale(sync, now_ms);
	if (reads)
		read_platform(sync, &sync->config, CONFIG_ACTION_READ_CONFIG,
			      now_ms, actions);
	/* Every node reads the list once, to know who may own servers. */
	if (reads || !sync->list.index)
		read_platform(sync, &sync->list, CONFIG_ACTION_READ_MEMBERS,
			      now_ms, actions);
	query_peers(sync, now_ms, actions);
	if (is_behind(sync))
		fetch(sync, now_ms, actions);
}
