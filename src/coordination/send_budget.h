#ifndef COORDINATION_SEND_BUDGET_H
#define COORDINATION_SEND_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

/**
 * How much new work a node may send to a server that turns work away: a
 * little more than the server took lately. Plain data, all zero at first.
 */
typedef struct {
	double sent;
	double taken;
	uint64_t at_ms;
} send_budget_t;

/** Takes in that the server answered: @p taken, or turned it away. */
void send_budget_answered(send_budget_t *budget, bool taken, uint64_t now_ms);

/**
 * @param priority 0 is the most urgent, it has the largest margin
 * @return whether one more statement may be sent
 */
bool send_budget_allows(const send_budget_t *budget, uint32_t priority,
			uint64_t now_ms);

#endif
