/**
 * Registry of counters, gauges and log-scale histograms.
 *
 * A registry owns its metrics. A metric is looked up by name and labels, and
 * created on first use, so that new label values add series at run time.
 */
#ifndef BRIARPLANK_COMMON_METRICS_H
#define BRIARPLANK_COMMON_METRICS_H

#include <stdint.h>
#include <glib.h>

struct metrics;
struct counter;
struct histogram;

/** Creates an empty registry. */
struct metrics *metrics_create(void);

/** Frees the registry and all its metrics. */
void metrics_destroy(struct metrics *metrics);

/**
 * Finds or creates a counter. labels is Prometheus label text without braces,
 * such as service="chat"; it may be empty.
 */
struct counter *metrics_counter(struct metrics *metrics, const char *name,
				const char *labels);

/** Finds or creates a gauge, which is a counter that may be set. */
struct counter *metrics_gauge(struct metrics *metrics, const char *name,
			      const char *labels);

/** Finds or creates a histogram of durations in microseconds. */
struct histogram *metrics_histogram(struct metrics *metrics, const char *name,
				    const char *labels);

void counter_add(struct counter *counter, uint64_t amount);
void counter_set(struct counter *counter, uint64_t value);
uint64_t counter_value(const struct counter *counter);

/** Records one duration in microseconds. */
void histogram_record(struct histogram *histogram, uint64_t us);

uint64_t histogram_count(const struct histogram *histogram);

/**
 * Returns the upper bound in us of the bucket that contains quantile q, from 0
 * to 1, or 0 for an empty histogram.
 */
uint64_t histogram_quantile(const struct histogram *histogram, double q);

/** Appends all metrics in the Prometheus text format. */
void metrics_render(const struct metrics *metrics, GString *out);

#endif
