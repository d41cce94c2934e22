#include <string.h>

#include <glib.h>

#include "claim.h"

void claim_init(struct claim *c, uint32_t voters)
{
	g_assert(voters >= 1 && voters <= CLAIM_VOTERS_MAX);
	memset(c, 0, sizeof(*c));
	c->voters = voters;
}

static uint32_t count_votes(const struct claim *c, uint8_t vote)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < c->voters; i++)
		n += c->vote[i] == vote;
	return n;
}

static enum claim_state tally(const struct claim *c)
{
	uint32_t majority = c->voters / 2 + 1;
	uint32_t granted = count_votes(c, VOTE_KEY_GRANTED);

	if (granted >= majority)
		return CLAIM_WON;
	if (count_votes(c, VOTE_KEY_FINISHED))
		return CLAIM_FINISHED;
	if (granted + count_votes(c, 0) >= majority)
		return CLAIM_WAITING;
	if (count_votes(c, VOTE_KEY_TAKEN) || count_votes(c, CLAIM_UNREACHABLE))
		return CLAIM_LOST;
	return CLAIM_REFUSED;
}

enum claim_state claim_vote(struct claim *c, uint32_t voter, enum vote vote, enum outcome out)
{
	g_assert(voter < c->voters);
	if (c->state != CLAIM_WAITING)
		return c->state;
	if (c->vote[voter] && c->vote[voter] != CLAIM_UNREACHABLE)
		return c->state;
	c->vote[voter] = (uint8_t)vote;
	if (vote == VOTE_KEY_FINISHED)
		c->outcome = out;
	c->state = tally(c);
	return c->state;
}

enum claim_state claim_unreachable(struct claim *c, uint32_t voter)
{
	g_assert(voter < c->voters);
	if (c->state != CLAIM_WAITING || c->vote[voter])
		return c->state;
	c->vote[voter] = CLAIM_UNREACHABLE;
	c->state = tally(c);
	return c->state;
}

enum outcome claim_outcome(const struct claim *c)
{
	if (c->state == CLAIM_FINISHED)
		return c->outcome;
	/* A voter that didn't answer, or lost its state, may have granted the key to another. */
	return c->own_key ? OUTCOME_NOT_RUN : OUTCOME_UNKNOWN;
}
