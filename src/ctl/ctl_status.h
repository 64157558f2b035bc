#ifndef CTL_CTL_STATUS_H
#define CTL_CTL_STATUS_H

#include <stdbool.h>

/** Prints a node's state as tables. @return false if it makes no sense */
bool ctl_status_print(const char *text);

#endif
