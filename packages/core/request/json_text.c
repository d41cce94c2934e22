#include <string.h>

#include "json_text.h"

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

static bool check_nesting(const char *text, size_t size, GError **err)
{
	uint32_t depth = 0;

	for (size_t i = 0; i < size; i++) {
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
	if (!data || !size)
		return fail(err, 0, "the text is empty");
	return check_nesting(data, size, err) &&
	       json_parser_load_from_data(parser, data, (gssize)size, err);
}
