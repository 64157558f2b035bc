#include "base/log_fields.h"

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

/* Sizes of a conversion with its flags, and of a formatted number. */
#define FLAGS_SIZE 16
#define NUMBER_SIZE 64

#define REPLACEMENT '?'
#define QUOTE_REPLACEMENT '\''

#define UNICODE_NEXT_LINE 0x85

/* Text that is being formatted. */
typedef struct {
	char *text;
	size_t size_bytes;
	size_t used_bytes;
} output_t;

/* Arguments; a va_list itself cannot be passed on by reference. */
typedef struct {
	va_list list;
} arguments_t;

/* One conversion of a format. */
typedef struct {
	char flags[FLAGS_SIZE]; /* flags, width and precision as written */
	int precision;		/* of a text, -1 for none */
	char length;		/* 'l' or 'z' for 64 bits, else 0 */
	char type;		/* conversion character */
} conversion_t;

static void put(output_t *output, char c)
{
	if (output->used_bytes + 1 < output->size_bytes)
		output->text[output->used_bytes++] = c;
}

static void put_all(output_t *output, const char *text, size_t size_bytes)
{
	const size_t room_bytes = output->size_bytes - 1 - output->used_bytes;

	size_bytes = MIN(size_bytes, room_bytes);
	memcpy(output->text + output->used_bytes, text, size_bytes);
	output->used_bytes += size_bytes;
}

static bool is_separator(gunichar character, bool quoted)
{
	const GUnicodeType type = g_unichar_type(character);

	return g_unichar_iscntrl(character) || character == UNICODE_NEXT_LINE ||
	       type == G_UNICODE_LINE_SEPARATOR ||
	       type == G_UNICODE_PARAGRAPH_SEPARATOR ||
	       (!quoted && g_unichar_isspace(character));
}

/* Puts a character above ASCII. @return its size in bytes */
static size_t put_wide(output_t *output, const char *text, size_t left_bytes,
		       bool quoted)
{
	const gunichar character =
		g_utf8_get_char_validated(text, (gssize)left_bytes);
	size_t size_bytes;

	if (character == (gunichar)-1 || character == (gunichar)-2) {
		put(output, REPLACEMENT);
		return 1;
	}
	size_bytes = (size_t)(g_utf8_next_char(text) - text);
	if (is_separator(character, quoted))
		put(output, REPLACEMENT);
	else if (output->used_bytes + size_bytes < output->size_bytes)
		put_all(output, text, size_bytes);
	return size_bytes;
}

/* @return the length of the part that no field can be mistaken for */
static size_t plain_length(const char *text, size_t left_bytes)
{
	size_t length = 0;

	while (length < left_bytes && text[length] > ' ' &&
	       text[length] < 0x7f && text[length] != '"')
		length++;
	return length;
}

/* Puts one character that may be replaced. @return its size in bytes */
static size_t put_special(output_t *output, const char *text, size_t left_bytes,
			  bool quoted)
{
	if ((unsigned char)*text >= 0x80)
		return put_wide(output, text, left_bytes, quoted);
	if (*text == '"')
		put(output, QUOTE_REPLACEMENT);
	else
		put(output, *text == ' ' && quoted ? ' ' : REPLACEMENT);
	return 1;
}

/* @param precision maximum size of the text in bytes, -1 for none */
static void put_text(output_t *output, const char *text, int precision)
{
	const bool quoted = output->used_bytes &&
			    output->text[output->used_bytes - 1] == '"';
	size_t left_bytes;

	if (!text)
		text = "-";
	left_bytes =
		precision < 0 ? strlen(text) : strnlen(text, (size_t)precision);
	while (left_bytes) {
		size_t size_bytes = plain_length(text, left_bytes);

		if (size_bytes)
			put_all(output, text, size_bytes);
		else
			size_bytes =
				put_special(output, text, left_bytes, quoted);
		text += size_bytes;
		left_bytes -= size_bytes;
	}
}

static void put_character(output_t *output, char c)
{
	const char text[] = {c, '\0'};

	put_text(output, text, 1);
}

