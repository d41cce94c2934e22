#include <stdbool.h>
#include <string.h>

#include "output.h"

enum { COLUMNS_MAX = 32 };

/* A table before it is printed. */
struct table {
	GPtrArray *columns; /* member names, owned by the objects */
	GPtrArray *rows;    /* of JsonObject, not owned */
	size_t widths[COLUMNS_MAX];
};

static char *scalar_text(JsonNode *node)
{
	if (!node || JSON_NODE_HOLDS_NULL(node))
		return g_strdup("-");
	if (!JSON_NODE_HOLDS_VALUE(node))
		return json_to_string(node, false);
	if (json_node_get_value_type(node) == G_TYPE_STRING)
		return json_node_dup_string(node);
	return json_to_string(node, false);
}

void output_json(JsonNode *node, FILE *out)
{
	g_autofree char *text = json_to_string(node, true);

	fprintf(out, "%s\n", text);
}

static bool row_matches(JsonObject *object, const char *key, const char *value)
{
	g_autofree char *text = NULL;

	if (!key)
		return true;
	text = scalar_text(json_object_get_member(object, key));
	return strcmp(text, value) == 0;
}

static void add_row(struct table *t, JsonObject *object)
{
	g_autoptr(GList) members = json_object_get_members(object);

	g_ptr_array_add(t->rows, object);
	for (GList *l = members; l && t->columns->len < COLUMNS_MAX; l = l->next)
		if (!g_ptr_array_find_with_equal_func(t->columns, l->data, g_str_equal, NULL))
			g_ptr_array_add(t->columns, l->data);
}

static void compute_widths(struct table *t)
{
	for (guint i = 0; i < t->columns->len; i++) {
		t->widths[i] = strlen(t->columns->pdata[i]);
		for (guint k = 0; k < t->rows->len; k++) {
			g_autofree char *text = scalar_text(
				json_object_get_member(t->rows->pdata[k], t->columns->pdata[i]));

			t->widths[i] = MAX(t->widths[i], strlen(text));
		}
	}
}

static void print_cell(const struct table *t, guint column, const char *text, FILE *out)
{
	if (column + 1 < t->columns->len)
		fprintf(out, "%-*s  ", (int)t->widths[column], text);
	else
		fprintf(out, "%s\n", text);
}

static void print_rows(const struct table *t, FILE *out)
{
	for (guint i = 0; i < t->columns->len; i++)
		print_cell(t, i, t->columns->pdata[i], out);
	for (guint k = 0; k < t->rows->len; k++) {
		for (guint i = 0; i < t->columns->len; i++) {
			g_autofree char *text = scalar_text(
				json_object_get_member(t->rows->pdata[k], t->columns->pdata[i]));

			print_cell(t, i, text, out);
		}
	}
}

size_t output_table(JsonArray *array, const char *key, const char *value, FILE *out)
{
	struct table t = { .columns = g_ptr_array_new(), .rows = g_ptr_array_new() };
	size_t n;

	for (guint i = 0; i < json_array_get_length(array); i++) {
		JsonNode *node = json_array_get_element(array, i);

		if (JSON_NODE_HOLDS_OBJECT(node) &&
		    row_matches(json_node_get_object(node), key, value))
			add_row(&t, json_node_get_object(node));
	}
	compute_widths(&t);
	if (t.rows->len > 0)
		print_rows(&t, out);
	n = t.rows->len;
	g_ptr_array_unref(t.columns);
	g_ptr_array_unref(t.rows);
	return n;
}

void output_object(JsonObject *object, FILE *out)
{
	g_autoptr(GList) members = json_object_get_members(object);

	for (GList *l = members; l; l = l->next) {
		JsonNode *node = json_object_get_member(object, l->data);
		g_autofree char *text = NULL;

		if (JSON_NODE_HOLDS_ARRAY(node))
			continue;
		text = scalar_text(node);
		fprintf(out, "%s: %s\n", (char *)l->data, text);
	}
	for (GList *l = members; l; l = l->next) {
		JsonNode *node = json_object_get_member(object, l->data);

		if (!JSON_NODE_HOLDS_ARRAY(node))
			continue;
		fprintf(out, "\n%s\n", (char *)l->data);
		output_table(json_node_get_array(node), NULL, NULL, out);
	}
}
