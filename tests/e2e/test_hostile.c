#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include <arpa/inet.h>
#include <errno.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "world/fixture.h"

#define STREAMS 200
#define STREAM_SIZE_BYTES_MAX 4096u
#define CLOSE_TIMEOUT_MS 20000
#define PARTIAL_SESSIONS 50

static world_t *world;
static char *database;

static int set_up(void **state)
{
	deployment_t deployment = deployment_tauhara();

	deployment.relay = false;
	deployment.nodes_per_domain = 1;
	return fixture_start(&deployment, &world, &database);
}

static int tear_down(void **state)
{
	return fixture_end(world, database);
}

static int open_socket(void)
{
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_port = htons(world_node(world, 0, 0)->callers_port),
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	assert_int_equal(
		connect(fd, (struct sockaddr *)&address, sizeof(address)), 0);
	return fd;
}

/*
 * Reads until the node closes the connection.
 *
 * @return whether the node closed it in time
 */
static bool is_closed(int fd)
{
	struct pollfd waiting = {.fd = fd, .events = POLLIN};
	char bytes[4096];

	while (poll(&waiting, 1, CLOSE_TIMEOUT_MS) > 0) {
		ssize_t count = recv(fd, bytes, sizeof(bytes), 0);

		if (!count || (count < 0 && errno != EAGAIN))
			return true;
	}
	return false;
}

/* Asserts that the node still runs and serves another session. */
static void assert_serves(PGconn *other)
{
	PGresult *result = PQexec(other, "SELECT 7");

	assert_int_equal(PQresultStatus(result), PGRES_TUPLES_OK);
	assert_string_equal(PQgetvalue(result, 0, 0), "7");
	PQclear(result);
	assert_true(process_running(world_node(world, 0, 0)->process));
}

static PGconn *connect_other(void)
{
	PGconn *other = world_connect(world, world_node(world, 0, 0), database);

	assert_int_equal(PQstatus(other), CONNECTION_OK);
	return other;
}

static void assert_only_sender_closed(const void *bytes, size_t size_bytes)
{
	PGconn *other = connect_other();
	int fd = open_socket();

	send(fd, bytes, size_bytes, MSG_NOSIGNAL);
	assert_true(is_closed(fd));
	close(fd);
	assert_serves(other);
	PQfinish(other);
}

static void test_malformed_start_ups(void **state)
{
	assert_only_sender_closed("\0\0\0\0\0\3\0\0", 8);
	assert_only_sender_closed("\0\0\0\4", 4);
	assert_only_sender_closed("\xff\xff\xff\xff\0\3\0\0", 8);
	assert_only_sender_closed("\0\0\0\x0b\0\3\0\0usr", 11);
	assert_only_sender_closed("\0\0\0\x08\0\x09\0\0", 8);
	assert_only_sender_closed("GET / HTTP/1.0\r\n\r\n", 18);
}

static void test_gigabyte_start_up_is_refused(void **state)
{
	assert_only_sender_closed("\x40\0\0\0\0\3\0\0", 8);
}

/* After the login a message header announces a length of 1 GB. */
static void test_gigabyte_message_is_refused(void **state)
{
	PGconn *other = connect_other();
	PGconn *hostile = connect_other();

	send(PQsocket(hostile), "Q\x40\0\0\0SELECT", 11, MSG_NOSIGNAL);
	assert_true(is_closed(PQsocket(hostile)));
	PQfinish(hostile);
	assert_serves(other);
	PQfinish(other);
}

static void test_partial_messages_block_no_other_session(void **state)
{
	PGconn *other = connect_other();
	PGconn *partial[PARTIAL_SESSIONS];

	for (int i = 0; i < PARTIAL_SESSIONS; i++) {
		partial[i] = connect_other();
		send(PQsocket(partial[i]), "Q\0\0\0\x20SEL", 8, MSG_NOSIGNAL);
	}
	for (int i = 0; i < 20; i++)
		assert_serves(other);
	for (int i = 0; i < PARTIAL_SESSIONS; i++)
		PQfinish(partial[i]);
	assert_serves(other);
	PQfinish(other);
}

static void test_random_streams(void **state)
{
	g_autoptr(GRand) random = g_rand_new_with_seed(20261204);
	PGconn *other = connect_other();

	for (int i = 0; i < STREAMS; i++) {
		uint8_t bytes[STREAM_SIZE_BYTES_MAX];
		size_t size_bytes = (size_t)g_rand_int_range(
			random, 1, STREAM_SIZE_BYTES_MAX);
		int fd = open_socket();

		for (size_t j = 0; j < size_bytes; j++)
			bytes[j] = (uint8_t)g_rand_int(random);
		/*
		 * Half of the streams start with the header of a
		 * start-up message of the right length.
		 */
		if (i % 2 && size_bytes >= 8)
			memcpy(bytes,
			       (uint8_t[]){0, 0, (uint8_t)(size_bytes >> 8),
					   (uint8_t)size_bytes, 0, 3, 0, 0},
			       8);
		send(fd, bytes, size_bytes, MSG_NOSIGNAL);
		shutdown(fd, SHUT_WR);
		assert_true(is_closed(fd));
		close(fd);
	}
	assert_serves(other);
	PQfinish(other);
}

static void test_random_messages_after_login(void **state)
{
	static const char types[] = "QPBDECSHXdcfp?\0\xff";
	g_autoptr(GRand) random = g_rand_new_with_seed(20261204);
	PGconn *other = connect_other();

	for (int i = 0; i < STREAMS; i++) {
		PGconn *hostile = connect_other();
		uint8_t bytes[64];
		size_t size_bytes =
			(size_t)g_rand_int_range(random, 5, sizeof(bytes));

		for (size_t j = 0; j < size_bytes; j++)
			bytes[j] = (uint8_t)g_rand_int(random);
		bytes[0] = (uint8_t)types[(size_t)i % (sizeof(types) - 1)];
		memcpy(bytes + 1,
		       (uint8_t[]){0, 0, 0, (uint8_t)(size_bytes - 1)}, 4);
		send(PQsocket(hostile), bytes, size_bytes, MSG_NOSIGNAL);
		shutdown(PQsocket(hostile), SHUT_WR);
		assert_true(is_closed(PQsocket(hostile)));
		PQfinish(hostile);
	}
	assert_serves(other);
	PQfinish(other);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_malformed_start_ups),
		cmocka_unit_test(test_gigabyte_start_up_is_refused),
		cmocka_unit_test(test_gigabyte_message_is_refused),
		cmocka_unit_test(test_partial_messages_block_no_other_session),
		cmocka_unit_test(test_random_streams),
		cmocka_unit_test(test_random_messages_after_login),
	};

	return cmocka_run_group_tests(tests, set_up, tear_down);
}
