#include <string.h>

#include <criterion/criterion.h>

#include "discovery.h"

#define WAIT_MAX_MS 3000
#define CAPACITY    "\"capacity\":{\"cpu\":1000,\"mem-mb\":10}"

/* Stands for the node of the same name. */
struct node {
	GHashTable *known; /* runners by id: 1 for ready, 2 for draining */
	struct queues *queues;
	GArray *versions; /* uint64_t, in the order in which they were applied */
	guint confirmed;  /* number of times that the configuration was confirmed */
	int64_t confirmed_ms;
};

int64_t node_now_ms(void)
{
	return g_get_monotonic_time() / 1000;
}

const struct queues *node_queues(const struct node *n)
{
	return n->queues;
}

void node_configure(struct node *n, struct queues *q)
{
	uint64_t version = queues_version(q);

	queues_destroy(n->queues);
	n->queues = q;
	g_array_append_val(n->versions, version);
}

void node_config_confirmed(struct node *n, int64_t as_of_ms)
{
	n->confirmed++;
	n->confirmed_ms = as_of_ms;
}

void node_update_runner(struct node *n, const struct runner_info *info)
{
	g_hash_table_insert(n->known, g_strdup(info->id), GINT_TO_POINTER(info->draining ? 2 : 1));
}

void node_remove_runner(struct node *n, const char *id)
{
	g_hash_table_remove(n->known, id);
}

/* What the store answers to the calls of one topic, one after the other. */
struct answer {
	bool newest; /* the call that is expected */
	enum store_result result;
	const char *after; /* of a newest call */
	uint64_t from;	   /* of a read */
	struct store_record rec[4];
	size_t n;
	uint64_t end; /* of the log */
	bool more;
	const char *last_key; /* of the page, if it isn't that of the last record */
	uint32_t takes_ms;    /* until the answer */
};

struct fake {
	const char *topic;
	const struct answer *answer;
	size_t n;
	size_t next;
	struct node node;
};

static void reply(struct fake *f, page_fn fn, void *ctx)
{
	const struct answer *a = &f->answer[f->next++];
	struct store_page page = { .record = a->rec,
				   .n = a->n,
				   .next_offset = a->end,
				   .last_key = a->last_key,
				   .more = a->more };

	if (!page.last_key && a->n)
		page.last_key = a->rec[a->n - 1].key;
	g_usleep((gulong)a->takes_ms * 1000);
	fn(ctx, a->result, a->result == STORE_OK ? &page : NULL);
}

static void fake_newest(void *impl, const char *topic, uint32_t part, const char *after, page_fn fn,
			void *ctx)
{
	struct fake *f = impl;

	if (!g_str_equal(topic, f->topic) || f->next == f->n)
		return;
	cr_expect(f->answer[f->next].newest, "call %zu is a load", f->next);
	cr_expect_str_eq(after, f->answer[f->next].after);
	reply(f, fn, ctx);
}

static void fake_read(void *impl, const char *topic, uint32_t part, uint64_t from, uint32_t wait_ms,
		      uint32_t max_bytes, page_fn fn, void *ctx)
{
	struct fake *f = impl;

	if (!g_str_equal(topic, f->topic) || f->next == f->n)
		return;
	cr_expect(!f->answer[f->next].newest, "call %zu is a read", f->next);
	cr_expect_eq(from, f->answer[f->next].from, "call %zu reads from %" G_GUINT64_FORMAT,
		     f->next, from);
	reply(f, fn, ctx);
}

static const struct store_ops fake_ops = { .newest = fake_newest, .read = fake_read };

/* Runs discovery until all answers are given; fills the node with what it knows then. */
static void run(struct fake *f)
{
	struct store store = { .ops = &fake_ops, .impl = f };
	int64_t end_ms = node_now_ms() + WAIT_MAX_MS;
	struct discovery *d;

	f->node.known = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	f->node.versions = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	d = discovery_create(&store, &f->node);
	discovery_start(d);
	discovery_follow_runners(d, true);
	while (f->next < f->n && node_now_ms() < end_ms)
		g_main_context_iteration(NULL, TRUE);
	cr_expect_eq(f->next, f->n, "%zu of %zu answers used", f->next, f->n);
	discovery_destroy(d);
}

