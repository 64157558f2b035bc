#ifndef PROTOCOL_SAFE_FUNCTION_H
#define PROTOCOL_SAFE_FUNCTION_H

#include <stdbool.h>

/**
 * @param name without schema, lower case
 * @return whether PostgreSQL's function of that name changes nothing and
 *         asks nothing of the server's own state, so that any replica may
 *         run it
 */
bool safe_function_is_known(const char *name);

#endif
