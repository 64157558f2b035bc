#ifndef PROTOCOL_OUTCOME_REPORT_H
#define PROTOCOL_OUTCOME_REPORT_H

#include <glib.h>

#include "protocol/request.h"

/** Error that a caller gets for a request without OUTCOME_DONE. */
typedef struct {
	const char *sqlstate; /**< TH003, TH004, or 57014 for a cancel */
	const char *message;
	const char *hint;
} outcome_report_t;

/** SQLSTATEs of the proxy, see docs/DESIGN.md. */
#define SQLSTATE_OTHER_TERM "TH001"
#define SQLSTATE_NOT_RUN "TH003"
#define SQLSTATE_UNKNOWN "TH004"
#define SQLSTATE_ALREADY_DONE "TH005"

/**
 * Returns the error for an outcome other than OUTCOME_DONE. Its texts are
 * constant.
 */
outcome_report_t outcome_report(outcome_t outcome, reason_t reason);

#endif
