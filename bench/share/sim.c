/*
 * Runs the simulation: online arrivals, the scheduling policies and the
 * measurements.
 */
#include <math.h>
#include <string.h>

#include "core/admission.h"
#include "core/batch_share.h"
#include "core/concurrency.h"
#include "sim.h"

/* Period at which the policy runs, in us. It also runs after each event. */
#define TICK_US 20000
#define CALLERS 8
#define QUEUE_MAX 1024
#define QUEUE_QUANTUM 4096
/* Deadline of an online request, in us. */
#define DEADLINE_US 30000000
/* Time after a preemption before the stream is resumed, in us. */
#define RESUME_PAUSE_US 100000
/* Number of concurrent batch streams under SIM_ENGINE_ALONE. */
#define UNLIMITED_STREAMS 256
#define FIRST_TOKEN_INITIAL_US 100000.0
#define FIRST_TOKEN_WEIGHT 0.1
#define STARTING_FACTOR 3
#define UNSTEADY_US 2000000
#define ONLINE_PROMPT_MIN 50
#define ONLINE_PROMPT_MAX 600
#define ONLINE_TOKENS_MIN 20
#define ONLINE_TOKENS_MAX 120
#define BATCH_PROMPT_MIN 100
#define BATCH_PROMPT_MAX 800
#define BATCH_TOKENS_MIN 30
#define BATCH_TOKENS_MAX 200

struct sim {
	const struct sim_options *options;
	struct sim_engine *engine;
	GRand *online_rand;
	GRand *batch_rand;
	GRand *noise;
	/* Arrival times of the whole run; only the oracle reads future ones. */
	GArray *arrivals;
	guint next_arrival;
	uint64_t now_us;
	uint64_t tick_us;
	GPtrArray *online;
	GPtrArray *batch;
	/* Preempted streams, oldest first. */
	GQueue paused;
	struct concurrency *concurrency;
	struct admission *admission;
	struct batch_share *share;
	double first_token_us;
	uint64_t changed_us;
	unsigned starting;
	unsigned online_starting;
	unsigned batch_starting;
	uint64_t batch_tokens;
	struct sim_result *result;
};

static uint32_t random_between(GRand *rand, uint32_t min, uint32_t max)
{
	return (uint32_t)g_rand_int_range(rand, (gint32)min, (gint32)max + 1);
}

static double exponential(GRand *rand, double mean)
{
	return -mean * log(1 - g_rand_double(rand));
}

/* Returns the engine's peak token rate, per second. */
static double peak_rate(const struct sim_curve *curve)
{
	double best = 0;
	unsigned n;

	for (n = 1; n <= curve->max_running; n++)
		best = MAX(best, n * 1e6 / (double)sim_curve_gap(curve, n));
	return best;
}

/* Draws a Poisson process that alternates between a quiet and a burst rate. */
static void make_arrivals(struct sim *sim)
{
	const struct sim_load *load = sim->options->load;
	double per_s = peak_rate(sim->options->curve) /
		       (ONLINE_TOKENS_MIN + ONLINE_TOKENS_MAX) * 2;
	double end_s = (double)sim->options->duration_us / 1e6;
	GRand *rand = sim->online_rand;
	double at = 0;
	bool burst = false;

	while (at < end_s) {
		double until = at + exponential(rand, burst ? load->burst_s :
							      load->quiet_s);
		double rate = per_s * (burst ? load->burst : load->quiet);

		for (;;) {
			uint64_t us;

			at += exponential(rand, 1 / rate);
			if (at >= until || at >= end_s)
				break;
			us = (uint64_t)(at * 1e6);
			g_array_append_val(sim->arrivals, us);
		}
		at = until;
		burst = !burst;
	}
}

static struct sim_stream *stream_create(struct sim *sim, bool online)
{
	struct sim_stream *stream = g_new0(struct sim_stream, 1);
	GRand *rand = online ? sim->online_rand : sim->batch_rand;

	list_init(&stream->link);
	stream->online = online;
	stream->arrived_us = sim->now_us;
	stream->prompt_tokens = online ? random_between(rand, ONLINE_PROMPT_MIN,
							ONLINE_PROMPT_MAX) :
					 random_between(rand, BATCH_PROMPT_MIN,
							BATCH_PROMPT_MAX);
	stream->max_tokens = online ? random_between(rand, ONLINE_TOKENS_MIN,
						     ONLINE_TOKENS_MAX) :
				      random_between(rand, BATCH_TOKENS_MIN,
						     BATCH_TOKENS_MAX);
	return stream;
}

