#ifndef DAEMON_DISPATCH_PRIV_H
#define DAEMON_DISPATCH_PRIV_H

#include "dispatch.h"
#include "taskrun.h"

/* State shared by the parts of the coordinator of jobs: dispatch.c, services.c and jobsapi.c. */
struct dispatch {
	struct dispatch_deps deps;
	char *self;   /* "NAME@INCARNATION", as in claims */
	char *stream; /* of this data centre's jobs */
	struct jobs *jobs;
	struct tail *tail;
	GHashTable *runs;	      /* "JOB/INDEX" -> struct taskrun */
	GHashTable *unconfirmed_ends; /* "JOB/INDEX/ATTEMPT" of ends noted here that the log has not
					 shown yet */
	GHashTable *claiming;	      /* jobs with a claim being appended */
	GHashTable *appended_services; /* name -> what was appended for it last */
	GPtrArray *
		pending_queries; /* of struct pending_query, questions whose record is to be read */
	GHashTable *accepted_jobs;    /* ids of jobs taken here -> their data centre */
	GPtrArray *pending_submits;   /* of struct pending_submit, while their record is awaited */
	GBytes *unconfirmed_progress; /* not yet confirmed by the log */
	uint64_t records_since_snapshot;
	uint64_t progress_next_offset; /* offset after the last progress that was appended here */
	uint64_t claim_next_offset;    /* offset after the last claim that was appended here */
	int64_t snapshot_ms;	       /* when the last snapshot was due */
	int64_t runs_checked_ms;       /* when the runs were last compared with what is wanted */
	guint tick_timer;
	guint progress_timer;
	guint work_source;
	bool appending_progress;
	bool caught_up;
	bool draining;
};

/* dispatch_schedule_work - does what can be done once the loop is free. */
void dispatch_schedule_work(struct dispatch *d);
/* dispatch_coordinates - whether this daemon is the coordinator of a job, as far as it knows. */
bool dispatch_coordinates(const struct dispatch *d, const char *job);
/* dispatch_reconcile_services - submits or resizes the jobs of services that are kept running here.
 */
void dispatch_reconcile_services(struct dispatch *d);

void jobsapi_create(struct dispatch *d);
void jobsapi_destroy(struct dispatch *d);
/* jobsapi_record_applied - a record was read: submits that waited for it can be answered. */
void jobsapi_record_applied(struct dispatch *d);

/*
 * jobsapi_cancel - appends the cancelling of a job to the stream of its data centre and answers
 * msg, which is paused.
 */
void jobsapi_cancel(struct dispatch *d, SoupServerMessage *msg, const char *id, const char *dc);

/* jobsview_* - JSON texts, owned by the caller (g_free); NULL if there is no such job here. */
char *jobsview_list(struct dispatch *d);
char *jobsview_job(struct dispatch *d, const char *id);
/* jobsview_explain - why a job waits, in the words of whoever holds its first waiting task. */
char *jobsview_explain(struct dispatch *d, const char *id);

/*
 * joblookup_start - asks one daemon of each other data centre for a job ("job" or "explain") and
 * answers msg; with cancel, cancels the job where it is found.
 */
void joblookup_start(struct dispatch *d, SoupServerMessage *msg, const char *kind, const char *id,
		     bool cancel);
void joblookup_create(struct dispatch *d);
void joblookup_destroy(struct dispatch *d);
/* joblookup_accepted - a job was taken here; questions about it go to its data centre and wait. */
void joblookup_accepted(struct dispatch *d, const char *id, const char *dc);
/* joblookup_record_applied - a record was read: questions that waited for it can be answered. */
void joblookup_record_applied(struct dispatch *d);
/* joblookup_serve - answers such a question of another daemon. */
void joblookup_serve(void *ctx, struct call *c, const Kw__Call *req);

#endif
