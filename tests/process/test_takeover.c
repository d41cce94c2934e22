#include <signal.h>
#include <string.h>

#include <criterion/criterion.h>

#include "request_set.h"

#define WAIT_MS	      20000
#define HEARTBEATS_MS 500 /* several heartbeats */

static const struct cell_conf one_dc = { .dcs = 1, .daemons = 3, .workers = 3, .slots = 4 };

static bool owner_is_not(struct cell *c, void *name)
{
	struct records *r = cell_records(c);
	g_autofree char *owner = records_owner(r, "north-a-billing-1");

	records_destroy(r);
	return strcmp(owner, name) != 0;
}

Test(takeover, new_owner_counts_running_requests, .timeout = 120)
{
	struct cell *c = cell_create(&one_dc);
	unsigned int victim = cell_owner_of(c, "north-a-billing-1");
	unsigned int other = (victim + 1) % cell_size(c);
	struct request_set *set = request_set_create(c, CELL_ONCE);
	struct request_outcomes sum;

	/* Fills the racks of the other owner first, then that of the victim. */
	request_set_send(set, other, 6, "\"delay_ms\":6000");
	cr_expect(request_set_wait_begun(set, 6, WAIT_MS));
	cell_sleep(c, HEARTBEATS_MS);
	request_set_send(set, other, 4, "\"delay_ms\":6000");
	cr_expect(cell_wait_until(c, cell_has_two_runs, "north-a-billing-1", WAIT_MS));
	cell_daemon_signal(c, victim, SIGKILL);
	cr_expect(cell_wait_until(c, owner_is_not, (void *)cell_daemon_name(c, victim), WAIT_MS));
	cell_sleep(c, HEARTBEATS_MS);
	request_set_send(set, other, 12, "\"delay_ms\":1000");
	sum = request_set_wait(set, WAIT_MS);
	cr_expect_eq(sum.complete + sum.not_run + sum.unknown, 22);
	request_set_destroy(set);
	cr_expect_eq(cell_check(c, 0), 0);
	cell_destroy(c);
}
