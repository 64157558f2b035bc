#ifndef PROTOCOL_UNPACKED_H
#define PROTOCOL_UNPACKED_H

#include <stdbool.h>
#include <stddef.h>

#include <protobuf-c/protobuf-c.h>

/**
 * Checks that a message lost nothing when it was unpacked: the library cuts a
 * string off at its first NUL byte, and keeps the last of a field that comes
 * twice. Each node packs its messages with the same library, which has one
 * encoding of each, so what packs to another size was changed.
 *
 * @param size_bytes number of bytes that @p message was unpacked from
 */
bool unpacked_is_whole(const ProtobufCMessage *message, size_t size_bytes);

#endif
