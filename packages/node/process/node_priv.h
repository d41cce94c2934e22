#ifndef NODE_NODE_PRIV_H
#define NODE_NODE_PRIV_H

#include "connection/links.h"
#include "election.h"
#include "advisor_queue.h"
#include "joblog.h"
#include "loop_lag.h"
#include "node.h"
#include "relay.h"

/*
 * Internals of the node: node.c connects the modules and starts and stops the scheduler,
 * node_sched.c implements the scheduler's operations.
 */

struct node {
	struct node_conf conf;
	struct store store;
	const struct node_ops *ops;
	void *ctx;
	char *self;
	struct election *election;
	struct joblog *log;
	struct links *links;
	struct advisor_queue *advisor_queue;
	struct relay *relay;
	struct admit *admit;
	struct intake *intake;
	struct queues *queues;
	int64_t config_confirmed_ms; /* the configuration was current then */
	struct scheduler *scheduler;
	uint64_t term;
	uint64_t next_call;
	GHashTable *advice_call; /* of struct advice_call by number */
	guint timer;
	int64_t timer_due_ms;
	int64_t next_pass_min_ms; /* earliest time of the next scheduler pass */
	int64_t stats_due_ms;
	int64_t yield_min_ms;	   /* earliest time to yield to another VM */
	int64_t slow_yield_min_ms; /* earliest time to yield since this VM is slow */
	struct loop_lag lag;	   /* of this term */
	guint step_down_source;	   /* idle source */
	char *step_down_by;
	bool stopping;
};

/* node_scheduler_ops - their ctx is the node. */
extern const struct scheduler_ops node_scheduler_ops;

/* node_schedule_pass - runs the scheduler soon; calls in short succession share a pass. */
void node_schedule_pass(struct node *n);
/*
 * node_step_down_soon - steps down from the loop, since the caller may be inside the scheduler or
 * the job log, which stepping down modifies. by: where the newer term was seen.
 */
void node_step_down_soon(struct node *n, const char *by);

/* node_advice_call_free - frees a value of advice_call. */
void node_advice_call_free(gpointer data);
/* node_handle_advice - passes the advisor's answer to the scheduler of this node. */
void node_handle_advice(struct node *n, uint64_t call, bool answered, const struct ticket *ticket,
			size_t count, uint32_t validity_ms);
/* node_advice_done - the advisor_queue_fn of the node. */
void node_advice_done(void *ctx, uint64_t call, uint64_t link, bool answered,
		      const struct ticket *ticket, size_t count, uint32_t validity_ms);

#endif
