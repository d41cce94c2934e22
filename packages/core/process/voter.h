#ifndef CORE_VOTER_H
#define CORE_VOTER_H

#include <stddef.h>

#include "status.h"
#include "types.h"
#include "uuid7.h"

/*
 * voter - grants each non-idempotent key to at most one claimant.
 *
 * A coordinator may start the work of a key only when a majority of the key's voters (the first
 * three daemons by rendezvous hash over the listed daemons of the key's data centre) granted it.
 * Keys are UUIDv7, so each carries its time. A voter grants a key only if it was one of the key's
 * voters ever since guard_ms before the key was made: one that started, or came into the set, later
 * may miss a grant, and refuses. So all grants of a key come from the same three daemons.
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
	const char *self;      /* name of this daemon, copied; NULL: lists are not checked */
	int64_t start_wall_ms; /* wall clock when this voter started */
	uint32_t guard_ms;     /* lag of the VM list plus clock skew; above skew_ms */
	uint32_t stale_ms;     /* no new grant when the list was read longer ago, as others may have
				* seen it change; the lag plus this is at most guard_ms; 0: never */
	uint32_t skew_ms;      /* how far ahead a key's time may lie */
	uint32_t keep_ms;      /* how long a key is remembered; older keys are refused */
	uint32_t keys_max;
};

struct voter *voter_create(const struct voter_conf *conf);
void voter_destroy(struct voter *v);

/*
 * voter_set_list - the platform's list now names these daemons of this data centre; to be called at
 * each reading, also without a change. A fixed number of lists is remembered; keys from before them
 * are refused.
 */
void voter_set_list(struct voter *v, const char *const *names, size_t n, int64_t wall_ms);
/*
 * voter_count_voters - how many voters a claimant has to count for key: the largest number since
 * guard_ms before the key was made. Those that are not listed any more count as unreachable. Three
 * if that is not known, as after a start or with a stale list.
 */
uint32_t voter_count_voters(const struct voter *v, const char *key);

/*
 * voter_ask - votes on key for a claimant. The same claimant with the same claim number gets the
 * same answer again, so the pair has to differ between restarts of a daemon. For
 * VOTE_KEY_FINISHED *out is the outcome. A text that is not a UUIDv7 is too old.
 */
enum vote voter_ask(struct voter *v, const char *team, const char *key, const char *claimant,
		    uint64_t claim, int64_t wall_ms, enum outcome *out);
/* voter_finish - records how a key ended, as told by the claimant that won it. */
void voter_finish(struct voter *v, const char *team, const char *key, enum outcome out,
		  int64_t wall_ms);
size_t voter_key_count(const struct voter *v);

#endif
