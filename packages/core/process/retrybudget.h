#ifndef CORE_RETRYBUDGET_H
#define CORE_RETRYBUDGET_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/*
 * retrybudget - limits on retries.
 *
 * A budget earns a fraction of a retry with each first attempt and spends a whole one with each
 * retry, so that retries stay a fixed share of the load even if everything fails. A pace spreads
 * the retry times of refused work at the rate at which the upstream can serve, so that work refused
 * together does not return together.
 */
#define RETRYBUDGET_EARN_MILLI 100   /* earned by each first attempt; a retry costs 1000 */
#define RETRYBUDGET_MAX_MILLI  20000 /* also the initial budget */

struct retrybudget {
	uint32_t spent_milli; /* below RETRYBUDGET_MAX_MILLI; a zeroed budget is full */
};

/* retrybudget_earn - records a first attempt. */
void retrybudget_earn(struct retrybudget *b);
/* retrybudget_has - true if a retry may be made. */
bool retrybudget_has(const struct retrybudget *b);
/* retrybudget_spend - records a retry. */
void retrybudget_spend(struct retrybudget *b);

struct retrypace {
	int64_t next_us; /* retry time of the last refused work, before jitter */
};

/*
 * retrypace_after_ms - retry delay of refused work: at least wait_ms and one interval_us after the
 * previous one, plus jitter from rand. Beyond 60 s, it starts again at wait_ms.
 */
uint32_t retrypace_after_ms(struct retrypace *p, uint32_t wait_ms, uint32_t interval_us,
			    GRand *rand, int64_t now_ms);

#endif
