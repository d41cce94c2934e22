#ifndef CTL_TRACE_H
#define CTL_TRACE_H

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#include <glib.h>

/*
 * trace - the log lines of one job, collected from the logs of several daemons.
 *
 * A log has one JSON object per line. Text before the object, such as a time and the VM's name from
 * a log collector, becomes the line's source. A line belongs to the job if its request is the job's
 * id or the id of one of its steps or tasks.
 */
struct trace_line {
	int64_t time_us; /* wall clock */
	char *source;	 /* the collector's prefix, or else the name of the log */
	char *module;
	char *step;
	char *request;
	char *peer;
	char *message;
};

struct trace;

/* trace_create - id is the id of the job. */
struct trace *trace_create(const char *id);
void trace_destroy(struct trace *t);
/*
 * trace_read - adds the job's lines of one log. False if none of its lines is a log line.
 * *unreadable counts the lines that are not, such as a truncated last line.
 */
bool trace_read(struct trace *t, FILE *in, const char *name, uint32_t *unreadable);
/* trace_lines - the struct trace_line found so far, sorted by time; owned by t. */
const GPtrArray *trace_lines(struct trace *t);
/* trace_print - prints each line with the time since the previous one, then the longest gap. */
void trace_print(struct trace *t, FILE *out);

#endif
