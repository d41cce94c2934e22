#include "fair_order.h"
#include "fair_share.h"
#include "job_rank.h"

/* Of one account without a team: the mean, as any other weight would favour one side. */
static uint32_t mean_weight(const struct teams *teams)
{
	uint64_t sum = 0;

	for (size_t i = 0; i < teams_count(teams); i++)
		sum += teams_at(teams, i)->weight;
	return (uint32_t)(sum / MAX(teams_count(teams), 1));
}

static struct fair_account *find_account(const struct pass *pass, struct fair_share *f,
					 const struct cell_job *j)
{
	const struct teams *teams = queues_teams(pass->s->queues);
	const struct queue *q = queues_find(pass->s->queues, j->spec->queue);
	const char *service = q ? q->service : j->spec->service;
	const struct pass_pool *pool = g_hash_table_lookup(pass->pool, service);
	const struct team *team = teams_find(teams, j->spec->team);
	g_autofree char *queue = NULL;

	if (!pool)
		return NULL;
	if (*j->spec->team)
		return fair_share_account(f, service, &pool->capacity, j->spec->team,
					  team ? team->weight : 1);
	/* No team has such a name. */
	queue = g_strdup_printf("\n%s", j->spec->queue);
	return fair_share_account(f, service, &pool->capacity, queue, mean_weight(teams));
}

static void add_times(struct resources *to, const struct resources *what, int64_t n)
{
	const struct resources total = { .cpu_milli = what->cpu_milli * n,
					 .mem_bytes = what->mem_bytes * n,
					 .accel = what->accel * n };

	resources_add(to, &total);
}

static struct resources used_by(const struct cell_job *j)
{
	struct resources sum = { 0 };

	for (uint32_t i = 0; j->live_runs && i < j->n_step; i++) {
		struct resources need = scheduler_step_resources(j->step[i].spec);

		add_times(&sum, &need, j->step[i].live_runs);
	}
	return sum;
}

static struct resources wanted_by(const struct cell_job *j, int64_t wall_ms)
{
	struct resources sum = { 0 };

	for (uint32_t i = 0; !cell_job_has_ended(j) && i < j->n_step; i++) {
		const struct job_step *step = &j->step[i];
		struct resources need = scheduler_step_resources(step->spec);
		int64_t waiting = (int64_t)step->spec->count - step->done - step->live_runs;

		if (waiting > 0 && cell_job_step_ready(j, step, wall_ms))
			add_times(&sum, &need, waiting);
	}
	return sum;
}

static bool same_class(const struct job_rank *a, const struct job_rank *b)
{
	return a->tier == b->tier && a->priority == b->priority;
}

static void order_class(struct fair_share *f, struct fair_entry *entry, gpointer *job, guint n)
{
	fair_share_order(f, entry, n);
	for (guint i = 0; i < n; i++)
		job[i] = entry[i].job;
}

void fair_order_jobs(const struct pass *pass)
{
	struct scheduler *s = pass->s;
	gpointer *job = s->open_jobs->pdata;
	guint n = s->open_jobs->len;
	g_autofree struct fair_entry *entry = NULL;
	struct fair_share *f;

	if (!s->stats.waiting_tasks || !queues_teams(s->queues))
		return;
	f = fair_share_create();
	entry = g_new0(struct fair_entry, n + 1);
	for (guint i = 0; i < n; i++) {
		struct resources used = used_by(job[i]);

		entry[i] = (struct fair_entry){ .account = find_account(pass, f, job[i]),
						.wanted = wanted_by(job[i], s->wall_ms),
						.job = job[i] };
		if (entry[i].account)
			fair_share_use(entry[i].account, &used);
	}
	for (guint i = 0, next; i < n; i = next) {
		const struct job_rank *rank = ((const struct cell_job *)job[i])->rank;

		next = i + 1;
		while (next < n && same_class(rank, ((const struct cell_job *)job[next])->rank))
			next++;
		order_class(f, &entry[i], &job[i], next - i);
	}
	fair_share_destroy(f);
}
