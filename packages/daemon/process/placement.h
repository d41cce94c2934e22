#ifndef DAEMON_PLACEMENT_H
#define DAEMON_PLACEMENT_H

#include "racks.h"

/* placement - one request or task from its call to this owner until its end. */
enum placement_phase {
	PLACEMENT_WAITING = 0,
	PLACEMENT_STARTING, /* the start is being sent or its reply is awaited */
	PLACEMENT_RUNNING,
	PLACEMENT_ENDED, /* kept until the coordinator asks for it */
};

struct placement {
	struct racks *racks;
	uint64_t id;
	Kw__Call *req;	       /* owned copy */
	struct call *call;     /* NULL if nobody waits for the end */
	struct run *run;       /* of a request on a runner */
	struct worker *worker; /* NULL while waiting or after its rack moved */
	char *task_id;	       /* "JOB/INDEX/ATTEMPT", NULL for a request */
	int64_t received_ms;
	int64_t started_ms;  /* of a request: when it was sent to the runner */
	struct call_end end; /* set in PLACEMENT_ENDED */
	enum placement_phase phase;
	uint32_t team;
	bool discard_answer; /* keeps running, but nobody wants the answer */
	guint timer;	     /* frees an abandoned request's capacity, or drops a kept end */
};

struct racks {
	struct racks_deps deps;
	struct owner *owner;
	struct fleet *fleet;
	GHashTable *placements;	      /* id -> placement */
	GHashTable *foreign_requests; /* worker handle -> GArray of their work ids */
	GHashTable *tasks;	      /* task id -> placement */
	GHashTable *names;	      /* team and service names -> index + 1 */
	GPtrArray *index_names;
	GPtrArray *workers; /* by handle */
	GArray *actions;
	guint timer;
	guint schedule_source;
	void (*on_change)(void *ctx); /* called when a worker's state changes */
	void *on_change_ctx;
	uint64_t next_id;
	bool draining; /* refuse everything that has not started */
};

/* racks_intern - small index of a name, stable for the lifetime of the process. */
uint32_t racks_intern(struct racks *r, const char *name);
/* racks_schedule_run - runs the scheduler of core once the loop is idle. */
void racks_schedule_run(struct racks *r);

struct placement *placement_create(struct racks *r, struct call *call, const Kw__Call *req);
/* placement_free - destructor for the table of placements. */
void placement_free(gpointer data);
/* placement_forget - removes pl from all tables and frees it. An open call is not ended. */
void placement_forget(struct placement *pl);
/* placement_submit - puts the request or task into core's queue. */
void placement_submit(struct placement *pl);
/* placement_draining - fills e with the refusal of a daemon that drains. Returns e. */
const struct call_end *placement_draining(const struct placement *pl, struct call_end *e);
/* placement_end - frees its capacity in core, ends its call and forgets it. */
void placement_end(struct placement *pl, enum end_result result, const struct call_end *e);

/* reqserve_*, taskserve_* - the parts that differ between requests and tasks. */
void reqserve_start(struct placement *pl);
/*
 * reqserve_count_foreign - of the runs requests on the worker, attributes those that this owner did
 * not start to an earlier owner. Their slots stay reserved until they have ended.
 */
void reqserve_count_foreign(struct racks *r, struct worker *w, uint32_t runs, int64_t sent_ms);
void reqserve_call(void *ctx, struct call *c, const Kw__Call *req);
void taskserve_start(struct placement *pl);
void taskserve_preempt(struct placement *pl);
void taskserve_call(void *ctx, struct call *c, const Kw__Call *req);
void taskserve_inventory(struct racks *r, struct worker *w, const struct worker_reply *reply);
void taskserve_ended(struct racks *r, struct worker *w, const struct worker_task *t);
/* taskserve_has_unreported_end - whether an end on the worker was not reported to a coordinator. */
bool taskserve_has_unreported_end(struct racks *r, const struct worker *w);
/* taskserve_lease_lapsed - ends all tasks of a worker on which nothing can run any more. */
void taskserve_lease_lapsed(struct racks *r, struct worker *w);
/* taskserve_rack_moved - the worker has another owner, which the coordinators will ask. */
void taskserve_rack_moved(struct racks *r, struct worker *w);

#endif
