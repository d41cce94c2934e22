#ifndef DAEMON_FLEET_H
#define DAEMON_FLEET_H

#include "../connection/worker.h"
#include "connection/session.h"
#include "platform.h"
#include "process/members.h"
#include "process/owner.h"

/* fleet - the workers of this data centre, with a session to each whose rack this daemon owns. */
struct fleet;

/* A listed worker; the session is used while its rack is owned. */
struct worker {
	struct fleet *fleet;
	char *name;
	char *rack;
	char *url;
	char *service; /* service of its runner, "" for none */
	struct res total;
	uint32_t slots;
	uint32_t connections;
	uint32_t handle; /* worker's index in core's owner, set by racks.c */
	struct session *session;
	uint64_t ack_seq;  /* ends up to this seq may be acknowledged */
	uint64_t read_seq; /* ends up to this seq were received */
	guint timer;
	bool is_owned;
	bool is_listed;
	bool listed_leaving;   /* marked in the platform's VM list */
	bool reported_leaving; /* reported in the worker's last reply */
	int64_t sent_ms;       /* when the last open or renewal was sent */
	bool has_unacked_end;  /* the worker repeats an end that was not reported yet */
	bool in_flight;	       /* an open or renewal awaits its reply */
	uint32_t tasks; /* tasks on the worker, counted by taskserve.c; ends are polled unless 0 */
	uint32_t foreign_requests; /* running requests of an earlier owner, counted by reqserve.c */
	uint32_t generation;	   /* changes with each ownership, to drop late replies */
	enum worker_state state;
};

struct fleet_ops {
	/* added - this daemon now owns the worker's rack. */
	void (*added)(void *ctx, struct worker *w);
	/*
	 * removed - the rack moved to another owner or the VM is no longer listed. w may be freed
	 * afterwards.
	 */
	void (*removed)(void *ctx, struct worker *w);
	/* inventory - a session was opened; r lists all tasks on the worker, ended ones too. */
	void (*inventory)(void *ctx, struct worker *w, const struct worker_reply *r);
	void (*state_changed)(void *ctx, struct worker *w);
	void (*task_ended)(void *ctx, struct worker *w, const struct worker_task *t);
	/*
	 * has_unreported_end - whether an end on the worker was not reported to a coordinator yet
	 * and must not be acknowledged.
	 */
	bool (*has_unreported_end)(void *ctx, const struct worker *w);
	void (*task_usage)(void *ctx, struct worker *w, const struct worker_task *t);
	/*
	 * request_count - number of requests that ran on the worker, in the reply to a message sent
	 * at sent_ms.
	 */
	void (*request_count)(void *ctx, struct worker *w, uint32_t runs, int64_t sent_ms);
	/* leases_lapsed - all leases lapsed: nothing started on the worker can still run. */
	void (*leases_lapsed)(void *ctx, struct worker *w);
};

struct fleet *fleet_create(const struct settings *set, struct members *members,
			   struct worker_client *client, const struct worker_ops *worker_ops,
			   const struct fleet_ops *ops, void *ctx, uint64_t seed);
void fleet_destroy(struct fleet *f);

/* fleet_set_vms - applies a new list of VMs. */
void fleet_set_vms(struct fleet *f, const struct vm *vm, size_t n);
/* fleet_update_owned - takes over or releases racks after members changed. */
void fleet_update_owned(struct fleet *f);
/* fleet_release_all - releases all racks, for a graceful shutdown. */
void fleet_release_all(struct fleet *f);
/* fleet_unready_count - owned workers that have no session and may run work unknown here. */
uint32_t fleet_unready_count(const struct fleet *f);
uint32_t fleet_owned_count(const struct fleet *f);
/* fleet_listed_count - workers of this data centre in the last VM list. */
uint32_t fleet_listed_count(const struct fleet *f);
/* fleet_largest_worker - largest capacity of any listed worker, for each resource on its own. */
struct res fleet_largest_worker(const struct fleet *f);

bool worker_may_start(const struct worker *w);
/* worker_start - starts n tasks with one message. */
void worker_start(struct worker *w, const struct worker_task *task, size_t n, worker_reply_fn fn,
		  void *ctx);
void worker_stop(struct worker *w, const char *id, bool checkpoint);
/* worker_handle_refusal - updates the session after a reply other than WORKER_OK. */
void worker_handle_refusal(struct worker *w, const struct worker_reply *r);
/* worker_poll_soon - polls for ends of tasks shortly, after a task was started. */
void worker_poll_soon(struct worker *w);
/* worker_set_leaving - the worker refused work because it is leaving. */
void worker_set_leaving(struct worker *w);
/* worker_renew_now - renews at once to learn why the worker refused a request. */
void worker_renew_now(struct worker *w);
/* worker_reopen_session - opens the session again to learn what runs on the worker. */
void worker_reopen_session(struct worker *w);

#endif
