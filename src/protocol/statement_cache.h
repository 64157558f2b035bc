#ifndef PROTOCOL_STATEMENT_CACHE_H
#define PROTOCOL_STATEMENT_CACHE_H

#include <stdint.h>

#include "protocol/statement.h"

/** Longest text that is kept. */
#define STATEMENT_CACHE_TEXT_SIZE_BYTES_MAX 4096

/** Classified texts, the least recently used one given up first. */
typedef struct statement_cache statement_cache_t;

/** @param limit most texts kept, at least 1 */
statement_cache_t *statement_cache_create(uint32_t limit);
void statement_cache_destroy(statement_cache_t *cache);

/** @return the text's class with a reference of the caller's own. */
statement_t *statement_cache_parse(statement_cache_t *cache, const char *sql);

/** @return texts kept. */
uint32_t statement_cache_count(const statement_cache_t *cache);

#endif
