#ifndef STANDIN_CELL_H
#define STANDIN_CELL_H

#include <glib.h>

#include "process/owner.h"

/*
 * cell - stands in for workers and for the callers of an owner, and is the witness of what it did.
 *
 * Counts room by itself and checks at each start that nothing goes beyond a worker's limits, that
 * the worker may be given work, that nothing runs twice and that a gang starts whole. Faults are
 * counted in cell->faults; the first is described in cell->fault.
 */
struct cell_worker {
	struct worker_info info;
	enum worker_state state;
	struct res used;
	uint32_t slots_used;
	uint32_t running;
	uint32_t starts;
};

struct cell_work {
	struct work w;
	int64_t submitted_ms;
	int64_t started_ms; /* -1 before */
	uint32_t worker;
	uint32_t retry_after_ms;
	enum refuse_reason refused; /* REFUSE_REASONS if it was not */
	bool running;
	bool ended;
	bool preempt; /* told to stop */
	bool failed;
	void *data; /* of the driver, which owns it */
};

/* Calls back the driver of a cell; any may be NULL. They may not call the owner. */
struct cell_hooks {
	void (*started)(void *ctx, struct cell_work *w);
	void (*refused)(void *ctx, struct cell_work *w);
	void (*preempt)(void *ctx, struct cell_work *w);
};

struct cell {
	struct owner *owner;
	int64_t now_ms;
	GArray *workers;	   /* struct cell_worker, by handle */
	GHashTable *works;	   /* id -> struct cell_work */
	GHashTable *gangs;	   /* job -> tasks started, of gangs */
	GHashTable *partial_gangs; /* jobs of which some tasks have started */
	const struct cell_hooks *hooks;
	void *hooks_ctx;
	uint64_t next_id;
	uint32_t started;
	uint32_t refused[REFUSE_REASONS];
	uint32_t faults;
	char fault[160];
};

/* cell_init - conf may be NULL for the default. */
void cell_init(struct cell *c, const struct owner_conf *conf);
void cell_clear(struct cell *c);
/* cell_worker - adds a worker and makes it ready; "" or NULL for a rack of its own. */
uint32_t cell_worker(struct cell *c, const struct worker_info *info);
/* cell_workers - adds n workers, five to a rack. */
void cell_workers(struct cell *c, const struct worker_info *info, uint32_t n);
void cell_state(struct cell *c, uint32_t worker, enum worker_state state);
/* cell_submit - submits a copy of w under a new id, which is returned. */
uint64_t cell_submit_data(struct cell *c, const struct work *w, void *data);
uint64_t cell_submit(struct cell *c, const struct work *w);
/* cell_adopt - the owner is told of work that already runs there. */
uint64_t cell_adopt(struct cell *c, uint32_t worker, const struct work *w);
/* cell_remove - the worker and what runs there are gone. */
void cell_remove(struct cell *c, uint32_t worker);
struct cell_work *cell_work(const struct cell *c, uint64_t id);
/* cell_run - owner_run() at the cell's time; returns the number of starts. */
uint32_t cell_run(struct cell *c);
/* cell_end - running work ends; no effect if it does not run. */
void cell_end(struct cell *c, uint64_t id, enum end_result result);
/* cell_end_due - ends what has run for its declared run time. */
void cell_end_due(struct cell *c);
/* cell_check - faults a gang that has started in part; cell_run() calls it. */
void cell_check(struct cell *c);

#endif
