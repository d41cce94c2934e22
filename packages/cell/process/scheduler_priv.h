#ifndef CELL_SCHEDULER_PRIV_H
#define CELL_SCHEDULER_PRIV_H

#include "process/advice.h"
#include "process/scheduler.h"
#include "process/team_use.h"

/*
 * Internals of the scheduler, by file: scheduler.c jobs; runners.c incarnations, leases and polls
 * of runners; poll.c replies to polls; runs.c start and stop orders; placement.c,
 * gang_placement.c, pending_step.c, fair_order.c, advice_request.c, reserve.c, unplaced.c,
 * interference.c and isolate.c placement of tasks; admit.c admission of jobs; lapse.c leases that
 * are not renewed; crash.c tasks that crash their runners; progress.c and progress_record.c the
 * log; stats.c counters.
 */

#define ORDER_MARGIN_MS 250  /* a ticket must outlast the write of the intent and the start */
#define AVOID_MS	4000 /* how long a task avoids the runner on which it failed */
#define AVOID_ONLY_MS	800  /* how long if no other runner is approved */

struct scheduler {
	struct scheduler_conf conf;
	struct job_table *jobs;
	const struct scheduler_ops *ops;
	void *ctx;
	const struct queues *queues;
	struct admission *admission;
	GHashTable *runners;	 /* struct cell_runner by id */
	GPtrArray *open_jobs;	 /* struct cell_job that have not ended, or have runs */
	GPtrArray *dirty_jobs;	 /* struct cell_job to be written */
	GPtrArray *begun_jobs;	 /* struct cell_job whose first start is not in the log yet */
	GPtrArray *planned_runs; /* struct run with no stored intent */
	struct team_use *team_use;
	GHashTable *holds;     /* struct hold by service; see hold.h */
	GHashTable *lapsing;   /* struct lapsing by the runner's id; see lapse.h */
	bool lapse_due;	       /* their record has to be written */
	bool lapse_full;       /* it doesn't name all silent runners */
	int64_t lapse_sent_ms; /* when it was written last */
	uint32_t next_handle;
	uint64_t last_poll_id;
	uint64_t batch_next; /* number of the next batch */
	uint64_t batch_acked;
	uint32_t batches_in_flight;
	int64_t begun_due_ms;  /* begun_jobs are written by then */
	int64_t batch_sent_ms; /* when the last batch was sent */
	int64_t mean_write_ms; /* moving average of the time a write takes */
	struct advisor_share *advisor;
	int64_t created_ms;
	bool fenced;
	int64_t now_ms;
	int64_t wall_ms;
	int64_t inherited_until_ms; /* leases of earlier schedulers have ended by then */
	int64_t grant_until_ms;	    /* no leases are granted and no starts sent after that */
	int64_t next_expiry_ms;	    /* next search for expired jobs */
	struct scheduler_stats stats;
};

/*
 * scheduler_report, scheduler_report_run, scheduler_report_runner, scheduler_report_job - report a
 * decision.
 */
void scheduler_report(struct scheduler *s, const struct decision *d);
void scheduler_report_run(struct scheduler *s, enum decision_kind kind, const struct run *r);
void scheduler_report_runner(struct scheduler *s, enum decision_kind kind,
			     const struct cell_runner *rn, int64_t age_ms);
void scheduler_report_job(struct scheduler *s, enum decision_kind kind, const struct cell_job *j);
/* scheduler_fenced - a newer scheduler was seen: makes no more decisions. */
void scheduler_fenced(struct scheduler *s, const char *by);

/* runners_add - adds a runner, on which runs of an earlier scheduler may still exist. */
struct cell_runner *runners_add(struct scheduler *s, const struct runner_info *info);
/*
 * runners_check - handles lapsed leases, repeats stop orders, sends polls. Returns when the next of
 * these is due, next_ms at the latest.
 */
int64_t runners_check(struct scheduler *s, int64_t next_ms);

