#include <string.h>

#include <criterion/criterion.h>
#include <glib.h>

#include "version/config.h"

enum { MAX_STEPS = 8 };

/* One record of a log. base is the version at which its author last saw the item. */
struct entry {
	const char *author;
	uint64_t nonce;
	char op; /* T puts a team, S a service; t and s remove; ! is undecodable; 0 ends the log */
	const char *name;
	uint64_t base;
	uint32_t value; /* weight of the team, count of the service */
	enum status_code code;
	const char *winner;
};

struct log_case {
	const char *what;
	struct entry log[MAX_STEPS];
	uint64_t version;
	const char *present;
	uint32_t value;
	const char *absent;
};

#define TEAM(v)                                                                                    \
	{                                                                                          \
		"ann", 1, 'T', "video", 0, v                                                       \
	}

static const struct log_case log_cases[] = {
	{ "two authors, same service: the first wins and the second is told who",
	  { TEAM(1),
	    { "ann", 2, 'S', "desk", 0, 3 },
	    { "bob", 3, 'S', "desk", 2, 4 },
	    { "eve", 4, 'S', "desk", 2, 5, STATUS_CONFLICT, "bob" } },
	  3,
	  "desk",
	  4 },
	{ "two authors create the same service",
	  { TEAM(1),
	    { "ann", 2, 'S', "desk", 0, 3 },
	    { "bob", 3, 'S', "desk", 0, 4, STATUS_CONFLICT, "ann" } },
	  2,
	  "desk",
	  3 },
	{ "disjoint services: both win",
	  { TEAM(1),
	    { "ann", 2, 'S', "desk", 0, 3 },
	    { "bob", 3, 'S', "lab", 0, 4 },
	    { "ann", 4, 'S', "desk", 2, 5 },
	    { "bob", 5, 'S', "lab", 3, 6 } },
	  5,
	  "lab",
	  6 },
	{ "lost answer, same nonce again: applied once",
	  { TEAM(1), { "ann", 2, 'S', "desk", 0, 3 }, { "ann", 2, 'S', "desk", 0, 3 } },
	  2,
	  "desk",
	  3 },
	{ "the same nonce does not restore what another author removed",
	  { TEAM(1),
	    { "ann", 2, 'S', "desk", 0, 3 },
	    { "bob", 3, 's', "desk", 2, 0 },
	    { "ann", 2, 'S', "desk", 0, 3 } },
	  3,
	  NULL,
	  0,
	  "desk" },
	{ "a change of a removed service loses to the removal",
	  { TEAM(1),
	    { "ann", 2, 'S', "desk", 0, 3 },
	    { "bob", 3, 's', "desk", 2, 0 },
	    { "ann", 4, 'S', "desk", 2, 9, STATUS_CONFLICT, "bob" } },
	  3,
	  NULL,
	  0,
	  "desk" },
	{ "removed and created again",
	  { TEAM(1),
	    { "ann", 2, 'S', "desk", 0, 3 },
	    { "bob", 3, 's', "desk", 2, 0 },
	    { "ann", 4, 'S', "desk", 0, 9 } },
	  4,
	  "desk",
	  9 },
	{ "a rejected record stays rejected, with the same reason",
	  { TEAM(1),
	    { "ann", 2, 'S', "desk", 0, 3 },
	    { "bob", 3, 'S', "desk", 0, 4, STATUS_CONFLICT, "ann" },
	    { "eve", 4, 's', "desk", 2, 0 },
	    { "bob", 3, 'S', "desk", 0, 4, STATUS_CONFLICT, "ann" } },
	  3,
	  NULL,
	  0,
	  "desk" },
	{ "undecodable record is skipped",
	  { TEAM(1), { "", 0, '!', "", 0, 0, STATUS_INVALID }, { "ann", 2, 'S', "desk", 0, 3 } },
	  2,
	  "desk",
	  3 },
	{ "a service without its team",
	  { { "ann", 2, 'S', "desk", 0, 3, STATUS_INVALID } },
	  0,
	  NULL,
	  0,
	  "desk" },
	{ "a team that still owns a service is not removed",
	  { TEAM(1),
	    { "bob", 2, 'S', "desk", 0, 3 },
	    { "ann", 3, 't', "video", 1, 0, STATUS_CONFLICT, "bob" },
	    { "bob", 4, 's', "desk", 2, 0 },
	    { "ann", 5, 't', "video", 1, 0 },
	    { "bob", 6, 'S', "desk", 0, 3, STATUS_CONFLICT, "ann" } },
	  4,
	  NULL,
	  0,
	  "desk" },
	{ "removal of a service that does not exist",
	  { TEAM(1), { "ann", 2, 's', "desk", 0, 0, STATUS_INVALID } },
	  1,
	  NULL,
	  0,
	  "desk" },
};

