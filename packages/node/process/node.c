#define G_LOG_DOMAIN "node"

#include <time.h>

#include "decisions.h"
#include "log.h"
#include "node_priv.h"

#define COALESCE_MS	   4	/* events within this time are handled in one pass */
#define SMALL_VM_CPU_MILLI 200	/* smaller VMs claim last: a scheduler used 170 at 20 jobs/s */
#define YIELD_AFTER_MS	   500	/* until a term's first attempt: all nodes have linked by then */
#define YIELD_EVERY_MS	   5000 /* until the next attempt if the other VM did not take over */
/* After a handover: under a load that is too much for any VM, the lease must not go round. */
#define SLOW_YIELD_AFTER_MS 10000
#define STATS_EVERY_MS	    2000 /* interval of the statistics in the log */

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

static void arm_timer(struct node *n, int64_t at_ms)
{
	int64_t now = node_now_ms();

	at_ms = MAX(at_ms, n->next_pass_min_ms);
	if (!n->scheduler || (n->timer && n->timer_due_ms <= at_ms))
		return;
	if (n->timer)
		g_source_remove(n->timer);
	n->timer_due_ms = at_ms;
	n->timer = g_timeout_add((guint)MAX(at_ms - now, 1), on_timer, n);
}

void node_schedule_pass(struct node *n)
{
	arm_timer(n, node_now_ms() + COALESCE_MS);
}

/* A release of the lease limits them too. */
static void limit_grants(struct node *n)
{
	if (n->scheduler)
		scheduler_grant_until(n->scheduler, election_grants_end_ms(n->election));
}

/*
 * The scheduler uses more CPU than anything else, so it moves to a VM with much more CPU, or off a
 * VM that has turned slow.
 */
static void yield_to_faster_vm(struct node *n, int64_t now)
{
	bool slow = now >= n->slow_yield_min_ms && loop_lag_is_slow(&n->lag, now);
	const char *name;

	if (now < n->yield_min_ms || n->stopping || !election_renewing(n->election))
		return;
	name = slow ? links_pick_successor(n->links) : links_larger_peer(n->links);
	if (!name || !*name)
		return;
	n->yield_min_ms = now + YIELD_EVERY_MS;
	if (slow)
		log_notice("yield", name,
			   "passes lag by %" G_GINT64_FORMAT
			   " ms here: handing the lease over to it",
			   n->lag.mean_us / 1000);
	else
		log_notice("yield", name, "its VM has more CPU: handing the lease over to it");
	election_yield(n->election, name);
	limit_grants(n);
}

static gboolean on_timer(gpointer data)
{
	struct node *n = data;
	int64_t now = node_now_ms();
	int64_t late = now - n->timer_due_ms;
	int64_t next;
	int64_t took;

	n->timer = 0;
	if (!n->scheduler)
		return G_SOURCE_REMOVE;
	limit_grants(n);
	next = scheduler_tick(n->scheduler, now, node_wall_ms());
	if (now >= n->stats_due_ms) {
		n->stats_due_ms = now + STATS_EVERY_MS;
		decisions_log_stats(n->scheduler);
	}
	took = node_now_ms() - now;
	loop_lag_add(&n->lag, late, took, now);
	yield_to_faster_vm(n, now);
	n->next_pass_min_ms = now + took + loop_lag_rest_ms(took);
	arm_timer(n, MAX(next, now + COALESCE_MS));
	return G_SOURCE_REMOVE;
}

static gboolean on_step_down(gpointer data)
{
	struct node *n = data;

	n->step_down_source = 0;
	election_superseded(n->election, n->step_down_by);
	return G_SOURCE_REMOVE;
}

void node_step_down_soon(struct node *n, const char *by)
{
	if (n->step_down_source)
		return;
	g_free(n->step_down_by);
	n->step_down_by = g_strdup(by);
	n->step_down_source = g_idle_add(on_step_down, n);
}

/* Time by which the last lease that an earlier scheduler granted has ended. */
static int64_t inherited_until_ms(const struct node *n)
{
	return election_prior_grants_end_ms(n->election) +
	       cell_runner_lease_bound_ms(n->conf.scheduler.lease_ms);
}

