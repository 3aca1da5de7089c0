#include <string.h>

#include "common/list.h"
#include "common/metrics.h"

/*
 * Each octave, from one power of two to the next, is divided into four buckets
 * of equal width, so a quantile is at most 25% too high. The last bucket counts
 * all values from 2^36 us, about 19 hours.
 */
#define BUCKETS_PER_OCTAVE 4
#define HISTOGRAM_BUCKETS (36 * BUCKETS_PER_OCTAVE + 1)

struct counter {
	struct list link;
	char *name;
	char *labels;
	bool gauge;
	uint64_t value;
};

struct histogram {
	struct list link;
	char *name;
	char *labels;
	uint64_t count;
	uint64_t sum_us;
	uint64_t buckets[HISTOGRAM_BUCKETS];
};

struct metrics {
	struct list counters;
	struct list histograms;
	GHashTable *by_key;
};

struct metrics *metrics_create(void)
{
	struct metrics *metrics = g_new0(struct metrics, 1);

	list_init(&metrics->counters);
	list_init(&metrics->histograms);
	metrics->by_key =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return metrics;
}

static void counter_free(struct counter *counter)
{
	list_remove(&counter->link);
	g_free(counter->name);
	g_free(counter->labels);
	g_free(counter);
}

static void histogram_free(struct histogram *histogram)
{
	list_remove(&histogram->link);
	g_free(histogram->name);
	g_free(histogram->labels);
	g_free(histogram);
}

void metrics_destroy(struct metrics *metrics)
{
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &metrics->counters)
		counter_free(list_entry(pos, struct counter, link));
	list_for_each_safe (pos, tmp, &metrics->histograms)
		histogram_free(list_entry(pos, struct histogram, link));
	g_hash_table_destroy(metrics->by_key);
	g_free(metrics);
}

static struct counter *find_counter(struct metrics *metrics, const char *name,
				    const char *labels, bool gauge)
{
	char *key = g_strdup_printf("%s{%s}", name, labels);
	struct counter *counter = g_hash_table_lookup(metrics->by_key, key);

	if (counter) {
		g_free(key);
		return counter;
	}
	counter = g_new0(struct counter, 1);
	counter->name = g_strdup(name);
	counter->labels = g_strdup(labels);
	counter->gauge = gauge;
	list_append(&metrics->counters, &counter->link);
	g_hash_table_insert(metrics->by_key, key, counter);
	return counter;
}

struct counter *metrics_counter(struct metrics *metrics, const char *name,
				const char *labels)
{
	return find_counter(metrics, name, labels, false);
}

struct counter *metrics_gauge(struct metrics *metrics, const char *name,
			      const char *labels)
{
	return find_counter(metrics, name, labels, true);
}

struct histogram *metrics_histogram(struct metrics *metrics, const char *name,
				    const char *labels)
{
	char *key = g_strdup_printf("%s{%s}", name, labels);
	struct histogram *histogram = g_hash_table_lookup(metrics->by_key, key);

	if (histogram) {
		g_free(key);
		return histogram;
	}
	histogram = g_new0(struct histogram, 1);
	histogram->name = g_strdup(name);
	histogram->labels = g_strdup(labels);
	list_append(&metrics->histograms, &histogram->link);
	g_hash_table_insert(metrics->by_key, key, histogram);
	return histogram;
}

void counter_add(struct counter *counter, uint64_t amount)
{
	counter->value += amount;
}

void counter_set(struct counter *counter, uint64_t value)
{
	counter->value = value;
}

uint64_t counter_value(const struct counter *counter)
{
	return counter->value;
}

/* Bucket i starts at about 2^(i / 4) us; bounds are linear within an octave. */
static unsigned bucket_index(uint64_t us)
{
	unsigned octave, index;

	if (us <= 1)
		return 0;
	octave = 63 - __builtin_clzll(us);
	if (octave >= HISTOGRAM_BUCKETS / BUCKETS_PER_OCTAVE)
		return HISTOGRAM_BUCKETS - 1;
	index = ((us - (1ULL << octave)) * BUCKETS_PER_OCTAVE) >> octave;
	return octave * BUCKETS_PER_OCTAVE + index;
}

