#ifndef CTL_ROLLOUT_H
#define CTL_ROLLOUT_H

#include <stdio.h>

#include "client.h"
#include "exit.h"

/*
 * rollout_wait - waits until every daemon that can be reached has version in force, and says on
 * err how far it is and on out where it is in force and where not yet. EXIT_NOT_RUN if it takes
 * longer than wait_ms or can't be seen.
 */
enum exit_status rollout_wait(struct client *c, uint64_t version, uint32_t wait_ms, FILE *out,
			      FILE *err);
/* main_loop_sleep - runs the main loop for that long. */
void main_loop_sleep(uint32_t ms);

#endif
