#ifndef TESTS_VM_SOAK_H
#define TESTS_VM_SOAK_H

#include <stdbool.h>
#include <stdint.h>

/*
 * soak - one play: a cell of real processes under a plan of troubles (troubles.h), while callers
 * hand in jobs, ask and cancel and keep connections open (callers.h, crowd.h), and checks when the
 * troubles are over and a bounded time has passed:
 *
 * - no process has ended by itself, and each that was sent SIGTERM ended with status 0;
 * - each VM is ready, and each accepted job that nobody cancelled is done, or has failed after as
 *   many runs as it has attempts, or lasts and runs; none answers 410;
 * - no task ran twice at the same time or started after its end was told; nothing runs on of a
 *   cancelled job, and nothing ran of a job whose attempts were all refused;
 * - each request that a calm process took has a status;
 * - memory and descriptors are back near what they were.
 *
 * The same conf and compiler give the same plan. Real processes vary in their timing, so a play
 * does not repeat itself exactly.
 */
struct soak;

struct soak_conf {
	uint32_t seed;
	uint32_t vms;
	uint32_t runners;
	uint32_t trouble_ms;	  /* length of the plan */
	uint32_t descriptors_max; /* of each process; 0: that of the test */
	uint64_t log_max_bytes;	  /* of each VM's log; 0: not limited */
};

struct soak *soak_create(const struct soak_conf *conf);
/* soak_destroy - ends the processes; after a failed play the folder of the logs is kept. */
void soak_destroy(struct soak *k);
/* soak_run - plays. On a failure, the plan and what was seen are printed. */
bool soak_run(struct soak *k);
/* soak_summary - counts of the play in one line; owned by the caller (g_free). */
char *soak_summary(const struct soak *k);

#endif
