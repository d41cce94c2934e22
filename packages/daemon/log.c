#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <string.h>
#include <unistd.h>

#include <json-glib/json-glib.h>

#include "log.h"

#define FIELD_REQUEST "KW_REQUEST"
#define FIELD_STEP    "KW_STEP"
#define FIELD_PEER    "KW_PEER"

#define FIELDS_MAX  8
#define MESSAGE_MAX 2048 /* bytes; longer messages are truncated */
#define RATE_SLOTS  64

/* Counts of a limited line. A line whose hash maps to the same slot replaces them. */
struct rate_slot {
	guint hash;
	int64_t start_ms;
	uint32_t n_written;
	uint32_t n_suppressed;
};

struct log {
	FILE *out;
	GLogLevelFlags lowest_level;
	bool nonblocking;
	GString *unwritten; /* rest of a line that was written in part */
	uint64_t lost;
	uint64_t lost_reported;
	struct rate_slot rate_slot[RATE_SLOTS];
};

/* Members of a line; NULL for those to leave out. */
struct line {
	const char *level;
	const char *module;
	const char *message;
	const char *request;
	const char *step;
	const char *peer;
	uint32_t suppressed;
};

struct level_name {
	GLogLevelFlags level;
	const char *name;
};

/* Most severe first. GLib's flags have larger values for less severe levels. */
static const struct level_name levels[] = {
	{ G_LOG_LEVEL_ERROR, "error" },	    { G_LOG_LEVEL_CRITICAL, "error" },
	{ G_LOG_LEVEL_WARNING, "warning" }, { G_LOG_LEVEL_MESSAGE, "notice" },
	{ G_LOG_LEVEL_INFO, "info" },	    { G_LOG_LEVEL_DEBUG, "debug" },
};

static const char *level_name(GLogLevelFlags level)
{
	for (size_t i = 0; i < G_N_ELEMENTS(levels); i++)
		if (level & levels[i].level)
			return levels[i].name;
	return "debug";
}

struct log *log_create(const char *level, FILE *out)
{
	for (size_t i = G_N_ELEMENTS(levels); i-- > 0;) {
		struct log *l;

		if (g_strcmp0(levels[i].name, level) != 0)
			continue;
		l = g_new0(struct log, 1);
		l->out = out;
		l->lowest_level = levels[i].level;
		l->unwritten = g_string_new(NULL);
		return l;
	}
	return NULL;
}

void log_destroy(struct log *l)
{
	if (!l)
		return;
	g_string_free(l->unwritten, TRUE);
	g_free(l);
}

void log_set_nonblocking(struct log *l)
{
	int fd = fileno(l->out);
	int flags = fcntl(fd, F_GETFL);

	l->nonblocking = flags >= 0 && fcntl(fd, F_SETFL, flags | O_NONBLOCK) == 0;
}

uint64_t log_lost_count(const struct log *l)
{
	return l->lost;
}

/* A field of GLib either has a length or, with length -1, is NUL-terminated. */
static const char *field_text(const GLogField *field, char *buf, size_t size)
{
	size_t length;

	if (field->length < 0)
		return field->value;
	length = MIN(size - 1, (size_t)field->length);
	memcpy(buf, field->value, length);
	buf[length] = '\0';
	return buf;
}

static guint line_hash(const struct line *line)
{
	const char *const part[] = { line->level, line->module, line->step, line->peer,
				     line->message };
	guint hash = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(part); i++)
		hash = hash * 31 + (part[i] ? g_str_hash(part[i]) : 0);
	return hash;
}

/* Lines about requests share one limit for each module and step. */
static guint source_hash(const struct line *line)
{
	guint hash = line->module ? g_str_hash(line->module) : 0;

	return hash * 31 + (line->step ? g_str_hash(line->step) : 0) + 1;
}

/* False if the line is over its rate limit. */
static bool rate_limit_allows(struct log *l, struct line *line, int64_t now_ms)
{
	guint hash = line->request ? source_hash(line) : line_hash(line);
	uint32_t max = line->request ? LOG_REQUEST_MAX : LOG_REPEAT_MAX;
	int64_t window_ms = line->request ? LOG_REQUEST_MS : LOG_REPEAT_MS;
	struct rate_slot *r = &l->rate_slot[hash % RATE_SLOTS];

	if (r->hash != hash || r->n_written == 0 || now_ms - r->start_ms >= window_ms ||
	    now_ms < r->start_ms) {
		line->suppressed = r->hash == hash ? r->n_suppressed : 0;
		*r = (struct rate_slot){ .hash = hash, .start_ms = now_ms };
	}
	if (r->n_written >= max) {
		r->n_suppressed++;
		return false;
	}
	r->n_written++;
	return true;
}

static void add_text(JsonBuilder *b, const char *name, const char *value)
{
	g_autofree char *valid = NULL;

	if (!value || !*value)
		return;
	valid = g_utf8_make_valid(value, -1);
	json_builder_set_member_name(b, name);
	json_builder_add_string_value(b, valid);
}

