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
	CONFIG_CODEC_ERROR_SYNTAX, /**< too long, or not valid JSON */
	CONFIG_CODEC_ERROR_VALUE,  /**< a value fails its schema */
} config_codec_error_t;

GQuark config_codec_error_quark(void);

/** @return the encoded configuration, a JSON text; free with g_free(). */
char *config_codec_encode(const config_t *config);

/**
 * Decodes an encoded configuration. Unknown fields are ignored so that two
 * versions of the program can share it.
 *
 * @return the configuration, or NULL with @p error set to path and reason
 */
config_t *config_codec_decode(const uint8_t *bytes, size_t size_bytes,
			      GError **error);

/**
 * Decodes the merged configuration files, given as JSON. Unknown fields and
 * fields that only the encoded form has are reported as problems.
 *
 * @return the configuration; a field with a problem has its default, its
 *         minimum or an empty value
 */
config_t *config_codec_from_files(const json_t *json,
				  config_problems_t *problems);

#endif
