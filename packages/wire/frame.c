#include <arpa/inet.h>
#include <string.h>

#include "frame.h"

GBytes *frame_encode(const Kw__Envelope *e)
{
	size_t size = kw__envelope__get_packed_size(e);
	uint8_t *buf = g_malloc(FRAME_HEADER_BYTES + size);
	uint32_t len = htonl((uint32_t)size);

	memcpy(buf, &len, sizeof(len));
	kw__envelope__pack(e, buf + FRAME_HEADER_BYTES);
	return g_bytes_new_take(buf, FRAME_HEADER_BYTES + size);
}

enum frame_result frame_decode(GByteArray *in, uint32_t max_bytes, Kw__Envelope **e,
			       uint32_t *size_bytes)
{
	uint32_t len;

	if (in->len < FRAME_HEADER_BYTES)
		return FRAME_INCOMPLETE;
	memcpy(&len, in->data, sizeof(len));
	len = ntohl(len);
	if (len > max_bytes)
		return FRAME_TOO_LARGE;
	if (in->len - FRAME_HEADER_BYTES < len)
		return FRAME_INCOMPLETE;
	*e = kw__envelope__unpack(NULL, len, in->data + FRAME_HEADER_BYTES);
	if (!*e)
		return FRAME_MALFORMED;
	*size_bytes = len + FRAME_HEADER_BYTES;
	g_byte_array_remove_range(in, 0, *size_bytes);
	return FRAME_OK;
}
