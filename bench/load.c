/*
 * Open-loop load generator: requests arrive by a Poisson process or a trace,
 * whether or not earlier ones have ended, so that a slow system can't hide its
 * delay (coordinated omission). With --closed, a fixed number of requests is
 * kept running instead.
 *
 * A trace has a line "AT_US WORDS TOKENS" per request, sorted by time.
 */
#include <math.h>
#include <stdio.h>
#include <string.h>

#include <glib.h>
#include <json-c/json.h>

#include "common/list.h"
#include "standalone/http_client.h"

#define US_PER_S 1000000ULL
/* Time from the deadline of a request until it is given up, in ms. */
#define ANSWER_GRACE_MS 2000
/* Maximum gap between tokens that a reader does not notice, in us. */
#define GAP_TARGET_US 32000

static char **addresses;
static char *service = "claim-desk";
static char *path = "v1/completions";
static char *key = "";
static char *label = "";
static char *end_mark = "data: [DONE]";
static gboolean non_idempotent;
static gboolean direct;
static double rate = 10;
static double burst_rate;
static double burst_every_s;
static double burst_length_s;
static double duration_s = 10;
static int max_tokens = 32;
static int max_tokens_upper;
static int prompt_words = 40;
static int prompt_words_upper;
static int closed_nr;
static char *trace_file;
static int prefixes = 20;
static int seed = 1;
static int timeout_ms = 10000;

static const GOptionEntry options[] = {
	{ "address", 'a', 0, G_OPTION_ARG_STRING_ARRAY, &addresses,
	  "Entry to send to; may be given several times", "IP:PORT" },
	{ "service", 's', 0, G_OPTION_ARG_STRING, &service, "Service", "NAME" },
	{ "path", 'p', 0, G_OPTION_ARG_STRING, &path, "Path", "PATH" },
	{ "key", 'k', 0, G_OPTION_ARG_STRING, &key, "Bearer key", "KEY" },
	{ "label", 'l', 0, G_OPTION_ARG_STRING, &label,
	  "Label of the printed line", "TEXT" },
	{ "mark", 0, 0, G_OPTION_ARG_STRING, &end_mark,
	  "Text that a complete answer contains", "TEXT" },
	{ "direct", 0, 0, G_OPTION_ARG_NONE, &direct,
	  "Send directly to a backend server, without the path prefix of a service",
	  NULL },
	{ "rate", 'r', 0, G_OPTION_ARG_DOUBLE, &rate, "Requests per second",
	  "N" },
	{ "burst-rate", 0, 0, G_OPTION_ARG_DOUBLE, &burst_rate,
	  "Requests per second within a burst", "N" },
	{ "burst-every", 0, 0, G_OPTION_ARG_DOUBLE, &burst_every_s,
	  "Seconds between the starts of bursts", "S" },
	{ "burst-length", 0, 0, G_OPTION_ARG_DOUBLE, &burst_length_s,
	  "Duration of a burst, seconds", "S" },
	{ "duration", 'd', 0, G_OPTION_ARG_DOUBLE, &duration_s,
	  "Seconds of load", "S" },
	{ "tokens", 't', 0, G_OPTION_ARG_INT, &max_tokens,
	  "Tokens of each answer", "N" },
	{ "words", 'w', 0, G_OPTION_ARG_INT, &prompt_words,
	  "Words of each prompt", "N" },
	{ "tokens-most", 0, 0, G_OPTION_ARG_INT, &max_tokens_upper,
	  "Choose the tokens of each answer at random from -t to N", "N" },
	{ "words-most", 0, 0, G_OPTION_ARG_INT, &prompt_words_upper,
	  "Choose the words of each prompt at random from -w to N", "N" },
	{ "closed", 0, 0, G_OPTION_ARG_INT, &closed_nr,
	  "Keep N requests running, regardless of the rate", "N" },
	{ "trace", 0, 0, G_OPTION_ARG_FILENAME, &trace_file,
	  "Send the requests of a trace", "FILE" },
	{ "prefixes", 0, 0, G_OPTION_ARG_INT, &prefixes,
	  "Number of shared prompt prefixes", "N" },
	{ "non-idempotent", 0, 0, G_OPTION_ARG_NONE, &non_idempotent,
	  "Mark requests as non-idempotent", NULL },
	{ "timeout", 0, 0, G_OPTION_ARG_INT, &timeout_ms,
	  "Deadline of each request, ms", "MS" },
	{ "seed", 0, 0, G_OPTION_ARG_INT, &seed, "Seed of the arrivals", "N" },
	{ 0 },
};

