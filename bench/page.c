#include <math.h>
#include <stddef.h>
#include <string.h>

#include <glib.h>

#include "model.h"
#include "page.h"
#include "settings.h"

#define TABLE_START    "<!-- table "
#define TABLE_NAME_END " -->"
#define TABLE_END      "<!-- end -->"
#define DAEMONS_MAX    4000

struct table {
	const char *name;
	void (*write)(const struct slopes *slopes, GString *out);
};

/* at_least marks a sum that lacks values that were not measured. */
static void append_sum_cell(GString *out, double v, bool at_least)
{
	if (isnan(v))
		g_string_append(out, " not measured |");
	else if (v == 0)
		g_string_append(out, at_least ? " not measured |" : " 0 |");
	else
		g_string_append_printf(out, " %s%.*f |", at_least ? "≥ " : "",
				       fabs(v) >= 100 ? 0 : (fabs(v) >= 1 ? 1 : 3), v);
}

static void append_cell(GString *out, double v)
{
	append_sum_cell(out, v, false);
}

static void append_sum_cells(GString *out, const struct sum *s)
{
	append_sum_cell(out, s->bytes_per_s, s->unmeasured > 0);
	append_sum_cell(out, s->core_milli, s->unmeasured > 0);
}

static void append_source_cell(GString *out, const char *path)
{
	const char *base = strrchr(path, '/') + 1;

	g_string_append_printf(out, " [%s](../%s) |\n", base, path);
}

static bool is_first_point_of_name(const struct slopes *s, size_t i)
{
	for (size_t k = 0; k < i; k++)
		if (strcmp(slopes_at(s, k)->name, slopes_at(s, i)->name) == 0)
			return false;
	return true;
}

static void write_slopes(const struct slopes *s, GString *out)
{
	g_string_append(out, "| name | unit | by number of | sizes | at none | each | error ‰ |\n"
			     "|---|---|---|---:|---:|---:|---:|\n");
	for (size_t i = 0; i < slopes_count(s); i++) {
		const struct point *p = slopes_at(s, i);
		struct line line;

		if (!is_first_point_of_name(s, i) || !slopes_line(s, p->name, &line))
			continue;
		g_string_append_printf(out, "| %s | %s | %s | %u |", p->name, p->unit, p->per,
				       line.sizes);
		append_cell(out, line.base);
		append_cell(out, line.slope);
		append_cell(out, line.error_milli);
		g_string_append_c(out, '\n');
	}
}

static struct model model_make(const struct slopes *s, double starts_per_s)
{
	return (struct model){ .slopes = s,
			       .design = &design_current,
			       .scenario = &scenarios[0],
			       .daemons = MODEL_DAEMONS,
			       .starts_per_s = starts_per_s };
}

static void write_flows(const struct slopes *s, GString *out)
{
	struct model ordinary = model_make(s, target.starts_ordinary_per_s);
	struct model peak = model_make(s, target.starts_peak_per_s);
	struct flow ordinary_flow[FLOWS_MAX];
	struct flow peak_flow[FLOWS_MAX];
	size_t n = model_flows(&ordinary, ordinary_flow);

	model_flows(&peak, peak_flow);
	g_string_append(out, "| role | message or work | link | /s | bytes/s | ‰ core | peak: /s | "
			     "bytes/s | ‰ core | code |\n"
			     "|---|---|---|---:|---:|---:|---:|---:|---:|---|\n");
	for (size_t i = 0; i < n; i++) {
		g_string_append_printf(out, "| %s | %s | %s |", ordinary_flow[i].role,
				       ordinary_flow[i].description, ordinary_flow[i].link);
		append_cell(out, ordinary_flow[i].per_s);
		append_cell(out, ordinary_flow[i].bytes_per_s);
		append_cell(out, ordinary_flow[i].core_milli);
		append_cell(out, peak_flow[i].per_s);
		append_cell(out, peak_flow[i].bytes_per_s);
		append_cell(out, peak_flow[i].core_milli);
		append_source_cell(out, ordinary_flow[i].source_path);
	}
}

