#ifndef CORE_KEYCLAIM_H
#define CORE_KEYCLAIM_H

#include "../process/voter.h"

/*
 * keyclaim - a coordinator's tally of the votes for one non-idempotent key.
 *
 * Lives as long as the request. The caller sends the vote requests and feeds in the replies.
 */
#define KEY_CLAIM_VOTERS_MAX  3
#define KEY_CLAIM_UNREACHABLE UINT8_MAX

enum key_claim_state {
	KEY_CLAIM_WAITING = 0,
	KEY_CLAIM_WON,	    /* granted by a majority: the work may be started, once */
	KEY_CLAIM_LOST,	    /* this claimant didn't get the key and never will */
	KEY_CLAIM_FINISHED, /* the key's work has ended before; the outcome is known */
	KEY_CLAIM_REFUSED,  /* the key's timestamp is outside the range that voters accept */
};

struct key_claim {
	uint32_t voters;		    /* 1 to KEY_CLAIM_VOTERS_MAX */
	uint8_t vote[KEY_CLAIM_VOTERS_MAX]; /* enum vote, 0 or KEY_CLAIM_UNREACHABLE; 0 means no
					     * answer yet */
	enum key_claim_state state;
	enum outcome outcome; /* for KEY_CLAIM_FINISHED */
	bool own_key;	      /* set by the caller: the key was made for this claim and is known
			       * to nobody else */
};

void key_claim_init(struct key_claim *c, uint32_t voters);
/* key_claim_vote - counts a voter's reply; returns the new state. Duplicate replies are ignored. */
enum key_claim_state key_claim_vote(struct key_claim *c, uint32_t voter, enum vote vote,
				    enum outcome out);
/* key_claim_unreachable - a voter can't be reached or didn't answer in time. */
enum key_claim_state key_claim_unreachable(struct key_claim *c, uint32_t voter);
/*
 * key_claim_outcome - outcome to report to the caller if the claim didn't win. Never
 * OUTCOME_NOT_RUN if another claimant may have started the work or may still start it.
 */
enum outcome key_claim_outcome(const struct key_claim *c);

#endif
