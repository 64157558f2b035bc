#include "coordination/zone_spill.h"

#include <math.h>

#include <glib.h>

/* Weight of a new value in the moving average of answer sizes. */
#define BYTES_WEIGHT 0.05

/* Pressure on the zone above which reads leave, and below which they return. */
#define LEAVE_ABOVE 1.0
#define RETURN_BELOW 0.65

/*
 * Pressure on another server above which it loses reads, and below which it
 * may get more. The server's own zone must not notice the additional reads.
 */
#define FULL_ABOVE 0.5
#define ROOM_BELOW 0.4

/*
 * Difference of the pressures that justifies leaving: the minimum, and its
 * increase with the size of answers, which reaches half at BYTES_HALF.
 */
#define GAIN_MIN 0.1
#define GAIN_BYTES 0.9
#define BYTES_HALF 65536.0

/* Interval at which the shares are adjusted. */
#define STEP_MS 100u
#define STEP_MS_MAX 500u

/*
 * Time constant of the slow average of the zone's pressure. The shares do not
 * grow while the pressure is below it, that is falling: the queue is emptying,
 * and more would overshoot. They are not reduced while it rises.
 */
#define TREND_MS 3000.0

/* Excess of the pressure over its average that counts as a rise. */
#define RISE_MIN 0.05

/*
 * Rates of change of the shares, per second. The growth is proportional to the
 * excess pressure, up to the maximum. Faster growth would overshoot: a change
 * shows in the averages only after AVERAGE_MS.
 */
#define GROWTH_PER_S 0.03
#define GROWTH_PER_S_MAX 0.12
#define REDUCTION_PER_S 0.01
#define REDUCTION_PER_S2 0.001
#define FULL_REDUCTION_PER_S 0.3

/*
 * Pause between the growth of the shares and their reduction. It doubles when a
 * reduction had to be reversed.
 */
#define RETURN_PAUSE_MS 2000u
#define RETURN_PAUSE_MS_MAX 32000u

/* Maximum share sent away; the remaining reads show when the zone recovers. */
#define SHARE_MAX 0.95

/* Credit beyond this is dropped, so that no server gets reads in a burst. */
#define CREDIT_MAX 2.0

/* Time for which the most urgent kind of reads determines the thresholds. */
#define NEEDED_MS 5000u

/* Change of the total share that is reported. */
#define REPORTED_CHANGE 0.2

/* The servers of one decision. */
typedef struct {
	const zone_spill_read_t *read;
	double needed_ms; /* time that the most urgent callers need */
	const read_candidate_t *candidates;
	zone_server_t *const *servers;
	uint32_t count;
	uint64_t now_ms;
	read_distance_t zone; /* distance of the zone's servers */
} view_t;

const char *zone_spill_reason_name(zone_spill_reason_t reason)
{
	static const char *const names[ZONE_SPILL_REASONS] = {
		[ZONE_SPILL_STAYS] = "stays",
		[ZONE_SPILL_SLOW] = "slow",
		[ZONE_SPILL_REJECTS] = "rejects",
		[ZONE_SPILL_BEHIND] = "behind",
		[ZONE_SPILL_DEADLINE] = "deadline",
		[ZONE_SPILL_UNUSABLE] = "unusable",
	};

	return names[reason];
}

void zone_spill_answered(zone_spill_t *spill, uint64_t bytes)
{
	spill->answer_bytes +=
		BYTES_WEIGHT * ((double)bytes - spill->answer_bytes);
}

static double run_ms(const view_t *view, uint32_t i)
{
	return zone_server_run_ms(view->servers[i], &view->candidates[i],
				  view->now_ms);
}

static double pressure(const view_t *view, uint32_t i)
{
	return zone_server_pressure(view->servers[i], &view->candidates[i],
				    view->needed_ms, view->now_ms);
}

static zone_spill_reason_t pressure_reason(const view_t *view, uint32_t i)
{
	switch (zone_server_trouble(view->servers[i], &view->candidates[i],
				    view->needed_ms, view->now_ms)) {
	case ZONE_SERVER_REJECTS:
		return ZONE_SPILL_REJECTS;
	case ZONE_SERVER_BEHIND:
		return ZONE_SPILL_BEHIND;
	default:
		return ZONE_SPILL_SLOW;
	}
}

