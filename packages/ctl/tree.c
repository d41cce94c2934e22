#include <string.h>

#include <glib.h>
#include <glib/gstdio.h>

#include "convert.h"
#include "rules.h"
#include "suggest.h"
#include "tree.h"

enum { DEPTH_MAX = 32 };

struct files {
	GPtrArray *sources;  /* of struct source */
	GHashTable *by_name; /* name -> its first source */
};

struct tree {
	struct files teams;
	struct files services;
	GArray *team_values;	/* of struct config_team, after a check */
	GArray *service_values; /* of struct config_service, after a check */
	size_t n_files;
};

/* What a check compares with. */
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

static void files_init(struct files *files)
{
	files->sources = g_ptr_array_new_with_free_func((GDestroyNotify)source_destroy);
	files->by_name = g_hash_table_new(g_str_hash, g_str_equal);
}

static void files_clear(struct files *files)
{
	g_hash_table_unref(files->by_name);
	g_ptr_array_unref(files->sources);
}

struct tree *tree_create(void)
{
	struct tree *t = g_new0(struct tree, 1);

	files_init(&t->teams);
	files_init(&t->services);
	t->team_values = g_array_new(false, true, sizeof(struct config_team));
	t->service_values = g_array_new(false, true, sizeof(struct config_service));
	return t;
}

void tree_destroy(struct tree *t)
{
	if (!t)
		return;
	files_clear(&t->teams);
	files_clear(&t->services);
	g_array_unref(t->team_values);
	g_array_unref(t->service_values);
	g_free(t);
}

static void add_file(struct tree *t, const char *path, const struct schema *schema,
		     struct diagnostics *diags)
{
	struct files *files = schema == &schema_team ? &t->teams : &t->services;
	struct source *src = source_load(path, schema, diags), *first;
	const char *name;

	t->n_files++;
	if (!src)
		return;
	g_ptr_array_add(files->sources, src);
	name = source_name(src);
	if (!name)
		return;
	first = g_hash_table_lookup(files->by_name, name);
	if (!first) {
		g_hash_table_insert(files->by_name, (void *)name, src);
		return;
	}
	diagnostics_add(diags, path, source_position(src, schema->name_key),
			"%s: \"%s\" is already described at %s:%u:%u", schema->name_key, name,
			source_path(first), source_position(first, schema->name_key).line,
			source_position(first, schema->name_key).column);
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

/* Symbolic links to directories are not followed, so that no file is met twice. */
static void add_path(struct tree *t, const char *path, int depth, struct diagnostics *diags)
{
	const struct schema *schema = schema_of_file(path);
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
	size_t before = t->n_files, mistakes = diagnostics_count(diags);

	add_path(t, path, 0, diags);
	if (t->n_files == before && diagnostics_count(diags) == mistakes)
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

/* The quota of a team of the tree or in force. False if there is no such team. */
static bool find_quota(const struct check *c, const char *name, struct res *quota)
{
	const struct source *src = g_hash_table_lookup(c->tree->teams.by_name, name);
	const struct config_team *active = active_config_team(c->active, name);
	struct config_team team;

	*quota = (struct res){ 0 };
	if (src) {
		convert_team(source_values(src), &team);
		*quota = team.quota;
	} else if (active) {
		*quota = active->quota;
	}
	return src || active;
}

static void check_owner(const struct check *c, const struct source *src, const char *team)
{
	g_autofree char *hint = NULL;
	struct res quota;

	if (!source_valid(src, "team"))
		return;
	if (find_quota(c, team, &quota)) {
		rules_quota(src, &quota, c->diags);
		return;
	}
	hint = suggest_team(c, team);
	diagnostics_add(c->diags, source_path(src), source_position(src, "team"),
			"team: no team \"%s\"%s", team, hint);
}

static void check_service(const struct check *c, const struct source *src)
{
	const struct service_file *file = source_values(src);
	struct config_service service;

	rules_service(src, c->diags);
	if (c->vm_list)
		rules_fit(src, c->vm_list, c->diags);
	check_owner(c, src, file->team);
	convert_service(file, &service);
	g_array_append_val(c->tree->service_values, service);
}

static void check_team(const struct check *c, const struct source *src)
{
	const struct team_file *file = source_values(src);
	struct config_team team;
	g_autofree char *hint = NULL;
	size_t n = 0;

	rules_team(src, c->diags);
	if (c->vm_list && source_valid(src, "home_dc") &&
	    !vm_list_has_dc(c->vm_list, file->home_dc)) {
		const char *const *dcs = vm_list_dcs(c->vm_list, &n);

		hint = suggest_text(file->home_dc, dcs, n);
		diagnostics_add(c->diags, source_path(src), source_position(src, "home_dc"),
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
	for (guint i = 0; i < t->teams.sources->len; i++)
		check_team(&c, t->teams.sources->pdata[i]);
	for (guint i = 0; i < t->services.sources->len; i++)
		check_service(&c, t->services.sources->pdata[i]);
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
