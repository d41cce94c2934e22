#ifndef CELL_TEAM_USE_H
#define CELL_TEAM_USE_H

#include <stdbool.h>
#include <stdint.h>

#include "cell.pb-c.h"
#include "request/resources.h"

/*
 * team_use - what each team may have running in the cell, and whether it may start more.
 *
 * The use of a team is the sum of its runs that may exist. A start is allowed while use and need
 * stay within the team's cap. A team without runs may also start one task larger than the cap, or a
 * gang that exceeds it by no more than over_milli and one task, which could otherwise never run.
 *
 * An empty team name stands for jobs without a team, which are neither counted nor limited.
 */
struct team_use;

struct team_limit {
	struct resources cap; /* a zero field is no limit */
	uint32_t over_milli;  /* share by which a gang may exceed the cap, in 1/1000 */
};

struct team_sum {
	const char *team; /* valid during the call */
	struct resources used;
	uint32_t runs;
	uint32_t held_back; /* tasks that only the cap kept waiting in the last placement pass */
};

struct team_use *team_use_create(void);
void team_use_destroy(struct team_use *u);

/* team_use_need - what a run of the step counts: a filler with its full CPU. */
struct resources team_use_need(const Cell__Step *spec);
/* team_use_add, team_use_remove - a run with this need may exist, or certainly exists no more. */
void team_use_add(struct team_use *u, const char *team, const struct resources *need);
void team_use_remove(struct team_use *u, const char *team, const struct resources *need);

/* team_use_begin_pass - forgets what was held in the last placement pass. */
void team_use_begin_pass(struct team_use *u);
/* team_use_room - how many of `count` tasks the team may start now. */
uint32_t team_use_room(const struct team_use *u, const char *team, const struct team_limit *limit,
		       const struct resources *need, uint32_t count);
/* team_use_allows_gang - whether the team may start `count` members at once now. */
bool team_use_allows_gang(const struct team_use *u, const char *team,
			  const struct team_limit *limit, const struct resources *need,
			  uint32_t count);
/*
 * team_use_confirms - whether a run that was planned, and is counted, may still start; own_runs:
 * runs of its step if that is a gang, else 1.
 */
bool team_use_confirms(const struct team_use *u, const char *team, const struct team_limit *limit,
		       const struct resources *need, uint32_t own_runs);
/*
 * team_use_hold - holds the need of a waiting task or gang against later steps of the team for the
 * rest of the pass. Each field holds the largest such need.
 */
void team_use_hold(struct team_use *u, const char *team, const struct resources *need,
		   uint32_t count);
/* team_use_holds - whether so much is held already. */
bool team_use_holds(const struct team_use *u, const char *team, const struct resources *need,
		    uint32_t count);
/* team_use_count_held_back - notes tasks that only the cap keeps waiting. */
void team_use_count_held_back(struct team_use *u, const char *team, uint32_t tasks);

/* team_use_sum - the sums of one team; zero if it has none. */
struct team_sum team_use_sum(const struct team_use *u, const char *team);
/* team_use_each - for each team with runs, or tasks held back. */
void team_use_each(const struct team_use *u, void (*fn)(void *ctx, const struct team_sum *sum),
		   void *ctx);

/* team_use_can_hold - whether the cap could hold a gang if the team had no runs. */
bool team_use_can_hold(const struct team_limit *limit, const struct resources *need,
		       uint32_t count);
/* team_use_check_job - NULL if the cap can hold each gang of the job, else a message. */
const char *team_use_check_job(const struct team_limit *limit, const Cell__Job *job);

#endif
