#ifndef WIRE_FRAME_H
#define WIRE_FRAME_H

#include <stdbool.h>

#include <glib.h>

#include "kw.pb-c.h"

/*
 * frame - length-framed envelopes: 4 bytes of length in network order, then a protobuf Envelope.
 */
#define FRAME_HEADER_BYTES 4

/* frame_encode - returns the whole frame, owned by the caller. */
GBytes *frame_encode(const Kw__Envelope *e);

enum frame_result {
	FRAME_INCOMPLETE = 0, /* in holds no whole frame yet */
	FRAME_OK,
	FRAME_TOO_LARGE,
	FRAME_MALFORMED,
};

/*
 * frame_decode - takes the first frame from in. On FRAME_OK *e is owned by the caller
 * (kw__envelope__free_unpacked) and *size_bytes is the size of the frame.
 */
enum frame_result frame_decode(GByteArray *in, uint32_t max_bytes, Kw__Envelope **e,
			       uint32_t *size_bytes);

#endif
