#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <time.h>
#include <unistd.h>

#include <cmocka.h>

#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/rsa.h>
#include <openssl/x509.h>

#include "unit/fake_entry.h"

static void test_login_is_checked_without_a_server_connection(void **state)
{
	PGconn *good = connect_as("owner", "password=" PASSWORD);
	PGconn *wrong = connect_as("owner", "password=wrong");
	PGconn *unknown_user = connect_as("nobody", "password=" PASSWORD);
	PGconn *unknown_database = connect_as("owner", "dbname=none");

	assert_int_equal(PQstatus(good), CONNECTION_OK);
	assert_int_equal(PQstatus(wrong), CONNECTION_BAD);
	assert_int_equal(PQstatus(unknown_user), CONNECTION_BAD);
	assert_int_equal(PQstatus(unknown_database), CONNECTION_BAD);
	assert_non_null(
		strstr(PQerrorMessage(unknown_database), "does not exist"));
	assert_int_equal(g_atomic_int_get(&entry.backend->connections), 0);
	PQfinish(good);
	PQfinish(wrong);
	PQfinish(unknown_user);
	PQfinish(unknown_database);
	wait_for(&entry.sessions, 0);
}

static void test_change_raises_the_token(void **state)
{
	PGconn *conn = connect_as_foreman("");
	g_autofree char *shown = NULL;

	assert_string_equal(PQparameterStatus(conn, "toucanhook.token"), "");
	assert_sqlstate(conn, "INSERT INTO pairing VALUES (1)", "");
	assert_string_equal(PQparameterStatus(conn, "toucanhook.token"),
			    "match:1:1");
	shown = query_value(conn, "SHOW toucanhook.token");
	assert_string_equal(shown, "match:1:1");
	PQfinish(conn);
	conn = connect_as_foreman(
		"options='-c toucanhook.token=match:3:4,other:1:2'");
	g_free(shown);
	shown = query_value(conn, "SHOW toucanhook.token");
	assert_string_equal(shown, "match:3:4,other:1:2");
	PQfinish(conn);
}

static void test_first_read_and_every_strong_read_run_a_barrier(void **state)
{
	PGconn *conn = connect_as_foreman("");

	assert_sqlstate(conn, "SELECT conn", "");
	assert_sqlstate(conn, "SELECT conn", "");
	assert_int_equal(g_atomic_int_get(&entry.barriers), 1);
	assert_sqlstate(conn, "SET toucanhook.consistency = 'strong'", "");
	assert_sqlstate(conn, "SELECT conn", "");
	assert_sqlstate(conn, "SELECT conn", "");
	assert_int_equal(g_atomic_int_get(&entry.barriers), 3);
	PQfinish(conn);
}

static void test_more_callers_than_connections_share_them(void **state)
{
	PGconn *conns[3 * SHARE];
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(conns); i++) {
		conns[i] = connect_as_foreman("");
		PQsendQuery(conns[i], "INSERT INTO pairing VALUES (1)");
	}
	for (i = 0; i < G_N_ELEMENTS(conns); i++) {
		PGresult *result = PQgetResult(conns[i]);

		assert_int_equal(PQresultStatus(result), PGRES_COMMAND_OK);
		PQclear(result);
		PQfinish(conns[i]);
	}
	assert_true(g_atomic_int_get(&entry.backend->connections) <= SHARE);
}

static void test_full_server_is_retried(void **state)
{
	PGconn *conn = connect_as_foreman("");

	g_atomic_int_set(&entry.backend->refuse, 1);
	assert_sqlstate(conn, "SET toucanhook.timeout_ms = 200", "");
	assert_sqlstate(conn, "INSERT INTO pairing VALUES (1)", "TH003");
	assert_true(g_atomic_int_get(&entry.backend->connections) > 1);
	assert_sqlstate(conn, "SET toucanhook.timeout_ms = 5000", "");
	PQsendQuery(conn, "INSERT INTO pairing VALUES (1)");
	wait_for(&entry.busy, 1);
	g_atomic_int_set(&entry.backend->refuse, 0);
	assert_sqlstate(conn, "INSERT INTO pairing VALUES (1)", "");
	PQfinish(conn);
}

