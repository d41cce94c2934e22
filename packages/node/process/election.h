#ifndef NODE_ELECTION_H
#define NODE_ELECTION_H

#include "ports.h"

/*
 * election - elects the scheduler by means of a log in the store.
 *
 * A claim is appended on the condition that the log ends where the claimant has read it, so only
 * one of several concurrent claims succeeds. Its offset + 1 is the term, which therefore increases.
 * The holder of the lease appends renewals on the same condition. A node that reads no renewal for
 * ELECTION_LEASE_MS, while the store answers it, claims the lease; it waits only
 * ELECTION_SILENT_LEASE_MS if the holder's link is silent too, or the holder says that it does not
 * reach the store.
 *
 * A holder that could not renew for ELECTION_STEP_DOWN_MS steps down. One that could not renew for
 * ELECTION_GRANT_MS grants no more leases to runners, so that its successor knows when the last of
 * them ends.
 */
#define ELECTION_RENEW_MS	 400  /* four renewals may be lost before the lease expires */
#define ELECTION_LEASE_MS	 2000 /* half of the platform's limit for an unreachable VM */
#define ELECTION_SILENT_LEASE_MS 900  /* two lost renewals; the link has to be silent too */
#define ELECTION_GRANT_MS	 3000 /* the lease, and a renewal in flight in a slow store */
#define ELECTION_STEP_DOWN_MS	 8000 /* longer than most store outages, which work survives */
#define ELECTION_HANDOVER_MS	 2000 /* release, claim and fence take 1.6 s in a slow store */
#define ELECTION_LOW_PRIORITY_MS 1500 /* extra wait of a small VM, so that others claim first */

struct election;

struct election_ops {
	/* won - this node has become the scheduler of this term. */
	void (*won)(void *ctx, uint64_t term);
	/* lost - it has stopped being the scheduler. */
	void (*lost)(void *ctx, const char *why);
	/* holder_changed - another node holds the lease; address is "" if none does. */
	void (*holder_changed)(void *ctx, const char *address, uint64_t term);
	/* holder_silent - whether the holder is unreachable, or does not reach the store itself. */
	bool (*holder_silent)(void *ctx);
};

/*
 * election_create - self is NODE/START, where START tells restarts of a node apart; address is
 * published to the other nodes. A low-priority node claims only if no other does within
 * ELECTION_LOW_PRIORITY_MS.
 */
struct election *election_create(const struct store *store, const char *self, const char *address,
				 bool low_priority, const struct election_ops *ops, void *ctx);
void election_destroy(struct election *e);
/* election_start - runs election_tick() from a timer from now on. */
void election_start(struct election *e);
void election_tick(struct election *e);
/*
 * election_release - releases the lease and never claims it again. successor is the self of the
 * node that should claim it, "" for any; the others wait a little. The holder keeps scheduling
 * until it reads another claim or is superseded, for at most ELECTION_HANDOVER_MS.
 */
void election_release(struct election *e, const char *successor);
/* election_yield - like election_release(), but this node may claim the lease again later. */
void election_yield(struct election *e, const char *successor);
/* election_suspect - the holder seems to have exited: waits only briefly for a renewal. */
void election_suspect(struct election *e);
/* election_superseded - steps down; by: the runner or the log that has seen a higher term. */
void election_superseded(struct election *e, const char *by);
/*
 * election_may_be_replaced - whether this process holds the lease, has been paused for so long that
 * another node may have claimed it, and has not renewed it since.
 */
bool election_may_be_replaced(struct election *e);
/* election_renewing - whether the last renewal was stored, as far as is known. */
bool election_renewing(const struct election *e);
/* election_by_handover - whether the last holder handed the lease over to this node. */
bool election_by_handover(const struct election *e);
/* election_grants_end_ms - time after which this node, as the holder, must not grant leases. */
int64_t election_grants_end_ms(const struct election *e);
/* election_prior_grants_end_ms - time after which no earlier holder grants leases to runners. */
int64_t election_prior_grants_end_ms(const struct election *e);
/*
 * election_process_started - this node has heard from the process self (NODE/START), so earlier
 * processes of that node have ended, and grant no more leases.
 */
void election_process_started(struct election *e, const char *self);
/*
 * election_handover_done - whether the lease was released and another node has claimed it, or the
 * wait for it is over, or this node did not hold it.
 */
bool election_handover_done(const struct election *e);

#endif
