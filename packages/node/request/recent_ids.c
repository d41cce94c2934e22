#include <glib.h>

#include "recent_ids.h"

/* Two generations: the ids of the older one are dropped together when the newer one is full. */
struct recent_ids {
	GHashTable *newer;
	GHashTable *older;
	int64_t keep_ms;
	int64_t turn_ms; /* the generations change then */
};

static GHashTable *generation(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

struct recent_ids *recent_ids_create(int64_t keep_ms)
{
	struct recent_ids *r = g_new0(struct recent_ids, 1);

	r->newer = generation();
	r->older = generation();
	r->keep_ms = keep_ms;
	return r;
}

void recent_ids_destroy(struct recent_ids *r)
{
	if (!r)
		return;
	g_hash_table_unref(r->newer);
	g_hash_table_unref(r->older);
	g_free(r);
}

static void drop_old(struct recent_ids *r, int64_t now_ms)
{
	GHashTable *emptied = r->older;

	if (now_ms < r->turn_ms)
		return;
	g_hash_table_remove_all(emptied);
	/* Nothing was added for a whole period, so those of the newer generation are old too. */
	if (now_ms >= r->turn_ms + r->keep_ms)
		g_hash_table_remove_all(r->newer);
	r->older = r->newer;
	r->newer = emptied;
	r->turn_ms = now_ms + r->keep_ms;
}

void recent_ids_add(struct recent_ids *r, const char *id, int64_t now_ms)
{
	drop_old(r, now_ms);
	g_hash_table_add(r->newer, g_strdup(id));
}

bool recent_ids_contains(struct recent_ids *r, const char *id, int64_t now_ms)
{
	drop_old(r, now_ms);
	return g_hash_table_contains(r->newer, id) || g_hash_table_contains(r->older, id);
}
