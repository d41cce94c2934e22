#ifndef CTL_SUGGEST_H
#define CTL_SUGGEST_H

#include <stdbool.h>
#include <stddef.h>

/*
 * suggest_nearest - the known word with the smallest edit distance to word, or NULL if none is
 * close: at most a third of the length of word, but at least 1. Otherwise, the first known word
 * that starts with word and an underscore, such as run_ms for run.
 */
const char *suggest_nearest(const char *word, const char *const *known, size_t n);
/* suggest_text - "; did you mean "X"?" for the nearest word, or "". The caller frees it. */
char *suggest_text(const char *word, const char *const *known, size_t n);

#endif