/* runs_create - creates a run of the task, on no runner yet. */
struct run *runs_create(struct scheduler *s, struct cell_job *j, uint32_t task,
			uint32_t run_number);
/* runs_attach - makes it the live run of its task. */
void runs_attach(struct scheduler *s, struct cell_job *j, struct run *r);
/* runs_route - path to the runner after a number of unanswered orders. */
struct route runs_route(const struct cell_runner *rn, uint32_t tries);
void runs_send_start(struct scheduler *s, struct run *r);
void runs_send_stop(struct scheduler *s, struct run *r);
/* runs_requeue - drops a run that certainly did not start; its task waits for wait_ms. */
void runs_requeue(struct scheduler *s, struct run *r, int64_t wait_ms);

/* scheduler_mark_dirty - the job's progress has changed and is to be written. */
void scheduler_mark_dirty(struct scheduler *s, struct cell_job *j);
/*
 * scheduler_mark_started - notes that a task of the job has run. Other nodes read it in the log, to
 * which it is written with the next batch, or soon.
 */
void scheduler_mark_started(struct scheduler *s, struct cell_job *j);
/* scheduler_plan_run - reserves capacity for a run; its intent is in the next batch. */
struct run *scheduler_plan_run(struct scheduler *s, struct cell_job *j, uint32_t task,
			       struct cell_runner *rn, const char *ticket);
/* scheduler_drop_run - frees a run that certainly doesn't exist any more. */
void scheduler_drop_run(struct scheduler *s, struct run *r);
/* scheduler_lose_run - frees a run whose end is not known: the task has to run again. */
void scheduler_lose_run(struct scheduler *s, struct run *r, enum run_loss loss);
/* scheduler_end_job - ends the job in this state and stops its runs. */
void scheduler_end_job(struct scheduler *s, struct cell_job *j, enum job_state state);
/* scheduler_stop_run - stops the run, after the answer to its start if that is pending. */
void scheduler_stop_run(struct scheduler *s, struct run *r);
/* scheduler_send_stop - sends one stop order to the runner. */
void scheduler_send_stop(struct scheduler *s, const struct cell_runner *rn, const char *task,
			 uint32_t run_number);
/* scheduler_stop_gang - stops all live runs of the step. */
void scheduler_stop_gang(struct scheduler *s, struct cell_job *j, struct job_step *step);
/* scheduler_find_run - returns NULL if that run of the task is not on the runner. */
struct run *scheduler_find_run(struct scheduler *s, const char *runner, const char *task,
			       uint32_t run_number);
/* scheduler_can_use_runner - true if tasks may be started there now. */
bool scheduler_can_use_runner(const struct scheduler *s, const struct cell_runner *rn);
struct resources scheduler_step_resources(const Cell__Step *spec);
/* scheduler_team_limit - stores the cap of the job's team in *limit; false if there is none. */
bool scheduler_team_limit(const struct scheduler *s, const struct cell_job *j,
			  struct team_limit *limit);

/*
 * poll_proof_ms - a poll sent at that time or later whose reply doesn't list the run proves that it
 * doesn't exist. INT64_MAX if no poll can prove it yet.
 */
int64_t poll_proof_ms(const struct scheduler *s, const struct run *r);
/* poll_read_reply - processes a reply to the poll sent at sent_ms. */
void poll_read_reply(struct scheduler *s, struct cell_runner *rn, const struct poll_reply *reply,
		     int64_t sent_ms);

/* scheduler_report_backlog - reports the jobs that wait after a placement pass. */
void scheduler_report_backlog(struct scheduler *s);

/* placement_run - places the tasks that can start now, and requests missing advice. */
void placement_run(struct scheduler *s);

/*
 * progress_write - sends a batch of the changed jobs, unless it has to wait for batches in flight.
 * Returns when to try again, next_ms at the latest.
 */
int64_t progress_write(struct scheduler *s, int64_t next_ms);
/* progress_written - the batch and all before it are stored. */
void progress_written(struct scheduler *s, uint64_t batch);

#endif
