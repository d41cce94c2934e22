#ifndef CELL_RESOURCES_H
#define CELL_RESOURCES_H

#include <stdbool.h>
#include <stdint.h>

/*
 * resources - an amount of CPU, memory and accelerators: the capacity of a runner, or the need of a
 * task.
 */
struct resources {
	int64_t cpu_milli;
	int64_t mem_bytes;
	int64_t accel;
};

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
