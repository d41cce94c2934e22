#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <argtable2.h>

#include "standin.h"

#define GB		1000000000LL
#define DCS		3
#define ENTRIES_DEFAULT 2
#define ENTRIES_MAX	3
#define LINK_PORT	8081
#define WORKERS_PORT	9100
#define WORKERS_HOST	100 /* last byte of the workers' address in each data centre */

/* The runners of one service, each on a worker of this size. */
struct runner_pool {
	const char *service;
	const char *rack; /* middle part of the racks' names */
	int runners;	  /* in all data centres together */
	int rack_size;
	int64_t cpu_milli;
	int64_t mem_bytes;
	int64_t accel;
};

struct cell {
	const char *name;
	struct {
		const char *dc;
		const char *region;
	} dcs[DCS];
	struct runner_pool pools[2];
};

static const struct cell cells[] = {
	{
		.name = "shuangxi",
		.dcs = { { "north-a", "north" },
			 { "central-a", "central" },
			 { "south-a", "south" } },
		.pools = { { "coach-desk", "coach", 35, 5, 32000, 128 * GB, 0 },
			   { "vision-lab", "vision", 13, 3, 128000, 512 * GB, 8 } },
	},
	{
		.name = "rodowod",
		.dcs = { { "mazowsze-a", "mazowsze" },
			 { "malopolska-a", "malopolska" },
			 { "pomorze-a", "pomorze" } },
		.pools = { { "history-desk", "history", 35, 5, 64000, 256 * GB, 0 },
			   { "photo-lab", "photo", 13, 3, 64000, 128 * GB, 8 } },
	},
};

static void begin_vm(JsonBuilder *b, const struct cell *cell, int dc, const char *kind,
		     const char *name)
{
	json_builder_begin_object(b);
	standin_set_str(b, "name", name);
	standin_set_str(b, "kind", kind);
	standin_set_str(b, "dc", cell->dcs[dc].dc);
	standin_set_str(b, "region", cell->dcs[dc].region);
	standin_set_bool(b, "leaving", false);
}

static void add_entry(JsonBuilder *b, const struct cell *cell, int dc, int number)
{
	g_autofree char *name = g_strdup_printf("%s-%d", cell->dcs[dc].dc, number);
	g_autofree char *host = g_strdup_printf("127.0.%d.%d", dc + 1, number);

	begin_vm(b, cell, dc, "entry", name);
	standin_set_str(b, "rack", "");
	standin_set_str(b, "host", host);
	standin_set_int(b, "port", LINK_PORT);
	standin_set_str(b, "path", "");
	json_builder_end_object(b);
}

static void add_worker(JsonBuilder *b, const struct cell *cell, int dc,
		       const struct runner_pool *pool, int number)
{
	g_autofree char *rack = g_strdup_printf("%s-%s-%d", cell->dcs[dc].dc, pool->rack,
						number / pool->rack_size + 1);
	g_autofree char *name = g_strdup_printf("%s-%d", rack, number % pool->rack_size + 1);
	g_autofree char *host = g_strdup_printf("127.0.%d.%d", dc + 1, WORKERS_HOST);
	g_autofree char *path = g_strdup_printf("/w/%s", name);

	begin_vm(b, cell, dc, "worker", name);
	standin_set_str(b, "rack", rack);
	standin_set_str(b, "host", host);
	standin_set_int(b, "port", WORKERS_PORT);
	standin_set_str(b, "path", path);
	standin_set_int(b, "cpu_milli", pool->cpu_milli);
	standin_set_int(b, "mem_bytes", pool->mem_bytes);
	standin_set_int(b, "accel", pool->accel);
	standin_set_str(b, "service", pool->service);
	standin_set_int(b, "slots", 8);
	standin_set_int(b, "connections", 64);
	json_builder_end_object(b);
}

/* Number of runners in a data centre. The first ones get the remainder. */
static int runners_in_dc(int runners, int dc)
{
	return runners / DCS + (dc < runners % DCS ? 1 : 0);
}

static char *generate(const struct cell *cell, int entries)
{
	g_autoptr(JsonBuilder) b = json_builder_new();
	g_autoptr(JsonNode) root = NULL;

	json_builder_begin_object(b);
	json_builder_set_member_name(b, "vms");
	json_builder_begin_array(b);
	for (int dc = 0; dc < DCS; dc++) {
		for (int i = 1; i <= entries; i++)
			add_entry(b, cell, dc, i);
		for (size_t p = 0; p < G_N_ELEMENTS(cell->pools); p++) {
			for (int i = 0; i < runners_in_dc(cell->pools[p].runners, dc); i++)
				add_worker(b, cell, dc, &cell->pools[p], i);
		}
	}
	json_builder_end_array(b);
	json_builder_end_object(b);
	root = json_builder_get_root(b);
	return json_to_string(root, TRUE);
}

static int write_list(const char *name, int entries, const char *path)
{
	for (size_t i = 0; i < G_N_ELEMENTS(cells); i++) {
		g_autoptr(GError) error = NULL;
		g_autofree char *text = NULL;

		if (strcmp(cells[i].name, name) != 0)
			continue;
		text = generate(&cells[i], entries);
		if (g_file_set_contents(path, text, -1, &error))
			return EXIT_SUCCESS;
		g_printerr("%s\n", error->message);
		return EXIT_FAILURE;
	}
	g_printerr("no such cell: %s\n", name);
	return EXIT_FAILURE;
}

int main(int argc, char **argv)
{
	struct arg_str *cell = arg_str1(NULL, "cell", "NAME", "shuangxi or rodowod");
	struct arg_int *entries = arg_int0(NULL, "entries", "N", "daemons in each data centre");
	struct arg_str *out = arg_str1(NULL, "out", "FILE", "VM list to write");
	struct arg_end *end = arg_end(4);
	void *table[] = { cell, entries, out, end };
	int ret = EXIT_FAILURE;
	int count;

	if (arg_parse(argc, argv, table) == 0) {
		count = entries->count ? entries->ival[0] : ENTRIES_DEFAULT;
		ret = write_list(cell->sval[0], CLAMP(count, 1, ENTRIES_MAX), out->sval[0]);
	} else {
		arg_print_errors(stderr, end, argv[0]);
	}
	arg_freetable(table, G_N_ELEMENTS(table));
	return ret;
}