static void add_time(JsonBuilder *b, int64_t now_ms)
{
	g_autoptr(GDateTime) seconds = g_date_time_new_from_unix_utc(now_ms / 1000);
	g_autofree char *date = g_date_time_format(seconds, "%Y-%m-%dT%H:%M:%S");
	g_autofree char *text = g_strdup_printf("%s.%03dZ", date, (int)(now_ms % 1000));

	add_text(b, "time", text);
}

/* Writes what out accepts now; true if that is all of it. */
static bool write_some(struct log *l, const char *text, size_t size, size_t *done)
{
	ssize_t n;

	do {
		n = write(fileno(l->out), text, size);
	} while (n < 0 && errno == EINTR);
	*done = n > 0 ? (size_t)n : 0;
	return *done == size;
}

/* Completes a partly written line first. A line of which no byte can be written is dropped. */
static void write_line_nonblocking(struct log *l, const char *text)
{
	g_autofree char *line = g_strdup_printf("%s\n", text);
	size_t done;

	if (l->unwritten->len && !write_some(l, l->unwritten->str, l->unwritten->len, &done)) {
		g_string_erase(l->unwritten, 0, (gssize)done);
		l->lost++;
		return;
	}
	g_string_truncate(l->unwritten, 0);
	if (write_some(l, line, strlen(line), &done))
		return;
	if (done)
		g_string_append(l->unwritten, line + done);
	else
		l->lost++;
}

static void print_line(struct log *l, const struct line *line, int64_t now_ms)
{
	g_autoptr(JsonBuilder) b = json_builder_new();
	g_autoptr(JsonGenerator) generator = json_generator_new();
	g_autoptr(JsonNode) root = NULL;
	g_autofree char *text = NULL;

	json_builder_begin_object(b);
	add_time(b, now_ms);
	add_text(b, "level", line->level);
	add_text(b, "module", line->module);
	add_text(b, "request", line->request);
	add_text(b, "step", line->step);
	add_text(b, "peer", line->peer);
	if (l->lost > l->lost_reported) {
		json_builder_set_member_name(b, "lost");
		json_builder_add_int_value(b, (gint64)(l->lost - l->lost_reported));
		l->lost_reported = l->lost;
	}
	if (line->suppressed > 0) {
		json_builder_set_member_name(b, "suppressed");
		json_builder_add_int_value(b, line->suppressed);
	}
	json_builder_set_member_name(b, "message");
	json_builder_add_string_value(b, line->message);
	json_builder_end_object(b);
	root = json_builder_get_root(b);
	json_generator_set_root(generator, root);
	text = json_generator_to_data(generator, NULL);
	if (l->nonblocking) {
		write_line_nonblocking(l, text);
		return;
	}
	fprintf(l->out, "%s\n", text);
	fflush(l->out);
}

void log_write(struct log *l, GLogLevelFlags level, const GLogField *fields, size_t n,
	       int64_t now_ms)
{
	char buf[FIELDS_MAX][MESSAGE_MAX];
	struct line line = { .level = level_name(level), .module = "main", .message = "" };
	g_autofree char *message = NULL;
	const struct {
		const char *key;
		const char **text;
	} known[] = {
		{ "GLIB_DOMAIN", &line.module },  { "MESSAGE", &line.message },
		{ FIELD_REQUEST, &line.request }, { FIELD_STEP, &line.step },
		{ FIELD_PEER, &line.peer },
	};

	if ((level & G_LOG_LEVEL_MASK) > l->lowest_level)
		return;
	for (size_t i = 0; i < n; i++)
		for (size_t k = 0; k < G_N_ELEMENTS(known); k++)
			if (strcmp(fields[i].key, known[k].key) == 0)
				*known[k].text = field_text(&fields[i], buf[k], MESSAGE_MAX);
	message = g_utf8_make_valid(line.message, (gssize)strnlen(line.message, MESSAGE_MAX));
	line.message = message;
	if (level & (G_LOG_LEVEL_ERROR | G_LOG_LEVEL_CRITICAL) ||
	    rate_limit_allows(l, &line, now_ms))
		print_line(l, &line, now_ms);
}

static GLogWriterOutput writer(GLogLevelFlags level, const GLogField *fields, gsize n,
			       gpointer data)
{
	log_write((struct log *)data, level, fields, n, g_get_real_time() / 1000);
	return G_LOG_WRITER_HANDLED;
}

void log_install(struct log *l)
{
	g_log_set_writer_func(writer, l, NULL);
}

void log_event(const char *module, GLogLevelFlags level, const char *request, const char *step,
	       const char *peer, const char *fmt, ...)
{
	const char *const optional[][2] = { { FIELD_REQUEST, request },
					    { FIELD_STEP, step },
					    { FIELD_PEER, peer } };
	GLogField fields[FIELDS_MAX];
	g_autofree char *message = NULL;
	size_t n = 0;
	va_list ap;

	va_start(ap, fmt);
	message = g_strdup_vprintf(fmt, ap);
	va_end(ap);
	fields[n++] = (GLogField){ "MESSAGE", message, -1 };
	if (module)
		fields[n++] = (GLogField){ "GLIB_DOMAIN", module, -1 };
	for (size_t i = 0; i < G_N_ELEMENTS(optional); i++)
		if (optional[i][1])
			fields[n++] = (GLogField){ optional[i][0], optional[i][1], -1 };
	g_log_structured_array(level, fields, n);
}
