#ifndef STATE_CONFIG_CODEC_H
#define STATE_CONFIG_CODEC_H

#include <stddef.h>
#include <stdint.h>

#include <glib.h>
#include <jansson.h>

#include "state/config.h"
#include "state/config_problems.h"

#define CONFIG_CODEC_ERROR config_codec_error_quark()

/** Kinds of error of config_codec_decode(). */
typedef enum {
	CONFIG_CODEC_ERROR_SYNTAX, /**< too long, or no JSON text */
	CONFIG_CODEC_ERROR_VALUE,  /**< a value is not what was expected */
} config_codec_error_t;

GQuark config_codec_error_quark(void);

/** @return the stored form, a JSON text; free with g_free(). */
char *config_codec_encode(const config_t *config);

/**
 * Reads the stored form. Fields that are not known are passed over, so that
 * programs of two versions can share it.
 *
 * @return the configuration, or NULL with @p error set to path and reason
 */
config_t *config_codec_decode(const uint8_t *bytes, size_t size_bytes,
			      GError **error);

/**
 * Takes the values of operators' files, as JSON. Unknown fields and those
 * of the stored form alone are problems.
 *
 * @return the configuration, with neutral values where there are problems
 */
config_t *config_codec_from_files(const json_t *json,
				  config_problems_t *problems);

#endif