static void on_term_begun(void *ctx, enum store_result result)
{
	struct node *n = ctx;
	struct scheduler_conf conf = n->conf.scheduler;
	int64_t now = node_now_ms();
	int64_t prior_grants_end_ms = election_prior_grants_end_ms(n->election);
	struct scheduler_stats stats;

	if (result != STORE_OK) {
		node_step_down_soon(n, "the job log");
		return;
	}
	conf.inherited_ms = (uint32_t)MAX(inherited_until_ms(n) - now, 0);
	conf.lease_ends = joblog_lease_ends(n->log);
	conf.term = n->term;
	n->scheduler =
		scheduler_create(&conf, joblog_job_table(n->log), &node_scheduler_ops, n, now);
	n->yield_min_ms = now + YIELD_AFTER_MS;
	n->slow_yield_min_ms = now + (election_by_handover(n->election) ? SLOW_YIELD_AFTER_MS : 0);
	n->lag = (struct loop_lag){ 0 };
	limit_grants(n);
	scheduler_configure(n->scheduler, n->queues);
	/* Nodes may have linked before the job log was read. */
	scheduler_set_advisor_clients(n->scheduler, links_peer_count(n->links) + 1);
	scheduler_stats(n->scheduler, &stats);
	log_notice("lead", NULL,
		   "starting the scheduler with %u jobs and %u runs of earlier schedulers, which "
		   "may grant leases for %" G_GINT64_FORMAT " ms, term %" G_GUINT64_FORMAT,
		   job_table_size(joblog_job_table(n->log)), stats.runs,
		   MAX(prior_grants_end_ms - now, 0), n->term);
	admit_set_scheduler(n->admit, n->scheduler);
	intake_set_scheduling(n->intake, true);
	n->ops->scheduling_changed(n->ctx, true);
	node_schedule_pass(n);
}

static void on_won(void *ctx, uint64_t term)
{
	struct node *n = ctx;

	n->term = term;
	links_set_scheduler(n->links, "", term);
	joblog_begin_term(n->log, term, on_term_begun, n);
}

static void on_lost(void *ctx, const char *why)
{
	struct node *n = ctx;
	struct scheduler *s = n->scheduler;

	n->term = 0;
	n->scheduler = NULL;
	intake_set_scheduling(n->intake, false);
	admit_set_scheduler(n->admit, NULL);
	if (s) {
		n->ops->scheduling_changed(n->ctx, false);
		scheduler_destroy(s);
	}
	joblog_end_term(n->log);
	links_drop_peers(n->links);
	relay_cancel_all(n->relay);
	advisor_queue_clear(n->advisor_queue, false);
	g_hash_table_remove_all(n->advice_call);
}

static void on_holder_changed(void *ctx, const char *address, uint64_t term)
{
	struct node *n = ctx;

	advisor_queue_clear(n->advisor_queue, true);
	links_set_scheduler(n->links, address, term);
}

static bool on_holder_silent(void *ctx)
{
	return links_scheduler_silence_ms(((struct node *)ctx)->links) > LINKS_HEARTBEAT_TIMEOUT_MS;
}

static const struct election_ops election_ops = {
	.won = on_won,
	.lost = on_lost,
	.holder_changed = on_holder_changed,
	.holder_silent = on_holder_silent,
};

static void on_job_changed(void *ctx, struct cell_job *j)
{
	struct node *n = ctx;

	if (!n->scheduler)
		return;
	scheduler_job_changed(n->scheduler, j, node_now_ms());
	node_schedule_pass(n);
}

static void on_job_dropped(void *ctx, struct cell_job *j)
{
	struct node *n = ctx;

	if (n->scheduler)
		scheduler_job_dropped(n->scheduler, j);
}

static void on_written(void *ctx, uint64_t batch)
{
	struct node *n = ctx;

	if (!n->scheduler)
		return;
	scheduler_written(n->scheduler, batch, node_now_ms());
	node_schedule_pass(n);
}

static void on_log_fenced(void *ctx)
{
	node_step_down_soon(ctx, "the job log");
}

static const struct joblog_ops joblog_ops = {
	.changed = on_job_changed,
	.dropped = on_job_dropped,
	.written = on_written,
	.fenced = on_log_fenced,
};

static bool on_state_requested(void *ctx, const char *id, enum job_state *state)
{
	return intake_find_state(((struct node *)ctx)->intake, id, state);
}

