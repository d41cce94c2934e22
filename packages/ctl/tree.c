#include <string.h>

#include <glib.h>
#include <glib/gstdio.h>

#include "convert.h"
#include "suggest.h"
#include "tree.h"
#include "validate.h"

enum { DEPTH_MAX = 32 };

struct file_group {
	GPtrArray *files;    /* of struct config_file */
	GHashTable *by_name; /* name -> the first file that has it */
};

struct tree {
	struct file_group teams;
	struct file_group services;
	GArray *team_values;	/* of struct config_team, after a check */
	GArray *service_values; /* of struct config_service, after a check */
	size_t n_files;
};

/* Arguments of a check. */
struct check {
	struct tree *tree;
	const struct active_config *active;
	const struct vm_list *vm_list;
	struct diagnostics *diags;
};

static const struct position file_start = { 1, 1 };

static int compare_names(const void *a, const void *b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

static void file_group_init(struct file_group *group)
{
	group->files = g_ptr_array_new_with_free_func((GDestroyNotify)config_file_destroy);
	group->by_name = g_hash_table_new(g_str_hash, g_str_equal);
}

static void file_group_clear(struct file_group *group)
{
	g_hash_table_unref(group->by_name);
	g_ptr_array_unref(group->files);
}

struct tree *tree_create(void)
{
	struct tree *t = g_new0(struct tree, 1);

	file_group_init(&t->teams);
	file_group_init(&t->services);
	t->team_values = g_array_new(false, true, sizeof(struct config_team));
	t->service_values = g_array_new(false, true, sizeof(struct config_service));
	return t;
}

void tree_destroy(struct tree *t)
{
	if (!t)
		return;
	file_group_clear(&t->teams);
	file_group_clear(&t->services);
	g_array_unref(t->team_values);
	g_array_unref(t->service_values);
	g_free(t);
}

static void add_file(struct tree *t, const char *path, const struct schema *schema,
		     struct diagnostics *diags)
{
	struct file_group *group = schema == &schema_team ? &t->teams : &t->services;
	struct config_file *cf = config_file_load(path, schema, diags), *first;
	const char *name;

	t->n_files++;
	if (!cf)
		return;
	g_ptr_array_add(group->files, cf);
	name = config_file_name(cf);
	if (!name)
		return;
	first = g_hash_table_lookup(group->by_name, name);
	if (!first) {
		g_hash_table_insert(group->by_name, (void *)name, cf);
		return;
	}
	diagnostics_add(diags, path, config_file_position(cf, schema->name_key),
			"%s: \"%s\" is already described at %s:%u:%u", schema->name_key, name,
			config_file_path(first), config_file_position(first, schema->name_key).line,
			config_file_position(first, schema->name_key).column);
}

static void add_path(struct tree *t, const char *path, int depth, struct diagnostics *diags);

static void add_directory(struct tree *t, const char *path, int depth, struct diagnostics *diags)
{
	g_autoptr(GError) error = NULL;
	g_autoptr(GPtrArray) names = g_ptr_array_new_with_free_func(g_free);
	GDir *dir = g_dir_open(path, 0, &error);
	const char *name;

	if (!dir) {
		diagnostics_add(diags, path, file_start, "%s", error->message);
		return;
	}
	while ((name = g_dir_read_name(dir)))
		if (name[0] != '.')
			g_ptr_array_add(names, g_strdup(name));
	g_dir_close(dir);
	g_ptr_array_sort(names, compare_names);
	for (guint i = 0; i < names->len; i++) {
		g_autofree char *child = g_build_filename(path, names->pdata[i], NULL);

		add_path(t, child, depth + 1, diags);
	}
}

/* Doesn't follow symbolic links to directories below the first, so that no file is found twice. */
static void add_path(struct tree *t, const char *path, int depth, struct diagnostics *diags)
{
	const struct schema *schema = schema_for_path(path);
	bool link = depth > 0 && g_file_test(path, G_FILE_TEST_IS_SYMLINK);

	if (g_file_test(path, G_FILE_TEST_IS_DIR)) {
		if (depth < DEPTH_MAX && !link)
			add_directory(t, path, depth, diags);
		return;
	}
	if (schema) {
		add_file(t, path, schema, diags);
		return;
	}
	if (depth == 0)
		diagnostics_add(diags, path, file_start, "%s",
				g_file_test(path, G_FILE_TEST_EXISTS)
					? "neither a directory nor a service or team file"
					: "no such file or directory");
}

void tree_add(struct tree *t, const char *path, struct diagnostics *diags)
{
	size_t n_files = t->n_files, n_diags = diagnostics_count(diags);

	add_path(t, path, 0, diags);
	if (t->n_files == n_files && diagnostics_count(diags) == n_diags)
		diagnostics_add(diags, path, file_start, "no service or team file below it");
}

size_t tree_count(const struct tree *t)
{
	return t->n_files;
}

bool tree_has(const struct tree *t, bool is_team, const char *name)
{
	return g_hash_table_contains(is_team ? t->teams.by_name : t->services.by_name, name);
}

static char *suggest_team(const struct check *c, const char *name)
{
	g_autoptr(GPtrArray) known = g_ptr_array_new();
	g_autoptr(GList) active = active_config_names(c->active, true);
	GHashTableIter iter;
	void *key;

	g_hash_table_iter_init(&iter, c->tree->teams.by_name);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		g_ptr_array_add(known, key);
	for (GList *l = active; l; l = l->next)
		g_ptr_array_add(known, l->data);
	g_ptr_array_sort(known, compare_names);
	return suggest_text(name, (const char *const *)known->pdata, known->len);
}

/* Finds the quota of a team, first in the tree, then in force. False if there is no such team. */
static bool find_quota(const struct check *c, const char *name, struct res *quota)
{
	const struct config_file *cf = g_hash_table_lookup(c->tree->teams.by_name, name);
	const struct config_team *active = active_config_team(c->active, name);
	struct config_team team;

	*quota = (struct res){ 0 };
	if (cf) {
		convert_team(config_file_values(cf), &team);
		*quota = team.quota;
	} else if (active) {
		*quota = active->quota;
	}
	return cf || active;
}

static void check_service_team(const struct check *c, const struct config_file *cf,
			       const char *team)
{
	g_autofree char *hint = NULL;
	struct res quota;

	if (!config_file_key_valid(cf, "team"))
		return;
	if (find_quota(c, team, &quota)) {
		validate_fits_quota(cf, &quota, c->diags);
		return;
	}
	hint = suggest_team(c, team);
	diagnostics_add(c->diags, config_file_path(cf), config_file_position(cf, "team"),
			"team: no team \"%s\"%s", team, hint);
}

static void check_service(const struct check *c, const struct config_file *cf)
{
	const struct service_file *file = config_file_values(cf);
	struct config_service service;

	validate_service(cf, c->diags);
	if (c->vm_list)
		validate_fits_worker(cf, c->vm_list, c->diags);
	check_service_team(c, cf, file->team);
	convert_service(file, &service);
	g_array_append_val(c->tree->service_values, service);
}

static void check_team(const struct check *c, const struct config_file *cf)
{
	const struct team_file *file = config_file_values(cf);
	struct config_team team;
	g_autofree char *hint = NULL;
	size_t n = 0;

	validate_team(cf, c->diags);
	if (c->vm_list && config_file_key_valid(cf, "home_dc") &&
	    !vm_list_has_dc(c->vm_list, file->home_dc)) {
		const char *const *dcs = vm_list_dcs(c->vm_list, &n);

		hint = suggest_text(file->home_dc, dcs, n);
		diagnostics_add(c->diags, config_file_path(cf), config_file_position(cf, "home_dc"),
				"home_dc: no data centre \"%s\"%s", file->home_dc, hint);
	}
	convert_team(file, &team);
	g_array_append_val(c->tree->team_values, team);
}

void tree_check(struct tree *t, const struct active_config *active, const struct vm_list *vm_list,
		struct diagnostics *diags)
{
	struct check c = { .tree = t, .active = active, .vm_list = vm_list, .diags = diags };

	g_array_set_size(t->team_values, 0);
	g_array_set_size(t->service_values, 0);
	for (guint i = 0; i < t->teams.files->len; i++)
		check_team(&c, t->teams.files->pdata[i]);
	for (guint i = 0; i < t->services.files->len; i++)
		check_service(&c, t->services.files->pdata[i]);
}

const struct config_team *tree_team(struct tree *t, size_t i)
{
	if (i >= t->team_values->len)
		return NULL;
	return &g_array_index(t->team_values, struct config_team, i);
}

const struct config_service *tree_service(struct tree *t, size_t i)
{
	if (i >= t->service_values->len)
		return NULL;
	return &g_array_index(t->service_values, struct config_service, i);
}
