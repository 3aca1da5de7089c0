/*
 * The table of the other entries: heartbeat timeouts, the owner of a job's
 * items, and the readers of the directory.
 */
#include <string.h>
#include <glib.h>

#include "common/hash.h"
#include "core/peer_table.h"

/*
 * Heartbeat interval, in ms, for up to HEARTBEAT_ENTRIES entries. With more
 * entries it grows in proportion, up to a maximum, because each entry reports
 * to all others.
 */
#define HEARTBEAT_MS 300
#define HEARTBEAT_MAX_MS 1000
#define HEARTBEAT_ENTRIES 40
/*
 * Heartbeat timeout of an entry, in ms and in heartbeats; the longer one
 * applies. Three datagrams in a row are rarely lost.
 */
#define DEAD_MS 1500
#define DEAD_HEARTBEATS 3.5
/*
 * Time after the start in which the heartbeats of the other entries arrive, in
 * ms and in heartbeats; the longer one applies.
 */
#define SETTLE_MS 1000
#define SETTLE_HEARTBEATS 1.5
/* Time without a heartbeat after which an entry is removed, in ms. */
#define REMOVE_MS 60000

/* Minimum number of entries of a region that read the store on behalf of the
 * others, and number of entries that each of them serves at least. */
#define READERS_MIN 3
#define ENTRIES_PER_READER 24
#define READER_SEED 0x6469726563746f72ULL

struct peer_table {
	struct peer_table_options options;
	char *self;
	uint64_t self_hash;
	bool handed_over;
	struct list peers;
	/* Maps an identity to its struct peer *. */
	GHashTable *by_identity;
};

struct peer_table *peer_table_create(const struct peer_table_options *options)
{
	struct peer_table *table = g_new0(struct peer_table, 1);

	table->options = *options;
	table->self = g_strdup(options->self);
	table->self_hash = hash_string(options->self, 0);
	list_init(&table->peers);
	table->by_identity = g_hash_table_new(g_str_hash, g_str_equal);
	return table;
}

static void mark_lost(struct peer_table *table, struct peer *peer,
		      const char *why)
{
	if (!peer->alive)
		return;
	peer->alive = false;
	if (table->options.on_lost)
		table->options.on_lost(table->options.ctx, peer, why);
}

static void peer_free(struct peer_table *table, struct peer *peer)
{
	g_hash_table_remove(table->by_identity, peer->identity);
	list_remove(&peer->link);
	g_free(peer->identity);
	g_free(peer);
}

void peer_table_destroy(struct peer_table *table)
{
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &table->peers)
		peer_free(table, list_entry(pos, struct peer, link));
	g_hash_table_destroy(table->by_identity);
	g_free(table->self);
	g_free(table);
}

static struct peer *find(const struct peer_table *table, const char *identity)
{
	return g_hash_table_lookup(table->by_identity, identity);
}

static struct peer *find_by_address(const struct peer_table *table,
				    uint64_t address)
{
	struct list *pos;

	list_for_each (pos, &table->peers) {
		struct peer *peer = list_entry(pos, struct peer, link);

		if (peer->address == address)
			return peer;
	}
	return NULL;
}

/* Adds an entry; it replaces an earlier process at the same address. */
static struct peer *add(struct peer_table *table, const char *identity,
			uint64_t address, bool same_region, uint64_t now_ms)
{
	struct peer *peer = find_by_address(table, address);

	if (peer) {
		mark_lost(table, peer, "its node restarted");
		peer_free(table, peer);
	}
	peer = g_new0(struct peer, 1);
	peer->identity = g_strdup(identity);
	peer->hash = hash_string(identity, 0);
	peer->address = address;
	peer->same_region = same_region;
	peer->heard_ms = now_ms;
	list_append(&table->peers, &peer->link);
	g_hash_table_insert(table->by_identity, peer->identity, peer);
	return peer;
}

void peer_table_note_announcement(struct peer_table *table,
				  const struct peer_announcement *announcement,
				  uint64_t now_ms)
{
	struct peer *peer = find(table, announcement->identity);
	const struct peer *current =
		find_by_address(table, announcement->address);

	if (!strcmp(announcement->identity, table->self))
		return;
	if (peer) {
		peer->same_region = announcement->same_region;
		if (announcement->capacity)
			peer->capacity = announcement->capacity;
		return;
	}
	/*
	 * The announcement was read from an older record. The live process at
	 * this address started later, and so is not replaced.
	 */
	if (announcement->replayed && current && current->alive)
		return;
	peer = add(table, announcement->identity, announcement->address,
		   announcement->same_region, now_ms);
	peer->capacity = announcement->capacity;
}

