#include <math.h>
#include <string.h>

#include <glib.h>

#include "compare.h"

/* How much a fresh value may exceed the committed one. Other units: not at all. */
struct tolerance {
	const char *unit;
	int32_t excess_milli; /* -1: no bound */
};

static const struct tolerance tolerances[] = {
	{ "bytes", 20 },
	{ "instructions", 100 },
	{ "ns", -1 },
};

static int32_t tolerance_milli(const char *unit)
{
	for (size_t i = 0; i < G_N_ELEMENTS(tolerances); i++)
		if (strcmp(tolerances[i].unit, unit) == 0)
			return tolerances[i].excess_milli;
	return 0;
}

static bool print_point(const struct point *p, const struct point *committed, FILE *out)
{
	int32_t excess_milli = tolerance_milli(p->unit);
	double bound = committed ? committed->value * (1000 + excess_milli) / 1000 : NAN;
	bool ok = excess_milli < 0 || (committed && p->value <= bound);

	fprintf(out,
		"{\"name\":\"%s(%" G_GUINT64_FORMAT
		" %s)\",\"value\":%.10g,\"unit\":\"%s\",\"bound\":",
		p->name, p->x, p->per, p->value, p->unit);
	if (excess_milli < 0 || isnan(bound))
		fprintf(out, "null");
	else
		fprintf(out, "%.10g", bound);
	fprintf(out, ",\"ok\":%s}\n", ok ? "true" : "false");
	return ok;
}

uint32_t compare_points(const struct slopes *fresh, const struct slopes *committed, FILE *out)
{
	uint32_t failed = 0;

	for (size_t i = 0; i < slopes_count(fresh); i++) {
		const struct point *p = slopes_at(fresh, i);

		if (!print_point(p, slopes_find(committed, p->name, p->x), out))
			failed++;
	}
	for (size_t i = 0; i < slopes_count(committed); i++) {
		const struct point *p = slopes_at(committed, i);

		if (slopes_find(fresh, p->name, p->x))
			continue;
		fprintf(stderr, "%s at %" G_GUINT64_FORMAT " was not measured\n", p->name, p->x);
		failed++;
	}
	fprintf(stderr, "%u of %zu points exceed their bound or are missing\n", failed,
		slopes_count(fresh));
	return failed;
}
