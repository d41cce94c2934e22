#include "helper.h"
#include "process/advice.h"

struct question {
	struct helper *helper;
	uint64_t call;
	bool remote;
	char *step;
	char **runner;
	size_t n;
	uint64_t cost_us;
};

struct helper {
	struct advisor advisor;
	helper_fn fn;
	void *ctx;
	GQueue waiting; /* of struct question */
	struct question *asked;
	uint64_t load_us;
};

static void question_free(struct question *q)
{
	g_strfreev(q->runner);
	g_free(q->step);
	g_free(q);
}

static void ask_next(struct helper *h);

static void on_advised(void *ctx, bool answered, const struct ticket *ticket, size_t n,
		       uint32_t validity_ms)
{
	struct question *q = ctx;
	struct helper *h = q->helper;

	h->asked = NULL;
	h->load_us -= q->cost_us;
	h->fn(h->ctx, q->call, q->remote, answered, ticket, n, validity_ms);
	question_free(q);
	ask_next(h);
}

static void ask_next(struct helper *h)
{
	struct question *q;

	if (h->asked)
		return;
	q = g_queue_pop_head(&h->waiting);
	if (!q)
		return;
	h->asked = q;
	h->advisor.ops->ask(h->advisor.impl, q->step, (const char *const *)q->runner, q->n,
			    on_advised, q);
}

void helper_ask(struct helper *h, uint64_t call, bool remote, const char *step,
		const char *const *runner, size_t n, uint64_t cost_us)
{
	struct question *q = g_new0(struct question, 1);

	q->helper = h;
	q->call = call;
	q->remote = remote;
	q->step = g_strdup(step);
	q->runner = advice_copy_runners(runner, n);
	q->n = n;
	q->cost_us = cost_us;
	h->load_us += cost_us;
	g_queue_push_tail(&h->waiting, q);
	ask_next(h);
}

uint64_t helper_load_us(const struct helper *h)
{
	return h->load_us;
}

void helper_clear(struct helper *h, bool remote)
{
	for (GList *i = h->waiting.head; i;) {
		GList *next = i->next;
		struct question *q = i->data;

		if (q->remote == remote) {
			h->load_us -= q->cost_us;
			g_queue_delete_link(&h->waiting, i);
			question_free(q);
		}
		i = next;
	}
}

struct helper *helper_create(const struct advisor *advisor, helper_fn fn, void *ctx)
{
	struct helper *h = g_new0(struct helper, 1);

	h->advisor = *advisor;
	h->fn = fn;
	h->ctx = ctx;
	g_queue_init(&h->waiting);
	return h;
}

void helper_destroy(struct helper *h)
{
	if (!h)
		return;
	helper_clear(h, true);
	helper_clear(h, false);
	g_free(h);
}
