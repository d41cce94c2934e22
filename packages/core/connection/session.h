#ifndef CORE_SESSION_H
#define CORE_SESSION_H

#include "../process/status.h"

/*
 * session - an owner's session with one worker: epoch, lease and fencing.
 *
 * All times are from the owner's monotonic clock, which must keep running while the process is
 * paused.
 *
 * Decides when to open and renew the session; the caller sends what session_next() returns and
 * feeds in the answers. A start may be sent only while session_may_start() is true, which must be
 * checked again right before the bytes are written.
 */
struct session;

enum session_state {
	SESSION_CLOSED = 0,
	SESSION_OPENING, /* open sent, inventory not yet received */
	SESSION_READY,
	SESSION_FENCED, /* the worker has accepted a newer epoch of another owner */
	SESSION_LOST,	/* unreachable; tasks may still run there */
	SESSION_LAPSED, /* certainly lapsed: no task of this session runs any more */
};

enum session_action {
	SESSION_WAIT = 0, /* nothing to send before the time set by session_next() */
	SESSION_SEND_OPEN,
	SESSION_SEND_RENEW,
};

struct session_conf {
	uint32_t lease_ms;	/* how long the worker accepts starts after a renewal */
	uint32_t task_lease_ms; /* how long tasks run after a renewal; at least lease_ms */
	uint32_t renew_ms;	/* renewal interval */
	uint32_t guard_ms;	/* no starts are sent in the last guard_ms of the lease; also the
				 * maximum delay of a message that was given up */
	uint32_t drift_ppm;	/* maximum difference of clock rates */
	uint32_t reopen_min_ms; /* delay before opening again after being fenced or refused */
	uint32_t reopen_max_ms;
};

/*
 * session_create - seed must differ between daemons and between restarts, because its low bits make
 * epochs unique.
 */
struct session *session_create(const struct session_conf *conf, uint64_t seed);
void session_destroy(struct session *s);

/* session_set_wanted - sets whether this daemon believes that it owns the worker's rack. */
void session_set_wanted(struct session *s, bool want, int64_t now_ms);
/* session_next - returns what to send now, and sets *at_ms to the time of the next call. */
enum session_action session_next(struct session *s, int64_t now_ms, int64_t *at_ms);
/* session_epoch - epoch to send in messages. */
uint64_t session_epoch(const struct session *s);

/*
 * session_sent - an open or renew is about to be written. The lease counts from now_ms, so the
 * worker must handle the message in much less time than the lease.
 */
void session_sent(struct session *s, enum session_action action, int64_t now_ms);
/* session_opened - the worker accepted the epoch and returned its inventory. */
void session_opened(struct session *s, uint64_t epoch, int64_t now_ms);
void session_renewed(struct session *s, int64_t now_ms);
/* session_refused - the worker answered that its epoch is newest. */
void session_refused(struct session *s, uint64_t newest, int64_t now_ms);
/* session_expired - the worker answered that the lease has lapsed: the session is reopened. */
void session_expired(struct session *s, int64_t now_ms);
/* session_unreachable - no answer; the message may or may not have arrived. */
void session_unreachable(struct session *s, int64_t now_ms);

enum session_state session_state(const struct session *s, int64_t now_ms);
/* session_may_start - true if a start may be written now: the session can't have lapsed yet. */
bool session_may_start(const struct session *s, int64_t now_ms);
/*
 * session_tasks_end_ms - time after which no task started in this session, by this owner or an
 * earlier one that it took over from, can still run unless renewed. INT64_MAX if not known: while a
 * message is in flight, before the worker's first answer, and once fenced.
 */
int64_t session_tasks_end_ms(const struct session *s);

#endif
