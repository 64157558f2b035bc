#include "base/deflate.h"

#include <gio/gio.h>

#define BUFFER_SIZE_BYTES 16384

/* Converts all bytes. @return NULL on an error or if the limit is exceeded */
static GByteArray *convert(GConverter *converter, const uint8_t *bytes,
			   size_t size_bytes, size_t limit_bytes)
{
	g_autoptr(GByteArray) result = g_byte_array_new();
	uint8_t buffer[BUFFER_SIZE_BYTES];
	GConverterResult state = G_CONVERTER_CONVERTED;
	size_t consumed = 0;

	while (state != G_CONVERTER_FINISHED) {
		gsize read = 0;
		gsize written = 0;

		state = g_converter_convert(
			converter, bytes + consumed, size_bytes - consumed,
			buffer, sizeof(buffer), G_CONVERTER_INPUT_AT_END, &read,
			&written, NULL);
		if (state == G_CONVERTER_ERROR ||
		    result->len + written > limit_bytes)
			return NULL;
		consumed += read;
		g_byte_array_append(result, buffer, (guint)written);
	}
	return consumed == size_bytes ? g_steal_pointer(&result) : NULL;
}

GBytes *deflate_compress(const uint8_t *bytes, size_t size_bytes)
{
	GZlibCompressor *compressor =
		g_zlib_compressor_new(G_ZLIB_COMPRESSOR_FORMAT_ZLIB, -1);
	GByteArray *compressed =
		convert(G_CONVERTER(compressor), bytes, size_bytes, G_MAXSIZE);

	g_object_unref(compressor);
	g_assert(compressed);
	return g_byte_array_free_to_bytes(compressed);
}

GBytes *deflate_decompress(const uint8_t *bytes, size_t size_bytes,
			   size_t limit_bytes)
{
	GZlibDecompressor *decompressor =
		g_zlib_decompressor_new(G_ZLIB_COMPRESSOR_FORMAT_ZLIB);
	GByteArray *decompressed = convert(G_CONVERTER(decompressor), bytes,
					   size_bytes, limit_bytes);

	g_object_unref(decompressor);
	return decompressed ? g_byte_array_free_to_bytes(decompressed) : NULL;
}
