#ifndef CORE_JOBTABLE_H
#define CORE_JOBTABLE_H

#include <glib.h>

#include "jobs.h"
#include "taskranges.h"
#include "uuid7.h"

/*
 * jobtable - internals of struct jobs, shared by the files that implement jobs.h.
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

/* Outcome of a task that is not yet in a progress record. */
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

/* A snapshot that has been read in part. */
struct staged_snapshot {
	GPtrArray *jobs; /* struct job; NULL if there is no such snapshot */
	char *writer;
	uint64_t base;
	uint32_t next_part;
};

struct jobs {
	struct jobs_conf conf;
	char *self;
	bool bootstrapped;
	uint64_t next_offset;
	int64_t now_ms; /* latest time passed in */
	uint64_t skipped;
	GHashTable *by_id; /* struct job by id */
	GQueue all;	   /* in order of submission */
	GQueue live;
	GQueue ended;		 /* in order of end */
	GPtrArray *daemons;	 /* names; handle - 1 is the index */
	GHashTable *sent_claims; /* time of sending by nonce, both int64_t */
	GArray *won_claims;	 /* struct won_claim */
	GArray *pending_ends;	 /* struct task_end */
	struct staged_snapshot staged;
};

struct job *jobtable_find(const struct jobs *j, const char *id);
struct job *jobtable_find_id(const struct jobs *j, const uint8_t id[UUID7_BYTES]);
struct job *jobtable_new(const struct job_spec *spec);
void jobtable_free(struct job *job);
/* jobtable_add - adds a job to the table and takes ownership of it. */
void jobtable_add(struct jobs *j, struct job *job, int64_t now_ms);
/* jobtable_update_state - recomputes the state of a job after a change of its tasks. */
void jobtable_update_state(struct jobs *j, struct job *job, int64_t now_ms);
/* jobtable_daemon_handle - handle of a daemon's name, from 1; adds the name if it is new. */
uint32_t jobtable_daemon_handle(struct jobs *j, const char *name);
const char *jobtable_daemon_name(const struct jobs *j, uint32_t handle);

/* jobclaims_apply - applies a claim record. */
void jobclaims_apply(struct jobs *j, struct job *job, const struct job_start *claim,
		     const char *daemon, uint64_t nonce, int64_t now_ms);
/* jobclaims_end - applies the outcome of an attempt to count tasks from first. */
void jobclaims_end(const struct jobs *j, struct job *job, uint32_t first, uint32_t count,
		   uint32_t attempt, enum outcome out);

typedef struct Kwjobs__Spec Kwjobs__Spec;
typedef struct Kwjobs__Snapshot Kwjobs__Snapshot;
typedef struct Kwjobs__JobRecord Kwjobs__JobRecord;

/* jobrecord_decode_spec - converts a decoded specification; false if it is not valid. */
bool jobrecord_decode_spec(const Kwjobs__Spec *in, struct job_spec *spec);
/*
 * jobrecord_encode_spec - fills out, which then points into spec and id; false if spec is not
 * valid.
 */
bool jobrecord_encode_spec(const struct job_spec *spec, Kwjobs__Spec *out, uint8_t id[UUID7_BYTES]);
uint8_t *jobrecord_pack(const Kwjobs__JobRecord *record, size_t *size);

/* jobsnapshot_apply - applies one part of a snapshot; false if it is malformed. */
bool jobsnapshot_apply(struct jobs *j, const Kwjobs__Snapshot *part, int64_t now_ms);
/* jobsnapshot_discard - drops the snapshot that has been read in part. */
void jobsnapshot_discard(struct jobs *j);

#endif
