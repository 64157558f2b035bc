#!/bin/sh
# Fails where bytes that come with a length become a C string in another way
# than by base/text.h. The library's functions cut them off at a NUL byte, or
# skip what they do not know.
set -eu
cd "$(dirname "$0")/.."
ways='g_strndup|[^_]strndup|g_base64_decode|g_utf8_make_valid'
if git grep -nE "$ways" -- 'src/*.[ch]' platform daemons \
	':!src/base/text.c' ':!*.pb-c.*'
then
	echo "use base/text.h" >&2
	exit 1
fi
# A line's length is compared with its text in the codec.
if git grep -nE 'evbuffer_readln' -- src platform daemons
then
	echo "decode messages with the codec" >&2
	exit 1
fi
