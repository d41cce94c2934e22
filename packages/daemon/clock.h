#ifndef DAEMON_CLOCK_H
#define DAEMON_CLOCK_H

#include <stdint.h>

#include <glib.h>

/* now_ms - monotonic time in milliseconds; it advances while the process is stopped. */
static inline int64_t now_ms(void)
{
	return g_get_monotonic_time() / 1000;
}

/* wall_ms - wall clock in milliseconds since 1970. */
static inline int64_t wall_ms(void)
{
	return g_get_real_time() / 1000;
}

#endif