static void on_advice_requested(void *ctx, uint64_t link, uint64_t call, const char *step,
				const char *const *runner, size_t n)
{
	advisor_queue_ask(((struct node *)ctx)->advisor_queue, call, link, step, runner, n, 0);
}

static void on_advice_received(void *ctx, uint64_t call, bool answered, const struct ticket *ticket,
			       size_t n, uint32_t validity_ms)
{
	node_handle_advice(ctx, call, answered, ticket, n, validity_ms);
}

/* A killed scheduler's node runs a new process: its predecessor's last leases end the sooner. */
static void on_peer_named(void *ctx, const char *name)
{
	struct node *n = ctx;

	election_process_started(n->election, name);
	if (!n->scheduler)
		return;
	scheduler_inherit_until(n->scheduler, inherited_until_ms(n));
	node_schedule_pass(n);
}

static void on_peers_changed(void *ctx, uint32_t count)
{
	struct node *n = ctx;

	if (n->scheduler)
		scheduler_set_advisor_clients(n->scheduler, count + 1);
}

/* An append that another node requested. */
struct forwarded_append {
	struct node *node;
	uint64_t link;
	uint64_t call;
};

static void on_forwarded_appended(void *ctx, enum store_result result)
{
	struct forwarded_append *f = ctx;

	links_reply_append(f->node->links, f->link, f->call, result);
	g_free(f);
}

static void on_append_requested(void *ctx, uint64_t link, const Cell__AppendAsk *ask)
{
	struct node *n = ctx;
	struct forwarded_append *f = g_new0(struct forwarded_append, 1);
	uint32_t retry_after_ms;

	f->node = n;
	f->link = link;
	f->call = ask->call;
	if (!n->scheduler) {
		on_forwarded_appended(f, STORE_REFUSED);
		return;
	}
	retry_after_ms = admit_record(n->admit, ask->key, ask->value.data, ask->value.len);
	if (retry_after_ms) {
		links_reply_rejected(n->links, link, ask->call, retry_after_ms);
		g_free(f);
		return;
	}
	joblog_append(n->log, ask->key, g_memdup2(ask->value.data, ask->value.len), ask->value.len,
		      node_now_ms() + ask->within_ms, on_forwarded_appended, f);
}

static void on_order_received(void *ctx, uint64_t link, const Kw__Envelope *e)
{
	relay_handle_order(((struct node *)ctx)->relay, link, e);
}

static void on_order_replied(void *ctx, const struct peer *p, const Kw__Envelope *e)
{
	relay_handle_reply(((struct node *)ctx)->relay, p, e);
}

static void on_peer_lost(void *ctx, const struct peer *p)
{
	relay_peer_lost(((struct node *)ctx)->relay, p);
}

static void on_connection_refused(void *ctx)
{
	election_suspect(((struct node *)ctx)->election);
}

static bool may_be_replaced(void *ctx)
{
	return election_may_be_replaced(((struct node *)ctx)->election);
}

static bool on_store_reachable(void *ctx)
{
	return election_renewing(((struct node *)ctx)->election);
}

static const struct links_ops links_ops = {
	.store_reachable = on_store_reachable,
	.connection_refused = on_connection_refused,
	.append_requested = on_append_requested,
	.order_received = on_order_received,
	.order_replied = on_order_replied,
	.peer_lost = on_peer_lost,
	.job_state = on_state_requested,
	.advice_requested = on_advice_requested,
	.advice_received = on_advice_received,
	.peer_named = on_peer_named,
	.peers_changed = on_peers_changed,
};

struct node *node_create(const struct node_conf *conf, const struct store *store,
			 const struct runner_client *runners, const struct advisor *advisor,
			 const struct node_ops *ops, void *ctx)
{
	struct node *n = g_new0(struct node, 1);
	g_autofree char *address = g_strdup_printf("%s:%u", conf->ip, conf->link_port);

	n->conf = *conf;
	n->store = *store;
	n->ops = ops;
	n->ctx = ctx;
	n->self = g_strdup_printf("%s/%" G_GINT64_FORMAT, conf->name, g_get_real_time());
	n->next_call = links_first_call();
	n->advice_call = g_hash_table_new_full(NULL, NULL, NULL, node_advice_call_free);
	n->links = links_create(n->self, conf->dc, conf->cpu_milli, &links_ops, n);
	n->relay = relay_create(runners, n->links);
	n->advisor_queue = advisor_queue_create(advisor, node_advice_done, n);
	n->log = joblog_create(store, &joblog_ops, n);
	n->admit = admit_create(n->log, conf->metrics);
	admit_set_jobs_max(n->admit, conf->jobs_max_bytes);
	n->intake = intake_create(n->log, n->links, n->admit);
	n->election = election_create(store, n->self, address, conf->cpu_milli < SMALL_VM_CPU_MILLI,
				      &election_ops, n);
	intake_set_doubt(n->intake, may_be_replaced, n);
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
	election_release(n->election, links_pick_successor(n->links));
	limit_grants(n);
}

