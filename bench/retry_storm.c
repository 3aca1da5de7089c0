/*
 * Simulates a retry storm: one third of the agents is faulty and the load is 1.2
 * times the capacity of the whole fleet. Entries use the real router, subsets,
 * circuit breakers and retry budgets; agents and the network are simulated.
 *
 * Prints the goodput as a fraction of the capacity of the healthy agents, and
 * the dispatches per request.
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "common/hash.h"
#include "core/circuit.h"
#include "core/retry.h"
#include "core/router.h"
#include "core/subset.h"

#define ENTRIES 10
#define AGENTS 60
#define FAULTY_AGENTS (AGENTS / 3)
#define SLOTS 8
#define SERVICE_US 100000
#define LOAD 1.2
#define DEADLINE_US 1000000
/* Maximum predicted wait at which an agent still queues a request, in us. */
#define QUEUE_LIMIT_US 400000
#define REPORT_US 500000
#define REPORT_FRESH_US 3000000
#define NETWORK_US 250
#define RUN_US 20000000
#define US_PER_MS 1000
#define US_PER_S 1000000

enum fault_kind { REFUSES, LOSES, SILENT, MIXED, FAULT_KINDS };

static const char *const fault_names[] = { "refuses", "loses", "silent",
					   "mixed" };

/* Timeout of a request at an agent that does not answer, in us. */
#define SILENT_TIMEOUT_US 1500000
#define LOSS_DETECTION_US 50000

struct request {
	uint64_t arrived_us;
	uint32_t attempts;
	int entry;
	bool refused_by[AGENTS];
};

struct agent {
	enum fault_kind fault_kind;
	bool faulty;
	int running;
	GQueue queue;
	/* Load and predicted wait from the agent's last load report. */
	uint32_t reported;
	uint32_t wait_us;
	uint64_t report_sequence;
};

struct view {
	struct circuit circuit;
	uint64_t report_sequence;
	uint32_t unreported;
};

struct entry {
	bool subset[AGENTS];
	struct view views[AGENTS];
	struct retry retry;
};

enum event_kind { ARRIVAL, DISPATCH, AT_AGENT, REFUSED, LOST, DONE, REPORT };

struct event {
	uint64_t at_us;
	uint64_t order;
	enum event_kind kind;
	struct request *request;
	int agent;
};

static struct {
	GRand *random;
	struct agent agents[AGENTS];
	struct entry entries[ENTRIES];
	GSequence *events;
	uint64_t order;
	uint64_t now_us;
	bool budgeted;
	uint64_t requests;
	uint64_t dispatches;
	uint64_t in_time;
} sim;

static gint compare_events(gconstpointer a, gconstpointer b, gpointer ctx)
{
	const struct event *left = a;
	const struct event *right = b;

	(void)ctx;
	if (left->at_us != right->at_us)
		return left->at_us < right->at_us ? -1 : 1;
	return left->order < right->order ? -1 : 1;
}

static void add_event(uint64_t after_us, enum event_kind kind,
		      struct request *request, int agent)
{
	struct event *event = g_new(struct event, 1);

	*event = (struct event){ sim.now_us + after_us, sim.order++, kind,
				 request, agent };
	g_sequence_insert_sorted(sim.events, event, compare_events, NULL);
}

static uint64_t exponential_us(double mean_us)
{
	return (uint64_t)(-log(1 - g_rand_double(sim.random)) * mean_us);
}

static uint32_t predicted_wait_us(const struct agent *agent)
{
	if (agent->running < SLOTS)
		return 0;
	return (agent->queue.length + 1) * (SERVICE_US / SLOTS);
}

static void add_arrival(void)
{
	double per_s = LOAD * AGENTS * SLOTS * US_PER_S / SERVICE_US;

	add_event(exponential_us(US_PER_S / per_s), ARRIVAL, NULL, 0);
}

static bool is_candidate(const struct entry *entry,
			 const struct request *request, int i)
{
	if (!entry->subset[i] || request->refused_by[i])
		return false;
	return !sim.budgeted ||
	       circuit_allows(&entry->views[i].circuit, sim.now_us / US_PER_MS);
}

