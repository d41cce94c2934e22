#include <math.h>
#include <string.h>

#include <glib.h>

#include "model.h"
#include "settings.h"

#define DAY_S		    86400.0
#define MINUTE_S	    60.0
#define SNAPSHOT_RECORDS    1024 /* between two snapshots of a stream */
#define MEASURED_ROOM_COUNT 4	 /* in the heartbeat of link_frame_ns */
#define ROOMS_MAX	    32	 /* in one heartbeat */

/* Default values of the settings. */
#define DEFAULT_ENUM(key, value, min, max) default_##key = (value),
enum { SETTINGS_NUMBERS(DEFAULT_ENUM) };

const struct target target = {
	.workers = 3700,
	.workers_per_rack = 5,
	.dcs = 6,
	.teams = 690,
	.services_per_team = 2,
	.running_tasks = 13000,
	.starts_peak_per_s = 2300,
	.starts_ordinary_per_s = 230,
	.jobs_per_day = 20000,
	.active_jobs = 120,
	.config_changes_per_day = 7400,
	.vm_events_per_day = 33 + 360,
	.list_changes_per_vm_event = 3,
	.budget_core_milli = 26,
	.budget_mem_bytes = 256e6,
	.budget_bytes_per_s = 5000,
};

const struct design design_current = {
	.name = "today",
	.renew_s = default_renew_ms / 1e3,
	.heartbeat_s = default_beat_ms / 1e3,
	.remote_heartbeat_s = default_far_beat_ms / 1e3,
	.remote_load_report_s = 10,
	.reported_rooms_share = 1,
	.vms_poll_s = default_vms_poll_ms / 1e3,
	.vm_list_share = 1,
	.metrics_read_share = 1,
	.progress_s = default_progress_ms / 1e3,
};

#define CONFIG_CHANGES_PER_S (7400 / DAY_S)
/*
 * Batch tasks that run in one of 6 data centres: 80% of 13,000 tasks. All may end while it is cut
 * off from the log.
 */
#define RUNNING_BATCH_PER_DC (13000 * 0.8 / 6)

const struct scenario scenarios[] = {
	{ .name = "no failure",
	  .remote_reachable_share = 1,
	  .starts_factor = 1,
	  .workers_factor = 1,
	  .config_changes_per_s = CONFIG_CHANGES_PER_S },
	{ .name = "a rack lost",
	  .remote_reachable_share = 1,
	  .starts_factor = 1,
	  .workers_factor = 1,
	  .config_changes_per_s = CONFIG_CHANGES_PER_S,
	  .session_opens_per_s = 5 / (default_reopen_max_ms / 1e3) },
	{ .name = "a daemon lost",
	  .remote_reachable_share = 1,
	  .starts_factor = 1,
	  .workers_factor = 1,
	  .lost_daemons_in_dc = 1,
	  .takeover_s = MINUTE_S,
	  .config_changes_per_s = CONFIG_CHANGES_PER_S },
	{ .name = "a data centre lost",
	  .remote_reachable_share = 4 / 5.0,
	  .starts_factor = 6 / 5.0,
	  .workers_factor = 1,
	  .config_changes_per_s = CONFIG_CHANGES_PER_S },
	{ .name = "region cut off from the others and the platform, an hour",
	  .remote_reachable_share = 1 / 5.0,
	  .starts_factor = 1,
	  .workers_factor = 1,
	  .platform_unreachable = true },
	{ .name = "healing within a minute",
	  .remote_reachable_share = 1,
	  .starts_factor = 1,
	  .workers_factor = 1,
	  .config_changes_per_s = CONFIG_CHANGES_PER_S,
	  .backlog_task_ends = RUNNING_BATCH_PER_DC,
	  .backlog_config_changes = CONFIG_CHANGES_PER_S * 3600 },
	{ .name = "an entry VM replaced (360 VMs a day)",
	  .remote_reachable_share = 1,
	  .starts_factor = 1,
	  .workers_factor = 1,
	  .config_changes_per_s = CONFIG_CHANGES_PER_S,
	  .takeover_s = MINUTE_S,
	  .snapshots = 1 },
	{ .name = "storm: a day's changes in an hour",
	  .remote_reachable_share = 1,
	  .starts_factor = 1,
	  .workers_factor = 1,
	  .config_changes_per_s = 7400 / 3600.0 },
};

