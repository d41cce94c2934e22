#ifndef CORE_SESSION_H
#define CORE_SESSION_H

#include "../process/status.h"

/*
 * session - an owner's hold on one worker: epoch, lease and fencing.
 *
 * All times are of the owner's monotonic clock, which has to go on while the process is paused.
 *
 * Drives open, renew and close of the session; the caller sends what session_next() wants and
 * feeds the answers. A start may be sent only while session_may_start() holds; it has to be asked
 * again right before the bytes are written.
 */
struct session;

enum session_state {
	SESSION_CLOSED = 0,
	SESSION_OPENING, /* open sent, inventory not yet read */
	SESSION_READY,
	SESSION_FENCED, /* the worker has a newer epoch of another owner */
	SESSION_LOST,	/* unreachable: work there may still run */
	SESSION_LAPSED, /* surely lapsed: nothing of this session runs any more */
};

enum session_action {
	SESSION_WAIT = 0, /* nothing to send before session_next()'s time */
	SESSION_SEND_OPEN,
	SESSION_SEND_RENEW,
};

struct session_conf {
	uint32_t lease_ms;	/* the worker takes starts for so long after a renewal */
	uint32_t task_lease_ms; /* tasks run for so long after a renewal; at least lease_ms */
	uint32_t renew_ms;	/* interval of renewals */
	uint32_t guard_ms;	/* stop sending starts so long before the lease ends; also the
				 * longest time that an abandoned message still takes to arrive */
	uint32_t drift_ppm;	/* bound on the difference of clock rates */
	uint32_t reopen_min_ms; /* delay before opening again after being fenced or refused */
	uint32_t reopen_max_ms;
};

/* session_create - seed differs between daemons and restarts: its low bits make epochs unique. */
struct session *session_create(const struct session_conf *conf, uint64_t seed);
void session_destroy(struct session *s);

/* session_set_wanted - this daemon does (or does not) believe that it owns the worker's rack. */
void session_set_wanted(struct session *s, bool want, int64_t now_ms);
/* session_next - what to send now, and in *at_ms when to ask again. */
enum session_action session_next(struct session *s, int64_t now_ms, int64_t *at_ms);
/* session_epoch - epoch to put into the messages. */
uint64_t session_epoch(const struct session *s);

/*
 * session_sent - an open or renew is about to be written; its time is the base of the lease. One
 * that waits at the worker has to wait for much less than the lease.
 */
void session_sent(struct session *s, enum session_action action, int64_t now_ms);
/* session_opened - the worker took the epoch and gave its inventory. */
void session_opened(struct session *s, uint64_t epoch, int64_t now_ms);
void session_renewed(struct session *s, int64_t now_ms);
/* session_refused - the worker answered that newest is its epoch. */
void session_refused(struct session *s, uint64_t newest, int64_t now_ms);
/* session_expired - the worker answered that the lease lapsed: the session is opened again. */
void session_expired(struct session *s, int64_t now_ms);
/* session_unreachable - no answer came; whether the message arrived is not known. */
void session_unreachable(struct session *s, int64_t now_ms);

enum session_state session_state(const struct session *s, int64_t now_ms);
/* session_may_start - true if a start written now can't be one of a lapsed session. */
bool session_may_start(const struct session *s, int64_t now_ms);
/*
 * session_tasks_end_ms - the time after which no task started in this session, by this or an
 * earlier owner that it took over from, can still run if nothing renews it. INT64_MAX if not yet
 * known: while a message is under way, before the worker's first answer, and once fenced.
 */
int64_t session_tasks_end_ms(const struct session *s);

#endif