static size_t list_candidates(struct entry *entry,
			      const struct request *request,
			      struct router_candidate *candidates, int *which)
{
	size_t nr = 0;
	int i;

	for (i = 0; i < AGENTS; i++) {
		struct view *view = &entry->views[i];
		const struct agent *agent = &sim.agents[i];

		if (!is_candidate(entry, request, i))
			continue;
		if (view->report_sequence != agent->report_sequence) {
			view->report_sequence = agent->report_sequence;
			view->unreported = 0;
		}
		candidates[nr] = (struct router_candidate){
			.name = "agent",
			.expected_wait_us = agent->wait_us,
			.reported = agent->reported,
			.unreported = view->unreported,
			.limit = SLOTS,
		};
		which[nr++] = i;
	}
	return nr;
}

static void dispatch(struct request *request)
{
	struct entry *entry = &sim.entries[request->entry];
	struct router_candidate candidates[AGENTS];
	struct router_request wanted = { 0 };
	struct router_choice choice;
	int which[AGENTS];
	size_t nr = list_candidates(entry, request, candidates, which);

	router_choose(&wanted, candidates, nr, sim.random, &choice);
	if (choice.index < 0) {
		g_free(request);
		return;
	}
	request->attempts++;
	sim.dispatches++;
	entry->views[which[choice.index]].unreported++;
	circuit_dispatched(&entry->views[which[choice.index]].circuit,
			   sim.now_us / US_PER_MS);
	add_event(NETWORK_US, AT_AGENT, request, which[choice.index]);
}

static void start_next(int i)
{
	struct agent *agent = &sim.agents[i];
	struct request *request;

	while (agent->running < SLOTS &&
	       (request = g_queue_pop_head(&agent->queue)) != NULL) {
		agent->running++;
		add_event(exponential_us(SERVICE_US), DONE, request, i);
	}
}

static enum fault_kind fault_of(const struct agent *agent, int i)
{
	return agent->fault_kind == MIXED ? (enum fault_kind)(i % MIXED) :
					    agent->fault_kind;
}

static void at_faulty_agent(struct request *request, int i)
{
	switch (fault_of(&sim.agents[i], i)) {
	case REFUSES:
		add_event(NETWORK_US, REFUSED, request, i);
		break;
	case LOSES:
		add_event(LOSS_DETECTION_US, LOST, request, i);
		break;
	default:
		add_event(SILENT_TIMEOUT_US, LOST, request, i);
	}
}

static void at_agent(struct request *request, int i)
{
	struct agent *agent = &sim.agents[i];

	if (agent->faulty) {
		at_faulty_agent(request, i);
	} else if (predicted_wait_us(agent) > QUEUE_LIMIT_US) {
		add_event(NETWORK_US, REFUSED, request, i);
	} else {
		g_queue_push_tail(&agent->queue, request);
		start_next(i);
	}
}

static void retry_or_drop(struct request *request, int i)
{
	struct entry *entry = &sim.entries[request->entry];
	uint64_t deadline_us = request->arrived_us + DEADLINE_US;
	uint64_t at_ms = 0;
	enum retry_decision verdict = RETRY_NOW;

	request->refused_by[i] = true;
	if (sim.now_us >= deadline_us || request->attempts >= 4)
		verdict = RETRY_TOO_LATE;
	else if (sim.budgeted)
		verdict = retry_decide(&entry->retry, request->attempts,
				       sim.now_us / US_PER_MS,
				       deadline_us / US_PER_MS, sim.random,
				       &at_ms);
	if (verdict == RETRY_NOW)
		add_event(0, DISPATCH, request, 0);
	else if (verdict == RETRY_LATER)
		add_event(at_ms * US_PER_MS - sim.now_us, DISPATCH, request, 0);
	else
		g_free(request);
}

static void attempt_failed(struct request *request, int i)
{
	circuit_failed(&sim.entries[request->entry].views[i].circuit,
		       sim.now_us / US_PER_MS);
	retry_or_drop(request, i);
}

static void done(struct request *request, int i)
{
	struct entry *entry = &sim.entries[request->entry];

	sim.agents[i].running--;
	start_next(i);
	circuit_succeeded(&entry->views[i].circuit);
	if (sim.now_us <= request->arrived_us + DEADLINE_US) {
		sim.in_time++;
		retry_succeeded(&entry->retry);
	}
	g_free(request);
}

