/*
 * Measures the line codec: decoding a statement and writing it again, which a
 * node does with each message of a caller and with each answer of a server.
 */
#include <inttypes.h>
#include <stdio.h>

#include "base/clock.h"
#include "platform/line_codec.h"

#define RUNS 5
#define BYTES_PER_RUN (64u * 1024 * 1024)
#define MESSAGES_MAX 400000u

/* Decodes one message from the buffer, and writes its statement again. */
static void pass_on(struct evbuffer *input, struct evbuffer *output)
{
	g_auto(relay_message_t) message = {0};
	g_auto(command_t) command = {0};

	size_t searched_bytes = 0;

	if (line_codec.decode(input, &searched_bytes, &message, NULL) !=
	    RELAY_DECODED)
		g_error("a message was not decoded");
	line_codec.parse(message.text, &command);
	line_codec.put_query(output, message.id, (log_point_t){3, 7},
			     message.text);
	evbuffer_drain(output, evbuffer_get_length(output));
}

/* @return the best time of one message, over all runs */
static double measure_ns(size_t data_size_bytes)
{
	g_autofree char *data = g_strnfill(data_size_bytes, 'x');
	g_autofree char *line = g_strdup_printf(
		"QUERY 5c0e7a21d94b36f8 WRITE 1a4 %s\r\n", data);
	const size_t size_bytes = strlen(line);
	const uint32_t count =
		(uint32_t)MIN(MESSAGES_MAX, BYTES_PER_RUN / size_bytes);
	double best_ns = 1e12;

	for (int run = 0; run < RUNS; run++) {
		struct evbuffer *input = evbuffer_new();
		struct evbuffer *output = evbuffer_new();
		const uint64_t start_us = clock_now_us();

		for (uint32_t i = 0; i < count; i++) {
			evbuffer_add(input, line, size_bytes);
			pass_on(input, output);
		}
		best_ns = MIN(best_ns,
			      1000.0 * (double)(clock_now_us() - start_us) /
				      count);
		evbuffer_free(input);
		evbuffer_free(output);
	}
	return best_ns;
}

int main(void)
{
	static const size_t sizes_bytes[] = {8, 100, 1000, 10000, 100000};

	for (size_t i = 0; i < G_N_ELEMENTS(sizes_bytes); i++)
		printf("data_bytes=%zu message_ns=%.0f\n", sizes_bytes[i],
		       measure_ns(sizes_bytes[i]));
	return 0;
}
