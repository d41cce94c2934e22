#ifndef TESTS_CELL_SIM_PRIV_H
#define TESTS_CELL_SIM_PRIV_H

#include "process/scheduler.h"
#include "sim.h"

/*
 * Parts of the simulation: sim.c has the events, the schedulers, the log, the advisor and the jobs,
 * simrunner.c the runners, and what they witness.
 */

#define ROOM_CPU 32000
#define LEASE_MS 6000
#define STOP_MS	 900
#define GANG_MS	 3000

struct sim_runner {
	char id[16];
	int64_t born_ms; /* on our clock */
	uint64_t fence;
	uint64_t next_no;
	int64_t lease_ms; /* on its own clock */
	int64_t silent_until_ms;
	GPtrArray *task;     /* of struct sim_task */
	GPtrArray *end;	     /* of struct sim_end */
	GHashTable *stopped; /* highest run stopped or ended, by task */
};

struct sim_sched {
	struct sim *sim;
	struct scheduler *sched;
	struct job_table *jobs;
	uint64_t term;
	bool dead;
	int64_t die_ms;
	uint32_t refs;
};

struct sim_job {
	char id[17];
	int64_t come_ms;
	int64_t cancel_ms;
	bool is_cancelled;
};

struct sim {
	const struct sim_conf *conf;
	struct sim_result *result;
	GRand *rng;
	int64_t now_ms;
	GSequence *event;
	uint64_t order; /* of events at the same time */
	GPtrArray *runner;
	GPtrArray *sched;
	struct sim_sched *current;
	struct queues *queues;
	GPtrArray *log; /* of struct log_record, all partitions */
	uint64_t epoch;
	GHashTable *done; /* tasks whose end as done was acknowledged */
	GHashTable *job;
	uint32_t jobs;
	int64_t faults_until_ms;
};

/* sim_at - calls fn at that time, or now if it has passed. */
void sim_at(struct sim *s, int64_t at_ms, void (*fn)(struct sim *s, void *data), void *data);
/* sim_pick - a random number below n. */
uint32_t sim_pick(struct sim *s, uint32_t n);
/* sim_chance - true in milli of 1000 cases. */
bool sim_chance(struct sim *s, uint32_t milli);
/* sim_around - a random number between half and one and a half of the mean. */
uint32_t sim_around(struct sim *s, uint32_t mean);
/* sim_faulty - whether faults are still to come. */
bool sim_faulty(const struct sim *s);
/* sim_violation - counts what a scheduler must not do; the first is kept. */
void sim_violation(struct sim *s, uint32_t *counter, const char *what, const char *name);

struct sim_runner *sim_runner_create(uint32_t number, int64_t born_ms);
void sim_runner_free(gpointer data);
/* sim_advance - what has ended on all runners up to now. */
void sim_advance(struct sim *s);
/* sim_start, sim_stop, sim_poll - as of struct scheduler_ops; ctx is the struct sim_sched. */
void sim_start(void *ctx, const struct start_order *order);
void sim_stop(void *ctx, const struct route *route, const char *runner, const char *address,
	      const char *task, uint32_t run);
void sim_poll(void *ctx, const struct poll_order *order);

#endif
