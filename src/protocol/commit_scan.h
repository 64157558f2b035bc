#ifndef PROTOCOL_COMMIT_SCAN_H
#define PROTOCOL_COMMIT_SCAN_H

#include <stdbool.h>

#include <glib.h>

/** @return whether Query or Parse messages in @p request hold a COMMIT. */
bool commit_scan(GBytes *request);

#endif
