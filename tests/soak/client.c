#include <string.h>

#include <json-c/json.h>

#include "net/http_link.h"
#include "soak.h"

#define ONLINE_CLIENTS 12
#define JOB_CLIENTS 3
#define JOB_ITEMS_MAX 8
/* Attempts of a job before its client gives it up. */
#define JOB_ATTEMPTS 8
#define CALL_TIMEOUT_MS 7000
#define PAUSE_MS 120
/* One request in so many goes to another gateway all the same. */
#define CHANGE 10
#define POLL_MS 250
/* Time in which each node knows what another accepted, in ms. */
#define SETTLE_MS 1000

struct call {
	struct soak *soak;
	struct soak_call options;
	char *id;
	struct http_link *link;
	uv_timer_t timer;
	int status;
	GString *body;
};

static void on_call_closed(uv_handle_t *handle)
{
	struct call *call = handle->data;

	g_string_free(call->body, TRUE);
	g_free(call->id);
	g_free(call);
}

static void call_end(struct call *call, bool whole)
{
	struct soak_kept *kept = call->options.kept;

	call->soak->open_calls--;
	if (kept && http_link_reusable(call->link))
		kept->link = call->link;
	else
		http_link_close(call->link);
	uv_timer_stop(&call->timer);
	call->options.done(call->options.ctx, call->status, whole, call->body);
	uv_close((uv_handle_t *)&call->timer, on_call_closed);
}

static bool on_head(void *ctx, const struct http_link_head *head)
{
	struct call *call = ctx;
	const char *echo = http_link_head_field(head, "x-attempt-id");

	call->status = head->status;
	if (head->status == 200 && echo && strcmp(echo, call->id) != 0)
		soak_violation(call->soak, "%s got the answer to %s", call->id,
			       echo);
	return true;
}

static void on_body(void *ctx, const char *data, size_t len)
{
	struct call *call = ctx;

	g_string_append_len(call->body, data, (gssize)len);
}

static void on_end(void *ctx, enum http_link_end end)
{
	struct call *call = ctx;

	if (end == HTTP_LINK_MALFORMED)
		soak_violation(call->soak, "%s got what is no HTTP", call->id);
	call_end(call, end == HTTP_LINK_COMPLETE);
}

static void on_timeout(uv_timer_t *timer)
{
	call_end(timer->data, false);
}

/* The gateway, or its process, ended a connection that lay idle. */
static void on_kept_lost(void *ctx, struct http_link *link)
{
	struct soak_kept *kept = ctx;

	if (kept && kept->link == link)
		kept->link = NULL;
	http_link_close(link);
}

/* Takes the kept connection if it leads to the address, else a new one. */
static struct http_link *open_link(struct soak *soak,
				   const struct soak_call *options)
{
	struct soak_kept *kept = options->kept;
	struct http_link *link = kept ? kept->link : NULL;
	struct http_link_options link_options = {
		.loop = &soak->loop,
		.address = options->address,
		.connect_timeout_ms = 1000,
		.on_idle_close = on_kept_lost,
		.ctx = kept,
	};

	if (kept)
		kept->link = NULL;
	if (link && !strcmp(kept->address, options->address))
		return link;
	if (link)
		http_link_close(link);
	if (kept) {
		g_free(kept->address);
		kept->address = g_strdup(options->address);
	}
	return http_link_open(&link_options);
}

static const struct http_link_handlers handlers = {
	.on_head = on_head,
	.on_body = on_body,
	.on_end = on_end,
};

void soak_call_start(struct soak *soak, const struct soak_call *options)
{
	struct call *call = g_new0(struct call, 1);
	GString *request = g_string_new(NULL);

	call->soak = soak;
	call->options = *options;
	call->id = g_strdup(options->id);
	call->body = g_string_new(NULL);
	g_string_append_printf(request,
			       "%s %s HTTP/1.1\r\nHost: %s\r\n"
			       "X-Attempt-Id: %s\r\nX-Deadline-Ms: %u\r\n"
			       "Content-Length: %zu\r\n\r\n",
			       options->method, options->path, SOAK_HOST,
			       options->id, options->timeout_ms,
			       options->body_len);
	g_string_append_len(request, options->body, (gssize)options->body_len);
	soak->open_calls++;
	uv_timer_init(&soak->loop, &call->timer);
	call->timer.data = call;
	uv_timer_start(&call->timer, on_timeout, options->timeout_ms, 0);
	call->link = open_link(soak, options);
	http_link_send(call->link, request, &handlers, call);
}

