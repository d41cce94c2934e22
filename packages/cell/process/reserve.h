#ifndef CELL_RESERVE_H
#define CELL_RESERVE_H

#include "pending_step.h"

#define RESERVE_HORIZON_MS 12000 /* room that is expected later is not reserved yet */
#define RESERVE_OVERRUN_MS 30000 /* a run that exceeds its estimate by more may go on for long */
#define RESERVE_POOL_MILLI 500	 /* share of the runners for large tasks, and for all that yield */

/*
 * reserve - reserves room on runners for the rest of a placement pass, against steps of lower rank.
 */

/*
 * reserve_backfill_ms - for how long a task of the step may use room that is reserved for another
 * one, but not complete yet. INT64_MAX if it must not use it.
 */
int64_t reserve_backfill_ms(const Cell__Step *spec);
/* reserve_for_advice - reserves room, tightest fit first, for tasks that wait only for advice. */
void reserve_for_advice(const struct pending_step *ps, uint32_t waiting);
/*
 * reserve_on_freest - reserves room on the freest of the runners that are expected to have it
 * within RESERVE_HORIZON_MS. Room that is occupied for longer, as by lasting tasks, would only be
 * kept from other steps. Estimates may be wrong, so except for gangs a part of the pool is left to
 * others: large tasks start on a part of the runners at a time. Gangs keep most of an idle pool for
 * a bounded time; see hold.h. Tasks that end before the step is expected to start may use the room:
 * a run that has exceeded its estimate is expected to go on for as long again, but no longer than
 * its estimate. Returns false if there is no such runner, or RESERVING_STEPS_MAX steps of the pool
 * have reserved room already.
 */
bool reserve_on_freest(const struct pass *pass, const struct pending_step *ps, uint32_t waiting);
/*
 * reserve_has_prospect - whether runners are expected to have room for `count` tasks of the step at
 * the same moment, within RESERVE_HORIZON_MS.
 */
bool reserve_has_prospect(const struct pass *pass, const struct pending_step *ps, uint32_t count);
/*
 * reserve_on_approved - reserves the room that there is for an advised gang, on approved runners.
 * It keeps it until it has enough: while it waits for further advice or for a task to end, less
 * urgent tasks would take each free part, but for those that end before. Returns for how many
 * members there is room.
 */
uint32_t reserve_on_approved(const struct pass *pass, const struct pending_step *ps);
/*
 * reserve_by_preemption - stops runs of less urgent jobs to make room for `count` tasks, and
 * reserves it. For a late job it stops nothing, and reserves room that is free or being freed.
 * Returns false if there is not enough.
 */
bool reserve_by_preemption(struct pass *pass, const struct pending_step *ps, uint32_t count);

#endif