static bool in_zone(const view_t *view, uint32_t i)
{
	return read_candidate_distance(&view->candidates[i]) == view->zone;
}

/* @return whether the read would be answered before its deadline */
static bool is_in_time(const view_t *view, uint32_t i)
{
	return run_ms(view, i) + (double)view->candidates[i].behind_ms <
	       (double)view->read->remaining_ms;
}

static bool can_serve(const view_t *view, uint32_t i)
{
	return view->candidates[i].usable && is_in_time(view, i);
}

/* @return the distance of the nearest server that is not leaving */
static read_distance_t zone_distance(const view_t *view)
{
	read_distance_t nearest = READ_DISTANCE_ELSEWHERE;

	for (uint32_t i = 0; i < view->count; i++)
		if (!view->candidates[i].leaving)
			nearest = MIN(nearest, read_candidate_distance(
						       &view->candidates[i]));
	return nearest;
}

/* @return the zone's server under the least pressure, or -1 */
static int zone_server(const view_t *view)
{
	int best = -1;

	for (uint32_t i = 0; i < view->count; i++) {
		if (!in_zone(view, i) || view->candidates[i].leaving)
			continue;
		if (best < 0 ||
		    pressure(view, i) < pressure(view, (uint32_t)best))
			best = (int)i;
	}
	return best;
}

static double gain_needed(const zone_spill_t *spill)
{
	return GAIN_MIN + GAIN_BYTES * spill->answer_bytes /
				  (spill->answer_bytes + BYTES_HALF);
}

/*
 * @return the pressure that a server can take before it counts as full; 0 if it
 *         is in the zone, has no room, or is not enough better than the zone
 */
static double headroom(const view_t *view, uint32_t i, double pressure_max)
{
	const double limit = MIN(ROOM_BELOW, pressure_max);

	if (in_zone(view, i) || !can_serve(view, i) || view->servers[i]->full)
		return 0;
	return MAX(limit - pressure(view, i), 0);
}

/* @return the distance of the nearest servers with headroom, and their sum */
static read_distance_t nearest_headroom(const view_t *view, double pressure_max,
					double *sum)
{
	read_distance_t distance = view->zone;

	*sum = 0;
	while (!*sum && distance < READ_DISTANCE_ELSEWHERE) {
		distance++;
		for (uint32_t i = 0; i < view->count; i++)
			if (read_candidate_distance(&view->candidates[i]) ==
			    distance)
				*sum += headroom(view, i, pressure_max);
	}
	return distance;
}

static double total_share(const view_t *view)
{
	double total = 0;

	for (uint32_t i = 0; i < view->count; i++)
		total += view->servers[i]->share;
	return total;
}

static void scale_shares(const view_t *view, double factor)
{
	for (uint32_t i = 0; i < view->count; i++)
		view->servers[i]->share *= factor;
}

/* Adds to the shares of the nearest servers that have room. */
static bool grow(const view_t *view, double amount, double pressure_max)
{
	double sum;
	const read_distance_t distance =
		nearest_headroom(view, pressure_max, &sum);

	amount = MIN(amount, SHARE_MAX - total_share(view));
	if (!sum || amount <= 0)
		return false;
	for (uint32_t i = 0; i < view->count; i++)
		if (read_candidate_distance(&view->candidates[i]) == distance)
			view->servers[i]->share +=
				amount * headroom(view, i, pressure_max) / sum;
	return true;
}

/*
 * Takes reads from the servers outside the zone that have become full or cannot
 * be used, so that others can get them.
 */
static void reduce_full(const view_t *view, double elapsed_s)
{
	for (uint32_t i = 0; i < view->count; i++) {
		zone_server_t *server = view->servers[i];
		const double load = pressure(view, i);

		if (in_zone(view, i) || view->candidates[i].leaving)
			server->share = 0;
		server->full =
			server->full ? load >= ROOM_BELOW : load > FULL_ABOVE;
		if (server->full || !view->candidates[i].usable)
			server->share *= exp(-FULL_REDUCTION_PER_S * elapsed_s);
	}
}