const size_t scenario_count = G_N_ELEMENTS(scenarios);

/* Rates at one daemon, shared by several flows. */
struct rates {
	double dc_daemons;
	double workers; /* of this daemon */
	double tasks_per_worker;
	double starts_per_s; /* at this daemon */
	double starts_per_s_per_worker;
	double claims_per_s;   /* appended by this daemon */
	double progress_per_s; /* likewise */
	double room_count;
};

static struct rates rates_compute(const struct model *m)
{
	const struct scenario *l = m->scenario;
	const struct design *d = m->design;
	double dc_daemons = m->daemons / target.dcs;
	double live = fmax(1, dc_daemons - l->lost_daemons_in_dc);
	struct rates r = {
		.dc_daemons = live,
		.workers = target.workers / m->daemons * l->workers_factor * dc_daemons / live,
		.tasks_per_worker = target.running_tasks / target.workers,
		.starts_per_s = m->starts_per_s * l->starts_factor / m->daemons * dc_daemons / live,
	};

	r.starts_per_s_per_worker = r.starts_per_s / r.workers;
	r.room_count = fmin(ROOMS_MAX, r.workers / target.workers_per_rack + 1);
	r.progress_per_s = (1 - exp(-r.starts_per_s * d->progress_s)) / d->progress_s;
	/* One claim for each job of which tasks have ended, once their progress is read back. */
	r.claims_per_s =
		fmin(r.starts_per_s, r.progress_per_s * fmax(1, target.active_jobs / m->daemons));
	return r;
}

static double slope(const struct model *m, const char *name)
{
	return slopes_slope(m->slopes, name);
}

static double value(const struct model *m, const char *name, double x)
{
	return slopes_value(m->slopes, name, x);
}

/* Thousandths of a core for per_s operations of ns each. */
static double core_milli_for(double per_s, double ns)
{
	return per_s * ns / 1e6;
}

struct flow_list {
	struct flow *flow;
	size_t n;
};

static void flow_list_add(struct flow_list *l, struct flow f)
{
	g_assert(l->n < FLOWS_MAX);
	l->flow[l->n++] = f;
}

static void add_owner_flows(const struct model *m, const struct rates *r, struct flow_list *l)
{
	/* A renewal waits up to renew_s for the end of a task, then the next one is sent. */
	double worker_renewals_per_s = r->starts_per_s_per_worker /
				       (1 - exp(-r->starts_per_s_per_worker * m->design->renew_s));
	double ends_per_renewal = r->starts_per_s_per_worker / worker_renewals_per_s;
	double renewals_per_s = r->workers * worker_renewals_per_s;
	double lost_workers = target.workers / m->daemons;
	double opens_per_s = m->scenario->session_opens_per_s;
	double renew_ns = slope(m, "renew_exchange_ns");
	double start_ns = slope(m, "start_exchange_ns");
	double renew_bytes = value(m, "renew_bytes", r->tasks_per_worker) +
			     ends_per_renewal * slope(m, "renew_ended_bytes");
	double start_bytes = value(m, "start_bytes", 1);

	if (m->scenario->takeover_s > 0)
		opens_per_s += lost_workers /
			       (m->scenario->lost_daemons_in_dc > 0 ? r->dc_daemons : 1) /
			       m->scenario->takeover_s;
	if (m->design->worker_frames > 0) {
		renew_ns = start_ns = slope(m, "link_frame_ns");
		renew_bytes = 2 * value(m, "beat_bytes", r->tasks_per_worker / 2);
		start_bytes = slope(m, "task_call_bytes");
	}
	if (m->design->job_fields_once > 0)
		start_bytes = slope(m, "lean_task_bytes");
	flow_list_add(l, (struct flow){ "owner", "renewal of a lease, with ends and usage",
					"worker", "packages/daemon/connection/worker.c",
					renewals_per_s, renewals_per_s * renew_bytes,
					core_milli_for(renewals_per_s, renew_ns) });
	flow_list_add(l, (struct flow){ "owner", "start of a task", "worker",
					"packages/daemon/connection/worker.c", r->starts_per_s,
					r->starts_per_s * start_bytes,
					core_milli_for(r->starts_per_s, start_ns) });
	flow_list_add(l, (struct flow){ "owner", "session opened, with inventory", "worker",
					"packages/core/connection/session.c", opens_per_s,
					opens_per_s * value(m, "open_bytes", r->tasks_per_worker),
					core_milli_for(opens_per_s, renew_ns) });
	flow_list_add(l, (struct flow){ "owner", "decision on a start", "none",
					"packages/core/process/owner.c", r->starts_per_s, 0,
					core_milli_for(r->starts_per_s,
						       value(m, "owner_decide_200_ns", r->workers) /
							       200) });
}

