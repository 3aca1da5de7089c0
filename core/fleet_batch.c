#include "common/hash.h"
#include "fleet_private.h"

/* Time over which a peak of online load decays, in ms. During a burst of
 * several seconds, no batch item may start between two arrivals. */
#define PEAK_DECAY_MS 700.0
/* Averaging period of the slots available to batch, in ms: longer than bursts
 * of a few seconds and the pauses between them. */
#define BATCH_SLOTS_MS 5000.0
/* Weight of a free slot that needs no new connection against one that does. */
#define CONNECTED_WEIGHT 8
/* Share of the slots reserved for the next online requests. */
#define RESERVE_SHARE 0.06
/* Additional reserve in other regions, whose load is known with more delay. */
#define OTHER_REGION_RESERVE_SHARE 0.15
/* Free slots of a server of another region that gets an item: one remains for a request
 * that isn't known here yet. */
#define OTHER_REGION_FREE 2

/* Returns the recent peak of the online load, which decays linearly. */
static double online_peak(struct fleet *fleet, const struct batch_query *query,
			  double online, double slots)
{
	char *key =
		g_strdup_printf("%s/%d", query->service, query->other_region);
	struct fleet_peak *peak = g_hash_table_lookup(fleet->peaks, key);
	double decayed;

	if (!peak) {
		peak = g_new0(struct fleet_peak, 1);
		g_hash_table_insert(fleet->peaks, g_strdup(key), peak);
	}
	g_free(key);
	decayed = peak->value -
		  slots * (double)(query->now_ms - peak->at_ms) / PEAK_DECAY_MS;
	peak->value = MAX(online, decayed);
	peak->at_ms = query->now_ms;
	return peak->value;
}

static bool accepts_batch(const struct server *server,
			  const struct batch_query *query)
{
	bool other_region = server->distance == SERVER_OTHER_REGION;

	return server_serves(server, query->service) &&
	       server_has_software(server, query->software) &&
	       other_region == query->other_region &&
	       server_usable(server, query->now_ms) &&
	       server_permits(server, WORK_BATCH, query->now_ms);
}

double fleet_batch_capacity(struct fleet *fleet,
			    const struct batch_query *query)
{
	double slots = 0, online = 0, batch = 0;
	struct list *pos;

	list_for_each (pos, &fleet->servers) {
		struct server *server = list_entry(pos, struct server, link);

		if (!accepts_batch(server, query))
			continue;
		slots += server->slots;
		online += server_load(server, WORK_ONLINE) +
			  server_unattributed(server, query->now_ms);
		batch += server_load(server, WORK_BATCH);
	}
	online = online_peak(fleet, query, online, slots);
	return slots * (1 - RESERVE_SHARE) - online - batch -
	       (query->other_region ? slots * OTHER_REGION_RESERVE_SHARE : 0);
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

/* Returns the free slots that a server must have to get an item. A server with fewer slots
 * must be idle. */
static double free_slots_needed(const struct server *server,
				const struct batch_query *query)
{
	return query->other_region ? MIN(OTHER_REGION_FREE, server->slots) : 1;
}

/* Returns the weight of a server in the choice for a batch item; 0 if it has no
 * free slot. */
static double batch_weight(const struct fleet *fleet,
			   const struct server *server,
			   const struct batch_query *query)
{
	double free = server->slots - server_load(server, WORK_ONLINE) -
		      server_load(server, WORK_BATCH) -
		      server_unattributed(server, query->now_ms);

	if (free < free_slots_needed(server, query) || server_is_paced(server))
		return 0;
	if (server_has_connection(fleet, server))
		free *= CONNECTED_WEIGHT;
	return free * (1 - MIN(server->failures, 0.95)) /
	       server_slowdown(server, query->now_ms);
}

/*
 * Nodes that choose at the same time see the same free slots. A random choice
 * weighted by free slots keeps them from all choosing the same server.
 */
struct server *fleet_choose_batch(struct fleet *fleet,
				  const struct batch_query *query)
{
	double sum = 0, at;
	struct list *pos;

	list_for_each (pos, &fleet->servers) {
		struct server *server = list_entry(pos, struct server, link);

		if (accepts_batch(server, query))
			sum += batch_weight(fleet, server, query);
	}
	at = sum * (double)(query->random >> 11) / (double)(1ULL << 53);
	list_for_each (pos, &fleet->servers) {
		struct server *server = list_entry(pos, struct server, link);
		double weight = 0;

		if (accepts_batch(server, query))
			weight = batch_weight(fleet, server, query);
		if (weight > 0 && at < weight)
			return server;
		at -= weight;
	}
	return NULL;
}

/* Returns a node's rank among the nodes that preempt batch items on a server;
 * the lowest preempts first. */
static uint64_t preemption_rank(uint64_t node, const struct server *server)
{
	return hash_combine(node, server->hash);
}

unsigned fleet_excess_batch(struct fleet *fleet, const struct server *server,
			    uint64_t self)
{
	double online = server_load(server, WORK_ONLINE);
	int excess = (int)(online + server_load(server, WORK_BATCH)) -
		     (int)server->slots;
	uint64_t own_rank = preemption_rank(self, server);
	GHashTableIter iter;
	gpointer key, value;
	size_t i;

	/* Overload caused by online requests can't be relieved by batch. */
	if (excess <= 0 || !server->own[WORK_BATCH])
		return 0;
	g_hash_table_iter_init(&iter, fleet->peers);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		struct peer_report *peer = value;

		if (preemption_rank(*(uint64_t *)key, server) >= own_rank)
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
