#include "standin/backend/sql.h"

#include <string.h>

#include <jansson.h>
#include <pg_query.h>

static const char *const status_columns[] = {
	"server",	  "role",     "term",	     "fence",
	"last_term",	  "position", "replay_term", "replay_position",
	"upstream_age_ms"};
static const char *const point_columns[] = {"term", "position"};

static void statement_delete(void *data)
{
	sql_statement_t *statement = data;

	g_free(statement->name);
	for (uint32_t i = 0; i < SQL_OPERANDS_MAX; i++)
		g_free(statement->operands[i].text);
	for (uint32_t i = 0; i < SQL_COLUMNS_MAX; i++)
		g_free(statement->columns[i]);
	g_free(statement);
}

static void add_column(sql_statement_t *statement, const char *name)
{
	if (statement->columns_count < SQL_COLUMNS_MAX)
		statement->columns[statement->columns_count++] = g_strdup(name);
}

static const char *string_field(const json_t *node, const char *field)
{
	return json_string_value(json_object_get(node, field));
}

/* @return the last name in a list like [{"String":{"sval":"count"}}]. */
static const char *last_name(const json_t *list)
{
	const json_t *last = json_array_get(list, json_array_size(list) - 1);

	return string_field(json_object_get(last, "String"), "sval");
}

static char *constant_text(const json_t *constant)
{
	const json_t *node;

	if (json_is_true(json_object_get(constant, "isnull")))
		return NULL;
	node = json_object_get(constant, "sval");
	if (node)
		return g_strdup(string_field(node, "sval") ?: "");
	node = json_object_get(constant, "fval");
	if (node)
		return g_strdup(string_field(node, "fval") ?: "0");
	node = json_object_get(constant, "boolval");
	if (node)
		return g_strdup(json_is_true(json_object_get(node, "boolval")) ?
					"t" :
					"f");
	node = json_object_get(constant, "ival");
	return g_strdup_printf(
		"%" JSON_INTEGER_FORMAT,
		json_integer_value(json_object_get(node, "ival")));
}

/* Adds a constant or a parameter, without its casts, as an operand. */
static bool add_operand(sql_script_t *script, sql_statement_t *statement,
			const json_t *node)
{
	sql_operand_t *operand;
	const json_t *cast = json_object_get(node, "TypeCast");
	const json_t *parameter;
	const json_t *constant;

	while (cast) {
		node = json_object_get(cast, "arg");
		cast = json_object_get(node, "TypeCast");
	}
	if (statement->operands_count == SQL_OPERANDS_MAX)
		return false;
	parameter = json_object_get(node, "ParamRef");
	constant = json_object_get(node, "A_Const");
	if (!parameter && !constant)
		return false;
	operand = &statement->operands[statement->operands_count++];
	if (constant) {
		operand->text = constant_text(constant);
		return true;
	}
	operand->parameter = (uint32_t)json_integer_value(
		json_object_get(parameter, "number"));
	script->parameters_count =
		MAX(script->parameters_count, operand->parameter);
	return operand->parameter > 0;
}

/* Adds the operand of a condition "key = OPERAND". */
static bool add_key(sql_script_t *script, sql_statement_t *statement,
		    const json_t *where)
{
	const json_t *expression = json_object_get(where, "A_Expr");
	const json_t *column = json_object_get(
		json_object_get(expression, "lexpr"), "ColumnRef");
	const char *operator_name =
		last_name(json_object_get(expression, "name"));
	const char *name = last_name(json_object_get(column, "fields"));

	if (g_strcmp0(operator_name, "=") || g_strcmp0(name, "key"))
		return false;
	return add_operand(script, statement,
			   json_object_get(expression, "rexpr"));
}

static bool read_insert(sql_script_t *script, sql_statement_t *statement,
			const json_t *node)
{
	const json_t *select = json_object_get(
		json_object_get(node, "selectStmt"), "SelectStmt");
	const json_t *lists = json_object_get(select, "valuesLists");
	const json_t *items = json_object_get(
		json_object_get(json_array_get(lists, 0), "List"), "items");
	const json_t *conflict = json_object_get(node, "onConflictClause");

	statement->name = g_strdup(
		string_field(json_object_get(node, "relation"), "relname"));
	if (json_array_size(lists) != 1 || json_array_size(items) < 1 ||
	    json_array_size(items) > 2)
		return false;
	for (size_t i = 0; i < json_array_size(items); i++)
		if (!add_operand(script, statement, json_array_get(items, i)))
			return false;
	statement->operands_count = 2;
	statement->kind = SQL_INSERT;
	statement->keep_existing = conflict != NULL;
	return !conflict || !g_strcmp0(string_field(conflict, "action"),
				       "ONCONFLICT_NOTHING");
}

