#ifndef BASE_DEFLATE_H
#define BASE_DEFLATE_H

#include <stddef.h>
#include <stdint.h>

#include <glib.h>

/** @return the bytes in zlib's format; never NULL. */
GBytes *deflate_pack(const uint8_t *bytes, size_t size_bytes);

/** @return what was packed, or NULL if it is broken or above the limit. */
GBytes *deflate_unpack(const uint8_t *bytes, size_t size_bytes,
		       size_t limit_bytes);

#endif
