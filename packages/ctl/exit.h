#ifndef CTL_EXIT_H
#define CTL_EXIT_H

#include "client.h"

/* Exit statuses of knapweedwheel. They are part of the public interface. */
enum exit_status {
	EXIT_DONE = 0,
	EXIT_WRONG_INPUT = 1,
	EXIT_USAGE = 2,
	EXIT_CONFLICT = 3,    /* another change won */
	EXIT_NOT_RUN = 4,     /* not run, or not yet in force everywhere; retry later */
	EXIT_UNREACHABLE = 5, /* no daemon is reachable */
	EXIT_UNKNOWN = 6,     /* it may or may not have taken effect */
	EXIT_FAILED = 7,
};

/* exit_of_reply - exit status for a response other than 2xx. */
enum exit_status exit_of_reply(const struct reply *reply);
/* exit_of_status - exit status for a call without a response. */
enum exit_status exit_of_status(const struct status *st);

#endif
