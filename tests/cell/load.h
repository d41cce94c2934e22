#ifndef TESTS_CELL_LOAD_H
#define TESTS_CELL_LOAD_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/*
 * load - drives one scheduler after another with a steady stream of jobs of several queues, in
 * virtual time, from one seed, and counts which jobs end within their objectives.
 *
 * Nothing is lost or refused, except while the store is away or the scheduler is replaced. The CPU
 * time of placement passes is simulated from the number of runners that they examine.
 */
#define LOAD_QUEUES_MAX	  4
#define LOAD_WINDOW_MS	  2000
#define LOAD_WINDOWS_MAX  64
#define LOAD_TAKEOVER_MAX 8
#define LOAD_AFTER_HOT_S  4
#define LOAD_DONE_MS	  14000 /* the users' limit after the end of the traffic */
#define LOAD_IDLE_MS	  3000	/* the users' limit while there is room */

/* A queue and its jobs. Work and estimates are spread around their means. */
struct load_queue {
	const char *name;
	uint32_t priority;
	uint32_t jobs_per_100_s;
	uint32_t steps_milli;	       /* mean number of steps, in 1/1000 */
	uint32_t tasks;		       /* of a step, mean */
	uint32_t task_ms;	       /* mean */
	uint32_t cpu_milli;	       /* of a task, mean */
	uint32_t mem_mib;	       /* of a task, mean */
	uint32_t estimate_error_milli; /* standard deviation of ln(estimate / work), in 1/1000 */
	uint32_t gang_milli;	       /* share of jobs, in 1/1000, like all following shares */
	uint32_t checkpoint_milli;
	uint32_t fail_milli;   /* share of runs */
	uint32_t poison_milli; /* share of jobs whose runs all fail */
	uint32_t attempts;
	uint32_t stretch_milli;
	uint32_t objective_ms;
	uint32_t advice_base_us;
	uint32_t advice_per_runner_us;
	uint32_t approved_milli; /* share of runners that a step is approved for */
	uint32_t worth_milli;	 /* of a job in time; a late one has a fifth of it */
};

struct load_conf {
	uint32_t seed;
	uint32_t seconds; /* of traffic */
	uint32_t runners;
	uint32_t runner_cpu_milli;
	uint32_t runner_mem_mib;
	uint32_t advisor_clients;
	uint32_t order_ms;   /* one way to a runner or the advisor, mean */
	uint32_t store_ms;   /* of an append */
	uint32_t examine_ns; /* CPU time of examining one runner for one step */
	uint32_t cpu_milli;  /* of the scheduler's VM, in 1/1000 of a core */
	uint32_t burst_at_s; /* traffic is multiplied by burst_milli for burst_s */
	uint32_t burst_s;
	uint32_t burst_milli;
	uint32_t outage_at_s; /* no append is answered for outage_ms */
	uint32_t outage_ms;
	uint32_t slow_at_s; /* an append takes slow_ms for slow_s */
	uint32_t slow_s;
	uint32_t slow_ms;
	uint32_t takeover_at_s[LOAD_TAKEOVER_MAX]; /* 0 for none */
	uint32_t takeover_ms;			   /* between two schedulers */
	struct load_queue queue[LOAD_QUEUES_MAX];
	uint32_t n_queue;
	uint32_t burst_queue; /* number + 1 of the only queue that bursts; 0 for all */
	/*
	 * Each job belongs to one of these teams; 0 for no teams. Team 0 sends hot_milli of its
	 * usual rate for hot_s.
	 */
	uint32_t teams;
	uint32_t team_weight[2];  /* of team 0, and of each other one */
	uint32_t hot_share_milli; /* of the usual jobs, those of team 0 */
	uint32_t hot_at_s;
	uint32_t hot_s;
	uint32_t hot_milli;
	bool teams_unconfigured; /* jobs have teams, but the configuration names none */
	bool accepts_all;	 /* without admission */
};

struct load_count {
	uint32_t jobs;		 /* that can be done */
	uint32_t in_time;	 /* done within the objective */
	uint32_t late;		 /* done within three times the objective */
	uint64_t total_ms;	 /* from submission to the end, of the jobs that were done */
	uint64_t first_start_ms; /* from submission, of all jobs */
	uint32_t preempted;	 /* runs */
	uint32_t runs;		 /* of the jobs that were done */
	uint32_t tasks;
};

/* A caller tries 4 times within 3 s, when the answers tell it to. */
#define LOAD_TRIES    4
#define LOAD_TRIES_MS 3000

enum load_side {
	LOAD_OTHERS = 0,
	LOAD_HOT, /* team 0 */
};

struct load_result {
	/* Jobs submitted from hot_at_s to LOAD_AFTER_HOT_S after the hot time, by side and queue.
	 */
	struct load_count contended[LOAD_HOT + 1][LOAD_QUEUES_MAX];
	uint32_t rejected[LOAD_HOT + 1]; /* answers, at any time */
	uint32_t given_up[LOAD_HOT + 1]; /* jobs that were never accepted */
	struct load_count queue[LOAD_QUEUES_MAX];
	struct load_count window[LOAD_WINDOWS_MAX]; /* by the time of submission */
	uint32_t worth_milli;			    /* earned, of what could be, in 1/1000 */
	uint32_t advice_requests;
	uint64_t advice_ms; /* time that the advisor worked */
	uint32_t starts;
	uint32_t stopped;
	uint32_t wasted_core_s; /* of runs that were stopped or failed, without checkpoints */
	uint32_t stop_orders;
	uint32_t passes;
	uint64_t examined; /* runners, in all passes */
	uint32_t longest_pass_us;
	uint32_t open_jobs; /* at the end of the traffic */
	uint32_t left_jobs; /* open LOAD_DONE_MS after it, and without a run */
	/* Longest time that a step of a late job waited for its first advice, or for more. */
	uint32_t late_advice_ms;
	/*
	 * Longest time that a step waited without a run while less than half of the pool was in use
	 * and the store was not slow, and how many steps did so for more than LOAD_IDLE_MS.
	 */
	uint32_t idle_ms;
	uint32_t idle_steps;
	uint32_t lost;	    /* runs */
	uint64_t log_bytes; /* of progress */
	uint32_t batches;
};

/* load_run - plays the traffic, and 20 s more in which the jobs may end. */
void load_run(const struct load_conf *conf, struct load_result *result);

#endif
