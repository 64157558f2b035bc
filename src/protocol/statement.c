#include "protocol/statement.h"

#include <string.h>

#include <jansson.h>
#include <pg_query.h>

#include "protocol/safe_function.h"

/* Nesting limit of a parse tree; a deeper statement counts as a write. */
#define DEPTH_MAX 500

#define SETTING_PREFIX "toucanhook."

/* DeclareCursorStmt.options as in PostgreSQL's parsenodes.h. */
#define CURSOR_OPTION_HOLD 0x0020

/* Functions that use session-level advisory locks. */
static const char *const session_lock_functions[] = {
	"pg_advisory_lock",	     "pg_advisory_lock_shared",
	"pg_try_advisory_lock",	     "pg_try_advisory_lock_shared",
	"pg_advisory_unlock",	     "pg_advisory_unlock_all",
	"pg_advisory_unlock_shared",
};

/* Statement that is unsupported on shared server connections. */
typedef struct {
	const char *node;   /* name of its parse tree node */
	const char *reason; /* name of the feature, for the caller */
} refusal_t;

static const refusal_t refusals[] = {
	{"ListenStmt", "LISTEN"},
	{"UnlistenStmt", "UNLISTEN"},
	{"CopyStmt", "COPY"},
	{"PrepareStmt", "PREPARE in SQL"},
	{"ExecuteStmt", "EXECUTE in SQL"},
	{"DeallocateStmt", "DEALLOCATE in SQL"},
	{"LoadStmt", "LOAD"},
};

/* Result of scanning one statement's parse tree. */
typedef struct {
	bool safe;	     /* any replica may run the statement */
	const char *refused; /* unsupported feature, or NULL */
} findings_t;

static bool is_in_list(const char *name, const char *const *names, size_t count)
{
	size_t i;

	for (i = 0; i < count; i++)
		if (strcmp(name, names[i]) == 0)
			return true;
	return false;
}

static void scan_function(json_t *call, findings_t *findings)
{
	json_t *names = json_object_get(call, "funcname");
	const size_t count = json_array_size(names);
	const char *schema = NULL;
	const char *name = NULL;

	if (count < 1 || count > 2) {
		findings->safe = false;
		return;
	}
	if (json_unpack(json_array_get(names, count - 1), "{s:{s:s}}", "String",
			"sval", &name) < 0) {
		findings->safe = false;
		return;
	}
	if (count == 2)
		json_unpack(json_array_get(names, 0), "{s:{s:s}}", "String",
			    "sval", &schema);
	if (is_in_list(name, session_lock_functions,
		       G_N_ELEMENTS(session_lock_functions)))
		findings->refused = "a session's advisory lock";
	if (!strcmp(name, "set_config"))
		findings->refused = "set_config";
	if (count == 2 && (!schema || strcmp(schema, "pg_catalog") != 0))
		findings->safe = false;
	if (!safe_function_is_known(name))
		findings->safe = false;
}

static void scan_key(const char *key, json_t *value, findings_t *findings)
{
	const char *text_value = NULL;
	json_int_t options = 0;

	if (strcmp(key, "FuncCall") == 0)
		scan_function(value, findings);
	if (g_str_has_suffix(key, "Stmt") && strcmp(key, "SelectStmt") != 0)
		findings->safe = false;
	if (strcmp(key, "lockingClause") == 0 || strcmp(key, "intoClause") == 0)
		findings->safe = false;
	if (strcmp(key, "relpersistence") == 0) {
		text_value = json_string_value(value);
		if (text_value && strcmp(text_value, "t") == 0)
			findings->refused = "a temporary table";
	}
	if (strcmp(key, "schemaname") == 0) {
		text_value = json_string_value(value);
		if (text_value && strcmp(text_value, "pg_temp") == 0)
			findings->refused = "a temporary table";
	}
	if (strcmp(key, "DeclareCursorStmt") == 0) {
		options = json_integer_value(json_object_get(value, "options"));
		if (options & CURSOR_OPTION_HOLD)
			findings->refused = "a cursor WITH HOLD";
	}
}

/* NOLINTNEXTLINE(misc-no-recursion): DEPTH_MAX bounds it. */
static void scan_node(json_t *node, uint32_t depth, findings_t *findings)
{
	const char *key = NULL;
	json_t *value = NULL;
	size_t i = 0;

	if (depth > DEPTH_MAX) {
		findings->safe = false;
		return;
	}
	if (json_is_array(node)) {
		json_array_foreach(node, i, value)
			scan_node(value, depth + 1, findings);
		return;
	}
	json_object_foreach(node, key, value)
	{
		scan_key(key, value, findings);
		scan_node(value, depth + 1, findings);
	}
}

