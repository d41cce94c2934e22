#ifndef TESTS_CELL_BED_H
#define TESTS_CELL_BED_H

#include "process/scheduler.h"

/*
 * bed - a scheduler with a book and a configuration, whose orders are kept in lists and answered by
 * the test. Time stands still but for bed_pass().
 */
struct bed_start {
	char *runner;
	char *task;
	char *ticket;
	char *checkpoint;
	uint32_t run;
	int64_t deadline_ms;
	uint32_t rank;
};

struct bed_stop {
	char *runner;
	char *task;
	uint32_t run;
};

struct bed_poll {
	uint64_t poll_id;
	char *runner;
	int64_t deadline_ms;
	uint64_t acked_end;
	uint32_t wait_ms;
};

struct bed_ask {
	char *step;
	char **runner;
	size_t n;
};

struct bed {
	struct job_table *jobs;
	struct queues *queues;
	struct scheduler *sched;
	int64_t now_ms;
	int64_t wall_ms;
	uint32_t write_every_ms; /* of the schedulers that begin; 0 at first */
	uint32_t inherited_ms;	 /* of the schedulers that begin; 15 s at first */
	int64_t born_ms;	 /* life of the runners that answer looks */
	GArray *start;		 /* orders that were not answered yet, oldest first */
	GArray *stop;
	GArray *poll;
	GArray *ask;
	uint64_t batch;	    /* that waits to be acknowledged, 0 for none */
	GPtrArray *records; /* of it */
	uint32_t fenced;
	uint32_t starts; /* ordered so far */
	uint32_t asks;
};

struct bed *bed_create(void);
void bed_destroy(struct bed *b);
/* bed_queue - a queue named service/priority, with an advisor if decide_ms is not 0. */
void bed_queue(struct bed *b, const char *name, const char *service, uint32_t priority,
	       uint32_t attempts, uint32_t decide_ms);
/* bed_begin - makes the scheduler; to be called after the queues. */
void bed_begin(struct bed *b);
/* bed_runner - a listed runner, in data centre "dc", of life 1000. */
void bed_runner(struct bed *b, const char *id, const char *service, const char *rack,
		int64_t cpu_milli, int64_t accel);
/* bed_job - a job of one step; the step may be changed before bed_submit(). */
Cell__Job *bed_job(const char *id, const char *queue, uint32_t count, uint32_t cpu_milli);
Cell__Step *bed_add_step(Cell__Job *job, uint32_t count, uint32_t cpu_milli);
void bed_submit(struct bed *b, Cell__Job *job);
/* bed_offer - a job whose record is not stored yet; bed_submit() or job_table_drop_tentative()
 * follows. */
void bed_offer(struct bed *b, Cell__Job *job);
/* bed_cancel - as if read from the log. */
void bed_cancel(struct bed *b, const char *id);
/* bed_pass - lets time go by and ticks the scheduler. */
void bed_pass(struct bed *b, int64_t ms);
/* bed_ack - acknowledges the batch; returns the number of its records. */
uint32_t bed_ack(struct bed *b);
/* bed_settle - looks at all runners that are waiting for it, answered by what runs there. */
void bed_settle(struct bed *b);
/* bed_poll_answer - answers the oldest look at runner; false if there is none. */
bool bed_poll_answer(struct bed *b, const char *runner, const struct poll_running *running,
		     size_t n_running, const struct poll_ended *ended, size_t n_ended);
bool bed_poll_lost(struct bed *b, const char *runner);
/* bed_start_answer - answers the oldest start of the task; false if there is none. */
bool bed_start_answer(struct bed *b, const char *task, enum start_result result);
/* bed_accept_all - every start is carried out. */
void bed_accept_all(struct bed *b);
/* bed_end - the task's run has ended on its runner; listed with the next look. */
void bed_end(struct bed *b, const char *runner, uint64_t no, const char *task, uint32_t run,
	     enum run_end end);
/* bed_advise - approves those of the oldest question that are in approved ("" for all). */
bool bed_advise(struct bed *b, const char *approved, int64_t validity_ms);
struct cell_job *bed_plan(struct bed *b, const char *id);
/* bed_plain - a bed with queues "urgent" and "batch", and runners "r0", "r1", ... in two racks. */
struct bed *bed_plain(uint32_t runners, int64_t cpu_milli);
/* bed_run - submits the job and lets all start that has room. */
void bed_run(struct bed *b, Cell__Job *job);
/* bed_start_at - the i-th start that was not answered. */
struct bed_start *bed_start_at(struct bed *b, guint i);

/* bed_reborn - runner r0 of bed_plain() is listed with a new life, which answers from then on. */
void bed_reborn(struct bed *b);

#endif
