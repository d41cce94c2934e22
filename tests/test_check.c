#include <string.h>
#include <unistd.h>

#include <criterion/criterion.h>
#include <glib.h>
#include <glib/gstdio.h>

#include "diff.h"
#include "tree.h"
#include "version/config_json.h"

#define TEAM "team: clips\nhome_dc: central-a\n"
#define DESK                                                                                       \
	"service: desk\nteam: clips\nclass: request\nidempotent: true\n"                           \
	"cpu_milli: 4000\nmem_mb: 8192\nrun_ms: 900\n"
#define VMS                                                                                        \
	"{\"vms\":["                                                                               \
	"{\"kind\":\"worker\",\"dc\":\"central-a\",\"cpu_milli\":32000,\"mem_bytes\":"             \
	"137438953472,"                                                                            \
	"\"accel\":0},"                                                                            \
	"{\"kind\":\"worker\",\"dc\":\"central-a\",\"cpu_milli\":8000,\"mem_bytes\":8589934592,"   \
	"\"accel\":8},"                                                                            \
	"{\"kind\":\"worker\",\"dc\":\"central-a\",\"cpu_milli\":64000,\"mem_bytes\":8589934592,"  \
	"\"accel\":8,\"leaving\":true}]}"

struct file {
	const char *path;
	const char *text;
};

struct check_case {
	const char *what;
	struct file files[4];
	const char *diagnostics; /* the whole output */
};

