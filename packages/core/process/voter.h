#ifndef CORE_VOTER_H
#define CORE_VOTER_H

#include <stddef.h>

#include "status.h"
#include "types.h"
#include "uuid7.h"

/*
 * voter - grants each non-idempotent key to at most one claimant.
 *
 * A coordinator may start the work of a key only after a majority of the key's voters has granted
 * it. The voters are the first three daemons by rendezvous hash among the listed daemons of the
 * key's data centre. Keys are UUIDv7 and so carry a timestamp. A voter grants a key only if it has
 * been one of the key's voters since guard_ms before that timestamp. A daemon that started or
 * became a voter later may have missed a grant and refuses. So all grants of a key come from the
 * same three daemons.
 */
struct voter;

enum vote {
	VOTE_KEY_GRANTED = 1,
	VOTE_KEY_TAKEN,
	VOTE_KEY_TOO_OLD,
	VOTE_KEY_FINISHED,
	VOTE_KEY_TOO_NEW,
	VOTE_KEY_FULL,
};

struct voter_conf {
	const char *self;      /* name of this daemon, copied; NULL to ignore lists */
	int64_t start_wall_ms; /* wall-clock time at which this voter started */
	uint32_t guard_ms;     /* lag of the VM list plus clock skew; more than skew_ms */
	uint32_t stale_ms;     /* no new grants if the list was read longer ago, as others may have
				* seen a change since; lag + stale_ms <= guard_ms; 0 to disable */
	uint32_t skew_ms;      /* how far a key's timestamp may be ahead of the clock */
	uint32_t keep_ms;      /* how long a key is remembered; older keys are refused */
	uint32_t keys_max;
};

struct voter *voter_create(const struct voter_conf *conf);
void voter_destroy(struct voter *v);

/*
 * voter_set_list - sets the daemons of this data centre on the platform's list. Must be called
 * after each read of the list, even if nothing changed. A fixed number of lists is remembered; keys
 * from before the oldest are refused.
 */
void voter_set_list(struct voter *v, const char *const *names, size_t n, int64_t wall_ms);
/*
 * voter_count_voters - number of voters of key, of which a claimant needs a majority: the largest
 * number since guard_ms before the key's timestamp. Voters no longer listed count as unreachable.
 * Three if the number is not known, as after a start or with a stale list.
 */
uint32_t voter_count_voters(const struct voter *v, const char *key);

/*
 * voter_ask - votes on key for a claimant. The same claimant with the same claim number gets the
 * same answer again, so the pair must differ between restarts of a daemon. For VOTE_KEY_FINISHED
 * *out is the outcome. A key that is not a UUIDv7 is answered with VOTE_KEY_TOO_OLD.
 */
enum vote voter_ask(struct voter *v, const char *team, const char *key, const char *claimant,
		    uint64_t claim, int64_t wall_ms, enum outcome *out);
/* voter_finish - records the outcome of a key, as reported by the claimant that won it. */
void voter_finish(struct voter *v, const char *team, const char *key, enum outcome out,
		  int64_t wall_ms);
size_t voter_key_count(const struct voter *v);

#endif
