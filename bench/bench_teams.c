/*
 * The teams of the operator's configuration on the users' platform: bytes of the record, memory,
 * and processor time of reading it and of finding the team of a key.
 */
#include <glib.h>

#include "bench.h"
#include "decode.h"
#include "jsonread.h"
#include "teamsrecord.h"

#define KEYS_PER_TEAM 2
#define PER	      "keys, two for each team"
#define LOOKUPS	      1000
#define COPIES	      16

static const uint32_t key_sizes[] = { 20, 40, 100, 1000, 10000 };

/* A record, and the configuration that it holds. */
struct subject {
	uint32_t keys;
	char *record;
	gsize size;
	struct queues *queues;
	GPtrArray *key; /* of LOOKUPS strings, spread over all keys */
};

static void read_record(void *ctx)
{
	struct subject *s = ctx;
	const char *error;

	queues_destroy(s->queues);
	s->queues = decode_queues(s->record, s->size, &error);
	if (!s->queues)
		g_error("record refused: %s", error);
}

static void look_up(void *ctx)
{
	const struct subject *s = ctx;
	const struct teams *teams = queues_teams(s->queues);

	for (guint i = 0; i < s->key->len; i++)
		if (!teams_by_key(teams, s->key->pdata[i]))
			g_error("key %u has no team", i);
}

static void print_bytes(const char *name, uint32_t keys, double bytes)
{
	bench_print_point(name, "bytes", PER, keys, bytes);
}

/* Several copies: what malloc() keeps of freed blocks would distort the sum of a small one. */
static void measure_memory(const struct subject *s)
{
	struct queues *copy[COPIES];
	JsonNode *tree[COPIES];
	const char *error;
	uint64_t before = bench_heap_bytes();

	for (int i = 0; i < COPIES; i++)
		tree[i] = jsonread_parse(s->record, s->size);
	print_bytes("teams_parse_memory", s->keys, (double)(bench_heap_bytes() - before) / COPIES);
	for (int i = 0; i < COPIES; i++)
		json_node_unref(tree[i]);
	before = bench_heap_bytes();
	for (int i = 0; i < COPIES; i++)
		copy[i] = decode_queues(s->record, s->size, &error);
	print_bytes("teams_memory", s->keys, (double)(bench_heap_bytes() - before) / COPIES);
	for (int i = 0; i < COPIES; i++)
		queues_destroy(copy[i]);
}

static void measure(uint32_t keys)
{
	struct subject s = { .keys = keys, .key = g_ptr_array_new_with_free_func(g_free) };

	s.record = teams_record_create(s.keys, KEYS_PER_TEAM, &s.size);
	for (uint32_t i = 0; i < LOOKUPS; i++)
		g_ptr_array_add(s.key, teams_record_key(i * 7919 % keys));
	if (!bench_under_callgrind()) {
		print_bytes("teams_record_bytes", keys, (double)s.size);
		measure_memory(&s);
	}
	read_record(&s);
	bench_measure("teams_lookup_1000", PER, keys, look_up, &s);
	bench_measure("teams_decode", PER, keys, read_record, &s);
	queues_destroy(s.queues);
	g_ptr_array_unref(s.key);
	g_free(s.record);
}

int main(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(key_sizes); i++)
		measure(key_sizes[i]);
	return 0;
}
