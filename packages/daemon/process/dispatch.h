#ifndef DAEMON_DISPATCH_H
#define DAEMON_DISPATCH_H

#include "../request/call.h"
#include "../version/config_sync.h"
#include "http.h"
#include "platform.h"
#include "process/jobs.h"
#include "process/metrics.h"
#include "process/loadtable.h"
#include "racks.h"

/*
 * dispatch - coordinates the jobs and long-running services of this data centre: reads their log
 * stream, claims tasks in it, hands them to owners and records how they ended.
 */
struct dispatch;

struct dispatch_deps {
	const struct settings *set;
	struct members *members;
	struct peers *peers;
	struct calls *calls;
	struct loadtable *loads;
	struct platform *platform;
	struct config_sync *config_sync;
	struct racks *racks;
	struct http *http;
	struct metrics *metrics;
	uint64_t incarnation;
};

struct dispatch *dispatch_create(const struct dispatch_deps *deps);
void dispatch_destroy(struct dispatch *d);
void dispatch_start(struct dispatch *d);
/* dispatch_members_changed - the set of jobs that this daemon coordinates may have changed. */
void dispatch_members_changed(struct dispatch *d);
/*
 * dispatch_drain - claims no more tasks, withdraws those that wait at owners and appends the ends
 * of tasks to the log.
 */
void dispatch_drain(struct dispatch *d);
/*
 * dispatch_flushed - whether the log has confirmed all ends of tasks; appends those that it lacks.
 */
bool dispatch_flushed(struct dispatch *d);

#endif
