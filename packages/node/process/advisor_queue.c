#include "advisor_queue.h"
#include "process/advice.h"

struct request {
	struct advisor_queue *queue;
	uint64_t call;
	uint64_t link;
	char *step;
	char **runner;
	size_t n;
	uint64_t cost_us;
};

struct advisor_queue {
	struct advisor advisor;
	advisor_queue_fn fn;
	void *ctx;
	GQueue waiting; /* of struct request */
	uint32_t in_flight;
	uint64_t load_us;
};

static void request_free(struct request *q)
{
	g_strfreev(q->runner);
	g_free(q->step);
	g_free(q);
}

static void send_next(struct advisor_queue *aq);

static void on_advised(void *ctx, bool answered, const struct ticket *ticket, size_t n,
		       uint32_t validity_ms)
{
	struct request *q = ctx;
	struct advisor_queue *aq = q->queue;

	aq->in_flight--;
	aq->load_us -= q->cost_us;
	aq->fn(aq->ctx, q->call, q->link, answered, ticket, n, validity_ms);
	request_free(q);
	send_next(aq);
}

static void send_next(struct advisor_queue *aq)
{
	struct request *q;

	if (aq->in_flight >= ADVISOR_IN_FLIGHT_MAX)
		return;
	q = g_queue_pop_head(&aq->waiting);
	if (!q)
		return;
	aq->in_flight++;
	aq->advisor.ops->ask(aq->advisor.impl, q->step, (const char *const *)q->runner, q->n,
			     on_advised, q);
}

void advisor_queue_ask(struct advisor_queue *aq, uint64_t call, uint64_t link, const char *step,
		       const char *const *runner, size_t n, uint64_t cost_us)
{
	struct request *q = g_new0(struct request, 1);

	q->queue = aq;
	q->call = call;
	q->link = link;
	q->step = g_strdup(step);
	q->runner = advice_copy_runners(runner, n);
	q->n = n;
	q->cost_us = cost_us;
	aq->load_us += cost_us;
	g_queue_push_tail(&aq->waiting, q);
	send_next(aq);
}

uint64_t advisor_queue_load_us(const struct advisor_queue *aq)
{
	return aq->load_us;
}

void advisor_queue_clear(struct advisor_queue *aq, bool remote)
{
	for (GList *i = aq->waiting.head; i;) {
		GList *next = i->next;
		struct request *q = i->data;

		if ((q->link != 0) == remote) {
			aq->load_us -= q->cost_us;
			g_queue_delete_link(&aq->waiting, i);
			request_free(q);
		}
		i = next;
	}
}

struct advisor_queue *advisor_queue_create(const struct advisor *advisor, advisor_queue_fn fn,
					   void *ctx)
{
	struct advisor_queue *aq = g_new0(struct advisor_queue, 1);

	aq->advisor = *advisor;
	aq->fn = fn;
	aq->ctx = ctx;
	g_queue_init(&aq->waiting);
	return aq;
}

void advisor_queue_destroy(struct advisor_queue *aq)
{
	if (!aq)
		return;
	advisor_queue_clear(aq, true);
	advisor_queue_clear(aq, false);
	g_free(aq);
}
