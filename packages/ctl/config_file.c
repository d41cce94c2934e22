#include <string.h>

#include <glib.h>
#include <yaml.h>

#include "config_file.h"
#include "suggest.h"

enum {
	FILE_MAX_BYTES = 1 << 20,
	KEYS_MAX = 32,
	DIGITS_MAX = 18, /* always fit into 64 bits */
};

struct config_file {
	char *path;
	const struct schema *schema;
	void *values;
	char *name;
	GHashTable *positions;	 /* key -> struct position of its value */
	GHashTable *valid_texts; /* key -> value as text, without invalid ones */
	struct position start;
};

/* State of the check of one file. */
struct checker {
	struct config_file *cf;
	yaml_document_t *doc;
	GHashTable *key_lines; /* known key -> line, to find duplicates */
	struct diagnostics *diags;
};

static struct position position_of_mark(const yaml_mark_t *mark)
{
	return (struct position){ (uint32_t)mark->line + 1, (uint32_t)mark->column + 1 };
}

static const char *scalar_text(const yaml_node_t *node)
{
	return (const char *)node->data.scalar.value;
}

static void check_name(struct checker *c, const char *key, const char *value, struct position at)
{
	size_t n = strlen(value);

	if (n == 0)
		diagnostics_add(c->diags, c->cf->path, at, "%s: the name is empty", key);
	else if (n > SCHEMA_NAME_MAX_BYTES)
		diagnostics_add(c->diags, c->cf->path, at, "%s: the name is longer than %d bytes",
				key, SCHEMA_NAME_MAX_BYTES);
	else if (!g_ascii_islower(value[0]) ||
		 strspn(value, "abcdefghijklmnopqrstuvwxyz0123456789-") != n)
		diagnostics_add(c->diags, c->cf->path, at,
				"%s: \"%s\" is not a name of a-z, 0-9 and hyphens after a letter",
				key, value);
}

static void check_uint(struct checker *c, const char *key, const char *value, struct position at)
{
	const struct schema_range *range = schema_range(c->cf->schema, key);
	size_t n = strlen(value);
	uint64_t number;

	if (n == 0 || n > DIGITS_MAX || strspn(value, "0123456789") != n ||
	    (n > 1 && value[0] == '0')) {
		diagnostics_add(c->diags, c->cf->path, at, "%s: \"%s\" is not a whole number", key,
				value);
		return;
	}
	number = g_ascii_strtoull(value, NULL, 10);
	if (number < range->min || number > range->max)
		diagnostics_add(c->diags, c->cf->path, at,
				"%s: %s is not between %" G_GUINT64_FORMAT
				" and %" G_GUINT64_FORMAT,
				key, value, range->min, range->max);
}

static void check_bool(struct checker *c, const char *key, const char *value, struct position at)
{
	if (strcmp(value, "true") != 0 && strcmp(value, "false") != 0)
		diagnostics_add(c->diags, c->cf->path, at, "%s: \"%s\" is neither true nor false",
				key, value);
}

static void check_enum(struct checker *c, const cyaml_schema_field_t *field, const char *value,
		       struct position at)
{
	const char *names[KEYS_MAX];
	size_t n = field->value.enumeration.count;
	g_autofree char *hint = NULL;

	for (size_t i = 0; i < n; i++) {
		names[i] = field->value.enumeration.strings[i].str;
		if (strcmp(names[i], value) == 0)
			return;
	}
	hint = suggest_text(value, names, n);
	diagnostics_add(c->diags, c->cf->path, at, "%s: unknown value \"%s\"%s", field->key, value,
			hint);
}

static void check_value(struct checker *c, const cyaml_schema_field_t *field,
			const yaml_node_t *node)
{
	struct position at = position_of_mark(&node->start_mark);

	if (node->type != YAML_SCALAR_NODE) {
		diagnostics_add(c->diags, c->cf->path, at, "%s: must be a single value",
				field->key);
		return;
	}
	switch (field->value.type) {
	case CYAML_STRING:
		check_name(c, field->key, scalar_text(node), at);
		break;
	case CYAML_UINT:
		check_uint(c, field->key, scalar_text(node), at);
		break;
	case CYAML_BOOL:
		check_bool(c, field->key, scalar_text(node), at);
		break;
	case CYAML_ENUM:
		check_enum(c, field, scalar_text(node), at);
		break;
	default:
		g_assert_not_reached();
	}
}

static void add_unknown_key(struct checker *c, const char *key, struct position at)
{
	const cyaml_schema_field_t *field = c->cf->schema->root->mapping.fields;
	const char *known[KEYS_MAX];
	g_autofree char *hint = NULL;
	size_t n = 0;

	for (; field->key && n < KEYS_MAX; field++)
		known[n++] = field->key;
	hint = suggest_text(key, known, n);
	diagnostics_add(c->diags, c->cf->path, at, "unknown key \"%s\"%s", key, hint);
}

