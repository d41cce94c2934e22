#include <glib.h>

#include "session.h"

/* The low bits of an epoch identify the owner, so that two owners never use the same epoch. */
#define EPOCH_OWNER_BITS 20
#define EPOCH_OWNER_MASK ((UINT64_C(1) << EPOCH_OWNER_BITS) - 1)
#define PPM		 1000000

struct session {
	struct session_conf conf;
	GRand *rand;
	uint64_t owner_tag;
	uint64_t epoch;		/* of the current or next session */
	uint64_t highest_epoch; /* highest epoch known to be used at the worker */
	enum session_state state;
	enum session_action in_flight;
	bool wanted;
	bool lapsed;		/* no task from before the next open runs any more */
	uint32_t delay_ms;	/* last delay before reopening */
	int64_t sent_ms;	/* of the message in flight */
	int64_t lease_start_ms; /* when the lease began, by this clock */
	int64_t answered_ms;	/* last answer that opened or renewed the session; 0 if none */
	int64_t abandoned_ms;	/* when a message that may still arrive was given up; 0 if none */
	int64_t ready_since_ms; /* when the session was opened; 0 if it isn't open */
	int64_t retry_ms;	/* nothing is sent before this time */
};

static int64_t add_drift(const struct session *s, int64_t ms)
{
	return ms + ms * s->conf.drift_ppm / PPM + 1;
}

static int64_t start_deadline_ms(const struct session *s)
{
	int64_t lease = s->conf.lease_ms;

	return s->lease_start_ms + lease - lease * s->conf.drift_ppm / PPM - s->conf.guard_ms;
}

struct session *session_create(const struct session_conf *conf, uint64_t seed)
{
	struct session *s;

	g_assert(conf->lease_ms <= conf->task_lease_ms);
	g_assert(conf->guard_ms < conf->lease_ms);
	s = g_new0(struct session, 1);
	s->conf = *conf;
	s->owner_tag = seed & EPOCH_OWNER_MASK;
	s->rand = g_rand_new_with_seed((guint32)(seed ^ (seed >> 32)));
	return s;
}

void session_destroy(struct session *s)
{
	if (!s)
		return;
	g_rand_free(s->rand);
	g_free(s);
}

static void forget_worker(struct session *s)
{
	s->ready_since_ms = 0;
	s->answered_ms = 0;
	s->abandoned_ms = 0;
	s->lapsed = false;
}

static void reopen_now(struct session *s, int64_t now_ms)
{
	s->state = SESSION_CLOSED;
	s->retry_ms = now_ms;
}

/* Exponential backoff, with up to half of the delay as jitter so that two owners diverge. */
static void backoff(struct session *s, int64_t now_ms)
{
	uint32_t delay = MAX(s->conf.reopen_min_ms, MIN(s->delay_ms * 2, s->conf.reopen_max_ms));

	s->delay_ms = delay;
	s->retry_ms = now_ms + delay + g_rand_int_range(s->rand, 0, (gint32)(delay / 2) + 1);
}

void session_set_wanted(struct session *s, bool want, int64_t now_ms)
{
	if (s->wanted == want)
		return;
	/* Another owner may have taken the worker meanwhile, so what is known of it is outdated. */
	s->wanted = want;
	s->in_flight = SESSION_WAIT;
	forget_worker(s);
	reopen_now(s, now_ms);
}

/*
 * The worker is retried while its tasks can still be renewed. After that it isn't contacted until
 * the tasks have certainly ended, since any message that arrives late would prolong their lease.
 */
static bool may_contact(const struct session *s, int64_t now_ms)
{
	if (s->lapsed || !s->answered_ms || !s->abandoned_ms)
		return true;
	return now_ms < s->answered_ms + s->conf.task_lease_ms;
}

static void update_lapsed(struct session *s, int64_t now_ms)
{
	if (s->state != SESSION_LOST || now_ms < session_tasks_end_ms(s))
		return;
	s->lapsed = true;
}

static enum session_action next_not_ready(struct session *s, int64_t now_ms, int64_t *at_ms)
{
	update_lapsed(s, now_ms);
	if (!may_contact(s, now_ms)) {
		*at_ms = session_tasks_end_ms(s);
		return SESSION_WAIT;
	}
	if (now_ms < s->retry_ms) {
		*at_ms = s->retry_ms;
		return SESSION_WAIT;
	}
	if (s->ready_since_ms && now_ms < start_deadline_ms(s))
		return SESSION_SEND_RENEW;
	s->epoch =
		(((s->highest_epoch >> EPOCH_OWNER_BITS) + 1) << EPOCH_OWNER_BITS) | s->owner_tag;
	return SESSION_SEND_OPEN;
}

enum session_action session_next(struct session *s, int64_t now_ms, int64_t *at_ms)
{
	int64_t renew_ms = s->lease_start_ms + s->conf.renew_ms;

