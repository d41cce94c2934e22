#ifndef CORE_POLICY_H
#define CORE_POLICY_H

#include "fair.h"
#include "workerindex.h"

/*
 * policy - the choices of an owner that vary, as a table of function pointers. Entries: the policy
 * in use ("default") and baselines to measure it against ("first-fit-fifo", "least-loaded").
 */

/* What is known when work is submitted. */
struct policy_admission {
	const struct work *w;
	int64_t now_ms;
	uint32_t expected_run_ms; /* expected run time */
	uint32_t wait_ms;	  /* expected wait; UINT32_MAX if nothing can ever serve it */
	uint32_t team_wait_ms;	  /* part of it that is due to the team's own requests */
	uint32_t urgent_start_ms;
};

/* A worker on which a task would fit. */
struct policy_candidate {
	const struct work *w;
	const struct indexed_worker *worker;
	struct res free;
	uint32_t same_job_on_rack;
	uint32_t failures; /* recent failed starts there */
};

struct policy_ops {
	const char *name;
	/* admit - REFUSE_REASONS if the work may wait, else why not. */
	enum refuse_reason (*admit)(const struct policy_admission *a);
	/* order - true if a is served before b; struct item. */
	bool (*order)(const void *a, const void *b);
	/* team_key - key of a team's queue, smallest first. */
	fair_key_fn team_key;
	/* score - the smallest wins. */
	uint64_t (*score)(const struct policy_candidate *candidate);
	/* preempt - true if victim may be stopped for it; NULL for never. */
	bool (*preempt)(const struct item *victim, const struct item *it);
	/* on_usage - room to count for work that was seen to use used; NULL leaves it as declared.
	 */
	struct res (*on_usage)(const struct work *w, const struct res *used);
	enum search_order search_order;
	bool reserves; /* keeps room and slots for urgent work */
	bool holds;    /* keeps workers free for the oldest gang */
	bool learns;   /* of run times and of workers that fail */
};

/* policy_find - NULL name for the default; NULL if there is none of that name. */
const struct policy_ops *policy_find(const char *name);

#endif
