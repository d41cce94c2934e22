#include <malloc.h>
#include <stdio.h>
#include <time.h>

#include <valgrind/callgrind.h>

#include "bench.h"

#define TIMED_RUNS 5 /* the fastest one counts */

void bench_print_point(const char *name, const char *unit, const char *per, uint64_t x,
		       double value)
{
	printf("{\"name\":\"%s\",\"unit\":\"%s\",\"per\":\"%s\",\"x\":%" G_GUINT64_FORMAT
	       ",\"value\":%.17g}\n",
	       name, unit, per, x, value);
	fflush(stdout);
}

uint64_t bench_heap_bytes(void)
{
	struct mallinfo2 info = mallinfo2();

	return info.uordblks + info.hblkhd;
}

gboolean bench_under_callgrind(void)
{
	return RUNNING_ON_VALGRIND != 0;
}

static int64_t thread_cpu_ns(void)
{
	struct timespec t;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
	return (int64_t)t.tv_sec * 1000000000 + t.tv_nsec;
}

void bench_measure(const char *name, const char *per, uint64_t x, void (*fn)(void *ctx), void *ctx)
{
	g_autofree char *label = NULL;
	int64_t least_ns = INT64_MAX;

	if (!bench_under_callgrind()) {
		for (int i = 0; i < TIMED_RUNS; i++) {
			int64_t start = thread_cpu_ns();

			fn(ctx);
			least_ns = MIN(least_ns, thread_cpu_ns() - start);
		}
		label = g_strdup_printf("%s_ns", name);
		bench_print_point(label, "ns", per, x, (double)least_ns);
		return;
	}
	label = g_strdup_printf("%s_instructions %s %" G_GUINT64_FORMAT, name, per, x);
	CALLGRIND_ZERO_STATS;
	CALLGRIND_TOGGLE_COLLECT;
	fn(ctx);
	CALLGRIND_TOGGLE_COLLECT;
	CALLGRIND_DUMP_STATS_AT(label);
}
