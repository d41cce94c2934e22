#ifndef DAEMON_LOG_H
#define DAEMON_LOG_H

#include <stdio.h>

#include <glib.h>

#include "process/status.h"

/*
 * log - writes GLib's structured log as JSON lines.
 *
 * Each line is one object with the members time (RFC 3339, UTC, milliseconds), level (debug, info,
 * notice, warning, error), module (G_LOG_DOMAIN of the caller) and message, and if they are known
 * request, step and peer.
 *
 * The rate of lines is limited, except for errors. A repeated line (same level, module, step, peer
 * and message) is written at most LOG_REPEAT_MAX times in LOG_REPEAT_MS. Lines about requests
 * rarely repeat; of those with the same module and step at most LOG_REQUEST_MAX are written in
 * LOG_REQUEST_MS. The next line after that time reports in suppressed how many were left out.
 *
 * A module defines G_LOG_DOMAIN before it includes this header.
 */
#define LOG_REPEAT_MAX	5
#define LOG_REPEAT_MS	10000
#define LOG_REQUEST_MAX 100
#define LOG_REQUEST_MS	1000

struct log;

/*
 * log_create - logger that writes lines of at least level to out, which it doesn't close. NULL if
 * there is no such level.
 */
struct log *log_create(const char *level, FILE *out);
/*
 * log_set_nonblocking - makes out non-blocking: if its reader stalls, lines are dropped and counted
 * instead of blocking the process.
 */
void log_set_nonblocking(struct log *l);
/* log_lost_count - number of lines dropped because writing them would have blocked. */
uint64_t log_lost_count(const struct log *l);
/* log_destroy - must not be called after log_install(). */
void log_destroy(struct log *l);
/* log_install - makes l GLib's log writer until the process ends; called once. */
void log_install(struct log *l);
/* log_write - writes one line, subject to the rate limits. now_ms is the wall clock. */
void log_write(struct log *l, GLogLevelFlags level, const GLogField *fields, size_t n,
	       int64_t now_ms);

/* log_event - logs a message; use the macros below. request, step and peer may be NULL. */
void log_event(const char *module, GLogLevelFlags level, const char *request, const char *step,
	       const char *peer, const char *fmt, ...) G_GNUC_PRINTF(6, 7);

#define LOG_ERROR   G_LOG_LEVEL_CRITICAL
#define LOG_WARNING G_LOG_LEVEL_WARNING
#define LOG_NOTICE  G_LOG_LEVEL_MESSAGE
#define LOG_INFO    G_LOG_LEVEL_INFO
#define LOG_DEBUG   G_LOG_LEVEL_DEBUG

/* log_error(step, peer, fmt, ...) etc.; step and peer may be NULL. */
#define log_error(...)	log_event(G_LOG_DOMAIN, LOG_ERROR, NULL, __VA_ARGS__)
#define log_warn(...)	log_event(G_LOG_DOMAIN, LOG_WARNING, NULL, __VA_ARGS__)
#define log_notice(...) log_event(G_LOG_DOMAIN, LOG_NOTICE, NULL, __VA_ARGS__)
#define log_info(...)	log_event(G_LOG_DOMAIN, LOG_INFO, NULL, __VA_ARGS__)
#define log_debug(...)	log_event(G_LOG_DOMAIN, LOG_DEBUG, NULL, __VA_ARGS__)
/* log_request(level, request_id, step, peer, fmt, ...) - logs a message about one request. */
#define log_request(level, ...) log_event(G_LOG_DOMAIN, level, __VA_ARGS__)
/* log_status(level, request_id, st) - logs a failed operation. */
#define log_status(level, request_id, st)                                                          \
	log_event(G_LOG_DOMAIN, level, request_id, (st)->step, (st)->peer, "%s: %s",               \
		  status_name((st)->code), (st)->message)

#endif