static uint8_t *encode(const struct entry *e, size_t *size)
{
	struct config_change change = {
		.is_team = e->op == 'T' || e->op == 't',
		.remove = e->op == 't' || e->op == 's',
		.base_version = e->base,
	};

	if (e->op == '!') {
		*size = 3;
		return g_memdup2("\x0a\x7f", 3);
	}
	g_strlcpy(change.team.name, e->name, sizeof(change.team.name));
	g_strlcpy(change.service.name, e->name, sizeof(change.service.name));
	g_strlcpy(change.service.team, "video", sizeof(change.service.team));
	change.team.weight = e->value;
	change.service.count = e->value;
	return config_encode_record(e->author, e->nonce, &change, 1, size);
}

static struct config *apply(struct config *c, uint64_t offset, const struct entry *e,
			    struct status *st)
{
	size_t size;
	g_autofree uint8_t *data = encode(e, &size);
	struct config *next = config_apply(c, offset, data, size, st);

	config_unref(c);
	return next;
}

static void expect_same(struct config *a, struct config *b, const char *what)
{
	size_t na, nb;
	g_autofree uint8_t *da = config_encode_snapshot(a, &na);
	g_autofree uint8_t *db = config_encode_snapshot(b, &nb);

	cr_expect(na == nb && memcmp(da, db, na) == 0, "%s: readers differ", what);
}

/*
 * A reader that receives the last repeat records again before each new one and, with snapshots, is
 * rebuilt from a snapshot after each record.
 */
static struct config *replay(const struct log_case *lc, uint64_t repeat, bool snapshots)
{
	struct config *c = config_empty();

	for (uint64_t i = 0; i < MAX_STEPS && lc->log[i].op; i++) {
		for (uint64_t k = i > repeat ? i - repeat : 0; k <= i; k++)
			c = apply(c, k, &lc->log[k], NULL);
		if (snapshots) {
			size_t size;
			g_autofree uint8_t *data = config_encode_snapshot(c, &size);

			config_unref(c);
			c = config_empty();
			cr_assert_eq(config_next_offset(c), 0);
			struct config *next = config_install(c, data, size, NULL);
			config_unref(c);
			c = next;
		}
	}
	return c;
}

Test(config, log_in_order)
{
	for (size_t i = 0; i < G_N_ELEMENTS(log_cases); i++) {
		const struct log_case *lc = &log_cases[i];
		struct config *c = config_empty();
		uint64_t version = 0;

		for (uint64_t k = 0; k < MAX_STEPS && lc->log[k].op; k++) {
			struct status st = STATUS_INIT;

			c = apply(c, k, &lc->log[k], &st);
			cr_expect_eq(st.code, lc->log[k].code, "%s: record %d: %s %s", lc->what,
				     (int)k, status_name(st.code), st.message);
			cr_expect_str_eq(st.peer, lc->log[k].winner ? lc->log[k].winner : "",
					 "%s: record %d", lc->what, (int)k);
			cr_expect(config_version(c) >= version, "%s", lc->what);
			cr_expect_eq(config_next_offset(c), k + 1, "%s", lc->what);
			version = config_version(c);
		}
		cr_expect_eq(version, lc->version, "%s: version %d", lc->what, (int)version);
		if (lc->present) {
			const struct config_service *s = config_service(c, lc->present);

			cr_assert_not_null(s, "%s", lc->what);
			cr_expect_eq(s->count, lc->value, "%s: count %u", lc->what, s->count);
		}
		if (lc->absent)
			cr_expect_null(config_service(c, lc->absent), "%s", lc->what);
		for (uint64_t repeat = 0; repeat < 4; repeat++) {
			struct config *other = replay(lc, repeat, repeat % 2);

			expect_same(c, other, lc->what);
			config_unref(other);
		}
		config_unref(c);
	}
}

struct snapshot_case {
	const char *what;
	uint64_t applied; /* records that the reader has applied */
	uint64_t covered; /* records that the snapshot covers */
	uint64_t offset;  /* of the snapshot in the log */
	enum status_code code;
	uint64_t next_offset;
	uint64_t version;
};

/* The configuration after n accepted records: a team, then changes of one service. */
static struct config *config_after(uint64_t n)
{
	struct config *c = config_empty();