/* Writes a key and a certificate signed with it as PEM files. */
static void write_certificate(const char *key_path, const char *path)
{
	EVP_PKEY *key = EVP_RSA_gen(2048);
	X509 *certificate = X509_new();
	FILE *file = fopen(key_path, "w");

	PEM_write_PrivateKey(file, key, NULL, NULL, 0, NULL, NULL);
	fclose(file);
	ASN1_INTEGER_set(X509_get_serialNumber(certificate), 1);
	X509_gmtime_adj(X509_getm_notBefore(certificate), 0);
	X509_gmtime_adj(X509_getm_notAfter(certificate), 3600);
	X509_set_pubkey(certificate, key);
	X509_sign(certificate, key, EVP_sha256());
	file = fopen(path, "w");
	PEM_write_X509(file, certificate);
	fclose(file);
	X509_free(certificate);
	EVP_PKEY_free(key);
}

static int set_up_tls(void **state)
{
	g_autofree char *folder = g_dir_make_tmp("callers-XXXXXX", NULL);

	memset(&entry, 0, sizeof(entry));
	entry.settings.tls_key = g_build_filename(folder, "key.pem", NULL);
	entry.settings.tls_certificate =
		g_build_filename(folder, "certificate.pem", NULL);
	write_certificate(entry.settings.tls_key,
			  entry.settings.tls_certificate);
	return set_up_entry();
}

static int tear_down_tls(void **state)
{
	g_autofree char *folder = g_path_get_dirname(entry.settings.tls_key);

	tear_down(state);
	unlink(entry.settings.tls_key);
	unlink(entry.settings.tls_certificate);
	rmdir(folder);
	g_free(entry.settings.tls_key);
	g_free(entry.settings.tls_certificate);
	return 0;
}

static void test_tls_is_offered_when_there_is_a_certificate(void **state)
{
	PGconn *conn =
		connect_as("owner", "sslmode=require password=" PASSWORD);
	PGconn *plain = connect_as_foreman("sslmode=disable");
	PGresult *result = NULL;

	if (PQstatus(conn) != CONNECTION_OK)
		fail_msg("%s", PQerrorMessage(conn));
	assert_true(PQsslInUse(conn));
	assert_false(PQsslInUse(plain));
	result = PQexec(conn, "SELECT rows 1000 1024");
	assert_int_equal(PQntuples(result), 1000);
	PQclear(result);
	PQfinish(conn);
	PQfinish(plain);
}

static void test_caller_that_does_not_read_is_closed(void **state)
{
	PGconn *slow = connect_as_foreman("");
	PGconn *other = connect_as_foreman("");

	assert_int_equal(PQsendQuery(slow, "SELECT rows 1500 65536"), 1);
	wait_for(&entry.sessions, 1);
	assert_sqlstate(other, "SELECT conn", "");
	PQfinish(slow);
	PQfinish(other);
}

static uint64_t processor_time_ms(void)
{
	struct timespec time;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
	return (uint64_t)time.tv_sec * 1000 + (uint64_t)time.tv_nsec / 1000000;
}

/* Guards against a VM that spins while a caller's input is full. */
static void test_full_input_costs_no_time(void **state)
{
	static const uint8_t sync[] = {'S', 0, 0, 0, 4};
	PGconn *conn = connect_as_foreman("");
	g_autofree uint8_t *flood = g_malloc0(sizeof(sync) * 1000);
	uint32_t refused = 0;
	uint64_t began_ms;

	for (uint32_t i = 0; i < 1000; i++)
		memcpy(flood + i * sizeof(sync), sync, sizeof(sync));
	assert_int_equal(PQsendQuery(conn, "SELECT hang"), 1);
	wait_for(&entry.busy, 1);
	while (refused < 20) {
		if (send(PQsocket(conn), flood, sizeof(sync) * 1000,
			 MSG_DONTWAIT | MSG_NOSIGNAL) > 0)
			continue;
		refused++;
		g_usleep(WAIT_STEP_US);
	}
	began_ms = processor_time_ms();
	g_usleep(400000);
	assert_in_range(processor_time_ms() - began_ms, 0, 200);
	PQfinish(conn);
}

static int connect_raw(void)
{
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
		.sin_port = htons(entry.settings.callers.port),
	};
	const int fd = socket(AF_INET, SOCK_STREAM, 0);

	assert_int_equal(
		connect(fd, (struct sockaddr *)&address, sizeof(address)), 0);
	return fd;
}

/* Expects an error and then the end of the stream; closes the socket. */
static void assert_rejected(int fd, const void *bytes, size_t size)
{
	char answer[256];

	assert_int_equal(write(fd, bytes, size), size);
	assert_true(read(fd, answer, sizeof(answer)) > 0);
	assert_int_equal(answer[0], 'E');
	while (read(fd, answer, sizeof(answer)) > 0)
		;
	close(fd);
}

