#ifndef DAEMON_START_SIGNALS_H
#define DAEMON_START_SIGNALS_H

/*
 * start_signals - SIGHUP, SIGINT and SIGTERM, which stay pending from the start of the process
 * until their handlers are installed. Uses only libc.
 */

/*
 * start_signals_block - to be called first in main(). Also makes the process ignore SIGPIPE, and
 * SIGXFSZ, which a log file at the limit of a file's size raises: both writes then fail instead.
 */
void start_signals_block(void);
/* start_signals_unblock - delivers pending ones; to be called once their handlers are installed. */
void start_signals_unblock(void);

#endif
