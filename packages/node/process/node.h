#ifndef NODE_NODE_H
#define NODE_NODE_H

#include "ports.h"
#include "process/metrics.h"
#include "process/status.h"
#include "request/intake.h"

/*
 * node - one process of a cell that keeps its state in a store: takes jobs in, answers for them,
 * and is the scheduler if it holds the lease.
 */
struct node;

struct node_conf {
	const char *name; /* of the VM */
	const char *dc;
	const char *ip; /* links from other nodes are taken here */
	uint16_t link_port;
	uint32_t cpu_milli; /* of this VM, of a core */
	struct scheduler_conf scheduler;
	struct metrics *metrics; /* outlives the node */
};

struct node_ops {
	/* scheduling - this node has become the scheduler, or is not any more. */
	void (*scheduling)(void *ctx, bool yes);
};

struct node *node_create(const struct node_conf *conf, const struct store *store,
			 const struct runners *runners, const struct advisor *advisor,
			 const struct node_ops *ops, void *ctx);
void node_destroy(struct node *n);
/* node_start - false with the reason in st. */
bool node_start(struct node *n, struct status *st);
/* node_stop - gives the lease back; callers are answered as before. */
void node_stop(struct node *n);
/* node_stopped - the lease was given back. */
bool node_stopped(const struct node *n);
/* node_ready - it can take jobs: configured, the job log was read, and the store answers it. */
bool node_ready(const struct node *n);

/* node_configure - a version comes into force; owns q. */
void node_configure(struct node *n, struct queues *q);
/* node_queues - NULL while there is none. */
const struct queues *node_queues(const struct node *n);
/* Runners as the platform lists them, while this node is the scheduler. */
void node_runner(struct node *n, const struct runner_info *info);
void node_runner_gone(struct node *n, const char *id);

/* node_submit - owns job. fn is called by until_ms. */
void node_submit(struct node *n, Cell__Job *job, int64_t until_ms, intake_fn fn, void *ctx);
void node_cancel(struct node *n, const char *id, int64_t until_ms, intake_fn fn, void *ctx);
void node_state(struct node *n, const char *id, intake_state_fn fn, void *ctx);
uint32_t node_waiting(const struct node *n, const char *queue);
/* node_sums - of the scheduler; false if this node is not it. */
bool node_sums(const struct node *n, struct scheduler_stats *sums);

#endif
