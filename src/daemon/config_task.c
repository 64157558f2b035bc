#include "daemon/config_task.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "base/clock.h"
#include "base/deflate.h"
#include "base/log.h"
#include "coordination/config_sync.h"
#include "protocol/config_note.h"
#include "protocol/member_list.h"
#include "state/config_codec.h"

#define TICK_INTERVAL_MS 200
/* Sufficient for a list of MEMBER_LIST_MAX VMs. */
#define LIST_SIZE_BYTES_MAX (2u * 1024 * 1024)
#define SOURCE_PLATFORM "platform"

struct config_task {
	config_handlers_t handlers;
	store_t *store;
	config_sync_t *sync;
	struct event *timer;
	config_t *config;
	GBytes *stored;	    /* active configuration as stored, or NULL */
	GBytes *compressed; /* compressed form of stored, for peers, or NULL */
	GBytes *list;	    /* compressed list of VMs, for peers, or NULL */
	metric_t *revision;
	metric_t *reads;
	metric_t *failed_reads;
	metric_t *fetches;
};

static void on_config_read(void *context, store_result_t result,
			   const uint8_t *bytes, size_t size_bytes,
			   uint64_t index);
static void on_members_read(void *context, store_result_t result,
			    const member_t *members, uint32_t members_count,
			    uint64_t index);

static GArray *actions_new(void)
{
	return g_array_new(FALSE, FALSE, sizeof(config_action_t));
}

static void send_note(const config_task_t *task, const char *node,
		      const config_note_t *note)
{
	g_autoptr(GBytes) bytes = config_note_encode(note);
	gsize size_bytes;
	const uint8_t *data = g_bytes_get_data(bytes, &size_bytes);

	task->handlers.send(task->handlers.context, node, data, size_bytes);
}

static void send_digest(const config_task_t *task, const char *node,
			config_note_kind_t kind)
{
	const config_note_t note = {
		.kind = kind,
		.digest = config_sync_digest(task->sync, clock_now_ms()),
	};

	send_note(task, node, &note);
}

static void run_action(config_task_t *task, const config_action_t *action)
{
	const store_t *store = task->store;

	switch (action->kind) {
	case CONFIG_ACTION_READ_CONFIG:
		metric_add(task->reads, 1);
		store->calls->get(store->self, CONFIG_KEY, action->after_index,
				  action->wait_ms, on_config_read, task);
		return;
	case CONFIG_ACTION_READ_MEMBERS:
		metric_add(task->reads, 1);
		store->calls->members(store->self, action->after_index,
				      action->wait_ms, on_members_read, task);
		return;
	case CONFIG_ACTION_FETCH:
		metric_add(task->fetches, 1);
		send_digest(task, action->node, CONFIG_NOTE_FETCH);
		return;
	case CONFIG_ACTION_SEND_DIGEST:
		send_digest(task, action->node, CONFIG_NOTE_DIGEST);
		return;
	}
}

/* Runs all actions and frees the array. */
static void run_actions(config_task_t *task, GArray *actions)
{
	for (guint i = 0; i < actions->len; i++)
		run_action(task, &g_array_index(actions, config_action_t, i));
	g_array_unref(actions);
}

static void activate_config(config_task_t *task, config_t *config,
			    const uint8_t *bytes, size_t size_bytes,
			    const char *source)
{
	config_t *old = task->config;

	g_clear_pointer(&task->stored, g_bytes_unref);
	g_clear_pointer(&task->compressed, g_bytes_unref);
	task->stored = g_bytes_new(bytes, size_bytes);
	task->compressed = deflate_compress(bytes, size_bytes);
	config_sync_set_size(task->sync, size_bytes);
	task->config = config;
	metric_set(task->revision, (int64_t)config->revision);
	log_event(LOG_LEVEL_NOTICE, "config_revision",
		  "revision=%" PRIu64 " change=%s site=%s source=%s",
		  config->revision, config->change_id, config->site, source);
	task->handlers.changed(task->handlers.context, config);
	config_delete(old);
}

static bool is_active_config(const config_task_t *task, const uint8_t *bytes,
			     size_t size_bytes)
{
	gsize size = 0;
	const void *data =
		task->stored ? g_bytes_get_data(task->stored, &size) : NULL;

	return data && size == size_bytes && !memcmp(data, bytes, size_bytes);
}

/*
 * Peers may send an old revision, but the platform's revision must never
 * decrease. Two changes with the same revision show that the platform has lost
 * a change that it had accepted.
 */