static void assert_rejected_and_closed(const void *bytes, size_t size)
{
	assert_rejected(connect_raw(), bytes, size);
}

/* @return a start-up packet with the parameters */
static GByteArray *startup_packet(const void *parameters, size_t size)
{
	GByteArray *packet = g_byte_array_new();

	pg_write_u32(packet, (uint32_t)size + 8);
	pg_write_u32(packet, PG_CODE_VERSION_3);
	g_byte_array_append(packet, parameters, (guint)size);
	return packet;
}

/* What follows the last parameter was ignored. */
static void test_start_up_with_surplus_is_refused(void **state)
{
	static const char surplus[] = "user\0foreman\0database\0match\0\0x";
	g_autoptr(GByteArray) packet = startup_packet(surplus, sizeof(surplus));

	assert_rejected_and_closed(packet->data, packet->len);
}

/* @return the first SASL message with the data and, if wanted, a byte more */
static GByteArray *sasl_message(const void *data, size_t size, bool surplus)
{
	GByteArray *message = g_byte_array_new();
	const size_t mark = pg_write_begin(message, 'p');

	pg_write_string(message, "SCRAM-SHA-256");
	pg_write_u32(message, (uint32_t)size);
	g_byte_array_append(message, data, (guint)size);
	if (surplus)
		pg_write_u8(message, 'x');
	pg_write_end(message, mark);
	return message;
}

/* Logs in up to the request for the first SASL message. */
static int connect_for_sasl(void)
{
	static const char owner[] = "user\0owner\0database\0match\0";
	g_autoptr(GByteArray) packet = startup_packet(owner, sizeof(owner));
	const int fd = connect_raw();
	char answer[256];

	assert_int_equal(write(fd, packet->data, packet->len), packet->len);
	assert_true(read(fd, answer, sizeof(answer)) > 0);
	assert_int_equal(answer[0], 'R');
	return fd;
}

/* Such a message was taken without what follows the NUL byte. */
static void test_login_message_with_nul_is_refused(void **state)
{
	static const char first[] = "n,,n=,r=abc\0x";
	static const char final[] = "c=biws,r=abc\0x";
	GByteArray *const firsts[] = {
		sasl_message(first, sizeof(first) - 1, false),
		sasl_message(first, strlen(first) + 1, false),
		sasl_message(first, strlen(first), true),
	};
	g_autoptr(GByteArray) valid = sasl_message(first, strlen(first), false);
	g_autoptr(GByteArray) last = g_byte_array_new();
	const size_t mark = pg_write_begin(last, 'p');
	int fd;
	char answer[256];

	for (size_t i = 0; i < G_N_ELEMENTS(firsts); i++) {
		assert_rejected(connect_for_sasl(), firsts[i]->data,
				firsts[i]->len);
		g_byte_array_unref(firsts[i]);
	}
	fd = connect_for_sasl();
	assert_int_equal(write(fd, valid->data, valid->len), valid->len);
	assert_true(read(fd, answer, sizeof(answer)) > 0);
	assert_int_equal(answer[0], 'R');
	g_byte_array_append(last, (const guint8 *) final, sizeof(final) - 1);
	pg_write_end(last, mark);
	assert_rejected(fd, last->data, last->len);
	wait_for(&entry.sessions, 0);
}

/* The statement behind the NUL byte, or all of it, was another one. */
static void test_query_with_nul_ends_its_transaction(void **state)
{
	static const char query[] = "INSERT INTO pairing VALUES (2)\0; x";
	PGconn *conn = connect_as_foreman("");
	g_autoptr(GByteArray) message = g_byte_array_new();
	const size_t mark = pg_write_begin(message, 'Q');

	assert_sqlstate(conn, "BEGIN", "");
	assert_sqlstate(conn, "INSERT INTO pairing VALUES (1)", "");
	wait_for(&entry.busy, 1);
	g_byte_array_append(message, (const guint8 *)query, sizeof(query));
	pg_write_end(message, mark);
	assert_int_equal(write(PQsocket(conn), message->data, message->len),
			 message->len);
	/* Although the caller has not read the error. */
	wait_for(&entry.busy, 0);
	PQfinish(conn);
}