static const struct check_case check_cases[] = {
	{ "valid files", { { "t/a.team.yaml", TEAM }, { "t/knapweedwheel.yaml", DESK } }, "" },
	{ "a directory without files",
	  { { "t/notes.txt", "-" } },
	  "t:1:1: no service or team file below it\n" },
	{ "unknown keys: misspelt, without the unit, and unlike any known key",
	  { { "t/a.team.yaml", TEAM },
	    { "t/b.service.yaml", DESK "deadlin_ms: 5\nanswer_max: 5\ncolour: red\n" } },
	  "t/b.service.yaml:8:1: unknown key \"deadlin_ms\"; did you mean \"deadline_ms\"?\n"
	  "t/b.service.yaml:9:1: unknown key \"answer_max\"; did you mean \"answer_max_bytes\"?\n"
	  "t/b.service.yaml:10:1: unknown key \"colour\"\n" },
	{ "all errors of all files in one run",
	  { { "t/a.team.yaml", "team: clips\nhomedc: central-a\nweight: -1\n" },
	    { "t/b.service.yaml", "service: desk\nteam: clip\nclass: reqest\nidempotent: maybe\n"
				  "cpu_milli: 4.5\nrun_ms:\n  - 5\naccel: 65\nteam: clips\n" } },
	  "t/a.team.yaml:1:1: missing key \"home_dc\"\n"
	  "t/a.team.yaml:2:1: unknown key \"homedc\"; did you mean \"home_dc\"?\n"
	  "t/a.team.yaml:3:9: weight: \"-1\" is not a whole number\n"
	  "t/b.service.yaml:1:1: missing key \"mem_mb\" or \"mem_bytes\"\n"
	  "t/b.service.yaml:2:7: team: no team \"clip\"; did you mean \"clips\"?\n"
	  "t/b.service.yaml:3:8: class: unknown value \"reqest\"; did you mean \"request\"?\n"
	  "t/b.service.yaml:4:13: idempotent: \"maybe\" is neither true nor false\n"
	  "t/b.service.yaml:5:12: cpu_milli: \"4.5\" is not a whole number\n"
	  "t/b.service.yaml:7:3: run_ms: must be a single value\n"
	  "t/b.service.yaml:8:8: accel: 65 is not between 0 and 64\n"
	  "t/b.service.yaml:9:1: key \"team\" is given twice, first on line 2\n" },
	{ "missing keys",
	  { { "t/b.service.yaml", "service: desk\n" } },
	  "t/b.service.yaml:1:1: missing key \"class\"\n"
	  "t/b.service.yaml:1:1: missing key \"cpu_milli\"\n"
	  "t/b.service.yaml:1:1: missing key \"idempotent\"\n"
	  "t/b.service.yaml:1:1: missing key \"mem_mb\" or \"mem_bytes\"\n"
	  "t/b.service.yaml:1:1: missing key \"team\"\n" },
	{ "names",
	  { { "t/a.team.yaml", "team: Clips\nhome_dc: \"\"\n" },
	    { "t/c.team.yaml", "team: clips\nhome_dc: a-data-centre-with-a-name-that-is-long\n" } },
	  "t/a.team.yaml:1:7: team: \"Clips\" is not a name of a-z, 0-9 and hyphens after a "
	  "letter\n"
	  "t/a.team.yaml:2:10: home_dc: the name is empty\n"
	  "t/c.team.yaml:2:10: home_dc: the name is longer than 31 bytes\n" },
	{ "the same service and the same team twice",
	  { { "t/a.team.yaml", TEAM },
	    { "t/b/knapweedwheel.yaml", DESK },
	    { "t/c/knapweedwheel.yaml", DESK },
	    { "t/d.team.yaml", TEAM } },
	  "t/c/knapweedwheel.yaml:1:10: service: \"desk\" is already described at "
	  "t/b/knapweedwheel.yaml:1:10\n"
	  "t/d.team.yaml:1:7: team: \"clips\" is already described at t/a.team.yaml:1:7\n" },
	{ "keys that the class does not allow, and keys that it requires",
	  { { "t/a.team.yaml", TEAM },
	    { "t/b.service.yaml", DESK "count: 3\npreemptible: true\nmem_bytes: 5\n" },
	    { "t/c.service.yaml", "service: watch\nteam: clips\nclass: service\nidempotent: true\n"
				  "cpu_milli: 10\nmem_mb: 10\ndeadline_ms: 10\n" } },
	  "t/b.service.yaml:8:8: count: has no meaning in class request\n"
	  "t/b.service.yaml:9:14: preemptible: has no meaning in class request\n"
	  "t/b.service.yaml:10:12: mem_bytes: \"mem_mb\" is also given; give only one of them\n"
	  "t/c.service.yaml:1:1: missing key \"count\", which class service needs\n"
	  "t/c.service.yaml:7:14: deadline_ms: has no meaning in class service\n" },
	{ "run_ms longer than deadline_ms, given and by default",
	  { { "t/a.team.yaml", TEAM },
	    { "t/b.service.yaml", DESK "deadline_ms: 800\n" },
	    { "t/c.service.yaml", "service: slow\nteam: clips\nclass: urgent\nidempotent: true\n"
				  "cpu_milli: 10\nmem_mb: 10\nrun_ms: 10001\n" } },
	  "t/b.service.yaml:8:14: run_ms 900 is longer than deadline_ms 800\n"
	  "t/c.service.yaml:7:9: run_ms 10001 is longer than deadline_ms 10000\n" },
	{ "larger than any worker that is not leaving",
	  { { "vms.json", VMS },
	    { "t/a.team.yaml", "team: clips\nhome_dc: centrol-a\n" },
	    { "t/b.service.yaml", "service: big\nteam: clips\nclass: batch\nidempotent: true\n"
				  "cpu_milli: 64000\nmem_mb: 131073\naccel: 9\nrun_ms: 5\n" },
	    { "t/c.service.yaml", "service: both\nteam: clips\nclass: batch\nidempotent: true\n"
				  "cpu_milli: 32000\nmem_mb: 1024\naccel: 8\nrun_ms: 5\n" } },
	  "t/a.team.yaml:2:10: home_dc: no data centre \"centrol-a\"; did you mean "
	  "\"central-a\"?\n"
	  "t/b.service.yaml:5:12: cpu_milli: 64000 fits no worker; the largest has 32000\n"
	  "t/b.service.yaml:6:9: mem_mb: 131073 fits no worker; the largest has 131072\n"
	  "t/b.service.yaml:7:8: accel: 9 fits no worker; the largest has 8\n"
	  "t/c.service.yaml:1:10: service: no single worker has its cpu_milli, memory and accel "
	  "together\n" },
	{ "a task larger than the quota of its team",
	  { { "t/a.team.yaml", TEAM "quota_cpu_milli: 3999\nquota_mem_mb: 8192\n" },
	    { "t/b.service.yaml", DESK } },
	  "t/b.service.yaml:5:12: cpu_milli: 4000 for one task is over the quota 3999 of team "
	  "clips\n" },
	{ "not a mapping, two documents, and a syntax error",
	  { { "t/a.team.yaml", "- team\n" },
	    { "t/b.team.yaml", TEAM "---\nteam: more\n" },
	    { "t/c.team.yaml", "team: [a\nhome_dc: b\n" },
	    { "t/d.team.yaml", "" } },
	  "t/a.team.yaml:1:1: a team file must be a mapping of keys to values\n"
	  "t/b.team.yaml:4:1: a team file must have a single document\n"
	  "t/c.team.yaml:2:8: did not find expected ',' or ']' while parsing a flow sequence\n"
	  "t/d.team.yaml:1:1: a team file must be a mapping of keys to values\n" },
};

static void remove_tree(const char *path)
{
	GDir *dir = g_dir_open(path, 0, NULL);
	const char *name;

	while (dir && (name = g_dir_read_name(dir))) {
		g_autofree char *child = g_build_filename(path, name, NULL);

		remove_tree(child);
	}
	if (dir)
		g_dir_close(dir);
	g_remove(path);
}

