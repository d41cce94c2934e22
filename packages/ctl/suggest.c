#include <string.h>

#include <glib.h>

#include "suggest.h"

enum { WORD_MAX_BYTES = 64 };

/* Edits from a to b: insertions, deletions, replacements and swaps of neighbours. */
static size_t edit_distance(const char *a, const char *b)
{
	size_t na = strlen(a), nb = strlen(b);
	size_t rows[3][WORD_MAX_BYTES + 1];
	size_t *prev2 = rows[0], *prev = rows[1], *row = rows[2];

	if (na > WORD_MAX_BYTES || nb > WORD_MAX_BYTES)
		return WORD_MAX_BYTES;
	for (size_t j = 0; j <= nb; j++)
		prev[j] = prev2[j] = j;
	for (size_t i = 1; i <= na; i++) {
		size_t *spare = prev2;

		row[0] = i;
		for (size_t j = 1; j <= nb; j++) {
			row[j] = MIN(prev[j], row[j - 1]) + 1;
			row[j] = MIN(row[j], prev[j - 1] + (a[i - 1] != b[j - 1]));
			if (i > 1 && j > 1 && a[i - 1] == b[j - 2] && a[i - 2] == b[j - 1])
				row[j] = MIN(row[j], prev2[j - 2] + 1);
		}
		prev2 = prev;
		prev = row;
		row = spare;
	}
	return prev[nb];
}

static bool is_prefix_of(const char *word, const char *known)
{
	size_t n = strlen(word);

	return n > 0 && strncmp(word, known, n) == 0 && known[n] == '_';
}

const char *suggest_nearest(const char *word, const char *const *known, size_t n)
{
	size_t best = MAX(strlen(word) / 3, 1) + 1;
	size_t nearest = n;

	for (size_t i = 0; i < n; i++) {
		size_t d = edit_distance(word, known[i]);

		if (d < best) {
			best = d;
			nearest = i;
		}
	}
	for (size_t i = 0; i < n && nearest == n; i++)
		if (is_prefix_of(word, known[i]))
			nearest = i;
	return nearest < n ? known[nearest] : NULL;
}

char *suggest_text(const char *word, const char *const *known, size_t n)
{
	const char *nearest = suggest_nearest(word, known, n);

	return nearest ? g_strdup_printf("; did you mean \"%s\"?", nearest) : g_strdup("");
}
