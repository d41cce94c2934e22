#define G_LOG_DOMAIN "node"

#include "decisions.h"
#include "log.h"
#include "node_priv.h"
#include "process/advice.h"

/* An order whose answer the scheduler of this term waits for. */
struct pending_order {
	struct node *node;
	uint64_t term;
	char *runner;
	char *task;
	uint32_t run;
	uint64_t poll_id;
};

struct advice_call {
	uint64_t term;
	int64_t sent_ms;
	char *step;
	char **runner;
	size_t n;
};

static struct pending_order *pending_order_create(struct node *n, const char *runner,
						  const char *task, uint32_t run)
{
	struct pending_order *o = g_new0(struct pending_order, 1);

	o->node = n;
	o->term = n->term;
	o->runner = g_strdup(runner);
	o->task = g_strdup(task);
	o->run = run;
	return o;
}

static void pending_order_free(struct pending_order *o)
{
	g_free(o->task);
	g_free(o->runner);
	g_free(o);
}

/* The scheduler that gave the order, NULL if its term has ended. */
static struct scheduler *order_scheduler(const struct pending_order *o)
{
	return o->node->term == o->term ? o->node->scheduler : NULL;
}

static void on_started(void *ctx, enum start_result result)
{
	struct pending_order *o = ctx;
	struct scheduler *s = order_scheduler(o);

	if (s) {
		scheduler_start_answered(s, o->runner, o->task, o->run, result, node_now_ms());
		node_schedule_pass(o->node);
	}
	pending_order_free(o);
}

static uint64_t fence_of(const struct node *n, uint32_t fence_seq)
{
	return scheduler_fence(n->term, fence_seq);
}

static void start_op(void *ctx, const struct start_order *order)
{
	struct node *n = ctx;

	relay_start(n->relay, order, fence_of(n, order->fence_seq), on_started,
		    pending_order_create(n, order->runner, order->task, order->run));
}

static void on_stopped(void *ctx, bool answered)
{
	struct pending_order *o = ctx;
	struct scheduler *s = order_scheduler(o);

	if (s) {
		scheduler_stop_answered(s, o->runner, o->task, o->run, answered, node_now_ms());
		node_schedule_pass(o->node);
	}
	pending_order_free(o);
}

static void stop_op(void *ctx, const struct route *route, uint32_t fence_seq, const char *runner,
		    const char *address, const char *task, uint32_t run)
{
	struct node *n = ctx;

	relay_stop(n->relay, route, runner, address, task, run, fence_of(n, fence_seq), on_stopped,
		   pending_order_create(n, runner, task, run));
}

static void on_polled(void *ctx, const struct poll_reply *reply)
{
	struct pending_order *o = ctx;
	struct scheduler *s = order_scheduler(o);

	if (s) {
		scheduler_poll_answered(s, o->runner, o->poll_id, reply, node_now_ms());
		node_schedule_pass(o->node);
	}
	pending_order_free(o);
}

static void poll_op(void *ctx, const struct poll_order *order)
{
	struct node *n = ctx;
	struct pending_order *o = pending_order_create(n, order->runner, NULL, 0);

	o->poll_id = order->poll_id;
	relay_poll(n->relay, order, fence_of(n, order->fence_seq), on_polled, o);
}

void node_advice_call_free(gpointer data)
{
	struct advice_call *a = data;

	g_strfreev(a->runner);
	g_free(a->step);
	g_free(a);
}

static void request_advice_op(void *ctx, const char *step, const char *const *runner, size_t count,
			      uint64_t cost_us)
{
	struct node *n = ctx;
	struct advice_call *a = g_new0(struct advice_call, 1);
	uint64_t call = ++n->next_call;

	a->term = n->term;
	a->sent_ms = node_now_ms();
	a->step = g_strdup(step);
	a->n = count;
	a->runner = advice_copy_runners(runner, count);
	g_hash_table_insert(n->advice_call, GUINT_TO_POINTER(call), a);
	/* On equal load another node asks, since this one also schedules. */
	if (!links_request_advice(n->links, call, step, runner, count, cost_us,
				  advisor_queue_load_us(n->advisor_queue) + cost_us))
		advisor_queue_ask(n->advisor_queue, call, 0, step, runner, count, cost_us);
}

void node_handle_advice(struct node *n, uint64_t call, bool answered, const struct ticket *ticket,
			size_t count, uint32_t validity_ms)
{
	struct advice_call *a = g_hash_table_lookup(n->advice_call, GUINT_TO_POINTER(call));
	int64_t now = node_now_ms();

	if (!a)
		return;
	log_request(LOG_INFO, a->step, "advise", NULL,
		    "%s: %zu of %zu runners approved after %" G_GINT64_FORMAT " ms",
		    answered ? "answered" : "no answer", count, a->n, now - a->sent_ms);
	if (n->scheduler && a->term == n->term) {
		scheduler_advice_answered(n->scheduler, a->step, (const char *const *)a->runner,
					  a->n, ticket, count, now + validity_ms, answered, now);
		node_schedule_pass(n);
	}
	g_hash_table_remove(n->advice_call, GUINT_TO_POINTER(call));
}

void node_advice_done(void *ctx, uint64_t call, uint64_t link, bool answered,
		      const struct ticket *ticket, size_t count, uint32_t validity_ms)
{
	struct node *n = ctx;

	if (link)
		links_reply_advice(n->links, link, call, answered, ticket, count, validity_ms);
	else
		node_handle_advice(n, call, answered, ticket, count, validity_ms);
}

static void write_op(void *ctx, uint64_t batch, GPtrArray *records)
{
	joblog_write(((struct node *)ctx)->log, batch, records);
}

static void expire_op(void *ctx, const char *id)
{
	joblog_delete(((struct node *)ctx)->log, id);
}

static void fenced_op(void *ctx, const char *by)
{
	node_step_down_soon(ctx, by);
}

static void decided_op(void *ctx, const struct decision *d)
{
	const struct node *n = ctx;

	decisions_record(d, n->conf.metrics, n->term);
}

const struct scheduler_ops node_scheduler_ops = {
	.decided = decided_op,
	.start = start_op,
	.stop = stop_op,
	.poll = poll_op,
	.request_advice = request_advice_op,
	.write = write_op,
	.expire = expire_op,
	.fenced = fenced_op,
};
