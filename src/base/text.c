#include "base/text.h"

#include <string.h>

/* Characters of base64 that encode three bytes. */
#define GROUP_LENGTH 4

#define PADDING_LENGTH_MAX 2

bool text_is_whole(const void *bytes, size_t size_bytes)
{
	return !size_bytes || !memchr(bytes, 0, size_bytes);
}

char *text_new(const void *bytes, size_t size_bytes)
{
	char *text;

	if (!text_is_whole(bytes, size_bytes))
		return NULL;
	text = g_malloc(size_bytes + 1);
	if (size_bytes)
		memcpy(text, bytes, size_bytes);
	text[size_bytes] = '\0';
	return text;
}

char *text_from_bytes(GBytes *bytes)
{
	const void *data;
	gsize size_bytes;

	if (!bytes)
		return NULL;
	data = g_bytes_get_data(bytes, &size_bytes);
	return text_new(data, size_bytes);
}

/* The library's decoder skips what it does not know. */
static bool is_base64(const char *text, size_t length)
{
	size_t padding = 0;

	if (length % GROUP_LENGTH)
		return false;
	while (padding < PADDING_LENGTH_MAX && padding < length &&
	       text[length - 1 - padding] == '=')
		padding++;
	for (size_t i = 0; i < length - padding; i++)
		if (!g_ascii_isalnum(text[i]) && text[i] != '+' &&
		    text[i] != '/')
			return false;
	return true;
}

uint8_t *text_decode_base64(const char *text, size_t *size_bytes)
{
	gsize decoded_bytes = 0;
	uint8_t *bytes;

	if (!is_base64(text, *size_bytes))
		return NULL;
	bytes = g_base64_decode(text, &decoded_bytes);
	*size_bytes = decoded_bytes;
	return bytes;
}
