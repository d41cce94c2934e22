#include <stdarg.h>
#include <stdio.h>

#include <glib.h>

#include "status.h"

bool status_set(struct status *st, enum status_code code, const char *step, const char *peer,
		const char *fmt, ...)
{
	va_list ap;

	if (!st)
		return false;
	st->code = code;
	g_strlcpy(st->step, step ? step : "", sizeof(st->step));
	g_strlcpy(st->peer, peer ? peer : "", sizeof(st->peer));
	va_start(ap, fmt);
	vsnprintf(st->message, sizeof(st->message), fmt, ap);
	va_end(ap);
	return false;
}

const char *status_name(enum status_code code)
{
	static const char *const names[STATUS_CODES] = {
		[STATUS_OK] = "ok",
		[STATUS_INVALID] = "invalid",
		[STATUS_NOT_FOUND] = "not_found",
		[STATUS_CONFLICT] = "conflict",
		[STATUS_FULL] = "full",
		[STATUS_TIMEOUT] = "timeout",
		[STATUS_UNAVAILABLE] = "unavailable",
		[STATUS_FENCED] = "fenced",
		[STATUS_LOST] = "lost",
		[STATUS_UNKNOWN] = "unknown",
		[STATUS_INTERNAL] = "internal",
	};

	return code < STATUS_CODES ? names[code] : "invalid_code";
}
