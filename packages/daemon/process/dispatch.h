#ifndef DAEMON_DISPATCH_H
#define DAEMON_DISPATCH_H

#include "../request/call.h"
#include "../version/confd.h"
#include "http.h"
#include "platform.h"
#include "process/jobs.h"
#include "process/metrics.h"
#include "process/loadtable.h"
#include "racks.h"

/*
 * dispatch - the coordinator of the durable jobs and services of this data centre: reads their
 * stream, claims tasks in it, hands them to owners and records their ends.
 */
struct dispatch;

struct dispatch_deps {
	const struct settings *set;
	struct members *members;
	struct peers *peers;
	struct calls *calls;
	struct loadtable *loads;
	struct platform *platform;
	struct confd *confd;
	struct racks *racks;
	struct http *http;
	struct metrics *metrics;
	uint64_t incarnation;
};

struct dispatch *dispatch_create(const struct dispatch_deps *deps);
void dispatch_destroy(struct dispatch *d);
void dispatch_start(struct dispatch *d);
/* dispatch_members_changed - this daemon may coordinate other jobs from now on. */
void dispatch_members_changed(struct dispatch *d);
/* dispatch_drain - claims nothing more and writes down what has ended. */
void dispatch_drain(struct dispatch *d);
/* dispatch_flushed - whether all that ended stands in the log; appends what does not. */
bool dispatch_flushed(struct dispatch *d);

#endif
