#include <stdio.h>

#include "common/hash.h"
#include "core/router.h"

/* Network round-trip time by distance, in us. */
static const uint32_t round_trip_us[ROUTER_DISTANCES] = {
	[ROUTER_SAME_DATA_CENTRE] = 500,
	[ROUTER_SAME_REGION] = 3000,
	[ROUTER_OTHER_REGION] = 60000,
};

/* Predicted wait for each request beyond an agent's limit, in us. */
#define EXCESS_WAIT_US 50000
/* Minimum reduction of the predicted wait for which a request goes to a farther
 * data centre, in us. */
#define FARTHER_GAIN_US 5000
/* Largest load at which a prefix's agent is still preferred, in percent of the
 * mean load. */
#define PREFIX_LOAD_PERCENT 125
/* Largest additional wait accepted for a cached prefix, in us. */
#define PREFIX_GAIN_US 20000
/* Number of agents tried for a prefix, in the order of their hashes. */
#define PREFIX_TRIES 2

static uint32_t load_of(const struct router_candidate *candidate)
{
	return candidate->reported + candidate->unreported;
}

uint64_t router_wait(const struct router_candidate *candidate)
{
	uint32_t load = load_of(candidate);
	uint32_t excess = 0;

	/* The wait that the agent reported already includes the requests
	 * that it had at the time, so only requests sent since the report
	 * add to it. */
	if (load >= candidate->limit)
		excess =
			MIN(load - candidate->limit + 1, candidate->unreported);
	return (uint64_t)candidate->expected_wait_us +
	       round_trip_us[candidate->distance] +
	       (uint64_t)excess * EXCESS_WAIT_US;
}

/* Compares by predicted wait, then by load relative to the limit. */
static bool is_better(const struct router_candidate *a,
		      const struct router_candidate *b)
{
	uint64_t wait_a = router_wait(a);
	uint64_t wait_b = router_wait(b);

	if (wait_a != wait_b)
		return wait_a < wait_b;
	return (uint64_t)load_of(a) * b->limit <
	       (uint64_t)load_of(b) * a->limit;
}

struct group {
	/* Indices of the candidates at one distance. */
	int *indices;
	size_t nr;
	uint64_t load;
};

static void choose_of_two(const struct group *group,
			  const struct router_candidate *candidates,
			  GRand *random, struct router_choice *choice)
{
	size_t a = g_rand_int_range(random, 0, (gint32)group->nr);
	size_t b;

	choice->index = group->indices[a];
	choice->other = -1;
	choice->reason = ROUTER_ONLY_ONE;
	if (group->nr > 1) {
		b = g_rand_int_range(random, 0, (gint32)group->nr - 1);
		b += b >= a;
		choice->reason = ROUTER_SHORTER_WAIT;
		choice->other = group->indices[b];
		if (is_better(&candidates[choice->other],
			      &candidates[choice->index])) {
			choice->other = choice->index;
			choice->index = group->indices[b];
		}
		choice->other_wait_us = router_wait(&candidates[choice->other]);
	}
	choice->wait_us = router_wait(&candidates[choice->index]);
}

static bool below_load_limit(const struct router_candidate *candidate,
			     const struct group *group)
{
	uint64_t load = load_of(candidate) + 1;

	if (load <= candidate->limit)
		return true;
	return load * group->nr * 100 <=
	       (group->load + 1) * PREFIX_LOAD_PERCENT;
}

/* Returns the index of the candidate with the highest rendezvous hash below a
 * bound, or -1. */
static int next_prefix_agent(const struct group *group,
			     const struct router_candidate *candidates,
			     uint64_t prefix_hash, uint64_t *bound)
{
	uint64_t best_hash = 0;
	int best = -1;
	size_t i;

	for (i = 0; i < group->nr; i++) {
		int index = group->indices[i];
		uint64_t hash =
			hash_combine(prefix_hash, candidates[index].name_hash);

		if (hash >= *bound || (best >= 0 && hash <= best_hash))
			continue;
		best = index;
		best_hash = hash;
	}
	*bound = best_hash;
	return best;
}

