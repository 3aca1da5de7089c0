#include "common/hash.h"
#include "fleet_private.h"

/* Time over which a peak of online load fades, in ms. Bursts of seconds must
 * not let batch items in between two arrivals. */
#define PEAK_FADE_MS 700.0
/* Time over which the slots that batch gets are averaged, in ms: longer than
 * the bursts of seconds and the lulls between them. */
#define BATCH_SLOTS_MS 5000.0
/* Share of the slots kept free of batch for the next arrivals. */
#define RESERVE_SHARE 0.06
/* Further share kept free in other regions, whose load is known late. */
#define FAR_RESERVE_SHARE 0.15

/* The highest online load of late, which fades in a straight line. */
static double online_peak(struct fleet *fleet, const struct batch_query *query,
			  double online, double slots)
{
	char *key = g_strdup_printf("%s/%d", query->service, query->far);
	struct fleet_peak *peak = g_hash_table_lookup(fleet->peaks, key);
	double faded;

	if (!peak) {
		peak = g_new0(struct fleet_peak, 1);
		g_hash_table_insert(fleet->peaks, g_strdup(key), peak);
	}
	g_free(key);
	faded = peak->value -
		slots * (double)(query->now_ms - peak->at_ms) / PEAK_FADE_MS;
	peak->value = MAX(online, faded);
	peak->at_ms = query->now_ms;
	return peak->value;
}

static bool takes_batch(const struct server *server,
			const struct batch_query *query)
{
	bool far = server->distance == SERVER_OTHER_REGION;

	return server_serves(server, query->service) && far == query->far &&
	       server_usable(server, query->now_ms);
}

double fleet_batch_room(struct fleet *fleet, const struct batch_query *query)
{
	double slots = 0, online = 0, batch = 0;
	struct list *pos;

	list_for_each (pos, &fleet->servers) {
		struct server *server = list_entry(pos, struct server, link);

		if (!takes_batch(server, query))
			continue;
		slots += server->slots;
		online += server_load(server, WORK_ONLINE) +
			  server_unexplained(server, query->now_ms);
		batch += server_load(server, WORK_BATCH);
	}
	online = online_peak(fleet, query, online, slots);
	return slots * (1 - RESERVE_SHARE) - online - batch -
	       (query->far ? slots * FAR_RESERVE_SHARE : 0);
}

double fleet_batch_slots(struct fleet *fleet, const char *service,
			 uint64_t now_ms)
{
	struct fleet_mean *mean =
		g_hash_table_lookup(fleet->batch_slots, service);
	double free = 0, age;
	struct list *pos;

	list_for_each (pos, &fleet->servers) {
		struct server *server = list_entry(pos, struct server, link);

		if (server_serves(server, service) &&
		    server_usable(server, now_ms))
			free += MAX(server->slots * (1 - RESERVE_SHARE) -
					    server_load(server, WORK_ONLINE),
				    0);
	}
	if (!mean) {
		mean = g_new0(struct fleet_mean, 1);
		mean->value = free;
		g_hash_table_insert(fleet->batch_slots, g_strdup(service),
				    mean);
	} else {
		age = (double)(now_ms - mean->at_ms);
		mean->value +=
			(free - mean->value) * MIN(age / BATCH_SLOTS_MS, 1);
	}
	mean->at_ms = now_ms;
	return mean->value;
}

static double batch_slots_free(const struct server *server,
			       const struct batch_query *query)
{
	double free = server->slots - server_load(server, WORK_ONLINE) -
		      server_load(server, WORK_BATCH) -
		      server_unexplained(server, query->now_ms);

	if (free < (query->far ? 2 : 1))
		return 0;
	return free * (1 - MIN(server->failures, 0.95));
}

/*
 * Nodes that look at the same time see the same free slots. A random choice by
 * their number keeps them from all taking the same one.
 */
struct server *fleet_choose_batch(struct fleet *fleet,
				  const struct batch_query *query)
{
	double sum = 0, at;
	struct list *pos;

	list_for_each (pos, &fleet->servers) {
		struct server *server = list_entry(pos, struct server, link);

		if (takes_batch(server, query))
			sum += batch_slots_free(server, query);
	}
	at = sum * (double)(query->random >> 11) / (double)(1ULL << 53);
	list_for_each (pos, &fleet->servers) {
		struct server *server = list_entry(pos, struct server, link);
		double free = 0;

		if (takes_batch(server, query))
			free = batch_slots_free(server, query);
		if (free > 0 && at < free)
			return server;
		at -= free;
	}
	return NULL;
}

/* A node's turn to yield on a server: the lowest goes first. */
static uint64_t turn(uint64_t node, const struct server *server)
{
	return hash_mix(node, server->hash);
}

unsigned fleet_yield(struct fleet *fleet, const struct server *server,
		     uint64_t self)
{
	double online = server_load(server, WORK_ONLINE);
	int excess = (int)(online + server_load(server, WORK_BATCH)) -
		     (int)server->slots;
	uint64_t own_turn = turn(self, server);
	GHashTableIter iter;
	gpointer key, value;
	size_t i;

	/* Load beyond the slots that isn't batch's doing can't be yielded. */
	if (excess <= 0 || !server->own[WORK_BATCH])
		return 0;
	g_hash_table_iter_init(&iter, fleet->peers);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		struct fleet_peer *peer = value;

		if (turn(*(uint64_t *)key, server) >= own_turn)
			continue;
		for (i = 0; i < peer->nr; i++) {
			if (peer->loads[i].server_hash == server->hash)
				excess -=
					(int)peer->loads[i].counts[WORK_BATCH];
		}
	}
	if (excess <= 0)
		return 0;
	return MIN((unsigned)excess, server->own[WORK_BATCH]);
}
