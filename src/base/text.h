#ifndef BASE_TEXT_H
#define BASE_TEXT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

/**
 * Bytes that come with a length, as C strings. A C string ends at its first
 * NUL, so bytes that contain one have no equal C string; these functions are
 * the only way from the one to the other (scripts/check_text.sh), and never
 * shorten or change what they convert.
 */

/** @return whether a C string can hold the bytes: none of them is NUL */
bool text_is_whole(const void *bytes, size_t size_bytes);

/**
 * @return the bytes as a C string, or NULL if one of them is NUL; free with
 *         g_free()
 */
char *text_new(const void *bytes, size_t size_bytes);

/** As text_new(). @param bytes NULL gives NULL */
char *text_from_bytes(GBytes *bytes);

/**
 * Decodes standard base64 with padding, without any other character.
 *
 * @param size_bytes length of @p text; receives the number of bytes decoded
 * @return the bytes, or NULL if the text is invalid; free with g_free()
 */
uint8_t *text_decode_base64(const char *text, size_t *size_bytes);

#endif