struct peer *peer_table_note_report(struct peer_table *table,
				    const char *identity, uint64_t address,
				    uint64_t sequence, uint64_t now_ms)
{
	struct peer *peer = find(table, identity);

	if (!*identity || !strcmp(identity, table->self))
		return NULL;
	/*
	 * The entry is assumed to be in this region until its announcement
	 * arrives.
	 */
	if (!peer)
		peer = add(table, identity, address, true, now_ms);
	if (sequence <= peer->sequence)
		return NULL;
	peer->sequence = sequence;
	peer->heard_ms = now_ms;
	if (!peer->alive) {
		peer->alive = true;
		if (table->options.on_alive)
			table->options.on_alive(table->options.ctx, peer);
	}
	return peer;
}

uint64_t peer_table_heartbeat_ms(const struct peer_table *table)
{
	uint64_t ms = HEARTBEAT_MS * (uint64_t)peer_table_entries(table) /
		      HEARTBEAT_ENTRIES;

	return CLAMP(ms, HEARTBEAT_MS, HEARTBEAT_MAX_MS);
}

/* Returns the longer of a time and a number of heartbeats, in ms. */
static uint64_t ms_or_heartbeats(const struct peer_table *table, uint64_t ms,
				 double heartbeats)
{
	return MAX(ms, (uint64_t)(heartbeats *
				  (double)peer_table_heartbeat_ms(table)));
}

void peer_table_sweep(struct peer_table *table, uint64_t now_ms)
{
	uint64_t dead_ms = ms_or_heartbeats(table, DEAD_MS, DEAD_HEARTBEATS);
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &table->peers) {
		struct peer *peer = list_entry(pos, struct peer, link);

		if (now_ms - peer->heard_ms > dead_ms)
			mark_lost(table, peer, "heartbeat timeout");
		if (now_ms - peer->heard_ms <= REMOVE_MS)
			continue;
		if (table->options.on_removed)
			table->options.on_removed(table->options.ctx, peer);
		peer_free(table, peer);
	}
}

void peer_table_hand_over(struct peer_table *table)
{
	table->handed_over = true;
}

static bool accepts_items(const struct peer *peer)
{
	return peer->alive && !peer->leaving;
}

bool peer_table_owns_hash(const struct peer_table *table, uint64_t hash)
{
	uint64_t own_rank = hash_combine(hash, table->self_hash);
	struct list *pos;

	list_for_each (pos, &table->peers) {
		struct peer *peer = list_entry(pos, struct peer, link);

		if (accepts_items(peer) &&
		    hash_combine(hash, peer->hash) > own_rank)
			return false;
	}
	return true;
}

unsigned peer_table_choose(const struct peer_table *table, uint64_t key,
			   bool same_region, uint64_t *addresses, unsigned max)
{
	const struct list *pos;
	unsigned nr = 0, i;

	list_for_each (pos, &table->peers) {
		const struct peer *peer = list_entry(pos, struct peer, link);
		uint64_t rank = hash_combine(key, peer->address);

		if (!peer->alive || peer->leaving ||
		    peer->same_region != same_region)
			continue;
		/* Inserts it behind those of higher rank. */
		for (i = nr; i && hash_combine(key, addresses[i - 1]) < rank;
		     i--) {
			if (i < max)
				addresses[i] = addresses[i - 1];
		}
		if (i >= max)
			continue;
		addresses[i] = peer->address;
		nr = MIN(nr + 1, max);
	}
	return nr;
}

bool peer_table_owns(const struct peer_table *table,
		     const struct peer_owner_query *query)
{
	const struct peer *owner;

	if (table->handed_over)
		return false;
	if (!strcmp(query->accepted_by, table->self))
		return true;
	owner = find(table, query->accepted_by);
	if (owner &&
	    (accepts_items(owner) || owner->index_offset > query->index_offset))
		return false;
	/* Shortly after the start, heartbeats of the other entries have not
	 * arrived yet. */
	if (query->now_ms - table->options.now_ms <
	    ms_or_heartbeats(table, SETTLE_MS, SETTLE_HEARTBEATS))
		return false;
	return peer_table_owns_hash(table, hash_string(query->job, 0));
}

uint64_t peer_table_oldest_report_ms(const struct peer_table *table,
				     uint64_t now_ms)
{
	uint64_t age = 0;
	struct list *pos;

	list_for_each (pos, &table->peers) {
		struct peer *peer = list_entry(pos, struct peer, link);

		if (peer->alive)
			age = MAX(age, now_ms - peer->heard_ms);
	}
	return age;
}

