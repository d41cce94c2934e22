#ifndef DAEMON_FLEET_H
#define DAEMON_FLEET_H

#include "../connection/worker.h"
#include "connection/session.h"
#include "platform.h"
#include "process/members.h"
#include "process/owner.h"

/*
 * fleet - the workers of this data centre, and a session with each one whose rack this daemon owns.
 */
struct fleet;

/* A worker of an owned rack. */
struct worker {
	struct fleet *fleet;
	char *name;
	char *rack;
	char *url;
	char *service; /* of its runner, "" for none */
	struct res total;
	uint32_t slots;
	uint32_t connections;
	uint32_t handle; /* for the user of the fleet */
	struct session *session;
	uint64_t ack_seq;  /* ends up to here have been passed on */
	uint64_t read_seq; /* ends up to here have been read */
	guint timer;
	bool is_owned;
	bool is_listed;
	bool listed_leaving;   /* by the platform's list */
	bool reported_leaving; /* by the worker itself */
	int64_t sent_ms;       /* when the last open or renew was sent */
	bool has_unacked_end;  /* an end is left unacknowledged */
	bool in_flight;	       /* an open or renew is under way */
	uint32_t tasks; /* that run there, kept by the user: while there are any, ends are polled */
	uint32_t foreign_requests; /* requests of an earlier owner that still run there, kept by the
				      user */
	uint32_t generation;	   /* of the ownership, so that late answers are known */
	enum worker_state state;
};

struct fleet_ops {
	/* added - the worker's rack is owned from now on. */
	void (*added)(void *ctx, struct worker *w);
	/* removed - the rack went to another owner, or the VM is gone; w may be freed afterwards.
	 */
	void (*removed)(void *ctx, struct worker *w);
	/* inventory - a session was opened; this is all that the worker has. */
	void (*inventory)(void *ctx, struct worker *w, const struct worker_reply *r);
	void (*state_changed)(void *ctx, struct worker *w);
	void (*task_ended)(void *ctx, struct worker *w, const struct worker_task *t);
	/* has_unreported_end - an end on the worker was not told to anyone yet, so it is not
	 * acknowledged.
	 */
	bool (*has_unreported_end)(void *ctx, const struct worker *w);
	void (*task_usage)(void *ctx, struct worker *w, const struct worker_task *t);
	/* request_count - the worker said how many requests ran there when it answered what was
	 * asked then.
	 */
	void (*request_count)(void *ctx, struct worker *w, uint32_t runs, int64_t asked_ms);
	/* leases_lapsed - nothing that was started on the worker can still run. */
	void (*leases_lapsed)(void *ctx, struct worker *w);
};

struct fleet *fleet_create(const struct settings *set, struct members *members,
			   struct worker_client *client, const struct worker_ops *worker_ops,
			   const struct fleet_ops *ops, void *ctx, uint64_t seed);
void fleet_destroy(struct fleet *f);

/* fleet_set_vms - takes the workers of a new list of VMs. */
void fleet_set_vms(struct fleet *f, const struct vm *vm, size_t n);
/* fleet_update_owned - takes over and lets go of racks after members changed. */
void fleet_update_owned(struct fleet *f);
/* fleet_release_all - lets go of all racks, for a planned stop. */
void fleet_release_all(struct fleet *f);
/* fleet_unready_count - owned workers on which something may run that is not known here. */
uint32_t fleet_unready_count(const struct fleet *f);
uint32_t fleet_owned_count(const struct fleet *f);
/* fleet_listed_count - workers of this data centre in the last list of VMs. */
uint32_t fleet_listed_count(const struct fleet *f);
/* fleet_largest_worker - largest listed worker of this data centre in each dimension apart. */
struct res fleet_largest_worker(const struct fleet *f);

bool worker_may_start(const struct worker *w);
/* worker_start - sends starts in one message. */
void worker_start(struct worker *w, const struct worker_task *task, size_t n, worker_reply_fn fn,
		  void *ctx);
void worker_stop(struct worker *w, const char *id, bool checkpoint);
/* worker_handle_refusal - an answer said that another epoch is newer, or that the lease lapsed. */
void worker_handle_refusal(struct worker *w, const struct worker_reply *r);
/* worker_poll_soon - a task was started: poll for its end without delay. */
void worker_poll_soon(struct worker *w);
/* worker_set_leaving - the worker refused because it leaves. */
void worker_set_leaving(struct worker *w);
/* worker_renew_now - the worker refused a request of this session: renews at once to learn why. */
void worker_renew_now(struct worker *w);
/* worker_reopen_session - opens the session again to learn what runs there. */
void worker_reopen_session(struct worker *w);

#endif
