#ifndef DAEMON_LOG_H
#define DAEMON_LOG_H

#include <stdio.h>

#include <glib.h>

#include "process/status.h"

/*
 * log - GLib's structured logging, written as JSON lines.
 *
 * Each line is one object with the members time (RFC 3339, UTC, milliseconds), level (debug, info,
 * notice, warning, error), module (G_LOG_DOMAIN of the caller) and message, and where they are
 * known request, step and peer. A line that repeats (same level, module, step, peer and message) is
 * written at most LOG_REPEAT_MAX times in LOG_REPEAT_MS; the next one after that time says in
 * suppressed how many were left out. Errors are never left out.
 *
 * Lines about a request differ by nature; of those of one kind (same module and step) at most
 * LOG_REQUEST_MAX are written in a second, and the next one says how many were left out.
 *
 * A module defines G_LOG_DOMAIN before it includes this header.
 */
#define LOG_REPEAT_MAX	5
#define LOG_REPEAT_MS	10000
#define LOG_REQUEST_MAX 100
#define LOG_REQUEST_MS	1000

struct log;

/* log_create - level is the lowest that is written; NULL if it is not known. out is not closed. */
struct log *log_create(const char *level, FILE *out);
/*
 * log_set_nonblocking - a reader of out that stalls costs lines, which are counted, but never time.
 */
void log_set_nonblocking(struct log *l);
/* log_lost_count - lines that were left out because out took no more. */
uint64_t log_lost_count(const struct log *l);
/* log_destroy - must not be called after log_install(). */
void log_destroy(struct log *l);
/* log_install - makes l GLib's log writer until the process ends; to be called once. */
void log_install(struct log *l);
/* log_write - writes one line. now_ms is the wall clock. */
void log_write(struct log *l, GLogLevelFlags level, const GLogField *fields, size_t n,
	       int64_t now_ms);

/* log_event - use the macros below. request, step and peer may be NULL. */
void log_event(const char *module, GLogLevelFlags level, const char *request, const char *step,
	       const char *peer, const char *fmt, ...) G_GNUC_PRINTF(6, 7);

#define LOG_ERROR   G_LOG_LEVEL_CRITICAL
#define LOG_WARNING G_LOG_LEVEL_WARNING
#define LOG_NOTICE  G_LOG_LEVEL_MESSAGE
#define LOG_INFO    G_LOG_LEVEL_INFO
#define LOG_DEBUG   G_LOG_LEVEL_DEBUG

/* log_error(step, peer, fmt, ...) and so on; step and peer may be NULL. */
#define log_error(...)	log_event(G_LOG_DOMAIN, LOG_ERROR, NULL, __VA_ARGS__)
#define log_warn(...)	log_event(G_LOG_DOMAIN, LOG_WARNING, NULL, __VA_ARGS__)
#define log_notice(...) log_event(G_LOG_DOMAIN, LOG_NOTICE, NULL, __VA_ARGS__)
#define log_info(...)	log_event(G_LOG_DOMAIN, LOG_INFO, NULL, __VA_ARGS__)
#define log_debug(...)	log_event(G_LOG_DOMAIN, LOG_DEBUG, NULL, __VA_ARGS__)
/* log_request(level, request_id, step, peer, fmt, ...) - about one request. */
#define log_request(level, ...) log_event(G_LOG_DOMAIN, level, __VA_ARGS__)
/* log_status(level, request_id, st) - a failed operation with its step, peer and message. */
#define log_status(level, request_id, st)                                                          \
	log_event(G_LOG_DOMAIN, level, request_id, (st)->step, (st)->peer, "%s: %s",               \
		  status_name((st)->code), (st)->message)

#endif
