#ifndef CELL_SCHEDULER_PRIV_H
#define CELL_SCHEDULER_PRIV_H

#include "process/advice.h"
#include "process/scheduler.h"

/*
 * Parts of the scheduler: scheduler.c follows jobs, runners.c runners, their lives and leases,
 * runs.c orders starts and stops, looks.c reads what runners list, placement.c places tasks (with
 * pending_step.c, advice_request.c and reserve.c), progress.c writes the log, stats.c counts.
 */

/* A ticket or lease has to be valid that much longer than now: intent, way and order take time. */
#define ORDER_MARGIN_MS 250
#define AVOID_MS	4000 /* a failed task goes elsewhere for that long */
#define AVOID_ONLY_MS	800  /* or waits that long, if there is no elsewhere */

struct scheduler {
	struct scheduler_conf conf;
	struct job_table *jobs;
	const struct scheduler_ops *ops;
	void *ctx;
	const struct queues *queues;
	GHashTable *runners;	 /* struct cell_runner by id */
	GPtrArray *open_jobs;	 /* of struct cell_job, those that go on or have runs */
	GPtrArray *dirty_jobs;	 /* of struct cell_job */
	GPtrArray *planned_runs; /* of struct run, whose intents are not in the log */
	uint32_t next_handle;
	uint64_t last_poll_id;
	uint64_t batch_next; /* the batch that is written next */
	uint64_t batch_acked;
	uint32_t batches_in_flight; /* batches under way */
	int64_t batch_sent_ms;	    /* when the newest of them was sent */
	int64_t mean_write_ms;	    /* what writes took lately */
	uint32_t advisor_clients;   /* processes that ask the advisor */
	uint32_t long_requests;	    /* long questions under way */
	uint64_t short_requests_us; /* time of the advisor that the others under way take */
	int64_t created_ms;
	bool fenced;
	int64_t now_ms;
	int64_t wall_ms;
	int64_t inherited_until_ms; /* leases of older schedulers have ended by then */
	int64_t grant_until_ms;	    /* no lease is granted later */
	int64_t next_expiry_ms;	    /* next search for jobs to drop */
	struct scheduler_stats stats;
};

/* scheduler_report_run, scheduler_report_runner - tells of a decision. */
void scheduler_report_run(struct scheduler *s, enum decision_kind kind, const struct run *r);
void scheduler_report_runner(struct scheduler *s, enum decision_kind kind,
			     const struct cell_runner *rn, int64_t age_ms);
void scheduler_report_job(struct scheduler *s, enum decision_kind kind, const struct cell_job *j);
/* scheduler_fenced - a newer scheduler was seen; nothing is decided any more. */
void scheduler_fenced(struct scheduler *s, const char *by);

/* runners_add - a runner, on which what an older scheduler started may run. */
struct cell_runner *runners_add(struct scheduler *s, const struct runner_info *info);
/* runners_check - ends leases, repeats stops and looks; when the next is due, next_ms at the
 * latest. */
int64_t runners_check(struct scheduler *s, int64_t next_ms);

/* runs_create - a run of the task, on no runner yet. */
struct run *runs_create(struct scheduler *s, struct cell_job *j, uint32_t task, uint32_t no);
/* runs_attach - makes it the task's run that may exist. */
void runs_attach(struct cell_job *j, struct run *r);
/* runs_route - the way to the runner after so many orders without an answer. */
struct route runs_route(const struct cell_runner *rn, uint32_t tries);
void runs_send_start(struct scheduler *s, struct run *r);
void runs_send_stop(struct scheduler *s, struct run *r);
/* runs_requeue - the order surely did nothing; the task may be placed anew after wait_ms. */
void runs_requeue(struct scheduler *s, struct run *r, int64_t wait_ms);

/* scheduler_mark_dirty - the job's progress has changed. */
void scheduler_mark_dirty(struct scheduler *s, struct cell_job *j);
/* scheduler_plan_run - takes room for a start of the task; its intent goes into the next batch. */
struct run *scheduler_plan_run(struct scheduler *s, struct cell_job *j, uint32_t task,
			       struct cell_runner *rn, const char *ticket);
/* scheduler_drop_run - the run surely doesn't exist any more. */
void scheduler_drop_run(struct scheduler *s, struct run *r);
/* scheduler_lose_run - it ended without an end of its own: the task has to run again. */
void scheduler_lose_run(struct scheduler *s, struct run *r);
/* scheduler_end_job - the job ends in this state; its runs are stopped. */
void scheduler_end_job(struct scheduler *s, struct cell_job *j, enum job_state state);
/* scheduler_stop_run - stops it as soon as that can be done. */
void scheduler_stop_run(struct scheduler *s, struct run *r);
/* scheduler_send_stop - tells the runner to stop a run of the task. */
void scheduler_send_stop(struct scheduler *s, const struct cell_runner *rn, const char *task,
			 uint32_t no);
/* scheduler_stop_gang - stops all members that still live. */
void scheduler_stop_gang(struct scheduler *s, struct cell_job *j, struct job_step *step);
/* scheduler_find_run - NULL if that run of the task is not on the runner. */
struct run *scheduler_find_run(struct scheduler *s, const char *runner, const char *task,
			       uint32_t no);
bool scheduler_can_use_runner(const struct scheduler *s, const struct cell_runner *rn);
struct resources scheduler_step_resources(const Cell__Step *spec);

/*
 * poll_proof_ms - a look sent from then on that does not list the run proves that it does not
 * exist; INT64_MAX if that can't be said.
 */
int64_t poll_proof_ms(const struct scheduler *s, const struct run *r);
/* poll_read_reply - takes what the runner lists. sent_ms: when it was asked. */
void poll_read_reply(struct scheduler *s, struct cell_runner *rn, const struct poll_reply *reply,
		     int64_t sent_ms);

/* placement_run - places what can start now, and asks for advice where it is missing. */
void placement_run(struct scheduler *s);

/*
 * progress_write - begins to write what has changed, unless writes under way are waited for; when
 * to try again, next_ms at the latest.
 */
int64_t progress_write(struct scheduler *s, int64_t next_ms);
/* progress_written - the batch and those before it are stored. */
void progress_written(struct scheduler *s, uint64_t batch);

#endif
