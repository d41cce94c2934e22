#ifndef CTL_ROLLOUT_H
#define CTL_ROLLOUT_H

#include <stdio.h>

#include "client.h"
#include "exit.h"

/*
 * rollout_wait - waits until version is in force on every reachable daemon.
 *
 * Writes progress to err, and to out on how many daemons the version is in force and which lack it.
 * Returns EXIT_DONE, or EXIT_NOT_RUN if wait_ms passed or the state of the daemons is not known.
 */
enum exit_status rollout_wait(struct client *c, uint64_t version, uint32_t wait_ms, FILE *out,
			      FILE *err);
/* main_loop_sleep - runs the default main loop for ms milliseconds. */
void main_loop_sleep(uint32_t ms);

#endif