static void add_coordinator_flows(const struct model *m, const struct rates *r, struct flow_list *l)
{
	double remote = r->starts_per_s * (r->dc_daemons - 1) / r->dc_daemons;
	const char *bytes = m->design->job_fields_once > 0 ? "lean_task_bytes" : "task_call_bytes";

	/* Call, Begin and End, as the coordinator and as the owner. */
	flow_list_add(l, (struct flow){ "coordinator", "task handed to its owner: Call, Begin, End",
					"same data centre", "packages/wire/link.c", 6 * remote,
					2 * remote * slope(m, bytes),
					core_milli_for(3 * remote, slope(m, "link_frame_ns")) });
}

/* Jobs in the table of one data centre: those submitted within job_keep_ms. */
static double listed_jobs_per_dc(void)
{
	return target.jobs_per_day / DAY_S * default_job_keep_ms / 1e3 / target.dcs;
}

/* Size of a record with that many ends, spread over the jobs that this daemon coordinates. */
static double progress_bytes(const struct model *m, double ends)
{
	double jobs = fmin(ends, fmax(1, target.active_jobs / m->daemons));

	return value(m, "jobs_progress_record_bytes", jobs) +
	       (ends - jobs) * slope(m, "jobs_progress_one_job_bytes");
}

/* The stream of jobs of a data centre: appends of one daemon, and of all its daemons together. */
struct job_stream {
	double claims_per_s; /* records of this daemon */
	double claim_bytes;
	double progress_per_s;
	double progress_bytes;
	double records_per_s;	 /* of all daemons */
	double data_bytes_per_s; /* likewise */
	double snapshot_bytes;
};

static struct job_stream job_stream_compute(const struct model *m, const struct rates *r)
{
	double ends = r->progress_per_s > 0 ? r->starts_per_s / r->progress_per_s : 0;
	double claimed = r->claims_per_s > 0 ? r->starts_per_s / r->claims_per_s : 0;
	double submits = target.jobs_per_day / DAY_S / target.dcs;
	struct job_stream s = {
		.claims_per_s = r->claims_per_s,
		.claim_bytes = value(m, "jobs_claim_record_bytes", claimed),
		.progress_per_s = r->progress_per_s,
		.progress_bytes = progress_bytes(m, ends),
		.snapshot_bytes =
			listed_jobs_per_dc() * slope(m, "jobs_snapshot_bytes") +
			target.running_tasks / target.dcs * slope(m, "jobs_snapshot_task_bytes"),
	};

	if (m->design->joint_records > 0) {
		s.progress_bytes += s.claim_bytes * s.claims_per_s / s.progress_per_s;
		s.claims_per_s = 0;
	}
	s.records_per_s = r->dc_daemons * (s.claims_per_s + s.progress_per_s) + submits;
	s.data_bytes_per_s = r->dc_daemons * (s.claims_per_s * s.claim_bytes +
					      s.progress_per_s * s.progress_bytes) +
			     submits * slope(m, "jobs_submit_record_bytes");
	return s;
}

