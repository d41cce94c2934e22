#ifndef BENCH_SLOPES_H
#define BENCH_SLOPES_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "process/status.h"

/*
 * slopes - measured points, read from JSON lines as the programs of this folder print them, and
 * the straight lines through them.
 */
#define LINE_SIZES_MIN 4

struct point {
	char *name;
	char *unit;
	char *per;
	uint64_t x;
	double value;
};

/* value = base + slope * x, by least squares of the relative errors. */
struct line {
	double base;
	double slope;
	double error_milli; /* largest relative error of a point, in thousandths */
	uint32_t sizes;
	const struct point *sample; /* for unit and per */
};

struct slopes;

/* slopes_load - reads the file at path; NULL with the reason in st. */
struct slopes *slopes_load(const char *path, struct status *st);
void slopes_destroy(struct slopes *s);

size_t slopes_count(const struct slopes *s);
const struct point *slopes_at(const struct slopes *s, size_t i);
const struct point *slopes_find(const struct slopes *s, const char *name, uint64_t x);
/* slopes_line - false if name was measured at fewer than SLOPE_SIZES_MIN sizes. */
bool slopes_line(const struct slopes *s, const char *name, struct line *line);
/* slopes_value - value on the line of name at x, NAN if it was not measured. */
double slopes_value(const struct slopes *s, const char *name, double x);
/* slopes_slope - slope of the line of name, NAN if it was not measured. */
double slopes_slope(const struct slopes *s, const char *name);

#endif