static void check_pair(struct checker *c, const yaml_node_t *key_node, const yaml_node_t *value)
{
	struct position at = position_of_mark(&key_node->start_mark);
	size_t before = diagnostics_count(c->diags);
	const cyaml_schema_field_t *field;
	struct position *position;
	const char *key;
	guint first_line;

	if (key_node->type != YAML_SCALAR_NODE) {
		diagnostics_add(c->diags, c->cf->path, at, "a key must be a scalar");
		return;
	}
	key = scalar_text(key_node);
	field = schema_field(c->cf->schema, key);
	if (!field) {
		add_unknown_key(c, key, at);
		return;
	}
	first_line = GPOINTER_TO_UINT(g_hash_table_lookup(c->key_lines, key));
	if (first_line) {
		diagnostics_add(c->diags, c->cf->path, at,
				"key \"%s\" is given twice, first on line %u", key, first_line);
		return;
	}
	g_hash_table_insert(c->key_lines, g_strdup(key), GUINT_TO_POINTER(at.line));
	position = g_new(struct position, 1);
	*position = position_of_mark(&value->start_mark);
	g_hash_table_insert(c->cf->positions, g_strdup(key), position);
	if (strcmp(key, c->cf->schema->name_key) == 0 && value->type == YAML_SCALAR_NODE)
		c->cf->name = g_strdup(scalar_text(value));
	check_value(c, field, value);
	if (diagnostics_count(c->diags) == before)
		g_hash_table_insert(c->cf->valid_texts, g_strdup(key),
				    g_strdup(scalar_text(value)));
}

static void check_required(struct checker *c)
{
	const cyaml_schema_field_t *field = c->cf->schema->root->mapping.fields;

	for (; field->key; field++)
		if (!(field->value.flags & CYAML_FLAG_OPTIONAL) &&
		    !config_file_has_key(c->cf, field->key))
			diagnostics_add(c->diags, c->cf->path, c->cf->start, "missing key \"%s\"",
					field->key);
}

static bool check_document(struct checker *c)
{
	yaml_node_t *root = yaml_document_get_root_node(c->doc);
	const yaml_node_pair_t *pair;

	if (!root || root->type != YAML_MAPPING_NODE) {
		struct position at =
			root ? position_of_mark(&root->start_mark) : (struct position){ 1, 1 };

		diagnostics_add(c->diags, c->cf->path, at,
				"a %s must be a mapping of keys to values", c->cf->schema->kind);
		return false;
	}
	c->cf->start = position_of_mark(&root->start_mark);
	for (pair = root->data.mapping.pairs.start; pair < root->data.mapping.pairs.top; pair++)
		check_pair(c, yaml_document_get_node(c->doc, pair->key),
			   yaml_document_get_node(c->doc, pair->value));
	check_required(c);
	return true;
}

static void add_syntax_error(const struct config_file *cf, const yaml_parser_t *parser,
			     struct diagnostics *diags)
{
	struct position at = position_of_mark(&parser->problem_mark);

	diagnostics_add(diags, cf->path, at, "%s%s%s",
			parser->problem ? parser->problem : "not YAML", parser->context ? " " : "",
			parser->context ? parser->context : "");
}

/* Reports a second YAML document, which would otherwise be ignored silently. */
static void check_single_document(struct config_file *cf, yaml_parser_t *parser,
				  struct diagnostics *diags)
{
	yaml_document_t doc;
	yaml_node_t *root;

	if (!yaml_parser_load(parser, &doc)) {
		add_syntax_error(cf, parser, diags);
		return;
	}
	root = yaml_document_get_root_node(&doc);
	if (root)
		diagnostics_add(diags, cf->path, position_of_mark(&root->start_mark),
				"a %s must have a single document", cf->schema->kind);
	yaml_document_delete(&doc);
}

static bool check_yaml(struct config_file *cf, const char *text, size_t size,
		       struct diagnostics *diags)
{
	struct checker c = { .cf = cf, .diags = diags };
	yaml_document_t doc;
	yaml_parser_t parser;
	bool ok = false;

	yaml_parser_initialize(&parser);
	yaml_parser_set_input_string(&parser, (const unsigned char *)text, size);
	if (!yaml_parser_load(&parser, &doc)) {
		add_syntax_error(cf, &parser, diags);
		yaml_parser_delete(&parser);
		return false;
	}
	c.doc = &doc;
	c.key_lines = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	ok = check_document(&c);
	g_hash_table_unref(c.key_lines);
	if (ok)
		check_single_document(cf, &parser, diags);
	yaml_document_delete(&doc);
	yaml_parser_delete(&parser);
	return ok;
}