static void add_append_flow(const struct model *m, struct flow_list *l, const char *description,
			    double per_s, double record_bytes)
{
	double bytes = value(m, "append_bytes", record_bytes);

	flow_list_add(l, (struct flow){ "log streams", description, "platform",
					"packages/daemon/process/platform.c", per_s, per_s * bytes,
					core_milli_for(per_s, slope(m, "append_exchange_ns")) });
}

static void add_job_stream_flows(const struct model *m, const struct rates *r, struct flow_list *l)
{
	struct job_stream s = job_stream_compute(m, r);
	double ends = r->progress_per_s > 0 ? r->starts_per_s / r->progress_per_s : 0;
	double reads = fmax(s.records_per_s, 1 / (default_log_wait_ms / 1e3));
	double snapshots = s.records_per_s / SNAPSHOT_RECORDS;
	double backlog = m->scenario->backlog_task_ends * slope(m, "jobs_progress_one_job_bytes") +
			 m->scenario->snapshots * s.snapshot_bytes;

	if (m->scenario->platform_unreachable)
		return;
	if (m->design->read_pause_s > 0)
		reads = fmin(reads, 1 / m->design->read_pause_s);
	add_append_flow(m, l, "claim appended", s.claims_per_s, s.claim_bytes);
	add_append_flow(m, l, "progress appended", s.progress_per_s, s.progress_bytes);
	flow_list_add(l, (struct flow){ "log streams", "records of the data centre's jobs read",
					"platform", "packages/daemon/process/platform.c", reads,
					reads * value(m, "read_bytes", 0) +
						(s.records_per_s - reads) *
							slope(m, "read_records_bytes") +
						slope(m, "read_bytes") *
							(s.data_bytes_per_s + backlog / MINUTE_S),
					core_milli_for(reads, slope(m, "read_exchange_ns")) });
	flow_list_add(l, (struct flow){ "log streams", "snapshot appended or read", "platform",
					"packages/core/process/jobsnapshot.c", snapshots,
					snapshots * s.snapshot_bytes *
						(slope(m, "read_bytes") +
						 slope(m, "append_bytes") / r->dc_daemons),
					0 });
	flow_list_add(l, (struct flow){ "log streams", "record applied", "none",
					"packages/core/process/jobs.c", s.records_per_s, 0,
					core_milli_for(r->dc_daemons * r->progress_per_s,
						       value(m, "jobs_apply_50_ns", ends) / 50) });
}

static void add_config_flows(const struct model *m, struct flow_list *l)
{
	double changes =
		m->scenario->config_changes_per_s + m->scenario->backlog_config_changes / MINUTE_S;
	double reads = m->scenario->config_changes_per_s + 1 / (default_log_wait_ms / 1e3);
	double snapshot = m->scenario->snapshots * value(m, "config_snapshot_bytes", target.teams);
	double data = changes * value(m, "config_record_bytes", 1) + snapshot / MINUTE_S;

	if (m->scenario->platform_unreachable)
		return;
	if (m->design->read_pause_s > 0)
		reads = fmin(reads, 1 / m->design->read_pause_s);
	flow_list_add(
		l, (struct flow){ "configuration", "changes read", "platform",
				  "packages/daemon/version/config_sync.c", reads,
				  reads * value(m, "read_bytes", 0) + slope(m, "read_bytes") * data,
				  core_milli_for(reads, slope(m, "read_exchange_ns")) });
	flow_list_add(l, (struct flow){
				 "configuration", "change applied", "none",
				 "packages/core/version/config.c", changes, 0,
				 core_milli_for(changes,
						value(m, "config_apply_8_ns", target.teams) / 8) });
}

