#include <string.h>

#include <glib.h>

#include "config_table.h"

enum { CHUNK_ITEMS = 32 };

struct chunk {
	int refs;
	uint32_t n;
	struct config_item *items[CHUNK_ITEMS];
};

struct chunk_ref {
	struct chunk *chunk;
	uint32_t start; /* index of its first item */
};

struct config_table {
	int refs;
	uint32_t n;	/* chunks, none of them empty */
	uint32_t count; /* items */
	struct chunk_ref slots[];
};

struct position {
	uint32_t slot;
	uint32_t pos;
	bool found;
};

struct config_item *config_item_create(void)
{
	struct config_item *item = g_new0(struct config_item, 1);

	item->refs = 1;
	return item;
}

struct config_item *config_item_ref(struct config_item *item)
{
	item->refs++;
	return item;
}

void config_item_unref(struct config_item *item)
{
	if (--item->refs == 0)
		g_free(item);
}

static struct chunk *chunk_create(struct config_item *const *items, uint32_t n)
{
	struct chunk *chunk = g_new0(struct chunk, 1);

	g_assert(n <= CHUNK_ITEMS);
	chunk->refs = 1;
	chunk->n = n;
	for (uint32_t i = 0; i < n; i++)
		chunk->items[i] = config_item_ref(items[i]);
	return chunk;
}

static void chunk_unref(struct chunk *chunk)
{
	if (--chunk->refs > 0)
		return;
	for (uint32_t i = 0; i < chunk->n; i++)
		config_item_unref(chunk->items[i]);
	g_free(chunk);
}

static struct config_table *alloc_table(uint32_t n)
{
	struct config_table *t = g_malloc0(sizeof(*t) + n * sizeof(t->slots[0]));

	t->refs = 1;
	t->n = n;
	return t;
}

struct config_table *config_table_create(void)
{
	return alloc_table(0);
}

struct config_table *config_table_ref(struct config_table *t)
{
	t->refs++;
	return t;
}

void config_table_unref(struct config_table *t)
{
	if (--t->refs > 0)
		return;
	for (uint32_t i = 0; i < t->n; i++)
		chunk_unref(t->slots[i].chunk);
	g_free(t);
}

uint32_t config_table_count(const struct config_table *t)
{
	return t->count;
}

/* Slot of the last chunk whose first name is at or before name, 0 if there is none. */
static uint32_t find_slot(const struct config_table *t, const char *name)
{
	uint32_t lo = 0, hi = t->n;

	while (hi - lo > 1) {
		uint32_t mid = (lo + hi) / 2;

		if (strcmp(t->slots[mid].chunk->items[0]->name, name) <= 0)
			lo = mid;
		else
			hi = mid;
	}
	return lo;
}

static struct position find_position(const struct config_table *t, const char *name)
{
	struct position p = { 0 };
	uint32_t hi;

	if (t->n == 0)
		return p;
	p.slot = find_slot(t, name);
	hi = t->slots[p.slot].chunk->n;
	while (p.pos < hi) {
		uint32_t mid = (p.pos + hi) / 2;
		int cmp = strcmp(t->slots[p.slot].chunk->items[mid]->name, name);

		if (cmp == 0) {
			p.pos = mid;
			p.found = true;
			return p;
		}
		if (cmp < 0)
			p.pos = mid + 1;
		else
			hi = mid;
	}
	return p;
}

struct config_item *config_table_find(const struct config_table *t, const char *name,
				      uint32_t *index)
{
	struct position p = find_position(t, name);

	if (!p.found)
		return NULL;
	if (index)
		*index = t->slots[p.slot].start + p.pos;
	return t->slots[p.slot].chunk->items[p.pos];
}

struct config_item *config_table_at(const struct config_table *t, size_t i)
{
	uint32_t lo = 0, hi = t->n;

	if (i >= t->count)
		return NULL;
	while (hi - lo > 1) {
		uint32_t mid = (lo + hi) / 2;

		if (t->slots[mid].start <= i)
			lo = mid;
		else
			hi = mid;
	}
	return t->slots[lo].chunk->items[i - t->slots[lo].start];
}

/* A copy of t with the chunk at slot replaced by n_new others. Takes over their references. */
static struct config_table *replace_chunk(const struct config_table *t, uint32_t slot,
					  struct chunk *const *new, uint32_t n_new)
{
	uint32_t n_old = t->n > 0 ? 1 : 0;
	struct config_table *next = alloc_table(t->n - n_old + n_new);
	uint32_t n = 0;

	for (uint32_t i = 0; i < slot; i++)
		next->slots[n++].chunk = t->slots[i].chunk;
	for (uint32_t i = 0; i < n_new; i++)
		next->slots[n++].chunk = new[i];
	for (uint32_t i = slot + n_old; i < t->n; i++)
		next->slots[n++].chunk = t->slots[i].chunk;
	for (uint32_t i = 0; i < n; i++) {
		if (i < slot || i >= slot + n_new)
			next->slots[i].chunk->refs++;
		next->slots[i].start = next->count;
		next->count += next->slots[i].chunk->n;
	}
	return next;
}

struct config_table *config_table_put(const struct config_table *t, struct config_item *item)
{
	static const struct chunk empty;
	struct position p = find_position(t, item->name);
	const struct chunk *old = t->n > 0 ? t->slots[p.slot].chunk : &empty;
	struct config_item *items[CHUNK_ITEMS + 1];
	struct chunk *new[2];
	uint32_t n = 0, half;
	struct config_table *next;

	for (uint32_t i = 0; i < p.pos; i++)
		items[n++] = old->items[i];
	items[n++] = item;
	for (uint32_t i = p.found ? p.pos + 1 : p.pos; i < old->n; i++)
		items[n++] = old->items[i];
	half = n > CHUNK_ITEMS ? n / 2 : n;
	new[0] = chunk_create(items, half);
	if (half < n)
		new[1] = chunk_create(items + half, n - half);
	next = replace_chunk(t, p.slot, new, half < n ? 2 : 1);
	config_item_unref(item);
	return next;
}

struct config_table *config_table_remove(const struct config_table *t, const char *name)
{
	struct position p = find_position(t, name);
	struct config_item *items[CHUNK_ITEMS];
	struct chunk *old, *new;
	uint32_t n = 0;

	g_assert(p.found);
	old = t->slots[p.slot].chunk;
	for (uint32_t i = 0; i < old->n; i++)
		if (i != p.pos)
			items[n++] = old->items[i];
	if (n == 0)
		return replace_chunk(t, p.slot, NULL, 0);
	new = chunk_create(items, n);
	return replace_chunk(t, p.slot, &new, 1);
}
