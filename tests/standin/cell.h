#ifndef STANDIN_CELL_H
#define STANDIN_CELL_H

#include <glib.h>

#include "process/owner.h"

/*
 * cell - test double for the workers and the callers of an owner, which checks what the owner does.
 *
 * It accounts for capacity independently. At each start it checks that no limit of the worker is
 * exceeded, that the worker may get new work, that nothing runs twice and that no gang starts in
 * part. Violations are counted in cell->faults; the first is described in cell->fault.
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
	int64_t started_ms; /* -1 if not started */
	uint32_t worker;
	uint32_t retry_after_ms;
	enum refuse_reason refused; /* REFUSE_REASONS if it was not refused */
	bool running;
	bool ended;
	bool preempt; /* asked to stop */
	bool failed;
	void *data; /* owned by the test or bench that drives the cell */
};

/* Callbacks; each may be NULL. They may not call the owner. */
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
	GHashTable *gangs;	   /* job -> number of started tasks, for gangs */
	GHashTable *partial_gangs; /* jobs of gangs that have started in part */
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
/* cell_worker - adds a worker and makes it ready; info->rack may be NULL. Returns its handle. */
uint32_t cell_worker(struct cell *c, const struct worker_info *info);
/* cell_workers - adds n workers, five to a rack. */
void cell_workers(struct cell *c, const struct worker_info *info, uint32_t n);
/* cell_state - sets the state of a worker. */
void cell_state(struct cell *c, uint32_t worker, enum worker_state state);
/* cell_submit, cell_submit_data - submits a copy of w under a new id and returns the id. */
uint64_t cell_submit_data(struct cell *c, const struct work *w, void *data);
uint64_t cell_submit(struct cell *c, const struct work *w);
/* cell_adopt - adds work that already runs on the worker; returns its id. */
uint64_t cell_adopt(struct cell *c, uint32_t worker, const struct work *w);
/* cell_remove - removes the worker and the work that runs on it. */
void cell_remove(struct cell *c, uint32_t worker);
struct cell_work *cell_work(const struct cell *c, uint64_t id);
/* cell_run - calls owner_run() at now_ms and cell_check(); returns the number of starts. */
uint32_t cell_run(struct cell *c);
/* cell_end - ends running work; no effect if it does not run. */
void cell_end(struct cell *c, uint64_t id, enum end_result result);
/* cell_end_due - ends all work that has run for its declared run time. */
void cell_end_due(struct cell *c);
/* cell_check - reports a fault if a gang has started in part. */
void cell_check(struct cell *c);

#endif
