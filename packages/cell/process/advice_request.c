#include "advice_request.h"

#define REQUEST_RUNNERS_MAX	100 /* runners in one request, the platform's limit */
#define GANG_NAMED_PER_APPROVED 3   /* advisors approve a third of the runners or more */
#define REQUEST_RUNNERS_MIN	8 /* even if they cost more than half of the request's base cost */
#define ADVICE_RESERVE_MS	1500 /* room is kept that long for a step without an answer */
#define TICKET_RENEW_MS		600 /* before a ticket expires; a request takes 400 ms plus transit */

/* Adds up to max runners with this verdict, the freest first; room: only those with room. */
static void add_candidates(const struct pending_step *ps, GPtrArray *out, enum verdict verdict,
			   bool room, uint32_t max)
{
	g_autoptr(GPtrArray) found = g_ptr_array_new();

	for (guint i = 0; i < ps->candidates->len; i++) {
		struct cell_runner *rn = ps->candidates->pdata[i];

		if ((!room || pending_step_fits(ps, rn)) &&
		    advice_verdict(ps->step->advice, rn->handle) == verdict)
			g_ptr_array_add(found, rn);
	}
	g_ptr_array_sort(found, pending_step_by_free);
	for (guint i = 0; i < found->len && out->len < max; i++)
		g_ptr_array_add(out, found->pdata[i]);
}

static uint64_t request_cost_us(const struct pending_step *ps, uint32_t n_runners)
{
	return ps->queue ? ps->queue->advice_base_us +
				   (uint64_t)ps->queue->advice_per_runner_us * n_runners
			 : 0;
}

static bool may_send(const struct scheduler *s, const struct advisor_request *r)
{
	return advisor_share_may_send(s->advisor, r);
}

void advice_request_end(struct scheduler *s, struct advice *a)
{
	if (!a->in_flight)
		return;
	a->in_flight = false;
	advisor_share_end(s->advisor, &a->request);
}

/* The step can't get the advice that it needs now. */
static void defer(struct scheduler *s, struct advice *a)
{
	s->stats.steps_advice_deferred++;
	if (!a->waiting_since_ms)
		a->waiting_since_ms = s->now_ms;
}

static void send_request(struct pass *pass, const struct pending_step *ps, const GPtrArray *runners,
			 const struct advisor_request *r)
{
	struct scheduler *s = pass->s;
	struct advice *a = ps->step->advice;
	g_autofree const char **names = g_new(const char *, runners->len);
	char step[TASK_NAME_BYTES];

	for (guint i = 0; i < runners->len; i++)
		names[i] = ((const struct cell_runner *)runners->pdata[i])->id;
	cell_job_step_name(ps->job, ps->step, step);
	ps->pool->unplaced_in_row = 0;
	a->in_flight = true;
	if (!a->unanswered_since_ms)
		a->unanswered_since_ms = s->now_ms;
	a->request = *r;
	a->waiting_since_ms = 0;
	advisor_share_begin(s->advisor, r);
	s->stats.advice_requests++;
	s->ops->request_advice(s->ctx, step, names, runners->len, r->cost_us);
}

/* Tasks of the step that fit into half of the runner; one at least, as it may become empty. */
static uint32_t places_in_half(const struct pending_step *ps, const struct cell_runner *rn)
{
	const struct resources half = { .cpu_milli = rn->capacity.cpu_milli / 2,
					.mem_bytes = rn->capacity.mem_bytes / 2,
					.accel = rn->capacity.accel / 2 };

	return MAX(pending_step_places(ps, &half), 1);
}

/* Whether the approved runners could hold the gang if they were half empty. */
static bool approval_suffices(const struct pending_step *ps)
{
	uint32_t places = 0;

	for (guint i = 0; i < ps->candidates->len && places < ps->step->spec->count; i++) {
		const struct cell_runner *rn = ps->candidates->pdata[i];

		if (advice_verdict(ps->step->advice, rn->handle) == VERDICT_APPROVED)
			places += places_in_half(ps, rn);
	}
	return places >= ps->step->spec->count;
}

/* Runners to name so that those approved can hold the gang. */
static uint32_t gang_runners(const struct pending_step *ps)
{
	uint32_t places = ps->candidates->len ? places_in_half(ps, ps->candidates->pdata[0]) : 1;

	return (ps->step->spec->count + places - 1) / places * GANG_NAMED_PER_APPROVED;
}

/*
 * As many runners as add half of the request's base cost; more: as many as a gang needs that can't
 * be held by the approved ones.
 */
static uint32_t request_runners_max(const struct pending_step *ps, bool more)
{
	if (!ps->queue || !ps->queue->advice_per_runner_us)
		return REQUEST_RUNNERS_MAX;
	if (more)
		return CLAMP(gang_runners(ps), REQUEST_RUNNERS_MIN, REQUEST_RUNNERS_MAX);
	return CLAMP(ps->queue->advice_base_us / ps->queue->advice_per_runner_us / 2,
		     REQUEST_RUNNERS_MIN, REQUEST_RUNNERS_MAX);
}

