#ifndef CORE_UUID7_H
#define CORE_UUID7_H

#include <stdbool.h>
#include <stdint.h>

#define UUID7_BYTES	 16
#define UUID7_TEXT_BYTES 37 /* with the terminating NUL */

/* uuid7_parse - parses the text form; false if it is not a UUIDv7. */
bool uuid7_parse(const char *text, uint8_t id[UUID7_BYTES]);
/* uuid7_format - writes the text form to buf, in lower case. */
void uuid7_format(const uint8_t id[UUID7_BYTES], char buf[UUID7_TEXT_BYTES]);
/* uuid7_time_ms - timestamp of a UUIDv7 in text form; false if the text is not one. */
bool uuid7_time_ms(const char *text, int64_t *wall_ms);
/* uuid7_make - writes the UUIDv7 of a timestamp and 10 random bytes to buf. */
void uuid7_make(int64_t wall_ms, const uint8_t random[10], char buf[UUID7_TEXT_BYTES]);

#endif
