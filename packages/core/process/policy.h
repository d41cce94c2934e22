#ifndef CORE_POLICY_H
#define CORE_POLICY_H

#include "fair.h"
#include "workerindex.h"

/*
 * policy - the scheduling policy of an owner, as a table of function pointers. There is the policy
 * in use ("default"), and there are baselines to compare it with ("first-fit-fifo",
 * "least-loaded").
 */

/* Input of the admission decision. */
struct policy_admission {
	const struct work *w;
	int64_t now_ms;
	uint32_t expected_run_ms; /* 0 if not known */
	uint32_t wait_ms;	  /* expected wait, UINT32_MAX if there are no slots */
	uint32_t team_wait_ms;	  /* part of wait_ms caused by the team's own requests */
	uint32_t urgent_start_ms;
};

/* A worker on which a task fits. */
struct policy_candidate {
	const struct work *w;
	const struct indexed_worker *worker;
	struct res free;
	uint32_t same_job_on_rack; /* running tasks of the same service on the worker's rack */
	uint32_t failures;	   /* quarantine_failures() of the worker */
};

struct policy_ops {
	const char *name;
	/* admit - REFUSE_REASONS to admit the work, else the reason for refusing it. */
	enum refuse_reason (*admit)(const struct policy_admission *a);
	/* order - true if struct item a is served before b. */
	bool (*order)(const void *a, const void *b);
	/* team_key - key of a team's queue; the smallest is served first. */
	fair_key_fn team_key;
	/* score - the candidate with the smallest score is chosen. */
	uint64_t (*score)(const struct policy_candidate *candidate);
	/* preempt - true if victim may be stopped for it; NULL for never. */
	bool (*preempt)(const struct item *victim, const struct item *it);
	/* on_usage - size to account for at a measured use; NULL to keep the declared size. */
	struct res (*on_usage)(const struct work *w, const struct res *used);
	enum search_order search_order;
	bool reserves; /* reserves workers and slots for urgent work */
	bool holds;    /* holds workers for the oldest gang */
	bool learns;   /* uses estimates and quarantine */
};

/* policy_find - policy of that name, the default if name is NULL; NULL if there is none. */
const struct policy_ops *policy_find(const char *name);

#endif
