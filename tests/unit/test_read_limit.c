/* Tests transport/read_limit.c on a connected pair of sockets. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <unistd.h>

#include <cmocka.h>
#include <event2/buffer.h>
#include <event2/event.h>
#include <glib.h>

#include "transport/read_limit.h"

#define LIMIT_BYTES 20000
#define SENT_BYTES 100000

/* Maximum size of one read of libevent, by which the limit may be exceeded. */
#define READ_BYTES 16384

static void on_read(struct bufferevent *bev, void *context)
{
	++*(uint32_t *)context;
	read_limit_apply(bev, LIMIT_BYTES);
}

/* Runs the event loop for a while, also if it always has something to do. */
static void run(struct event_base *base)
{
	const struct timeval time = {.tv_usec = 20000};

	event_base_loopexit(base, &time);
	event_base_loop(base, 0);
}

/* Guards against a read callback that is called again and again. */
static void test_reading_pauses_at_the_limit(void **state)
{
	struct event_base *base = event_base_new();
	static const char bytes[SENT_BYTES];
	evutil_socket_t ends[2];
	struct bufferevent *bev;
	struct evbuffer *input;
	uint32_t calls = 0;
	size_t received = 0;

	assert_int_equal(evutil_socketpair(AF_UNIX, SOCK_STREAM, 0, ends), 0);
	evutil_make_socket_nonblocking(ends[1]);
	bev = bufferevent_socket_new(base, ends[1], BEV_OPT_CLOSE_ON_FREE);
	input = bufferevent_get_input(bev);
	bufferevent_setcb(bev, on_read, NULL, NULL, &calls);
	bufferevent_enable(bev, EV_READ);
	assert_int_equal(write(ends[0], bytes, SENT_BYTES), SENT_BYTES);
	while (received < SENT_BYTES) {
		const uint32_t before = calls;
		const size_t size_bytes =
			MIN(SENT_BYTES - received, LIMIT_BYTES);

		run(base);
		assert_in_range(evbuffer_get_length(input), size_bytes,
				LIMIT_BYTES + READ_BYTES);
		assert_in_range(calls - before, 0, LIMIT_BYTES / 1024);
		assert_int_equal(event_base_get_num_events(
					 base, EVENT_BASE_COUNT_ACTIVE),
				 0);
		received += evbuffer_get_length(input);
		evbuffer_drain(input, evbuffer_get_length(input));
		read_limit_apply(bev, LIMIT_BYTES);
	}
	assert_int_equal(received, SENT_BYTES);
	bufferevent_free(bev);
	close(ends[0]);
	event_base_free(base);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_reading_pauses_at_the_limit),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
