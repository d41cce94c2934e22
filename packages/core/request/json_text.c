#include <string.h>

#include "json_text.h"

#define INT64_DIGITS 19 /* shorter integers fit into an int64_t */

static bool fail(GError **err, size_t at, const char *why)
{
	g_set_error(err, JSON_PARSER_ERROR, JSON_PARSER_ERROR_PARSE, "byte %" G_GSIZE_FORMAT ": %s",
		    at, why);
	return false;
}

/* Returns the index of the quote that ends the string which begins at at, or size. */
static size_t skip_string(const char *text, size_t size, size_t at)
{
	for (at++; at < size && text[at] != '"'; at++)
		if (text[at] == '\\')
			at++;
	return MIN(at, size);
}

static bool is_number_char(char c)
{
	return g_ascii_isalnum(c) || c == '.' || c == '+' || c == '-';
}

/* Whether the text from begin to end is an integer that an int64_t can't hold. */
static bool is_oversized_int(const char *text, size_t begin, size_t end)
{
	g_autofree char *number = g_strndup(text + begin, end - begin);

	return strspn(number, "-0123456789") == end - begin &&
	       !g_ascii_string_to_signed(number, 10, INT64_MIN, INT64_MAX, NULL, NULL);
}

/*
 * Returns the end of the number or word that begins at at, and notes in oversized the ends of
 * integers that an int64_t can't hold.
 */
static size_t skip_token(const char *text, size_t size, size_t at, GArray *oversized)
{
	size_t begin = at;

	while (at < size && is_number_char(text[at]))
		at++;
	if (at - begin >= INT64_DIGITS && is_oversized_int(text, begin, at))
		g_array_append_val(oversized, at);
	return at;
}

static bool scan(const char *text, size_t size, GArray *oversized, GError **err)
{
	uint32_t depth = 0;

	for (size_t i = 0; i < size; i++) {
		if (is_number_char(text[i]))
			i = skip_token(text, size, i, oversized);
		if (i == size)
			break;
		switch (text[i]) {
		case '"':
			i = skip_string(text, size, i);
			break;
		case '[':
		case '{':
			if (++depth > JSON_TEXT_DEPTH_MAX)
				return fail(err, i, "nested too deeply");
			break;
		case ']':
		case '}':
			depth -= depth ? 1 : 0;
			break;
		/* JSON-GLib reads both, and brackets in them must not hide others. */
		case '/':
			return fail(err, i, "a comment");
		case '\'':
			return fail(err, i, "a string in single quotes");
		default:
			break;
		}
	}
	return true;
}

bool json_text_load(JsonParser *parser, const void *data, size_t size, GError **err)
{
	g_autoptr(GArray) oversized = g_array_new(FALSE, FALSE, sizeof(size_t));
	g_autoptr(GString) copy = NULL;

	if (!data || !size)
		return fail(err, 0, "the text is empty");
	if (!scan(data, size, oversized, err))
		return false;
	if (!oversized->len)
		return json_parser_load_from_data(parser, data, (gssize)size, err);
	copy = g_string_new_len(data, (gssize)size);
	for (guint i = oversized->len; i > 0; i--)
		g_string_insert(copy, (gssize)g_array_index(oversized, size_t, i - 1), "e0");
	return json_parser_load_from_data(parser, copy->str, (gssize)copy->len, err);
}

#define ESCAPE_CHARS 6 /* of \uXXXX */

/* Reads \uXXXX at the begin of a text; false if it is something else. */
static bool read_unit(const char *text, size_t size, uint32_t *unit)
{
	*unit = 0;
	if (size < ESCAPE_CHARS || text[0] != '\\' || text[1] != 'u')
		return false;
	for (int i = 2; i < ESCAPE_CHARS; i++) {
		if (!g_ascii_isxdigit(text[i]))
			return false;
		*unit = *unit * 16 + (uint32_t)g_ascii_xdigit_value(text[i]);
	}
	return true;
}

static bool is_high_surrogate(uint32_t unit)
{
	return unit >= 0xd800 && unit < 0xdc00;
}

static bool is_low_surrogate(uint32_t unit)
{
	return unit >= 0xdc00 && unit < 0xe000;
}

/* Checks the escape at the begin of a text, and sets its length. */
static const char *check_escape(const char *text, size_t size, size_t *length)
{
	uint32_t unit;
	uint32_t low;

	*length = 2;
	if (size >= 2 && text[1] != '\0' && strchr("\"\\/bfnrt", text[1]))
		return NULL;
	if (!read_unit(text, size, &unit))
		return "a string has an escape that JSON doesn't have";
	*length = ESCAPE_CHARS;
	if (unit == 0)
		return "a string has U+0000";
	if (!is_high_surrogate(unit) && !is_low_surrogate(unit))
		return NULL;
	if (is_low_surrogate(unit) || !read_unit(text + ESCAPE_CHARS, size - ESCAPE_CHARS, &low) ||
	    !is_low_surrogate(low))
		return "a string has half of a surrogate pair";
	*length = (size_t)2 * ESCAPE_CHARS;
	return NULL;
}

const char *json_text_check_strings(const void *data, size_t size)
{
	const char *text = data;
	size_t length;

	if (memchr(text, '\0', size))
		return "a string has U+0000";
	for (size_t i = 0; i < size; i += length) {
		const char *error = NULL;

		length = 1;
		if (text[i] == '\\')
			error = check_escape(text + i, size - i, &length);
		if (error)
			return error;
	}
	return NULL;
}

char *json_text_write(JsonNode *root)
{
	char *text = json_to_string(root, FALSE);
	GString *escaped;

	if (!strchr(text, '\x1f'))
		return text;
	escaped = g_string_new(text);
	g_free(text);
	g_string_replace(escaped, "\x1f", "\\u001f", 0);
	return g_string_free(escaped, FALSE);
}