static void report(void)
{
	int i;

	for (i = 0; i < AGENTS; i++) {
		struct agent *agent = &sim.agents[i];

		agent->reported = agent->running + agent->queue.length;
		agent->wait_us = predicted_wait_us(agent);
		agent->report_sequence++;
	}
	add_event(REPORT_US, REPORT, NULL, 0);
}

static void arrive(void)
{
	struct request *request = g_new0(struct request, 1);

	request->arrived_us = sim.now_us;
	request->entry = g_rand_int_range(sim.random, 0, ENTRIES);
	sim.requests++;
	add_arrival();
	dispatch(request);
}

static void handle(const struct event *event)
{
	switch (event->kind) {
	case ARRIVAL:
		arrive();
		break;
	case DISPATCH:
		dispatch(event->request);
		break;
	case AT_AGENT:
		at_agent(event->request, event->agent);
		break;
	case REFUSED:
		/*
		 * A healthy agent refuses a request only when it is full, which
		 * does not count as a failure.
		 */
		if (sim.agents[event->agent].faulty)
			attempt_failed(event->request, event->agent);
		else
			retry_or_drop(event->request, event->agent);
		break;
	case LOST:
		attempt_failed(event->request, event->agent);
		break;
	case DONE:
		done(event->request, event->agent);
		break;
	case REPORT:
		report();
		break;
	}
}

static void set_up(enum fault_kind fault_kind)
{
	struct subset_node entries[ENTRIES], agents[AGENTS];
	int i, k;

	for (i = 0; i < ENTRIES; i++)
		entries[i] =
			(struct subset_node){ g_strdup_printf("entry-%d", i),
					      "d", "r", false };
	for (i = 0; i < AGENTS; i++) {
		agents[i] =
			(struct subset_node){ g_strdup_printf("agent-%d", i),
					      "d", "r", false };
		sim.agents[i] = (struct agent){ .fault_kind = fault_kind,
						.faulty = i < FAULTY_AGENTS };
		g_queue_init(&sim.agents[i].queue);
	}
	for (i = 0; i < ENTRIES; i++) {
		for (k = 0; k < AGENTS; k++)
			agents[k].picked = false;
		subset_pick(entries, ENTRIES, entries[i].name, agents, AGENTS,
			    40);
		for (k = 0; k < AGENTS; k++)
			sim.entries[i].subset[k] = agents[k].picked;
		memset(sim.entries[i].views, 0, sizeof(sim.entries[i].views));
		retry_init(&sim.entries[i].retry, &retry_defaults);
	}
}

static void run(enum fault_kind fault_kind, bool budgeted, int seed)
{
	double services = (double)RUN_US / SERVICE_US;
	int slots = SLOTS * (AGENTS - FAULTY_AGENTS);
	double healthy = services * slots;

	sim.random = g_rand_new_with_seed(seed);
	sim.events = g_sequence_new(g_free);
	sim.now_us = sim.requests = sim.dispatches = sim.in_time = 0;
	sim.budgeted = budgeted;
	set_up(fault_kind);
	report();
	add_arrival();
	while (sim.now_us < RUN_US) {
		GSequenceIter *first = g_sequence_get_begin_iter(sim.events);
		struct event event = *(struct event *)g_sequence_get(first);

		g_sequence_remove(first);
		sim.now_us = event.at_us;
		handle(&event);
	}
	printf("%s_%s goodput=%.3f dispatches=%.3f\n", fault_names[fault_kind],
	       budgeted ? "budgeted" : "unbudgeted", sim.in_time / healthy,
	       (double)sim.dispatches / sim.requests);
	g_sequence_free(sim.events);
	g_rand_free(sim.random);
}

int main(void)
{
	const char *seed = getenv("SEED");
	int fault_kind;

	for (fault_kind = 0; fault_kind < FAULT_KINDS; fault_kind++) {
		run(fault_kind, true, seed ? atoi(seed) : 1);
		run(fault_kind, false, seed ? atoi(seed) : 1);
	}
	return 0;
}