static void reduce(zone_spill_t *spill, const view_t *view, double elapsed_s)
{
	const double total = total_share(view);
	double since_s;
	double amount;

	if (!total || view->now_ms < spill->return_from_ms)
		return;
	since_s = (double)(view->now_ms - spill->return_from_ms) / 1000;
	amount = elapsed_s * (REDUCTION_PER_S + REDUCTION_PER_S2 * since_s);
	spill->returning = true;
	if (total > amount) {
		scale_shares(view, 1 - amount / total);
		return;
	}
	scale_shares(view, 0);
	spill->return_pause_ms = 0;
}

static void grown(zone_spill_t *spill, const view_t *view)
{
	if (spill->returning)
		spill->return_pause_ms =
			MIN(2 * spill->return_pause_ms, RETURN_PAUSE_MS_MAX);
	spill->returning = false;
	spill->return_pause_ms = MAX(spill->return_pause_ms, RETURN_PAUSE_MS);
	spill->return_from_ms = view->now_ms + spill->return_pause_ms;
}

/* Adjusts the shares to the present state of the servers. */
static void step(zone_spill_t *spill, const view_t *view)
{
	const uint64_t elapsed_ms =
		view->now_ms - MIN(spill->stepped_ms, view->now_ms);
	const double elapsed_s = (double)MIN(elapsed_ms, STEP_MS_MAX) / 1000;
	const int zone = zone_server(view);
	double load;

	if (elapsed_ms < STEP_MS || zone < 0)
		return;
	spill->stepped_ms = view->now_ms;
	reduce_full(view, elapsed_s);
	load = pressure(view, (uint32_t)zone);
	spill->trend +=
		(load - spill->trend) * (1 - exp(-elapsed_s * 1000 / TREND_MS));
	if (load < RETURN_BELOW && load <= spill->trend + RISE_MIN) {
		reduce(spill, view, elapsed_s);
		return;
	}
	spill->return_from_ms = MAX(spill->return_from_ms, view->now_ms);
	if (load > LEAVE_ABOVE && load >= spill->trend &&
	    grow(view,
		 elapsed_s * MIN(GROWTH_PER_S * (load - LEAVE_ABOVE + 0.2),
				 GROWTH_PER_S_MAX),
		 load - gain_needed(spill))) {
		spill->reason = pressure_reason(view, (uint32_t)zone);
		grown(spill, view);
	}
}

static void add_credit(zone_server_t *server, double credit)
{
	server->credit =
		CLAMP(server->credit + credit, -CREDIT_MAX, CREDIT_MAX);
}

/* @return the server that is owed most, if it is owed a read, or -1 */
static int most_owed(const view_t *view)
{
	double most = 1;
	int best = -1;

	for (uint32_t i = 0; i < view->count; i++) {
		const zone_server_t *server = view->servers[i];

		if (!server->share || server->credit < most || server->full ||
		    !can_serve(view, i))
			continue;
		most = server->credit;
		best = (int)i;
	}
	return best;
}

/*
 * Counts the read towards the shares (error diffusion).
 *
 * @return the server whose share it fills, or -1 if the read stays
 */
static int take_share(const view_t *view)
{
	int chosen;

	for (uint32_t i = 0; i < view->count; i++)
		add_credit(view->servers[i], view->servers[i]->share);
	chosen = most_owed(view);
	if (chosen >= 0)
		add_credit(view->servers[chosen], -1);
	return chosen;
}

/*
 * Chooses a server for a read that cannot stay: in turn among the nearest ones
 * with room, in proportion to it, so that the nodes of a zone whose server
 * fails do not all move to the same one.
 */
