#include <criterion/criterion.h>

#include "connection/session.h"

enum op { OPEN, OPENED, RENEW, RENEWED, REFUSED, EXPIRED, LOSE, WANT, UNWANT, LOOK };

struct step {
	int64_t at_ms;
	enum op op;
	uint64_t newest; /* for REFUSED: the worker's epoch, relative to the session's own */
	enum session_state state;
	bool may_start;
	enum session_action next;
};

static const struct session_conf conf = {
	.lease_ms = 100,
	.task_lease_ms = 300,
	.renew_ms = 30,
	.guard_ms = 10,
	.drift_ppm = 10000,
	.reopen_min_ms = 20,
	.reopen_max_ms = 80,
};

static void apply_step(struct session *s, const struct step *p)
{
	int64_t at_ms;

	if (p->op == OPEN || p->op == RENEW)
		session_next(s, p->at_ms, &at_ms);
	switch (p->op) {
	case OPEN:
		return session_sent(s, SESSION_SEND_OPEN, p->at_ms);
	case OPENED:
		return session_opened(s, session_epoch(s), p->at_ms);
	case RENEW:
		return session_sent(s, SESSION_SEND_RENEW, p->at_ms);
	case RENEWED:
		return session_renewed(s, p->at_ms);
	case REFUSED:
		return session_refused(s, session_epoch(s) + p->newest, p->at_ms);
	case EXPIRED:
		return session_expired(s, p->at_ms);
	case LOSE:
		return session_unreachable(s, p->at_ms);
	case WANT:
	case UNWANT:
		return session_set_wanted(s, p->op == WANT, p->at_ms);
	case LOOK:
		return;
	}
}

struct script {
	const char *name;
	struct step step[12];
};

#define WANT_SESSION                                                                               \
	{                                                                                          \
		1000, WANT, 0, SESSION_CLOSED, false, SESSION_SEND_OPEN                            \
	}
#define SEND_OPEN                                                                                  \
	{                                                                                          \
		1000, OPEN, 0, SESSION_OPENING, false, SESSION_WAIT                                \
	}
#define OPEN_ANSWERED                                                                              \
	{                                                                                          \
		1005, OPENED, 0, SESSION_READY, true, SESSION_WAIT                                 \
	}

static const struct script scripts[] = {
	{ "the lease counts from the sending, less guard and drift",
	  { WANT_SESSION,
	    SEND_OPEN,
	    { 1050, OPENED, 0, SESSION_READY, true, SESSION_SEND_RENEW },
	    { 1088, LOOK, 0, SESSION_READY, true, SESSION_SEND_RENEW },
	    { 1089, LOOK, 0, SESSION_LOST, false, SESSION_SEND_OPEN } } },
	{ "an answer after a pause longer than the lease has no effect",
	  { WANT_SESSION,
	    SEND_OPEN,
	    OPEN_ANSWERED,
	    { 1030, RENEW, 0, SESSION_READY, true, SESSION_WAIT },
	    { 1200, RENEWED, 0, SESSION_LOST, false, SESSION_SEND_OPEN } } },
	{ "reopens at once after the first refusal, with backoff after the next",
	  { WANT_SESSION,
	    SEND_OPEN,
	    { 1005, REFUSED, 9 << 20, SESSION_FENCED, false, SESSION_SEND_OPEN },
	    { 1005, OPEN, 0, SESSION_OPENING, false, SESSION_WAIT },
	    { 1006, REFUSED, 1 << 20, SESSION_FENCED, false, SESSION_WAIT },
	    { 1150, LOOK, 0, SESSION_FENCED, false, SESSION_SEND_OPEN } } },
	{ "fenced by a newer owner while open",
	  { WANT_SESSION,
	    SEND_OPEN,
	    OPEN_ANSWERED,
	    { 1010, REFUSED, 1 << 20, SESSION_FENCED, false, SESSION_WAIT },
	    { 1011, RENEWED, 0, SESSION_FENCED, false, SESSION_WAIT } } },
	{ "a late refusal of an earlier message changes nothing",
	  { WANT_SESSION,
	    SEND_OPEN,
	    OPEN_ANSWERED,
	    { 1010, REFUSED, 0, SESSION_READY, true, SESSION_WAIT } } },
	{ "the worker answers that the lease has lapsed",
	  { WANT_SESSION,
	    SEND_OPEN,
	    OPEN_ANSWERED,
	    { 1010, EXPIRED, 0, SESSION_CLOSED, false, SESSION_SEND_OPEN } } },
	{ "a lost renewal is resent, then nothing is sent until all tasks have ended",
	  { WANT_SESSION,
	    SEND_OPEN,
	    OPEN_ANSWERED,
	    { 1030, RENEW, 0, SESSION_READY, true, SESSION_WAIT },
	    { 1040, LOSE, 0, SESSION_LOST, false, SESSION_WAIT },
	    { 1071, LOOK, 0, SESSION_LOST, false, SESSION_SEND_RENEW },
	    { 1304, LOOK, 0, SESSION_LOST, false, SESSION_SEND_OPEN },
	    { 1305, LOOK, 0, SESSION_LOST, false, SESSION_WAIT },
	    { 1622, LOOK, 0, SESSION_LOST, false, SESSION_WAIT },
	    { 1623, LOOK, 0, SESSION_LAPSED, false, SESSION_SEND_OPEN } } },
	{ "not wanted any more",
	  { WANT_SESSION,
	    SEND_OPEN,
	    OPEN_ANSWERED,
	    { 1010, UNWANT, 0, SESSION_CLOSED, false, SESSION_WAIT },
	    { 1020, WANT, 0, SESSION_CLOSED, false, SESSION_SEND_OPEN },
	    { 1020, OPEN, 0, SESSION_OPENING, false, SESSION_WAIT },
	    { 1030, LOSE, 0, SESSION_LOST, false, SESSION_WAIT },
	    { 9000, LOOK, 0, SESSION_LOST, false, SESSION_SEND_OPEN } } },
};

