#ifndef CORE_JSON_TEXT_H
#define CORE_JSON_TEXT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <json-glib/json-glib.h>

/*
 * json_text - parses JSON that others wrote: callers, runners, the platform, files; writes JSON
 * that others read.
 *
 * JSON-GLib recurses once for each level of nesting, so the nesting is bounded before it sees the
 * text. No document of our interfaces comes near to the bound. It also wraps integers beyond 64
 * bits, so these are read as floating-point numbers, as JSON gives numbers no range.
 */
#define JSON_TEXT_DEPTH_MAX 64

/*
 * json_text_load - like json_parser_load_from_data() with a size, but fails with
 * JSON_PARSER_ERROR_PARSE if the text is empty, nested deeper than JSON_TEXT_DEPTH_MAX, or holds a
 * comment or a single-quoted string, which JSON doesn't have.
 */
bool json_text_load(JsonParser *parser, const void *data, size_t size, GError **err);

/*
 * json_text_check_strings - returns NULL if JSON-GLib reads the strings of a text that
 * json_text_load() accepts as they are, else a static message. It cuts a string at U+0000, makes
 * half of a surrogate pair a text that isn't UTF-8, and reads escapes that JSON doesn't have.
 */
const char *json_text_check_strings(const void *data, size_t size);

/*
 * json_text_write - like json_to_string() without indentation, but escapes U+001F too, which JSON
 * allows in no string and JSON-GLib 1.6 leaves as it is. Free with g_free().
 */
char *json_text_write(JsonNode *root);

#endif