/* Keeps only the first line that libcyaml logs, as the error message. */
static void G_GNUC_PRINTF(3, 0)
	keep_first_log_line(cyaml_log_t level, void *ctx, const char *fmt, va_list args)
{
	char **first = ctx;

	if (!*first)
		*first = g_strchomp(g_strdup_vprintf(fmt, args));
}

static void load_values(struct config_file *cf, const char *text, size_t size,
			const cyaml_schema_value_t *root, struct diagnostics *diags)
{
	g_autofree char *log = NULL;
	const cyaml_config_t config = {
		.log_fn = keep_first_log_line,
		.log_ctx = &log,
		.mem_fn = cyaml_mem,
		.log_level = CYAML_LOG_ERROR,
		.flags = CYAML_CFG_NO_ALIAS,
	};
	cyaml_err_t err =
		cyaml_load_data((const uint8_t *)text, size, &config, root, &cf->values, NULL);

	if (err == CYAML_OK)
		return;
	cf->values = NULL;
	diagnostics_add(diags, cf->path, cf->start, "%s", log ? log : cyaml_strerror(err));
}

/* Loads only the valid keys and makes all keys optional, so that later checks can still run. */
static void load_valid_keys(struct config_file *cf, struct diagnostics *diags)
{
	cyaml_schema_field_t fields[KEYS_MAX] = { 0 };
	cyaml_schema_value_t root = *cf->schema->root;
	g_autoptr(GString) text = g_string_new("{");
	GHashTableIter iter;
	void *key, *value;

	for (size_t i = 0; root.mapping.fields[i].key; i++) {
		g_assert(i + 1 < KEYS_MAX);
		fields[i] = root.mapping.fields[i];
		fields[i].value.flags |= CYAML_FLAG_OPTIONAL;
	}
	root.mapping.fields = fields;
	g_hash_table_iter_init(&iter, cf->valid_texts);
	while (g_hash_table_iter_next(&iter, &key, &value))
		g_string_append_printf(text, "%s: %s,", (char *)key, (char *)value);
	g_string_append_c(text, '}');
	load_values(cf, text->str, text->len, &root, diags);
}

static char *read_text(const char *path, size_t *size, struct diagnostics *diags)
{
	g_autoptr(GError) error = NULL;
	char *text;

	if (!g_file_get_contents(path, &text, size, &error)) {
		diagnostics_add(diags, path, (struct position){ 1, 1 }, "%s", error->message);
		return NULL;
	}
	if (*size <= FILE_MAX_BYTES)
		return text;
	diagnostics_add(diags, path, (struct position){ 1, 1 }, "the file is larger than %d bytes",
			FILE_MAX_BYTES);
	g_free(text);
	return NULL;
}

struct config_file *config_file_load(const char *path, const struct schema *schema,
				     struct diagnostics *diags)
{
	size_t size, before = diagnostics_count(diags);
	g_autofree char *text = read_text(path, &size, diags);
	struct config_file *cf;

	if (!text)
		return NULL;
	cf = g_new0(struct config_file, 1);
	cf->path = g_strdup(path);
	cf->schema = schema;
	cf->start = (struct position){ 1, 1 };
	cf->positions = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	cf->valid_texts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	if (check_yaml(cf, text, size, diags)) {
		if (diagnostics_count(diags) == before)
			load_values(cf, text, size, schema->root, diags);
		else
			load_valid_keys(cf, diags);
	}
	if (cf->values)
		return cf;
	config_file_destroy(cf);
	return NULL;
}

void config_file_destroy(struct config_file *cf)
{
	const cyaml_config_t config = { .mem_fn = cyaml_mem };

	if (!cf)
		return;
	if (cf->values)
		cyaml_free(&config, cf->schema->root, cf->values, 0);
	g_hash_table_unref(cf->positions);
	g_hash_table_unref(cf->valid_texts);
	g_free(cf->name);
	g_free(cf->path);
	g_free(cf);
}

const char *config_file_path(const struct config_file *cf)
{
	return cf->path;
}

const struct schema *config_file_schema(const struct config_file *cf)
{
	return cf->schema;
}

const void *config_file_values(const struct config_file *cf)
{
	return cf->values;
}

bool config_file_has_key(const struct config_file *cf, const char *key)
{
	return g_hash_table_contains(cf->positions, key);
}

bool config_file_key_valid(const struct config_file *cf, const char *key)
{
	return g_hash_table_contains(cf->valid_texts, key);
}

struct position config_file_position(const struct config_file *cf, const char *key)
{
	const struct position *at = g_hash_table_lookup(cf->positions, key);

	return at ? *at : cf->start;
}

const char *config_file_name(const struct config_file *cf)
{
	return cf->name;
}