bool node_stopped(const struct node *n)
{
	return n->stopping && election_handover_done(n->election);
}

bool node_ready(const struct node *n)
{
	return n->queues && !n->stopping && joblog_loaded(n->log) && !joblog_store_down(n->log) &&
	       (!queues_teams(n->queues) ||
		access_is_confirmed(n->config_confirmed_ms, n->conf.config_max_age_ms,
				    node_now_ms()));
}

void node_configure(struct node *n, struct queues *q)
{
	struct queues *old = n->queues;

	n->queues = q;
	if (n->scheduler) {
		scheduler_configure(n->scheduler, q);
		node_schedule_pass(n);
	}
	queues_destroy(old);
}

const struct queues *node_queues(const struct node *n)
{
	return n->queues;
}

void node_config_confirmed(struct node *n, int64_t as_of_ms)
{
	n->config_confirmed_ms = MAX(n->config_confirmed_ms, as_of_ms);
}

int64_t node_config_age_ms(const struct node *n)
{
	return node_now_ms() - n->config_confirmed_ms;
}

enum access_result node_check_access(const struct node *n, const struct queue *queue,
				     const char *key, const struct team **team)
{
	const struct access_request req = { .queues = n->queues,
					    .queue = queue,
					    .key = key,
					    .confirmed_ms = n->config_confirmed_ms,
					    .now_ms = node_now_ms(),
					    .max_age_ms = n->conf.config_max_age_ms };

	return access_check(&req, team);
}

void node_update_runner(struct node *n, const struct runner_info *info)
{
	if (!n->scheduler)
		return;
	scheduler_update_runner(n->scheduler, info, node_now_ms());
	node_schedule_pass(n);
}

void node_remove_runner(struct node *n, const char *id)
{
	if (!n->scheduler)
		return;
	scheduler_runner_gone(n->scheduler, id, node_now_ms());
	node_schedule_pass(n);
}

bool node_stats(const struct node *n, struct scheduler_stats *stats)
{
	if (n->scheduler)
		scheduler_stats(n->scheduler, stats);
	return n->scheduler != NULL;
}

uint32_t node_waiting_count(const struct node *n, const char *queue)
{
	return job_table_count_waiting(joblog_job_table(n->log), queue);
}

void node_submit(struct node *n, Cell__Job *job, int64_t deadline_ms, intake_fn fn, void *ctx)
{
	intake_submit(n->intake, job, deadline_ms, fn, ctx);
}

void node_cancel(struct node *n, const char *id, const char *team, int64_t deadline_ms,
		 intake_fn fn, void *ctx)
{
	intake_cancel(n->intake, id, team, deadline_ms, fn, ctx);
}

void node_job_state(struct node *n, const char *id, const char *team, intake_state_fn fn, void *ctx)
{
	intake_state(n->intake, id, team, fn, ctx);
}

void node_end_requests(struct node *n)
{
	intake_end(n->intake);
}

void node_destroy(struct node *n)
{
	if (!n)
		return;
	if (n->timer)
		g_source_remove(n->timer);
	if (n->step_down_source)
		g_source_remove(n->step_down_source);
	election_destroy(n->election);
	g_clear_pointer(&n->scheduler, scheduler_destroy);
	links_destroy(n->links);
	relay_destroy(n->relay);
	advisor_queue_destroy(n->advisor_queue);
	intake_destroy(n->intake);
	admit_destroy(n->admit);
	joblog_destroy(n->log);
	queues_destroy(n->queues);
	g_hash_table_unref(n->advice_call);
	g_free(n->step_down_by);
	g_free(n->self);
	g_free(n);
}
