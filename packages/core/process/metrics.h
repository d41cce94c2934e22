#ifndef CORE_METRICS_H
#define CORE_METRICS_H

#include <stdint.h>

#include <glib.h>

#include "hist.h"

/*
 * metrics - registry of counters, gauges and histograms with labels, for one process.
 *
 * A series is made on first use and lives as long as the registry; the pointer returned stays
 * valid, so callers keep it instead of looking it up again. Its memory is fixed: the labels, and
 * 8 bytes for a counter or gauge or one struct hist for a histogram. A family holds at most
 * METRICS_SERIES_MAX series; further label sets share one series labelled overflow="true".
 */
#define METRICS_SERIES_MAX 8192

struct metrics;

struct counter {
	uint64_t value;
};

struct gauge {
	int64_t value;
};

struct metrics *metrics_create(void);
void metrics_destroy(struct metrics *m);

/*
 * metrics_counter, metrics_gauge, metrics_hist - the series of family name with the labels given as
 * pairs of name and value, ended by NULL. name and help have to outlive the registry (constant
 * strings); labels are copied. One name is of one kind.
 */
struct counter *metrics_counter(struct metrics *m, const char *name, const char *help,
				...) G_GNUC_NULL_TERMINATED;
struct gauge *metrics_gauge(struct metrics *m, const char *name, const char *help,
			    ...) G_GNUC_NULL_TERMINATED;
struct hist *metrics_hist(struct metrics *m, const char *name, const char *help,
			  ...) G_GNUC_NULL_TERMINATED;

/* metrics_series_count - number of series of all families. */
size_t metrics_series_count(const struct metrics *m);

/*
 * metrics_write - appends the families whose names start with prefix (NULL for all) to out in the
 * Prometheus text format. Values are whole numbers, so a histogram's buckets end right below the
 * powers of two (le="0", "1", "3", "7", ...), from the first to the last that holds a value.
 */
void metrics_write(const struct metrics *m, const char *prefix, GString *out);

#endif
