#define G_LOG_DOMAIN "node"

#include <time.h>

#include "connection/links.h"
#include "election.h"
#include "decisions.h"
#include "helper.h"
#include "joblog.h"
#include "log.h"
#include "node.h"
#include "relay.h"

#define POKE_MS	      4	   /* what happens within it is decided together */
#define REST_FACTOR   3	   /* a pass that took long is followed by that much time for all else */
#define SUMS_EVERY_MS 2000 /* between log lines of what the scheduler has done */

struct node {
	struct node_conf conf;
	struct store store;
	const struct node_ops *ops;
	void *ctx;
	char *self;
	struct election *election;
	struct joblog *log;
	struct links *links;
	struct helper *helper;
	struct relay *relay;
	struct intake *intake;
	struct queues *queues;
	struct scheduler *scheduler;
	uint64_t term;
	uint64_t next_call;
	GHashTable *asks; /* of struct ask by call */
	guint timer;
	int64_t timer_ms;
	int64_t rest_until_ms; /* no pass before */
	int64_t sums_ms;
	guint down; /* idle source that steps down */
	char *down_by;
	bool stopping;
};

/* An answer that the scheduler of one term waits for. */
struct order {
	struct node *node;
	uint64_t term;
	char *runner;
	char *task;
	uint32_t run;
};

struct ask {
	uint64_t term;
	int64_t asked_ms;
	char *step;
	char **runner;
	size_t n;
};

int64_t node_now_ms(void)
{
	struct timespec t;

	clock_gettime(CLOCK_BOOTTIME, &t);
	return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

int64_t node_wall_ms(void)
{
	return g_get_real_time() / 1000;
}

static gboolean on_timer(gpointer data);

static void arm(struct node *n, int64_t at_ms)
{
	int64_t now = node_now_ms();

	at_ms = MAX(at_ms, n->rest_until_ms);
	if (!n->scheduler || (n->timer && n->timer_ms <= at_ms))
		return;
	if (n->timer)
		g_source_remove(n->timer);
	n->timer_ms = at_ms;
	n->timer = g_timeout_add((guint)MAX(at_ms - now, 1), on_timer, n);
}

static void poke(struct node *n)
{
	arm(n, node_now_ms() + POKE_MS);
}

static int64_t percent(int64_t part, int64_t whole)
{
	return whole ? part * 100 / whole : 0;
}

static void log_pool(void *ctx, const struct scheduler_pool *p)
{
	log_info("pool", p->service,
		 "%u runners, used: cpu %" G_GINT64_FORMAT "%%, memory %" G_GINT64_FORMAT
		 "%%, accelerators %" G_GINT64_FORMAT "%%",
		 p->runners, percent(p->used.cpu_milli, p->room.cpu_milli),
		 percent(p->used.mem_bytes, p->room.mem_bytes),
		 percent(p->used.accel, p->room.accel));
}

static void log_sums(struct node *n, int64_t now)
{
	struct scheduler_sums s;

	if (now < n->sums_ms)
		return;
	n->sums_ms = now + SUMS_EVERY_MS;
	scheduler_sums(n->scheduler, &s);
	log_info("sums", NULL,
		 "open jobs %u, runs %u, runners %u (%u silent), starts %" G_GUINT64_FORMAT
		 ", refused %" G_GUINT64_FORMAT ", done %" G_GUINT64_FORMAT
		 ", failed %" G_GUINT64_FORMAT ", lost %" G_GUINT64_FORMAT
		 ", asked %" G_GUINT64_FORMAT
		 "; waiting tasks %u, gangs %u, steps without room %u, asking %u, not asked %u",
		 s.open_jobs, s.runs, s.runners, s.silent_runners, s.starts, s.refused,
		 s.ends[END_DONE], s.ends[END_FAILED], s.lapsed, s.asks, s.waiting_tasks,
		 s.gangs_waiting, s.steps_without_room, s.steps_asking, s.steps_not_asked);
	scheduler_each_pool(n->scheduler, log_pool, NULL);
}

static gboolean on_timer(gpointer data)
{
	struct node *n = data;
	int64_t now = node_now_ms();
	int64_t next;
	int64_t took;

	n->timer = 0;
	if (!n->scheduler)
		return G_SOURCE_REMOVE;
	next = scheduler_tick(n->scheduler, now, node_wall_ms());
	log_sums(n, now);
	took = node_now_ms() - now;
	n->rest_until_ms = now + took + REST_FACTOR * took;
	arm(n, MAX(next, now + POKE_MS));
	return G_SOURCE_REMOVE;
}

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
		scheduler_started(s, o->runner, o->task, o->run, result, node_now_ms());
		poke(o->node);
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
		scheduler_stopped(s, o->runner, o->task, o->run, answered, node_now_ms());
		poke(o->node);
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

static void on_looked(void *ctx, const struct look *look)
{
	struct order *o = ctx;
	struct scheduler *s = order_scheduler(o);

	if (s) {
		scheduler_looked(s, o->runner, look, node_now_ms());
		poke(o->node);
	}
	order_free(o);
}

static void look_op(void *ctx, const struct look_order *order)
{
	struct node *n = ctx;

	relay_look(n->relay, order, n->term, on_looked, order_create(n, order->runner, NULL, 0));
}

static void ask_free(gpointer data)
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
	a->runner = g_new0(char *, count + 1);
	for (size_t i = 0; i < count; i++)
		a->runner[i] = g_strdup(runner[i]);
	g_hash_table_insert(n->asks, GUINT_TO_POINTER(call), a);
	/* With equal load another node asks: this one has more to do. */
	if (!links_ask_advice(n->links, call, step, runner, count, cost_us,
			      helper_load_us(n->helper) + cost_us))
		helper_ask(n->helper, call, false, step, runner, count, cost_us);
}

