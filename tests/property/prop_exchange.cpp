#include <cstdint>
#include <cstring>
#include <set>
#include <string>

#include <rapidcheck.h>

extern "C" {
#include "protocol/exchange.h"
}

namespace
{

const uint64_t TERM = 3;
const int ATTEMPTS = 4;

/* Committed state, shared by all connections. */
struct database_t {
	bool key = false; /* the idempotency key is stored */
	int changes = 0;  /* number of committed changes */
};

/* Connection to a server that may stop being primary or fail at any step. */
struct server_t {
	database_t *database;
	bool is_primary;
	bool term_set = false;
	char status = 'I';
	bool key = false; /* key inserted in the open transaction */
	int changes = 0;  /* changes in the open transaction */
	bool failed = false;
};

void fail(server_t &server, GByteArray *out, const char *sqlstate)
{
	pg_write_error(out, "ERROR", sqlstate, "simulated error", NULL);
	if (server.status == 'T')
		server.status = 'E';
}

void commit(server_t &server, GByteArray *out)
{
	if (server.status == 'E') {
		pg_write_text(out, 'C', "ROLLBACK");
	} else {
		server.database->key |= server.key;
		server.database->changes += server.changes;
		pg_write_text(out, 'C', "COMMIT");
	}
	server.status = 'I';
	server.key = false;
	server.changes = 0;
}

void insert_key(server_t &server, GByteArray *out)
{
	if (server.database->key || server.key) {
		fail(server, out, "23505");
		return;
	}
	if (server.status == 'I')
		server.database->key = true;
	else
		server.key = true;
	pg_write_text(out, 'C', "INSERT 0 1");
}

void change(server_t &server, GByteArray *out)
{
	if (*rc::gen::inRange(0, 6) == 0) {
		fail(server, out, "22000");
		return;
	}
	if (server.status == 'I')
		server.database->changes++;
	else
		server.changes++;
	pg_write_text(out, 'C', "INSERT 0 1");
}

void point(GByteArray *out)
{
	const char *const values[] = {"3", "10"};

	pg_write_row(out, values, 2);
	pg_write_text(out, 'C', "SELECT 1");
}

/*
 * Runs a BEGIN and the rest of its query, as a server does: an error ends the
 * whole query. A BEGIN may fail like any other statement.
 */
void begin(server_t &server, const std::string &sql, GByteArray *out)
{
	if (*rc::gen::inRange(0, 6) == 0) {
		fail(server, out, "53000");
		return;
	}
	server.status = 'T';
	pg_write_text(out, 'C', "BEGIN");
	if (sql.find("toucanhook_requests") != std::string::npos)
		insert_key(server, out);
}

/* Simulates one query and appends its answer up to ReadyForQuery. */
void run(server_t &server, const std::string &sql, GByteArray *out)
{
	if (sql.rfind("SET replication.term", 0) == 0) {
		server.term_set = true;
		pg_write_text(out, 'C', "SET");
	} else if (!server.term_set) {
		RC_FAIL("a statement ran without a term");
	} else if (!server.is_primary) {
		/* A COMMIT fails, too, and rolls back the transaction. */
		fail(server, out, "TH001");
		if (sql == "COMMIT")
			server.status = 'I';
	} else if (sql == "COMMIT") {
		commit(server, out);
	} else if (server.status == 'E') {
		fail(server, out, "25P02");
	} else if (sql.rfind("BEGIN", 0) == 0) {
		begin(server, sql, out);
	} else if (sql.find("toucanhook_requests") != std::string::npos) {
		insert_key(server, out);
	} else if (sql.find("group_point") != std::string::npos) {
		point(out);
	} else {
		change(server, out);
	}
	pg_write_ready(out, server.status);
}

/* Answers one query. @return false if the connection failed */
bool answer(server_t &server, exchange_t *exchange, const std::string &sql,
	    exchange_state_t &state)
{
	const int fault = *rc::gen::inRange(0, 12);
	GByteArray *out = g_byte_array_new();
	pg_message_t message = {};
	size_t used = 0;

	server.is_primary = server.is_primary && fault != 0;
	if (fault != 1)
		run(server, sql, out);
	/* 1: failed before the statement ran, 2: before the answer. */
	server.failed = fault == 1 || fault == 2;
	while (!server.failed &&
	       pg_frame_next(out->data + used, out->len - used, SIZE_MAX,
			     &message) == PG_FRAME_READY) {
		state = exchange_handle_message(exchange, &message);
		used += message.size_bytes;
	}
	g_byte_array_unref(out);
	return !server.failed;
}

/* Runs an exchange to its end or until the connection fails. */
exchange_result_t run_exchange(server_t &server, exchange_t *exchange)
{
	exchange_state_t state = EXCHANGE_SEND;

	while (state != EXCHANGE_ENDED) {
		GByteArray *bytes = g_byte_array_new();
		pg_message_t message = {};
		size_t used = 0;
		bool connected = true;

		exchange_send(exchange, bytes);
		RC_ASSERT(bytes->len > 0);
		while (connected &&
		       pg_frame_next(bytes->data + used, bytes->len - used,
				     SIZE_MAX, &message) == PG_FRAME_READY) {
			const std::string sql = (const char *)message.body;

			used += message.size_bytes;
			connected = answer(server, exchange, sql, state);
		}
		g_byte_array_unref(bytes);
		if (!connected)
			return exchange_result_on_failure(exchange,
							  REASON_UNREACHABLE);
	}
	return exchange_result(exchange);
}

/* @return the SQLSTATE that the caller would get, or "" */
std::string caller_sqlstate(exchange_t *exchange)
{
	GBytes *bytes = exchange_take_buffered(exchange);
	pg_message_t message = {};
	std::string sqlstate;
	gsize size = 0;
	const uint8_t *data =
		bytes ? (const uint8_t *)g_bytes_get_data(bytes, &size) : NULL;

	if (data &&
	    pg_frame_next(data, size, SIZE_MAX, &message) == PG_FRAME_READY &&
	    message.type == 'E')
		sqlstate = pg_error_field(&message, 'C');
	if (bytes)
		g_bytes_unref(bytes);
	return sqlstate;
}

request_t *make_request(bool keyed)
{
	request_t *request = request_new();
	GByteArray *bytes = g_byte_array_new();

	pg_write_query(bytes, "INSERT INTO pairing VALUES (1)");
	request->kind = REQUEST_WRITE;
	request->term = TERM;
	request->request_key = keyed ? g_strdup("key") : NULL;
	request->bytes = g_byte_array_free_to_bytes(bytes);
	return request;
}

/* Runs one attempt and checks its reported outcome against the database. */
exchange_result_t attempt(database_t &database, bool keyed)
{
	request_t *request = make_request(keyed);
	server_t server = {&database, *rc::gen::inRange(0, 8) != 0};
	exchange_t *exchange =
		exchange_create(request, exchange_connection_t{0, false});
	const int before = database.changes;
	exchange_result_t result = run_exchange(server, exchange);
	const int changes_made = database.changes - before;

	RC_ASSERT(changes_made == 0 || changes_made == 1);
	if (result.outcome == OUTCOME_NOT_RUN)
		RC_ASSERT(changes_made == 0);
	if (result.outcome == OUTCOME_DONE) {
		const std::string sqlstate = caller_sqlstate(exchange);

		RC_ASSERT(changes_made == (sqlstate.empty() ? 1 : 0));
		if (sqlstate == "TH005")
			RC_ASSERT(database.key);
		if (sqlstate.empty())
			RC_ASSERT(result.needs_confirm);
	}
	if (server.failed || !server.is_primary)
		RC_ASSERT(!result.reusable || result.outcome == OUTCOME_DONE);
	exchange_destroy(exchange);
	request_delete(request);
	return result;
}

void outcome_matches_database()
{
	database_t database;

	attempt(database, *rc::gen::arbitrary<bool>());
}

/* Repeated attempts of a change with a key take effect at most once. */
void keyed_change_runs_at_most_once()
{
	database_t database;

	for (int i = 0; i < ATTEMPTS; i++) {
		attempt(database, true);
		RC_ASSERT(database.changes <= 1);
		RC_ASSERT(database.key == (database.changes == 1));
	}
}

} // namespace

int main()
{
	bool passed = rc::check("the reported outcome matches the database",
				outcome_matches_database);

	passed &= rc::check("a change with a key runs at most once",
			    keyed_change_runs_at_most_once);
	return passed ? 0 : 1;
}
