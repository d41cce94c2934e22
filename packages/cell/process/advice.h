#ifndef CELL_ADVICE_H
#define CELL_ADVICE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * advice - what the advisor said of one step: which runners may run it, and their tickets.
 *
 * An approval stands for the life of the runner; its ticket is valid for a short time only and has
 * to be asked for again. Runners are named by the handle of their life.
 */
enum verdict {
	VERDICT_UNKNOWN = 0,
	VERDICT_APPROVED,
	VERDICT_DENIED,
};

struct advice {
	struct advice_entries *entries;
	bool in_flight;
	bool answered;	  /* once, at least */
	int64_t retry_ms; /* not to be asked again before */
	uint64_t cost_us; /* of the call under way */
};

struct advice *advice_create(void);
void advice_destroy(struct advice *a);
enum verdict advice_verdict(const struct advice *a, uint32_t handle);
/* advice_ticket - NULL unless there is one that is valid at until_ms. */
const char *advice_ticket(const struct advice *a, uint32_t handle, int64_t until_ms);
/* advice_valid_until_ms - of the runner's ticket, 0 if there is none. */
int64_t advice_valid_until_ms(const struct advice *a, uint32_t handle);
void advice_approve(struct advice *a, uint32_t handle, const char *ticket, int64_t valid_until_ms);
void advice_deny(struct advice *a, uint32_t handle);
/* advice_copy_runners - of a question; to be freed with g_strfreev(). */
char **advice_copy_runners(const char *const *runner, size_t n);
/* advice_invalidate_ticket - the runner didn't take the ticket. */
void advice_invalidate_ticket(struct advice *a, uint32_t handle);

#endif