static void take_advice(struct node *n, uint64_t call, bool answered, const struct ticket *ticket,
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
		scheduler_advised(n->scheduler, a->step, (const char *const *)a->runner, a->n,
				  ticket, count, now + validity_ms, answered, now);
		poke(n);
	}
	g_hash_table_remove(n->asks, GUINT_TO_POINTER(call));
}

static void on_helped(void *ctx, uint64_t call, bool remote, bool answered,
		      const struct ticket *ticket, size_t count, uint32_t validity_ms)
{
	struct node *n = ctx;

	if (remote)
		links_advised(n->links, call, answered, ticket, count, validity_ms);
	else
		take_advice(n, call, answered, ticket, count, validity_ms);
}

static void write_op(void *ctx, uint64_t batch, GPtrArray *records)
{
	joblog_write(((struct node *)ctx)->log, batch, records);
}

static void expire_op(void *ctx, const char *id)
{
	joblog_drop(((struct node *)ctx)->log, id);
}

static gboolean on_down(gpointer data)
{
	struct node *n = data;

	n->down = 0;
	election_superseded(n->election, n->down_by);
	return G_SOURCE_REMOVE;
}

/* Called from inside the scheduler or the job log, which the step down changes. */
static void step_down_soon(struct node *n, const char *by)
{
	if (n->down)
		return;
	g_free(n->down_by);
	n->down_by = g_strdup(by);
	n->down = g_idle_add(on_down, n);
}

static void fenced_op(void *ctx, const char *by)
{
	step_down_soon(ctx, by);
}

static void decided_op(void *ctx, const struct decision *d)
{
	const struct node *n = ctx;

	decisions_note(d, n->conf.metrics, n->term);
}

static const struct scheduler_ops scheduler_ops = {
	.decided = decided_op,
	.start = start_op,
	.stop = stop_op,
	.look = look_op,
	.ask = ask_op,
	.write = write_op,
	.expire = expire_op,
	.fenced = fenced_op,
};

static void on_lead(void *ctx, enum store_result result)
{
	struct node *n = ctx;

	if (result != STORE_OK) {
		step_down_soon(n, "the job log");
		return;
	}
	n->scheduler = scheduler_create(&n->conf.scheduler, joblog_book(n->log), &scheduler_ops, n,
					node_now_ms());
	scheduler_configure(n->scheduler, n->queues);
	/* Nodes may have linked before the job log was read. */
	scheduler_set_helpers(n->scheduler, links_count(n->links) + 1);
	log_notice("lead", NULL, "scheduling begins with %u jobs, term %" G_GUINT64_FORMAT,
		   book_count(joblog_book(n->log)), n->term);
	intake_scheduling(n->intake, true);
	n->ops->scheduling(n->ctx, true);
	poke(n);
}

