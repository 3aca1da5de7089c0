/* Chooses subsets of agents as arcs on hash rings, one ring per data centre. */
#include <string.h>

#include <glib.h>

#include "common/hash.h"
#include "core/subset.h"

#define RING_SEED 0x5b5e7

/*
 * Shares of a subset, in percent, that are agents of the same data centre and
 * of other data centres in the same region. The rest are of other regions.
 */
#define SAME_DATA_CENTRE_PERCENT 50
#define SAME_REGION_PERCENT 25

enum tier { TIER_DATA_CENTRE, TIER_REGION, TIER_OTHER, TIERS };

/* A node on a ring; index is the node's index in the caller's array. */
struct place {
	uint64_t hash;
	const char *name;
	size_t index;
};

/* The agents of one data centre, in ring order. */
struct ring {
	const char *data_centre;
	const char *region;
	enum tier tier;
	struct place *places;
	size_t nr;
	size_t quota;
};

static int compare_places(const void *a, const void *b)
{
	const struct place *left = a;
	const struct place *right = b;

	if (left->hash != right->hash)
		return left->hash < right->hash ? -1 : 1;
	return strcmp(left->name, right->name);
}

/* Returns the nodes of a data centre in ring order; the caller frees them. */
static struct place *sort_places(const struct subset_node *nodes, size_t nr,
				 const char *data_centre, size_t *found)
{
	struct place *places = g_new(struct place, nr);
	size_t i;

	*found = 0;
	for (i = 0; i < nr; i++) {
		struct place *place = &places[*found];

		if (strcmp(nodes[i].data_centre, data_centre) != 0)
			continue;
		place->hash = hash_string(nodes[i].name, RING_SEED);
		place->name = nodes[i].name;
		place->index = i;
		(*found)++;
	}
	qsort(places, *found, sizeof(*places), compare_places);
	return places;
}

static struct ring *find_ring(GArray *rings, const char *data_centre)
{
	guint i;

	for (i = 0; i < rings->len; i++) {
		struct ring *ring = &g_array_index(rings, struct ring, i);

		if (!strcmp(ring->data_centre, data_centre))
			return ring;
	}
	return NULL;
}

static GArray *make_rings(const struct subset_node *agents, size_t nr)
{
	GArray *rings = g_array_new(FALSE, TRUE, sizeof(struct ring));
	size_t i;

	for (i = 0; i < nr; i++) {
		struct ring ring = { .data_centre = agents[i].data_centre,
				     .region = agents[i].region };

		if (find_ring(rings, ring.data_centre))
			continue;
		ring.places =
			sort_places(agents, nr, ring.data_centre, &ring.nr);
		g_array_append_val(rings, ring);
	}
	return rings;
}

/* Sets the tier of each ring as seen from an entry. */
static void set_tiers(GArray *rings, const struct subset_node *entry)
{
	guint i;

	for (i = 0; i < rings->len; i++) {
		struct ring *ring = &g_array_index(rings, struct ring, i);

		if (!strcmp(entry->data_centre, ring->data_centre))
			ring->tier = TIER_DATA_CENTRE;
		else if (!strcmp(entry->region, ring->region))
			ring->tier = TIER_REGION;
		else
			ring->tier = TIER_OTHER;
	}
}

/*
 * Spreads a share of the subset evenly over the rings of a tier and returns the
 * part that exceeds the number of their agents. The remainder of the division
 * goes to different rings for different entries, beginning at the ring "first".
 */
static size_t spread_quota(GArray *rings, enum tier tier, size_t share,
			   size_t first)
{
	bool progress = true;
	guint i;

	while (share && progress) {
		progress = false;
		for (i = 0; i < rings->len && share; i++) {
			struct ring *ring = &g_array_index(
				rings, struct ring, (first + i) % rings->len);

			if (ring->tier != tier || ring->quota == ring->nr)
				continue;
			ring->quota++;
			share--;
			progress = true;
		}
	}
	return share;
}

static void set_quotas(GArray *rings, unsigned size, size_t first)
{
	size_t shares[TIERS];
	size_t left = 0;
	int tier;
	guint i;

	for (i = 0; i < rings->len; i++)
		g_array_index(rings, struct ring, i).quota = 0;
	shares[TIER_DATA_CENTRE] = size * SAME_DATA_CENTRE_PERCENT / 100;
	shares[TIER_REGION] = size * SAME_REGION_PERCENT / 100;
	shares[TIER_OTHER] =
		size - shares[TIER_DATA_CENTRE] - shares[TIER_REGION];
	for (tier = 0; tier < TIERS; tier++)
		left = spread_quota(rings, tier, shares[tier] + left, first);
	for (tier = 0; tier < TIERS; tier++)
		left = spread_quota(rings, tier, left, first);
}

