#include <string.h>

#include <json-glib/json-glib.h>

#include "request/json_text.h"
#include "vm_list.h"

#define STEP "vms"

struct vm_list {
	GArray *workers; /* of struct res, without those that are leaving */
	GPtrArray *dcs;
};

static void add_dc(struct vm_list *list, const char *dc)
{
	if (dc[0] != '\0' && !vm_list_has_dc(list, dc))
		g_ptr_array_add(list->dcs, g_strdup(dc));
}

static void add_vm(JsonArray *array, guint index, JsonNode *node, void *data)
{
	struct vm_list *list = data;
	JsonObject *vm;
	struct res size;

	if (!JSON_NODE_HOLDS_OBJECT(node))
		return;
	vm = json_node_get_object(node);
	add_dc(list, json_object_get_string_member_with_default(vm, "dc", ""));
	if (strcmp(json_object_get_string_member_with_default(vm, "kind", ""), "worker") != 0 ||
	    json_object_get_boolean_member_with_default(vm, "leaving", false))
		return;
	size = (struct res){
		.cpu_milli = (uint32_t)json_object_get_int_member_with_default(vm, "cpu_milli", 0),
		.mem_bytes = (uint64_t)json_object_get_int_member_with_default(vm, "mem_bytes", 0),
		.accel = (uint32_t)json_object_get_int_member_with_default(vm, "accel", 0),
	};
	g_array_append_val(list->workers, size);
}

struct vm_list *vm_list_load(const char *path, struct status *st)
{
	g_autoptr(JsonParser) parser = json_parser_new();
	g_autoptr(GError) error = NULL;
	g_autofree char *text = NULL;
	JsonNode *root, *vms = NULL;
	struct vm_list *list;
	gsize size;

	if (!g_file_get_contents(path, &text, &size, &error) ||
	    !json_text_load(parser, text, size, &error)) {
		status_set(st, STATUS_INVALID, STEP, path, "%s", error->message);
		return NULL;
	}
	root = json_parser_get_root(parser);
	if (root && JSON_NODE_HOLDS_OBJECT(root))
		vms = json_object_get_member(json_node_get_object(root), "vms");
	if (!vms || !JSON_NODE_HOLDS_ARRAY(vms)) {
		status_set(st, STATUS_INVALID, STEP, path, "missing array \"vms\"");
		return NULL;
	}
	list = g_new0(struct vm_list, 1);
	list->workers = g_array_new(false, false, sizeof(struct res));
	list->dcs = g_ptr_array_new_with_free_func(g_free);
	json_array_foreach_element(json_node_get_array(vms), add_vm, list);
	return list;
}

void vm_list_destroy(struct vm_list *list)
{
	if (!list)
		return;
	g_array_unref(list->workers);
	g_ptr_array_unref(list->dcs);
	g_free(list);
}

bool vm_list_has_worker_for(const struct vm_list *list, const struct res *want)
{
	for (guint i = 0; i < list->workers->len; i++)
		if (res_fits(want, &g_array_index(list->workers, struct res, i)))
			return true;
	return false;
}

struct res vm_list_largest(const struct vm_list *list)
{
	struct res largest = { 0 };

	for (guint i = 0; i < list->workers->len; i++) {
		const struct res *size = &g_array_index(list->workers, struct res, i);

		largest.cpu_milli = MAX(largest.cpu_milli, size->cpu_milli);
		largest.mem_bytes = MAX(largest.mem_bytes, size->mem_bytes);
		largest.accel = MAX(largest.accel, size->accel);
	}
	return largest;
}

bool vm_list_has_dc(const struct vm_list *list, const char *dc)
{
	return g_ptr_array_find_with_equal_func(list->dcs, dc, g_str_equal, NULL);
}

const char *const *vm_list_dcs(const struct vm_list *list, size_t *n)
{
	*n = list->dcs->len;
	return (const char *const *)list->dcs->pdata;
}
