#include <math.h>
#include <string.h>

#include <json-glib/json-glib.h>

#include "slopes.h"

struct slopes {
	GPtrArray *points;
	GHashTable *lines; /* name -> struct line, also with too few points */
};

static void point_free(void *data)
{
	struct point *p = data;

	g_free(p->name);
	g_free(p->unit);
	g_free(p->per);
	g_free(p);
}

static struct point *point_parse(const char *text)
{
	g_autoptr(JsonParser) parser = json_parser_new();
	JsonNode *root;
	JsonObject *o;
	struct point *p;

	if (!json_parser_load_from_data(parser, text, -1, NULL))
		return NULL;
	root = json_parser_get_root(parser);
	if (!root || !JSON_NODE_HOLDS_OBJECT(root))
		return NULL;
	o = json_node_get_object(root);
	p = g_new0(struct point, 1);
	p->name = g_strdup(json_object_get_string_member_with_default(o, "name", ""));
	p->unit = g_strdup(json_object_get_string_member_with_default(o, "unit", ""));
	p->per = g_strdup(json_object_get_string_member_with_default(o, "per", ""));
	p->x = (uint64_t)json_object_get_int_member_with_default(o, "x", 0);
	p->value = json_object_get_double_member_with_default(o, "value", 0);
	return p;
}

/* Sums over the points of one name, weighted by 1 / value^2 so that errors are relative. */
struct weighted_sums {
	double w, x, y, xx, xy;
};

static void fit_line(const struct slopes *s, const char *name, struct line *line)
{
	struct weighted_sums t = { 0 };
	double det;

	*line = (struct line){ 0 };
	for (size_t i = 0; i < slopes_count(s); i++) {
		const struct point *p = slopes_at(s, i);
		double x = (double)p->x;
		double w;

		if (strcmp(p->name, name) != 0)
			continue;
		w = p->value > 0 ? 1 / (p->value * p->value) : 1;
		t.w += w;
		t.x += w * x;
		t.y += w * p->value;
		t.xx += w * x * x;
		t.xy += w * x * p->value;
		line->sizes++;
		line->sample = p;
	}
	det = t.w * t.xx - t.x * t.x;
	if (det <= 0)
		line->sizes = MIN(line->sizes, 1U);
	if (line->sizes < LINE_SIZES_MIN)
		return;
	line->slope = (t.w * t.xy - t.x * t.y) / det;
	line->base = (t.y - line->slope * t.x) / t.w;
	for (size_t i = 0; i < slopes_count(s); i++) {
		const struct point *p = slopes_at(s, i);
		double fitted = line->base + line->slope * (double)p->x;

		if (strcmp(p->name, name) == 0 && p->value > 0)
			line->error_milli =
				fmax(line->error_milli, 1000 * fabs(fitted - p->value) / p->value);
	}
}

static void fit_all_lines(struct slopes *s)
{
	for (size_t i = 0; i < slopes_count(s); i++) {
		const char *name = slopes_at(s, i)->name;
		struct line *line;

		if (g_hash_table_contains(s->lines, name))
			continue;
		line = g_new0(struct line, 1);
		fit_line(s, name, line);
		g_hash_table_insert(s->lines, (void *)name, line);
	}
}

struct slopes *slopes_load(const char *path, struct status *st)
{
	g_autoptr(GError) err = NULL;
	g_autofree char *text = NULL;
	g_auto(GStrv) lines = NULL;
	struct slopes *s;

	if (!g_file_get_contents(path, &text, NULL, &err)) {
		status_set(st, STATUS_NOT_FOUND, "slopes", path, "%s", err->message);
		return NULL;
	}
	s = g_new0(struct slopes, 1);
	s->points = g_ptr_array_new_with_free_func(point_free);
	s->lines = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	lines = g_strsplit(text, "\n", -1);
	for (size_t i = 0; lines[i]; i++) {
		struct point *p;

		if (!*lines[i])
			continue;
		p = point_parse(lines[i]);
		if (!p) {
			status_set(st, STATUS_INVALID, "slopes", path, "%s:%zu: not a point", path,
				   i + 1);
			slopes_destroy(s);
			return NULL;
		}
		g_ptr_array_add(s->points, p);
	}
	fit_all_lines(s);
	return s;
}

void slopes_destroy(struct slopes *s)
{
	g_hash_table_destroy(s->lines);
	g_ptr_array_unref(s->points);
	g_free(s);
}

size_t slopes_count(const struct slopes *s)
{
	return s->points->len;
}

const struct point *slopes_at(const struct slopes *s, size_t i)
{
	return s->points->pdata[i];
}

const struct point *slopes_find(const struct slopes *s, const char *name, uint64_t x)
{
	for (size_t i = 0; i < slopes_count(s); i++) {
		const struct point *p = slopes_at(s, i);

		if (p->x == x && strcmp(p->name, name) == 0)
			return p;
	}
	return NULL;
}

bool slopes_line(const struct slopes *s, const char *name, struct line *line)
{
	const struct line *found = g_hash_table_lookup(s->lines, name);

	*line = found ? *found : (struct line){ 0 };
	return line->sizes >= LINE_SIZES_MIN;
}

double slopes_value(const struct slopes *s, const char *name, double x)
{
	struct line line;

	return slopes_line(s, name, &line) ? line.base + line.slope * x : NAN;
}

double slopes_slope(const struct slopes *s, const char *name)
{
	struct line line;

	return slopes_line(s, name, &line) ? line.slope : NAN;
}