static bool is_refusal(int status)
{
	return status == 429 || status == 503 || status == 408 || status == 421;
}

/* Online clients: one request after the other, each with an id of its own. */

struct client {
	struct soak *soak;
	uv_timer_t timer;
	unsigned nr;
	unsigned sent;
	char *id;
	const char *path;
	/* Its connection, kept open to the gateway that it is at. */
	struct soak_kept kept;
	unsigned gateway;
};

static const char *random_gateway(struct soak *soak)
{
	return soak->gateways[soak_random(soak, SOAK_GATEWAYS)].address;
}

static void check_stream(struct client *client, const GString *body)
{
	GString *expected = g_string_new(NULL);
	int i;

	for (i = 1; i <= SOAK_EVENTS; i++)
		g_string_append_printf(expected, "id: %d\ndata: %s-%d\n\n", i,
				       client->id, i);
	if (!g_string_equal(expected, body))
		soak_violation(client->soak,
			       "%s on %s ended whole with another text",
			       client->id, client->path);
	g_string_free(expected, TRUE);
}

static void client_next(uv_timer_t *timer);

static void on_online_done(void *ctx, int status, bool whole,
			   const GString *body)
{
	struct client *client = ctx;
	struct soak *soak = client->soak;

	soak->requests++;
	if (whole && status == 200) {
		soak->served++;
		if (strcmp(client->path, "/plain/x") != 0)
			check_stream(client, body);
		else if (strcmp(body->str, client->id) != 0)
			soak_violation(soak, "%s got another body", client->id);
	} else if (is_refusal(status)) {
		soak->refused++;
		g_hash_table_insert(soak->told, g_strdup(client->id),
				    GINT_TO_POINTER(SOAK_TOLD_NOT_RUN));
	} else {
		soak->broken++;
	}
	if (whole && (status == 404 || status == 400))
		soak_violation(soak, "%s was answered %d", client->id, status);
	uv_timer_start(&client->timer, client_next,
		       1 + soak_random(soak, PAUSE_MS), 0);
}

static void client_next(uv_timer_t *timer)
{
	static const char *const paths[] = { "/stream/x", "/once/x",
					     "/plain/x" };
	struct client *client = timer->data;
	struct soak_call call = {
		.kept = &client->kept,
		.method = "POST",
		.timeout_ms = CALL_TIMEOUT_MS,
		.done = on_online_done,
		.ctx = client,
	};

	if (client->soak->ending)
		return;
	/* It stays while its connection is open, and then goes elsewhere. */
	if (!client->kept.link || soak_random(client->soak, CHANGE) == 0)
		client->gateway = soak_random(client->soak, SOAK_GATEWAYS);
	call.address = client->soak->gateways[client->gateway].address;
	g_free(client->id);
	client->path = paths[soak_random(client->soak, G_N_ELEMENTS(paths))];
	client->id = g_strdup_printf("%c%u-%u", client->path[1], client->nr,
				     client->sent++);
	call.id = client->id;
	call.path = client->path;
	call.body = client->id;
	call.body_len = strlen(client->id);
	soak_call_start(client->soak, &call);
}

/* Job clients: a job is sent until it is accepted, and then read. */

struct job {
	struct soak *soak;
	uv_timer_t timer;
	char *id;
	GString *text;
	unsigned items;
	unsigned attempts;
	bool accepted;
	uint64_t accepted_ms;
	/* All attempts were refused: nothing of it may run. */
	bool only_refused;
	bool given_up;
	/* Items in the order of their positions, as read. */
	GPtrArray *listed;
};

static void job_submit(uv_timer_t *timer);
static void job_read(uv_timer_t *timer);
static void next_job(struct soak *soak);

static void check_output(struct job *job, const char *item, const char *output)
{
	GString *expected = g_string_new(NULL);
	int i;

	for (i = 1; i <= SOAK_EVENTS; i++)
		g_string_append_printf(expected, "%s%s-%d", i > 1 ? "\n" : "",
				       item, i);
	if (strcmp(expected->str, output) != 0)
		soak_violation(job->soak, "%s has another output", item);
	g_string_free(expected, TRUE);
}

static void check_result(struct job *job, size_t position,
			 struct json_object *result)
{
	struct json_object *id, *state, *output;
	const char *item;
	size_t i;