static const char *find_refusal(const char *node)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(refusals); i++)
		if (strcmp(refusals[i].node, node) == 0)
			return refusals[i].reason;
	return NULL;
}

static bool is_read_only(json_t *transaction)
{
	json_t *option = NULL;
	size_t i = 0;

	json_array_foreach(json_object_get(transaction, "options"), i, option)
	{
		const char *name = NULL;
		int on = 0;

		if (json_unpack(option, "{s:{s:s, s:{s:{s:{s:i}}}}}", "DefElem",
				"defname", &name, "arg", "A_Const", "ival",
				"ival", &on) == 0 &&
		    strcmp(name, "transaction_read_only") == 0)
			return on != 0;
	}
	return false;
}

static void classify_transaction(json_t *node, statement_t *statement)
{
	const char *kind = json_string_value(json_object_get(node, "kind"));

	if (!kind)
		kind = "";
	if (json_is_true(json_object_get(node, "chain"))) {
		statement->statement_class = STATEMENT_REFUSED;
		statement->reason = "AND CHAIN";
	} else if (strcmp(kind, "TRANS_STMT_BEGIN") == 0 ||
		   strcmp(kind, "TRANS_STMT_START") == 0) {
		statement->statement_class = STATEMENT_BEGIN;
		statement->read_only = is_read_only(node);
	} else if (strcmp(kind, "TRANS_STMT_COMMIT") == 0) {
		statement->statement_class = STATEMENT_COMMIT;
	} else if (strcmp(kind, "TRANS_STMT_ROLLBACK") == 0) {
		statement->statement_class = STATEMENT_ROLLBACK;
	} else if (strcmp(kind, "TRANS_STMT_SAVEPOINT") == 0 ||
		   strcmp(kind, "TRANS_STMT_RELEASE") == 0 ||
		   strcmp(kind, "TRANS_STMT_ROLLBACK_TO") == 0) {
		statement->statement_class = STATEMENT_SAVEPOINT;
	} else {
		statement->statement_class = STATEMENT_REFUSED;
		statement->reason = "a two-phase commit";
	}
}

/* @return the constant as text, or NULL if the node is not a constant */
static char *constant_text(json_t *argument)
{
	json_t *constant = json_object_get(argument, "A_Const");
	json_t *value = NULL;

	if (!constant)
		return NULL;
	value = json_object_get(constant, "sval");
	if (value)
		return g_strdup(
			json_string_value(json_object_get(value, "sval")));
	value = json_object_get(constant, "fval");
	if (value)
		return g_strdup(
			json_string_value(json_object_get(value, "fval")));
	value = json_object_get(constant, "ival");
	if (value)
		return g_strdup_printf(
			"%" JSON_INTEGER_FORMAT,
			json_integer_value(json_object_get(value, "ival")));
	return NULL;
}

static char *set_value(json_t *arguments)
{
	g_autoptr(GString) text = g_string_new("");
	json_t *argument = NULL;
	size_t i = 0;

	json_array_foreach(arguments, i, argument)
	{
		g_autofree char *part = constant_text(argument);

		if (!part)
			return NULL;
		if (i)
			g_string_append(text, ", ");
		g_string_append(text, part);
	}
	return g_string_free(g_steal_pointer(&text), FALSE);
}

static void classify_set(json_t *node, statement_t *statement)
{
	const char *kind = json_string_value(json_object_get(node, "kind"));
	const char *name = json_string_value(json_object_get(node, "name"));

	if (!kind)
		kind = "";
	/* SET LOCAL and SET TRANSACTION only last for their transaction. */
	if (json_is_true(json_object_get(node, "is_local")) ||
	    (strcmp(kind, "VAR_SET_MULTI") == 0 && name &&
	     strcmp(name, "TRANSACTION") == 0)) {
		statement->statement_class = STATEMENT_SAVEPOINT;
		return;
	}
	if (name)
		statement->name = g_ascii_strdown(name, -1);
	if (g_str_has_prefix(kind, "VAR_RESET")) {
		statement->statement_class = STATEMENT_RESET;
		return;
	}
	statement->statement_class = STATEMENT_SET;
	if (strcmp(kind, "VAR_SET_VALUE") == 0)
		statement->value = set_value(json_object_get(node, "args"));
	else if (strcmp(kind, "VAR_SET_DEFAULT") == 0)
		statement->statement_class = STATEMENT_RESET;
	if (!statement->name)
		statement->name = g_strdup("");
}

