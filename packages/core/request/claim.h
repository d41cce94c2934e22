#ifndef CORE_CLAIM_H
#define CORE_CLAIM_H

#include "../process/voter.h"

/*
 * claim - a coordinator's tally of the votes for one non-idempotent key.
 *
 * Lives as long as the request. The caller sends the vote requests and feeds in the replies.
 */
#define CLAIM_VOTERS_MAX  3
#define CLAIM_UNREACHABLE UINT8_MAX

enum claim_state {
	CLAIM_WAITING = 0,
	CLAIM_WON,	/* granted by a majority: the work may be started, once */
	CLAIM_LOST,	/* this claimant didn't get the key and never will */
	CLAIM_FINISHED, /* the key's work has ended before; the outcome is known */
	CLAIM_REFUSED,	/* the key's timestamp is outside the range that voters accept */
};

struct claim {
	uint32_t voters;		/* 1 to CLAIM_VOTERS_MAX */
	uint8_t vote[CLAIM_VOTERS_MAX]; /* enum vote, 0 for no answer yet, CLAIM_UNREACHABLE */
	enum claim_state state;
	enum outcome outcome; /* for CLAIM_FINISHED */
	bool own_key;	      /* set by the caller: the key was made for this claim and is known
			       * to nobody else */
};

void claim_init(struct claim *c, uint32_t voters);
/* claim_vote - counts a voter's reply; returns the new state. Duplicate replies are ignored. */
enum claim_state claim_vote(struct claim *c, uint32_t voter, enum vote vote, enum outcome out);
/* claim_unreachable - a voter can't be reached or didn't answer in time. */
enum claim_state claim_unreachable(struct claim *c, uint32_t voter);
/*
 * claim_outcome - outcome to report to the caller if the claim didn't win. Never OUTCOME_NOT_RUN if
 * another claimant may have started the work or may still start it.
 */
enum outcome claim_outcome(const struct claim *c);

#endif
