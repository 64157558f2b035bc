#ifndef PROTOCOL_OUTCOME_REPORT_H
#define PROTOCOL_OUTCOME_REPORT_H

#include <glib.h>

#include "protocol/request.h"

/** What a caller is told of a request that did not end as done. */
typedef struct {
	const char *sqlstate; /**< TH003, TH004, or 57014 for a cancel */
	const char *message;
	const char *hint;
} outcome_report_t;

/** SQLSTATEs of ours, see docs/DESIGN.md. */
#define SQLSTATE_OTHER_TERM "TH001"
#define SQLSTATE_NOT_RUN "TH003"
#define SQLSTATE_UNKNOWN "TH004"
#define SQLSTATE_ALREADY_DONE "TH005"

/** @return constant texts for an outcome that is not OUTCOME_DONE. */
outcome_report_t outcome_report(outcome_t outcome, reason_t reason);

#endif