	if (!json_object_object_get_ex(result, "Id", &id) ||
	    !json_object_object_get_ex(result, "State", &state) ||
	    !json_object_object_get_ex(result, "Output", &output))
		return;
	item = json_object_get_string(id);
	if (position < job->listed->len) {
		if (strcmp(g_ptr_array_index(job->listed, position), item) != 0)
			soak_violation(job->soak,
				       "%s: position %zu held another item",
				       job->id, position);
		return;
	}
	for (i = 0; i < job->listed->len; i++) {
		if (!strcmp(g_ptr_array_index(job->listed, i), item))
			soak_violation(job->soak, "%s is listed twice", item);
	}
	if (strcmp(json_object_get_string(state), "completed") != 0)
		soak_violation(job->soak, "%s was given up", item);
	else
		check_output(job, item, json_object_get_string(output));
	g_ptr_array_add(job->listed, g_strdup(item));
}

static void on_page(void *ctx, int status, bool whole, const GString *body)
{
	struct job *job = ctx;
	struct json_object *root, *results;
	size_t i;

	if (whole && status == 404 &&
	    uv_now(&job->soak->loop) > job->accepted_ms + SETTLE_MS)
		soak_violation(job->soak, "%s is unknown at a node", job->id);
	root = whole && status == 200 ? json_tokener_parse(body->str) : NULL;
	if (root && json_object_object_get_ex(root, "Results", &results)) {
		for (i = 0; i < json_object_array_length(results); i++)
			check_result(job, i,
				     json_object_array_get_idx(results, i));
	}
	if (root)
		json_object_put(root);
	if (job->listed->len < job->items)
		uv_timer_start(&job->timer, job_read, POLL_MS, 0);
	else
		next_job(job->soak);
}

static void job_read(uv_timer_t *timer)
{
	struct job *job = timer->data;
	char *path = g_strdup_printf("/lots/%s?After=0", job->id);
	struct soak_call call = {
		.address = random_gateway(job->soak),
		.method = "GET",
		.path = path,
		.id = "read",
		.body = "",
		.timeout_ms = CALL_TIMEOUT_MS,
		.done = on_page,
		.ctx = job,
	};

	soak_call_start(job->soak, &call);
	g_free(path);
}

static void on_submitted(void *ctx, int status, bool whole, const GString *body)
{
	struct job *job = ctx;

	(void)body;
	if (!(whole && is_refusal(status)))
		job->only_refused = false;
	if (whole && status == 202) {
		job->accepted = true;
		job->accepted_ms = uv_now(&job->soak->loop);
		uv_timer_start(&job->timer, job_read, POLL_MS, 0);
	} else if (++job->attempts < JOB_ATTEMPTS) {
		uv_timer_start(&job->timer, job_submit,
			       POLL_MS + soak_random(job->soak, POLL_MS), 0);
	} else {
		job->given_up = true;
		next_job(job->soak);
	}
}

static void job_submit(uv_timer_t *timer)
{
	struct job *job = timer->data;
	struct soak_call call = {
		.address = random_gateway(job->soak),
		.method = "POST",
		.path = "/batch/jobs",
		.id = job->id,
		.body = job->text->str,
		.body_len = job->text->len,
		.timeout_ms = 4000,
		.done = on_submitted,
		.ctx = job,
	};

	soak_call_start(job->soak, &call);
}

static void next_job(struct soak *soak)
{
	struct job *job;
	unsigned i;

	if (soak->ending)
		return;
	job = g_new0(struct job, 1);
	job->soak = soak;
	job->id = g_strdup_printf("job%u", soak->jobs->len);
	job->items = 1 + soak_random(soak, JOB_ITEMS_MAX);
	job->only_refused = true;
	job->listed = g_ptr_array_new_with_free_func(g_free);
	job->text = g_string_new("{\"Items\":[");
	for (i = 0; i < job->items; i++)
		g_string_append_printf(
			job->text,
			"%s{\"Id\":\"%s-%u\",\"Path\":\"/batch/%u\","
			"\"Body\":\"d29yaw==\",\"Tokens\":10}",
			i ? "," : "", job->id, i, i);
	g_string_append(job->text, "]}");
	g_ptr_array_add(soak->jobs, job);
	uv_timer_init(&soak->loop, &job->timer);
	job->timer.data = job;
	uv_timer_start(&job->timer, job_submit, 1 + soak_random(soak, POLL_MS),
		       0);
}

void soak_clients_start(struct soak *soak)
{
	unsigned i;

	for (i = 0; i < ONLINE_CLIENTS; i++) {
		struct client *client = g_new0(struct client, 1);

		g_ptr_array_add(soak->clients, client);
		client->soak = soak;
		client->nr = i;
		uv_timer_init(&soak->loop, &client->timer);
		client->timer.data = client;
		uv_timer_start(&client->timer, client_next,
			       soak_random(soak, PAUSE_MS), 0);
	}
	for (i = 0; i < JOB_CLIENTS; i++)
		next_job(soak);
}

