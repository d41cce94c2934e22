#include "hist.h"

#define HIST_SUB_BUCKETS (1U << HIST_SUB_BITS)
#define HIST_LIMIT	 ((uint64_t)1 << 36)

static uint32_t bucket_index(uint64_t value)
{
	uint32_t shift;

	if (value < HIST_SUB_BUCKETS)
		return (uint32_t)value;
	if (value >= HIST_LIMIT)
		return HIST_BUCKETS - 1;
	shift = 63 - (uint32_t)__builtin_clzll(value) - HIST_SUB_BITS;
	return ((shift + 1) << HIST_SUB_BITS) +
	       (uint32_t)((value >> shift) & (HIST_SUB_BUCKETS - 1));
}

static uint64_t lower_bound(uint32_t i)
{
	return i == 0 ? 0 : hist_upper_bound(i - 1);
}

static uint32_t add_saturated(uint32_t a, uint32_t b)
{
	return a > UINT32_MAX - b ? UINT32_MAX : a + b;
}

uint64_t hist_upper_bound(uint32_t i)
{
	uint32_t octave = i >> HIST_SUB_BITS;
	uint64_t sub = i & (HIST_SUB_BUCKETS - 1);

	if (octave == 0)
		return sub + 1;
	return (HIST_SUB_BUCKETS + sub + 1) << (octave - 1);
}

void hist_add(struct hist *h, uint64_t value)
{
	uint32_t *b = &h->bucket[bucket_index(value)];

	h->count++;
	h->sum += value;
	if (value > h->max)
		h->max = value;
	*b = add_saturated(*b, 1);
}

void hist_merge(struct hist *into, const struct hist *from)
{
	into->count += from->count;
	into->sum += from->sum;
	if (from->max > into->max)
		into->max = from->max;
	for (uint32_t i = 0; i < HIST_BUCKETS; i++)
		into->bucket[i] = add_saturated(into->bucket[i], from->bucket[i]);
}

uint64_t hist_quantile(const struct hist *h, uint32_t q_milli)
{
	uint64_t total = 0;
	uint64_t seen = 0;
	uint64_t rank;

	for (uint32_t i = 0; i < HIST_BUCKETS; i++)
		total += h->bucket[i];
	if (total == 0)
		return 0;
	if (q_milli >= 1000)
		return h->max;
	rank = total * q_milli / 1000;
	for (uint32_t i = 0; i < HIST_BUCKETS; i++) {
		uint64_t middle;

		seen += h->bucket[i];
		if (seen <= rank)
			continue;
		middle = lower_bound(i) + (hist_upper_bound(i) - lower_bound(i)) / 2;
		return middle < h->max ? middle : h->max;
	}
	return h->max;
}