static void clear(struct fake *f)
{
	g_hash_table_unref(f->node.known);
	g_array_unref(f->node.versions);
	queues_destroy(f->node.queues);
}

/* Returns the runners that the node knows after these answers. */
static GHashTable *run_runners(const struct answer *answer, size_t n)
{
	struct fake f = { .topic = "keyed.servers", .answer = answer, .n = n };
	GHashTable *known;

	run(&f);
	known = g_hash_table_ref(f.node.known);
	clear(&f);
	return known;
}

static int state_of(GHashTable *known, const char *id)
{
	return GPOINTER_TO_INT(g_hash_table_lookup(known, id));
}

#define ENTRY(state)                                                                               \
	(const uint8_t *)"{\"service\":\"s\",\"address\":\"1.2.3.4:5\",\"zone\":\"z\","            \
			 "\"born\":1,\"state\":\"" state "\"," CAPACITY "}"
#define SIZE(state)                                                                                \
	sizeof("{\"service\":\"s\",\"address\":\"1.2.3.4:5\",\"zone\":\"z\","                      \
	       "\"born\":1,\"state\":\"" state "\"," CAPACITY "}") -                               \
		1
#define RECORD(at, id, state)                                                                      \
	{                                                                                          \
		.offset = (at), .key = (id), .value = ENTRY(state), .size = SIZE(state)            \
	}
#define REMOVED(at, id)                                                                            \
	{                                                                                          \
		.offset = (at), .key = (id)                                                        \
	}

/* Of a page that ends before the log does, the rest was skipped: a draining runner got work. */
Test(discovery, reads_on_after_the_last_record_of_a_page)
{
	static const struct answer answers[] = {
		{ .newest = true,
		  .after = "",
		  .rec = { RECORD(1, "i-1", "ready") },
		  .n = 1,
		  .end = 2 },
		{ .from = 2, .rec = { RECORD(2, "i-1", "ready") }, .n = 1, .end = 5 },
		{ .from = 3,
		  .rec = { RECORD(3, "i-2", "ready"), RECORD(4, "i-1", "draining") },
		  .n = 2,
		  .end = 5 },
		{ .from = 5, .end = 5 },
	};
	g_autoptr(GHashTable) known = run_runners(answers, G_N_ELEMENTS(answers));

	cr_expect_eq(state_of(known, "i-1"), 2);
	cr_expect_eq(state_of(known, "i-2"), 1);
}

/* A load whose pages fail in between, and a reload, keep the runners that have an entry. */
Test(discovery, load_that_fails_between_pages_removes_nobody)
{
	static const struct answer answers[] = {
		{ .newest = true,
		  .after = "",
		  .rec = { RECORD(1, "i-1", "ready"), RECORD(2, "i-2", "ready") },
		  .n = 2,
		  .end = 4,
		  .more = true },
		{ .newest = true, .after = "i-2", .result = STORE_UNKNOWN },
		{ .newest = true,
		  .after = "i-2",
		  .rec = { RECORD(3, "i-3", "ready") },
		  .n = 1,
		  .end = 4 },
		{ .from = 4, .result = STORE_TRIMMED },
		{ .newest = true, .after = "", .result = STORE_REFUSED },
		{ .newest = true,
		  .after = "",
		  .rec = { RECORD(1, "i-1", "ready") },
		  .n = 1,
		  .end = 9,
		  .more = true },
		{ .newest = true, .after = "i-1", .result = STORE_UNKNOWN },
		{ .newest = true,
		  .after = "i-1",
		  .rec = { RECORD(3, "i-3", "draining") },
		  .n = 1,
		  .end = 9 },
		{ .from = 9, .rec = { REMOVED(9, "i-1") }, .n = 1, .end = 10 },
		{ .from = 10, .rec = { RECORD(10, "i-1", "ready") }, .n = 1, .end = 11 },
	};
	g_autoptr(GHashTable) known = run_runners(answers, G_N_ELEMENTS(answers));

	cr_expect_eq(state_of(known, "i-1"), 1);
	cr_expect_eq(state_of(known, "i-2"), 0);
	cr_expect_eq(state_of(known, "i-3"), 2);
}

