#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <cyaml/cyaml.h>
#include <glib.h>
#include <yaml.h>

#include "settings.h"

#define STEP "settings"

/* Filled by libcyaml; keys missing from the file stay NULL. */
#define FILE_STRING(key, def, max_bytes) char *key;
#define FILE_NUMBER(key, def, min, max)	 uint32_t *key;

struct settings_file {
	SETTINGS_STRINGS(FILE_STRING)
	SETTINGS_NUMBERS(FILE_NUMBER)
};

#define PRESENCE_FLAGS(has_default) (CYAML_FLAG_POINTER | ((has_default) ? CYAML_FLAG_OPTIONAL : 0))

/* clang-format off */
#define SCHEMA_STRING(field, def, max_bytes)                                                       \
	{                                                                                          \
		.key = #field,                                                                     \
		.value = {                                                                         \
			.type = CYAML_STRING,                                                      \
			.flags = PRESENCE_FLAGS((def) != NULL),                                    \
			.data_size = sizeof(char),                                                 \
			.string = { .min = 1, .max = (max_bytes) },                                \
		},                                                                                 \
		.data_offset = offsetof(struct settings_file, field),                              \
	},
#define SCHEMA_NUMBER(field, def, min, max)                                                        \
	{                                                                                          \
		.key = #field,                                                                     \
		.value = {                                                                         \
			.type = CYAML_UINT,                                                        \
			.flags = PRESENCE_FLAGS((def) != 0),                                       \
			.data_size = sizeof(uint32_t),                                             \
		},                                                                                 \
		.data_offset = offsetof(struct settings_file, field),                              \
	},
/* clang-format on */

static const cyaml_schema_field_t schema_fields[] = { SETTINGS_STRINGS(
	SCHEMA_STRING) SETTINGS_NUMBERS(SCHEMA_NUMBER) CYAML_FIELD_END };

static const cyaml_schema_value_t schema = {
	CYAML_VALUE_MAPPING(CYAML_FLAG_POINTER, struct settings_file, schema_fields),
};

struct number_key {
	const char *key;
	size_t offset; /* in struct settings */
	uint32_t min;
	uint32_t max;
};

#define NUMBER_KEY(field, def, min, max) { #field, offsetof(struct settings, field), min, max },

static const struct number_key number_keys[] = { SETTINGS_NUMBERS(NUMBER_KEY) };

/* Relation of two keys: times * left must be below right, or at most right if or_equal. */
struct rule {
	const char *left;
	uint32_t times;
	bool or_equal;
	const char *right;
};

static const struct rule rules[] = {
	{ "guard_ms", 1, false, "lease_ms" },
	{ "renew_ms", 2, false, "lease_ms" },
	{ "lease_ms", 1, false, "task_lease_ms" },
	{ "reopen_min_ms", 1, true, "reopen_max_ms" },
	{ "beat_ms", 2, true, "suspect_ms" },
	{ "suspect_ms", 1, false, "dead_ms" },
	{ "log_retry_min_ms", 1, true, "log_retry_max_ms" },
	{ "vote_skew_ms", 1, true, "vote_guard_ms" },
	{ "vote_stale_ms", 1, false, "vote_guard_ms" },
	{ "vms_poll_ms", 1, false, "vote_stale_ms" },
	{ "vote_guard_ms", 1, false, "vote_keep_ms" },
	{ "progress_ms", 1, false, "claim_use_ms" },
	{ "team_queue_max", 1, true, "queue_max" },
	{ "quarantine_min_ms", 1, true, "quarantine_max_ms" },
	{ "chunk_bytes", 1, true, "credit_bytes" },
	{ "chunk_bytes", 1, false, "frame_max_bytes" },
	{ "body_max_bytes", 1, false, "frame_max_bytes" },
	{ "frame_max_bytes", 1, true, "link_queue_max_bytes" },
};

/* State of loading one file. */
struct loader {
	const char *path;
	struct status *st;
	yaml_document_t doc;
	char message[200]; /* first error that libcyaml logged */
	char key[64];	   /* key that the error is about */
};

const char *settings_key(size_t i)
{
	return i < G_N_ELEMENTS(schema_fields) ? schema_fields[i].key : NULL;
}

static bool fail(struct loader *l, size_t line, const char *fmt, ...) G_GNUC_PRINTF(3, 4);

static bool fail(struct loader *l, size_t line, const char *fmt, ...)
{
	g_autofree char *text = NULL;
	va_list ap;

	va_start(ap, fmt);
	text = g_strdup_vprintf(fmt, ap);
	va_end(ap);
	return status_set(l->st, STATUS_INVALID, STEP, l->path, "%s:%zu: %s", l->path, line, text);
}

