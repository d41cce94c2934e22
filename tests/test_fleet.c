#include <criterion/criterion.h>

#include "process/fleet.h"

#define OPENS_MAX 4

/* A fleet of one daemon, whose messages to workers are answered by the test. */
struct fixture {
	struct settings set;
	struct members *members;
	struct fleet *fleet;
	uint32_t inventories;
	uint32_t n_opens;
	uint64_t epoch[OPENS_MAX];
	worker_reply_fn open_fn[OPENS_MAX];
	void *open_ctx[OPENS_MAX];
};

/* The only fixture: the client of the fleet's messages is opaque. */
static struct fixture fixture;

static void hold_open(struct worker_client *wc, const char *url, const char *owner, uint64_t epoch,
		      worker_reply_fn fn, void *ctx)
{
	struct fixture *f = &fixture;

	cr_assert_lt(f->n_opens, OPENS_MAX);
	f->epoch[f->n_opens] = epoch;
	f->open_fn[f->n_opens] = fn;
	f->open_ctx[f->n_opens++] = ctx;
}

static void hold_renew(struct worker_client *wc, const char *url, uint64_t epoch, uint64_t ack,
		       uint32_t wait_ms, worker_reply_fn fn, void *ctx)
{
}

static const struct worker_ops worker_ops = { .open = hold_open, .renew = hold_renew };

static void on_worker(void *ctx, struct worker *w)
{
}

static void on_inventory(void *ctx, struct worker *w, const struct worker_reply *r)
{
	((struct fixture *)ctx)->inventories++;
}

static void on_request_count(void *ctx, struct worker *w, uint32_t runs, int64_t sent_ms)
{
}

static const struct fleet_ops ops = {
	.added = on_worker,
	.removed = on_worker,
	.inventory = on_inventory,
	.state_changed = on_worker,
	.request_count = on_request_count,
	.leases_lapsed = on_worker,
};

static struct fixture *fixture_create(void)
{
	struct fixture *f = &fixture;
	const struct members_conf conf = {
		.self = "d", .dc = "dc", .region = "r", .suspect_ms = 1000, .dead_ms = 2000
	};
	const struct member_info self = { .name = "d", .dc = "dc", .region = "r" };

	*f = (struct fixture){ .set = { .name = (char *)"d",
					.dc = (char *)"dc",
					.region = (char *)"r",
					.lease_ms = 15000,
					.task_lease_ms = 45000,
					.renew_ms = 5000,
					.guard_ms = 1000,
					.drift_ppm = 1000,
					.reopen_min_ms = 500,
					.reopen_max_ms = 8000 } };
	f->members = members_create(&conf);
	members_set_list(f->members, &self, 1, 0);
	f->fleet = fleet_create(&f->set, f->members, NULL, &worker_ops, &ops, f, 7);
	return f;
}

static void fixture_destroy(struct fixture *f)
{
	fleet_destroy(f->fleet);
	members_destroy(f->members);
}

static void answer_open(struct fixture *f, uint32_t i)
{
	const struct worker_reply r = { .epoch = f->epoch[i], .error = "" };

	f->open_fn[i](f->open_ctx[i], &r);
}

/*
 * Guards against the answer to a message of an earlier session being taken for that of the current
 * one: the worker left the list of VMs and came back before the answer. Its record was new then,
 * and counted changes of ownership from 0 again; the tasks on the worker were those of before.
 */
Test(fleet, answer_from_before_a_worker_was_unlisted_is_dropped)
{
	struct fixture *f = fixture_create();
	const struct vm vm = { .name = "w",
			       .dc = "dc",
			       .region = "r",
			       .rack = "rack",
			       .host = "127.0.0.1",
			       .path = "w",
			       .service = "",
			       .port = 1 };

	fleet_set_vms(f->fleet, &vm, 1);
	cr_assert_eq(f->n_opens, 1);
	fleet_set_vms(f->fleet, &vm, 0);
	fleet_set_vms(f->fleet, &vm, 1);
	cr_assert_eq(f->n_opens, 2);
	answer_open(f, 0);
	cr_expect_eq(f->inventories, 0, "the answer to the first open was taken for the second");
	answer_open(f, 1);
	cr_expect_eq(f->inventories, 1);
	fixture_destroy(f);
}
