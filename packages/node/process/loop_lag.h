#ifndef NODE_LOOP_LAG_H
#define NODE_LOOP_LAG_H

#include <stdbool.h>
#include <stdint.h>

/*
 * loop_lag - tells whether the scheduler's process gets too little CPU.
 *
 * All orders, replies and requests for advice pass through the scheduler's loop. On a VM that has
 * turned slow, each of them waits for hundreds of milliseconds, longer than an urgent task runs.
 * Another VM of the same size then serves the cell better.
 */
#define LOOP_LAG_MAX_MS	    150	 /* mean; a busy scheduler on a sound VM has 10 to 60 ms */
#define LOOP_LAG_SUSTAIN_MS 1000 /* longer than the catching up after a takeover or a pause */

/* Bounds the rest: a pass that seems to take seconds was paused with its process. */
#define LOOP_REST_MAX_MS 1000

struct loop_lag {
	int64_t mean_us;       /* moving average */
	int64_t above_from_ms; /* since when the mean is above the limit; 0 if it isn't */
};

/* loop_lag_add - notes a pass: how late it began, and how long it took. */
void loop_lag_add(struct loop_lag *l, int64_t late_ms, int64_t took_ms, int64_t now_ms);
/* loop_lag_rest_ms - the time that other work gets after a pass that took took_ms. */
int64_t loop_lag_rest_ms(int64_t took_ms);
/* loop_lag_is_slow - true if the lag has been too high for LOOP_LAG_SUSTAIN_MS. */
bool loop_lag_is_slow(const struct loop_lag *l, int64_t now_ms);

#endif
