#include "hold.h"

struct hold {
	int64_t since_ms;
	int64_t yield_until_ms; /* 0 before */
	bool noted;		/* in the pass that ended last, or in this one */
};

GHashTable *hold_table_create(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

bool hold_begin_pass(struct scheduler *s, const struct pass_pool *pool)
{
	struct hold *h = g_hash_table_lookup(s->holds, pool->service);

	if (!h)
		return false;
	if (h->yield_until_ms > s->now_ms)
		return true;
	if (h->yield_until_ms || !h->noted) {
		g_hash_table_remove(s->holds, pool->service);
		return false;
	}
	h->noted = false;
	if (s->now_ms - h->since_ms < HOLD_MAX_MS)
		return false;
	h->yield_until_ms = s->now_ms + HOLD_YIELD_MS;
	return true;
}

static bool is_idle(int64_t used, int64_t capacity)
{
	return used * 1000 < capacity * HOLD_IDLE_MILLI;
}

void hold_note(struct scheduler *s, const struct pass_pool *pool)
{
	struct hold *h = g_hash_table_lookup(s->holds, pool->service);

	if (!is_idle(pool->used.cpu_milli, pool->capacity.cpu_milli) &&
	    !is_idle(pool->used.accel, pool->capacity.accel))
		return;
	if (!h) {
		h = g_new0(struct hold, 1);
		h->since_ms = s->now_ms;
		g_hash_table_insert(s->holds, g_strdup(pool->service), h);
	}
	h->noted = true;
}
