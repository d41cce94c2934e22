#ifndef RECORD_H
#define RECORD_H

#include <stdbool.h>

#include <json-glib/json-glib.h>

/*
 * record - the file of events that the checks read. Each line is a JSON object with the monotonic
 * time in microseconds, the worker and the event.
 */
struct record_file;

/* record_open - creates or truncates the file. Returns NULL with a message on stderr on failure. */
struct record_file *record_open(const char *path);
void record_close(struct record_file *f);

/* record_begin - starts an event. The caller adds members and passes it to record_end(). */
JsonBuilder *record_begin(const char *worker, const char *event);
/* record_end - writes the event as one line; takes ownership of b. */
void record_end(struct record_file *f, JsonBuilder *b);

#endif
