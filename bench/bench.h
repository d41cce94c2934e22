#ifndef BENCH_BENCH_H
#define BENCH_BENCH_H

#include <stdint.h>

#include <glib.h>

/*
 * bench - points measured by the programs of this folder, printed as JSON lines
 * {"name","unit","per","x","value"}: value at size x of what per names.
 *
 * Units bytes, messages and instructions are counts and are judged; ns is time and is not.
 */
void bench_print_point(const char *name, const char *unit, const char *per, uint64_t x,
		       double value);

/* bench_memory_bytes - bytes in use by malloc; run with G_SLICE=always-malloc. */
uint64_t bench_heap_bytes(void);

/*
 * bench_measure - under callgrind, runs fn(ctx) once and dumps its instructions under
 * NAME_instructions (see bench/run); else runs it several times and prints the least processor time
 * of this thread as NAME_ns.
 */
void bench_measure(const char *name, const char *per, uint64_t x, void (*fn)(void *ctx), void *ctx);

/* bench_counting - true under callgrind, where counts that don't depend on it are left out. */
gboolean bench_under_callgrind(void);

#endif
