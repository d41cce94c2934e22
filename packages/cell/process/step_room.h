#ifndef CELL_STEP_ROOM_H
#define CELL_STEP_ROOM_H

#include "pending_step.h"

/*
 * step_room - the runners that have room for tasks of a step, best first, while its tasks are
 * placed.
 *
 * The runners are examined once for all tasks of the step, and those that get a task once more
 * each: in a full cell hundreds of steps wait, and each is tried in every pass.
 */
struct step_room;

/* step_room_create - rack: NULL for any; ticketed: only runners with a valid ticket. */
struct step_room *step_room_create(const struct pass *pass, const struct pending_step *ps,
				   const char *rack, bool ticketed);
void step_room_destroy(struct step_room *r);
/* step_room_best - returns the best runner but the one with handle avoid - 1, NULL for none. */
struct cell_runner *step_room_best(const struct step_room *r, uint32_t avoid);
/*
 * step_room_emptiest - as step_room_best(), but the runner with the fewest runs, and one on another
 * host than avoid_host if there is one.
 */
struct cell_runner *step_room_emptiest(const struct step_room *r, uint32_t avoid,
				       uint64_t avoid_host);
/* step_room_taken - room on the runner was used or reserved. */
void step_room_taken(struct step_room *r, struct cell_runner *rn);
/* step_room_holds - true if there is room for that many tasks. */
bool step_room_holds(const struct step_room *r, uint32_t count);

#endif