#define ODD_PORT "{\"service\":\"s\",\"address\":\"1.2.3.4:99999\",\"zone\":\"z\",\"born\":1,"
#define INVALID(at, id)                                                                            \
	{                                                                                          \
		.offset = (at), .key = (id), .value = (const uint8_t *)ODD_PORT,                   \
		.size = sizeof(ODD_PORT) - 1                                                       \
	}

/* The newest entry counts: one that is invalid names no runner, until the runner writes again. */
Test(discovery, invalid_entry_names_no_runner)
{
	static const struct answer answers[] = {
		{ .newest = true,
		  .after = "",
		  .rec = { RECORD(1, "i-1", "ready"), RECORD(2, "i-2", "ready"),
			   INVALID(3, "other") },
		  .n = 3,
		  .end = 4 },
		{ .from = 4, .rec = { INVALID(4, "i-1"), INVALID(5, "i-2") }, .n = 2, .end = 6 },
		{ .from = 6, .rec = { RECORD(6, "i-2", "ready") }, .n = 1, .end = 7 },
	};
	g_autoptr(GHashTable) known = run_runners(answers, G_N_ELEMENTS(answers));

	cr_expect_eq(state_of(known, "i-1"), 0);
	cr_expect_eq(state_of(known, "i-2"), 1);
	cr_expect_eq(state_of(known, "other"), 0);
}

/* A page of the list without a usable record ended the load, and all later runners were removed. */
Test(discovery, load_goes_on_after_a_page_without_records)
{
	static const struct answer answers[] = {
		{ .newest = true,
		  .after = "",
		  .rec = { RECORD(1, "i-1", "ready") },
		  .n = 1,
		  .last_key = "i-2",
		  .end = 4,
		  .more = true },
		{ .newest = true, .after = "i-2", .last_key = "i-3", .end = 4, .more = true },
		{ .newest = true,
		  .after = "i-3",
		  .rec = { RECORD(3, "i-4", "ready") },
		  .n = 1,
		  .end = 4 },
	};
	g_autoptr(GHashTable) known = run_runners(answers, G_N_ELEMENTS(answers));

	cr_expect_eq(state_of(known, "i-1"), 1);
	cr_expect_eq(state_of(known, "i-4"), 1);
}

#define CONFIG(at, version)                                                                        \
	{                                                                                          \
		.offset = (at), .key = "config",                                                   \
		.value = (const uint8_t *)"{\"version\":" version ",\"routes\":[]}",               \
		.size = sizeof("{\"version\":" version ",\"routes\":[]}") - 1                      \
	}

/*
 * A page may hold older records than were read before, after a reload or from a replica that lags.
 * A version that was withdrawn must not come back.
 */
Test(discovery, version_of_the_configuration_never_goes_back)
{
	static const struct answer answers[] = {
		{ .newest = true, .after = "", .rec = { CONFIG(4, "7") }, .n = 1, .end = 5 },
		{ .from = 5, .rec = { CONFIG(5, "5"), CONFIG(6, "9") }, .n = 2, .end = 7 },
		{ .from = 7, .result = STORE_TRIMMED },
		{ .newest = true, .after = "", .result = STORE_UNKNOWN },
		{ .newest = true, .after = "", .rec = { CONFIG(4, "7") }, .n = 1, .end = 7 },
		{ .from = 7, .rec = { CONFIG(7, "9"), CONFIG(8, "12") }, .n = 2, .end = 9 },
		{ .from = 9, .rec = { REMOVED(9, "config") }, .n = 1, .end = 10 },
	};
	static const uint64_t expected[] = { 7, 9, 12 };
	struct fake f = { .topic = "keyed.op", .answer = answers, .n = G_N_ELEMENTS(answers) };

	run(&f);
	cr_assert_eq(f.node.versions->len, G_N_ELEMENTS(expected));
	for (guint i = 0; i < f.node.versions->len; i++)
		cr_expect_eq(g_array_index(f.node.versions, uint64_t, i), expected[i]);
	clear(&f);
}

