#ifndef BENCH_MODEL_H
#define BENCH_MODEL_H

#include <stdbool.h>
#include <stddef.h>

#include "slopes.h"

/*
 * model - traffic, processor time and memory of one daemon at the target load, from measured slopes
 *
 * Bytes and messages are counted at the daemon, in both directions. A value that was not measured
 * is NAN.
 */
#define MODEL_DAEMONS 40

/* The load that a cell has to carry, and the budget of one daemon. */
struct target {
	double workers;
	double workers_per_rack;
	double dcs;
	double teams;
	double services_per_team; /* assumed */
	double running_tasks;
	double starts_peak_per_s;
	double starts_ordinary_per_s; /* assumed */
	double jobs_per_day;
	double active_jobs; /* with waiting tasks; assumed */
	double config_changes_per_day;
	double vm_events_per_day;	  /* VMs that fail, restart or are replaced */
	double list_changes_per_vm_event; /* of the list of VMs; assumed */
	double budget_core_milli;
	double budget_mem_bytes;
	double budget_bytes_per_s;
};

extern const struct target target;

/* Parameters of the design that the page varies. Shares are 1 if nothing is left out. */
struct design {
	const char *name;
	double renew_s;
	double heartbeat_s;	     /* interval in a data centre */
	double remote_heartbeat_s;   /* interval to other data centres */
	double remote_load_report_s; /* between remote heartbeats that carry rooms */
	double reported_rooms_share; /* of the rooms, in a heartbeat */
	double vms_poll_s;
	double vm_list_share;	   /* of the list of VMs, read after a change */
	double metrics_read_share; /* of the metrics, read once a minute */
	double progress_s;
	double read_pause_s;	/* between two reads of a stream */
	double worker_frames;	/* not 0: frames instead of HTTP between daemon and worker */
	double joint_records;	/* not 0: a daemon appends claims and progress in one record */
	double job_fields_once; /* not 0: fields that all tasks of a job share are sent once */
};

extern const struct design design_current;

/*
 * A failure or a burst, as it differs from an ordinary minute. The model takes the daemon with the
 * highest load in that minute.
 */
struct scenario {
	const char *name;
	double starts_factor;
	double workers_factor;
	double lost_daemons_in_dc;
	double session_opens_per_s; /* in addition to the usual ones */
	double takeover_s;	    /* time to take over the racks of a lost daemon, or 0 */
	double config_changes_per_s;
	double vm_list_changes_per_s;  /* in addition to the usual ones */
	double snapshots;	       /* read within the minute */
	double backlog_task_ends;      /* read within the minute, per data centre */
	double backlog_config_changes; /* read within the minute */
	double remote_reachable_share; /* of the daemons of other data centres */
	bool platform_unreachable;
};

extern const struct scenario scenarios[];
extern const size_t scenario_count;

/* One kind of message or work. */
struct flow {
	const char *role;
	const char *description;
	const char *link;	 /* "none" for work without a message */
	const char *source_path; /* relative to the root of the project */
	double per_s;
	double bytes_per_s;
	double core_milli; /* thousandths of a core */
};

#define FLOWS_MAX 24

struct model {
	const struct slopes *slopes;
	const struct design *design;
	const struct scenario *scenario;
	double daemons;
	double starts_per_s; /* in the cell, without the factor of the scenario */
};

/* model_flows - fills flow (FLOWS_MAX entries) and returns their number */
size_t model_flows(const struct model *m, struct flow *flow);

/* Memory of one data structure of a daemon. */
struct memory_use {
	const char *role;
	const char *description;
	const char *source_path;
	double count; /* items */
	double bytes;
	bool is_limit; /* upper limit under the default settings, not reached at the target load */
};

#define MEMORY_USES_MAX 24

/* model_memory - fills memory_use (MEMORY_USES_MAX entries) and returns their number */
size_t model_memory(const struct model *m, struct memory_use *memory_use);

/* Sums over the measured values. */
struct sum {
	double messages_per_s;
	double bytes_per_s;
	double core_milli;
	double mem_bytes;
	int unmeasured; /* values that were not measured */
};

/* model_sum - sums the flows and the memory of all roles, without memory that is a limit */
struct sum model_sum(const struct model *m);

/* model_sum_role - like model_sum() for one role; NULL for all */
struct sum model_sum_role(const struct model *m, const char *role);

#endif
