#ifndef CTL_DIAGNOSTICS_H
#define CTL_DIAGNOSTICS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

/* diagnostics - errors found in a set of files, with their positions. */
struct diagnostics;

/* Lines and columns count from 1. */
struct position {
	uint32_t line;
	uint32_t column;
};

struct diagnostics *diagnostics_create(void);
void diagnostics_destroy(struct diagnostics *diags);
void diagnostics_add(struct diagnostics *diags, const char *file, struct position at,
		     const char *fmt, ...) __attribute__((format(printf, 4, 5)));
size_t diagnostics_count(const struct diagnostics *diags);
/* diagnostics_print - sorts by file and position, then prints lines FILE:LINE:COLUMN: TEXT. */
void diagnostics_print(struct diagnostics *diags, FILE *out);

#endif
