#ifndef BENCH_MODEL_H
#define BENCH_MODEL_H

#include <stdbool.h>
#include <stddef.h>

#include "slopes.h"

/*
 * model - what one daemon sends, receives, computes and holds at the target, from measured slopes.
 *
 * Bytes and messages are counted at the daemon, in both directions. What was not measured is NAN.
 */
#define MODEL_DAEMONS 40

/* The target, and what it leaves open. */
struct target {
	double workers;
	double workers_per_rack;
	double dcs;
	double teams;
	double services_per_team; /* assumed */
	double running_tasks;	  /* tasks */
	double starts_peak_per_s;
	double starts_ordinary_per_s; /* assumed */
	double jobs_per_day;
	double active_jobs;		  /* with waiting tasks; assumed */
	double config_changes_per_day;	  /* of the configuration */
	double vm_events_per_day;	  /* that fail, restart or are replaced */
	double list_changes_per_vm_event; /* of the list for each of these; assumed */
	double budget_core_milli;
	double budget_mem_bytes;
	double budget_bytes_per_s;
};

extern const struct target target;

/* What may be changed about the design; today's is design_today. */
struct design {
	const char *name;
	double renew_s;
	double heartbeat_s;
	double remote_heartbeat_s;   /* between heartbeats to other data centres */
	double remote_load_report_s; /* between those that tell room */
	double reported_rooms_share; /* of the rooms that a heartbeat tells */
	double vms_poll_s;
	double vm_list_share;	   /* of the list that is read when it has changed */
	double metrics_read_share; /* of the metrics that are read once a minute */
	double progress_s;
	double read_pause_s;	/* pause between two reads of a stream */
	double worker_frames;	/* not 0: workers are spoken to in frames instead of by HTTP */
	double joint_records;	/* not 0: claims stand in one record with progress */
	double job_fields_once; /* not 0: what the tasks of a job share is sent once */
};

extern const struct design design_current;

/* One of the cases: what differs from an ordinary minute, seen from the daemon that bears most. */
struct scenario {
	const char *name;
	double starts_factor;
	double workers_factor;
	double lost_daemons_in_dc;
	double session_opens_per_s; /* sessions opened beside the usual */
	double takeover_s; /* time in which the racks of a lost daemon are taken over, or 0 */
	double config_changes_per_s;
	double vm_list_changes_per_s;  /* of the list of VMs, beside the usual */
	double snapshots;	       /* read within the minute */
	double backlog_task_ends;      /* ends of tasks read within the minute, per data centre */
	double backlog_config_changes; /* changes of the configuration likewise */
	double remote_reachable_share; /* of the daemons of other data centres that are reached */
	bool platform_unreachable;
};

extern const struct scenario scenarios[];
extern const size_t scenario_count;

/* One kind of message or work. */
struct flow {
	const char *role;
	const char *description;
	const char *link;
	const char *source_path; /* path of its code */
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
	double starts_per_s; /* in the cell, before the load's factor */
};

/* model_flows - fills flow (FLOWS_MAX entries); returns how many there are. */
size_t model_flows(const struct model *m, struct flow *flow);

/* Memory of one part of a daemon. */
struct memory_use {
	const char *role;
	const char *description;
	const char *source_path;
	double count; /* of the items */
	double bytes;
	bool is_limit; /* may grow so far under today's settings, but isn't held at the target */
};

#define MEMORY_USES_MAX 24

size_t model_memory(const struct model *m, struct memory_use *memory_use);

/* Sums over what was measured; missing counts what was not. */
struct sum {
	double messages_per_s;
	double bytes_per_s;
	double core_milli;
	double mem_bytes;
	int unmeasured;
};

struct sum model_sum(const struct model *m);
/* model_sum_role - the same for one role. */
struct sum model_sum_role(const struct model *m, const char *role);

#endif
