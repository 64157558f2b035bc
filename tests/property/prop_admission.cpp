#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <rapidcheck.h>

extern "C" {
#include "coordination/admission.h"
}

namespace
{

const uint32_t TENANTS = 3;
const uint32_t CLASSES = 3;
const uint32_t QUEUE_LIMIT = 6;

struct waiting_t {
	uint32_t tenant;
	uint32_t class_index;
	uint64_t order;
};

/* Model of the queue's contents without any policy. */
struct model_t {
	std::map<uint64_t, waiting_t> waiting;
	std::map<uint64_t, int> removed; /* id to number of removals */
	uint64_t next_id = 1;

	uint32_t queued(uint32_t tenant, uint32_t class_index) const
	{
		uint32_t count = 0;

		for (const auto &entry : waiting)
			count += entry.second.tenant == tenant &&
				 entry.second.class_index == class_index;
		return count;
	}

	void remove(uint64_t id)
	{
		RC_ASSERT(waiting.count(id) == 1);
		RC_ASSERT(++removed[id] == 1);
		waiting.erase(id);
	}
};

void offer(admission_t *admission, model_t &model)
{
	const uint32_t tenant = *rc::gen::inRange<uint32_t>(0, TENANTS);
	const uint32_t class_index = *rc::gen::inRange<uint32_t>(0, CLASSES);
	const std::string name = "tenant" + std::to_string(tenant);
	const uint64_t id = model.next_id++;
	const admission_request_t request = {
		id,	     name.c_str(),    tenant + 1,
		class_index, class_index + 1, QUEUE_LIMIT,
		1000,
	};
	const bool full = model.queued(tenant, class_index) >= QUEUE_LIMIT;
	const admission_result_t result =
		admission_offer(admission, &request, 2, 0);

	RC_ASSERT((result == ADMISSION_FULL) == full);
	if (result == ADMISSION_QUEUED)
		model.waiting[id] = {tenant, class_index, id};
}

/* Within a class, requests are served in the order of their arrival. */
void next(admission_t *admission, model_t &model)
{
	const uint64_t id = admission_next(admission);

	RC_ASSERT((id == 0) == model.waiting.empty());
	if (!id)
		return;
	RC_ASSERT(model.waiting.count(id) == 1);
	const waiting_t taken = model.waiting[id];
	for (const auto &entry : model.waiting)
		if (entry.second.tenant == taken.tenant &&
		    entry.second.class_index == taken.class_index)
			RC_ASSERT(entry.second.order >= taken.order);
	model.remove(id);
}

void cancel(admission_t *admission, model_t &model)
{
	const uint64_t id = *rc::gen::inRange<uint64_t>(1, model.next_id + 1);
	const bool queued = model.waiting.count(id) == 1;

	RC_ASSERT(admission_cancel(admission, id) == queued);
	if (queued)
		model.remove(id);
}

void each_request_is_removed_once()
{
	admission_t *admission = admission_create();
	model_t model;
	const int steps = *rc::gen::inRange(1, 200);

	for (int i = 0; i < steps; i++) {
		switch (*rc::gen::inRange(0, 5)) {
		case 0:
		case 1:
		case 2:
			offer(admission, model);
			break;
		case 3:
			next(admission, model);
			break;
		default:
			cancel(admission, model);
		}
		RC_ASSERT(admission_count(admission) == model.waiting.size());
	}
	while (!model.waiting.empty())
		next(admission, model);
	RC_ASSERT(admission_next(admission) == 0);
	admission_destroy(admission);
}

void refill(admission_t *admission, uint64_t &id, const char *tenant,
	    uint32_t weight, uint32_t class_index, uint32_t class_weight)
{
	const admission_request_t request = {
		++id,	      tenant, weight,	      class_index,
		class_weight, 1000,   UINT64_MAX / 2,
	};

	RC_ASSERT(admission_offer(admission, &request, 1, 0) ==
		  ADMISSION_QUEUED);
}

/* Two tenants that always have requests are served by their weights. */
void tenants_share_by_weight()
{
	const uint32_t heavy = *rc::gen::inRange<uint32_t>(1, 8);
	const uint32_t rounds = 60;
	admission_t *admission = admission_create();
	std::set<uint64_t> of_heavy;
	uint64_t id = 0;
	uint32_t started = 0;

	for (uint32_t i = 0; i < rounds * (heavy + 1); i++) {
		refill(admission, id, "heavy", heavy, 0, 1);
		of_heavy.insert(id);
		refill(admission, id, "light", 1, 0, 1);
		started += of_heavy.count(admission_next(admission));
	}
	RC_ASSERT(started >= rounds * heavy - heavy);
	RC_ASSERT(started <= rounds * heavy + heavy);
	admission_destroy(admission);
}

/* The first class is served first; a lower one is not starved. */
void classes_are_served_in_order()
{
	const uint32_t first_weight = *rc::gen::inRange<uint32_t>(1, 10);
	const uint32_t weights = first_weight + 1;
	admission_t *admission = admission_create();
	std::set<uint64_t> of_last;
	uint64_t id = 0;
	uint32_t since = 0;

	for (int i = 0; i < 200; i++) {
		refill(admission, id, "a", 1, 0, first_weight);
		refill(admission, id, "a", 1, 2, 1);
		of_last.insert(id);
		if (of_last.count(admission_next(admission))) {
			RC_ASSERT(since >= weights - 1);
			since = 0;
		} else {
			since++;
		}
		RC_ASSERT(since <= weights);
	}
	admission_destroy(admission);
}

/* Exactly the requests that cannot be served in time are rejected. */
void late_requests_are_rejected()
{
	const uint64_t service_ms = *rc::gen::inRange<uint64_t>(1, 100);
	const uint32_t connections = *rc::gen::inRange<uint32_t>(1, 10);
	const uint32_t ahead = *rc::gen::inRange<uint32_t>(0, 50);
	admission_t *admission = admission_create();
	const uint64_t wait_ms = ahead * service_ms / connections;
	uint64_t id = 0;

	admission_served(admission, service_ms * 1000);
	for (uint32_t i = 0; i < ahead; i++)
		refill(admission, id, "a", 1, 0, 1);
	admission_request_t request = {++id, "a",	    1, 0, 1,
				       1000, 1000 + wait_ms};

	RC_ASSERT(admission_offer(admission, &request, connections, 1000) ==
		  ADMISSION_QUEUED);
	if (wait_ms) {
		request.id = ++id;
		request.deadline_ms = 1000 + wait_ms - 1;
		RC_ASSERT(admission_offer(admission, &request, connections,
					  1000) == ADMISSION_PAST_DEADLINE);
	}
	admission_destroy(admission);
}

} // namespace

int main()
{
	bool good = rc::check("each admitted request is removed exactly once",
			      each_request_is_removed_once);

	good &= rc::check("tenants share by weight", tenants_share_by_weight);
	good &= rc::check("classes are served in order without starvation",
			  classes_are_served_in_order);
	good &= rc::check("requests past their deadline are rejected",
			  late_requests_are_rejected);
	return good ? 0 : 1;
}
