#define G_LOG_DOMAIN "node"

#include "decisions.h"
#include "log.h"
#include "node_priv.h"
#include "process/advice.h"

/* An answer that the scheduler of one term waits for. */
struct order {
	struct node *node;
	uint64_t term;
	char *runner;
	char *task;
	uint32_t run;
	uint64_t look;
};

struct ask {
	uint64_t term;
	int64_t asked_ms;
	char *step;
	char **runner;
	size_t n;
};

static struct order *order_create(struct node *n, const char *runner, const char *task,
				  uint32_t run)
{
	struct order *o = g_new0(struct order, 1);

	o->node = n;
	o->term = n->term;
	o->runner = g_strdup(runner);
	o->task = g_strdup(task);
	o->run = run;
	return o;
}

static void order_free(struct order *o)
{
	g_free(o->task);
	g_free(o->runner);
	g_free(o);
}

/* The scheduler that gave the order, NULL if it is gone. */
static struct scheduler *order_scheduler(const struct order *o)
{
	return o->node->term == o->term ? o->node->scheduler : NULL;
}

static void on_started(void *ctx, enum start_result result)
{
	struct order *o = ctx;
	struct scheduler *s = order_scheduler(o);

	if (s) {
		scheduler_start_answered(s, o->runner, o->task, o->run, result, node_now_ms());
		node_poke(o->node);
	}
	order_free(o);
}

static void start_op(void *ctx, const struct start_order *order)
{
	struct node *n = ctx;

	relay_start(n->relay, order, n->term, on_started,
		    order_create(n, order->runner, order->task, order->run));
}

static void on_stopped(void *ctx, bool answered)
{
	struct order *o = ctx;
	struct scheduler *s = order_scheduler(o);

	if (s) {
		scheduler_stop_answered(s, o->runner, o->task, o->run, answered, node_now_ms());
		node_poke(o->node);
	}
	order_free(o);
}

static void stop_op(void *ctx, const struct route *route, const char *runner, const char *address,
		    const char *task, uint32_t run)
{
	struct node *n = ctx;

	relay_stop(n->relay, route, runner, address, task, run, n->term, on_stopped,
		   order_create(n, runner, task, run));
}

static void on_looked(void *ctx, const struct poll_reply *look)
{
	struct order *o = ctx;
	struct scheduler *s = order_scheduler(o);

	if (s) {
		scheduler_poll_answered(s, o->runner, o->look, look, node_now_ms());
		node_poke(o->node);
	}
	order_free(o);
}

static void look_op(void *ctx, const struct poll_order *order)
{
	struct node *n = ctx;
	struct order *o = order_create(n, order->runner, NULL, 0);

	o->look = order->poll_id;
	relay_look(n->relay, order, n->term, on_looked, o);
}

void node_ask_free(gpointer data)
{
	struct ask *a = data;

	g_strfreev(a->runner);
	g_free(a->step);
	g_free(a);
}

static void ask_op(void *ctx, const char *step, const char *const *runner, size_t count,
		   uint64_t cost_us)
{
	struct node *n = ctx;
	struct ask *a = g_new0(struct ask, 1);
	uint64_t call = ++n->next_call;

	a->term = n->term;
	a->asked_ms = node_now_ms();
	a->step = g_strdup(step);
	a->n = count;
	a->runner = advice_copy_runners(runner, count);
	g_hash_table_insert(n->asks, GUINT_TO_POINTER(call), a);
	/* With equal load another node asks: this one has more to do. */
	if (!links_ask_advice(n->links, call, step, runner, count, cost_us,
			      helper_load_us(n->helper) + cost_us))
		helper_ask(n->helper, call, false, step, runner, count, cost_us);
}

void node_take_advice(struct node *n, uint64_t call, bool answered, const struct ticket *ticket,
		      size_t count, uint32_t validity_ms)
{
	struct ask *a = g_hash_table_lookup(n->asks, GUINT_TO_POINTER(call));
	int64_t now = node_now_ms();

	if (!a)
		return;
	log_request(LOG_INFO, a->step, "advise", NULL,
		    "%s: %zu of %zu runners approved after %" G_GINT64_FORMAT " ms",
		    answered ? "answered" : "no answer", count, a->n, now - a->asked_ms);
	if (n->scheduler && a->term == n->term) {
		scheduler_advice_answered(n->scheduler, a->step, (const char *const *)a->runner,
					  a->n, ticket, count, now + validity_ms, answered, now);
		node_poke(n);
	}
	g_hash_table_remove(n->asks, GUINT_TO_POINTER(call));
}

void node_helped(void *ctx, uint64_t call, bool remote, bool answered, const struct ticket *ticket,
		 size_t count, uint32_t validity_ms)
{
	struct node *n = ctx;

	if (remote)
		links_advised(n->links, call, answered, ticket, count, validity_ms);
	else
		node_take_advice(n, call, answered, ticket, count, validity_ms);
}

static void write_op(void *ctx, uint64_t batch, GPtrArray *records)
{
	joblog_write(((struct node *)ctx)->log, batch, records);
}

static void expire_op(void *ctx, const char *id)
{
	joblog_drop(((struct node *)ctx)->log, id);
}

static void fenced_op(void *ctx, const char *by)
{
	node_step_down_soon(ctx, by);
}

static void decided_op(void *ctx, const struct decision *d)
{
	const struct node *n = ctx;

	decisions_note(d, n->conf.metrics, n->term);
}

const struct scheduler_ops node_scheduler_ops = {
	.decided = decided_op,
	.start = start_op,
	.stop = stop_op,
	.poll = look_op,
	.request_advice = ask_op,
	.write = write_op,
	.expire = expire_op,
	.fenced = fenced_op,
};