static void test_broken_start_up_is_refused_at_once(void **state)
{
	static const uint8_t large[] = {0x40, 0, 0, 0, 0, 3, 0, 0};
	static const uint8_t old[] = {0, 0, 0, 8, 0, 2, 0, 0};
	static const uint8_t cut[] = {0, 0, 0,	 12,  0,   3,
				      0, 0, 'u', 's', 'e', 'r'};

	assert_rejected_and_closed(large, sizeof(large));
	assert_rejected_and_closed(old, sizeof(old));
	assert_rejected_and_closed(cut, sizeof(cut));
	wait_for(&entry.sessions, 0);
}

static void append_notice(void *context, const char *message)
{
	g_string_append(context, message);
}

static void test_drain_refuses_a_caller_that_is_never_idle(void **state)
{
	PGconn *conn = connect_as_foreman("");
	const char *sqlstate = NULL;
	PGresult *result = NULL;

	g_atomic_int_set(&entry.drain, 1);
	do {
		PQclear(result);
		result = PQexec(conn, "INSERT INTO pairing VALUES (0)");
		sqlstate = PQresultErrorField(result, PG_DIAG_SQLSTATE);
	} while (!sqlstate && PQstatus(conn) == CONNECTION_OK);
	assert_string_equal(sqlstate ? sqlstate : "", "TH003");
	assert_int_equal(PQtransactionStatus(conn), PQTRANS_IDLE);
	PQclear(result);
	wait_for(&entry.sessions, 0);
	PQfinish(conn);
}

/* The process ended without an answer to these. */
static void test_end_of_a_drain_answers_what_is_open(void **state)
{
	PGconn *waits = connect_as_foreman("");
	PGconn *rests = connect_as_foreman("");
	PGresult *result = NULL;

	assert_sqlstate(rests, "BEGIN", "");
	assert_sqlstate(rests, "INSERT INTO pairing VALUES (1)", "");
	g_atomic_int_set(&entry.backend->refuse, 1);
	PQsendQuery(waits, "INSERT INTO pairing VALUES (2)");
	wait_for(&entry.busy, 2);
	g_atomic_int_set(&entry.drain, 1);
	wait_for(&entry.drain, 2);
	g_atomic_int_set(&entry.finish, 1);
	wait_for(&entry.busy, 0);
	result = PQgetResult(waits);
	assert_non_null(PQresultErrorField(result, PG_DIAG_SQLSTATE));
	PQclear(result);
	PQclear(PQexec(rests, "COMMIT"));
	assert_non_null(strstr(PQerrorMessage(rests), "leaving"));
	wait_for(&entry.sessions, 0);
	PQfinish(waits);
	PQfinish(rests);
}

static void test_drain_lets_transactions_end(void **state)
{
	GString *notice = g_string_new(NULL);
	PGconn *idle = connect_as_foreman("");
	PGconn *busy = connect_as_foreman("");
	PGconn *after_drain = connect_as_foreman("");

	PQsetNoticeProcessor(idle, append_notice, notice);
	assert_sqlstate(busy, "BEGIN", "");
	g_atomic_int_set(&entry.drain, 1);
	wait_for(&entry.drain, 2);
	assert_sqlstate(after_drain, "INSERT INTO pairing VALUES (0)", "");
	wait_for(&entry.sessions, 1);
	while (PQstatus(idle) != CONNECTION_BAD) {
		PQisBusy(idle); /* parses the input received before EOF */
		PQconsumeInput(idle);
	}
	assert_non_null(strstr(notice->str, "is leaving"));
	assert_sqlstate(busy, "INSERT INTO pairing VALUES (1)", "");
	assert_sqlstate(busy, "COMMIT", "");
	wait_for(&entry.sessions, 0);
	PQfinish(idle);
	PQfinish(busy);
	PQfinish(after_drain);
	g_string_free(notice, TRUE);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		TEST(test_login_is_checked_without_a_server_connection),
		TEST(test_change_raises_the_token),
		TEST(test_first_read_and_every_strong_read_run_a_barrier),
		TEST(test_more_callers_than_connections_share_them),
		TEST(test_full_server_is_retried),
		cmocka_unit_test_setup_teardown(
			test_tls_is_offered_when_there_is_a_certificate,
			set_up_tls, tear_down_tls),
		TEST(test_caller_that_does_not_read_is_closed),
		TEST(test_full_input_costs_no_time),
		TEST(test_broken_start_up_is_refused_at_once),
		TEST(test_start_up_with_surplus_is_refused),
		TEST(test_login_message_with_nul_is_refused),
		TEST(test_query_with_nul_ends_its_transaction),
		TEST(test_end_of_a_drain_answers_what_is_open),
		TEST(test_drain_lets_transactions_end),
		TEST(test_drain_refuses_a_caller_that_is_never_idle),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