struct batch_backlog peer_table_backlog(const struct peer_table *table,
					bool all_regions)
{
	struct batch_backlog sum = { 0 };
	struct list *pos;

	list_for_each (pos, &table->peers) {
		struct peer *peer = list_entry(pos, struct peer, link);

		if (!peer->alive || (!all_regions && !peer->same_region))
			continue;
		sum.in_time += peer->backlog.in_time;
		sum.late += peer->backlog.late;
	}
	return sum;
}

unsigned peer_table_entries(const struct peer_table *table)
{
	return 1 + g_hash_table_size(table->by_identity);
}

/* An entry of this region that may read the store on behalf of the others. */
struct candidate {
	bool loaded;
	unsigned capacity;
	uint64_t hash;
};

static struct candidate candidate_of(const struct peer *peer)
{
	struct candidate candidate = {
		.loaded = peer->loaded,
		.capacity = peer->capacity,
		.hash = hash_combine(peer->address, READER_SEED),
	};

	return candidate;
}

static struct candidate candidate_self(const struct peer_table *table,
				       bool loaded)
{
	struct candidate candidate = {
		.loaded = loaded,
		.capacity = table->options.capacity,
		.hash = hash_combine(table->options.address, READER_SEED),
	};

	return candidate;
}

/*
 * Tells whether one entry is preferred to another as a reader. Entries that
 * have loaded the store's data can serve it at once, and entries with more
 * processor time can serve more of the others.
 */
static bool is_preferred(const struct candidate *a, const struct candidate *b)
{
	if (a->loaded != b->loaded)
		return a->loaded;
	if (a->capacity != b->capacity)
		return a->capacity > b->capacity;
	return a->hash < b->hash;
}

/* Returns the number of readers of a region. */
static unsigned readers_of(unsigned entries)
{
	return MAX(READERS_MIN, entries / ENTRIES_PER_READER);
}

static bool is_eligible_reader(const struct peer *peer)
{
	return peer->same_region && accepts_items(peer) &&
	       peer->reaches_store && peer->directory;
}

/* Tells whether fewer than readers_nr entries are preferred to a candidate. */
static bool is_reader(const struct peer_table *table,
		      const struct candidate *candidate, unsigned readers_nr)
{
	unsigned preferred = 0;
	struct list *pos;

	list_for_each (pos, &table->peers) {
		const struct peer *peer = list_entry(pos, struct peer, link);
		struct candidate other = candidate_of(peer);

		preferred += is_eligible_reader(peer) &&
			     is_preferred(&other, candidate);
		if (preferred >= readers_nr)
			return false;
	}
	return true;
}

const struct peer *peer_table_reader(const struct peer_table *table,
				     const struct peer_reader_query *query)
{
	struct candidate self = candidate_self(table, query->self_loaded);
	unsigned entries = 1, readers_nr;
	const struct peer *found = NULL;
	uint64_t found_rank = 0;
	struct list *pos;

	list_for_each (pos, &table->peers) {
		const struct peer *peer = list_entry(pos, struct peer, link);

		entries += peer->same_region && peer->alive;
	}
	readers_nr = readers_of(entries);
	if (entries < query->readers_from ||
	    (query->self_reaches_store && is_reader(table, &self, readers_nr)))
		return NULL;
	list_for_each (pos, &table->peers) {
		const struct peer *peer = list_entry(pos, struct peer, link);
		struct candidate candidate = candidate_of(peer);
		/* Spreads the other entries evenly over the readers. */
		uint64_t rank = hash_combine(table->self_hash, peer->hash);

		if (!is_eligible_reader(peer) ||
		    peer->directory == query->avoided ||
		    (found && rank < found_rank) ||
		    !is_reader(table, &candidate, readers_nr))
			continue;
		found = peer;
		found_rank = rank;
	}
	return found;
}

unsigned peer_table_region_entries(const struct peer_table *table)
{
	unsigned entries = 1;
	struct list *pos;

	list_for_each (pos, &table->peers)
		entries += list_entry(pos, struct peer, link)->same_region;
	return entries;
}

bool peer_table_is_designated(const struct peer_table *table)
{
	struct candidate self = candidate_self(table, false);
	unsigned preferred = 0;
	struct list *pos;

	list_for_each (pos, &table->peers) {
		const struct peer *peer = list_entry(pos, struct peer, link);
		struct candidate other = candidate_of(peer);

		preferred += peer->same_region && is_preferred(&other, &self);
	}
	return preferred < readers_of(peer_table_region_entries(table));
}

bool peer_table_has_loaded(const struct peer_table *table)
{
	struct list *pos;

	list_for_each (pos, &table->peers) {
		const struct peer *peer = list_entry(pos, struct peer, link);

		if (is_eligible_reader(peer) && peer->loaded)
			return true;
	}
	return false;
}

struct list *peer_table_peers(struct peer_table *table)
{
	return &table->peers;
}