static const char *const roles[] = { "gateway",	   "coordinator",   "owner",
				     "membership", "configuration", "log streams" };

static void write_role(GString *out, const struct model *ordinary, const struct model *peak,
		       const char *role)
{
	struct sum ordinary_sum = model_sum_role(ordinary, role);
	struct sum peak_sum = model_sum_role(peak, role);

	g_string_append_printf(out, "| %s |", role ? role : "**sum**");
	append_cell(out, ordinary_sum.messages_per_s);
	append_sum_cells(out, &ordinary_sum);
	append_cell(out, peak_sum.messages_per_s);
	append_sum_cells(out, &peak_sum);
	append_sum_cell(out, peak_sum.mem_bytes / 1e6, peak_sum.unmeasured > 0);
	g_string_append_printf(out, " %d |\n", peak_sum.unmeasured);
}

static void write_roles(const struct slopes *s, GString *out)
{
	struct model ordinary = model_make(s, target.starts_ordinary_per_s);
	struct model peak = model_make(s, target.starts_peak_per_s);

	g_string_append(out,
			"| role | messages/s | bytes/s | ‰ core | peak: messages/s | bytes/s | "
			"‰ core | MB | not measured |\n"
			"|---|---:|---:|---:|---:|---:|---:|---:|---:|\n");
	for (size_t i = 0; i < G_N_ELEMENTS(roles); i++)
		write_role(out, &ordinary, &peak, roles[i]);
	write_role(out, &ordinary, &peak, NULL);
	g_string_append_printf(out, "| **budget** | | %.0f | %.0f | | %.0f | %.0f | %.0f | |\n",
			       target.budget_bytes_per_s, target.budget_core_milli,
			       target.budget_bytes_per_s, target.budget_core_milli,
			       target.budget_mem_bytes / 1e6);
}

/* Cost of each step of a request, without its body and its answer. */
static void write_step_costs(const struct slopes *s, GString *out)
{
	double frame_ns = slopes_slope(s, "link_frame_ns");
	const struct {
		const char *step;
		double bytes;
		double ns;
	} costs[] = {
		{ "taken from its caller by HTTP", slopes_value(s, "submit_bytes", 0),
		  slopes_slope(s, "serve_exchange_ns") },
		{ "passed on to another daemon: Call, Begin, End",
		  slopes_slope(s, "task_call_bytes"), 3 * frame_ns },
		{ "a non-idempotent key asked of three voters, and finished",
		  slopes_slope(s, "claim_bytes"),
		  9 * frame_ns + slopes_value(s, "voter_ask_1000_ns", 2000) / 1000 },
		{ "decided on by an owner", 0, slopes_value(s, "owner_decide_200_ns", 96) / 200 },
		{ "run by a worker over HTTP", slopes_value(s, "start_bytes", 1),
		  slopes_slope(s, "start_exchange_ns") },
	};

	g_string_append(out, "| step | bytes | µs | budget of a daemon holds: by bytes, requests/s "
			     "| by its core |\n|---|---:|---:|---:|---:|\n");
	for (size_t i = 0; i < G_N_ELEMENTS(costs); i++) {
		g_string_append_printf(out, "| %s |", costs[i].step);
		append_cell(out, costs[i].bytes);
		append_cell(out, costs[i].ns / 1e3);
		if (costs[i].bytes == 0)
			g_string_append(out, " |");
		else
			append_cell(out, target.budget_bytes_per_s / costs[i].bytes);
		append_cell(out, target.budget_core_milli * 1e6 / costs[i].ns);
		g_string_append_c(out, '\n');
	}
}

static void write_memory(const struct slopes *s, GString *out)
{
	struct model m = model_make(s, target.starts_peak_per_s);
	struct memory_use h[MEMORY_USES_MAX];
	size_t n = model_memory(&m, h);

	g_string_append(out, "| role | state | items | MB | kind | code |\n"
			     "|---|---|---:|---:|---|---|\n");
	for (size_t i = 0; i < n; i++) {
		g_string_append_printf(out, "| %s | %s |", h[i].role, h[i].description);
		append_cell(out, h[i].count);
		append_cell(out, h[i].bytes / 1e6);
		g_string_append(out, h[i].is_limit ? " bound |" : " held |");
		append_source_cell(out, h[i].source_path);
	}
}