static void log_not_newer(const config_task_t *task, const config_t *config,
			  const char *source)
{
	const bool from_peer = strcmp(source, SOURCE_PLATFORM) != 0;

	if (config->revision == task->config->revision &&
	    strcmp(config->change_id, task->config->change_id) != 0) {
		log_event(LOG_LEVEL_ERROR, "config_conflict",
			  "source=%s revision=%" PRIu64
			  " change=%s in_force=%s",
			  source, config->revision, config->change_id,
			  task->config->change_id);
		return;
	}
	log_event(from_peer ? LOG_LEVEL_DEBUG : LOG_LEVEL_ERROR,
		  "config_refused",
		  "source=%s revision=%" PRIu64 " in_force=%" PRIu64, source,
		  config->revision, config_sync_revision(task->sync));
}

static void handle_config(config_task_t *task, const uint8_t *bytes,
			  size_t size_bytes, const char *source)
{
	g_autoptr(GError) error = NULL;
	GArray *actions;
	config_t *config;

	if (is_active_config(task, bytes, size_bytes))
		return;
	config = config_codec_decode(bytes, size_bytes, &error);
	if (!config) {
		log_event(LOG_LEVEL_ERROR, "config_refused",
			  "source=%s reason=\"%s\"", source, error->message);
		return;
	}
	actions = actions_new();
	if (config_sync_offer(task->sync, config->revision, actions)) {
		activate_config(task, config, bytes, size_bytes, source);
	} else {
		log_not_newer(task, config, source);
		config_delete(config);
	}
	run_actions(task, actions);
}

static config_read_t read_result(store_result_t result)
{
	if (result == STORE_OK)
		return CONFIG_READ_DONE;
	return result == STORE_ABSENT ? CONFIG_READ_ABSENT : CONFIG_READ_FAILED;
}

static void on_config_read(void *context, store_result_t result,
			   const uint8_t *bytes, size_t size_bytes,
			   uint64_t index)
{
	config_task_t *task = context;

	if (result == STORE_OK)
		handle_config(task, bytes, size_bytes, SOURCE_PLATFORM);
	else if (result != STORE_ABSENT)
		metric_add(task->failed_reads, 1);
	config_sync_config_read(task->sync, read_result(result), index,
				clock_now_ms());
}

/* Stores the list of VMs as compressed `[index, [VMs]]` for peers. */
static void store_list(config_task_t *task, const member_t *members,
		       uint32_t members_count, uint64_t index)
{
	json_t *json = json_pack("[I, o]", (json_int_t)index,
				 member_list_write(members, members_count));
	char *text = json_dumps(json, JSON_COMPACT);

	json_decref(json);
	if (!text)
		return;
	g_clear_pointer(&task->list, g_bytes_unref);
	task->list = deflate_compress((const uint8_t *)text, strlen(text));
	free(text);
}

static void on_members_read(void *context, store_result_t result,
			    const member_t *members, uint32_t members_count,
			    uint64_t index)
{
	config_task_t *task = context;
	GArray *actions = actions_new();

	config_sync_members_read(task->sync, read_result(result), index,
				 clock_now_ms(), actions);
	if (result == STORE_OK)
		store_list(task, members, members_count,
			   config_sync_list_index(task->sync));
	else
		metric_add(task->failed_reads, 1);
	run_actions(task, actions);
	if (result == STORE_OK)
		task->handlers.listed(task->handlers.context, members,
				      members_count);
}

static void on_tick(evutil_socket_t fd, short what, void *context)
{
	config_task_t *task = context;
	GArray *actions = actions_new();

	config_sync_tick(task->sync, clock_now_ms(), actions);
	run_actions(task, actions);
}

config_task_t *config_task_create(struct event_base *base, metrics_t *metrics,
				  const char *node, const char *failure_domain,
				  store_t *store, config_handlers_t handlers)
{
	const struct timeval interval = clock_timeval(TICK_INTERVAL_MS);
	config_task_t *task = g_new0(config_task_t, 1);

	task->handlers = handlers;
	task->store = store;
	task->sync = config_sync_create(node, failure_domain, g_str_hash(node));
	task->timer = event_new(base, -1, EV_PERSIST, on_tick, task);
	event_add(task->timer, &interval);
	task->revision =
		metrics_gauge(metrics, "toucanhook_config_revision", "");
	task->reads = metrics_counter(
		metrics, "toucanhook_platform_reads_total", "result=\"sent\"");
	task->failed_reads =
		metrics_counter(metrics, "toucanhook_platform_reads_total",
				"result=\"failed\"");
	task->fetches =
		metrics_counter(metrics, "toucanhook_config_fetches_total", "");
	return task;
}