static void start(struct sim *sim, struct sim_stream *stream)
{
	sim->changed_us = sim->now_us;
	g_ptr_array_add(stream->online ? sim->online : sim->batch, stream);
	sim_engine_add(sim->engine, stream, sim->now_us);
}

static void start_batch(struct sim *sim)
{
	struct sim_stream *paused = g_queue_peek_head(&sim->paused);

	if (paused && sim->now_us >= paused->arrived_us + RESUME_PAUSE_US)
		start(sim, g_queue_pop_head(&sim->paused));
	else
		start(sim, stream_create(sim, false));
}

/* Preempts the batch stream that started last. */
static void preempt(struct sim *sim)
{
	struct sim_stream *victim = NULL;
	guint i;

	for (i = 0; i < sim->batch->len; i++) {
		struct sim_stream *stream = sim->batch->pdata[i];

		if (!victim || stream->started_us >= victim->started_us)
			victim = stream;
	}
	g_ptr_array_remove(sim->batch, victim);
	sim_engine_cancel(sim->engine, victim);
	victim->arrived_us = sim->now_us;
	g_queue_push_tail(&sim->paused, victim);
	sim->changed_us = sim->now_us;
	sim->result->preemptions++;
}

static unsigned count_starting(const GPtrArray *streams, uint64_t since_us)
{
	unsigned nr = 0;
	guint i;

	for (i = 0; i < streams->len; i++) {
		const struct sim_stream *stream = streams->pdata[i];

		if (!stream->token_us && stream->started_us >= since_us)
			nr++;
	}
	return nr;
}

static void adjust_batch(struct sim *sim, unsigned keep, unsigned more)
{
	while (sim->batch->len > keep)
		preempt(sim);
	while (more-- && sim->batch->len < keep)
		start_batch(sim);
}

static void plan_batch_share(struct sim *sim)
{
	struct batch_share_load load = {
		.online_running = sim->online->len,
		.online_waiting = admission_waiting(sim->admission),
		.online_starting = sim->online_starting,
		.batch_running = sim->batch->len,
		.batch_starting = sim->batch_starting,
		.batch_waiting = CONCURRENCY_MAX,
	};
	struct batch_share_plan plan = batch_share_plan(
		sim->share, sim->concurrency, &load, sim->now_us);

	adjust_batch(sim, plan.keep, plan.start);
}

static unsigned arrivals_within(const struct sim *sim, uint64_t us)
{
	unsigned nr = 0;
	guint i;

	for (i = sim->next_arrival; i < sim->arrivals->len; i++) {
		if (g_array_index(sim->arrivals, uint64_t, i) >
		    sim->now_us + us)
			break;
		nr++;
	}
	return nr;
}

static void plan_oracle(struct sim *sim)
{
	const struct sim_oracle *oracle = &sim->options->oracle;
	unsigned soon = arrivals_within(
		sim, sim_curve_gap(sim->options->curve, sim->batch->len));
	unsigned online = sim->online->len + soon;
	unsigned level = online ? oracle->busy_level : oracle->idle_level;
	unsigned keep = level > online ? level - online : 0;
	unsigned starting = count_starting(sim->batch, 0);
	unsigned limit = online ? oracle->busy_starting : keep;

	if (arrivals_within(sim, oracle->clear_us) ||
	    count_starting(sim->online, 0))
		limit = 0;
	adjust_batch(sim, keep, limit > starting ? limit - starting : 0);
}

static void start_online(struct sim *sim)
{
	unsigned limit = concurrency_online_limit(sim->concurrency);
	struct sim_stream *stream;

	while ((stream = admission_expired(sim->admission, sim->now_us)))
		g_free(stream);
	while (sim->online->len < limit &&
	       (stream = admission_next(sim->admission, sim->now_us)))
		start(sim, stream);
}