Test(session, states_of_scripted_sessions)
{
	for (size_t i = 0; i < sizeof(scripts) / sizeof(scripts[0]); i++) {
		struct session *s = session_create(&conf, 5);
		int64_t at_ms;

		for (const struct step *p = scripts[i].step; p->at_ms; p++) {
			const char *name = scripts[i].name;

			apply_step(s, p);
			cr_expect_eq(session_state(s, p->at_ms), p->state, "%s at %d: state %d",
				     name, (int)p->at_ms, session_state(s, p->at_ms));
			cr_expect_eq(session_may_start(s, p->at_ms), p->may_start, "%s at %d", name,
				     (int)p->at_ms);
			cr_expect_eq(session_next(s, p->at_ms, &at_ms), p->next, "%s at %d: next",
				     name, (int)p->at_ms);
		}
		session_destroy(s);
	}
}

/* How the link to the worker fails LINK_FAIL_MS after the worker froze. */
enum link { LINK_UP, LINK_CUT, LINK_LATE };

#define TIMEOUT_MS   30
#define LINK_FAIL_MS 20

/* Model of a worker that freezes once and, on waking, first stops tasks whose lease lapsed. */
struct model {
	enum link link;
	uint32_t retry_ms;
	int64_t freeze_ms, wake_ms;
	int64_t lease_end_ms, tasks_end_ms;
	int64_t late_ms; /* when a delayed message arrives */
	enum session_action late, buffered;
	bool accepted; /* the last message */
};

static bool frozen(const struct model *w, int64_t now_ms)
{
	return now_ms >= w->freeze_ms && now_ms < w->wake_ms;
}

static bool link_up(const struct model *w, int64_t now_ms)
{
	return w->link == LINK_UP || now_ms < w->freeze_ms + LINK_FAIL_MS;
}

static void deliver(struct model *w, enum session_action action, int64_t now_ms)
{
	if (frozen(w, now_ms))
		w->buffered = action;
	w->accepted = action == SESSION_SEND_OPEN || now_ms < w->lease_end_ms;
	if (frozen(w, now_ms) || !w->accepted)
		return;
	w->lease_end_ms = now_ms + conf.lease_ms;
	if (w->tasks_end_ms > now_ms || w->tasks_end_ms == 0)
		w->tasks_end_ms = now_ms + conf.task_lease_ms;
}

