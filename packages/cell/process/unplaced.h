#ifndef CELL_UNPLACED_H
#define CELL_UNPLACED_H

#include "pending_step.h"

/*
 * unplaced - bounds the cost of a placement pass in a full pool.
 *
 * Thousands of steps may wait. Once UNPLACED_IN_ROW_MAX steps in a row have found no room, the pool
 * is crowded for the rest of the pass: a step that demands no less than one of them is skipped. One
 * that demands less, or another kind of runner, is still examined.
 */
#define UNPLACED_IN_ROW_MAX  48
#define UNPLACED_ADVISED_MAX 48 /* steps with an advisor that find no room in a crowded pool */

/* unplaced_note - tasks of the step found no room on its candidates. */
void unplaced_note(const struct pass *pass, const struct pending_step *ps);
/* unplaced_is_known - true if the step needs not be examined, as it will find no room. */
bool unplaced_is_known(const struct pass *pass, const struct pending_step *ps);

#endif
