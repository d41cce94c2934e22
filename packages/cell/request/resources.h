#ifndef CELL_RESOURCES_H
#define CELL_RESOURCES_H

#include <stdbool.h>
#include <stdint.h>

/* Of one runner and of one task: sums over all tasks of a job fit into 64 bits. */
#define RESOURCES_CPU_MAX_MILLI 1000000000
#define RESOURCES_MEM_MAX_MIB	268435456
#define RESOURCES_MEM_MAX_BYTES ((int64_t)RESOURCES_MEM_MAX_MIB << 20)
#define RESOURCES_ACCEL_MAX	1000000

/*
 * resources - an amount of CPU, memory and accelerators: the capacity of a runner, or the need of a
 * task.
 */
struct resources {
	int64_t cpu_milli;
	int64_t mem_bytes;
	int64_t accel;
};

/* resources_add - a sum beyond the range becomes its end: callers choose the amounts. */
void resources_add(struct resources *to, const struct resources *what);
void resources_sub(struct resources *from, const struct resources *what);
/* resources_exceed_share - true if any part is more than that share of whole, in 1/1000. */
bool resources_exceed_share(const struct resources *part, const struct resources *whole,
			    uint32_t share_milli);

/* Inline: called for each runner and step in each placement pass. */
static inline bool resources_fits(const struct resources *need, const struct resources *free)
{
	return need->cpu_milli <= free->cpu_milli && need->mem_bytes <= free->mem_bytes &&
	       need->accel <= free->accel;
}

#endif
