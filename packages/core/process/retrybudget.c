#include "retrybudget.h"

#define RETRY_AFTER_MIN_MS 100
#define RETRY_AFTER_MAX_MS 60000 /* without jitter */
#define JITTER_DIVISOR	   4	 /* jitter is at most delay / JITTER_DIVISOR */

void retrybudget_earn(struct retrybudget *b)
{
	b->spent_milli -= MIN(b->spent_milli, RETRYBUDGET_EARN_MILLI);
}

bool retrybudget_has(const struct retrybudget *b)
{
	return b->spent_milli + 1000 <= RETRYBUDGET_MAX_MILLI;
}

void retrybudget_spend(struct retrybudget *b)
{
	b->spent_milli += 1000;
}

uint32_t retrypace_after_ms(struct retrypace *p, uint32_t wait_ms, uint32_t interval_us,
			    GRand *rand, int64_t now_ms)
{
	uint32_t delay_ms;

	p->next_us = MAX(p->next_us, (now_ms + wait_ms) * 1000) + interval_us;
	if (p->next_us > (now_ms + RETRY_AFTER_MAX_MS) * 1000)
		p->next_us = (now_ms + wait_ms) * 1000;
	delay_ms =
		(uint32_t)CLAMP(p->next_us / 1000 - now_ms, RETRY_AFTER_MIN_MS, RETRY_AFTER_MAX_MS);
	return delay_ms +
	       (uint32_t)g_rand_int_range(rand, 0, (gint32)(delay_ms / JITTER_DIVISOR) + 1);
}
