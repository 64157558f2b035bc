/*
 * What a peer receives is what was sent, or nothing: the codec decodes any
 * bytes, in any chunks, either to messages with all of them or to an error.
 */
#include <cstring>
#include <string>
#include <vector>

#include <rapidcheck.h>

extern "C" {
#include "platform/line_codec.h"
}

namespace
{

/* The end of each message. */
const std::string END = "\r\n";

/* A message of any kind whose fields are any bytes without the message end. */
std::string any_line()
{
	static const std::vector<std::string> words = {
		"STARTUP ",
		"QUERY ",
		"QUERY 1 ",
		"QUERY 1 WRITE ",
		"QUERY 1 SET a ",
		"QUERY 1 PREPARE p ",
		"QUERY 1 PREPARE p READ ",
		"QUERY 1 EXECUTE p ",
		"QUERY 1 AFTER 3.4 READ ",
		"QUERY 1 CLOSE ",
		"QUERY 1 COMMIT",
		"TERMINATE",
		"DATAROW ",
		"COMPLETE ",
		"ERROR BUSY ",
		"READY I ",
		""};
	const auto byte = rc::gen::weightedOneOf<char>(
		{{6, rc::gen::elementOf(std::string("ab -."))},
		 {1, rc::gen::elementOf(std::string("\0\r\n\t\x7f", 5))},
		 {2, rc::gen::arbitrary<char>()}});
	std::string line = *rc::gen::elementOf(words) +
			   *rc::gen::container<std::string>(byte);

	for (size_t at; (at = line.find(END)) != std::string::npos;)
		line.erase(at, 1);
	return line;
}

/* A decoded message, or an invalid one. */
struct decoded_t {
	bool valid;
	relay_message_kind_t kind;
	std::string encoded;
	std::string id;
	std::string text;
	std::string user;
};

std::string string_of(const char *text)
{
	return text ? text : "";
}

/* Decodes all complete messages in the buffer. */
void decode_all(struct evbuffer *buffer, size_t &searched_bytes,
		std::vector<decoded_t> &messages)
{
	for (;;) {
		relay_message_t message = {};
		GError *error = nullptr;
		const relay_decoded_t decoded = line_codec.decode(
			buffer, &searched_bytes, &message, &error);

		if (decoded == RELAY_INCOMPLETE)
			return;
		RC_ASSERT((decoded == RELAY_INVALID) == (error != nullptr));
		messages.push_back(
			{decoded == RELAY_DECODED, message.kind,
			 message.encoded ? std::string(message.encoded,
						       message.encoded_size) :
					   "",
			 string_of(message.id), string_of(message.text),
			 string_of(message.user)});
		relay_message_clear(&message);
		g_clear_error(&error);
	}
}

/* Decodes bytes that arrive in random chunks. */
std::vector<decoded_t> decode_in_chunks(const std::string &bytes)
{
	std::vector<decoded_t> messages;
	struct evbuffer *buffer = evbuffer_new();
	size_t searched_bytes = 0;

	for (size_t at = 0; at < bytes.size();) {
		const size_t size =
			*rc::gen::inRange<size_t>(1, bytes.size() - at + 1);

		struct evbuffer *chunk = evbuffer_new();

		/* Chunks stay apart in the buffer, as those of a socket. */
		evbuffer_add(chunk, bytes.data() + at, size);
		evbuffer_add_buffer(buffer, chunk);
		evbuffer_free(chunk);
		decode_all(buffer, searched_bytes, messages);
		at += size;
	}
	RC_ASSERT(evbuffer_get_length(buffer) == 0U);
	evbuffer_free(buffer);
	return messages;
}

std::string take(struct evbuffer *out)
{
	std::string bytes(evbuffer_get_length(out), '\0');

	evbuffer_remove(out, &bytes[0], bytes.size());
	evbuffer_free(out);
	return bytes;
}

/* @return the statement of a session, as it is sent to a server */
std::string text_again(const std::string &text)
{
	command_t command = {};
	char *again = nullptr;

	line_codec.parse(text.c_str(), &command);
	switch (command.kind) {
	case COMMAND_SET:
		again = line_codec.text_set(command.name, command.value);
		break;
	case COMMAND_PREPARE:
		again = line_codec.text_prepare(command.name, command.value);
		break;
	case COMMAND_EXECUTE:
		again = line_codec.text_execute(command.name, command.value);
		break;
	default:
		again = g_strdup(command.text ? command.text : "");
	}
	const std::string result = again;
	g_free(again);
	/* The position that precedes a statement is no part of it. */
	RC_ASSERT(command.kind == COMMAND_INVALID ||
		  (text.size() >= result.size() &&
		   !text.compare(text.size() - result.size(), std::string::npos,
				 result)));
	command_clear(&command);
	return result;
}

std::string query_again(const std::string &id, const std::string &text)
{
	struct evbuffer *out = evbuffer_new();

	line_codec.put_query(out, id.c_str(), log_point_t{0, 0}, text.c_str());
	return take(out);
}

void check_fields(const decoded_t &message)
{
	switch (message.kind) {
	case RELAY_MESSAGE_QUERY:
		RC_ASSERT(query_again(message.id, message.text) ==
			  message.encoded);
		text_again(message.text);
		break;
	case RELAY_MESSAGE_ROW:
		RC_ASSERT(message.encoded == "DATAROW " + message.text + END ||
			  message.encoded == "DATAROW" + END);
		break;
	case RELAY_MESSAGE_ERROR:
		RC_ASSERT(message.encoded.size() >=
			  message.text.size() + END.size());
		break;
	case RELAY_MESSAGE_STARTUP:
		RC_ASSERT(message.encoded.compare(0, 8 + message.text.size(),
						  "STARTUP " + message.text) ==
			  0);
		break;
	default:
		break;
	}
}

} // namespace

int main()
{
	bool passed = true;

	passed &= rc::check("a message is decoded as it is or not at all", [] {
		const auto lines =
			*rc::gen::container<std::vector<std::string>>(
				rc::gen::exec([] { return any_line(); }));
		std::string bytes;
		size_t i = 0;

		for (const std::string &line : lines)
			bytes += line + END;
		const auto messages = decode_in_chunks(bytes);

		RC_ASSERT(messages.size() == lines.size());
		for (const decoded_t &message : messages) {
			const std::string &line = lines[i++];

			if (line.find('\0') != std::string::npos)
				RC_ASSERT_FALSE(message.valid);
			if (!message.valid)
				continue;
			RC_ASSERT(message.encoded == line + END);
			check_fields(message);
		}
	});

	passed &= rc::check("valid text passes unchanged", [] {
		std::string data = *rc::gen::container<std::string>(
			rc::gen::distinctFrom('\0'));

		for (size_t at; (at = data.find(END)) != std::string::npos;)
			data.erase(at, 1);
		const std::string text = "WRITE lot1 x" + data;
		const auto messages = decode_in_chunks(query_again("1", text));

		RC_ASSERT(messages.size() == 1U);
		RC_ASSERT(messages[0].valid);
		RC_ASSERT(messages[0].text == text);
		RC_ASSERT(text_again(text) == text);
	});

	return passed ? 0 : 1;
}
