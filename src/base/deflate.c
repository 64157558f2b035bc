#include "base/deflate.h"

#include <gio/gio.h>

#define STEP_SIZE_BYTES 16384

/* Runs a converter over all the bytes. @return NULL when it fails */
static GByteArray *convert(GConverter *converter, const uint8_t *bytes,
			   size_t size_bytes, size_t limit_bytes)
{
	g_autoptr(GByteArray) result = g_byte_array_new();
	uint8_t step[STEP_SIZE_BYTES];
	GConverterResult state = G_CONVERTER_CONVERTED;
	size_t taken = 0;

	while (state != G_CONVERTER_FINISHED) {
		gsize read = 0;
		gsize written = 0;

		state = g_converter_convert(
			converter, bytes + taken, size_bytes - taken, step,
			sizeof(step), G_CONVERTER_INPUT_AT_END, &read, &written,
			NULL);
		if (state == G_CONVERTER_ERROR ||
		    result->len + written > limit_bytes)
			return NULL;
		taken += read;
		g_byte_array_append(result, step, (guint)written);
	}
	return taken == size_bytes ? g_steal_pointer(&result) : NULL;
}

GBytes *deflate_pack(const uint8_t *bytes, size_t size_bytes)
{
	GZlibCompressor *compressor =
		g_zlib_compressor_new(G_ZLIB_COMPRESSOR_FORMAT_ZLIB, -1);
	GByteArray *packed =
		convert(G_CONVERTER(compressor), bytes, size_bytes, G_MAXSIZE);

	g_object_unref(compressor);
	g_assert(packed);
	return g_byte_array_free_to_bytes(packed);
}

GBytes *deflate_unpack(const uint8_t *bytes, size_t size_bytes,
		       size_t limit_bytes)
{
	GZlibDecompressor *decompressor =
		g_zlib_decompressor_new(G_ZLIB_COMPRESSOR_FORMAT_ZLIB);
	GByteArray *unpacked = convert(G_CONVERTER(decompressor), bytes,
				       size_bytes, limit_bytes);

	g_object_unref(decompressor);
	return unpacked ? g_byte_array_free_to_bytes(unpacked) : NULL;
}
