#ifndef DAEMON_PREFIXED_STREAM_H
#define DAEMON_PREFIXED_STREAM_H

#include <gio/gio.h>

/*
 * prefixed_stream_new - a stream that reads the bytes of prefix first and then those of base, whose
 * input must be pollable. It writes to base, and closing it closes base. Owned by the caller.
 */
GIOStream *prefixed_stream_new(GIOStream *base, GByteArray *prefix);

#endif
