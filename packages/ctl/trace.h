#ifndef CTL_TRACE_H
#define CTL_TRACE_H

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#include <glib.h>

/*
 * trace - one request's life, put together from the logs of several daemons.
 *
 * A log holds one JSON object a line; what stands before the object (a time and the name of a VM,
 * as log collectors add them) is kept as the source of the line. Lines belong to a job if their
 * request is its id, or one of its steps or tasks.
 */
struct trace_line {
	int64_t time_us; /* wall clock */
	char *source;
	char *module;
	char *step;
	char *request;
	char *peer;
	char *message;
};

struct trace;

struct trace *trace_create(const char *id);
void trace_destroy(struct trace *t);
/*
 * trace_read - takes the lines of one file. False if none of its lines is a log line; *unreadable
 * counts those that are not, such as the last line of a file that was cut.
 */
bool trace_read(struct trace *t, FILE *in, const char *name, uint32_t *unreadable);
/* trace_lines - in order of time; owned by t. */
const GPtrArray *trace_lines(struct trace *t);
/* trace_print - the lines with the gap before each, then the longest gap. */
void trace_print(struct trace *t, FILE *out);

#endif