#define UNREADABLE(at)                                                                             \
	{                                                                                          \
		.offset = (at), .key = "config", .value = (const uint8_t *)"{}", .size = 2         \
	}

struct confirm_case {
	const char *name;
	struct answer answer[6];
	size_t n;
	guint confirmed;
};

/*
 * A node that takes its configuration for current while a newer one waits to be read serves keys
 * that were withdrawn.
 */
Test(discovery, configuration_is_confirmed_by_what_was_read_to_the_end)
{
	static const struct confirm_case cases[] = {
		{ "a load and an empty read",
		  { { .newest = true, .after = "", .rec = { CONFIG(4, "7") }, .n = 1, .end = 5 },
		    { .from = 5, .end = 5 } },
		  2,
		  2 },
		{ "a load in two pages is over with the second",
		  { { .newest = true,
		      .after = "",
		      .rec = { CONFIG(4, "7") },
		      .n = 1,
		      .end = 5,
		      .more = true },
		    { .newest = true, .after = "config", .result = STORE_UNKNOWN } },
		  2,
		  0 },
		{ "a page that ends before the log does",
		  { { .newest = true, .after = "", .rec = { CONFIG(4, "7") }, .n = 1, .end = 5 },
		    { .from = 5, .rec = { CONFIG(5, "8") }, .n = 1, .end = 9 },
		    { .from = 6, .result = STORE_REFUSED } },
		  3,
		  1 },
		{ "calls without an answer",
		  { { .newest = true, .after = "", .result = STORE_UNKNOWN },
		    { .newest = true, .after = "", .rec = { CONFIG(4, "7") }, .n = 1, .end = 5 },
		    { .from = 5, .result = STORE_UNKNOWN },
		    { .from = 5, .result = STORE_REFUSED } },
		  4,
		  1 },
		{ "a dropped history until it is loaded again",
		  { { .newest = true, .after = "", .rec = { CONFIG(4, "7") }, .n = 1, .end = 5 },
		    { .from = 5, .result = STORE_TRIMMED },
		    { .newest = true, .after = "", .result = STORE_UNKNOWN } },
		  3,
		  1 },
		{ "a newest record that can't be read, until the next one",
		  { { .newest = true, .after = "", .rec = { CONFIG(4, "7") }, .n = 1, .end = 5 },
		    { .from = 5, .rec = { UNREADABLE(5) }, .n = 1, .end = 6 },
		    { .from = 6, .end = 6 },
		    { .from = 6, .rec = { CONFIG(6, "9") }, .n = 1, .end = 7 } },
		  4,
		  2 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct fake f = { .topic = "keyed.op", .answer = cases[i].answer, .n = cases[i].n };

		run(&f);
		cr_expect_eq(f.node.confirmed, cases[i].confirmed, "%s: confirmed %u times",
			     cases[i].name, f.node.confirmed);
		clear(&f);
	}
}

/* The reply to a long poll that is under way for seconds says nothing of what came after the call.
 */
Test(discovery, confirmation_counts_from_the_call)
{
	static const struct answer answers[] = {
		{ .newest = true, .after = "", .rec = { CONFIG(4, "7") }, .n = 1, .end = 5 },
		{ .from = 5, .end = 5, .takes_ms = 300 },
	};
	struct fake f = { .topic = "keyed.op", .answer = answers, .n = G_N_ELEMENTS(answers) };
	int64_t end_ms;

	run(&f);
	end_ms = node_now_ms();
	cr_expect_leq(f.node.confirmed_ms, end_ms - 300);
	clear(&f);
}