/* The sums in each scenario, beside the budget. */
static void write_scenarios(const struct slopes *s, GString *out)
{
	g_string_append(out, "| case | bytes/s | ‰ core | peak: bytes/s | ‰ core | MB |\n"
			     "|---|---:|---:|---:|---:|---:|\n");
	g_string_append_printf(out, "| **budget** | %.0f | %.0f | %.0f | %.0f | %.0f |\n",
			       target.budget_bytes_per_s, target.budget_core_milli,
			       target.budget_bytes_per_s, target.budget_core_milli,
			       target.budget_mem_bytes / 1e6);
	for (size_t i = 0; i < scenario_count; i++) {
		struct model m = model_make(s, target.starts_ordinary_per_s);
		struct sum sum;

		m.scenario = &scenarios[i];
		sum = model_sum(&m);
		g_string_append_printf(out, "| %s |", scenarios[i].name);
		append_sum_cells(out, &sum);
		m.starts_per_s = target.starts_peak_per_s;
		sum = model_sum(&m);
		append_sum_cells(out, &sum);
		append_sum_cell(out, sum.mem_bytes / 1e6, sum.unmeasured > 0);
		g_string_append_c(out, '\n');
	}
}

/* budget: 0 bytes, 1 core, 2 memory */
static double budget_share(const struct sum *s, int budget)
{
	switch (budget) {
	case 0:
		return s->bytes_per_s / target.budget_bytes_per_s;
	case 1:
		return s->core_milli / target.budget_core_milli;
	default:
		return s->mem_bytes / target.budget_mem_bytes;
	}
}

/* Smallest number of daemons that stays within a budget, 0 if there is none up to DAEMONS_MAX. */
static int daemons_needed(struct model m, int budget)
{
	for (int n = (int)target.dcs; n <= DAEMONS_MAX; n += (int)target.dcs) {
		struct sum s;

		m.daemons = n;
		s = model_sum(&m);
		if (budget_share(&s, budget) <= 1)
			return n;
	}
	return 0;
}

static void append_daemons_needed(GString *out, const struct model *m, int budget)
{
	int n = daemons_needed(*m, budget);

	if (n > 0)
		g_string_append_printf(out, " %d |", n);
	else
		g_string_append_printf(out, " none up to %d |", DAEMONS_MAX);
}

static void write_daemons(const struct slopes *s, GString *out)
{
	static const double counts[] = { 18, 24, 40, 60, 120, 240, 480 };
	struct model ordinary = model_make(s, target.starts_ordinary_per_s);
	struct model peak = model_make(s, target.starts_peak_per_s);

	g_string_append(out, "| daemons | bytes/s | ‰ core | peak: bytes/s | ‰ core | MB |\n"
			     "|---:|---:|---:|---:|---:|---:|\n");
	for (size_t i = 0; i < G_N_ELEMENTS(counts); i++) {
		struct sum ordinary_sum;
		struct sum peak_sum;

		ordinary.daemons = peak.daemons = counts[i];
		ordinary_sum = model_sum(&ordinary);
		peak_sum = model_sum(&peak);
		g_string_append_printf(out, "| %.0f |", counts[i]);
		append_sum_cells(out, &ordinary_sum);
		append_sum_cells(out, &peak_sum);
		append_sum_cell(out, peak_sum.mem_bytes / 1e6, peak_sum.unmeasured > 0);
		g_string_append_c(out, '\n');
	}
	g_string_append(out, "| **least that holds** |");
	append_daemons_needed(out, &ordinary, 0);
	append_daemons_needed(out, &ordinary, 1);
	append_daemons_needed(out, &peak, 0);
	append_daemons_needed(out, &peak, 1);
	append_daemons_needed(out, &peak, 2);
	g_string_append_c(out, '\n');
}

