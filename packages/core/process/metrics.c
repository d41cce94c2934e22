#include <stdarg.h>
#include <string.h>

#include "metrics.h"

#define HIST_LE_POWERS 36 /* a histogram's buckets end at 2^36 */

enum metric_type { METRIC_COUNTER = 0, METRIC_GAUGE, METRIC_HIST };

struct series {
	char *labels; /* name="value",... without braces */
	union {
		struct counter counter;
		struct gauge gauge;
		struct hist *hist;
	};
};

struct family {
	const char *name;
	const char *help;
	enum metric_type type;
	GPtrArray *series;    /* struct series, in order of creation */
	GHashTable *by_label; /* struct series by labels, both owned by series */
};

struct metrics {
	GPtrArray *families; /* in order of creation */
	GHashTable *by_name;
};

static void series_free(void *data)
{
	struct series *s = (struct series *)data;

	g_free(s->labels);
	g_free(s);
}

static void hist_series_free(void *data)
{
	g_free(((struct series *)data)->hist);
	series_free(data);
}

static void family_free(void *data)
{
	struct family *f = (struct family *)data;

	g_hash_table_destroy(f->by_label);
	g_ptr_array_unref(f->series);
	g_free(f);
}

struct metrics *metrics_create(void)
{
	struct metrics *m = g_new0(struct metrics, 1);

	m->families = g_ptr_array_new_with_free_func(family_free);
	m->by_name = g_hash_table_new(g_str_hash, g_str_equal);
	return m;
}

void metrics_destroy(struct metrics *m)
{
	if (!m)
		return;
	g_hash_table_destroy(m->by_name);
	g_ptr_array_unref(m->families);
	g_free(m);
}

static struct family *family_get(struct metrics *m, enum metric_type type, const char *name,
				 const char *help)
{
	struct family *f = g_hash_table_lookup(m->by_name, name);

	if (f) {
		g_assert(f->type == type);
		return f;
	}
	f = g_new0(struct family, 1);
	f->name = name;
	f->help = help;
	f->type = type;
	f->series = g_ptr_array_new_with_free_func(type == METRIC_HIST ? hist_series_free
								       : series_free);
	f->by_label = g_hash_table_new(g_str_hash, g_str_equal);
	g_ptr_array_add(m->families, f);
	g_hash_table_insert(m->by_name, (void *)name, f);
	return f;
}

static void append_escaped(GString *out, const char *value)
{
	for (const char *c = value; *c; c++) {
		if (*c == '\n')
			g_string_append(out, "\\n");
		else if (*c == '"' || *c == '\\')
			g_string_append_printf(out, "\\%c", *c);
		else
			g_string_append_c(out, *c);
	}
}

static char *build_labels(va_list *ap)
{
	GString *labels = g_string_new(NULL);
	const char *name;

	while ((name = va_arg(*ap, const char *))) {
		const char *value = va_arg(*ap, const char *);

		if (labels->len > 0)
			g_string_append_c(labels, ',');
		g_string_append_printf(labels, "%s=\"", name);
		append_escaped(labels, value);
		g_string_append_c(labels, '"');
	}
	return g_string_free(labels, FALSE);
}

/* Takes ownership of labels. */
static struct series *series_get(struct family *f, char *labels)
{
	struct series *s = g_hash_table_lookup(f->by_label, labels);

	if (!s && f->series->len >= METRICS_SERIES_MAX - 1) {
		g_free(labels);
		labels = g_strdup("overflow=\"true\"");
		s = g_hash_table_lookup(f->by_label, labels);
	}
	if (s) {
		g_free(labels);
		return s;
	}
	s = g_new0(struct series, 1);
	s->labels = labels;
	if (f->type == METRIC_HIST)
		s->hist = g_new0(struct hist, 1);
	g_ptr_array_add(f->series, s);
	g_hash_table_insert(f->by_label, s->labels, s);
	return s;
}

static struct series *lookup(struct metrics *m, enum metric_type type, const char *name,
			     const char *help, va_list *ap)
{
	return series_get(family_get(m, type, name, help), build_labels(ap));
}