static const char *scalar_of(yaml_document_t *doc, int index)
{
	yaml_node_t *node = yaml_document_get_node(doc, index);

	return node->type == YAML_SCALAR_NODE ? (const char *)node->data.scalar.value : NULL;
}

/* Line of the key's last occurrence, 1 if it isn't in the file. */
static size_t key_line(struct loader *l, const char *key)
{
	yaml_node_t *root = yaml_document_get_root_node(&l->doc);
	size_t line = 1;

	for (yaml_node_pair_t *p = root->data.mapping.pairs.start; p < root->data.mapping.pairs.top;
	     p++)
		if (g_strcmp0(scalar_of(&l->doc, p->key), key) == 0)
			line = yaml_document_get_node(&l->doc, p->key)->start_mark.line + 1;
	return line;
}

static const struct number_key *number_key(const char *key)
{
	for (size_t i = 0; i < G_N_ELEMENTS(number_keys); i++)
		if (g_strcmp0(number_keys[i].key, key) == 0)
			return &number_keys[i];
	return NULL;
}

/* libcyaml parses "12abc" as 12, so the digits are checked here. */
static bool check_digits(struct loader *l)
{
	yaml_node_t *root = yaml_document_get_root_node(&l->doc);

	for (yaml_node_pair_t *p = root->data.mapping.pairs.start; p < root->data.mapping.pairs.top;
	     p++) {
		const char *key = scalar_of(&l->doc, p->key);
		const char *value = scalar_of(&l->doc, p->value);

		if (!number_key(key) || (value && *value && !value[strspn(value, "0123456789")]))
			continue;
		return fail(l, key_line(l, key), "%s: \"%s\" is not a whole number", key,
			    value ? value : "");
	}
	return true;
}

static bool check_document(struct loader *l, yaml_parser_t *parser)
{
	yaml_node_t *root = yaml_document_get_root_node(&l->doc);
	yaml_document_t next;
	bool more;

	if (!root || root->type != YAML_MAPPING_NODE)
		return fail(l, 1, "the file must be a single mapping of keys to values");
	if (!yaml_parser_load(parser, &next))
		return fail(l, parser->problem_mark.line + 1, "%s", parser->problem);
	more = yaml_document_get_root_node(&next) != NULL;
	yaml_document_delete(&next);
	if (more)
		return fail(l, parser->mark.line + 1, "the file has more than one document");
	return check_digits(l);
}

/* libcyaml logs the error, then "Backtrace:", then a line with the quoted key for each level. */
static void collect_log(cyaml_log_t level, void *ctx, const char *fmt, va_list ap)
{
	struct loader *l = (struct loader *)ctx;
	char text[sizeof(l->message)];
	const char *start = text;

	vsnprintf(text, sizeof(text), fmt, ap);
	g_strchomp(text);
	if (g_str_has_prefix(text, "Load: "))
		start += strlen("Load: ");
	if (!l->message[0]) {
		const char *colon = strrchr(start, ':');

		g_strlcpy(l->message, start, sizeof(l->message));
		if (g_str_has_prefix(start, "Unexpected key: ") ||
		    g_str_has_prefix(start, "Missing required") ||
		    g_str_has_prefix(start, "Mapping field already seen"))
			g_strlcpy(l->key, colon ? colon + 2 : "", sizeof(l->key));
	} else if (!l->key[0]) {
		sscanf(start, " in mapping field '%63[^']'", l->key);
	}
}

static bool parse(struct loader *l, const char *text, size_t size, struct settings_file **file)
{
	cyaml_config_t config = {
		.log_fn = collect_log,
		.log_ctx = l,
		.mem_fn = cyaml_mem,
		.log_level = CYAML_LOG_ERROR,
	};
	cyaml_err_t err = cyaml_load_data((const uint8_t *)text, size, &config, &schema,
					  (cyaml_data_t **)file, NULL);

	if (err == CYAML_OK)
		return true;
	return fail(l, key_line(l, l->key), "%s: %s", l->key,
		    l->message[0] ? l->message : cyaml_strerror(err));
}

static void file_free(struct settings_file *file)
{
	static const cyaml_config_t config = { .mem_fn = cyaml_mem };

	cyaml_free(&config, &schema, file, 0);
}

static struct settings *settings_from_file(const struct settings_file *file)
{
	struct settings *s = g_new0(struct settings, 1);

#define COPY_STRING(key, def, max_bytes) s->key = g_strdup(file->key ? file->key : (def));
#define COPY_NUMBER(key, def, min, max)	 s->key = file->key ? *file->key : (def);
	SETTINGS_STRINGS(COPY_STRING)
	SETTINGS_NUMBERS(COPY_NUMBER)
#undef COPY_STRING
#undef COPY_NUMBER
	return s;
}

static uint32_t number_value(const struct settings *s, const struct number_key *k)
{
	return *(const uint32_t *)((const char *)s + k->offset);
}

