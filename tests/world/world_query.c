#include "world/world_query.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <glib.h>

char *world_query(PGconn *connection, const char *statement, char **value)
{
	PGresult *result = PQexec(connection, statement);
	const ExecStatusType status = PQresultStatus(result);
	char *sqlstate = NULL;

	if (value)
		*value = NULL;
	if (status != PGRES_COMMAND_OK && status != PGRES_TUPLES_OK)
		sqlstate = g_strdup(
			PQresultErrorField(result, PG_DIAG_SQLSTATE) ?: "");
	else if (value && PQntuples(result))
		*value = g_strdup(PQgetvalue(result, 0, 0));
	PQclear(result);
	return sqlstate;
}

void world_query_run(PGconn *connection, const char *format, ...)
{
	g_autofree char *statement = NULL;
	g_autofree char *sqlstate = NULL;
	va_list values;

	va_start(values, format);
	statement = g_strdup_vprintf(format, values);
	va_end(values);
	sqlstate = world_query(connection, statement, NULL);
	if (sqlstate)
		fail_msg("%s: %s %s", statement, sqlstate,
			 PQerrorMessage(connection));
}

void world_query_assert_value(PGconn *connection, const char *statement,
			      const char *wanted)
{
	g_autofree char *value = NULL;
	g_autofree char *sqlstate = world_query(connection, statement, &value);

	if (sqlstate)
		fail_msg("%s: %s %s", statement, sqlstate,
			 PQerrorMessage(connection));
	if (g_strcmp0(value, wanted) != 0)
		fail_msg("%s: got %s, expected %s", statement,
			 value ?: "no row", wanted ?: "no row");
}

void world_query_copy_token(PGconn *from, PGconn *to)
{
	world_query_run(to, "SET toucanhook.token = '%s'",
			PQparameterStatus(from, "toucanhook.token"));
}
