#ifndef STATE_QUOTA_RECORD_H
#define STATE_QUOTA_RECORD_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/** What the holder of a quota record may do. */
typedef enum {
	QUOTA_RECORD_LEADING,  /**< no other node may admit operations */
	QUOTA_RECORD_SETTLING, /**< an earlier leader may still admit some */
	QUOTA_RECORD_RELEASED, /**< the holder has stopped for good */
} quota_record_state_t;

/** Size of a holder's name with its terminator. */
#define QUOTA_RECORD_NAME_SIZE 256

/** The record of a failure domain's quota leader in the store. */
typedef struct {
	char holder[QUOTA_RECORD_NAME_SIZE]; /**< name of a node */
	int64_t era;			     /**< in which it was written */
	quota_record_state_t state;
} quota_record_t;

/** @return the value "HOLDER ERA STATE"; free with g_free() */
char *quota_record_encode(const quota_record_t *record);

/** @return false if the value is invalid */
bool quota_record_decode(GBytes *value, quota_record_t *record);

#endif