static void put_decimal(output_t *output, uint64_t number)
{
	char digits[NUMBER_SIZE];
	size_t begin = sizeof(digits);

	do {
		digits[--begin] = (char)('0' + number % 10);
		number /= 10;
	} while (number);
	put_all(output, digits + begin, sizeof(digits) - begin);
}

static void put_signed(output_t *output, int64_t number)
{
	if (number < 0)
		put(output, '-');
	put_decimal(output, number < 0 ? -(uint64_t)number : (uint64_t)number);
}

static unsigned long integer_argument(const conversion_t *conversion,
				      arguments_t *arguments)
{
	if (conversion->length)
		return va_arg(arguments->list, unsigned long);
	if (strchr("di", conversion->type))
		return (unsigned long)(long)va_arg(arguments->list, int);
	return va_arg(arguments->list, unsigned);
}

/* Puts a number whose conversion has flags, or no decimal digits. */
static void put_formatted(output_t *output, const conversion_t *conversion,
			  arguments_t *arguments)
{
	const bool is_real = strchr("aefgAEFG", conversion->type);
	char format[FLAGS_SIZE + 4];
	char number[NUMBER_SIZE];

	snprintf(format, sizeof(format), "%%%s%s%c", conversion->flags,
		 is_real ? "" : "l", conversion->type);
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wformat-nonliteral"
	if (is_real)
		snprintf(number, sizeof(number), format,
			 va_arg(arguments->list, double));
	else
		snprintf(number, sizeof(number), format,
			 integer_argument(conversion, arguments));
#pragma GCC diagnostic pop
	put_all(output, number, strlen(number));
}

static void put_argument(output_t *output, const conversion_t *conversion,
			 arguments_t *arguments)
{
	if (conversion->type == 's')
		put_text(output, va_arg(arguments->list, const char *),
			 conversion->precision);
	else if (conversion->type == 'c')
		put_character(output, (char)va_arg(arguments->list, int));
	else if (conversion->type == '%')
		put(output, '%');
	else if (*conversion->flags || !strchr("diu", conversion->type))
		put_formatted(output, conversion, arguments);
	else if (conversion->type == 'u')
		put_decimal(output, integer_argument(conversion, arguments));
	else
		put_signed(output,
			   (int64_t)integer_argument(conversion, arguments));
}

static bool is_length(char c)
{
	return c == 'l' || c == 'z' || c == 'j' || c == 't';
}

/* Reads flags, width and precision. @return what follows them */
static const char *read_flags(const char *format, conversion_t *conversion,
			      arguments_t *arguments)
{
	const size_t length = strspn(format, "-+ #0123456789.*");
	const char *dot = memchr(format, '.', length);

	g_strlcpy(conversion->flags, format,
		  MIN(length + 1, sizeof(conversion->flags)));
	if (dot && dot[1] == '*')
		conversion->precision = va_arg(arguments->list, int);
	else if (dot)
		conversion->precision = (int)strtol(dot + 1, NULL, 10);
	return format + length;
}

/* Reads the conversion behind a "%". @return what follows it */
static const char *read_conversion(const char *format, conversion_t *conversion,
				   arguments_t *arguments)
{
	conversion->flags[0] = '\0';
	conversion->precision = -1;
	conversion->length = 0;
	if (!g_ascii_isalpha(*format))
		format = read_flags(format, conversion, arguments);
	while (is_length(*format))
		conversion->length = *format++;
	while (*format == 'h') /* promoted to an int */
		format++;
	conversion->type = *format;
	return *format ? format + 1 : format;
}

void log_fields_format(char *text, size_t size_bytes, const char *format,
		       va_list arguments)
{
	output_t output = {.text = text, .size_bytes = size_bytes};
	arguments_t copy;

	va_copy(copy.list, arguments);
	while (*format) {
		const size_t length = strcspn(format, "%");
		conversion_t conversion;

		put_all(&output, format, length);
		format += length;
		if (!*format)
			break;
		format = read_conversion(format + 1, &conversion, &copy);
		put_argument(&output, &conversion, &copy);
	}
	va_end(copy.list);
	text[output.used_bytes] = '\0';
}
