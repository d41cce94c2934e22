#include <glib.h>

#include "heap.h"

static uint32_t *index_of(const struct heap *h, void *element)
{
	return (uint32_t *)((char *)element + h->index_offset);
}

static void place(struct heap *h, uint32_t i, void *element)
{
	h->element[i] = element;
	*index_of(h, element) = i;
}

static void sift_up(struct heap *h, uint32_t i)
{
	void *element = h->element[i];

	while (i > 0) {
		uint32_t parent = (i - 1) / 2;

		if (!h->before(element, h->element[parent]))
			break;
		place(h, i, h->element[parent]);
		i = parent;
	}
	place(h, i, element);
}

static void sift_down(struct heap *h, uint32_t i)
{
	void *element = h->element[i];

	for (;;) {
		uint32_t child = 2 * i + 1;

		if (child >= h->n)
			break;
		if (child + 1 < h->n && h->before(h->element[child + 1], h->element[child]))
			child++;
		if (!h->before(h->element[child], element))
			break;
		place(h, i, h->element[child]);
		i = child;
	}
	place(h, i, element);
}

void heap_init(struct heap *h, bool (*before)(const void *a, const void *b), size_t index_offset)
{
	*h = (struct heap){ .before = before, .index_offset = index_offset };
}

void heap_clear(struct heap *h)
{
	g_free(h->element);
	h->element = NULL;
	h->n = 0;
	h->capacity = 0;
}

void heap_push(struct heap *h, void *element)
{
	if (h->n == h->capacity) {
		h->capacity = h->capacity ? 2 * h->capacity : 16;
		h->element = g_renew(void *, h->element, h->capacity);
	}
	place(h, h->n, element);
	sift_up(h, h->n++);
}

void *heap_top(const struct heap *h)
{
	return h->n ? h->element[0] : NULL;
}

void *heap_pop(struct heap *h)
{
	void *top = heap_top(h);

	if (top)
		heap_remove(h, top);
	return top;
}

void heap_remove(struct heap *h, void *element)
{
	uint32_t i = *index_of(h, element);
	void *last;

	if (i == HEAP_NONE)
		return;
	g_assert(i < h->n && h->element[i] == element);
	last = h->element[--h->n];
	if (last != element) {
		place(h, i, last);
		heap_update(h, last);
	}
	*index_of(h, element) = HEAP_NONE;
}

void heap_update(struct heap *h, void *element)
{
	uint32_t i = *index_of(h, element);

	if (i > 0 && h->before(element, h->element[(i - 1) / 2]))
		sift_up(h, i);
	else
		sift_down(h, i);
}

void heap_filter(struct heap *h, bool (*keep)(void *ctx, void *element), void *ctx)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < h->n; i++) {
		void *element = h->element[i];

		*index_of(h, element) = HEAP_NONE;
		if (keep(ctx, element))
			place(h, n++, element);
	}
	h->n = n;
	for (uint32_t i = n / 2; i-- > 0;)
		sift_down(h, i);
}
