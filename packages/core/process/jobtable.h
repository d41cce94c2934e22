#ifndef CORE_JOBTABLE_H
#define CORE_JOBTABLE_H

#include <glib.h>

#include "jobs.h"
#include "taskranges.h"
#include "uuid7.h"

/*
 * jobtable - inside of struct jobs, shared by the files that implement jobs.h.
 */
struct job {
	struct job_spec spec;
	uint8_t id[UUID7_BYTES];
	struct task_ranges tasks;
	GList all_link;	  /* in jobs.all */
	GList state_link; /* in jobs.live or jobs.ended */
	int64_t ended_ms;
	bool ended;
	bool cancelled;
	uint8_t state; /* enum job_state */
};

/* The end of a task that is not yet in a progress record. */
struct task_end {
	uint8_t id[UUID7_BYTES];
	uint32_t index;
	uint32_t attempt;
	uint32_t outcome;
};

struct won_claim {
	struct job *job;
	uint32_t first;
	uint32_t count;
	uint32_t attempt;
	int64_t use_until_ms;
};

/* A snapshot of which some parts have been read. */
struct staged_snapshot {
	GPtrArray *jobs; /* struct job; NULL if there is none */
	char *writer;
	uint64_t base;
	uint32_t next_part;
};

struct jobs {
	struct jobs_conf conf;
	char *self;
	bool based;
	uint64_t next_offset;
	int64_t now_ms; /* latest time given */
	uint64_t skipped;
	GHashTable *by_id; /* struct job by id */
	GQueue all;	   /* by time of submission */
	GQueue live;
	GQueue ended;	    /* by time of end */
	GPtrArray *daemons; /* names by handle, from 1 */
	GHashTable *sent;   /* nonce to time, both int64_t */
	GArray *won;	    /* struct won_claim */
	GArray *pending;    /* struct task_end */
	struct staged_snapshot staged;
};

struct job *jobtable_find(const struct jobs *j, const char *id);
struct job *jobtable_find_id(const struct jobs *j, const uint8_t id[UUID7_BYTES]);
struct job *jobtable_new(const struct job_spec *spec);
void jobtable_free(struct job *job);
/* jobtable_add - takes a job into the table, and over its ownership. */
void jobtable_add(struct jobs *j, struct job *job, int64_t now_ms);
/* jobtable_refresh - works out the state of a job after its tasks changed. */
void jobtable_refresh(struct jobs *j, struct job *job, int64_t now_ms);
/* jobtable_daemon - handle of a daemon's name. */
uint32_t jobtable_daemon(struct jobs *j, const char *name);
const char *jobtable_daemon_name(const struct jobs *j, uint32_t handle);

/* jobclaims_apply - a claim record was read. */
void jobclaims_apply(struct jobs *j, struct job *job, const struct job_start *claim,
		     const char *daemon, uint64_t nonce, int64_t now_ms);
/* jobclaims_end - the end of an attempt was read for count tasks. */
void jobclaims_end(const struct jobs *j, struct job *job, uint32_t first, uint32_t count,
		   uint32_t attempt, enum outcome out);

typedef struct Kwjobs__Spec Kwjobs__Spec;
typedef struct Kwjobs__Snapshot Kwjobs__Snapshot;
typedef struct Kwjobs__JobRecord Kwjobs__JobRecord;

/* jobrecord_spec - false if the decoded specification is not valid. */
bool jobrecord_spec(const Kwjobs__Spec *in, struct job_spec *spec);
/* jobrecord_fill - out refers to spec, and to id as storage. */
bool jobrecord_fill(const struct job_spec *spec, Kwjobs__Spec *out, uint8_t id[UUID7_BYTES]);
uint8_t *jobrecord_pack(const Kwjobs__JobRecord *record, size_t *size);

/* jobsnapshot_apply - one part was read. */
bool jobsnapshot_apply(struct jobs *j, const Kwjobs__Snapshot *part, int64_t now_ms);
void jobsnapshot_drop(struct jobs *j);

#endif