/* Replaces the choice by one of the prefix's agents, if that agent is not
 * overloaded and the additional wait is small. */
static void prefer_prefix(const struct router_request *request,
			  const struct group *group,
			  const struct router_candidate *candidates,
			  struct router_choice *choice)
{
	uint64_t bound = UINT64_MAX;
	int tries;

	for (tries = 0; tries < PREFIX_TRIES; tries++) {
		int index = next_prefix_agent(group, candidates,
					      request->prefix_hash, &bound);

		if (index < 0)
			return;
		if (!below_load_limit(&candidates[index], group) ||
		    router_wait(&candidates[index]) >
			    choice->wait_us + PREFIX_GAIN_US)
			continue;
		choice->reason = ROUTER_PREFIX;
		choice->index = index;
		choice->other = -1;
		choice->wait_us = router_wait(&candidates[index]);
		return;
	}
}

static void make_group(struct group *group, enum router_distance distance,
		       const struct router_candidate *candidates, size_t nr,
		       int *indices)
{
	size_t i;

	*group = (struct group){ .indices = indices };
	for (i = 0; i < nr; i++) {
		if (candidates[i].distance != distance)
			continue;
		group->indices[group->nr++] = (int)i;
		group->load += load_of(&candidates[i]);
	}
}

/* Chooses an agent of the group if none is chosen yet, or if that reduces the
 * wait by more than FARTHER_GAIN_US. Groups are tried from near to far. */
static void choose_in_group(const struct router_request *request,
			    const struct group *group,
			    const struct router_candidate *candidates,
			    GRand *random, struct router_choice *choice)
{
	struct router_choice local_choice = { .index = -1, .other = -1 };

	if (!group->nr)
		return;
	choose_of_two(group, candidates, random, &local_choice);
	if (request->prefix_hash)
		prefer_prefix(request, group, candidates, &local_choice);
	if (choice->index < 0 ||
	    local_choice.wait_us + FARTHER_GAIN_US < choice->wait_us)
		*choice = local_choice;
}

void router_choose(const struct router_request *request,
		   const struct router_candidate *candidates, size_t nr,
		   GRand *random, struct router_choice *choice)
{
	int *indices = g_new(int, nr + 1);
	struct group group;
	int distance;

	*choice = (struct router_choice){ .index = -1, .other = -1 };
	for (distance = 0; distance < ROUTER_DISTANCES; distance++) {
		if (distance == ROUTER_OTHER_REGION &&
		    !request->link_has_budget)
			continue;
		make_group(&group, distance, candidates, nr, indices);
		choose_in_group(request, &group, candidates, random, choice);
	}
	g_free(indices);
}

static const char *const distance_texts[] = {
	[ROUTER_SAME_DATA_CENTRE] = "same data centre",
	[ROUTER_SAME_REGION] = "same region",
	[ROUTER_OTHER_REGION] = "other region",
};

void router_explain(const struct router_choice *choice,
		    const struct router_candidate *candidates, char *text,
		    size_t len)
{
	const struct router_candidate *chosen;

	if (choice->index < 0) {
		g_snprintf(text, len, "no agent can be chosen");
		return;
	}
	chosen = &candidates[choice->index];
	if (choice->reason == ROUTER_SHORTER_WAIT)
		g_snprintf(text, len,
			   "%s: shorter wait of two, %" G_GUINT64_FORMAT
			   " us against %" G_GUINT64_FORMAT " us at %s, %s",
			   chosen->name, choice->wait_us, choice->other_wait_us,
			   candidates[choice->other].name,
			   distance_texts[chosen->distance]);
	else
		g_snprintf(text, len,
			   "%s: %s, wait %" G_GUINT64_FORMAT
			   " us, load %u of %u, %s",
			   chosen->name,
			   choice->reason == ROUTER_PREFIX ?
				   "agent of the prefix" :
				   "only one",
			   choice->wait_us, load_of(chosen), chosen->limit,
			   distance_texts[chosen->distance]);
}
