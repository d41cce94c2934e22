#include "loop_lag.h"

#define WEIGHT	    8 /* the last pass counts 1/8 in the moving average */
#define REST_FACTOR 3 /* after a pass, other work gets this multiple of the pass's duration */

void loop_lag_add(struct loop_lag *l, int64_t late_ms, int64_t took_ms, int64_t now_ms)
{
	int64_t lag_us = ((late_ms > 0 ? late_ms : 0) + took_ms) * 1000;

	l->mean_us += (lag_us - l->mean_us) / WEIGHT;
	if (l->mean_us <= LOOP_LAG_MAX_MS * INT64_C(1000))
		l->above_from_ms = 0;
	else if (!l->above_from_ms)
		l->above_from_ms = now_ms;
}

int64_t loop_lag_rest_ms(int64_t took_ms)
{
	int64_t rest_ms = took_ms * REST_FACTOR;

	return rest_ms < LOOP_REST_MAX_MS ? rest_ms : LOOP_REST_MAX_MS;
}

bool loop_lag_is_slow(const struct loop_lag *l, int64_t now_ms)
{
	return l->above_from_ms && now_ms - l->above_from_ms >= LOOP_LAG_SUSTAIN_MS;
}
