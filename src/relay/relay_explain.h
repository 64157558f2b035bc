#ifndef RELAY_RELAY_EXPLAIN_H
#define RELAY_RELAY_EXPLAIN_H

#include "relay/relay_service.h"

/**
 * Shows to which server a statement outside of a transaction would go now, and
 * why. Runs the code that places statements on copies of its state; sends
 * nothing and changes nothing.
 *
 * The changes of the caller's session are not known: a read of a database with
 * READS_OWN_WRITES may need a later log point than the one assumed.
 *
 * @param writes whether the statement may change data
 * @return lines of key=value fields; free with g_free()
 */
char *relay_explain(relay_services_t *services,
		    const catalog_database_t *database, bool writes);

#endif