static struct tree *load_tree(const struct file *files, size_t n, struct diagnostics *diags,
			      const struct active_config *active)
{
	g_autofree char *dir = g_dir_make_tmp("check-XXXXXX", NULL);
	struct tree *t = tree_create();
	struct vm_list *vm_list = NULL;

	cr_assert_eq(chdir(dir), 0);
	for (size_t i = 0; i < n && files[i].path; i++) {
		g_autofree char *parent = g_path_get_dirname(files[i].path);

		g_mkdir_with_parents(parent, 0700);
		cr_assert(g_file_set_contents(files[i].path, files[i].text, -1, NULL));
	}
	if (files[0].path && strcmp(files[0].path, "vms.json") == 0)
		vm_list = vm_list_load("vms.json", NULL);
	tree_add(t, "t", diags);
	tree_check(t, active, vm_list, diags);
	vm_list_destroy(vm_list);
	remove_tree(dir);
	return t;
}

Test(check, diagnostics)
{
	for (size_t i = 0; i < G_N_ELEMENTS(check_cases); i++) {
		const struct check_case *cc = &check_cases[i];
		struct active_config *active = active_config_empty();
		struct diagnostics *diags = diagnostics_create();
		struct tree *t = load_tree(cc->files, G_N_ELEMENTS(cc->files), diags, active);
		char *text = NULL;
		size_t size;
		FILE *out = open_memstream(&text, &size);

		diagnostics_print(diags, out);
		fclose(out);
		cr_expect_str_eq(text, cc->diagnostics, "%s:\n%s", cc->what, text);
		free(text);
		tree_destroy(t);
		diagnostics_destroy(diags);
		active_config_destroy(active);
	}
}

struct diff_case {
	const char *what;
	struct file files[3];
	bool prune;
	const char *text;
	size_t changes;
};

/* Team clips (version 1), services desk (version 2) and lab (version 3). */
static struct active_config *make_active_config(void)
{
	struct config_change changes[] = {
		{ .is_team = true,
		  .team = { .name = "clips", .home_dc = "central-a", .weight = 10 } },
		{ .service = { .name = "desk",
			       .team = "clips",
			       .class = WORK_REQUEST,
			       .size = { .cpu_milli = 4000, .mem_bytes = 8ULL << 30 },
			       .run_ms = 900,
			       .deadline_ms = 10000,
			       .answer_max_bytes = 64 << 20 } },
		{ .service = { .name = "lab", .team = "clips", .class = WORK_BATCH } },
	};
	static const char *const authors[] = { "ann", "bob", "eve" };
	struct config *c = config_empty();
	g_autoptr(JsonBuilder) b = json_builder_new();

	for (size_t i = 0; i < G_N_ELEMENTS(changes); i++) {
		size_t size;
		g_autofree uint8_t *data =
			config_encode_record(authors[i], i + 1, &changes[i], 1, &size);
		struct config *next = config_apply(c, i, data, size, NULL);

		config_unref(c);
		c = next;
	}
	json_builder_begin_object(b);
	config_json_add(b, c);
	json_builder_end_object(b);
	config_unref(c);
	g_autoptr(JsonNode) root = json_builder_get_root(b);
	return active_config_parse(root, NULL);
}

static const struct diff_case diff_cases[] = {
	{ "nothing changes",
	  { { "t/a.team.yaml", TEAM }, { "t/b.service.yaml", DESK } },
	  false,
	  "",
	  0 },
	{ "a changed key, with the version and author that it replaces",
	  { { "t/b.service.yaml", DESK "answer_max_bytes: 1024\n" } },
	  false,
	  "~ service desk (version 2 by bob)\n"
	  "    answer_max_bytes: 67108864 -> 1024\n",
	  1 },
	{ "a new team",
	  { { "t/a.team.yaml", "team: tags\nhome_dc: north-a\nquota_mem_mb: 1\n" } },
	  false,
	  "+ team tags\n    home_dc: north-a\n    weight: 10\n    quota_cpu_milli: 0\n"
	  "    quota_mem_bytes: 1048576\n    quota_accel: 0\n",
	  1 },
	{ "a service missing from the tree is removed only with prune",
	  { { "t/a.team.yaml", TEAM }, { "t/b.service.yaml", DESK } },
	  true,
	  "- service lab (version 3 by eve)\n",
	  1 },
};

Test(check, diff_with_the_configuration_in_force)
{
	for (size_t i = 0; i < G_N_ELEMENTS(diff_cases); i++) {
		const struct diff_case *dc = &diff_cases[i];
		struct active_config *active = make_active_config();
		struct diagnostics *diags = diagnostics_create();
		struct tree *t = load_tree(dc->files, G_N_ELEMENTS(dc->files), diags, active);
		struct diff *d = diff_create(t, active, dc->prune);
		char *text = NULL;
		size_t size, n;
		FILE *out = open_memstream(&text, &size);

		diagnostics_print(diags, out);
		diff_print(d, out);
		fclose(out);
		diff_changes(d, &n);
		cr_expect_eq(n, dc->changes, "%s: %zu changes", dc->what, n);
		cr_expect_str_eq(text, dc->text, "%s:\n%s", dc->what, text);
		free(text);
		diff_destroy(d);
		tree_destroy(t);
		diagnostics_destroy(diags);
		active_config_destroy(active);
	}
}