void config_task_destroy(config_task_t *task)
{
	if (!task)
		return;
	event_free(task->timer);
	config_sync_destroy(task->sync);
	config_delete(task->config);
	g_clear_pointer(&task->stored, g_bytes_unref);
	g_clear_pointer(&task->compressed, g_bytes_unref);
	g_clear_pointer(&task->list, g_bytes_unref);
	g_free(task);
}

void config_task_set_members(config_task_t *task, const member_view_t *view)
{
	config_sync_set_members(task->sync, view);
}

static void handle_digest(config_task_t *task, const char *from,
			  const config_digest_t *digest)
{
	GArray *actions = actions_new();

	config_sync_handle_digest(task->sync, from, digest, clock_now_ms(),
				  actions);
	run_actions(task, actions);
}

static void send_compressed(const config_task_t *task, const char *to,
			    config_note_kind_t kind, GBytes *compressed)
{
	config_note_t note = {.kind = kind};

	note.compressed =
		g_bytes_get_data(compressed, &note.compressed_size_bytes);
	send_note(task, to, &note);
}

static void answer_fetch(const config_task_t *task, const char *from,
			 const config_digest_t *peer_digest)
{
	const config_digest_t own_digest =
		config_sync_digest(task->sync, clock_now_ms());

	if (task->compressed && own_digest.revision > peer_digest->revision)
		send_compressed(task, from, CONFIG_NOTE_VALUE,
				task->compressed);
	if (task->list && own_digest.list_index > peer_digest->list_index)
		send_compressed(task, from, CONFIG_NOTE_LIST, task->list);
}

static void log_invalid_note(const char *from, size_t size_bytes)
{
	log_event(LOG_LEVEL_WARNING, "config_note_refused",
		  "from=%s size_bytes=%zu", from, size_bytes);
}

static void handle_value(config_task_t *task, const char *from,
			 const config_note_t *note)
{
	g_autoptr(GBytes) stored = deflate_decompress(
		note->compressed, note->compressed_size_bytes,
		CONFIG_SIZE_BYTES_MAX);
	const uint8_t *bytes;
	gsize size_bytes;

	if (!stored) {
		log_invalid_note(from, note->compressed_size_bytes);
		return;
	}
	bytes = g_bytes_get_data(stored, &size_bytes);
	handle_config(task, bytes, size_bytes, from);
}

static void apply_list(config_task_t *task, const json_t *list, uint64_t index)
{
	g_autofree member_t *members = NULL;
	uint32_t count = 0;

	if (!config_sync_offer_list(task->sync, index))
		return;
	members = member_list_read(list, &count);
	store_list(task, members, count, index);
	task->handlers.listed(task->handlers.context, members, count);
}

static void handle_list(config_task_t *task, const char *from,
			const config_note_t *note)
{
	g_autoptr(GBytes) text = deflate_decompress(note->compressed,
						    note->compressed_size_bytes,
						    LIST_SIZE_BYTES_MAX);
	json_int_t index = 0;
	json_t *list = NULL;
	json_t *json = NULL;

	if (text)
		json = json_loadb(g_bytes_get_data(text, NULL),
				  g_bytes_get_size(text), 0, NULL);
	if (json && !json_unpack(json, "[I, o!]", &index, &list) && index > 0 &&
	    json_is_array(list))
		apply_list(task, list, (uint64_t)index);
	else
		log_invalid_note(from, note->compressed_size_bytes);
	json_decref(json);
}

void config_task_handle_note(config_task_t *task, const char *from,
			     const uint8_t *bytes, size_t size_bytes)
{
	config_note_t note;

	if (!config_note_decode(bytes, size_bytes, &note)) {
		log_invalid_note(from, size_bytes);
		return;
	}
	switch (note.kind) {
	case CONFIG_NOTE_DIGEST:
		handle_digest(task, from, &note.digest);
		return;
	case CONFIG_NOTE_FETCH:
		answer_fetch(task, from, &note.digest);
		return;
	case CONFIG_NOTE_VALUE:
		handle_value(task, from, &note);
		return;
	case CONFIG_NOTE_LIST:
		handle_list(task, from, &note);
		return;
	}
}

size_t config_task_digest(const config_task_t *task, uint8_t *bytes,
			  size_t limit_bytes)
{
	const config_digest_t digest =
		config_sync_digest(task->sync, clock_now_ms());

	return config_digest_encode(&digest, bytes, limit_bytes);
}

void config_task_handle_digest(config_task_t *task, const char *from,
			       const uint8_t *bytes, size_t size_bytes)
{
	config_digest_t digest;

	if (config_digest_decode(bytes, size_bytes, &digest))
		handle_digest(task, from, &digest);
}

const config_t *config_task_current(const config_task_t *task)
{
	return task->config;
}
