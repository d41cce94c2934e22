#ifndef TESTS_CELL_FIXTURE_H
#define TESTS_CELL_FIXTURE_H

#include "process/scheduler.h"

/*
 * fixture - a scheduler with a job table and a configuration. Its orders are kept in lists, for the
 * test to answer. Time advances only in fixture_advance().
 */
struct fixture_start {
	char *runner;
	char *task;
	char *ticket;
	char *checkpoint;
	uint32_t run;
	int64_t deadline_ms;
	uint32_t attempt;
	uint32_t fence_seq;
};

struct fixture_stop {
	char *runner;
	char *task;
	uint32_t run;
	uint32_t fence_seq;
};

struct fixture_poll {
	uint64_t poll_id;
	char *runner;
	int64_t deadline_ms;
	uint64_t acked_end;
	uint32_t wait_ms;
	uint32_t fence_seq;
};

struct fixture_runner {
	char *id;
	char *service;
	char *rack;
	int64_t cpu_milli;
	int64_t accel;
};

struct fixture_advice {
	char *step;
	char **runner;
	size_t n;
};

struct fixture {
	struct job_table *jobs;
	struct queues *queues;
	struct scheduler *sched;
	int64_t now_ms;
	int64_t wall_ms;
	uint32_t write_every_ms; /* for the next scheduler; 0 by default */
	uint32_t inherited_ms;	 /* for the next scheduler; 15 s by default */
	int64_t incarnation_ms;	 /* incarnation of the runners that answer polls */
	struct lease_ends
		*lease_ends; /* for the next scheduler; NULL by default, owned by the test */
	GArray *start;	     /* orders without an answer, oldest first */
	GArray *stop;
	GArray *poll;
	GArray *advice;
	uint64_t batch;	    /* last one not acknowledged, 0 for none */
	GPtrArray *records; /* of the batch */
	uint64_t term;	    /* of the scheduler */
	uint32_t fenced;
	uint32_t starts; /* start orders so far */
	uint32_t advice_requests;
	uint32_t expired;    /* jobs that may be deleted */
	GHashTable *log;     /* of GBytes by key: the newest stored record of each */
	GPtrArray *runners;  /* of struct fixture_runner that were added */
	GPtrArray *withdraw; /* ids of tentative jobs that are dropped when a job expires; NULL for
				none */
};

struct fixture *fixture_create(void);
void fixture_destroy(struct fixture *f);
/* fixture_add_queue - adds a queue, with an advisor if advice_base_ms is not 0. */
void fixture_add_queue(struct fixture *f, const char *name, const char *service, uint32_t priority,
		       uint32_t attempts, uint32_t advice_base_ms);
/* fixture_start_scheduler - creates the scheduler; call it after adding queues. */
void fixture_start_scheduler(struct fixture *f);
/* fixture_add_runner - lists a runner in data centre "dc", of incarnation 1000. */
void fixture_add_runner(struct fixture *f, const char *id, const char *service, const char *rack,
			int64_t cpu_milli, int64_t accel);
/* fixture_new_job - returns a job of one step, which may be changed before fixture_submit(). */
Cell__Job *fixture_new_job(const char *id, const char *queue, uint32_t count, uint32_t cpu_milli);
Cell__Step *fixture_add_step(Cell__Job *job, uint32_t count, uint32_t cpu_milli);
/* fixture_submit - applies the job's record to the table; frees job. */
void fixture_submit(struct fixture *f, Cell__Job *job);
/*
 * fixture_submit_tentative - submits a job whose record is not stored yet; call fixture_submit() or
 * job_table_drop_tentative() next.
 */
void fixture_submit_tentative(struct fixture *f, Cell__Job *job);
/* fixture_cancel - applies a cancellation, as read from the log. */
void fixture_cancel(struct fixture *f, const char *id);
/* fixture_advance - advances the time and ticks the scheduler. */
void fixture_advance(struct fixture *f, int64_t ms);
/* fixture_ack_batch - acknowledges the batch; returns its number of records. */
uint32_t fixture_ack_batch(struct fixture *f);
/* fixture_poll_all - answers all polls with empty lists. */
void fixture_poll_all(struct fixture *f);
/* fixture_poll_answer - answers the runner's oldest poll; false if there is none. */
bool fixture_poll_answer(struct fixture *f, const char *runner, const struct poll_running *running,
			 size_t n_running, const struct poll_ended *ended, size_t n_ended);
/* fixture_poll_other - another runner answers the runner's oldest poll; false if there is none. */
bool fixture_poll_other(struct fixture *f, const char *runner);
/* fixture_poll_lost - the runner's oldest poll gets no reply; false if there is none. */
bool fixture_poll_lost(struct fixture *f, const char *runner);
/* fixture_start_answer - answers the oldest start of the task; false if there is none. */
bool fixture_start_answer(struct fixture *f, const char *task, enum start_result result);
/* fixture_accept_starts - answers all starts with START_OK. */
void fixture_accept_starts(struct fixture *f);
/* fixture_end_run - reports the end of a run in the reply to the next poll. */
void fixture_end_run(struct fixture *f, const char *runner, uint64_t seq, const char *task,
		     uint32_t run, enum run_end end);
/* fixture_advise - answers the oldest advice request; approved: runners to approve, "" for all. */
bool fixture_advise(struct fixture *f, const char *approved, int64_t validity_ms);
struct cell_job *fixture_find_job(struct fixture *f, const char *id);
/*
 * fixture_start_cell - creates the scheduler, with runners "r0", "r1", ... of service "desk" that
 * have answered a poll, in turn in "rack0" and, with two racks, "rack1". Call it after adding
 * queues.
 */
void fixture_start_cell(struct fixture *f, uint32_t runners, uint32_t racks, int64_t cpu_milli,
			int64_t accel);
/* fixture_default - with queues "urgent" and "batch", and runners "r0", "r1", ... in two racks. */
struct fixture *fixture_default(uint32_t runners, int64_t cpu_milli);
/* fixture_submit_and_start - submits the job and starts all tasks that have room. */
void fixture_submit_and_start(struct fixture *f, Cell__Job *job);
/* fixture_start_at - returns the i-th start without an answer. */
struct fixture_start *fixture_start_at(struct fixture *f, guint i);

/*
 * fixture_replace_scheduler - the scheduler is lost with all orders, answers and writes that are in
 * flight; its successor reads the stored records and lists the same runners. lose_all: so is the
 * job table, as if all processes were killed.
 */
void fixture_replace_scheduler(struct fixture *f, bool lose_all);
/* fixture_restart_r0 - lists r0 with a new incarnation, which answers polls from then on. */
void fixture_restart_r0(struct fixture *f);

#endif
