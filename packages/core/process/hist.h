#ifndef CORE_HIST_H
#define CORE_HIST_H

#include <stddef.h>
#include <stdint.h>

/*
 * hist - log-linear histogram of fixed size for values up to 2^36, in units of the caller.
 *
 * The relative error of a quantile is at most 1/16. Larger values count in the last bucket. Two
 * histograms are merged by adding their buckets.
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
/* hist_quantile - value at quantile q_milli, in thousandths; 0 if the histogram is empty. */
uint64_t hist_quantile(const struct hist *h, uint32_t q_milli);
/* hist_upper_bound - exclusive upper bound of bucket i. */
uint64_t hist_upper_bound(uint32_t i);

#endif
