#ifndef CORE_STATUS_H
#define CORE_STATUS_H

#include <stdbool.h>
#include <stdint.h>

/*
 * status - result code of an operation with an error message.
 *
 * A status is owned by the caller, usually on the stack, and needs no clean-up. step names the step
 * that failed, peer the remote side (empty for none).
 */
enum status_code {
	STATUS_OK = 0,
	STATUS_INVALID,	    /* the input is wrong; a retry fails again */
	STATUS_NOT_FOUND,   /* no such team, service, job or worker */
	STATUS_CONFLICT,    /* another change or claim won */
	STATUS_FULL,	    /* a limit or quota is reached; retry later */
	STATUS_TIMEOUT,	    /* a deadline passed */
	STATUS_UNAVAILABLE, /* the peer can't be reached */
	STATUS_FENCED,	    /* a newer epoch or term exists */
	STATUS_LOST,	    /* the requested records are no longer stored */
	STATUS_UNKNOWN,	    /* it may or may not have taken effect */
	STATUS_INTERNAL,
	STATUS_CODES,
};

struct status {
	enum status_code code;
	char step[32];
	char peer[64];
	char message[256];
};

#define STATUS_INIT                                                                                \
	{                                                                                          \
		.code = STATUS_OK                                                                  \
	}

/* status_set - fills st (may be NULL); always returns false, so that callers can return it. */
bool status_set(struct status *st, enum status_code code, const char *step, const char *peer,
		const char *fmt, ...) __attribute__((format(printf, 5, 6)));

/* status_name - name of a code for logs and JSON. */
const char *status_name(enum status_code code);

#endif