static bool check_ranges(struct loader *l, const struct settings *s)
{
	for (size_t i = 0; i < G_N_ELEMENTS(number_keys); i++) {
		const struct number_key *k = &number_keys[i];
		uint32_t value = number_value(s, k);

		if (value < k->min || value > k->max)
			return fail(l, key_line(l, k->key), "%s: %u is not between %u and %u",
				    k->key, value, k->min, k->max);
	}
	return true;
}

static bool check_rules(struct loader *l, const struct settings *s)
{
	for (size_t i = 0; i < G_N_ELEMENTS(rules); i++) {
		const struct rule *r = &rules[i];
		uint64_t left = (uint64_t)number_value(s, number_key(r->left)) * r->times;
		uint64_t right = number_value(s, number_key(r->right));
		size_t line = MAX(key_line(l, r->left), key_line(l, r->right));

		if (left < right || (r->or_equal && left == right))
			continue;
		return fail(l, line, "%s: %s%s must be %s %s (%" G_GUINT64_FORMAT ")", r->left,
			    r->times > 1 ? "twice " : "", r->left,
			    r->or_equal ? "at most" : "below", r->right, right);
	}
	if ((uint64_t)s->lease_ms * s->drift_ppm >= (uint64_t)s->guard_ms * 1000000)
		return fail(l, MAX(key_line(l, "guard_ms"), key_line(l, "drift_ppm")),
			    "guard_ms: drift_ppm of lease_ms must be below guard_ms");
	if (s->http_port == s->link_port)
		return fail(l, key_line(l, "link_port"), "link_port: must differ from http_port");
	return true;
}

static bool check_charset(struct loader *l, const char *key, const char *value)
{
	if (!value[strspn(value, "abcdefghijklmnopqrstuvwxyz0123456789-.")])
		return true;
	return fail(l, key_line(l, key), "%s: \"%s\" has characters other than a-z 0-9 - .", key,
		    value);
}

static bool check_strings(struct loader *l, const struct settings *s)
{
	static const char *const levels[] = { "debug", "info", "notice", "warning", "error", NULL };
	g_autoptr(GUri) url = g_uri_parse(s->platform_url, G_URI_FLAGS_NONE, NULL);

	if (!check_charset(l, "cell", s->cell) || !check_charset(l, "name", s->name) ||
	    !check_charset(l, "dc", s->dc) || !check_charset(l, "region", s->region))
		return false;
	if (!g_hostname_is_ip_address(s->listen_host))
		return fail(l, key_line(l, "listen_host"),
			    "listen_host: \"%s\" is not an IP address", s->listen_host);
	if (!url || strcmp(g_uri_get_scheme(url), "http") != 0 || !g_uri_get_host(url) ||
	    !*g_uri_get_host(url))
		return fail(l, key_line(l, "platform_url"),
			    "platform_url: \"%s\" is not an http URL", s->platform_url);
	if (!g_strv_contains(levels, s->log_level))
		return fail(l, key_line(l, "log_level"),
			    "log_level: \"%s\" is not one of debug, info, notice, warning, error",
			    s->log_level);
	return true;
}

static bool load_document(struct loader *l, const char *text, size_t size, struct settings **out)
{
	struct settings_file *file = NULL;
	struct settings *s;

	if (!parse(l, text, size, &file))
		return false;
	s = settings_from_file(file);
	file_free(file);
	if (!check_ranges(l, s) || !check_strings(l, s) || !check_rules(l, s)) {
		settings_free(s);
		return false;
	}
	*out = s;
	return true;
}

bool settings_load(const char *path, struct settings **out, struct status *st)
{
	struct loader l = { .path = path, .st = st };
	g_autoptr(GError) err = NULL;
	g_autofree char *text = NULL;
	yaml_parser_t parser;
	size_t size;
	bool ok = false;

	if (!g_file_get_contents(path, &text, &size, &err))
		return status_set(st, STATUS_NOT_FOUND, STEP, path, "%s", err->message);
	if (!yaml_parser_initialize(&parser))
		return status_set(st, STATUS_INTERNAL, STEP, path, "out of memory");
	yaml_parser_set_input_string(&parser, (const unsigned char *)text, size);
	if (!yaml_parser_load(&parser, &l.doc)) {
		fail(&l, parser.problem_mark.line + 1, "%s", parser.problem);
	} else {
		ok = check_document(&l, &parser) && load_document(&l, text, size, out);
		yaml_document_delete(&l.doc);
	}
	yaml_parser_delete(&parser);
	return ok;
}

void settings_free(struct settings *s)
{
	if (!s)
		return;
#define FREE_STRING(key, def, max_bytes) g_free(s->key);
	SETTINGS_STRINGS(FREE_STRING)
#undef FREE_STRING
	g_free(s);
}
