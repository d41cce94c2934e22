#ifndef BENCH_SLOPES_H
#define BENCH_SLOPES_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "process/status.h"

/*
 * slopes - measured points and the straight lines fitted through them
 *
 * The points are JSON lines as bench_print_point() writes them. A line needs points at
 * LINE_SIZES_MIN sizes.
 */
#define LINE_SIZES_MIN 4

struct point {
	char *name;
	char *unit;
	char *per;
	uint64_t x;
	double value;
};

/* value = base + slope * x, fitted by least squares of the relative errors. */
struct line {
	double base;
	double slope;
	double error_milli; /* largest relative error of a point */
	uint32_t sizes;
	const struct point *sample; /* one of the points, for unit and per */
};

struct slopes;

/* slopes_load - reads the file at path; NULL on error, with the reason in st */
struct slopes *slopes_load(const char *path, struct status *st);
void slopes_destroy(struct slopes *s);

size_t slopes_count(const struct slopes *s);
const struct point *slopes_at(const struct slopes *s, size_t i);
/* slopes_find - the point of name at size x, or NULL */
const struct point *slopes_find(const struct slopes *s, const char *name, uint64_t x);
/* slopes_line - the line of name; false if it has fewer than LINE_SIZES_MIN points */
bool slopes_line(const struct slopes *s, const char *name, struct line *line);
/* slopes_value - value on the line of name at x, NAN without a line */
double slopes_value(const struct slopes *s, const char *name, double x);
/* slopes_slope - slope of the line of name, NAN without a line */
double slopes_slope(const struct slopes *s, const char *name);

#endif
