/**
 * Counters, gauges and log-scale histograms of the process.
 *
 * A registry owns its metrics. A metric is found again by its name and labels,
 * so that a caller class seen for the first time makes a new series.
 */
#ifndef BRIARPLANK_COMMON_METRICS_H
#define BRIARPLANK_COMMON_METRICS_H

#include <stdint.h>
#include <glib.h>

struct metrics;
struct counter;
struct histogram;

/** Makes an empty registry. */
struct metrics *metrics_create(void);

/** Frees the registry with all its metrics. */
void metrics_destroy(struct metrics *metrics);

/**
 * Finds or makes a counter. labels is Prometheus label text without braces,
 * such as service="chat"; it may be empty.
 */
struct counter *metrics_counter(struct metrics *metrics, const char *name,
				const char *labels);

/** Finds or makes a gauge, which is a counter that may be set. */
struct counter *metrics_gauge(struct metrics *metrics, const char *name,
			      const char *labels);

/** Finds or makes a histogram of times in microseconds. */
struct histogram *metrics_histogram(struct metrics *metrics, const char *name,
				    const char *labels);

void counter_add(struct counter *counter, uint64_t amount);
void counter_set(struct counter *counter, uint64_t value);
uint64_t counter_value(const struct counter *counter);

/** Records one time, in microseconds. */
void histogram_record(struct histogram *histogram, uint64_t us);

uint64_t histogram_count(const struct histogram *histogram);

/** Returns the upper bound of the bucket that holds a quantile, in us. */
uint64_t histogram_quantile(const struct histogram *histogram, double q);

/** Appends all metrics in Prometheus text format. */
void metrics_render(const struct metrics *metrics, GString *out);

#endif
