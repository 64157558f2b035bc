#ifndef BASE_DEFLATE_H
#define BASE_DEFLATE_H

#include <stddef.h>
#include <stdint.h>

#include <glib.h>

/** Compresses bytes to the zlib format. @return never NULL */
GBytes *deflate_compress(const uint8_t *bytes, size_t size_bytes);

/**
 * Decompresses bytes in the zlib format.
 *
 * @return the bytes, or NULL if the input is invalid or the output is larger
 *         than @p limit_bytes
 */
GBytes *deflate_decompress(const uint8_t *bytes, size_t size_bytes,
			   size_t limit_bytes);

#endif
