#ifndef CORE_TASKRANGES_H
#define CORE_TASKRANGES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * taskranges - states of the tasks of one job, run-length encoded: neighbours with the same state
 * form a range.
 */
struct task_range {
	int64_t read_ms;  /* when the claim was read, 0 if not needed */
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

/* task_ranges_init - starts with no tasks. */
void task_ranges_init(struct task_ranges *t);
void task_ranges_clear(struct task_ranges *t);
/* task_ranges_append - appends count tasks in the state of r; ignores r->first. */
void task_ranges_append(struct task_ranges *t, const struct task_range *r, uint32_t count);
/* task_ranges_length - number of tasks in range i. */
uint32_t task_ranges_length(const struct task_ranges *t, uint32_t i);
/* task_ranges_at - range of the task with that index, which must be below count. */
const struct task_range *task_ranges_at(const struct task_ranges *t, uint32_t index);

/* Changes the state of a range of count tasks; may not change first. */
typedef void task_ranges_fn(struct task_range *r, uint32_t count, void *ctx);

/* task_ranges_change - calls fn for count tasks from first; splits and merges ranges as needed. */
void task_ranges_change(struct task_ranges *t, uint32_t first, uint32_t count, task_ranges_fn *fn,
			void *ctx);
/* task_ranges_bytes - memory allocated in addition to the struct. */
size_t task_ranges_bytes(const struct task_ranges *t);

#endif
