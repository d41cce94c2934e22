#ifndef BENCH_COMPARE_H
#define BENCH_COMPARE_H

#include <stdio.h>

#include "slopes.h"

/*
 * compare_points - compares fresh points with the committed ones
 *
 * Prints each fresh point to out as a JSON line {"name","value","unit","bound","ok"}. Returns the
 * number of points that exceed their bound or that only one side has. The bound is the committed
 * value plus a tolerance that depends on the unit. Times have no bound and always pass.
 */
uint32_t compare_points(const struct slopes *fresh, const struct slopes *committed, FILE *out);

#endif
