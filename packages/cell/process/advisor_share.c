#include <glib.h>

#include "advisor_share.h"

#define LONG_REQUEST_US 80000 /* those of urgent steps take 25 ms, all others 155 ms or more */
/*
 * Some clients get only short requests: a third of those beyond SHORT_ONLY_BASE, and at least one.
 * Of 6 clients that is 1, which the short requests keep 40% busy; of 29 clients it is 8.
 */
#define SHORT_ONLY_BASE	   3
#define SHORT_ONLY_DIVISOR 3
/* Three short requests of 25 ms in flight per client, so that it has work during the transit. */
#define SHORT_PER_CLIENT_US 75000
/* Of the clients for long requests, 1/n and at least one serve overdue steps. */
#define OVERDUE_DIVISOR 8
/* Short requests of overdue steps in flight, per client that is without a long one. */
#define OVERDUE_SHORT_US 25000

struct advisor_share {
	uint32_t clients;
	bool long_overdue;	/* steps with long requests are overdue */
	bool overdue_next;	/* the last long request was an ordinary one */
	uint32_t long_requests; /* in flight, like all following */
	uint32_t long_overdue_requests;
	uint64_t short_us;
	uint64_t short_overdue_us;
};

struct advisor_share *advisor_share_create(void)
{
	struct advisor_share *a = g_new0(struct advisor_share, 1);

	a->clients = 1;
	return a;
}

void advisor_share_destroy(struct advisor_share *a)
{
	g_free(a);
}

void advisor_share_set_clients(struct advisor_share *a, uint32_t clients)
{
	a->clients = MAX(clients, 1);
}

bool advisor_share_wait_is_over(int64_t waiting_since_ms, int64_t now_ms)
{
	return now_ms - waiting_since_ms >= ADVISOR_SHARE_WAIT_MS;
}

void advisor_share_reserve(struct advisor_share *a, bool long_overdue)
{
	a->long_overdue = long_overdue;
}

bool advisor_share_is_long(uint64_t cost_us)
{
	return cost_us > LONG_REQUEST_US;
}

static uint32_t long_clients(const struct advisor_share *a)
{
	uint32_t more = MAX(a->clients, SHORT_ONLY_BASE) - SHORT_ONLY_BASE;

	return a->clients > 1 ? a->clients - MAX(more / SHORT_ONLY_DIVISOR, 1) : 1;
}

static uint32_t overdue_clients(const struct advisor_share *a)
{
	return MAX(long_clients(a) / OVERDUE_DIVISOR, 1);
}

/* With a second request at some clients, they have work during the transit. */
static uint32_t all_clients(const struct advisor_share *a)
{
	return a->clients + MAX(a->clients / 2, 1);
}

static bool may_send_overdue(const struct advisor_share *a)
{
	uint32_t requests = a->long_requests + a->long_overdue_requests;

	if (!a->short_us && !a->short_overdue_us)
		return requests < all_clients(a);
	return requests < long_clients(a) && a->long_overdue_requests < overdue_clients(a);
}

static bool may_send_long(const struct advisor_share *a)
{
	uint32_t clients = long_clients(a);

	if (a->long_requests + a->long_overdue_requests >= clients)
		return false;
	if (!a->long_overdue)
		return true;
	/* A single client serves both in turn. */
	return clients == 1 ? !a->overdue_next : a->long_requests < clients - overdue_clients(a);
}

bool advisor_share_may_send(const struct advisor_share *a, const struct advisor_request *r)
{
	uint32_t long_requests = a->long_requests + a->long_overdue_requests;
	uint32_t idle = MAX(a->clients - MIN(long_requests, a->clients), 1);

	if (advisor_share_is_long(r->cost_us))
		return r->overdue ? may_send_overdue(a) : may_send_long(a);
	if (r->overdue)
		return a->short_overdue_us < (uint64_t)OVERDUE_SHORT_US * idle;
	return a->short_us < (uint64_t)SHORT_PER_CLIENT_US * idle;
}

void advisor_share_begin(struct advisor_share *a, const struct advisor_request *r)
{
	if (!advisor_share_is_long(r->cost_us)) {
		*(r->overdue ? &a->short_overdue_us : &a->short_us) += r->cost_us;
		return;
	}
	*(r->overdue ? &a->long_overdue_requests : &a->long_requests) += 1;
	a->overdue_next = !r->overdue;
}

void advisor_share_end(struct advisor_share *a, const struct advisor_request *r)
{
	if (advisor_share_is_long(r->cost_us))
		*(r->overdue ? &a->long_overdue_requests : &a->long_requests) -= 1;
	else
		*(r->overdue ? &a->short_overdue_us : &a->short_us) -= r->cost_us;
}
