#ifndef PROTOCOL_SAFE_FUNCTION_H
#define PROTOCOL_SAFE_FUNCTION_H

#include <stdbool.h>

/**
 * Checks a function against the list of functions that any replica may run.
 *
 * @param name function name without schema, in lower case
 * @return true if PostgreSQL's function of that name changes no data and does
 *         not depend on the state of the server
 */
bool safe_function_is_known(const char *name);

#endif
