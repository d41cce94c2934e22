#ifndef NODE_ELECTION_H
#define NODE_ELECTION_H

#include "ports.h"

/*
 * election - which node is the scheduler, agreed by a log in the store.
 *
 * A claim is appended on the condition that the log ends where the claimant has read it, so one of
 * several wins. Its offset + 1 is the term, which rises from claim to claim. The holder appends
 * renewals on the same condition; a node that hears no renewal for ELECTION_LEASE_MS, while the
 * store answers it, claims; after ELECTION_SILENT_LEASE_MS already if the holder itself is silent
 * too, or says that it doesn't reach the store. A holder that was not renewed for
 * ELECTION_STEP_DOWN_MS gives up by itself. One that was not renewed for ELECTION_GRANT_MS grants
 * no leases to runners any more, so that its successor knows when the last of them ends.
 */
#define ELECTION_RENEW_MS	 400  /* four renewals may get lost before the lease ends */
#define ELECTION_LEASE_MS	 2000 /* half of the platform's bound for a machine out of touch */
#define ELECTION_SILENT_LEASE_MS 900  /* two renewals lost; only for a holder that is silent too */
#define ELECTION_GRANT_MS	 3000 /* the lease, and a renewal under way in a slow store */
#define ELECTION_STEP_DOWN_MS                                                                      \
	8000 /* longer than most outages of the store, in which work goes on */
/* Release, claim and fence take 1.6 s in a slow store. */
#define ELECTION_HANDOVER_MS 2000

struct election;

struct election_ops {
	/* won - this node is the scheduler of this term. */
	void (*won)(void *ctx, uint64_t term);
	/* lost - it is not any more. */
	void (*lost)(void *ctx, const char *why);
	/* holder_changed - another node is; address is "" if there is none. */
	void (*holder_changed)(void *ctx, const char *address, uint64_t term);
	/* holder_silent - the holder can't be reached, or doesn't reach the store itself. */
	bool (*holder_silent)(void *ctx);
};

#define ELECTION_LOW_PRIORITY_MS 1500 /* a weak VM waits longer, so that others claim first */

/*
 * election_create - self is NODE/START, so that restarts differ; address is for the others. A weak
 * node claims only if no other does within ELECTION_LOW_PRIORITY_MS.
 */
struct election *election_create(const struct store *store, const char *self, const char *address,
				 bool low_priority, const struct election_ops *ops, void *ctx);
void election_destroy(struct election *e);
/* election_start - from then on the loop calls election_tick() often enough. */
void election_start(struct election *e);
void election_tick(struct election *e);
/*
 * election_release - gives the lease back and never claims again. successor is the self of a node
 * that should claim it, "" for any; the others wait a little. The holder goes on until it reads of
 * another claim or is superseded, for ELECTION_HANDOVER_MS at the most.
 */
void election_release(struct election *e, const char *successor);
/* election_yield - as election_release(), but this node may claim again later. */
void election_yield(struct election *e, const char *successor);
/* election_suspect - the holder's process seems to have ended: its lease is not waited for. */
void election_suspect(struct election *e);
/* election_superseded - a runner or the log has seen a higher term. */
void election_superseded(struct election *e, const char *by);
/* election_renewing - the last renewal was stored, as far as is known. */
bool election_renewing(const struct election *e);
/* election_renewed_ms - when the last renewal that was acknowledged was sent. */
int64_t election_renewed_ms(const struct election *e);
/* election_prior_grants_end_ms - no earlier holder grants a lease to a runner after that time. */
int64_t election_prior_grants_end_ms(const struct election *e);
/* election_handover_done - another node has taken over, is not waited for, or need not. */
bool election_handover_done(const struct election *e);

#endif
