#include "standin/platform/platform.h"

#include "base/clock.h"
#include "standin/common/http.h"

/** A list of VMs that is not published yet. */
typedef struct {
	platform_t *platform;
	json_t *nodes;
} pending_list_t;

static void on_list_due(evutil_socket_t fd, short what, void *context)
{
	pending_list_t *pending = context;
	platform_t *platform = pending->platform;

	json_decref(platform->nodes);
	platform->nodes = pending->nodes;
	platform->nodes_index++;
	g_free(pending);
	api_answer_changed_watches(platform);
}

static void on_nodes(struct evhttp_request *request, void *context)
{
	platform_t *platform = context;
	g_autofree char *body = http_body(request);
	json_t *nodes = json_loads(body, 0, NULL);
	struct timeval lag = {
		.tv_sec = platform->list_lag_ms / 1000,
		.tv_usec = platform->list_lag_ms % 1000 * 1000,
	};
	pending_list_t *pending;

	if (!json_is_array(nodes)) {
		json_decref(nodes);
		http_reply_text(request, HTTP_BADREQUEST, "not a list\n");
		return;
	}
	pending = g_new0(pending_list_t, 1);
	pending->platform = platform;
	pending->nodes = nodes;
	if (platform->list_lag_ms)
		event_base_once(platform->base, -1, EV_TIMEOUT, on_list_due,
				pending, &lag);
	else
		on_list_due(-1, 0, pending);
	http_reply_text(request, HTTP_OK, "ok\n");
}

static void start_outage(platform_t *platform, int64_t ms, bool hangs)
{
	platform->faults.outage_until_ms = clock_now_ms() + (uint64_t)ms;
	platform->faults.outage_hangs = hangs;
	if (!hangs)
		api_cut_watches(platform);
}

static void keep_copy(platform_t *platform)
{
	if (platform->has_copy)
		kv_close(&platform->copy);
	kv_copy(&platform->kv, &platform->copy);
	platform->has_copy = true;
}

/* Goes back to the copy; later writes are lost, indexes are reused. */
static void restore_copy(platform_t *platform)
{
	if (!platform->has_copy)
		return;
	api_cut_watches(platform);
	kv_close(&platform->kv);
	kv_copy(&platform->copy, &platform->kv);
}

static void on_fault(struct evhttp_request *request, void *context)
{
	platform_t *platform = context;
	platform_faults_t *faults = &platform->faults;
	int64_t outage_ms = http_number(request, "outage", -1);
	int64_t slow_ms = http_number(request, "slow", -1);
	int64_t slow_for_ms = http_number(request, "slow_for", 3600000);

	if (http_number(request, "copy", 0))
		keep_copy(platform);
	if (http_number(request, "restore", 0))
		restore_copy(platform);
	if (outage_ms >= 0)
		start_outage(platform, outage_ms,
			     http_number(request, "hang", 0));
	if (slow_ms >= 0) {
		faults->slow_ms = (uint32_t)slow_ms;
		faults->slow_until_ms = clock_now_ms() + (uint64_t)slow_for_ms;
	}
	faults->lose_answers = (uint32_t)http_number(request, "lose_answers",
						     faults->lose_answers);
	platform->list_lag_ms = (uint32_t)http_number(request, "list_lag_ms",
						      platform->list_lag_ms);
	http_reply_text(request, HTTP_OK, "ok\n");
}

static void on_calls(struct evhttp_request *request, void *context)
{
	const platform_t *platform = context;
	const platform_calls_t *calls = &platform->calls;
	uint64_t total =
		calls->reads + calls->writes + calls->lists + calls->sessions;
	json_t *node = json_object();

	json_object_set_new(node, "reads", json_integer(calls->reads));
	json_object_set_new(node, "writes", json_integer(calls->writes));
	json_object_set_new(node, "watches", json_integer(calls->watches));
	json_object_set_new(node, "lists", json_integer(calls->lists));
	json_object_set_new(node, "sessions", json_integer(calls->sessions));
	json_object_set_new(node, "refused", json_integer(calls->refused));
	json_object_set_new(node, "total", json_integer(total));
	http_reply_json(request, node);
}

bool platform_control_start(platform_t *platform, const char *address,
			    uint16_t port)
{
	struct evhttp *http = http_listen(platform->base, address, port);

	if (!http)
		return false;
	evhttp_set_cb(http, "/nodes", on_nodes, platform);
	evhttp_set_cb(http, "/fault", on_fault, platform);
	evhttp_set_cb(http, "/calls", on_calls, platform);
	return true;
}