static uint64_t bucket_bound(unsigned index)
{
	unsigned octave = index / BUCKETS_PER_OCTAVE;
	uint64_t base = 1ULL << octave;
	uint64_t step = index % BUCKETS_PER_OCTAVE + 1;

	return base + base * step / BUCKETS_PER_OCTAVE;
}

void histogram_record(struct histogram *histogram, uint64_t us)
{
	histogram->buckets[bucket_index(us)]++;
	histogram->count++;
	histogram->sum_us += us;
}

uint64_t histogram_count(const struct histogram *histogram)
{
	return histogram->count;
}

uint64_t histogram_quantile(const struct histogram *histogram, double q)
{
	uint64_t wanted = (uint64_t)(q * (double)histogram->count);
	uint64_t seen = 0;
	unsigned i;

	for (i = 0; i < HISTOGRAM_BUCKETS; i++) {
		seen += histogram->buckets[i];
		if (seen > wanted)
			return bucket_bound(i);
	}
	return histogram->count ? bucket_bound(HISTOGRAM_BUCKETS - 1) : 0;
}

/* Writes the TYPE line of a metric family once, before its first series. */
static void render_type(GHashTable *seen, const char *name, const char *type,
			GString *out)
{
	if (!g_hash_table_add(seen, (char *)name))
		return;
	g_string_append_printf(out, "# TYPE %s %s\n", name, type);
}

static void render_counter(const struct counter *counter, GString *out)
{
	g_string_append(out, counter->name);
	if (*counter->labels)
		g_string_append_printf(out, "{%s}", counter->labels);
	g_string_append_printf(out, " %" G_GUINT64_FORMAT "\n", counter->value);
}

static void render_bucket(const struct histogram *histogram, const char *bound,
			  uint64_t nr, GString *out)
{
	const char *sep = *histogram->labels ? "," : "";

	g_string_append_printf(
		out, "%s_bucket{%s%sle=\"%s\"} %" G_GUINT64_FORMAT "\n",
		histogram->name, histogram->labels, sep, bound, nr);
}

static void render_histogram(const struct histogram *histogram, GString *out)
{
	uint64_t seen = 0;
	char bound[32];
	unsigned i;

	for (i = 0; i < HISTOGRAM_BUCKETS; i++) {
		if (!histogram->buckets[i])
			continue;
		seen += histogram->buckets[i];
		g_snprintf(bound, sizeof(bound), "%.6f",
			   (double)bucket_bound(i) / 1e6);
		render_bucket(histogram, bound, seen, out);
	}
	render_bucket(histogram, "+Inf", histogram->count, out);
	g_string_append_printf(out, "%s_sum{%s} %.6f\n", histogram->name,
			       histogram->labels,
			       (double)histogram->sum_us / 1e6);
	g_string_append_printf(out, "%s_count{%s} %" G_GUINT64_FORMAT "\n",
			       histogram->name, histogram->labels,
			       histogram->count);
}

/* Renders all series of a family together, as the text format requires. */
static void render_counters(const struct metrics *metrics, GHashTable *seen,
			    GString *out)
{
	struct list *family, *pos;

	list_for_each (family, &metrics->counters) {
		struct counter *first =
			list_entry(family, struct counter, link);

		if (g_hash_table_contains(seen, first->name))
			continue;
		render_type(seen, first->name,
			    first->gauge ? "gauge" : "counter", out);
		list_for_each (pos, &metrics->counters) {
			struct counter *counter =
				list_entry(pos, struct counter, link);

			if (!strcmp(counter->name, first->name))
				render_counter(counter, out);
		}
	}
}

static void render_histograms(const struct metrics *metrics, GHashTable *seen,
			      GString *out)
{
	struct list *family, *pos;

	list_for_each (family, &metrics->histograms) {
		struct histogram *first =
			list_entry(family, struct histogram, link);

		if (g_hash_table_contains(seen, first->name))
			continue;
		render_type(seen, first->name, "histogram", out);
		list_for_each (pos, &metrics->histograms) {
			struct histogram *histogram =
				list_entry(pos, struct histogram, link);

			if (!strcmp(histogram->name, first->name))
				render_histogram(histogram, out);
		}
	}
}

void metrics_render(const struct metrics *metrics, GString *out)
{
	GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);

	render_counters(metrics, seen, out);
	render_histograms(metrics, seen, out);
	g_hash_table_destroy(seen);
}
