#ifndef CTL_CTL_STATUS_H
#define CTL_CTL_STATUS_H

#include <stdbool.h>

/**
 * Prints a node's state as tables.
 *
 * @param text JSON answer of the node
 * @return false if @p text is not a JSON object
 */
bool ctl_status_print(const char *text);

#endif
