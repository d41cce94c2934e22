#ifndef NODE_NODE_PRIV_H
#define NODE_NODE_PRIV_H

#include "connection/links.h"
#include "election.h"
#include "advisor_queue.h"
#include "joblog.h"
#include "node.h"
#include "relay.h"

/*
 * Parts of the node: node.c joins the modules and makes the node the scheduler or ends that,
 * node_sched.c carries out what the scheduler asks for.
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
	struct intake *intake;
	struct queues *queues;
	struct scheduler *scheduler;
	uint64_t term;
	uint64_t next_call;
	GHashTable *advice_call; /* of struct advice_call by number */
	guint timer;
	int64_t timer_due_ms;
	int64_t next_pass_min_ms; /* no pass before */
	int64_t stats_due_ms;
	int64_t yield_min_ms;	/* not to be given to a stronger node before */
	guint step_down_source; /* idle source that steps down */
	char *step_down_by;
	bool stopping;
};

/* node_scheduler_ops - with the node as their context. */
extern const struct scheduler_ops node_scheduler_ops;

/* node_schedule_pass - the scheduler has news; a pass follows soon. */
void node_schedule_pass(struct node *n);
/*
 * node_step_down_soon - from the loop, since it may be called from inside the scheduler or the job
 * log, which the step down changes.
 */
void node_step_down_soon(struct node *n, const char *by);

/* node_advice_call_free - of a value of advice_call. */
void node_advice_call_free(gpointer data);
/* node_take_advice - the advisor's answer to a question of this node's scheduler. */
void node_take_advice(struct node *n, uint64_t call, bool answered, const struct ticket *ticket,
		      size_t count, uint32_t validity_ms);
/* node_advice_done - advisor_queue_fn: the advisor has answered this node. */
void node_advice_done(void *ctx, uint64_t call, bool remote, bool answered,
		      const struct ticket *ticket, size_t count, uint32_t validity_ms);

#endif
