#ifndef CORE_CLAIM_H
#define CORE_CLAIM_H

#include "../process/voter.h"

/*
 * claim - a coordinator's count of the votes for one non-idempotent key.
 *
 * Lives as long as the request. The caller sends the asks and feeds the replies.
 */
#define CLAIM_VOTERS_MAX  3
#define CLAIM_UNREACHABLE UINT8_MAX

enum claim_state {
	CLAIM_WAITING = 0,
	CLAIM_WON,	/* a majority granted: the work may be started, once */
	CLAIM_LOST,	/* this claimant did not get the key, and never will */
	CLAIM_FINISHED, /* the key ended before; outcome is known */
	CLAIM_REFUSED,	/* the key's time is outside of what voters accept */
};

struct claim {
	uint32_t voters;		/* 1 to CLAIM_VOTERS_MAX */
	uint8_t vote[CLAIM_VOTERS_MAX]; /* enum vote, 0 for no answer yet, CLAIM_UNREACHABLE */
	enum claim_state state;
	enum outcome outcome; /* for CLAIM_FINISHED */
	bool own_key;	      /* set by the caller: nobody else knows the key, which was made for
			       * this claim */
};

void claim_init(struct claim *c, uint32_t voters);
/* claim_vote - feeds a reply of one voter; returns the new state. Replies twice count once. */
enum claim_state claim_vote(struct claim *c, uint32_t voter, enum vote vote, enum outcome out);
/* claim_unreachable - a voter can't be asked or did not answer in time. */
enum claim_state claim_unreachable(struct claim *c, uint32_t voter);
/*
 * claim_outcome - what to tell the caller when the claim did not win. Never OUTCOME_NOT_RUN where
 * another claimant may have started the work or may still start it.
 */
enum outcome claim_outcome(const struct claim *c);

#endif
