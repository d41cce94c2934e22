#ifndef CELL_INTERFERENCE_H
#define CELL_INTERFERENCE_H

#include "scheduler_priv.h"

/*
 * interference - keeps fillers from slowing down serving tasks.
 *
 * Fillers slow down serving tasks that have a target for their tail latency, by an amount that
 * isn't known in advance and changes. The two are placed on different runners where there is a
 * choice. Where there is none they share one, and the tail latency that the runner reports decides:
 * while a serving task is over its target, the fillers beside it are stopped, and start there again
 * after a pause that doubles each time.
 */
#define INTERFERENCE_OVER_MS	  1000	/* over its target for so long: fillers are stopped */
#define INTERFERENCE_PAUSE_MIN_MS 10000 /* without fillers on the runner */
#define INTERFERENCE_PAUSE_MAX_MS 80000
#define INTERFERENCE_POLL_WAIT_MS 500 /* a runner reports the tail latency of the last 500 ms */

/* interference_forbids - true if tasks of the step may not start on the runner now. */
bool interference_forbids(const struct cell_runner *rn, const Cell__Step *spec, int64_t now_ms);
/* interference_is_likely - true if the step and a run on the runner may interfere. */
bool interference_is_likely(const struct cell_runner *rn, const Cell__Step *spec);
/* interference_is_shared - true if serving tasks with a target and fillers share the runner. */
bool interference_is_shared(const struct cell_runner *rn);
/* interference_note_tail - processes the reported tail latency of a serving task. */
void interference_note_tail(struct scheduler *s, struct run *r, uint32_t tail_ms);

#endif
