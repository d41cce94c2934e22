#include <glib.h>

#include <criterion/criterion.h>

#include "process/members.h"

#define RACKS 200

enum op { BEAT, DRAIN, REFUSE, TICK, LIST, LIST_LEAVING, UNLIST };

struct step {
	int64_t at_ms;
	enum op op;
	const char *name;
};

struct member_case {
	const char *name;
	struct step step[6];
	enum member_state b; /* state of b at the end */
	bool b_keeps;	     /* b owns the racks that it owned with all alive */
	bool b_gains;	     /* b owns racks that c owned with all alive */
};

static const struct members_conf conf = {
	.self = "a",
	.dc = "d",
	.region = "r",
	.beat_ms = 100,
	.far_beat_ms = 1000,
	.suspect_ms = 300,
	.dead_ms = 1000,
};

/*
 * The list at t = 0 has a, b and c in data centre d and x in data centre e. a is the daemon under
 * test. Ticks follow every 100 ms.
 */
static const struct member_case cases[] = {
	{ "a starting daemon presumes the listed ones alive", { { 200, TICK } }, MEMBER_ALIVE, 1 },
	{ "no heartbeat at all", { { 1000, TICK } }, MEMBER_ABSENT },
	{ "silent", { { 500, BEAT, "b" }, { 850, TICK } }, MEMBER_SUSPECT, true },
	{ "silent for long", { { 500, BEAT, "b" }, { 1500, TICK } }, MEMBER_DEAD },
	{ "a suspect gets no racks of a daemon that dies",
	  { { 500, BEAT, "b" }, { 800, BEAT, "c" }, { 900, TICK }, { 900, REFUSE, "c" } },
	  MEMBER_SUSPECT,
	  true },
	{ "an alive daemon gets its share of them",
	  { { 500, BEAT, "b" }, { 500, REFUSE, "c" } },
	  MEMBER_ALIVE,
	  true,
	  true },
	{ "its host refuses the connection",
	  { { 500, BEAT, "b" }, { 510, REFUSE, "b" } },
	  MEMBER_DEAD },
	{ "restarted", { { 500, REFUSE, "b" }, { 600, BEAT, "b" } }, MEMBER_ALIVE, true },
	{ "drains", { { 500, DRAIN, "b" } }, MEMBER_LEAVING },
	{ "no longer drains", { { 500, DRAIN, "b" }, { 600, BEAT, "b" } }, MEMBER_ALIVE, true },
	{ "listed as leaving", { { 500, BEAT, "b" }, { 500, LIST_LEAVING, "b" } }, MEMBER_LEAVING },
	{ "missing from a lagging list",
	  { { 500, BEAT, "b" }, { 600, UNLIST, "b" } },
	  MEMBER_ALIVE,
	  true },
	{ "missing and silent", { { 500, UNLIST, "b" }, { 1500, TICK } }, MEMBER_ABSENT },
	{ "this daemon was paused",
	  { { 500, BEAT, "b" }, { 9000, TICK }, { 9100, TICK } },
	  MEMBER_ALIVE,
	  true },
};

static struct member_info make_info(const char *name, const char *dc, bool leaving)
{
	struct member_info i = { .host = "127.0.0.1", .port = 1, .leaving = leaving };

	g_strlcpy(i.name, name, sizeof(i.name));
	g_strlcpy(i.dc, dc, sizeof(i.dc));
	g_strlcpy(i.region, "r", sizeof(i.region));
	return i;
}

static void set_list(struct members *m, const char *without, const char *leaving, int64_t now_ms)
{
	static const char *const all[][2] = {
		{ "a", "d" }, { "b", "d" }, { "c", "d" }, { "x", "e" }
	};
	struct member_info info[4];
	size_t n = 0;

	for (size_t i = 0; i < 4; i++)
		if (!without || strcmp(without, all[i][0]) != 0)
			info[n++] = make_info(all[i][0], all[i][1],
					      leaving && strcmp(leaving, all[i][0]) == 0);
	members_set_list(m, info, n, now_ms);
}

static void apply_step(struct members *m, const struct step *s)
{
	switch (s->op) {
	case BEAT:
	case DRAIN:
		return members_heartbeat(m, s->name, 1, s->op == DRAIN, s->at_ms);
	case REFUSE:
		return members_conn_refused(m, s->name, s->at_ms);
	case LIST_LEAVING:
		return set_list(m, NULL, s->name, s->at_ms);
	case UNLIST:
		return set_list(m, s->name, NULL, s->at_ms);
	default:
		members_tick(m, s->at_ms);
	}
}

/*
 * Counts the racks owned by b among those first owned by first_owner, and adds the number of the
 * latter to *total. With first_owner 0 it stores the first owners instead.
 */
static int owned(const struct members *m, char first[RACKS], char first_owner, int *total)
{
	int n = 0;

	for (int i = 0; i < RACKS; i++) {
		g_autofree char *rack = g_strdup_printf("rack-%d", i);
		const char *owner = members_owner(m, "d", rack);

		cr_assert_not_null(owner);
		if (!first_owner)
			first[i] = owner[0];
		*total += first[i] == first_owner;
		n += first[i] == first_owner && owner[0] == 'b';
	}
	return n;
}

static void run_case(const struct member_case *c)
{
	struct members *m = members_create(&conf);
	char first[RACKS];
	int64_t now_ms = 0;
	int total = 0, n;

	set_list(m, NULL, NULL, 0);
	owned(m, first, 0, &total);
	for (const struct step *s = c->step; s->at_ms; s++) {
		/* The jump to 9000 is a pause of the daemon under test: no ticks. */
		while (s->at_ms != 9000 && now_ms + 100 < s->at_ms)
			members_tick(m, now_ms += 100);
		now_ms = s->at_ms;
		apply_step(m, s);
	}
	cr_expect_eq(members_state(m, "b"), c->b, "%s: state %d", c->name, members_state(m, "b"));
	n = owned(m, first, 'b', &(int){ 0 });
	total = 0;
	owned(m, first, 'b', &total);
	cr_assert_gt(total, RACKS / 5);
	cr_expect_eq(n, c->b_keeps ? total : 0, "%s: keeps %d of %d", c->name, n, total);
	n = owned(m, first, 'c', &total);
	cr_expect_eq(n > 0, c->b_gains, "%s: gains %d", c->name, n);
	members_destroy(m);
}

Test(members, states_and_racks)
{
	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++)
		run_case(&cases[i]);
}

Test(members, sole_survivor_owns_its_own_dc_and_no_other)
{
	struct members *m = members_create(&conf);
	const char *names[3];

	set_list(m, NULL, NULL, 0);
	for (int64_t t = 100; t <= 20000; t += 100)
		members_tick(m, t);
	for (int i = 0; i < RACKS; i++) {
		g_autofree char *rack = g_strdup_printf("rack-%d", i);

		cr_assert_str_eq(members_owner(m, "d", rack), "a");
		cr_assert_null(members_owner(m, "e", rack));
	}
	/* Voters are chosen by the list alone. */
	cr_expect_eq(members_rank(m, "d", "key", false, names, 3), 3);
	cr_expect_eq(members_rank(m, "d", "key", true, names, 3), 1);
	members_destroy(m);
}