	for (uint64_t i = 0; i < n; i++) {
		struct entry e = {
			"ann",	       i + 1,	   i == 0 ? 'T' : 'S', i == 0 ? "video" : "desk",
			i < 2 ? 0 : i, (uint32_t)i
		};

		c = apply(c, i, &e, NULL);
	}
	cr_assert_eq(config_version(c), n);
	return c;
}

Test(config, snapshot_in_the_log)
{
	static const struct snapshot_case cases[] = {
		{ "fresh reader, snapshot of all before it", 0, 5, 5, STATUS_OK, 6, 5 },
		{ "fresh reader, records between snapshot and its offset", 0, 5, 7, STATUS_OK, 5,
		  5 },
		{ "reader that is as new skips it", 5, 5, 5, STATUS_OK, 6, 5 },
		{ "older snapshot does not move a reader back", 5, 3, 5, STATUS_OK, 6, 5 },
		{ "older snapshot behind a gap", 5, 3, 7, STATUS_LOST, 5, 5 },
		{ "repeated", 5, 5, 4, STATUS_OK, 5, 5 },
		{ "covers records beyond its own offset", 0, 5, 0, STATUS_INVALID, 1, 0 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		const struct snapshot_case *sc = &cases[i];
		struct config *c = config_after(sc->applied), *from = config_after(sc->covered),
			      *next;
		struct status st = STATUS_INIT;
		size_t size;
		g_autofree uint8_t *data = config_encode_snapshot(from, &size);

		next = config_apply(c, sc->offset, data, size, &st);
		cr_expect_eq(st.code, sc->code, "%s: %s", sc->what, st.message);
		cr_expect_eq(config_next_offset(next), sc->next_offset, "%s: next %d", sc->what,
			     (int)config_next_offset(next));
		cr_expect_eq(config_version(next), sc->version, "%s", sc->what);
		config_unref(next);
		next = config_install(c, data, size, NULL);
		cr_expect_eq(config_version(next), MAX(sc->applied, sc->covered), "%s: install",
			     sc->what);
		config_unref(next);
		config_unref(c);
		config_unref(from);
	}
}

Test(config, gap_is_reported_as_lost)
{
	struct config *c = config_after(2);
	struct entry e = { "ann", 9, 'S', "desk", 2, 7 };
	struct status st = STATUS_INIT;

	c = apply(c, 3, &e, &st);
	cr_expect_eq(st.code, STATUS_LOST);
	cr_expect_eq(config_next_offset(c), 2);
	cr_expect_eq(config_version(c), 2);
	config_unref(c);
}

enum { TEAMS = 690, SERVICES = 700 };

static struct config *large_config(void)
{
	g_autofree struct config_change *changes = g_new0(struct config_change, TEAMS + SERVICES);
	struct config *empty = config_empty(), *c;
	struct status st = STATUS_INIT;
	size_t size;

	for (int i = 0; i < TEAMS; i++) {
		struct config_team *team = &changes[i].team;

		changes[i].is_team = true;
		g_snprintf(team->name, sizeof(team->name), "club-%03d", i * 37 % TEAMS);
		g_strlcpy(team->home_dc, "central-a", sizeof(team->home_dc));
		team->weight = 10;
	}
	for (int i = 0; i < SERVICES; i++) {
		struct config_service *s = &changes[TEAMS + i].service;

		g_snprintf(s->name, sizeof(s->name), "tagging-%03d", i * 37 % SERVICES);
		g_snprintf(s->team, sizeof(s->team), "club-%03d", i % TEAMS);
		s->class = WORK_REQUEST;
		s->size = (struct res){ .cpu_milli = 4000, .mem_bytes = 8ULL << 30 };
		s->run_ms = 900;
		s->deadline_ms = 5000;
		s->answer_max_bytes = 1U << 20;
	}
	g_autofree uint8_t *data = config_encode_record("ann", 1, changes, TEAMS + SERVICES, &size);
	c = config_apply(empty, 0, data, size, &st);
	config_unref(empty);
	cr_assert_eq(st.code, STATUS_OK, "%s", st.message);
	return c;
}

Test(config, size_of_a_delta)
{
	struct config *c = large_config(), *next;
	struct config_change change = { .base_version = 1 };
	size_t delta, whole;
	g_autofree uint8_t *all = config_encode_snapshot(c, &whole);

	change.service = *config_service(c, "tagging-350");
	change.service.run_ms = 950;
	g_autofree uint8_t *data = config_encode_record("bob", 2, &change, 1, &delta);
	next = config_apply(c, 1, data, delta, NULL);
	cr_expect_eq(config_version(next), 2);
	cr_log_info("one-service delta %zu bytes, whole %zu bytes", delta, whole);
	cr_expect_leq(delta, 100);
	cr_expect_leq(delta * 500, whole);

	/* Both versions share everything but the changed service. */
	uint32_t copied = 0;
	for (size_t i = 0; i < SERVICES; i++)
		copied += config_service_at(c, i) != config_service_at(next, i);
	cr_expect_eq(copied, 1);
	cr_expect_eq(config_team_at(c, 0), config_team_at(next, 0));
	config_unref(c);

	for (uint64_t i = 2; i < 602; i++) {
		struct entry e = { "bob", i + 1, 'T', "club-000", i == 2 ? 1 : i, (uint32_t)i };

		next = apply(next, i, &e, NULL);
	}
	cr_expect_eq(config_version(next), 602);
	g_autofree uint8_t *full = config_encode_snapshot(next, &whole);
	cr_log_info("whole after 601 changes %zu bytes", whole);
	cr_expect_leq(whole, 80000);
	config_unref(next);
}

Test(config, order_and_index)
{
	struct config *c = large_config();

	for (uint32_t i = 0; i < SERVICES; i++) {
		const struct config_service *s = config_service_at(c, i);

		cr_expect_eq(config_service_index(c, s->name), i);
		cr_expect_eq(config_service(c, s->name), s);
		cr_expect(i == 0 || strcmp(config_service_at(c, i - 1)->name, s->name) < 0);
	}
	cr_expect_null(config_service_at(c, SERVICES));
	cr_expect_null(config_team(c, "tagging-000"));
	cr_expect_eq(config_team_index(c, "nobody"), UINT32_MAX);
	config_unref(c);
}

Test(config, nonces_are_remembered)
{
	struct config *c = config_after(1);
	uint64_t version = 0;

	for (uint32_t i = 0; i < 1500; i++) {
		struct entry e = { "ann", 100 + i, 'S', "desk", version, i };

		c = apply(c, i + 1, &e, NULL);
		version = config_service(c, "desk")->version;
	}
	cr_expect_eq(config_nonce_version(c, 100 + 1499), 1501);
	cr_expect_eq(config_nonce_version(c, 100 + 1499 - 511), 1501 - 511);
	cr_expect_eq(config_nonce_version(c, 100 + 1499 - 512), 0);
	cr_expect_eq(config_nonce_version(c, 0), 0);
	config_unref(c);
}

Test(config, branches_share_no_nonces)
{
	static const struct entry left = { "ann", 50, 'S', "left", 0, 1 };
	static const struct entry right = { "bob", 51, 'S', "right", 0, 1 };
	struct config *c = config_after(3);
	struct config *a = apply(config_ref(c), 3, &left, NULL);
	struct config *b = apply(config_ref(c), 3, &right, NULL);

	cr_expect_eq(config_nonce_version(a, 50), 4);
	cr_expect_eq(config_nonce_version(a, 51), 0);
	cr_expect_eq(config_nonce_version(b, 51), 4);
	cr_expect_eq(config_nonce_version(b, 50), 0);
	cr_expect_eq(config_nonce_version(c, 50), 0);
	cr_expect_null(config_service(c, "left"));
	config_unref(a);
	config_unref(b);
	config_unref(c);
}

/* Damaged records are skipped or decoded. */
Test(config, damaged_records_never_move_a_reader_back)
{
	g_autoptr(GRand) rand = g_rand_new_with_seed(5);
	struct entry e = { "ann", 60, 'S', "desk", 3, 9 };
	struct config *c = config_after(3);
	size_t sizes[2];
	g_autofree uint8_t *record = encode(&e, &sizes[0]);
	g_autofree uint8_t *snapshot = config_encode_snapshot(c, &sizes[1]);

	for (int i = 0; i < 4000; i++) {
		size_t size = sizes[i % 2];
		g_autofree uint8_t *data = g_memdup2(i % 2 ? snapshot : record, size);
		struct config *next, *installed;

		data[g_rand_int_range(rand, 0, (int)size)] ^= 1 << g_rand_int_range(rand, 0, 8);
		size -= (size_t)g_rand_int_range(rand, 0, 3);
		next = config_apply(c, 3, data, size, NULL);
		cr_expect_eq(config_next_offset(next), 4);
		cr_expect(config_version(next) == 3 || config_version(next) == 4);
		installed = config_install(c, data, size, NULL);
		cr_expect(config_version(installed) >= 3);
		config_unref(installed);
		config_unref(next);
	}
	config_unref(c);
}
