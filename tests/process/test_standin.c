#include <string.h>

#include <criterion/criterion.h>

#include "cell.h"

#define WAIT_MS 5000
#define A	"/w/north-a-clips-1/"
#define B	"/w/north-a-billing-1/"
#define LEASES	"\"lease_ms\":400,\"task_lease_ms\":800"
#define SIZE	"\"cpu_milli\":5000,\"mem_bytes\":10,\"accel\":0"
#define LOG	"/v1/streams/s/records"

/* A request to a fake and the expected answer. */
struct step {
	const char *path;
	const char *body; /* NULL for a GET */
	const char *has;  /* part of the answer */
	unsigned int status;
	unsigned int sleep_ms;
};

static const struct step worker_steps[] = {
	{ A "renew", "{\"epoch\":1}", "\"epoch\":0", 409, 0 },
	{ A "session", "{\"owner\":\"x\",\"epoch\":5," LEASES "}", "\"tasks\":[]", 200, 0 },
	{ A "session", "{\"owner\":\"y\",\"epoch\":5," LEASES "}", "\"epoch\":5", 409, 0 },
	{ A "session", "{\"owner\":\"y\",\"epoch\":4," LEASES "}", "\"epoch\":5", 409, 0 },
	{ A "tasks", "{\"epoch\":4,\"tasks\":[{\"id\":\"1\"," SIZE "}]}", "\"epoch\":5", 409, 0 },
	{ A "tasks", "{\"epoch\":5,\"tasks\":[{\"id\":\"1\",\"run_ms\":100," SIZE "}]}",
	  "{\"id\":\"1\",\"ok\":true}", 200, 0 },
	{ A "tasks", "{\"epoch\":5,\"tasks\":[{\"id\":\"1\"}]}", "\"duplicate\"", 200, 0 },
	{ A "tasks", "{\"epoch\":5,\"tasks\":[{\"id\":\"2\"," SIZE "}]}", "\"full\"", 200, 0 },
	{ A "renew", "{\"epoch\":5,\"wait_ms\":3000}", "\"seq\":1", 200, 0 },
	{ A "renew", "{\"epoch\":5,\"wait_ms\":3000}", "\"id\":\"1\",\"exit\":0", 200, 0 },
	{ A "renew", "{\"epoch\":5,\"ack\":1,\"wait_ms\":10}", "\"ended\":[]", 200, 0 },
	{ A "tasks", "{\"epoch\":5,\"tasks\":[{\"id\":\"3\",\"job\":\"j\"," SIZE "}]}",
	  "\"ok\":true", 200, 500 },
	{ A "renew", "{\"epoch\":5}", "\"epoch\":5", 410, 0 },
	{ A "run", "{}", "epoch", 503, 0 },
	{ A "session", "{\"owner\":\"y\",\"epoch\":6," LEASES "}", "\"id\":\"3\",\"job\":\"j\",",
	  200, 900 },
	{ A "session", "{\"owner\":\"y\",\"epoch\":7," LEASES "}", "\"state\":\"ended\"", 200, 0 },
	{ A "renew", "{\"epoch\":7}", "\"reason\":\"lease\"", 200, 0 },
	{ "/fault", "{\"worker\":\"north-a-clips-1\",\"restart\":true}", "", 200, 0 },
	{ A "session", "{\"owner\":\"x\",\"epoch\":1," LEASES "}", "\"tasks\":[]", 200, 0 },
	{ "/fault", "{\"worker\":\"north-a-clips-1\",\"leaving\":true}", "", 200, 0 },
	{ A "tasks", "{\"epoch\":1,\"tasks\":[{\"id\":\"4\"}]}", "\"leaving\"", 200, 0 },
	{ "/fault", "{\"worker\":\"*\",\"fail_starts\":true}", "", 200, 0 },
	{ B "session", "{\"owner\":\"x\",\"epoch\":1," LEASES "}", "\"tasks\":[]", 200, 0 },
	{ B "tasks", "{\"epoch\":1,\"tasks\":[{\"id\":\"5\"}]}", "\"start_failed\"", 200, 0 },
	{ "/w/nobody/session", "{}", "", 404, 0 },
};

