#include "advice_request.h"

#define REQUEST_RUNNERS_MAX	100 /* runners in one request, the platform's limit */
#define GANG_NAMED_PER_APPROVED 3   /* advisors approve a third of the runners or more */
#define REQUEST_RUNNERS_MIN	8 /* even if they cost more than half of the request's base cost */
#define LONG_REQUEST_US		80000 /* those of urgent steps take 25 ms, all others 155 ms or more */
#define TICKET_RENEW_MS		600 /* before a ticket expires; a request takes 400 ms plus transit */
/*
 * Some clients get only short requests: a third of those beyond SHORT_ONLY_BASE, and at least one.
 * Of 6 clients that is 1, which the short requests keep 40% busy; of 29 clients it is 8.
 */
#define SHORT_ONLY_BASE	   3
#define SHORT_ONLY_DIVISOR 3
/* Three short requests of 25 ms in flight per client, so that it has work during the transit. */
#define SHORT_PER_CLIENT_US 75000

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

/*
 * The advisor serves the requests of each client one after the other. A long request takes
 * twenty times as long as that of an urgent step, so each client gets one at a time and some
 * clients get none.
 */
static bool may_send(const struct scheduler *s, uint64_t cost_us)
{
	uint32_t clients = MAX(s->advisor_clients, 1);
	uint32_t more = MAX(clients, SHORT_ONLY_BASE) - SHORT_ONLY_BASE;
	uint32_t short_only = clients > 1 ? MAX(more / SHORT_ONLY_DIVISOR, 1) : 0;

	if (cost_us > LONG_REQUEST_US)
		return s->long_requests < clients - short_only;
	return s->short_requests_us <
	       (uint64_t)SHORT_PER_CLIENT_US * MAX(clients - MIN(s->long_requests, clients), 1);
}

void advice_request_begin(struct scheduler *s, struct advice *a, uint64_t cost_us)
{
	a->in_flight = true;
	a->cost_us = cost_us;
	if (cost_us > LONG_REQUEST_US)
		s->long_requests++;
	else
		s->short_requests_us += cost_us;
}

void advice_request_end(struct scheduler *s, struct advice *a)
{
	if (!a->in_flight)
		return;
	a->in_flight = false;
	if (a->cost_us > LONG_REQUEST_US)
		s->long_requests--;
	else
		s->short_requests_us -= a->cost_us;
}

static void send_request(struct pass *pass, const struct pending_step *ps, const GPtrArray *runners,
			 uint64_t cost_us)
{
	struct scheduler *s = pass->s;
	g_autofree const char **names = g_new(const char *, runners->len);
	char step[TASK_NAME_BYTES];

	for (guint i = 0; i < runners->len; i++)
		names[i] = ((const struct cell_runner *)runners->pdata[i])->id;
	cell_job_step_name(ps->job, ps->step, step);
	ps->pool->unplaced_in_row = 0;
	advice_request_begin(s, ps->step->advice, cost_us);
	s->stats.advice_requests++;
	s->ops->request_advice(s->ctx, step, names, runners->len, cost_us);
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

bool advice_request_is_blocked(const struct scheduler *s, const struct pending_step *ps)
{
	const struct advice *a = ps->step->advice;

	if (a && (a->answered || a->in_flight))
		return false;
	return !may_send(s, request_cost_us(ps, 1));
}

void advice_request_send(struct pass *pass, const struct pending_step *ps, bool possible)
{
	g_autoptr(GPtrArray) runners = g_ptr_array_new();
	struct scheduler *s = pass->s;
	struct advice *a;
	uint32_t max;
	bool first;
	bool more;

	if (!ps->step->advice)
		ps->step->advice = advice_create();
	a = ps->step->advice;
	first = !a->answered;
	if (a->in_flight) {
		s->stats.steps_awaiting_advice++;
		return;
	}
	/*
	 * A gang or a large task needs the verdicts before there is room, to know on which runners
	 * to reserve it.
	 */
	more = ps->step->spec->gang && !approval_suffices(ps);
	if (!possible && !more && !(first && (ps->step->spec->gang || ps->large))) {
		s->stats.steps_without_room++;
		ps->pool->unplaced_in_row++;
		return;
	}
	if (a->retry_ms > s->now_ms) {
		s->stats.steps_advice_deferred++;
		return;
	}
	if (!may_send(s, request_cost_us(ps, 1))) {
		s->stats.steps_advice_deferred++;
		return;
	}
	/* The first request is for all candidates, later ones only for those with room. */
	max = request_runners_max(ps, more);
	add_candidates(ps, runners, VERDICT_APPROVED, true, max);
	add_candidates(ps, runners, VERDICT_UNKNOWN, !first && !more, max);
	if (runners->len == 0)
		return;
	if (!may_send(s, request_cost_us(ps, runners->len))) {
		s->stats.steps_advice_deferred++;
		return;
	}
	send_request(pass, ps, runners, request_cost_us(ps, runners->len));
}

void advice_request_renew(struct pass *pass, const struct pending_step *ps)
{
	g_autoptr(GPtrArray) runners = g_ptr_array_new();
	struct scheduler *s = pass->s;
	struct advice *a = ps->step->advice;

	if (!a || !a->answered || a->in_flight || a->retry_ms > s->now_ms)
		return;
	for (guint i = 0; i < ps->candidates->len; i++) {
		struct cell_runner *rn = ps->candidates->pdata[i];

		if (advice_verdict(a, rn->handle) == VERDICT_APPROVED &&
		    !advice_ticket(a, rn->handle, s->now_ms + TICKET_RENEW_MS))
			g_ptr_array_add(runners, rn);
	}
	if (runners->len && may_send(s, request_cost_us(ps, runners->len)))
		send_request(pass, ps, runners, request_cost_us(ps, runners->len));
}
