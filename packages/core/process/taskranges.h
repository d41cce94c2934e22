#ifndef CORE_TASKRANGES_H
#define CORE_TASKRANGES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * taskranges - states of the tasks of one job, kept as ranges of neighbours that are alike.
 */
struct task_range {
	int64_t read_ms;  /* when the claim was read; 0 where it doesn't matter */
	uint32_t first;	  /* index of the first task; the range ends where the next begins */
	uint32_t attempt; /* current attempt, or the next one of a waiting task; from 1 */
	uint32_t daemon;  /* handle of the claimant, 0 for none */
	uint16_t failures;
	uint8_t state; /* enum task_state */
};

struct task_ranges {
	struct task_range *range;
	uint32_t n;
	uint32_t capacity;
	uint32_t count; /* number of tasks */
};

/* task_ranges_init - no tasks yet. */
void task_ranges_init(struct task_ranges *t);
void task_ranges_clear(struct task_ranges *t);
/* task_ranges_append - adds count tasks like r after the last; r->first doesn't matter. */
void task_ranges_append(struct task_ranges *t, const struct task_range *r, uint32_t count);
/* task_ranges_length - number of tasks in the i-th range. */
uint32_t task_ranges_length(const struct task_ranges *t, uint32_t i);
/* task_ranges_at - the range that holds index, which is below the extent. */
const struct task_range *task_ranges_at(const struct task_ranges *t, uint32_t index);

/* Changes a range of count tasks in place; may not change first. */
typedef void task_ranges_fn(struct task_range *r, uint32_t count, void *ctx);

/* task_ranges_change - calls fn for the ranges that make up count tasks from first, cut to fit. */
void task_ranges_change(struct task_ranges *t, uint32_t first, uint32_t count, task_ranges_fn *fn,
			void *ctx);
/* task_ranges_bytes - memory held besides struct task_ranges. */
size_t task_ranges_bytes(const struct task_ranges *t);

#endif