static void classify_show(json_t *node, statement_t *statement)
{
	const char *name = json_string_value(json_object_get(node, "name"));
	g_autofree char *lower = g_ascii_strdown(name ? name : "", -1);

	/* The server answers SHOW of any setting but the proxy's own. */
	if (!g_str_has_prefix(lower, SETTING_PREFIX)) {
		statement->statement_class = STATEMENT_READ;
		return;
	}
	statement->statement_class = STATEMENT_SHOW;
	statement->name = g_steal_pointer(&lower);
}

static void classify_other(json_t *tree, statement_t *statement)
{
	findings_t findings = {.safe = true};

	scan_node(tree, 0, &findings);
	statement->statement_class = STATEMENT_WRITE;
	if (findings.refused) {
		statement->statement_class = STATEMENT_REFUSED;
		statement->reason = findings.refused;
	} else if (findings.safe) {
		statement->statement_class = STATEMENT_READ;
	}
}

static void classify_statement(json_t *raw, statement_t *statement)
{
	json_t *stmt = json_object_get(raw, "stmt");
	void *first = json_object_iter(stmt);
	const char *type = first ? json_object_iter_key(first) : "";
	json_t *node = first ? json_object_iter_value(first) : NULL;

	statement->reason = find_refusal(type);
	if (statement->reason)
		statement->statement_class = STATEMENT_REFUSED;
	else if (strcmp(type, "TransactionStmt") == 0)
		classify_transaction(node, statement);
	else if (strcmp(type, "VariableSetStmt") == 0)
		classify_set(node, statement);
	else if (strcmp(type, "VariableShowStmt") == 0)
		classify_show(node, statement);
	else if (strcmp(type, "DiscardStmt") == 0)
		statement->statement_class = STATEMENT_RESET;
	else if (strcmp(type, "ExplainStmt") == 0)
		classify_other(json_object_get(node, "query"), statement);
	else
		classify_other(stmt, statement);
}

/* Updates the classification of a text by one of its statements. */
static void add_statement(json_t *raw, statement_t *statement)
{
	statement_t one = {.reason = NULL};

	classify_statement(raw, &one);
	g_free(one.name);
	g_free(one.value);
	switch (one.statement_class) {
	case STATEMENT_READ:
		return;
	case STATEMENT_WRITE:
	case STATEMENT_SAVEPOINT:
		statement->statement_class = STATEMENT_WRITE;
		return;
	case STATEMENT_REFUSED:
		statement->reason = one.reason;
		break;
	default:
		statement->reason = "transaction control or a session setting "
				    "among several statements";
	}
	statement->statement_class = STATEMENT_REFUSED;
}

/*
 * Multiple statements in one text run as one implicit transaction, so they
 * are relayed together unless one of them changes the session.
 */
static void classify_multiple(json_t *list, statement_t *statement)
{
	json_t *raw = NULL;
	size_t i = 0;

	statement->statement_class = STATEMENT_READ;
	json_array_foreach(list, i, raw)
	{
		add_statement(raw, statement);
		if (statement->statement_class == STATEMENT_REFUSED)
			return;
	}
}

statement_t *statement_parse(const char *sql)
{
	statement_t *statement = g_rc_box_new0(statement_t);
	const PgQueryParseResult result = pg_query_parse(sql);
	json_t *root = NULL;
	json_t *list = NULL;

	statement->statement_class = STATEMENT_WRITE;
	if (!result.error)
		root = json_loads(result.parse_tree, 0, NULL);
	list = json_object_get(root, "stmts");
	if (list) {
		statement->parsed = true;
		statement->count = (uint32_t)json_array_size(list);
		if (statement->count == 0)
			statement->statement_class = STATEMENT_EMPTY;
		else if (statement->count == 1)
			classify_statement(json_array_get(list, 0), statement);
		else
			classify_multiple(list, statement);
	}
	json_decref(root);
	pg_query_free_parse_result(result);
	return statement;
}

statement_t *statement_ref(statement_t *statement)
{
	return g_rc_box_acquire(statement);
}

static void statement_clear(gpointer data)
{
	statement_t *statement = data;

	g_free(statement->name);
	g_free(statement->value);
}

void statement_unref(statement_t *statement)
{
	if (statement)
		g_rc_box_release_full(statement, statement_clear);
}