static bool read_change(sql_script_t *script, sql_statement_t *statement,
			const json_t *node, sql_kind_t kind)
{
	const json_t *targets = json_object_get(node, "targetList");
	const json_t *target =
		json_object_get(json_array_get(targets, 0), "ResTarget");

	statement->kind = kind;
	statement->name = g_strdup(
		string_field(json_object_get(node, "relation"), "relname"));
	if (!add_key(script, statement, json_object_get(node, "whereClause")))
		return false;
	if (kind == SQL_DELETE)
		return true;
	if (json_array_size(targets) != 1 ||
	    g_strcmp0(string_field(target, "name"), "value"))
		return false;
	return add_operand(script, statement, json_object_get(target, "val"));
}

static bool read_function(sql_script_t *script, sql_statement_t *statement,
			  const json_t *call)
{
	const json_t *arguments = json_object_get(call, "args");
	const char *name = last_name(json_object_get(call, "funcname"));

	statement->kind = SQL_FUNCTION;
	statement->name = g_strdup(name);
	for (size_t i = 0; i < json_array_size(arguments); i++)
		if (!add_operand(script, statement,
				 json_array_get(arguments, i)))
			return false;
	if (!g_strcmp0(name, "group_point")) {
		for (size_t i = 0; i < G_N_ELEMENTS(point_columns); i++)
			add_column(statement, point_columns[i]);
	} else if (g_str_has_prefix(name ?: "", "group_")) {
		for (size_t i = 0; i < G_N_ELEMENTS(status_columns); i++)
			add_column(statement, status_columns[i]);
	} else {
		add_column(statement, name);
	}
	return name != NULL;
}

static bool read_table_columns(sql_statement_t *statement,
			       const json_t *targets)
{
	for (size_t i = 0; i < json_array_size(targets); i++) {
		const json_t *value = json_object_get(
			json_object_get(json_array_get(targets, i),
					"ResTarget"),
			"val");
		const json_t *fields = json_object_get(
			json_object_get(value, "ColumnRef"), "fields");
		const char *name = last_name(fields);

		if (json_object_get(json_array_get(fields, 0), "A_Star")) {
			add_column(statement, "key");
			add_column(statement, "value");
		} else if (!g_strcmp0(name, "key") ||
			   !g_strcmp0(name, "value")) {
			add_column(statement, name);
		} else {
			return false;
		}
	}
	return true;
}

static bool read_constants(sql_script_t *script, sql_statement_t *statement,
			   const json_t *targets)
{
	statement->kind = SQL_SELECT_CONSTANT;
	for (size_t i = 0; i < json_array_size(targets); i++) {
		const json_t *target = json_object_get(
			json_array_get(targets, i), "ResTarget");

		if (!add_operand(script, statement,
				 json_object_get(target, "val")))
			return false;
		add_column(statement,
			   string_field(target, "name") ?: "?column?");
	}
	return true;
}

static bool read_select(sql_script_t *script, sql_statement_t *statement,
			const json_t *node)
{
	const json_t *targets = json_object_get(node, "targetList");
	const json_t *from =
		json_array_get(json_object_get(node, "fromClause"), 0);
	const json_t *functions = json_object_get(
		json_object_get(from, "RangeFunction"), "functions");
	const json_t *called = json_array_get(
		json_object_get(
			json_object_get(json_array_get(functions, 0), "List"),
			"items"),
		0);
	const json_t *first = json_object_get(
		json_object_get(json_array_get(targets, 0), "ResTarget"),
		"val");
	const json_t *where = json_object_get(node, "whereClause");

	if (called)
		return read_function(script, statement,
				     json_object_get(called, "FuncCall"));
	if (!from && json_object_get(first, "FuncCall"))
		return read_function(script, statement,
				     json_object_get(first, "FuncCall"));
	if (!from)
		return read_constants(script, statement, targets);
	statement->name = g_strdup(
		string_field(json_object_get(from, "RangeVar"), "relname"));
	if (where && !add_key(script, statement, where))
		return false;
	if (json_is_true(json_object_get(json_object_get(first, "FuncCall"),
					 "agg_star"))) {
		statement->kind = SQL_SELECT_COUNT;
		add_column(statement, "count");
		return true;
	}
	statement->kind = where ? SQL_SELECT_KEY : SQL_SELECT_ALL;
	return statement->name && read_table_columns(statement, targets);
}

