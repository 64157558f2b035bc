#include "protocol/unpacked.h"

bool unpacked_is_whole(const ProtobufCMessage *message, size_t size_bytes)
{
	return protobuf_c_message_get_packed_size(message) == size_bytes;
}