static void send(struct model *w, enum session_action action, int64_t now_ms)
{
	if (link_up(w, now_ms))
		return deliver(w, action, now_ms);
	w->late = w->link == LINK_LATE ? action : SESSION_WAIT;
	w->late_ms = now_ms + TIMEOUT_MS + conf.guard_ms;
}

static void wake(struct model *w, int64_t now_ms)
{
	if (w->late && now_ms == w->late_ms)
		deliver(w, w->late, now_ms);
	if (w->buffered && now_ms == w->wake_ms)
		deliver(w, w->buffered, now_ms);
}

/*
 * Runs one owner against the model. Counts the instants at which the owner takes the session for
 * lapsed while tasks still run, or may start tasks after the worker's lease has lapsed.
 */
static int count_wrong(struct model w, int *lapses)
{
	struct session_conf c = conf;
	struct session *s;
	int64_t sent_ms = 0, at_ms;
	enum session_action sent = SESSION_WAIT, next;
	int wrong = 0;

	c.reopen_min_ms = w.retry_ms;
	c.reopen_max_ms = w.retry_ms;
	s = session_create(&c, 7);
	session_set_wanted(s, true, 1);
	for (int64_t t = 1; t < 2500; t++) {
		bool answers = !frozen(&w, t) && link_up(&w, t);

		wake(&w, t);
		if (sent == SESSION_SEND_OPEN && answers)
			session_opened(s, session_epoch(s), t);
		else if (sent && answers && w.accepted)
			session_renewed(s, t);
		else if (sent && answers)
			session_expired(s, t);
		else if (sent && t - sent_ms >= TIMEOUT_MS)
			session_unreachable(s, t);
		sent = sent && !answers && t - sent_ms < TIMEOUT_MS ? sent : SESSION_WAIT;
		next = session_next(s, t, &at_ms);
		if (next) {
			session_sent(s, sent = next, sent_ms = t);
			send(&w, next, t);
		}
		if (session_state(s, t) == SESSION_LAPSED && ++*lapses && t < w.tasks_end_ms)
			wrong++;
		if (session_may_start(s, t) && !frozen(&w, t) && t >= w.lease_end_ms)
			wrong++;
	}
	if (w.link == LINK_UP && session_state(s, 2499) != SESSION_READY)
		wrong++;
	session_destroy(s);
	return wrong;
}

Test(session, not_lapsed_while_tasks_may_still_run)
{
	static const struct model cases[] = {
		{ LINK_UP, 20 }, { LINK_CUT, 40 }, { LINK_CUT, 250 }, { LINK_LATE, 20 }
	};
	int lapses = 0;

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++)
		for (int64_t at = 40; at < 140; at += 6)
			for (int64_t length = 5; length < 1200; length += 7) {
				struct model w = cases[i];

				w.freeze_ms = at;
				w.wake_ms = at + length;
				cr_assert_eq(count_wrong(w, &lapses), 0,
					     "case %zu, frozen at %d for %d ms", i, (int)at,
					     (int)length);
			}
	cr_assert_gt(lapses, 1000);
}

Test(session, epochs_of_two_owners_differ_and_rise)
{
	struct session *s[2] = { session_create(&conf, 1), session_create(&conf, 2) };
	uint64_t newest = 0;
	int64_t at_ms;

	for (int i = 0; i < 2; i++)
		session_set_wanted(s[i], true, 1);
	for (int64_t t = 1; t < 5000; t++)
		for (int i = 0; i < 2; i++) {
			enum session_action next = session_next(s[i], t, &at_ms);
			uint64_t epoch = session_epoch(s[i]);

			if (next == SESSION_WAIT)
				continue;
			session_sent(s[i], next, t);
			cr_assert(next == SESSION_SEND_RENEW || epoch != newest);
			if (epoch < newest)
				session_refused(s[i], newest, t);
			else if (next == SESSION_SEND_OPEN)
				session_opened(s[i], newest = epoch, t);
			else
				session_renewed(s[i], t);
		}
	cr_assert_gt(newest >> 20, 10);
	for (int i = 0; i < 2; i++)
		session_destroy(s[i]);
}