bool soak_jobs_done(void *ctx)
{
	struct soak *soak = ctx;
	guint i;

	for (i = 0; i < soak->jobs->len; i++) {
		struct job *job = g_ptr_array_index(soak->jobs, i);

		if (!job->given_up &&
		    (!job->accepted || job->listed->len < job->items))
			return false;
	}
	return soak->open_calls == 0;
}

static void on_client_closed(uv_handle_t *handle)
{
	struct client *client = handle->data;

	if (client->kept.link)
		http_link_close(client->kept.link);
	g_free(client->kept.address);
	g_free(client->id);
	g_free(client);
}

static void on_job_closed(uv_handle_t *handle)
{
	struct job *job = handle->data;

	g_ptr_array_free(job->listed, TRUE);
	g_string_free(job->text, TRUE);
	g_free(job->id);
	g_free(job);
}

static bool no_calls(void *ctx)
{
	return ((struct soak *)ctx)->open_calls == 0;
}

void soak_clients_free(struct soak *soak)
{
	guint i;

	soak_wait(soak, no_calls, soak, CALL_TIMEOUT_MS);
	for (i = 0; i < soak->clients->len; i++) {
		struct client *client = g_ptr_array_index(soak->clients, i);

		uv_close((uv_handle_t *)&client->timer, on_client_closed);
	}
	for (i = 0; i < soak->jobs->len; i++) {
		struct job *job = g_ptr_array_index(soak->jobs, i);

		uv_close((uv_handle_t *)&job->timer, on_job_closed);
	}
}

/* The end: what ran, against what was said. */

struct tally {
	GHashTable *runs;
	unsigned left;
};

static void on_runs(void *ctx, int status, bool whole, const GString *body)
{
	struct tally *tally = ctx;
	struct json_object *root =
		whole && status == 200 ? json_tokener_parse(body->str) : NULL;

	tally->left--;
	if (!root)
		return;
	json_object_object_foreach(root, id, nr)
	{
		guint before =
			GPOINTER_TO_UINT(g_hash_table_lookup(tally->runs, id));
		guint runs = (guint)json_object_get_int(nr);

		g_hash_table_insert(tally->runs, g_strdup(id),
				    GUINT_TO_POINTER(before + runs));
	}
	json_object_put(root);
}

static bool all_tallied(void *ctx)
{
	return ((struct tally *)ctx)->left == 0;
}

static void check_job_end(struct soak *soak, struct tally *tally,
			  struct job *job)
{
	unsigned i;

	if (job->accepted && job->listed->len < job->items)
		soak_violation(soak, "%s: %u of %u items are listed", job->id,
			       job->listed->len, job->items);
	for (i = 0; job->only_refused && i < job->items; i++) {
		char *item = g_strdup_printf("%s-%u", job->id, i);

		if (g_hash_table_contains(tally->runs, item))
			soak_violation(soak, "%s ran, though %s was refused",
				       item, job->id);
		g_free(item);
	}
}

void soak_check_end(struct soak *soak)
{
	struct tally tally = { .left = SOAK_SERVERS };
	GHashTableIter iter;
	gpointer id, runs;
	guint i;

	tally.runs =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	for (i = 0; i < SOAK_SERVERS; i++) {
		struct soak_call call = {
			.address = soak->servers[i].address,
			.method = "GET",
			.path = "/runs",
			.id = "runs",
			.body = "",
			.timeout_ms = CALL_TIMEOUT_MS,
			.done = on_runs,
			.ctx = &tally,
		};

		soak_call_start(soak, &call);
	}
	if (!soak_wait(soak, all_tallied, &tally, CALL_TIMEOUT_MS))
		soak_violation(soak, "a server does not tell its runs");
	g_hash_table_iter_init(&iter, tally.runs);
	while (g_hash_table_iter_next(&iter, &id, &runs)) {
		if (*(char *)id == 'o' && GPOINTER_TO_UINT(runs) > 1)
			soak_violation(soak, "%s ran %u times", (char *)id,
				       GPOINTER_TO_UINT(runs));
		if (GPOINTER_TO_INT(g_hash_table_lookup(soak->told, id)) ==
		    SOAK_TOLD_NOT_RUN)
			soak_violation(soak, "%s ran, though it was refused",
				       (char *)id);
	}
	for (i = 0; i < soak->jobs->len; i++)
		check_job_end(soak, &tally, g_ptr_array_index(soak->jobs, i));
	g_hash_table_destroy(tally.runs);
}
