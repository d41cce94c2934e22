#ifndef CORE_HEAP_H
#define CORE_HEAP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * heap - binary heap of pointers. Each element stores its position in a uint32_t at index_offset,
 * so that it can be removed from the middle. HEAP_NONE means that it is not in the heap.
 */
#define HEAP_NONE UINT32_MAX

struct heap {
	void **element;
	uint32_t n;
	uint32_t capacity;
	size_t index_offset;
	bool (*before)(const void *a, const void *b);
};

void heap_init(struct heap *h, bool (*before)(const void *a, const void *b), size_t index_offset);
/* heap_clear - frees the array but not the elements. */
void heap_clear(struct heap *h);
void heap_push(struct heap *h, void *element);
/* heap_top, heap_pop - first element, NULL if the heap is empty. */
void *heap_top(const struct heap *h);
void *heap_pop(struct heap *h);
/* heap_remove - no effect if the element is not in the heap. */
void heap_remove(struct heap *h, void *element);
/* heap_update - restores the order after the key of an element has changed. */
void heap_update(struct heap *h, void *element);
/* heap_filter - removes all elements for which keep() is false, in linear time. */
void heap_filter(struct heap *h, bool (*keep)(void *ctx, void *element), void *ctx);

#endif
