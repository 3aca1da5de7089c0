#include <math.h>
#include <string.h>

#include "common/hash.h"
#include "fleet_private.h"

/* Age of the permits that batch items may use, in slots: online requests come
 * first. */
#define BATCH_PERMIT_AGE_SLOTS 2
/* Time for which a silent entry keeps its share, in ms, as it may go on behind a
 * network partition; and the same for one that was leaving. */
#define SHARER_MS 10000
#define SHARER_LEAVING_MS 1500
/* Averaging period of the demand, in ms: longer than a burst of some seconds and
 * the pause after it. */
#define DEMAND_MS 5000.0
/* Demand of an entry without any, in requests a second, so that it gets a permit
 * now and then. */
#define DEMAND_MIN 0.2
/* Weight of the demand of entries in another region than the server. */
#define FAR_WEIGHT 0.2

/* Least share of the capacity that requests find when they come back, and the
 * longest time until then, in ms. */
#define RETRY_ROOM_MIN 0.2
#define RETRY_MAX_MS 1500

struct demand_meter {
	double rate;
	uint64_t at_ms;
	/* Time for which the next refused request is told to come back. */
	double retry_ms;
};

struct sharer {
	uint64_t key;
	uint64_t region;
	uint64_t heard_ms;
	bool leaving;
	struct service_demand *demands;
	size_t demands_nr;
};

static void sharer_free(gpointer data)
{
	struct sharer *sharer = data;

	g_free(sharer->demands);
	g_free(sharer);
}

void fleet_limits_init(struct fleet *fleet)
{
	fleet->sharers = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					       NULL, sharer_free);
	fleet->demands = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					       g_free, g_free);
	fleet->shares = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					      g_free, g_free);
}

void fleet_limits_clear(struct fleet *fleet)
{
	g_hash_table_destroy(fleet->sharers);
	g_hash_table_destroy(fleet->demands);
	g_hash_table_destroy(fleet->shares);
}

void fleet_set_self(struct fleet *fleet, uint64_t key)
{
	fleet->self = key;
}

uint64_t fleet_region_hash(const char *region)
{
	return hash_string(region, 0);
}

void server_limit_named(struct server *server, double rate, uint64_t heard_ms)
{
	if (heard_ms < server->rate_heard_ms ||
	    (rate <= 0 && !server->rate_heard_ms))
		return;
	server->rate_limit = rate;
	server->rate_heard_ms = heard_ms;
	if (rate <= 0)
		memset(&server->permits, 0, sizeof(server->permits));
}

void fleet_set_sharer(struct fleet *fleet, const struct fleet_sharer *sharer,
		      uint64_t now_ms)
{
	struct sharer *known =
		g_hash_table_lookup(fleet->sharers, &sharer->key);

	if (!known) {
		known = g_new0(struct sharer, 1);
		known->key = sharer->key;
		g_hash_table_insert(fleet->sharers, &known->key, known);
	}
	known->region = sharer->region;
	known->leaving = sharer->leaving;
	known->heard_ms = now_ms;
	g_free(known->demands);
	known->demands = g_memdup2(
		sharer->demands, sharer->demands_nr * sizeof(*sharer->demands));
	known->demands_nr = sharer->demands_nr;
}

/* Returns the demand for a service at a time; it decays exponentially. */
static double demand_at(const struct demand_meter *meter, uint64_t now_ms)
{
	return meter->rate * exp(-(double)(now_ms - meter->at_ms) / DEMAND_MS);
}

void fleet_note_demand(struct fleet *fleet, const char *service,
		       uint64_t now_ms)
{
	uint64_t hash = hash_string(service, 0);
	struct demand_meter *meter = g_hash_table_lookup(fleet->demands, &hash);

	if (!meter) {
		meter = g_new0(struct demand_meter, 1);
		g_hash_table_insert(fleet->demands,
				    g_memdup2(&hash, sizeof(hash)), meter);
	}
	meter->rate = demand_at(meter, now_ms) + 1000 / DEMAND_MS;
	meter->at_ms = now_ms;
}

static double own_demand(const struct fleet *fleet, uint64_t service_hash,
			 uint64_t now_ms)
{
	const struct demand_meter *meter =
		g_hash_table_lookup(fleet->demands, &service_hash);

	return meter ? demand_at(meter, now_ms) : 0;
}

