#ifndef CORE_PREEMPT_H
#define CORE_PREEMPT_H

#include "owner_priv.h"

/*
 * preempt - asks running work to checkpoint and stop, so that more urgent work can start. The work
 * that has run for the shortest time goes first, as least is wasted.
 */

/* preempt_init - sets up the order of victims. */
void preempt_init(struct heap *victims);
/* preempt_for - makes room for work that finds none, once for each; false if it can't. */
bool preempt_for(struct owner *o, struct item *it);
/*
 * preempt_for_gang - stops work on the workers that the oldest gang holds, as far as that lets the
 * gang start sooner; true if nothing else stands in its way.
 */
bool preempt_for_gang(struct owner *o, const struct gang *gang);
/* preempt_add_victim, preempt_remove_victim - running work may, or can't any more, be preempted. */
void preempt_add_victim(struct owner *o, struct item *it);
void preempt_remove_victim(struct owner *o, struct item *it);

#endif