static void add_membership_flows(const struct model *m, const struct rates *r, struct flow_list *l)
{
	const struct design *d = m->design;
	double local_per_s = (r->dc_daemons - 1) / d->heartbeat_s;
	double remote_daemons =
		(m->daemons - m->daemons / target.dcs) * m->scenario->remote_reachable_share;
	double remote_per_s = remote_daemons / d->remote_heartbeat_s;
	double remote_reports_per_s = remote_daemons / d->remote_load_report_s;
	double rooms = r->room_count * d->reported_rooms_share;
	double bytes = value(m, "beat_bytes", rooms);
	/* A frame was measured with MEASURED_ROOM_COUNT rooms; this adds the others. */
	double ns = slope(m, "link_frame_ns") +
		    slope(m, "beat_codec_200_ns") / 200 * fmax(0, rooms - MEASURED_ROOM_COUNT);
	double vms = target.workers + m->daemons;
	double polls = 1 / d->vms_poll_s;
	double changed =
		fmin(polls, target.vm_events_per_day * target.list_changes_per_vm_event / DAY_S +
				    m->scenario->vm_list_changes_per_s);
	double read_ns = slope(m, "read_exchange_ns");

	/* One heartbeat to each peer and one from it. */
	flow_list_add(l, (struct flow){ "membership", "heartbeat with rooms", "same data centre",
					"packages/core/process/members.c", 2 * local_per_s,
					2 * local_per_s * bytes, core_milli_for(local_per_s, ns) });
	flow_list_add(l, (struct flow){ "membership", "heartbeat", "other data centres",
					"packages/daemon/process/heartbeat.c", 2 * remote_per_s,
					2 * remote_per_s * value(m, "beat_bytes", 0),
					core_milli_for(remote_per_s, slope(m, "link_frame_ns")) });
	flow_list_add(l,
		      (struct flow){ "membership", "room told with a heartbeat",
				     "other data centres", "packages/daemon/process/heartbeat.c", 0,
				     2 * remote_reports_per_s * slope(m, "beat_bytes") * rooms,
				     core_milli_for(remote_reports_per_s,
						    ns - slope(m, "link_frame_ns")) });
	flow_list_add(l, (struct flow){ "membership", "states of the daemons", "none",
					"packages/core/process/members.c", 1 / d->heartbeat_s, 0,
					core_milli_for(1 / d->heartbeat_s,
						       value(m, "members_tick_100_ns", m->daemons) /
							       100) });
	if (m->scenario->platform_unreachable)
		return;
	flow_list_add(l, (struct flow){ "membership", "list of VMs, not changed", "platform",
					"packages/daemon/process/platform.c", polls - changed,
					(polls - changed) * value(m, "vms_same_bytes", 1),
					core_milli_for(polls - changed, read_ns) });
	flow_list_add(l, (struct flow){ "membership", "list of VMs, changed", "platform",
					"packages/daemon/process/platform.c", changed,
					changed * value(m, "vms_bytes", vms * d->vm_list_share),
					core_milli_for(changed,
						       read_ns + value(m, "vms_parse_ns",
								       vms * d->vm_list_share)) });
}

static void add_gateway_flows(const struct model *m, struct flow_list *l)
{
	double submits = target.jobs_per_day / DAY_S / m->daemons;
	double teams = target.teams * m->design->metrics_read_share;
	double metrics = 1 / MINUTE_S;

	flow_list_add(l,
		      (struct flow){ "gateway", "metrics read by operators", "caller",
				     "packages/core/process/metrics.c", metrics,
				     metrics * value(m, "metrics_text_bytes", teams),
				     core_milli_for(metrics, value(m, "metrics_text_ns", teams)) });
	flow_list_add(l, (struct flow){ "gateway", "job submitted", "caller",
					"packages/daemon/process/http.c", submits,
					submits * value(m, "submit_bytes", 0),
					core_milli_for(submits, slope(m, "serve_exchange_ns")) });
}

size_t model_flows(const struct model *m, struct flow *flow)
{
	struct rates r = rates_compute(m);
	struct flow_list l = { .flow = flow };

	add_gateway_flows(m, &l);
	add_coordinator_flows(m, &r, &l);
	add_owner_flows(m, &r, &l);
	add_membership_flows(m, &r, &l);
	add_config_flows(m, &l);
	add_job_stream_flows(m, &r, &l);
	return l.n;
}