struct arrival {
	uint64_t at_us;
	int words;
	int tokens;
};

struct load {
	uv_loop_t loop;
	struct http_client *http;
	GRand *random;
	uv_timer_t arrival;
	uint64_t start_us;
	uint64_t next_us;
	uint64_t end_us;
	/* Arrivals read from the trace, as struct arrival; NULL without one. */
	GArray *trace;
	guint next_arrival;
	unsigned running;
	unsigned sent;
	unsigned whole;
	unsigned not_run;
	unsigned unknown;
	unsigned broken;
	unsigned unsent;
	uint64_t tokens;
	/* Times measured, in us; all are kept for exact quantiles. */
	GArray *first_byte;
	GArray *gap;
	GArray *total;
};

struct request {
	struct load *load;
	uint64_t start_us;
	uint64_t last_us;
	int status;
	bool not_run;
	GString *body;
};

static uint64_t now_us(void)
{
	return uv_hrtime() / 1000;
}

static void record(GArray *times, uint64_t us)
{
	uint32_t value = (uint32_t)MIN(us, UINT32_MAX);

	g_array_append_val(times, value);
}

static void on_head(void *ctx, int status, const struct http_field *fields,
		    size_t nr)
{
	struct request *request = ctx;
	size_t i;

	request->status = status;
	for (i = 0; i < nr; i++) {
		if (!strcmp(fields[i].name, "briarplank-outcome"))
			request->not_run = !strcmp(fields[i].value, "not_run");
	}
}

static unsigned count_tokens(const char *data, size_t len)
{
	const char *at = data;
	const char *end = data + len;
	unsigned nr = 0;

	while ((at = memmem(at, end - at, "data: ", 6)) != NULL) {
		nr++;
		at += 6;
	}
	return nr;
}

static void on_body(void *ctx, const char *data, size_t len)
{
	struct request *request = ctx;
	struct load *load = request->load;
	uint64_t now = now_us();

	if (request->status == 200 && !request->last_us)
		record(load->first_byte, now - request->start_us);
	else if (request->status == 200)
		record(load->gap, now - request->last_us);
	request->last_us = now;
	load->tokens += count_tokens(data, len);
	g_string_append_len(request->body, data, (gssize)len);
}

static void count_end(struct request *request, enum http_result end)
{
	struct load *load = request->load;
	bool done = strstr(request->body->str, end_mark) != NULL;

	if (end == HTTP_NOT_SENT)
		load->unsent++;
	else if (end == HTTP_COMPLETE && request->status == 200 && done)
		load->whole++;
	else if (end == HTTP_COMPLETE && request->not_run)
		load->not_run++;
	else if (request->status == 200)
		load->broken++;
	else
		load->unknown++;
}

/*
 * Stops the loop when the load has ended and no request is running. Checks
 * next_us as well, because an arrival that was due before the end may still be
 * unhandled.
 */
static void finish(struct load *load)
{
	if (!load->running && now_us() >= load->end_us &&
	    load->next_us >= load->end_us)
		uv_stop(&load->loop);
}

static void send_random(struct load *load);

static void on_end(void *ctx, enum http_result end)
{
	struct request *request = ctx;
	struct load *load = request->load;

	count_end(request, end);
	record(load->total, now_us() - request->start_us);
	load->running--;
	g_string_free(request->body, TRUE);
	g_free(request);
	if (closed_nr && now_us() < load->end_us)
		send_random(load);
	finish(load);
}

/*
 * Returns the number of words that prompts share. Prompts of a trace share
 * none, as in the simulation of batch_share.
 */
static int shared_words(const struct arrival *arrival)
{
	return trace_file || prompt_words_upper ? 0 : arrival->words / 2;
}

static char *make_body(struct load *load, const struct arrival *arrival)
{
	GString *prompt = g_string_new(NULL);
	struct json_object *root = json_object_new_object();
	char *text;
	int i;

	g_string_printf(prompt, "prefix %d",
			g_rand_int_range(load->random, 0, MAX(prefixes, 1)));
	for (i = 0; i < arrival->words; i++) {
		int shared = i < shared_words(arrival);
		int word = shared ? i : g_rand_int_range(load->random, 0, 1000);

		g_string_append_printf(prompt, " %03d", word);
	}
	json_object_object_add(root, "prompt",
			       json_object_new_string(prompt->str));
	json_object_object_add(root, "max_tokens",
			       json_object_new_int(arrival->tokens));
	json_object_object_add(root, "stream", json_object_new_boolean(1));
	text = g_strdup(json_object_to_json_string(root));
	json_object_put(root);
	g_string_free(prompt, TRUE);
	return text;
}

