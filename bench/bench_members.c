/* Memory and processor time of membership, by daemons, and of a voter, by keys. */
#include <glib.h>

#include "bench.h"
#include "process/members.h"
#include "process/voter.h"

#define RACKS	   124 /* of one data centre */
#define TICKS	   100
#define VOTER_ASKS 1000
#define WALL_MS	   1767225600000

static const uint32_t daemon_sizes[] = { 20, 40, 80, 160 };
static const uint32_t key_sizes[] = { 2000, 4000, 8000, 16000 };

static struct members *make_members(uint32_t daemons)
{
	struct members_conf conf = { .self = "daemon-000",
				     .dc = "dc-0",
				     .region = "region-0",
				     .beat_ms = 500,
				     .far_beat_ms = 1000,
				     .suspect_ms = 1500,
				     .dead_ms = 3000 };
	struct members *m = members_create(&conf);
	g_autofree struct member_info *info = g_new0(struct member_info, daemons);

	for (uint32_t i = 0; i < daemons; i++) {
		g_snprintf(info[i].name, sizeof(info[i].name), "daemon-%03u", i);
		g_snprintf(info[i].dc, sizeof(info[i].dc), "dc-%u", i % 6);
		g_snprintf(info[i].region, sizeof(info[i].region), "region-%u", i % 3);
		g_strlcpy(info[i].host, "127.0.0.1", sizeof(info[i].host));
		info[i].port = 8081;
	}
	members_set_list(m, info, daemons, 0);
	for (uint32_t i = 0; i < daemons; i++)
		members_heartbeat(m, info[i].name, 1, false, 0);
	members_tick(m, 1);
	return m;
}

/* Finds the owner of each rack of the data centre, as after each change of membership. */
static void find_rack_owners(void *ctx)
{
	for (uint32_t i = 0; i < RACKS; i++) {
		g_autofree char *rack = g_strdup_printf("dc-0-%03u", i);

		if (!members_owner(ctx, "dc-0", rack))
			g_error("rack without an owner");
	}
}

static void tick_rounds(void *ctx)
{
	for (int i = 0; i < TICKS; i++)
		members_tick(ctx, 2 + i);
}

static void measure_members(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(daemon_sizes); i++) {
		uint64_t before = bench_heap_bytes();
		struct members *m = make_members(daemon_sizes[i]);

		if (!bench_under_callgrind())
			bench_print_point("members_memory", "bytes", "daemons", daemon_sizes[i],
					  (double)(bench_heap_bytes() - before));
		bench_measure("members_owner_124", "daemons", daemon_sizes[i], find_rack_owners, m);
		bench_measure("members_tick_100", "daemons", daemon_sizes[i], tick_rounds, m);
		members_destroy(m);
	}
}

struct voter_load {
	struct voter *voter;
	uint32_t next;
	uint32_t rounds;
};

static void ask_voter(void *ctx)
{
	struct voter_load *load = ctx;

	for (uint32_t i = 0; i < load->rounds; i++) {
		uint32_t n = load->next++;
		uint8_t random[10] = { [7] = (uint8_t)(n >> 16), (uint8_t)(n >> 8), (uint8_t)n };
		enum outcome out;
		char key[37];

		uuid7_make(WALL_MS, random, key);
		if (voter_ask(load->voter, "team-0123", key, "north-a-1", n, WALL_MS, &out) !=
		    VOTE_KEY_GRANTED)
			g_error("key not granted");
	}
}

static void measure_voter(void)
{
	struct voter_conf conf = { .start_wall_ms = WALL_MS - 3600000,
				   .guard_ms = 30000,
				   .skew_ms = 5000,
				   .keep_ms = 600000,
				   .keys_max = 200000 };

	for (size_t i = 0; i < G_N_ELEMENTS(key_sizes); i++) {
		uint64_t before = bench_heap_bytes();
		struct voter_load load = { .voter = voter_create(&conf), .rounds = key_sizes[i] };

		ask_voter(&load);
		if (!bench_under_callgrind())
			bench_print_point("voter_memory", "bytes", "keys", key_sizes[i],
					  (double)(bench_heap_bytes() - before));
		load.rounds = VOTER_ASKS;
		bench_measure("voter_ask_1000", "keys", key_sizes[i], ask_voter, &load);
		voter_destroy(load.voter);
	}
}

int main(void)
{
	measure_members();
	measure_voter();
	return 0;
}
