#ifndef PROTOCOL_STATEMENT_CACHE_H
#define PROTOCOL_STATEMENT_CACHE_H

#include <stdint.h>

#include "protocol/statement.h"

/** Longest SQL text that is cached, in bytes. */
#define STATEMENT_CACHE_TEXT_SIZE_BYTES_MAX 4096

/** LRU cache of classified SQL texts. */
typedef struct statement_cache statement_cache_t;

/** @param limit maximum number of cached texts, at least 1 */
statement_cache_t *statement_cache_create(uint32_t limit);
void statement_cache_destroy(statement_cache_t *cache);

/** Classifies a text, from the cache if it is there. @return one reference */
statement_t *statement_cache_parse(statement_cache_t *cache, const char *sql);

/** @return the number of cached texts. */
uint32_t statement_cache_count(const statement_cache_t *cache);

#endif
