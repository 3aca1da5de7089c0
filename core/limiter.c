#include <glib.h>

#include "core/limiter.h"

#define US_PER_S 1000000
/* Time for which a refusal makes a service count as full, in ms. */
#define FULL_MS 1000

/* Requests of the callers of one service that run. */
struct share {
	GHashTable *running;
	uint64_t total;
	uint64_t full_until_ms;
};

struct limiter {
	/* Caller to the time at which its next request would be on time. */
	GHashTable *arrivals;
	GHashTable *shares;
};

static void share_free(void *data)
{
	struct share *share = data;

	g_hash_table_destroy(share->running);
	g_free(share);
}

struct limiter *limiter_create(void)
{
	struct limiter *limiter = g_new0(struct limiter, 1);

	limiter->arrivals =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	limiter->shares = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
						share_free);
	return limiter;
}

void limiter_destroy(struct limiter *limiter)
{
	g_hash_table_destroy(limiter->arrivals);
	g_hash_table_destroy(limiter->shares);
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

static struct share *share_of(struct limiter *limiter, const char *service)
{
	struct share *share = g_hash_table_lookup(limiter->shares, service);

	if (share)
		return share;
	share = g_new0(struct share, 1);
	share->running =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	g_hash_table_insert(limiter->shares, g_strdup(service), share);
	return share;
}

static size_t running_of(const struct share *share, const char *caller)
{
	return GPOINTER_TO_SIZE(g_hash_table_lookup(share->running, caller));
}

void limiter_started(struct limiter *limiter, const char *service,
		     const char *caller)
{
	struct share *share = share_of(limiter, service);

	g_hash_table_insert(share->running, g_strdup(caller),
			    GSIZE_TO_POINTER(running_of(share, caller) + 1));
	share->total++;
}

void limiter_ended(struct limiter *limiter, const char *service,
		   const char *caller)
{
	struct share *share = share_of(limiter, service);
	size_t running = running_of(share, caller);

	if (!running)
		return;
	share->total--;
	if (running == 1)
		g_hash_table_remove(share->running, caller);
	else
		g_hash_table_insert(share->running, g_strdup(caller),
				    GSIZE_TO_POINTER(running - 1));
}

void limiter_full(struct limiter *limiter, const char *service, uint64_t now_ms)
{
	share_of(limiter, service)->full_until_ms = now_ms + FULL_MS;
}

bool limiter_fair(struct limiter *limiter, const char *service,
		  const char *caller, uint64_t now_ms)
{
	struct share *share = share_of(limiter, service);
	size_t running = running_of(share, caller);
	size_t callers = g_hash_table_size(share->running);

	if (now_ms >= share->full_until_ms || !running || callers < 2)
		return true;
	return running * callers <= share->total;
}

static gboolean is_idle(gpointer key, gpointer value, gpointer ctx)
{
	(void)key;
	return *(const uint64_t *)value <= *(const uint64_t *)ctx;
}

/* A caller whose next request would be on time anyway needs no memory. */
void limiter_sweep(struct limiter *limiter, uint64_t now_us)
{
	g_hash_table_foreach_remove(limiter->arrivals, is_idle, &now_us);
}

unsigned limiter_callers_nr(const struct limiter *limiter)
{
	return g_hash_table_size(limiter->arrivals);
}