static bool read_transaction(sql_statement_t *statement, const json_t *node)
{
	const char *kind = string_field(node, "kind");
	const json_t *options = json_object_get(node, "options");

	for (size_t i = 0; i < json_array_size(options); i++) {
		const json_t *option =
			json_object_get(json_array_get(options, i), "DefElem");
		const json_t *number = json_object_get(
			json_object_get(json_object_get(option, "arg"),
					"A_Const"),
			"ival");

		if (!g_strcmp0(string_field(option, "defname"),
			       "transaction_read_only"))
			statement->read_only = json_integer_value(
				json_object_get(number, "ival"));
	}
	if (!g_strcmp0(kind, "TRANS_STMT_BEGIN") ||
	    !g_strcmp0(kind, "TRANS_STMT_START"))
		statement->kind = SQL_BEGIN;
	else if (!g_strcmp0(kind, "TRANS_STMT_COMMIT"))
		statement->kind = SQL_COMMIT;
	else if (!g_strcmp0(kind, "TRANS_STMT_ROLLBACK"))
		statement->kind = SQL_ROLLBACK;
	return statement->kind != SQL_UNSUPPORTED;
}

static bool read_setting(sql_script_t *script, sql_statement_t *statement,
			 const json_t *node)
{
	const json_t *arguments = json_object_get(node, "args");

	statement->kind = SQL_SET;
	statement->name = g_strdup(string_field(node, "name") ?: "all");
	if (json_array_size(arguments))
		return add_operand(script, statement,
				   json_array_get(arguments, 0));
	statement->operands_count = 1;
	return true;
}

static bool read_statement(sql_script_t *script, sql_statement_t *statement,
			   const json_t *tree)
{
	const char *type = json_object_iter_key(
		json_object_iter((json_t *)(uintptr_t)tree));
	const json_t *node = json_object_get(tree, type ?: "");

	if (!g_strcmp0(type, "InsertStmt"))
		return read_insert(script, statement, node);
	if (!g_strcmp0(type, "UpdateStmt"))
		return read_change(script, statement, node, SQL_UPDATE);
	if (!g_strcmp0(type, "DeleteStmt"))
		return read_change(script, statement, node, SQL_DELETE);
	if (!g_strcmp0(type, "SelectStmt"))
		return read_select(script, statement, node);
	if (!g_strcmp0(type, "TransactionStmt"))
		return read_transaction(statement, node);
	if (!g_strcmp0(type, "VariableSetStmt"))
		return read_setting(script, statement, node);
	if (!g_strcmp0(type, "VariableShowStmt")) {
		statement->kind = SQL_SHOW;
		statement->name = g_strdup(string_field(node, "name"));
		add_column(statement, statement->name);
		return true;
	}
	if (!g_strcmp0(type, "CreateStmt")) {
		statement->kind = SQL_CREATE;
		statement->name = g_strdup(string_field(
			json_object_get(node, "relation"), "relname"));
		statement->keep_existing =
			json_is_true(json_object_get(node, "if_not_exists"));
		return true;
	}
	return false;
}

static void read_tree(sql_script_t *script, const char *text)
{
	json_t *root = json_loads(text, 0, NULL);
	const json_t *list = json_object_get(root, "stmts");

	for (size_t i = 0; i < json_array_size(list); i++) {
		const json_t *tree =
			json_object_get(json_array_get(list, i), "stmt");
		sql_statement_t *statement = g_new0(sql_statement_t, 1);

		if (!read_statement(script, statement, tree))
			statement->kind = SQL_UNSUPPORTED;
		g_ptr_array_add(script->statements, statement);
	}
	json_decref(root);
}

sql_script_t *sql_script_new(const char *text)
{
	sql_script_t *script = g_new0(sql_script_t, 1);
	PgQueryParseResult result = pg_query_parse(text);

	script->references = 1;
	script->statements = g_ptr_array_new_with_free_func(statement_delete);
	if (result.error)
		script->error = g_strdup(result.error->message);
	else
		read_tree(script, result.parse_tree);
	pg_query_free_parse_result(result);
	return script;
}

sql_script_t *sql_script_ref(sql_script_t *script)
{
	script->references++;
	return script;
}

void sql_script_unref(void *data)
{
	sql_script_t *script = data;

	if (--script->references)
		return;
	g_ptr_array_unref(script->statements);
	g_free(script->error);
	g_free(script);
}