static void on_won(void *ctx, uint64_t term)
{
	struct node *n = ctx;

	n->term = term;
	links_follow(n->links, "", term);
	joblog_lead(n->log, term, on_lead, n);
}

static void on_lost(void *ctx, const char *why)
{
	struct node *n = ctx;
	struct scheduler *s = n->scheduler;

	n->term = 0;
	n->scheduler = NULL;
	intake_scheduling(n->intake, false);
	if (s) {
		n->ops->scheduling(n->ctx, false);
		scheduler_destroy(s);
	}
	joblog_follow(n->log);
	links_drop_peers(n->links);
	relay_clear(n->relay);
	helper_clear(n->helper, false);
	g_hash_table_remove_all(n->asks);
}

static void on_holder(void *ctx, const char *address, uint64_t term)
{
	struct node *n = ctx;

	helper_clear(n->helper, true);
	links_follow(n->links, address, term);
}

static const struct election_ops election_ops = {
	.won = on_won,
	.lost = on_lost,
	.holder = on_holder,
};

static void on_job_changed(void *ctx, struct plan *p)
{
	struct node *n = ctx;

	if (!n->scheduler)
		return;
	scheduler_job(n->scheduler, p, node_now_ms());
	poke(n);
}

static void on_job_dropped(void *ctx, struct plan *p)
{
	struct node *n = ctx;

	if (n->scheduler)
		scheduler_job_dropped(n->scheduler, p);
}

static void on_written(void *ctx, uint64_t batch)
{
	struct node *n = ctx;

	if (!n->scheduler)
		return;
	scheduler_written(n->scheduler, batch, node_now_ms());
	poke(n);
}

static void on_log_fenced(void *ctx)
{
	step_down_soon(ctx, "the job log");
}

static const struct joblog_ops joblog_ops = {
	.changed = on_job_changed,
	.dropped = on_job_dropped,
	.written = on_written,
	.fenced = on_log_fenced,
};

static bool on_state_asked(void *ctx, const char *id, enum job_state *state)
{
	return intake_known(((struct node *)ctx)->intake, id, state);
}

static void on_ask(void *ctx, uint64_t call, const char *step, const char *const *runner, size_t n)
{
	helper_ask(((struct node *)ctx)->helper, call, true, step, runner, n, 0);
}

static void on_link_advised(void *ctx, uint64_t call, bool answered, const struct ticket *ticket,
			    size_t n, uint32_t validity_ms)
{
	take_advice(ctx, call, answered, ticket, n, validity_ms);
}

static void on_peers(void *ctx, uint32_t count)
{
	struct node *n = ctx;

	if (n->scheduler)
		scheduler_set_helpers(n->scheduler, count + 1);
}

/* A record of another node that is appended here. */
struct lodged {
	struct node *node;
	const struct peer *peer;
	uint64_t call;
};

static void on_lodged(void *ctx, enum store_result result)
{
	struct lodged *d = ctx;

	links_appended(d->node->links, d->peer, d->call, result);
	g_free(d);
}

static void on_append(void *ctx, struct peer *p, const Cell__AppendAsk *ask)
{
	struct node *n = ctx;
	struct lodged *d = g_new0(struct lodged, 1);

	d->node = n;
	d->peer = p;
	d->call = ask->call;
	if (!n->scheduler) {
		on_lodged(d, STORE_REFUSED);
		return;
	}
	joblog_append(n->log, ask->key, g_memdup2(ask->value.data, ask->value.len), ask->value.len,
		      node_now_ms() + ask->within_ms, on_lodged, d);
}

static void on_order(void *ctx, const Kw__Envelope *e)
{
	relay_order(((struct node *)ctx)->relay, e);
}

static void on_replied(void *ctx, const Kw__Envelope *e)
{
	relay_replied(((struct node *)ctx)->relay, e);
}

static void on_peer_lost(void *ctx, const struct peer *p)
{
	relay_peer_lost(((struct node *)ctx)->relay, p);
}

