/*
 * Measures the time of decisions at an entry: choosing an agent, rate limiting a
 * caller, and picking a subset.
 */
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include <glib.h>

#include "common/hash.h"
#include "core/limiter.h"
#include "core/router.h"
#include "core/subset.h"

#define ENTRIES 370
#define AGENTS 600
#define CALLERS 7300
#define DATA_CENTRES 8
#define SUBSET 40
#define ROUNDS 200000
#define SUBSET_ROUNDS 200

static uint64_t now_ns(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (uint64_t)now.tv_sec * 1000000000 + now.tv_nsec;
}

static struct subset_node *make_nodes(const char *kind, size_t nr)
{
	struct subset_node *nodes = g_new0(struct subset_node, nr);
	size_t i;

	for (i = 0; i < nr; i++) {
		int data_centre = (int)(i % DATA_CENTRES);

		nodes[i].name = g_strdup_printf("%s-%zu", kind, i);
		nodes[i].data_centre = g_strdup_printf("d%d", data_centre);
		nodes[i].region =
			data_centre < DATA_CENTRES / 2 ? "north" : "south";
	}
	return nodes;
}

static void measure_subset(void)
{
	struct subset_node *entries = make_nodes("entry", ENTRIES);
	struct subset_node *agents = make_nodes("agent", AGENTS);
	uint64_t began = now_ns();
	int i;

	for (i = 0; i < SUBSET_ROUNDS; i++)
		subset_pick(entries, ENTRIES, entries[i].name, agents, AGENTS,
			    SUBSET);
	printf("subset ns=%" G_GUINT64_FORMAT "\n",
	       (now_ns() - began) / SUBSET_ROUNDS);
}

static struct router_candidate *make_candidates(GRand *random, size_t nr)
{
	struct router_candidate *candidates =
		g_new0(struct router_candidate, nr);
	size_t i;

	for (i = 0; i < nr; i++) {
		candidates[i].name = g_strdup_printf("agent-%zu", i);
		candidates[i].name_hash = hash_string(candidates[i].name, 0);
		candidates[i].distance = i * ROUTER_DISTANCES / nr;
		candidates[i].expected_wait_us =
			g_rand_int_range(random, 0, 20000);
		candidates[i].reported = g_rand_int_range(random, 0, 12);
		candidates[i].limit = 8;
	}
	return candidates;
}

static void measure_router(GRand *random, size_t nr, bool prefix,
			   const char *label)
{
	struct router_candidate *candidates = make_candidates(random, nr);
	struct router_request request = { .link_has_budget = true };
	struct router_choice choice;
	uint64_t began = now_ns();
	uint64_t sum = 0;
	int i;

	for (i = 0; i < ROUNDS; i++) {
		request.prefix_hash = prefix ? hash_combine(i, 1) | 1 : 0;
		router_choose(&request, candidates, nr, random, &choice);
		sum += choice.index;
	}
	printf("%s ns=%" G_GUINT64_FORMAT " checksum=%" G_GUINT64_FORMAT "\n",
	       label, (now_ns() - began) / ROUNDS, sum);
}

static void measure_limiter(GRand *random)
{
	struct limiter *limiter = limiter_create();
	struct limiter_rate rate = { .requests_per_s = 100, .burst = 20 };
	char *callers[CALLERS];
	uint64_t began, retry_after_us;
	int i, admitted = 0;

	for (i = 0; i < CALLERS; i++)
		callers[i] = g_strdup_printf("caller-%d", i);
	began = now_ns();
	for (i = 0; i < ROUNDS; i++) {
		const char *caller =
			callers[g_rand_int_range(random, 0, CALLERS)];

		admitted += limiter_admit(limiter, caller, &rate, i,
					  &retry_after_us);
		if (!limiter_within_share(limiter, "chat", caller, i / 1000))
			continue;
		limiter_started(limiter, "chat", caller);
		limiter_ended(limiter, "chat", caller);
	}
	printf("limiter ns=%" G_GUINT64_FORMAT " admitted=%d\n",
	       (now_ns() - began) / ROUNDS, admitted);
	limiter_destroy(limiter);
}

int main(void)
{
	const char *seed = getenv("SEED");
	GRand *random = g_rand_new_with_seed(seed ? atoi(seed) : 1);

	measure_subset();
	measure_router(random, SUBSET, false, "router_40");
	measure_router(random, SUBSET, true, "router_40_prefix");
	measure_router(random, AGENTS, false, "router_600");
	measure_limiter(random);
	return 0;
}