static void schedule(struct sim *sim)
{
	uint64_t window = (uint64_t)(STARTING_FACTOR * sim->first_token_us);
	uint64_t since = sim->now_us > window ? sim->now_us - window : 0;

	start_online(sim);
	sim->online_starting = count_starting(sim->online, since);
	sim->batch_starting = count_starting(sim->batch, since);
	window = MAX(window, UNSTEADY_US);
	since = sim->now_us > window ? sim->now_us - window : 0;
	sim->starting = count_starting(sim->online, since) +
			count_starting(sim->batch, since);
	switch (sim->options->policy) {
	case SIM_NO_BATCH:
		return;
	case SIM_ENGINE_ALONE:
		adjust_batch(sim, UNLIMITED_STREAMS, UNLIMITED_STREAMS);
		return;
	case SIM_FIXED:
		adjust_batch(sim, sim->options->fixed, sim->options->fixed);
		return;
	case SIM_OURS:
		plan_batch_share(sim);
		return;
	case SIM_ORACLE:
		plan_oracle(sim);
		return;
	}
}

/*
 * Updates the estimates of the agent's modules from a token, as the agent does
 * in gate.c.
 */
static void update_estimates(struct sim *sim, const struct sim_stream *stream,
			     uint64_t seen_us)
{
	unsigned streams = sim->online->len + sim->batch->len;
	uint64_t took = seen_us - stream->started_us;
	struct concurrency_sample sample = {
		.streams = streams,
		.gap_us = seen_us - stream->token_us,
		.tokens = 1,
	};

	if (!stream->token_us) {
		sim->first_token_us += FIRST_TOKEN_WEIGHT *
				       ((double)took - sim->first_token_us);
		concurrency_record_first_token(sim->concurrency, streams, took,
					       seen_us);
		sim->changed_us = seen_us;
		return;
	}
	sample.steady = stream->token_us >= sim->changed_us && !sim->starting;
	concurrency_record_gap(sim->concurrency, &sample, seen_us);
	if (stream->online)
		batch_share_record_online_gap(sim->share,
					      seen_us - stream->token_us,
					      sim->batch_starting > 0);
}

static void measure(struct sim *sim, const struct sim_stream *stream,
		    uint64_t seen_us)
{
	uint64_t us = seen_us - stream->arrived_us;

	if (!stream->online) {
		sim->batch_tokens++;
		return;
	}
	if (!stream->token_us) {
		g_array_append_val(sim->result->first_tokens, us);
		return;
	}
	us = seen_us - stream->token_us;
	g_array_append_val(sim->result->gaps, us);
}

static void on_token(void *ctx, struct sim_stream *stream, uint64_t now_us)
{
	struct sim *sim = ctx;
	uint64_t seen = now_us + (uint64_t)g_rand_int_range(
					 sim->noise, 0,
					 (gint32)sim->options->jitter_us + 1);

	sim->now_us = now_us;
	measure(sim, stream, seen);
	update_estimates(sim, stream, seen);
	stream->token_us = seen;
	if (stream->phase != SIM_IDLE)
		return;
	g_ptr_array_remove(stream->online ? sim->online : sim->batch, stream);
	if (stream->online)
		admission_record_service(sim->admission,
					 now_us - stream->started_us);
	sim->changed_us = now_us;
	g_free(stream);
}

static void on_arrival(struct sim *sim)
{
	static const char *const callers[CALLERS] = { "a", "b", "c", "d",
						      "e", "f", "g", "h" };
	struct sim_stream *stream = stream_create(sim, true);
	struct admission_request request = {
		.owner = stream,
		.caller = callers[sim->next_arrival % CALLERS],
		.deadline_us = sim->now_us + DEADLINE_US,
		.cost = stream->prompt_tokens,
	};
	uint64_t retry_us;

	sim->next_arrival++;
	if (admission_enqueue(sim->admission, &request, sim->online->len,
			      concurrency_online_limit(sim->concurrency),
			      sim->now_us, &retry_us) != ADMISSION_QUEUED)
		g_free(stream);
}

static uint64_t next_arrival_us(const struct sim *sim)
{
	if (sim->next_arrival >= sim->arrivals->len)
		return UINT64_MAX;
	return g_array_index(sim->arrivals, uint64_t, sim->next_arrival);
}

static void run_events(struct sim *sim)
{
	while (sim->now_us < sim->options->duration_us) {
		uint64_t due = sim_engine_due(sim->engine);
		uint64_t arrival = next_arrival_us(sim);

		sim->now_us = MIN(MIN(due, arrival), sim->tick_us);
		if (sim->now_us == due)
			sim_engine_step(sim->engine);
		else if (sim->now_us == arrival)
			on_arrival(sim);
		else
			sim->tick_us += TICK_US;
		schedule(sim);
	}
}

