#include <string.h>

#include <glib.h>

#include "taskranges.h"

/* An array of so few ranges is never shrunk. */
#define SHRINK_RANGES 8

void task_ranges_init(struct task_ranges *t)
{
	memset(t, 0, sizeof(*t));
}

void task_ranges_clear(struct task_ranges *t)
{
	g_free(t->range);
	task_ranges_init(t);
}

size_t task_ranges_bytes(const struct task_ranges *t)
{
	return t->capacity * sizeof(t->range[0]);
}

uint32_t task_ranges_length(const struct task_ranges *t, uint32_t i)
{
	uint32_t end = i + 1 < t->n ? t->range[i + 1].first : t->count;

	return end - t->range[i].first;
}

/* Most jobs have one or two ranges most of the time, so the array grows from one. */
static void insert(struct task_ranges *t, uint32_t i, const struct task_range *r)
{
	if (t->n == t->capacity) {
		t->capacity = t->capacity ? t->capacity * 2 : 1;
		t->range = g_renew(struct task_range, t->range, t->capacity);
	}
	memmove(&t->range[i + 1], &t->range[i], (t->n - i) * sizeof(t->range[0]));
	t->range[i] = *r;
	t->n++;
}

static bool same_state(const struct task_range *a, const struct task_range *b)
{
	return a->read_ms == b->read_ms && a->attempt == b->attempt && a->daemon == b->daemon &&
	       a->failures == b->failures && a->state == b->state;
}

void task_ranges_append(struct task_ranges *t, const struct task_range *r, uint32_t count)
{
	struct task_range added = *r;

	if (!count)
		return;
	added.first = t->count;
	t->count += count;
	if (t->n && same_state(&t->range[t->n - 1], &added))
		return;
	insert(t, t->n, &added);
}

static uint32_t find_range(const struct task_ranges *t, uint32_t index)
{
	uint32_t low = 0, high = t->n;

	while (high - low > 1) {
		uint32_t mid = low + (high - low) / 2;

		if (t->range[mid].first <= index)
			low = mid;
		else
			high = mid;
	}
	return low;
}

const struct task_range *task_ranges_at(const struct task_ranges *t, uint32_t index)
{
	g_assert(index < t->count);
	return &t->range[find_range(t, index)];
}

/* Splits the range that contains index, so that one begins there; returns its position. */
static uint32_t split(struct task_ranges *t, uint32_t index)
{
	struct task_range r;
	uint32_t i;

	if (index >= t->count)
		return t->n;
	i = find_range(t, index);
	if (t->range[i].first == index)
		return i;
	r = t->range[i];
	r.first = index;
	insert(t, i + 1, &r);
	return i + 1;
}

/* Merges neighbours that became equal, between the positions from and to. */
static void merge(struct task_ranges *t, uint32_t from, uint32_t to)
{
	uint32_t kept = from;

	for (uint32_t i = from + 1; i < t->n; i++) {
		if (i <= to && same_state(&t->range[kept], &t->range[i]))
			continue;
		t->range[++kept] = t->range[i];
	}
	if (t->n)
		t->n = kept + 1;
	if (t->capacity > SHRINK_RANGES && t->capacity / 4 >= t->n) {
		t->capacity /= 2;
		t->range = g_renew(struct task_range, t->range, t->capacity);
	}
}

void task_ranges_change(struct task_ranges *t, uint32_t first, uint32_t count, task_ranges_fn *fn,
			void *ctx)
{
	uint32_t from, to;

	if (first >= t->count || !count)
		return;
	count = MIN(count, t->count - first);
	from = split(t, first);
	to = split(t, first + count);
	for (uint32_t i = from; i < to; i++)
		fn(&t->range[i], task_ranges_length(t, i), ctx);
	merge(t, from ? from - 1 : 0, to);
}
