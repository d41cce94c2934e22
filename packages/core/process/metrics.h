#ifndef CORE_METRICS_H
#define CORE_METRICS_H

#include <stdint.h>

#include <glib.h>

#include "hist.h"

/*
 * metrics - registry of labelled counters, gauges and histograms of one process.
 *
 * A series is created on first use and lives as long as the registry. The returned pointer stays
 * valid, so callers keep it instead of looking it up again. A series takes a fixed amount of
 * memory: its labels plus 8 bytes for a counter or gauge, or one struct hist for a histogram. A
 * family holds at most METRICS_SERIES_MAX series; further label sets share one series labelled
 * overflow="true".
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
 * metrics_counter, metrics_gauge, metrics_hist - gets or creates the series of family name with the
 * given labels: pairs of name and value, terminated by NULL. name and help must outlive the
 * registry (string constants); labels are copied. All series of a family must be of the same type.
 */
struct counter *metrics_counter(struct metrics *m, const char *name, const char *help,
				...) G_GNUC_NULL_TERMINATED;
struct gauge *metrics_gauge(struct metrics *m, const char *name, const char *help,
			    ...) G_GNUC_NULL_TERMINATED;
struct hist *metrics_hist(struct metrics *m, const char *name, const char *help,
			  ...) G_GNUC_NULL_TERMINATED;

/* metrics_series_count - number of series in all families. */
size_t metrics_series_count(const struct metrics *m);

/*
 * metrics_write - appends the families whose names start with prefix (NULL for all) to out in the
 * Prometheus text format. Values are integers, so the inclusive bucket bounds are one less than a
 * power of two (le="0", "1", "3", "7", ...). Empty buckets before the first and after the last
 * value are left out.
 */
void metrics_write(const struct metrics *m, const char *prefix, GString *out);

#endif
