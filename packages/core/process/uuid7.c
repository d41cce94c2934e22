#include <string.h>

#include <glib.h>

#include "uuid7.h"

#define TEXT_LENGTH  (UUID7_TEXT_BYTES - 1)
#define TIME_BYTES   6
#define VERSION_BYTE 6
#define VERSION	     0x70
#define VARIANT_BYTE 8
#define VARIANT	     0x80
#define RANDOM_BYTES 10

static bool is_dash(size_t i)
{
	return i == 8 || i == 13 || i == 18 || i == 23;
}

bool uuid7_parse(const char *text, uint8_t id[UUID7_BYTES])
{
	size_t digits = 0;

	if (!text || strlen(text) != TEXT_LENGTH)
		return false;
	for (size_t i = 0; i < TEXT_LENGTH; i++) {
		int digit = g_ascii_xdigit_value(text[i]);

		if (is_dash(i) && text[i] == '-')
			continue;
		if (is_dash(i) || digit < 0)
			return false;
		if (digits % 2 == 0)
			id[digits / 2] = (uint8_t)(digit << 4);
		else
			id[digits / 2] |= (uint8_t)digit;
		digits++;
	}
	return (id[VERSION_BYTE] & 0xf0) == VERSION && (id[VARIANT_BYTE] & 0xc0) == VARIANT;
}

void uuid7_format(const uint8_t id[UUID7_BYTES], char buf[UUID7_TEXT_BYTES])
{
	static const char hex[] = "0123456789abcdef";
	size_t n = 0;

	for (size_t i = 0; i < UUID7_BYTES; i++) {
		if (is_dash(n))
			buf[n++] = '-';
		buf[n++] = hex[id[i] >> 4];
		buf[n++] = hex[id[i] & 0xf];
	}
	buf[n] = '\0';
}

bool uuid7_time_ms(const char *text, int64_t *wall_ms)
{
	uint8_t id[UUID7_BYTES];

	if (!uuid7_parse(text, id))
		return false;
	*wall_ms = 0;
	for (size_t i = 0; i < TIME_BYTES; i++)
		*wall_ms = *wall_ms << 8 | id[i];
	return true;
}

void uuid7_make(int64_t wall_ms, const uint8_t random[RANDOM_BYTES], char buf[UUID7_TEXT_BYTES])
{
	uint8_t id[UUID7_BYTES];

	for (size_t i = 0; i < TIME_BYTES; i++)
		id[i] = (uint8_t)(wall_ms >> (8 * (TIME_BYTES - 1 - i)));
	memcpy(id + TIME_BYTES, random, RANDOM_BYTES);
	id[VERSION_BYTE] = VERSION | (id[VERSION_BYTE] & 0x0f);
	id[VARIANT_BYTE] = VARIANT | (id[VARIANT_BYTE] & 0x3f);
	uuid7_format(id, buf);
}
