#include <stdarg.h>
#include <string.h>

#include <glib.h>

#include "diagnostics.h"

struct diagnostic {
	char *file;
	char *text;
	struct position at;
};

struct diagnostics {
	GArray *list;
};

static void diagnostic_clear(void *data)
{
	struct diagnostic *d = data;

	g_free(d->file);
	g_free(d->text);
}

struct diagnostics *diagnostics_create(void)
{
	struct diagnostics *diags = g_new0(struct diagnostics, 1);

	diags->list = g_array_new(false, true, sizeof(struct diagnostic));
	g_array_set_clear_func(diags->list, diagnostic_clear);
	return diags;
}

void diagnostics_destroy(struct diagnostics *diags)
{
	if (!diags)
		return;
	g_array_unref(diags->list);
	g_free(diags);
}

void diagnostics_add(struct diagnostics *diags, const char *file, struct position at,
		     const char *fmt, ...)
{
	struct diagnostic new = { .file = g_strdup(file), .at = at };
	va_list ap;

	va_start(ap, fmt);
	new.text = g_strdup_vprintf(fmt, ap);
	va_end(ap);
	g_array_append_val(diags->list, new);
}

size_t diagnostics_count(const struct diagnostics *diags)
{
	return diags->list->len;
}

static int compare(const void *left, const void *right)
{
	const struct diagnostic *a = left, *b = right;
	int cmp = strcmp(a->file, b->file);

	if (cmp != 0)
		return cmp;
	if (a->at.line != b->at.line)
		return a->at.line < b->at.line ? -1 : 1;
	if (a->at.column != b->at.column)
		return a->at.column < b->at.column ? -1 : 1;
	return strcmp(a->text, b->text);
}

void diagnostics_print(struct diagnostics *diags, FILE *out)
{
	g_array_sort(diags->list, compare);
	for (guint i = 0; i < diags->list->len; i++) {
		const struct diagnostic *d = &g_array_index(diags->list, struct diagnostic, i);

		fprintf(out, "%s:%u:%u: %s\n", d->file, d->at.line, d->at.column, d->text);
	}
}