static void send_request(struct load *load, const struct arrival *arrival)
{
	struct request *request = g_new0(struct request, 1);
	char *full =
		direct ? g_strdup_printf("/%s", path) :
			 g_strdup_printf("/v1/services/%s/%s", service, path);
	char *bearer = g_strdup_printf("Bearer %s", key);
	char *limit = g_strdup_printf("%dms", timeout_ms);
	char *body = make_body(load, arrival);
	struct http_field fields[] = {
		{ "authorization", bearer },
		{ "content-type", "application/json" },
		{ "briarplank-timeout", limit },
		{ "briarplank-idempotent", non_idempotent ? "false" : "true" },
	};
	struct http_call_options call = {
		.address = addresses[load->sent % g_strv_length(addresses)],
		.method = "POST",
		.path = full,
		.fields = fields,
		.fields_nr = G_N_ELEMENTS(fields),
		.body = body,
		.body_len = strlen(body),
		.connect_timeout_ms = timeout_ms,
		.first_byte_timeout_ms = timeout_ms + ANSWER_GRACE_MS,
		.idle_timeout_ms = timeout_ms + ANSWER_GRACE_MS,
		.on_head = on_head,
		.on_body = on_body,
		.on_end = on_end,
		.ctx = request,
	};

	request->load = load;
	request->start_us = now_us();
	request->body = g_string_new(NULL);
	load->sent++;
	load->running++;
	http_call_start(load->http, &call);
	g_free(full);
	g_free(bearer);
	g_free(limit);
	g_free(body);
}

static int random_between(struct load *load, int least, int most)
{
	return most > least ? g_rand_int_range(load->random, least, most + 1) :
			      least;
}

static void send_random(struct load *load)
{
	struct arrival arrival = {
		.words = random_between(load, prompt_words, prompt_words_upper),
		.tokens = random_between(load, max_tokens, max_tokens_upper),
	};

	send_request(load, &arrival);
}

static double current_rate(const struct load *load)
{
	double since_s = (double)(now_us() - load->start_us) / US_PER_S;

	if (burst_every_s <= 0 || fmod(since_s, burst_every_s) > burst_length_s)
		return rate;
	return burst_rate;
}

static void schedule(struct load *load);

static void send_by_rate(struct load *load, uint64_t now)
{
	while (load->next_us <= now && load->next_us < load->end_us) {
		double u = g_rand_double(load->random);

		send_random(load);
		load->next_us +=
			(uint64_t)(-log(1 - u) * US_PER_S / current_rate(load));
	}
}

static void send_by_trace(struct load *load, uint64_t now)
{
	const GArray *trace = load->trace;

	while (load->next_us <= now && load->next_us < load->end_us) {
		guint at = load->next_arrival++;

		send_request(load, &g_array_index(trace, struct arrival, at));
		load->next_us =
			load->next_arrival < trace->len ?
				load->start_us + g_array_index(trace,
							       struct arrival,
							       at + 1)
							 .at_us :
				load->end_us;
	}
}

static void on_arrival(uv_timer_t *timer)
{
	struct load *load = timer->data;

	if (load->trace)
		send_by_trace(load, now_us());
	else
		send_by_rate(load, now_us());
	schedule(load);
}

/* Starts closed_nr requests; when one ends, another is started. */
static void start_closed(struct load *load)
{
	int i;

	for (i = 0; i < closed_nr; i++)
		send_random(load);
	load->next_us = load->end_us;
}

static void start_trace(struct load *load)
{
	load->next_us =
		load->trace->len ?
			load->start_us +
				g_array_index(load->trace, struct arrival, 0)
					.at_us :
			load->end_us;
}

/* Reads the trace; returns NULL when none is set or it can't be opened. */
static GArray *read_trace(void)
{
	FILE *file = trace_file ? fopen(trace_file, "r") : NULL;
	struct arrival arrival;
	GArray *trace;

	if (!file)
		return NULL;
	trace = g_array_new(FALSE, FALSE, sizeof(arrival));
	while (fscanf(file, "%" G_GUINT64_FORMAT " %d %d", &arrival.at_us,
		      &arrival.words, &arrival.tokens) == 3)
		g_array_append_val(trace, arrival);
	fclose(file);
	return trace;
}

