#include "coordination/customer_pool.h"

#include <string.h>

/* What one customer holds and wants. */
typedef struct {
	const char *customer;
	uint32_t held;	  /* connections in all states */
	uint32_t idle;	  /* of these, idle */
	uint32_t opening; /* of these, being opened */
	uint32_t waiting; /* statements */
	uint64_t due_ms;  /* of the statement that is due first */
	bool urgent;	  /* one of the statements is urgent */
} demand_t;

typedef struct {
	const customer_pool_input_t *input;
	GHashTable *index;   /* customer -> demand_t */
	GPtrArray *list;     /* the same, in the order of first mention */
	uint32_t active;     /* customers that wait or use a connection */
	uint32_t guaranteed; /* connections that each of them may claim */
} demands_t;

static demand_t *demand_get(demands_t *demands, const char *customer)
{
	/* No customer has the empty name. */
	const char *key = customer ? customer : "";
	demand_t *demand = g_hash_table_lookup(demands->index, key);

	if (demand)
		return demand;
	demand = g_new0(demand_t, 1);
	demand->customer = customer;
	demand->due_ms = UINT64_MAX;
	g_hash_table_insert(demands->index, (gpointer)key, demand);
	g_ptr_array_add(demands->list, demand);
	return demand;
}

static void count_connections(demands_t *demands)
{
	const customer_pool_input_t *input = demands->input;

	for (uint32_t i = 0; i < input->connections_count; i++) {
		const customer_pool_connection_t *connection =
			&input->connections[i];
		demand_t *demand = demand_get(demands, connection->customer);

		demand->held++;
		demand->idle += connection->state == CUSTOMER_POOL_IDLE;
		demand->opening += connection->state == CUSTOMER_POOL_OPENING;
	}
}

static void count_waiters(demands_t *demands)
{
	const customer_pool_input_t *input = demands->input;

	for (uint32_t i = 0; i < input->waiters_count; i++) {
		const customer_pool_waiter_t *waiter = &input->waiters[i];
		demand_t *demand = demand_get(demands, waiter->customer);

		demand->waiting++;
		demand->due_ms = MIN(demand->due_ms, waiter->due_ms);
		demand->urgent |= waiter->urgent;
	}
}

static void demands_init(demands_t *demands, const customer_pool_input_t *input)
{
	demands->input = input;
	demands->index = g_hash_table_new(g_str_hash, g_str_equal);
	demands->list = g_ptr_array_new_with_free_func(g_free);
	demands->active = 0;
	count_connections(demands);
	count_waiters(demands);
	for (guint i = 0; i < demands->list->len; i++) {
		const demand_t *demand = demands->list->pdata[i];

		demands->active +=
			demand->waiting || demand->held > demand->idle;
	}
	demands->guaranteed = MAX(input->room / MAX(demands->active, 1), 1);
}

static void demands_clear(demands_t *demands)
{
	g_hash_table_destroy(demands->index);
	g_ptr_array_unref(demands->list);
}

/* @return whether the present connections do not serve all its statements */
static bool wants_more(const demand_t *demand)
{
	return demand->waiting > demand->idle + demand->opening;
}

/* @return whether a gets a connection before b */
static bool precedes(const demands_t *demands, const demand_t *a,
		     const demand_t *b)
{
	const bool a_below = a->held < demands->guaranteed;
	const bool b_below = b->held < demands->guaranteed;

	if (a->urgent != b->urgent)
		return a->urgent;
	if (a_below != b_below)
		return a_below;
	if (a->held != b->held)
		return a->held < b->held;
	return a->due_ms < b->due_ms;
}

static const demand_t *choose_customer(const demands_t *demands)
{
	const demand_t *best = NULL;

	for (guint i = 0; i < demands->list->len; i++) {
		const demand_t *demand = demands->list->pdata[i];

		if (wants_more(demand) &&
		    (!best || precedes(demands, demand, best)))
			best = demand;
	}
	return best;
}

/* @return number of connections that the customer may bring the node to */
static uint32_t room_for(demands_t *demands, const demand_t *demand)
{
	const customer_pool_input_t *input = demands->input;
	const uint32_t control_held = demand_get(demands, NULL)->held;
	const uint32_t kept =
		input->reserved - MIN(input->reserved, control_held);

	if (demand->urgent)
		return input->room + 1;
	if (!demand->customer)
		return input->room;
	return input->room - MIN(input->room, kept);
}

/*
 * @return when the idle connection may be closed for @p demand; UINT64_MAX if
 *         its own customer needs it
 */
static uint64_t closable_ms(demands_t *demands, const demand_t *demand,
			    const customer_pool_connection_t *connection)
{
	const demand_t *owner = demand_get(demands, connection->customer);
	const bool above = owner->held > demands->guaranteed;

	if (owner == demand ||
	    (!owner->customer && owner->held <= demands->input->reserved))
		return UINT64_MAX;
	if (demand->urgent)
		return 0;
	if (owner->waiting && (!above || demand->held >= demands->guaranteed))
		return UINT64_MAX;
	if (above && connection->served)
		return 0;
	return connection->used_ms + CUSTOMER_POOL_PROTECTED_MS;
}

/* Chooses the least recently used connection that may be closed. */
static customer_pool_decision_t choose_victim(demands_t *demands,
					      const demand_t *demand)
{
	const customer_pool_input_t *input = demands->input;
	customer_pool_decision_t decision = {.customer = demand->customer};
	uint64_t used_ms = UINT64_MAX;

	for (uint32_t i = 0; i < input->connections_count; i++) {
		const customer_pool_connection_t *connection =
			&input->connections[i];
		uint64_t at_ms;

		if (connection->state != CUSTOMER_POOL_IDLE)
			continue;
		at_ms = closable_ms(demands, demand, connection);
		if (at_ms > input->now_ms) {
			if (at_ms != UINT64_MAX &&
			    (!decision.retry_at_ms ||
			     at_ms < decision.retry_at_ms))
				decision.retry_at_ms = at_ms;
			continue;
		}
		if (connection->used_ms >= used_ms)
			continue;
		used_ms = connection->used_ms;
		decision.action = CUSTOMER_POOL_CLOSE;
		decision.connection = i;
	}
	return decision;
}

customer_pool_decision_t
customer_pool_decide(const customer_pool_input_t *input)
{
	customer_pool_decision_t decision = {.action = CUSTOMER_POOL_WAIT};
	const demand_t *demand;
	demands_t demands;

	demands_init(&demands, input);
	demand = choose_customer(&demands);
	if (demand && input->connections_count < room_for(&demands, demand)) {
		decision.action = CUSTOMER_POOL_OPEN;
		decision.customer = demand->customer;
	} else if (demand) {
		decision = choose_victim(&demands, demand);
	}
	demands_clear(&demands);
	return decision;
}