struct counter *metrics_counter(struct metrics *m, const char *name, const char *help, ...)
{
	struct series *s;
	va_list ap;

	va_start(ap, help);
	s = lookup(m, METRIC_COUNTER, name, help, &ap);
	va_end(ap);
	return &s->counter;
}

struct gauge *metrics_gauge(struct metrics *m, const char *name, const char *help, ...)
{
	struct series *s;
	va_list ap;

	va_start(ap, help);
	s = lookup(m, METRIC_GAUGE, name, help, &ap);
	va_end(ap);
	return &s->gauge;
}

struct hist *metrics_hist(struct metrics *m, const char *name, const char *help, ...)
{
	struct series *s;
	va_list ap;

	va_start(ap, help);
	s = lookup(m, METRIC_HIST, name, help, &ap);
	va_end(ap);
	return s->hist;
}

size_t metrics_series_count(const struct metrics *m)
{
	size_t n = 0;

	for (guint i = 0; i < m->families->len; i++)
		n += ((const struct family *)m->families->pdata[i])->series->len;
	return n;
}

static void write_sample(GString *out, const char *name, const char *suffix, const char *labels,
			 uint64_t value)
{
	g_string_append(out, name);
	g_string_append(out, suffix);
	if (*labels)
		g_string_append_printf(out, "{%s}", labels);
	g_string_append_printf(out, " %" G_GUINT64_FORMAT "\n", value);
}

static void write_bucket(GString *out, const struct family *f, const struct series *s,
			 const char *le, uint64_t value)
{
	g_string_append_printf(out, "%s_bucket{%s%sle=\"%s\"} %" G_GUINT64_FORMAT "\n", f->name,
			       s->labels, *s->labels ? "," : "", le, value);
}

static void write_hist(GString *out, const struct family *f, const struct series *s)
{
	const struct hist *h = s->hist;
	uint64_t cumulative = 0;
	uint32_t i = 0;

	/* Values beyond the bound of the last bucket are counted under +Inf only. */
	for (uint32_t p = 0; p <= HIST_LE_POWERS && cumulative < h->count; p++) {
		uint64_t last = ((uint64_t)1 << p) - 1;
		char le[24];

		for (; i < HIST_BUCKETS && hist_upper_bound(i) - 1 <= last; i++)
			cumulative += h->bucket[i];
		if (cumulative == 0)
			continue;
		g_snprintf(le, sizeof(le), "%" G_GUINT64_FORMAT, last);
		write_bucket(out, f, s, le, cumulative);
	}
	write_bucket(out, f, s, "+Inf", h->count);
	write_sample(out, f->name, "_sum", s->labels, h->sum);
	write_sample(out, f->name, "_count", s->labels, h->count);
}

static void write_series(GString *out, const struct family *f, const struct series *s)
{
	switch (f->type) {
	case METRIC_COUNTER:
		write_sample(out, f->name, "", s->labels, s->counter.value);
		break;
	case METRIC_GAUGE:
		g_string_append(out, f->name);
		if (*s->labels)
			g_string_append_printf(out, "{%s}", s->labels);
		g_string_append_printf(out, " %" G_GINT64_FORMAT "\n", s->gauge.value);
		break;
	case METRIC_HIST:
		write_hist(out, f, s);
		break;
	}
}

void metrics_write(const struct metrics *m, const char *prefix, GString *out)
{
	static const char *const type_names[] = {
		[METRIC_COUNTER] = "counter",
		[METRIC_GAUGE] = "gauge",
		[METRIC_HIST] = "histogram",
	};

	for (guint i = 0; i < m->families->len; i++) {
		const struct family *f = m->families->pdata[i];

		if (prefix && !g_str_has_prefix(f->name, prefix))
			continue;
		g_string_append_printf(out, "# HELP %s %s\n# TYPE %s %s\n", f->name, f->help,
				       f->name, type_names[f->type]);
		for (guint k = 0; k < f->series->len; k++)
			write_series(out, f, f->series->pdata[k]);
	}
}
