#include <glib.h>

#include "core/limiter.h"

#define US_PER_S 1000000
/* Time for which a service counts as full after a refusal, in ms. */
#define FULL_MS 1000

/* Running requests of one service. */
struct service_usage {
	/* Maps a caller to its number of running requests. */
	GHashTable *running;
	uint64_t total;
	uint64_t full_until_ms;
};

struct limiter {
	/* Maps a caller to its theoretical arrival time (GCRA), in us. */
	GHashTable *arrivals;
	/* Maps a service to its struct service_usage *. */
	GHashTable *usages;
};

static void usage_free(void *data)
{
	struct service_usage *usage = data;

	g_hash_table_destroy(usage->running);
	g_free(usage);
}

struct limiter *limiter_create(void)
{
	struct limiter *limiter = g_new0(struct limiter, 1);

	limiter->arrivals =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	limiter->usages = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
						usage_free);
	return limiter;
}

void limiter_destroy(struct limiter *limiter)
{
	g_hash_table_destroy(limiter->arrivals);
	g_hash_table_destroy(limiter->usages);
	g_free(limiter);
}

static uint64_t *arrival_of(struct limiter *limiter, const char *caller)
{
	uint64_t *arrival = g_hash_table_lookup(limiter->arrivals, caller);

	if (arrival)
		return arrival;
	arrival = g_new0(uint64_t, 1);
	g_hash_table_insert(limiter->arrivals, g_strdup(caller), arrival);
	return arrival;
}

bool limiter_admit(struct limiter *limiter, const char *caller,
		   const struct limiter_rate *rate, uint64_t now_us,
		   uint64_t *retry_after_us)
{
	uint64_t interval_us = MAX(1, US_PER_S / rate->requests_per_s);
	uint64_t tolerance_us = interval_us * (rate->burst - 1);
	uint64_t *arrival = arrival_of(limiter, caller);
	uint64_t on_time = MAX(*arrival, now_us);

	if (on_time > now_us + tolerance_us) {
		*retry_after_us = on_time - tolerance_us - now_us;
		return false;
	}
	*arrival = on_time + interval_us;
	return true;
}

static struct service_usage *usage_of(struct limiter *limiter,
				      const char *service)
{
	struct service_usage *usage =
		g_hash_table_lookup(limiter->usages, service);

	if (usage)
		return usage;
	usage = g_new0(struct service_usage, 1);
	usage->running =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	g_hash_table_insert(limiter->usages, g_strdup(service), usage);
	return usage;
}

static size_t running_of(const struct service_usage *usage, const char *caller)
{
	return GPOINTER_TO_SIZE(g_hash_table_lookup(usage->running, caller));
}

void limiter_started(struct limiter *limiter, const char *service,
		     const char *caller)
{
	struct service_usage *usage = usage_of(limiter, service);

	g_hash_table_insert(usage->running, g_strdup(caller),
			    GSIZE_TO_POINTER(running_of(usage, caller) + 1));
	usage->total++;
}

void limiter_ended(struct limiter *limiter, const char *service,
		   const char *caller)
{
	struct service_usage *usage = usage_of(limiter, service);
	size_t running = running_of(usage, caller);

	if (!running)
		return;
	usage->total--;
	if (running == 1)
		g_hash_table_remove(usage->running, caller);
	else
		g_hash_table_insert(usage->running, g_strdup(caller),
				    GSIZE_TO_POINTER(running - 1));
}

void limiter_set_full(struct limiter *limiter, const char *service,
		      uint64_t now_ms)
{
	usage_of(limiter, service)->full_until_ms = now_ms + FULL_MS;
}

bool limiter_within_share(struct limiter *limiter, const char *service,
			  const char *caller, uint64_t now_ms)
{
	struct service_usage *usage = usage_of(limiter, service);
	size_t running = running_of(usage, caller);
	size_t callers = g_hash_table_size(usage->running);

	if (now_ms >= usage->full_until_ms || !running || callers < 2)
		return true;
	return running * callers <= usage->total;
}

static gboolean is_idle(gpointer key, gpointer value, gpointer ctx)
{
	(void)key;
	return *(const uint64_t *)value <= *(const uint64_t *)ctx;
}

/* A theoretical arrival time in the past is equivalent to no entry at all, so
 * it can be dropped. */
void limiter_sweep(struct limiter *limiter, uint64_t now_us)
{
	g_hash_table_foreach_remove(limiter->arrivals, is_idle, &now_us);
}

unsigned limiter_callers_nr(const struct limiter *limiter)
{
	return g_hash_table_size(limiter->arrivals);
}
