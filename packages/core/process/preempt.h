#ifndef CORE_PREEMPT_H
#define CORE_PREEMPT_H

#include "owner_priv.h"

/*
 * preempt - stops running work after a checkpoint, so that more urgent work can start. The work
 * that started last is stopped first, because it loses the least run time.
 */

/* preempt_init - initialises the heap of victims. */
void preempt_init(struct heap *victims);
/* preempt_for - frees capacity for a blocked item, once per item; false if nothing was stopped. */
bool preempt_for(struct owner *o, struct item *it);
/*
 * preempt_for_gang - stops work on the workers that are held for the oldest gang, as far as that
 * lets the gang start sooner. True if the whole gang fits once that work has ended.
 */
bool preempt_for_gang(struct owner *o, const struct gang *gang);
/* preempt_add_victim, preempt_remove_victim - running work becomes or stops being a victim. */
void preempt_add_victim(struct owner *o, struct item *it);
void preempt_remove_victim(struct owner *o, struct item *it);

#endif