static void write_design(const struct slopes *s, GString *out, const struct design *d)
{
	struct model ordinary = model_make(s, target.starts_ordinary_per_s);
	struct model peak = model_make(s, target.starts_peak_per_s);
	struct sum ordinary_sum;
	struct sum peak_sum;

	ordinary.design = peak.design = d;
	ordinary_sum = model_sum(&ordinary);
	peak_sum = model_sum(&peak);
	g_string_append_printf(out, "| %s |", d->name);
	append_sum_cells(out, &ordinary_sum);
	append_sum_cells(out, &peak_sum);
	append_daemons_needed(out, &ordinary, 0);
	append_daemons_needed(out, &peak, 0);
	append_daemons_needed(out, &peak, 1);
	g_string_append_c(out, '\n');
}

/* A change of one parameter of struct design, which has to be a double. */
struct design_change {
	const char *name;
	size_t offset;
	double value;
};

#define DESIGN_CHANGE(name, field, value)                                                          \
	{                                                                                          \
		name, offsetof(struct design, field), value                                        \
	}

static const struct design_change design_changes[] = {
	DESIGN_CHANGE("list of VMs as changes (3 VMs at a time)", vm_list_share, 0.001),
	DESIGN_CHANGE("metrics of 1 team in 100 read each minute", metrics_read_share, 0.01),
	DESIGN_CHANGE("heartbeats every 1 s, suspicion after 2 s", heartbeat_s, 1),
	DESIGN_CHANGE("room told to other data centres every 60 s", remote_load_report_s, 60),
	DESIGN_CHANGE("heartbeats tell changed rooms only (1 of 10)", reported_rooms_share, 0.1),
	DESIGN_CHANGE("a pause of 1 s between reads of a stream", read_pause_s, 1),
	DESIGN_CHANGE("progress appended every 2 s", progress_s, 2),
	DESIGN_CHANGE("claims of a daemon in one record with its progress", joint_records, 1),
	DESIGN_CHANGE("renewals every 30 s, lease 90 s", renew_s, 30),
	DESIGN_CHANGE("workers spoken to in frames on kept sockets", worker_frames, 1),
	DESIGN_CHANGE("what the tasks of a job share is sent once", job_fields_once, 1),
};

static void design_change_apply(struct design *d, const struct design_change *change)
{
	*(double *)((char *)d + change->offset) = change->value;
	d->name = change->name;
}

static struct design design_with_all_changes(void)
{
	struct design d = design_current;

	for (size_t i = 0; i < G_N_ELEMENTS(design_changes); i++)
		design_change_apply(&d, &design_changes[i]);
	return d;
}

/* Each row includes the changes of the rows above it. */
static void write_designs(const struct slopes *s, GString *out)
{
	struct design d = design_current;

	g_string_append(out, "| design | bytes/s | ‰ core | peak: bytes/s | ‰ core | "
			     "daemons for bytes | peak: for bytes | for the core |\n"
			     "|---|---:|---:|---:|---:|---:|---:|---:|\n");
	write_design(s, out, &d);
	for (size_t i = 0; i < G_N_ELEMENTS(design_changes); i++) {
		design_change_apply(&d, &design_changes[i]);
		write_design(s, out, &d);
	}
}

/* The messages that remain after all changes of the design. */
static void write_remaining_flows(const struct slopes *s, GString *out)
{
	struct design d = design_with_all_changes();
	struct model ordinary = model_make(s, target.starts_ordinary_per_s);
	struct model peak = model_make(s, target.starts_peak_per_s);
	struct flow ordinary_flow[FLOWS_MAX];
	struct flow peak_flow[FLOWS_MAX];
	size_t n;

	ordinary.design = peak.design = &d;
	n = model_flows(&ordinary, ordinary_flow);
	model_flows(&peak, peak_flow);
	g_string_append(out, "| role | message | link | /s | bytes/s | peak: /s | bytes/s |\n"
			     "|---|---|---|---:|---:|---:|---:|\n");
	for (size_t i = 0; i < n; i++) {
		if (strcmp(ordinary_flow[i].link, "none") == 0)
			continue;
		g_string_append_printf(out, "| %s | %s | %s |", ordinary_flow[i].role,
				       ordinary_flow[i].description, ordinary_flow[i].link);
		append_cell(out, ordinary_flow[i].per_s);
		append_cell(out, ordinary_flow[i].bytes_per_s);
		append_cell(out, peak_flow[i].per_s);
		append_cell(out, peak_flow[i].bytes_per_s);
		g_string_append_c(out, '\n');
	}
}

