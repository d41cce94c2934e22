#ifndef CORE_HIST_H
#define CORE_HIST_H

#include <stddef.h>
#include <stdint.h>

/*
 * hist - log-linear histogram of fixed size: 1 to 2^36 in units of the caller, relative error of a
 * quantile at most 1/16. Two histograms merge by addition.
 */
#define HIST_SUB_BITS 3
#define HIST_BUCKETS  ((36 - HIST_SUB_BITS + 1) << HIST_SUB_BITS)

struct hist {
	uint64_t count;
	uint64_t sum;
	uint64_t max;
	uint32_t bucket[HIST_BUCKETS];
};

void hist_add(struct hist *h, uint64_t value);
void hist_merge(struct hist *into, const struct hist *from);
/* hist_quantile - value at quantile q_milli of 1000; 0 if the histogram is empty. */
uint64_t hist_quantile(const struct hist *h, uint32_t q_milli);
/* hist_upper_bound - smallest value that lies above bucket i. */
uint64_t hist_upper_bound(uint32_t i);

#endif