void fleet_each_demand(struct fleet *fleet, uint64_t now_ms,
		       void (*fn)(void *ctx,
				  const struct service_demand *demand),
		       void *ctx)
{
	GHashTable *done = NULL;
	struct list *pos;

	list_for_each (pos, &fleet->servers) {
		struct server *server = list_entry(pos, struct server, link);
		struct service_demand demand;

		if (server->rate_limit <= 0)
			continue;
		if (!done)
			done = g_hash_table_new(g_str_hash, g_str_equal);
		if (!g_hash_table_add(done, server->service))
			continue;
		demand.service_hash = server->service_hash;
		demand.rate = own_demand(fleet, demand.service_hash, now_ms);
		fn(ctx, &demand);
	}
	if (done)
		g_hash_table_destroy(done);
}

/* This node's part of a limit: the numbers from "begin" up to "end" of those
 * between 0 and 1. */
struct share {
	double begin;
	double end;
};

static double weight_of(double demand, uint64_t region,
			const struct server *server)
{
	double weight = demand + DEMAND_MIN;

	return region == server->region ? weight : weight * FAR_WEIGHT;
}

static double sharer_demand(const struct sharer *sharer, uint64_t service_hash)
{
	size_t i;

	for (i = 0; i < sharer->demands_nr; i++) {
		if (sharer->demands[i].service_hash == service_hash)
			return sharer->demands[i].rate;
	}
	return 0;
}

static bool has_share(const struct sharer *sharer, uint64_t now_ms)
{
	uint64_t age = now_ms - sharer->heard_ms;

	return age < (sharer->leaving ? SHARER_LEAVING_MS : SHARER_MS);
}

/* Entries are ordered by their keys, so that their parts don't overlap. Drops those
 * that have lost their share. */
static struct share compute_share(const struct fleet *fleet,
				  const struct server *server, uint64_t now_ms)
{
	uint64_t service = server->service_hash;
	uint64_t region = fleet_region_hash(fleet->region);
	double own =
		weight_of(own_demand(fleet, service, now_ms), region, server);
	double before = 0, after = 0;
	struct share share;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, fleet->sharers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct sharer *sharer = value;
		double weight;

		if (!has_share(sharer, now_ms)) {
			g_hash_table_iter_remove(&iter);
			continue;
		}
		if (sharer->key == fleet->self)
			continue;
		weight = weight_of(sharer_demand(sharer, service),
				   sharer->region, server);
		if (sharer->key < fleet->self)
			before += weight;
		else
			after += weight;
	}
	share.begin = before / (before + own + after);
	share.end = (before + own) / (before + own + after);
	return share;
}

/* Returns this node's part, which is the same for all servers of a service and a
 * region until the next slot. */
static struct share own_share(const struct fleet *fleet,
			      const struct server *server, uint64_t now_ms)
{
	uint64_t key = hash_combine(server->service_hash, server->region);
	struct share *share = g_hash_table_lookup(fleet->shares, &key);

	if (!share) {
		share = g_new(struct share, 1);
		*share = compute_share(fleet, server, now_ms);
		g_hash_table_insert(fleet->shares, g_memdup2(&key, sizeof(key)),
				    share);
	}
	return *share;
}

/* Returns the number of a permit between 0 and 1, the same at all entries. */
static double permit_place(const struct server *server, uint64_t number)
{
	/* Multiples of the golden ratio spread evenly, so that each entry gets
	 * its part of any few permits. */
	double place = (double)(server->hash >> 11) / (double)(1ULL << 53) +
		       (double)number * 0.6180339887498949;

	return place - floor(place);
}

static uint64_t slot_of(uint64_t ms)
{
	return ms / PERMIT_SLOT_MS;
}

/* Drops the permits that have expired by a time. */
static void permits_advance(struct permits *permits, uint64_t now_ms)
{
	uint64_t slot = slot_of(now_ms);
	uint64_t steps = MIN(slot - permits->newest, PERMIT_SLOTS);

	while (steps--) {
		uint16_t *nr = &permits->by_slot[(slot - steps) % PERMIT_SLOTS];

		permits->nr -= *nr;
		*nr = 0;
	}
	permits->newest = slot;
}

/* Returns the slot of the oldest valid permit, or UINT64_MAX without any. */
static uint64_t oldest_permit(const struct permits *permits, uint64_t now_ms)
{
	uint64_t now_slot = slot_of(now_ms);
	uint64_t slot =
		now_slot >= PERMIT_SLOTS ? now_slot - PERMIT_SLOTS + 1 : 0;

	for (; permits->nr && slot <= permits->newest; slot++) {
		if (permits->by_slot[slot % PERMIT_SLOTS] &&
		    slot + PERMIT_SLOTS > permits->newest)
			return slot;
	}
	return UINT64_MAX;
}

