#ifndef DAEMON_PLACEMENT_H
#define DAEMON_PLACEMENT_H

#include "racks.h"

/*
 * placement - one request or task that the owner role has taken, from its call to its end.
 */
enum placement_phase {
	PLACEMENT_WAITING = 0,
	PLACEMENT_STARTING, /* the start is being written or its answer awaited */
	PLACEMENT_RUNNING,
	PLACEMENT_ENDED, /* kept for the coordinator to ask */
};

struct placement {
	struct racks *racks;
	uint64_t id;
	Kw__Call *req;	       /* own copy */
	struct call *call;     /* NULL if nobody asks any more, or not yet */
	struct run *run;       /* of a request */
	struct worker *worker; /* NULL while waiting, or when its rack has moved */
	char *task_id;	       /* "JOB/INDEX/ATTEMPT" of a task, else NULL */
	int64_t received_ms;
	int64_t started_ms;  /* when the start was written, for a request */
	struct call_end end; /* in PLACEMENT_ENDED */
	enum placement_phase phase;
	uint32_t team;
	bool discard_answer; /* runs on, though nobody wants the answer */
	guint timer;	     /* until the room of an abandoned request is given back */
};

struct racks {
	struct racks_deps deps;
	struct owner *owner;
	struct fleet *fleet;
	GHashTable *placements;	      /* id -> placement */
	GHashTable *foreign_requests; /* worker handle -> GArray of work ids for earlier owners'
					 requests */
	GHashTable *tasks;	      /* task id -> placement */
	GHashTable *names;	      /* team and service names -> index + 1 */
	GPtrArray *index_names;
	GPtrArray *workers; /* by handle of core */
	GArray *actions;
	guint timer;
	guint run_source;
	void (*on_change)(void *ctx); /* a worker's state changed */
	void *on_change_ctx;
	uint64_t next_id;
	bool draining; /* what waits or comes is sent back */
};

/* racks_intern - small index of a name, the same for the life of the process. */
uint32_t racks_intern(struct racks *r, const char *name);
/* racks_schedule_run - lets core decide once the loop is free. */
void racks_schedule_run(struct racks *r);

struct placement *placement_create(struct racks *r, struct call *call, const Kw__Call *req);
/* placement_free - for the table of placements. */
void placement_free(gpointer data);
/* placement_forget - takes the item off all tables and frees pl; a call left open is not ended. */
void placement_forget(struct placement *pl);
/* placement_submit - hands the item to core's queue. */
void placement_submit(struct placement *pl);
/* placement_draining - fills e: sent back by a daemon that stops. Returns e. */
const struct call_end *placement_draining(const struct placement *pl, struct call_end *e);
/* placement_end - frees its room in core, answers its call and forgets it. */
void placement_end(struct placement *pl, enum end_result result, const struct call_end *e);

/* reqserve_*, taskserve_* - what differs between requests and tasks. */
void reqserve_start(struct placement *pl);
/*
 * reqserve_count_foreign - of runs requests on the worker, those that this owner did not start are
 * an earlier owner's: their slots are held back until they have ended.
 */
void reqserve_count_foreign(struct racks *r, struct worker *w, uint32_t runs, int64_t asked_ms);
void reqserve_call(void *ctx, struct call *c, const Kw__Call *req);
void taskserve_start(struct placement *pl);
void taskserve_preempt(struct placement *pl);
void taskserve_call(void *ctx, struct call *c, const Kw__Call *req);
void taskserve_inventory(struct racks *r, struct worker *w, const struct worker_reply *reply);
void taskserve_ended(struct racks *r, struct worker *w, const struct worker_task *t);
/* taskserve_has_unreported_end - whether an end on the worker waits for its coordinator to ask. */
bool taskserve_has_unreported_end(struct racks *r, const struct worker *w);
/* taskserve_lease_lapsed - ends all tasks of a worker on which nothing can run any more. */
void taskserve_lease_lapsed(struct racks *r, struct worker *w);
/* taskserve_rack_moved - the worker has another owner: the coordinators ask that one. */
void taskserve_rack_moved(struct racks *r, struct worker *w);

#endif
