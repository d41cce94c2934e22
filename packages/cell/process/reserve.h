#ifndef CELL_RESERVE_H
#define CELL_RESERVE_H

#include "pending_step.h"

/*
 * reserve - reserves room on runners for the rest of a placement pass, against steps of lower rank.
 */

/* reserve_for_advice - reserves room, tightest fit first, for tasks that wait only for advice. */
void reserve_for_advice(const struct pending_step *ps, uint32_t waiting);
/*
 * reserve_on_freest - reserves room on the freest runners. Returns false if RESERVING_STEPS_MAX
 * steps of the pool have already done so.
 */
bool reserve_on_freest(const struct pending_step *ps, uint32_t waiting);
/*
 * reserve_on_approved - reserves the room that there is for tasks of an advised step, on approved
 * runners. A gang keeps it until it has enough: while it waits for further advice or for a task to
 * end, less urgent tasks would take each free part. Returns false if there is none.
 */
bool reserve_on_approved(const struct pending_step *ps, uint32_t count);
/*
 * reserve_by_preemption - stops runs of less urgent jobs to make room for `count` tasks, and
 * reserves it. For a late job it stops nothing, and reserves room that is free or being freed.
 * Returns false if there is not enough.
 */
bool reserve_by_preemption(struct pass *pass, const struct pending_step *ps, uint32_t count);

#endif
