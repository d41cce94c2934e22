#ifndef BENCH_BENCH_H
#define BENCH_BENCH_H

#include <stdint.h>

#include <glib.h>

/*
 * bench - prints measured points as JSON lines {"name","unit","per","x","value"}
 *
 * value is measured at size x, and per names what x counts. The units bytes, messages and
 * instructions are compared with the committed points; ns is not.
 */
void bench_print_point(const char *name, const char *unit, const char *per, uint64_t x,
		       double value);

/* bench_heap_bytes - bytes allocated with malloc(); needs G_SLICE=always-malloc */
uint64_t bench_heap_bytes(void);

/*
 * bench_measure - measures the cost of fn(ctx)
 *
 * Under callgrind, runs it once and dumps its instructions as NAME_instructions (see bench/run).
 * Otherwise runs it several times and prints the shortest processor time of this thread as NAME_ns.
 */
void bench_measure(const char *name, const char *per, uint64_t x, void (*fn)(void *ctx), void *ctx);

/* bench_under_callgrind - true under callgrind; points that don't depend on it are skipped then */
gboolean bench_under_callgrind(void);

#endif