	*at_ms = INT64_MAX;
	if (!s->wanted)
		return SESSION_WAIT;
	if (s->in_flight != SESSION_WAIT) {
		/* Nothing to send, but session_may_start() changes at that time. */
		if (session_may_start(s, now_ms))
			*at_ms = start_deadline_ms(s);
		return SESSION_WAIT;
	}
	*at_ms = now_ms;
	if (s->state == SESSION_READY && now_ms >= start_deadline_ms(s)) {
		s->state = SESSION_LOST;
		s->retry_ms = now_ms;
	}
	if (s->state != SESSION_READY)
		return next_not_ready(s, now_ms, at_ms);
	if (now_ms >= renew_ms)
		return SESSION_SEND_RENEW;
	*at_ms = MIN(renew_ms, start_deadline_ms(s));
	return SESSION_WAIT;
}

uint64_t session_epoch(const struct session *s)
{
	return s->epoch;
}

void session_sent(struct session *s, enum session_action action, int64_t now_ms)
{
	g_assert(s->wanted && s->in_flight == SESSION_WAIT && action != SESSION_WAIT);
	s->in_flight = action;
	s->sent_ms = now_ms;
	if (action != SESSION_SEND_OPEN)
		return;
	s->highest_epoch = MAX(s->highest_epoch, s->epoch);
	s->ready_since_ms = 0;
	s->state = SESSION_OPENING;
}

static void extend_lease(struct session *s, int64_t now_ms)
{
	s->in_flight = SESSION_WAIT;
	s->state = SESSION_READY;
	s->lease_start_ms = s->sent_ms;
	s->answered_ms = now_ms;
	if (s->ready_since_ms && now_ms - s->ready_since_ms >= s->conf.reopen_max_ms)
		s->delay_ms = 0;
}

void session_opened(struct session *s, uint64_t epoch, int64_t now_ms)
{
	if (s->in_flight != SESSION_SEND_OPEN || epoch != s->epoch)
		return;
	extend_lease(s, now_ms);
	s->ready_since_ms = MAX(now_ms, 1);
	/* The worker fences lower epochs, so earlier messages can't have any effect now. */
	s->abandoned_ms = 0;
	s->lapsed = false;
}

void session_renewed(struct session *s, int64_t now_ms)
{
	if (s->in_flight != SESSION_SEND_RENEW)
		return;
	extend_lease(s, now_ms);
}

void session_refused(struct session *s, uint64_t newest, int64_t now_ms)
{
	bool first = s->in_flight == SESSION_SEND_OPEN && !s->answered_ms && !s->delay_ms &&
		     s->state == SESSION_OPENING && newest > s->highest_epoch;

	/* Ignore a late answer to a message of an earlier session. */
	if (!s->wanted || (newest <= s->epoch && s->in_flight == SESSION_WAIT))
		return;
	s->highest_epoch = MAX(s->highest_epoch, newest);
	s->in_flight = SESSION_WAIT;
	forget_worker(s);
	s->state = SESSION_FENCED;
	backoff(s, now_ms);
	if (first)
		s->retry_ms = now_ms;
}

void session_expired(struct session *s, int64_t now_ms)
{
	if (!s->wanted || s->state == SESSION_OPENING || s->state == SESSION_FENCED)
		return;
	s->in_flight = SESSION_WAIT;
	s->ready_since_ms = 0;
	reopen_now(s, now_ms);
}

void session_unreachable(struct session *s, int64_t now_ms)
{
	if (s->in_flight == SESSION_WAIT)
		return;
	if (!s->lapsed)
		s->abandoned_ms = MAX(now_ms, 1);
	s->in_flight = SESSION_WAIT;
	s->state = SESSION_LOST;
	backoff(s, now_ms);
}

enum session_state session_state(const struct session *s, int64_t now_ms)
{
	if (!s->wanted)
		return SESSION_CLOSED;
	if (s->lapsed || (s->state == SESSION_LOST && now_ms >= session_tasks_end_ms(s)))
		return SESSION_LAPSED;
	if (s->state == SESSION_READY && now_ms >= start_deadline_ms(s))
		return SESSION_LOST;
	return s->state;
}

bool session_may_start(const struct session *s, int64_t now_ms)
{
	return s->wanted && s->state == SESSION_READY && now_ms < start_deadline_ms(s);
}

int64_t session_tasks_end_ms(const struct session *s)
{
	int64_t task = add_drift(s, s->conf.task_lease_ms);
	int64_t dead;

	if (!s->answered_ms || (s->in_flight != SESSION_WAIT && !s->lapsed))
		return INT64_MAX;
	/*
	 * A frozen worker handles a start or renewal left in its buffers when it wakes, if its
	 * lease hasn't lapsed by then: so the lease counts twice.
	 */
	dead = s->answered_ms + 2 * task + s->conf.guard_ms;
	if (s->abandoned_ms)
		dead = MAX(dead, s->abandoned_ms + task + s->conf.guard_ms);
	return dead;
}