static struct advice *advice_of(const struct pending_step *ps)
{
	if (!ps->step->advice)
		ps->step->advice = advice_create();
	return ps->step->advice;
}

bool advice_request_is_blocked(const struct scheduler *s, const struct pending_step *ps)
{
	const struct advisor_request r = { .cost_us = request_cost_us(ps, 1) };
	const struct advice *a = ps->step->advice;

	if (a && (a->answered || a->in_flight))
		return false;
	return !may_send(s, &r);
}

void advice_request_defer(struct scheduler *s, const struct pending_step *ps)
{
	struct advice *a = advice_of(ps);

	if (!a->in_flight)
		defer(s, a);
}

bool advice_request_is_unanswered(const struct pass *pass, const struct pending_step *ps)
{
	const struct advice *a = ps->step->advice;

	return ps->advised && a && a->unanswered_since_ms &&
	       pass->s->now_ms - a->unanswered_since_ms > ADVICE_RESERVE_MS;
}

/* Whether the step needs verdicts or tickets that it doesn't wait for already. */
static bool is_due(struct pass *pass, const struct pending_step *ps, bool possible, bool more)
{
	struct scheduler *s = pass->s;
	struct advice *a = ps->step->advice;

	if (a->in_flight) {
		s->stats.steps_awaiting_advice++;
		return false;
	}
	/*
	 * A gang or a large task needs the verdicts before there is room, to know on which runners
	 * to reserve it.
	 */
	if (!possible && !more && !(!a->answered && (ps->step->spec->gang || ps->large))) {
		s->stats.steps_without_room++;
		ps->pool->unplaced_in_row += !ps->unrunnable;
		a->waiting_since_ms = 0;
		return false;
	}
	if (a->retry_ms > s->now_ms) {
		s->stats.steps_advice_deferred++;
		return false;
	}
	return true;
}

/* The first request is for all candidates, later ones only for those with room. */
static void choose_runners(const struct pending_step *ps, GPtrArray *out, uint32_t max, bool more)
{
	add_candidates(ps, out, VERDICT_APPROVED, true, max);
	add_candidates(ps, out, VERDICT_UNKNOWN, ps->step->advice->answered && !more, max);
}

void advice_request_send(struct pass *pass, const struct pending_step *ps, bool possible)
{
	g_autoptr(GPtrArray) runners = g_ptr_array_new();
	struct advisor_request r = { .cost_us = request_cost_us(ps, 1) };
	bool more = ps->step->spec->gang && !approval_suffices(ps);
	struct advice *a = advice_of(ps);

	if (!is_due(pass, ps, possible, more))
		return;
	if (!may_send(pass->s, &r)) {
		defer(pass->s, a);
		return;
	}
	choose_runners(ps, runners, request_runners_max(ps, more), more);
	if (runners->len == 0)
		return;
	r.cost_us = request_cost_us(ps, runners->len);
	if (may_send(pass->s, &r))
		send_request(pass, ps, runners, &r);
	else
		defer(pass->s, a);
}

bool advice_request_is_overdue(const struct scheduler *s, const struct job_step *step)
{
	const struct advice *a = step->advice;

	return a && !a->in_flight && a->waiting_since_ms && a->retry_ms <= s->now_ms &&
	       advisor_share_wait_is_over(a->waiting_since_ms, s->now_ms);
}

bool advice_request_is_long(const struct queue *q)
{
	return q && advisor_share_is_long(q->advice_base_us + q->advice_per_runner_us);
}

void advice_request_send_overdue(struct pass *pass, const struct pending_step *ps, bool possible)
{
	g_autoptr(GPtrArray) runners = g_ptr_array_new();
	struct advisor_request r = { .cost_us = request_cost_us(ps, 1), .overdue = true };
	bool more = ps->step->spec->gang && !approval_suffices(ps);
	struct advice *a = advice_of(ps);

	if (!may_send(pass->s, &r))
		return;
	if (possible)
		choose_runners(ps, runners, request_runners_max(ps, more), more);
	r.cost_us = request_cost_us(ps, runners->len);
	if (runners->len == 0)
		a->waiting_since_ms = pass->s->now_ms;
	else if (may_send(pass->s, &r))
		send_request(pass, ps, runners, &r);
}

void advice_request_renew(struct pass *pass, const struct pending_step *ps)
{
	g_autoptr(GPtrArray) runners = g_ptr_array_new();
	struct scheduler *s = pass->s;
	struct advice *a = ps->step->advice;
	struct advisor_request r = { 0 };

	if (!a || !a->answered || a->in_flight || a->retry_ms > s->now_ms)
		return;
	for (guint i = 0; i < ps->candidates->len; i++) {
		struct cell_runner *rn = ps->candidates->pdata[i];

		if (advice_verdict(a, rn->handle) == VERDICT_APPROVED &&
		    !advice_ticket(a, rn->handle, s->now_ms + TICKET_RENEW_MS))
			g_ptr_array_add(runners, rn);
	}
	r.cost_us = request_cost_us(ps, runners->len);
	if (runners->len && may_send(s, &r))
		send_request(pass, ps, runners, &r);
}