size_t model_memory(const struct model *m, struct memory_use *memory_use)
{
	struct rates r = rates_compute(m);
	double jobs = listed_jobs_per_dc();
	double tasks = target.running_tasks / target.dcs;
	double vms = target.workers + m->daemons;
	const struct memory_use all[] = {
		{ "gateway", "histograms and counters by team and class",
		  "packages/core/process/metrics.c", target.teams,
		  value(m, "metrics_memory", target.teams), false },
		{ "coordinator", "keys remembered by a voter, at their limit",
		  "packages/core/process/voter.c", default_vote_keys_max,
		  slope(m, "voter_memory") * default_vote_keys_max, false },
		{ "owner", "workers", "packages/core/process/owner.c", r.workers,
		  slope(m, "owner_worker_memory") * r.workers, false },
		{ "owner", "work waiting, at its limit", "packages/core/process/owner.c",
		  default_queue_max, slope(m, "owner_work_memory") * default_queue_max, false },
		{ "membership", "daemons", "packages/core/process/members.c", m->daemons,
		  slope(m, "members_memory") * m->daemons, false },
		{ "membership", "list of VMs while it is parsed",
		  "packages/daemon/process/platform.c", vms * m->design->vm_list_share,
		  value(m, "vms_bytes", vms * m->design->vm_list_share) +
			  value(m, "vms_parse_memory", vms * m->design->vm_list_share),
		  false },
		{ "configuration", "version in force and its successor (teams)",
		  "packages/core/version/config.c", target.teams,
		  2 * value(m, "config_memory", target.teams), false },
		{ "log streams", "jobs listed in the data centre", "packages/core/process/jobs.c",
		  jobs, slope(m, "jobs_memory") * jobs, false },
		{ "log streams", "tasks of these jobs", "packages/core/process/jobs.c", tasks,
		  slope(m, "jobs_task_memory") * tasks, false },
		{ "gateway", "bodies of requests: connections_max times body_max_bytes",
		  "packages/daemon/process/http.c", default_connections_max,
		  (double)default_connections_max * default_body_max_bytes, true },
		{ "gateway", "answers on their way: connections_max times credit_bytes",
		  "packages/daemon/request/call.c", default_connections_max,
		  (double)default_connections_max * default_credit_bytes, true },
		{ "membership", "queues to slow peers: link_queue_max_bytes for each",
		  "packages/wire/link.c", m->daemons - 1,
		  (m->daemons - 1) * default_link_queue_max_bytes, true },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(all); i++)
		memory_use[i] = all[i];
	return G_N_ELEMENTS(all);
}

static void sum_add_measured(double *sum, double v, int *unmeasured)
{
	if (isnan(v))
		(*unmeasured)++;
	else
		*sum += v;
}

static bool role_matches(const char *role, const char *wanted)
{
	return !wanted || strcmp(role, wanted) == 0;
}

struct sum model_sum_role(const struct model *m, const char *role)
{
	struct flow flow[FLOWS_MAX];
	struct memory_use memory_use[MEMORY_USES_MAX];
	size_t flows = model_flows(m, flow);
	size_t memory_uses = model_memory(m, memory_use);
	struct sum s = { 0 };

	for (size_t i = 0; i < flows; i++) {
		if (!role_matches(flow[i].role, role))
			continue;
		if (strcmp(flow[i].link, "none") != 0)
			s.messages_per_s += flow[i].per_s;
		sum_add_measured(&s.bytes_per_s, flow[i].bytes_per_s, &s.unmeasured);
		sum_add_measured(&s.core_milli, flow[i].core_milli, &s.unmeasured);
	}
	for (size_t i = 0; i < memory_uses; i++)
		if (!memory_use[i].is_limit && role_matches(memory_use[i].role, role))
			sum_add_measured(&s.mem_bytes, memory_use[i].bytes, &s.unmeasured);
	return s;
}

struct sum model_sum(const struct model *m)
{
	return model_sum_role(m, NULL);
}
