#include <string.h>

#include <glib.h>

#include "keyclaim.h"

void key_claim_init(struct key_claim *c, uint32_t voters)
{
	g_assert(voters >= 1 && voters <= KEY_CLAIM_VOTERS_MAX);
	memset(c, 0, sizeof(*c));
	c->voters = voters;
}

static uint32_t count_votes(const struct key_claim *c, uint8_t vote)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < c->voters; i++)
		n += c->vote[i] == vote;
	return n;
}

static enum key_claim_state tally(const struct key_claim *c)
{
	uint32_t majority = c->voters / 2 + 1;
	uint32_t granted = count_votes(c, VOTE_KEY_GRANTED);

	if (granted >= majority)
		return KEY_CLAIM_WON;
	if (count_votes(c, VOTE_KEY_FINISHED))
		return KEY_CLAIM_FINISHED;
	if (granted + count_votes(c, 0) >= majority)
		return KEY_CLAIM_WAITING;
	if (count_votes(c, VOTE_KEY_TAKEN) || count_votes(c, KEY_CLAIM_UNREACHABLE))
		return KEY_CLAIM_LOST;
	return KEY_CLAIM_REFUSED;
}

enum key_claim_state key_claim_vote(struct key_claim *c, uint32_t voter, enum vote vote,
				    enum outcome out)
{
	g_assert(voter < c->voters);
	if (c->state != KEY_CLAIM_WAITING)
		return c->state;
	if (c->vote[voter] && c->vote[voter] != KEY_CLAIM_UNREACHABLE)
		return c->state;
	c->vote[voter] = (uint8_t)vote;
	if (vote == VOTE_KEY_FINISHED)
		c->outcome = out;
	c->state = tally(c);
	return c->state;
}

enum key_claim_state key_claim_unreachable(struct key_claim *c, uint32_t voter)
{
	g_assert(voter < c->voters);
	if (c->state != KEY_CLAIM_WAITING || c->vote[voter])
		return c->state;
	c->vote[voter] = KEY_CLAIM_UNREACHABLE;
	c->state = tally(c);
	return c->state;
}

enum outcome key_claim_outcome(const struct key_claim *c)
{
	if (c->state == KEY_CLAIM_FINISHED)
		return c->outcome;
	/* A voter that didn't answer, or lost its state, may have granted another claim. */
	return c->own_key ? OUTCOME_NOT_RUN : OUTCOME_UNKNOWN;
}
