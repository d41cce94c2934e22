#include <glib.h>

#include "teams.h"

struct teams {
	GPtrArray *team;     /* of struct team */
	GHashTable *by_name; /* of struct team */
	GHashTable *by_key;  /* of struct team; owns the keys */
};

static void team_free(gpointer data)
{
	struct team *team = data;

	g_free((char *)team->name);
	g_free(team);
}

struct teams *teams_create(void)
{
	struct teams *t = g_new0(struct teams, 1);

	t->team = g_ptr_array_new_with_free_func(team_free);
	t->by_name = g_hash_table_new(g_str_hash, g_str_equal);
	t->by_key = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return t;
}

void teams_destroy(struct teams *t)
{
	if (!t)
		return;
	g_hash_table_unref(t->by_key);
	g_hash_table_unref(t->by_name);
	g_ptr_array_unref(t->team);
	g_free(t);
}

void teams_add(struct teams *t, const struct team *team, const char *const *key, size_t n_keys)
{
	struct team *copy = g_memdup2(team, sizeof(*team));

	copy->name = g_strdup(team->name);
	g_ptr_array_add(t->team, copy);
	g_hash_table_insert(t->by_name, (char *)copy->name, copy);
	for (size_t i = 0; i < n_keys; i++)
		if (!g_hash_table_contains(t->by_key, key[i]))
			g_hash_table_insert(t->by_key, g_strdup(key[i]), copy);
}

const struct team *teams_by_key(const struct teams *t, const char *key)
{
	return g_hash_table_lookup(t->by_key, key);
}

const struct team *teams_find(const struct teams *t, const char *name)
{
	return g_hash_table_lookup(t->by_name, name);
}

size_t teams_count(const struct teams *t)
{
	return t->team->len;
}

const struct team *teams_at(const struct teams *t, size_t i)
{
	return t->team->pdata[i];
}

size_t teams_key_count(const struct teams *t)
{
	return g_hash_table_size(t->by_key);
}
