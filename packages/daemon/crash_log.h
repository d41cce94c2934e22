#ifndef DAEMON_CRASH_LOG_H
#define DAEMON_CRASH_LOG_H

/*
 * crash_log - a last log line when a fatal signal ends the process.
 *
 * The line is written to descriptor fd without buffering, and the process then ends by the signal's
 * default action. It has the members time_ms (Unix time), level, module, step, signal, age_ms of
 * the process and offset, the position in the program's text.
 */

/* crash_log_install - to be called once. */
void crash_log_install(int fd);

#endif
