#ifndef DAEMON_DISPATCH_PRIV_H
#define DAEMON_DISPATCH_PRIV_H

#include "dispatch.h"
#include "taskrun.h"

/* State shared by dispatch.c, services.c, jobsapi.c, jobsview.c and joblookup.c. */
struct dispatch {
	struct dispatch_deps deps;
	char *self;   /* claimant name "NAME@INCARNATION" */
	char *stream; /* name of this data centre's job stream */
	struct jobs *jobs;
	struct tail *tail;
	GHashTable *runs;	       /* "JOB/INDEX" -> struct taskrun */
	GHashTable *unconfirmed_ends;  /* set of "JOB/INDEX/ATTEMPT", ends not read back yet */
	GHashTable *claiming;	       /* set of jobs with an append of a claim in flight */
	GHashTable *appended_services; /* name -> struct appended_spec */
	GPtrArray *pending_queries;    /* of struct pending_query */
	GHashTable *accepted_jobs;     /* id of a job accepted here -> data centre */
	GPtrArray *pending_submits;    /* of struct pending_submit */
	GBytes *unconfirmed_progress;  /* record to append until the log confirms it */
	uint64_t records_since_snapshot;
	uint64_t progress_next_offset; /* offset after the last progress record of this daemon */
	uint64_t claim_next_offset;    /* offset after the last claim of this daemon */
	int64_t snapshot_ms;	       /* when the last snapshot was due */
	int64_t runs_checked_ms;       /* when unwanted tasks were last stopped */
	guint tick_timer;
	guint progress_timer;
	guint work_source;
	bool appending_progress;
	bool caught_up;
	bool draining;
};

/* dispatch_schedule_work - claims, starts and stops tasks once the loop is idle. */
void dispatch_schedule_work(struct dispatch *d);
/* dispatch_coordinates - whether this daemon coordinates the job, by its view of the members. */
bool dispatch_coordinates(const struct dispatch *d, const char *job);
/* dispatch_reconcile_services - submits, resizes or ends the jobs of long-running services. */
void dispatch_reconcile_services(struct dispatch *d);

void jobsapi_create(struct dispatch *d);
void jobsapi_destroy(struct dispatch *d);
/* jobsapi_record_applied - answers submits whose record has been read back. */
void jobsapi_record_applied(struct dispatch *d);

/*
 * jobsapi_cancel - appends a cancellation to the stream of the data centre dc and answers msg,
 * which has to be paused.
 */
void jobsapi_cancel(struct dispatch *d, SoupServerMessage *msg, const char *id, const char *dc);

/* jobsview_* - JSON text, owned by the caller (g_free). NULL if the job is not known here. */
char *jobsview_list(struct dispatch *d);
char *jobsview_job(struct dispatch *d, const char *id);
/*
 * jobsview_explain - why a job waits: the reason given by the local owner of one of its tasks, else
 * a general one.
 */
char *jobsview_explain(struct dispatch *d, const char *id);

/*
 * joblookup_start - asks one daemon of each other data centre for a job ("job" or "explain") and
 * answers msg. With cancel, the job is cancelled in the data centre that has it.
 */
void joblookup_start(struct dispatch *d, SoupServerMessage *msg, const char *kind, const char *id,
		     bool cancel);
void joblookup_create(struct dispatch *d);
void joblookup_destroy(struct dispatch *d);
/*
 * joblookup_accepted - remembers the data centre of a job accepted here. Queries for the job go
 * there and wait until its record has been read.
 */
void joblookup_accepted(struct dispatch *d, const char *id, const char *dc);
/* joblookup_record_applied - answers queries whose record has been read. */
void joblookup_record_applied(struct dispatch *d);
/* joblookup_serve - answers a query of another daemon. */
void joblookup_serve(void *ctx, struct call *c, const Kw__Call *req);

#endif