/*
 * Sets the timer again if it fired early, which can happen because the loop's
 * cached time lags behind.
 */
static void on_end_of_load(uv_timer_t *timer)
{
	struct load *load = timer->data;

	if (now_us() < load->end_us)
		schedule(load);
	else
		finish(load);
}

static void schedule(struct load *load)
{
	uint64_t now = now_us();
	uint64_t at = MIN(load->next_us, load->end_us);
	uint64_t wait_ms = at > now ? (at - now) / 1000 + 1 : 0;

	uv_timer_start(&load->arrival,
		       load->next_us < load->end_us ? on_arrival :
						      on_end_of_load,
		       wait_ms, 0);
}

static gint compare_times(gconstpointer a, gconstpointer b)
{
	uint32_t x = *(const uint32_t *)a;
	uint32_t y = *(const uint32_t *)b;

	return (x > y) - (x < y);
}

static double quantile_ms(const GArray *times, double q)
{
	if (!times->len)
		return 0;
	return g_array_index(times, uint32_t, (guint)(q * (times->len - 1))) /
	       1000.0;
}

static double share_within(const GArray *times, uint32_t limit_us)
{
	guint within = 0, i;

	for (i = 0; i < times->len; i++)
		within += g_array_index(times, uint32_t, i) <= limit_us;
	return times->len ? (double)within / times->len : 1;
}

static void print_quantiles(const char *name, GArray *times)
{
	g_array_sort(times, compare_times);
	printf(" %s_p50_ms=%.3f %s_p95_ms=%.3f %s_p99_ms=%.3f", name,
	       quantile_ms(times, 0.50), name, quantile_ms(times, 0.95), name,
	       quantile_ms(times, 0.99));
}

static void print_result(struct load *load)
{
	double took_s = (double)(now_us() - load->start_us) / US_PER_S;

	printf("%s sent=%u whole=%u not_run=%u unknown=%u broken=%u unsent=%u",
	       label, load->sent, load->whole, load->not_run, load->unknown,
	       load->broken, load->unsent);
	print_quantiles("first", load->first_byte);
	print_quantiles("gap", load->gap);
	print_quantiles("total", load->total);
	printf(" within_32ms=%.4f", share_within(load->gap, GAP_TARGET_US));
	printf(" tokens=%" G_GUINT64_FORMAT " tokens_per_s=%.0f\n",
	       load->tokens, (double)load->tokens / took_s);
}

static void run(struct load *load)
{
	uv_loop_init(&load->loop);
	load->http = http_client_create(&load->loop);
	load->random = g_rand_new_with_seed(seed);
	load->first_byte = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	load->gap = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	load->total = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	load->start_us = now_us();
	load->next_us = load->start_us;
	load->end_us = load->start_us + (uint64_t)(duration_s * US_PER_S);
	uv_timer_init(&load->loop, &load->arrival);
	load->arrival.data = load;
	if (load->trace)
		start_trace(load);
	else if (closed_nr)
		start_closed(load);
	schedule(load);
	uv_run(&load->loop, UV_RUN_DEFAULT);
	print_result(load);
	uv_close((uv_handle_t *)&load->arrival, NULL);
	http_client_destroy(load->http);
	g_array_free(load->first_byte, TRUE);
	g_array_free(load->gap, TRUE);
	g_array_free(load->total, TRUE);
	g_rand_free(load->random);
}

int main(int argc, char **argv)
{
	GOptionContext *context = g_option_context_new(NULL);
	GError *error = NULL;
	struct load load = { 0 };

	g_option_context_add_main_entries(context, options, NULL);
	if (!g_option_context_parse(context, &argc, &argv, &error)) {
		fprintf(stderr, "load: %s\n", error->message);
		return 2;
	}
	g_option_context_free(context);
	if (!addresses || rate <= 0) {
		fprintf(stderr, "load: --address and --rate > 0 needed\n");
		return 2;
	}
	load.trace = read_trace();
	if (trace_file && !load.trace) {
		fprintf(stderr, "load: can't open trace %s\n", trace_file);
		return 2;
	}
	run(&load);
	if (load.trace)
		g_array_free(load.trace, TRUE);
	return 0;
}