static const struct step platform_steps[] = {
	{ LOG, "a", "\"offset\":0", 200, 0 },
	{ LOG, "b", "\"offset\":1", 200, 0 },
	{ LOG "?from=0&max=1", NULL, "\"next\":2,\"records\":[{\"offset\":0,", 200, 0 },
	{ LOG "?from=2&wait_ms=20", NULL, "\"records\":[]", 200, 0 },
	{ "/fault", "{\"lose_ack\":1}", "", 200, 0 },
	{ LOG, "c", "", 0, 0 },
	{ LOG "?from=2", NULL, "\"data\":\"Yw==\"", 200, 0 },
	{ "/fault", "{\"trim\":{\"stream\":\"s\",\"before\":2}}", "", 200, 0 },
	{ LOG "?from=1", NULL, "{\"first\":2,\"next\":3}", 410, 0 },
	{ "/fault", "{\"down\":true}", "", 200, 0 },
	{ LOG, "d", "", 503, 0 },
	{ "/fault", "{\"down\":\"drop\"}", "", 200, 0 },
	{ LOG, "d", "", 0, 0 },
	{ "/fault", "{\"down\":false,\"cut\":[\"127.0.0.1\"]}", "", 200, 0 },
	{ LOG, "d", "", 0, 0 },
	{ "/fault", "{\"cut\":[],\"vms_down\":true}", "", 200, 0 },
	{ "/v1/vms", NULL, "", 503, 0 },
	{ "/fault", "{\"vms_down\":false}", "", 200, 0 },
	{ "/v1/vms", NULL, "north-a-clips-1", 200, 0 },
	{ LOG, "d", "\"offset\":3", 200, 0 },
};

static void run_steps(struct cell *c, bool is_platform, const struct step *steps, size_t n)
{
	for (size_t i = 0; i < n; i++) {
		const struct step *s = &steps[i];
		const char *method = s->body ? "POST" : "GET";
		struct reply *r = is_platform ? cell_send_platform(c, method, s->path, s->body)
					      : cell_send_workers(c, 0, method, s->path, s->body);

		cr_assert(cell_wait(c, WAIT_MS), "step %zu: no answer", i);
		cr_expect_eq(r->status, s->status, "step %zu: %u %s", i, r->status, r->error);
		cr_expect_not_null(strstr(r->head, s->has), "step %zu: %s", i, r->head);
		cell_sleep(c, s->sleep_ms);
	}
}

static const struct cell_conf no_daemons = { .dcs = 1, .workers = 1, .slots = 1 };

Test(standin, worker_protocol, .timeout = 60)
{
	struct cell *c = cell_create(&no_daemons);
	struct records *r;

	run_steps(c, false, worker_steps, G_N_ELEMENTS(worker_steps));
	r = cell_records(c);
	cr_expect_eq(records_count(r, "start", NULL, NULL), 2);
	cr_expect_eq(records_count(r, "end", NULL, NULL), 2);
	cr_expect_eq(records_count(r, "overload", "north-a-clips-1", NULL), 1);
	cr_expect_eq(records_count(r, "fenced", NULL, NULL), 2);
	cr_expect_eq(records_check(r, CHECK_OVERLOAD, 0, NULL), 1);
	cr_expect_eq(records_check(r, CHECK_CAPACITY, 0, NULL), 0);
	cr_expect_eq(records_check(r, CHECK_EPOCH, 0, NULL), 0);
	records_destroy(r);
	cell_destroy(c);
}

Test(standin, platform_protocol, .timeout = 60)
{
	struct cell *c = cell_create(&no_daemons);

	run_steps(c, true, platform_steps, G_N_ELEMENTS(platform_steps));
	cell_destroy(c);
}
