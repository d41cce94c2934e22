#ifndef WIRE_FRAME_H
#define WIRE_FRAME_H

#include <stdbool.h>

#include <glib.h>

#include "kw.pb-c.h"

/*
 * frame - length-prefixed envelopes: the length in 4 bytes in network byte order, then a protobuf
 * Envelope.
 */
#define FRAME_HEADER_BYTES 4

/* frame_encode - returns a frame with its header, owned by the caller. */
GBytes *frame_encode(const Kw__Envelope *e);

enum frame_result {
	FRAME_INCOMPLETE = 0, /* in holds no complete frame yet */
	FRAME_OK,
	FRAME_TOO_LARGE,
	FRAME_MALFORMED,
};

/*
 * frame_decode - decodes the first frame of in and removes it. max_bytes limits the envelope. On
 * FRAME_OK the caller owns *e (kw__envelope__free_unpacked) and *size_bytes is the size of the
 * frame with its header; otherwise in is unchanged.
 */
enum frame_result frame_decode(GByteArray *in, uint32_t max_bytes, Kw__Envelope **e,
			       uint32_t *size_bytes);

#endif
