#ifndef CELL_ADVICE_H
#define CELL_ADVICE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "advisor_share.h"

/*
 * advice - the advisor's verdicts for one step: which runners may run it, and their tickets.
 *
 * A verdict holds for the whole incarnation of a runner, which is identified by its handle. A
 * ticket is valid for a short time and has to be requested again.
 */
enum verdict {
	VERDICT_UNKNOWN = 0,
	VERDICT_APPROVED,
	VERDICT_DENIED,
};

struct advice {
	struct advice_entries *entries;
	bool in_flight;		     /* a request is in flight */
	bool answered;		     /* a request was answered */
	int64_t retry_ms;	     /* earliest next request */
	int64_t unanswered_since_ms; /* first request since the last answer; 0 for none */
	/* Since when it is due and the advisor too busy to be asked; 0 if it doesn't wait. */
	int64_t waiting_since_ms;
	struct advisor_request request; /* the last one */
};

struct advice *advice_create(void);
void advice_destroy(struct advice *a);
enum verdict advice_verdict(const struct advice *a, uint32_t handle);
/* advice_ticket - returns the ticket, NULL if there is none that is valid at until_ms. */
const char *advice_ticket(const struct advice *a, uint32_t handle, int64_t until_ms);
/* advice_valid_until_ms - end of the ticket's validity, 0 if there is none. */
int64_t advice_valid_until_ms(const struct advice *a, uint32_t handle);
void advice_approve(struct advice *a, uint32_t handle, const char *ticket, int64_t valid_until_ms);
void advice_deny(struct advice *a, uint32_t handle);
/* advice_copy_runners - copies the runners of a request; free with g_strfreev(). */
char **advice_copy_runners(const char *const *runner, size_t n);
/* advice_invalidate_ticket - the runner has refused the ticket. */
void advice_invalidate_ticket(struct advice *a, uint32_t handle);

#endif