static void on_refused(void *ctx)
{
	election_suspect(((struct node *)ctx)->election);
}

static const struct links_ops links_ops = {
	.refused = on_refused,
	.append = on_append,
	.order = on_order,
	.replied = on_replied,
	.peer_lost = on_peer_lost,
	.state = on_state_asked,
	.ask = on_ask,
	.advised = on_link_advised,
	.peers = on_peers,
};

struct node *node_create(const struct node_conf *conf, const struct store *store,
			 const struct runners *runners, const struct advisor *advisor,
			 const struct node_ops *ops, void *ctx)
{
	struct node *n = g_new0(struct node, 1);
	g_autofree char *address = g_strdup_printf("%s:%u", conf->ip, conf->link_port);

	n->conf = *conf;
	n->store = *store;
	n->ops = ops;
	n->ctx = ctx;
	n->self = g_strdup_printf("%s/%" G_GINT64_FORMAT, conf->name, g_get_real_time());
	n->asks = g_hash_table_new_full(NULL, NULL, NULL, ask_free);
	n->links = links_create(n->self, conf->dc, conf->weak, &links_ops, n);
	n->relay = relay_create(runners, n->links);
	n->helper = helper_create(advisor, on_helped, n);
	n->log = joblog_create(store, &joblog_ops, n);
	n->intake = intake_create(n->log, n->links);
	n->election = election_create(store, n->self, address, conf->weak, &election_ops, n);
	return n;
}

bool node_start(struct node *n, struct status *st)
{
	if (!links_listen(n->links, n->conf.ip, n->conf.link_port, st))
		return false;
	joblog_start(n->log);
	election_start(n->election);
	return true;
}

void node_stop(struct node *n)
{
	n->stopping = true;
	election_release(n->election, links_successor(n->links));
}

bool node_stopped(const struct node *n)
{
	return n->stopping && election_released(n->election);
}

bool node_ready(const struct node *n)
{
	return n->queues && !n->stopping && joblog_loaded(n->log) && !joblog_away(n->log);
}

void node_configure(struct node *n, struct queues *q)
{
	struct queues *old = n->queues;

	n->queues = q;
	if (n->scheduler) {
		scheduler_configure(n->scheduler, q);
		poke(n);
	}
	queues_destroy(old);
}

const struct queues *node_queues(const struct node *n)
{
	return n->queues;
}

void node_runner(struct node *n, const struct runner_info *info)
{
	if (!n->scheduler)
		return;
	scheduler_runner(n->scheduler, info, node_now_ms());
	poke(n);
}

void node_runner_gone(struct node *n, const char *id)
{
	if (!n->scheduler)
		return;
	scheduler_runner_gone(n->scheduler, id, node_now_ms());
	poke(n);
}

bool node_sums(const struct node *n, struct scheduler_sums *sums)
{
	if (n->scheduler)
		scheduler_sums(n->scheduler, sums);
	return n->scheduler != NULL;
}

uint32_t node_waiting(const struct node *n, const char *queue)
{
	return book_waiting(joblog_book(n->log), queue);
}

void node_submit(struct node *n, Cell__Job *job, int64_t until_ms, intake_fn fn, void *ctx)
{
	intake_submit(n->intake, job, until_ms, fn, ctx);
}

void node_cancel(struct node *n, const char *id, int64_t until_ms, intake_fn fn, void *ctx)
{
	intake_cancel(n->intake, id, until_ms, fn, ctx);
}

void node_state(struct node *n, const char *id, intake_state_fn fn, void *ctx)
{
	intake_state(n->intake, id, fn, ctx);
}

void node_destroy(struct node *n)
{
	if (!n)
		return;
	if (n->timer)
		g_source_remove(n->timer);
	if (n->down)
		g_source_remove(n->down);
	election_destroy(n->election);
	g_clear_pointer(&n->scheduler, scheduler_destroy);
	links_destroy(n->links);
	relay_destroy(n->relay);
	helper_destroy(n->helper);
	intake_destroy(n->intake);
	joblog_destroy(n->log);
	queues_destroy(n->queues);
	g_hash_table_unref(n->asks);
	g_free(n->down_by);
	g_free(n->self);
	g_free(n);
}