#define DEFAULT_ENUM(key, value, min, max) default_##key = (value),
enum { SETTINGS_NUMBERS(DEFAULT_ENUM) };

static const struct flow *find_flow(const struct flow *flow, size_t n, const char *prefix)
{
	for (size_t i = 0; i < n; i++)
		if (g_str_has_prefix(flow[i].description, prefix))
			return &flow[i];
	return NULL;
}

/* Savings of a longer lease, and the delay that it causes when an owner or a worker is lost. */
static void write_leases(const struct slopes *s, GString *out)
{
	static const double renew_s[] = { 1, 2, 5, 10, 15, 30, 60 };

	g_string_append(out,
			"| renewal s | lease s | renewals: bytes/s | ‰ core | peak: bytes/s | "
			"‰ core | worker answers: placed on again after s | worker does not: room "
			"used again after s | its tasks started again after s |\n"
			"|---:|---:|---:|---:|---:|---:|---:|---:|---:|\n");
	for (size_t i = 0; i < G_N_ELEMENTS(renew_s); i++) {
		double lease = 3 * renew_s[i];
		double drift = 1 + default_drift_ppm / 1e6;
		double guard = default_guard_ms / 1e3;
		double task_lease = 3 * lease;

		g_string_append_printf(out, "| %.0f | %.0f |", renew_s[i], lease);
		for (int peak = 0; peak < 2; peak++) {
			struct model m = model_make(s, peak ? target.starts_peak_per_s
							    : target.starts_ordinary_per_s);
			struct design d = design_current;
			struct flow flow[FLOWS_MAX];
			const struct flow *f;

			d.renew_s = renew_s[i];
			m.design = &d;
			f = find_flow(flow, model_flows(&m, flow), "renewal");
			append_cell(out, f->bytes_per_s);
			append_cell(out, f->core_milli);
		}
		append_cell(out, default_dead_ms / 1e3);
		append_cell(out, lease * drift + guard);
		append_cell(out, task_lease * drift + guard);
		g_string_append_c(out, '\n');
	}
}

static const struct table tables[] = {
	{ "slopes", write_slopes },	{ "flows", write_flows },
	{ "holdings", write_memory },	{ "roles", write_roles },
	{ "prices", write_step_costs }, { "cases", write_scenarios },
	{ "daemons", write_daemons },	{ "designs", write_designs },
	{ "leases", write_leases },	{ "left", write_remaining_flows },
};

static const struct table *find_table(const char *name, size_t len)
{
	for (size_t i = 0; i < G_N_ELEMENTS(tables); i++)
		if (strlen(tables[i].name) == len && strncmp(tables[i].name, name, len) == 0)
			return &tables[i];
	return NULL;
}

char *page_rebuild(const char *text, const struct slopes *slopes, struct status *st)
{
	GString *out = g_string_new(NULL);
	const char *at = text;
	const char *start;

	while ((start = strstr(at, TABLE_START))) {
		const char *name = start + strlen(TABLE_START);
		const char *name_end = strstr(name, TABLE_NAME_END);
		const char *end = name_end ? strstr(name_end, TABLE_END) : NULL;
		const struct table *t = end ? find_table(name, (size_t)(name_end - name)) : NULL;

		if (!t) {
			status_set(st, STATUS_INVALID, "page", "", "unknown or open table: %.40s",
				   name);
			g_string_free(out, TRUE);
			return NULL;
		}
		g_string_append_len(out, at, name_end + strlen(TABLE_NAME_END) - at);
		g_string_append(out, "\n\n");
		t->write(slopes, out);
		g_string_append(out, "\n");
		at = end;
	}
	g_string_append(out, at);
	return g_string_free(out, FALSE);
}