static void sim_init(struct sim *sim)
{
	const struct sim_options *options = sim->options;
	struct concurrency_options targets = {
		.gap_target_us = options->gap_target_us,
		.first_token_target_us = DEADLINE_US,
	};
	struct admission_options queue = { QUEUE_MAX, QUEUE_QUANTUM };
	struct batch_share_options share = { options->weight,
					     options->gap_target_us };

	sim->engine = sim_engine_create(options->curve, on_token, sim);
	sim->online_rand = g_rand_new_with_seed(options->seed);
	sim->batch_rand = g_rand_new_with_seed(options->seed + 1000);
	sim->noise = g_rand_new_with_seed(options->seed + 2000);
	sim->arrivals = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	sim->online = g_ptr_array_new();
	sim->batch = g_ptr_array_new();
	g_queue_init(&sim->paused);
	sim->concurrency = concurrency_create(&targets);
	sim->admission = admission_create(&queue);
	sim->share = batch_share_create(&share);
	sim->first_token_us = FIRST_TOKEN_INITIAL_US;
	make_arrivals(sim);
}

static void free_streams(GPtrArray *streams)
{
	g_ptr_array_set_free_func(streams, g_free);
	g_ptr_array_free(streams, TRUE);
}

static void sim_clear(struct sim *sim)
{
	struct sim_stream *waiting;

	while ((waiting = admission_next(sim->admission, sim->now_us)))
		g_free(waiting);
	free_streams(sim->online);
	free_streams(sim->batch);
	g_queue_clear_full(&sim->paused, g_free);
	g_array_free(sim->arrivals, TRUE);
	g_rand_free(sim->online_rand);
	g_rand_free(sim->batch_rand);
	g_rand_free(sim->noise);
	batch_share_destroy(sim->share);
	admission_destroy(sim->admission);
	concurrency_destroy(sim->concurrency);
	sim_engine_destroy(sim->engine);
}

static gint compare_times(gconstpointer a, gconstpointer b)
{
	uint64_t x = *(const uint64_t *)a, y = *(const uint64_t *)b;

	return x < y ? -1 : x > y;
}

static double share_within(const GArray *sorted, uint64_t limit_us)
{
	guint low = 0, high = sorted->len;

	while (low < high) {
		guint mid = (low + high) / 2;

		if (g_array_index(sorted, uint64_t, mid) <= limit_us)
			low = mid + 1;
		else
			high = mid;
	}
	return sorted->len ? (double)low / sorted->len : 1;
}

void sim_run(const struct sim_options *options, struct sim_result *result)
{
	struct sim sim = { .options = options, .result = result };

	memset(result, 0, sizeof(*result));
	result->first_tokens = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	result->gaps = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	sim_init(&sim);
	run_events(&sim);
	result->level = batch_share_target_streams(sim.share);
	sim_clear(&sim);
	result->batch_tokens_per_s =
		(double)sim.batch_tokens * 1e6 / (double)options->duration_us;
	g_array_sort(result->first_tokens, compare_times);
	g_array_sort(result->gaps, compare_times);
	result->gaps_within =
		share_within(result->gaps, options->gap_target_us);
}

void sim_print_trace(const struct sim_options *options, FILE *out)
{
	struct sim_result result = { 0 };
	struct sim sim = { .options = options, .result = &result };
	guint i;

	sim_init(&sim);
	for (i = 0; i < sim.arrivals->len; i++) {
		struct sim_stream *stream = stream_create(&sim, true);

		fprintf(out, "%" G_GUINT64_FORMAT " %u %u\n",
			g_array_index(sim.arrivals, uint64_t, i),
			stream->prompt_tokens, stream->max_tokens);
		g_free(stream);
	}
	sim_clear(&sim);
}

void sim_result_clear(struct sim_result *result)
{
	g_array_free(result->first_tokens, TRUE);
	g_array_free(result->gaps, TRUE);
}

uint64_t sim_quantile(const GArray *sorted, double q)
{
	if (!sorted->len)
		return 0;
	return g_array_index(sorted, uint64_t,
			     (guint)(q * (double)(sorted->len - 1)));
}