static void permit_add(struct permits *permits)
{
	uint16_t *nr = &permits->by_slot[permits->newest % PERMIT_SLOTS];

	if (*nr == UINT16_MAX)
		return;
	(*nr)++;
	permits->nr++;
}

/* Issues the permits of the slots from "from" up to "to". */
static void issue(const struct fleet *fleet, struct server *server,
		  uint64_t from, uint64_t to, uint64_t now_ms)
{
	double per_slot = server->rate_limit * PERMIT_SLOT_MS / 1000;
	uint64_t number = (uint64_t)floor((double)from * per_slot);
	uint64_t end = (uint64_t)floor((double)to * per_slot);
	struct share share;

	if (number == end)
		return;
	share = own_share(fleet, server, now_ms);
	for (; number < end; number++) {
		double place = permit_place(server, number);

		if (place >= share.begin && place < share.end)
			permit_add(&server->permits);
	}
}

bool fleet_issue_permits(struct fleet *fleet, uint64_t now_ms, uint64_t wall_ms)
{
	bool limited = false;
	uint64_t slot = slot_of(wall_ms);
	uint64_t from = fleet->permit_slot;
	struct list *pos;

	/* After a step of the clock nothing is issued twice, or late. */
	if (slot <= from && from - slot < PERMIT_SLOTS)
		return true;
	if (from > slot || slot - from > PERMIT_SLOTS)
		from = slot - 1;
	fleet->permit_slot = slot;
	g_hash_table_remove_all(fleet->shares);
	list_for_each (pos, &fleet->servers) {
		struct server *server = list_entry(pos, struct server, link);

		if (server->rate_limit <= 0)
			continue;
		limited = true;
		permits_advance(&server->permits, now_ms);
		issue(fleet, server, from, slot, now_ms);
	}
	return limited;
}

bool server_permits(const struct server *server, enum work_class class,
		    uint64_t now_ms)
{
	uint64_t age = class == WORK_BATCH ? BATCH_PERMIT_AGE_SLOTS : 0;
	uint64_t oldest;

	if (server->rate_limit <= 0)
		return true;
	oldest = oldest_permit(&server->permits, now_ms);
	return oldest != UINT64_MAX && oldest + age <= slot_of(now_ms);
}

void server_use_permit(struct server *server, uint64_t now_ms)
{
	struct permits *permits = &server->permits;
	uint64_t oldest = oldest_permit(permits, now_ms);

	if (oldest == UINT64_MAX)
		return;
	permits->by_slot[oldest % PERMIT_SLOTS]--;
	permits->nr--;
}

/* Returns the requests a second of a service that this node may send; sets
 * *limited if any of its servers has a limit. */
static double own_capacity(struct fleet *fleet, const char *service,
			   uint64_t now_ms, bool *limited)
{
	double rate = 0;
	struct list *pos;

	*limited = false;
	list_for_each (pos, &fleet->servers) {
		struct server *server = list_entry(pos, struct server, link);
		struct share share;

		if (!server_serves(server, service) ||
		    !server_usable(server, now_ms))
			continue;
		share = own_share(fleet, server, now_ms);
		if (server->rate_limit > 0) {
			*limited = true;
			rate += server->rate_limit * (share.end - share.begin);
		} else {
			rate += server->slots * 1000 / server->hold_ms *
				(share.end - share.begin);
		}
	}
	return rate;
}

double fleet_retry_after_ms(struct fleet *fleet, const char *service,
			    uint64_t now_ms)
{
	uint64_t hash = hash_string(service, 0);
	struct demand_meter *meter = g_hash_table_lookup(fleet->demands, &hash);
	bool limited;
	double rate = own_capacity(fleet, service, now_ms, &limited);
	double room;

	if (!limited || !meter || rate <= 0)
		return 0;
	room = MAX(rate - demand_at(meter, now_ms), rate * RETRY_ROOM_MIN);
	meter->retry_ms = MAX(meter->retry_ms, (double)now_ms) + 1000 / room;
	meter->retry_ms = MIN(meter->retry_ms, (double)now_ms + RETRY_MAX_MS);
	return meter->retry_ms - (double)now_ms;
}
