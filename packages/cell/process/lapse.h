#ifndef CELL_LAPSE_H
#define CELL_LAPSE_H

#include "scheduler_priv.h"

/*
 * lapse - lets the leases of silent runners lapse, and writes their ends for later schedulers; see
 * lease_ends.h.
 *
 * A runner is lapsing from the writing of a record that names it until a record that doesn't name
 * it is stored. Meanwhile it gets no lease, and so no starts.
 */

/* lapse_init - takes over the ends that earlier schedulers wrote. */
void lapse_init(struct scheduler *s, const struct lease_ends *ends);
void lapse_clear(struct scheduler *s);
/* lapse_add_runner - sets the state of a runner that has just been created. */
void lapse_add_runner(struct scheduler *s, struct cell_runner *rn);
/*
 * lapse_inherited_end_ms - time by which all leases of earlier schedulers on the runner have ended.
 */
int64_t lapse_inherited_end_ms(const struct scheduler *s, const struct cell_runner *rn);
/*
 * lapse_check - notes whether the runner has to be in the record and isn't, or the other way round.
 * Returns when to look again, next_ms at the latest.
 */
int64_t lapse_check(struct scheduler *s, const struct cell_runner *rn, int64_t next_ms);
/* lapse_write - adds the record to those of the batch that is being written, if it has changed. */
void lapse_write(struct scheduler *s, GPtrArray *records);
/* lapse_written - batches up to batch_acked are stored. */
void lapse_written(struct scheduler *s);

#endif
