#ifndef PROTOCOL_COMMIT_SCAN_H
#define PROTOCOL_COMMIT_SCAN_H

#include <stdbool.h>

#include <glib.h>

/** @return whether a Query or Parse message in @p request is a COMMIT. */
bool commit_scan(GBytes *request);

#endif
