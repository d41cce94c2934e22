#ifndef TESTS_VM_RUN_RECORD_H
#define TESTS_VM_RUN_RECORD_H

#include <stdbool.h>
#include <stdint.h>

/*
 * run_record - what all runner stand-ins of a cell have run, to find tasks that ran twice at the
 * same time or were started after their end was told. Runners are named by their pointers.
 *
 * A run whose runner's lease is over does not count as running: its runner may be late to end it.
 */
struct run_record;

struct run_record *run_record_create(void);
void run_record_destroy(struct run_record *rec);

/* run_record_start - a run begins. */
void run_record_start(struct run_record *rec, const void *runner, const char *task, uint32_t run);
/* run_record_lease - the runner's lease lasts until until_ms of the steady clock. */
void run_record_lease(struct run_record *rec, const void *runner, int64_t until_ms);
/* run_record_end - a run is over; done: it ended as done. */
void run_record_end(struct run_record *rec, const void *runner, const char *task, uint32_t run,
		    bool done);
/* run_record_failed - the run has ended as failed; call run_record_end() too. */
void run_record_failed(struct run_record *rec, const char *task, uint32_t run);
/* run_record_failed_runs - different numbers of runs of the job's tasks that failed. */
uint32_t run_record_failed_runs(const struct run_record *rec, const char *job);
/* run_record_told - the end "done" of this run was taken note of. */
void run_record_told(struct run_record *rec, const char *task, uint32_t run);
/* run_record_lost - the runner has crashed: nothing runs there. */
void run_record_lost(struct run_record *rec, const void *runner);

/* run_record_starts - starts of tasks whose name begins with prefix. */
uint32_t run_record_starts(const struct run_record *rec, const char *prefix);
/* run_record_running - runs of tasks whose name begins with prefix that go on. */
uint32_t run_record_running(const struct run_record *rec, const char *prefix);
/* run_record_faults - a line for each fault, "" without any; owned by rec. */
const char *run_record_faults(const struct run_record *rec);

#endif
