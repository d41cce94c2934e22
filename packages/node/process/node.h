#ifndef NODE_NODE_H
#define NODE_NODE_H

#include "ports.h"
#include "process/metrics.h"
#include "process/status.h"
#include "request/intake.h"
#include "version/access.h"

/*
 * node - one process of a cell whose state is kept in a store. Every node serves callers; the one
 * that holds the lease is also the scheduler.
 */
struct node;

struct node_conf {
	const char *name; /* of the VM */
	const char *dc;
	const char *ip; /* address to listen on for links from other nodes */
	uint16_t link_port;
	uint32_t cpu_milli; /* CPU capacity of this VM in thousandths of a core */
	struct scheduler_conf scheduler;
	/* Memory that all jobs may take, in bytes; 0: not limited. */
	uint64_t jobs_max_bytes;
	/* Keys are accepted while the configuration was confirmed within this time; 0: always. */
	uint32_t config_max_age_ms;
	struct metrics *metrics; /* outlives the node */
};

struct node_ops {
	/* scheduling_changed - this node has become the scheduler, or has stopped being it. */
	void (*scheduling_changed)(void *ctx, bool scheduling);
};

struct node *node_create(const struct node_conf *conf, const struct store *store,
			 const struct runner_client *runners, const struct advisor *advisor,
			 const struct node_ops *ops, void *ctx);
void node_destroy(struct node *n);
/* node_start - false with the reason in st, and may be called again then. */
bool node_start(struct node *n, struct status *st);
/* node_stop - releases the lease; callers are still served. */
void node_stop(struct node *n);
/* node_stopped - whether the handover that node_stop() began is complete. */
bool node_stopped(const struct node *n);
/*
 * node_ready - whether it can accept jobs: it has a configuration that it may use for keys, has
 * read the job log, reaches the store and is not stopping.
 */
bool node_ready(const struct node *n);

/* node_configure - applies a new configuration; takes ownership of q. */
void node_configure(struct node *n, struct queues *q);
/* node_queues - the current configuration, NULL until there is one. */
const struct queues *node_queues(const struct node *n);
/*
 * node_config_confirmed - the configuration in use was the newest one at as_of_ms, which is before
 * the read that proves it was sent.
 */
void node_config_confirmed(struct node *n, int64_t as_of_ms);
/* node_check_access - see access_check(); needs a configuration. */
enum access_result node_check_access(const struct node *n, const struct queue *queue,
				     const char *key, const struct team **team);
/* node_config_age_ms - time since the configuration was last confirmed. */
int64_t node_config_age_ms(const struct node *n);
/* node_update_runner, node_remove_runner - ignored unless this node is the scheduler. */
void node_update_runner(struct node *n, const struct runner_info *info);
void node_remove_runner(struct node *n, const char *id);

/* node_submit - takes ownership of job; fn is called by deadline_ms or slightly later. */
void node_submit(struct node *n, Cell__Job *job, int64_t deadline_ms, intake_fn fn, void *ctx);
/* node_cancel, node_job_state - see intake_cancel() for team. */
void node_cancel(struct node *n, const char *id, const char *team, int64_t deadline_ms,
		 intake_fn fn, void *ctx);
void node_job_state(struct node *n, const char *id, const char *team, intake_state_fn fn,
		    void *ctx);
/* node_end_requests - see intake_end(). */
void node_end_requests(struct node *n);
uint32_t node_waiting_count(const struct node *n, const char *queue);
/* node_teams_json - see teams_view; the caller frees it with g_free(). */
char *node_teams_json(const struct node *n);
/* node_stats - the scheduler's statistics; returns false if this node is not the scheduler. */
bool node_stats(const struct node *n, struct scheduler_stats *stats);

#endif