static int take_turn(const view_t *view)
{
	double sum;
	const read_distance_t distance = nearest_headroom(view, 1, &sum);
	int best = -1;

	for (uint32_t i = 0; sum && i < view->count; i++) {
		const double room = headroom(view, i, 1);

		if (read_candidate_distance(&view->candidates[i]) != distance ||
		    !room)
			continue;
		add_credit(view->servers[i], room / sum);
		if (best < 0 || view->servers[i]->credit >
					view->servers[(uint32_t)best]->credit)
			best = (int)i;
	}
	if (best >= 0)
		add_credit(view->servers[best], -1);
	return best;
}

/* @return the best of the zone's servers, or of all, or -1 */
static int choose_among(const view_t *view, bool zone_only)
{
	read_candidate_t candidates[READ_PLACEMENT_SERVERS_MAX];

	for (uint32_t i = 0; i < view->count; i++) {
		candidates[i] = view->candidates[i];
		candidates[i].usable =
			can_serve(view, i) && (!zone_only || in_zone(view, i));
	}
	return read_placement_choose(candidates, view->count);
}

/* @return why no server of the zone can serve the read */
static zone_spill_reason_t forced_reason(const view_t *view)
{
	zone_spill_reason_t reason = ZONE_SPILL_UNUSABLE;

	for (uint32_t i = 0; i < view->count; i++) {
		if (!in_zone(view, i))
			continue;
		if (view->candidates[i].held_back)
			return ZONE_SPILL_REJECTS;
		if (!view->candidates[i].usable)
			continue;
		reason = (double)view->candidates[i].behind_ms >
					 run_ms(view, i) ?
				 ZONE_SPILL_BEHIND :
				 ZONE_SPILL_DEADLINE;
	}
	return reason;
}

static int choose(zone_spill_t *spill, const view_t *view,
		  zone_spill_reason_t *reason)
{
	int chosen = -1;

	if (!view->read->repeated) {
		step(spill, view);
		*reason = spill->reason;
		chosen = take_share(view);
	}
	if (chosen >= 0)
		return chosen;
	*reason = ZONE_SPILL_STAYS;
	chosen = choose_among(view, true);
	if (chosen >= 0)
		return chosen;
	*reason = forced_reason(view);
	chosen = take_turn(view);
	return chosen >= 0 ? chosen : choose_among(view, false);
}

/* A read that the send budget holds back is as good as rejected. */
static void record_held_back(const view_t *view)
{
	for (uint32_t i = 0; i < view->count; i++)
		if (in_zone(view, i) && view->candidates[i].held_back)
			zone_server_rejected(view->servers[i], view->now_ms);
}

/* The kinds of reads of a service share its servers and so its thresholds. */
static void note_needed(zone_spill_t *spill, const zone_spill_read_t *read,
			uint64_t now_ms)
{
	if (spill->needed_ms && read->needed_ms > spill->needed_ms &&
	    now_ms < spill->needed_at_ms + NEEDED_MS)
		return;
	spill->needed_ms = MAX(read->needed_ms, 1);
	spill->needed_at_ms = now_ms;
}

static bool is_report_due(zone_spill_t *spill, double share)
{
	if (fabs(share - spill->reported) < REPORTED_CHANGE &&
	    (share > 0) == (spill->reported > 0))
		return false;
	spill->reported = share;
	return true;
}

zone_spill_choice_t zone_spill_choose(zone_spill_t *spill,
				      const zone_spill_read_t *read,
				      const read_candidate_t *candidates,
				      zone_server_t *const *servers,
				      uint32_t count, uint64_t now_ms)
{
	view_t view = {.read = read,
		       .candidates = candidates,
		       .servers = servers,
		       .count = MIN(count, READ_PLACEMENT_SERVERS_MAX),
		       .now_ms = now_ms};
	zone_spill_choice_t choice = {.server = -1};

	note_needed(spill, read, now_ms);
	view.needed_ms = (double)spill->needed_ms;
	view.zone = zone_distance(&view);
	if (!read->repeated)
		record_held_back(&view);
	choice.server = choose(spill, &view, &choice.reason);
	if (choice.server >= 0)
		choice.distance =
			read_candidate_distance(&candidates[choice.server]);
	choice.share = total_share(&view);
	choice.changed = is_report_due(spill, choice.share);
	return choice;
}
