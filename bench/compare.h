#ifndef BENCH_COMPARE_H
#define BENCH_COMPARE_H

#include <stdio.h>

#include "slopes.h"

/*
 * judge - prints each fresh point to out as a JSON line {"name","value","unit","bound","ok"} and
 * returns how many counts lie above their bound or stand on one side only. The bound is the
 * committed value and a tolerance of its unit. Times are printed and not judged.
 */
uint32_t compare_points(const struct slopes *fresh, const struct slopes *committed, FILE *out);

#endif