/*
 * Returns the position on a ring of agents at which an entry's arc begins. It
 * is proportional to the entry's own position among the entries of its data
 * centre. A rotation per data centre keeps rounding from favouring the same
 * agents for all data centres.
 */
static size_t arc_start(const struct ring *ring, const char *data_centre,
			size_t place, size_t places)
{
	uint64_t rotation = hash_string(data_centre, RING_SEED) >> 32;
	/*
	 * The offset is a fraction of the ring, so that it changes little when
	 * the ring grows.
	 */
	size_t offset = (rotation * ring->nr) >> 32;

	return (place * ring->nr / places + offset) % ring->nr;
}

static unsigned mark_arc(const struct ring *ring, size_t start,
			 struct subset_node *agents)
{
	size_t i;

	for (i = 0; i < ring->quota; i++)
		agents[ring->places[(start + i) % ring->nr].index].picked =
			true;
	return ring->quota;
}

static const struct subset_node *find_node(const struct subset_node *nodes,
					   size_t nr, const char *name)
{
	size_t i;

	for (i = 0; i < nr; i++) {
		if (!strcmp(nodes[i].name, name))
			return &nodes[i];
	}
	return NULL;
}

static unsigned pick_all(struct subset_node *agents, size_t nr)
{
	size_t i;

	for (i = 0; i < nr; i++)
		agents[i].picked = true;
	return nr;
}

static void free_rings(GArray *rings)
{
	guint i;

	for (i = 0; i < rings->len; i++)
		g_free(g_array_index(rings, struct ring, i).places);
	g_array_free(rings, TRUE);
}

unsigned subset_pick(const struct subset_node *entries, size_t entries_nr,
		     const char *self, struct subset_node *agents,
		     size_t agents_nr, unsigned size)
{
	const struct subset_node *own = find_node(entries, entries_nr, self);
	struct place *places;
	unsigned picked = 0;
	GArray *rings;
	size_t nr, at;
	guint i;

	if (!own || agents_nr <= size)
		return pick_all(agents, agents_nr);
	places = sort_places(entries, entries_nr, own->data_centre, &nr);
	for (at = 0; strcmp(places[at].name, self) != 0; at++)
		;
	rings = make_rings(agents, agents_nr);
	set_tiers(rings, own);
	set_quotas(rings, size, at);
	for (i = 0; i < rings->len; i++) {
		struct ring *ring = &g_array_index(rings, struct ring, i);

		picked += mark_arc(ring,
				   arc_start(ring, own->data_centre, at, nr),
				   agents);
	}
	free_rings(rings);
	g_free(places);
	return picked;
}

/* Returns the position of an agent on a ring. */
static size_t ring_place(const struct ring *ring, const char *name)
{
	size_t i;

	for (i = 0; strcmp(ring->places[i].name, name) != 0; i++)
		;
	return i;
}

/*
 * Marks the entries in the data centre of "sample" whose arcs contain the agent
 * at a position of its ring, and returns their number.
 */
static unsigned mark_data_centre_entries(struct subset_node *entries,
					 size_t entries_nr,
					 const struct subset_node *sample,
					 GArray *rings, const struct ring *own,
					 size_t place, unsigned size)
{
	size_t nr, at;
	struct place *places =
		sort_places(entries, entries_nr, sample->data_centre, &nr);
	unsigned picked = 0;

	set_tiers(rings, sample);
	for (at = 0; at < nr; at++) {
		size_t start = arc_start(own, sample->data_centre, at, nr);

		set_quotas(rings, size, at);
		if ((place + own->nr - start) % own->nr >= own->quota)
			continue;
		entries[places[at].index].picked = true;
		picked++;
	}
	g_free(places);
	return picked;
}

/* Tells whether no earlier entry is in the same data centre. */
static bool is_first_of_data_centre(const struct subset_node *entries,
				    size_t at)
{
	size_t i;

	for (i = 0; i < at; i++) {
		if (!strcmp(entries[i].data_centre, entries[at].data_centre))
			return false;
	}
	return true;
}

unsigned subset_pick_entries(struct subset_node *entries, size_t entries_nr,
			     const struct subset_node *agents, size_t agents_nr,
			     const char *self, unsigned size)
{
	const struct subset_node *own = find_node(agents, agents_nr, self);
	const struct ring *ring;
	unsigned picked = 0;
	size_t place, i;
	GArray *rings;

	if (!own || agents_nr <= size)
		return pick_all(entries, entries_nr);
	rings = make_rings(agents, agents_nr);
	ring = find_ring(rings, own->data_centre);
	place = ring_place(ring, self);
	for (i = 0; i < entries_nr; i++) {
		if (is_first_of_data_centre(entries, i))
			picked += mark_data_centre_entries(entries, entries_nr,
							   &entries[i], rings,
							   ring, place, size);
	}
	free_rings(rings);
	return picked;
}
