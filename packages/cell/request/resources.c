#include "resources.h"

static int64_t add(int64_t a, int64_t b)
{
	int64_t sum;

	if (__builtin_add_overflow(a, b, &sum))
		return b < 0 ? INT64_MIN : INT64_MAX;
	return sum;
}

void resources_add(struct resources *to, const struct resources *what)
{
	to->cpu_milli = add(to->cpu_milli, what->cpu_milli);
	to->mem_bytes = add(to->mem_bytes, what->mem_bytes);
	to->accel = add(to->accel, what->accel);
}

void resources_sub(struct resources *from, const struct resources *what)
{
	from->cpu_milli -= what->cpu_milli;
	from->mem_bytes -= what->mem_bytes;
	from->accel -= what->accel;
}

static bool exceeds(int64_t part, int64_t whole, uint32_t share_milli)
{
	return part * 1000 > whole * share_milli;
}

bool resources_exceed_share(const struct resources *part, const struct resources *whole,
			    uint32_t share_milli)
{
	return exceeds(part->cpu_milli, whole->cpu_milli, share_milli) ||
	       exceeds(part->mem_bytes, whole->mem_bytes, share_milli) ||
	       exceeds(part->accel, whole->accel, share_milli);
}
