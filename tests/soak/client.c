/*
 * The clients of online requests and jobs, and the checks of their answers
 * against the runs that the servers counted.
 */
#include <string.h>

#include <json-c/json.h>

#include "net/http_link.h"
#include "soak.h"

#define ONLINE_CLIENTS 12
#define JOB_CLIENTS 3
#define JOB_ITEMS_MAX 8
/* Number of times that a client submits a job before it gives up. */
#define JOB_ATTEMPTS 8
#define CALL_TIMEOUT_MS 7000
#define PAUSE_MS 120
/* Each request picks a new gateway with a chance of one in this number. */
#define GATEWAY_CHANGE_ONE_IN 10
#define POLL_MS 250
/* Time within which every node knows a job that another accepted, in ms. */
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
	struct soak_connection *connection = call->options.connection;

	call->soak->open_calls--;
	if (connection && http_link_reusable(call->link))
		connection->link = call->link;
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
		soak_violation(call->soak,
			       "%s got an answer that is not valid HTTP",
			       call->id);
	call_end(call, end == HTTP_LINK_COMPLETE);
}

static void on_timeout(uv_timer_t *timer)
{
	call_end(timer->data, false);
}

/* Called when the gateway closes an idle connection or its process ends. */
static void on_connection_lost(void *ctx, struct http_link *link)
{
	struct soak_connection *connection = ctx;

	if (connection && connection->link == link)
		connection->link = NULL;
	http_link_close(link);
}

/*
 * Returns the open connection if it leads to the address, or else a new
 * connection.
 */
static struct http_link *get_link(struct soak *soak,
				  const struct soak_call *options)
{
	struct soak_connection *connection = options->connection;
	struct http_link *link = connection ? connection->link : NULL;
	struct http_link_options link_options = {
		.loop = &soak->loop,
		.address = options->address,
		.connect_timeout_ms = 1000,
		.on_idle_close = on_connection_lost,
		.ctx = connection,
	};

	if (connection)
		connection->link = NULL;
	if (link && !strcmp(connection->address, options->address))
		return link;
	if (link)
		http_link_close(link);
	if (connection) {
		g_free(connection->address);
		connection->address = g_strdup(options->address);
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
	call->link = get_link(soak, options);
	http_link_send(call->link, request, &handlers, call);
}

static bool is_refusal(int status)
{
	return status == 429 || status == 503 || status == 408 || status == 421;
}

/* Online clients: send requests one at a time, each with a unique id. */

struct client {
	struct soak *soak;
	uv_timer_t timer;
	unsigned nr;
	unsigned sent;
	char *id;
	const char *path;
	/* Keep-alive connection to the current gateway. */
	struct soak_connection connection;
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
		soak_violation(
			client->soak,
			"%s on %s: the complete stream has unexpected text",
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
			soak_violation(soak,
				       "%s: the answer has an unexpected body",
				       client->id);
	} else if (is_refusal(status)) {
		soak->refused++;
		g_hash_table_insert(soak->reported, g_strdup(client->id),
				    GINT_TO_POINTER(SOAK_REPORTED_NOT_RUN));
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
		.connection = &client->connection,
		.method = "POST",
		.timeout_ms = CALL_TIMEOUT_MS,
		.done = on_online_done,
		.ctx = client,
	};

	if (client->soak->ending)
		return;
	/*
	 * The client keeps its gateway while the connection is open, but one in
	 * GATEWAY_CHANGE_ONE_IN requests picks a gateway at random.
	 */
	if (!client->connection.link ||
	    soak_random(client->soak, GATEWAY_CHANGE_ONE_IN) == 0)
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

/* Job clients: submit a job until it is accepted, then poll its results. */

struct job {
	struct soak *soak;
	uv_timer_t timer;
	char *id;
	GString *text;
	unsigned items;
	unsigned attempts;
	bool accepted;
	uint64_t accepted_ms;
	/* All submissions of the job were refused, so no item may run. */
	bool only_refused;
	bool abandoned;
	/* Ids of the items with results, by position. */
	GPtrArray *result_ids;
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
		soak_violation(job->soak, "%s has an unexpected output", item);
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
	if (position < job->result_ids->len) {
		if (strcmp(g_ptr_array_index(job->result_ids, position),
			   item) != 0)
			soak_violation(job->soak,
				       "%s: the item at position %zu changed",
				       job->id, position);
		return;
	}
	for (i = 0; i < job->result_ids->len; i++) {
		if (!strcmp(g_ptr_array_index(job->result_ids, i), item))
			soak_violation(job->soak, "%s is listed twice", item);
	}
	if (strcmp(json_object_get_string(state), "completed") != 0)
		soak_violation(job->soak, "%s did not complete", item);
	else
		check_output(job, item, json_object_get_string(output));
	g_ptr_array_add(job->result_ids, g_strdup(item));
}

static void on_page(void *ctx, int status, bool whole, const GString *body)
{
	struct job *job = ctx;
	struct json_object *root, *results;
	size_t i;

	if (whole && status == 404 &&
	    uv_now(&job->soak->loop) > job->accepted_ms + SETTLE_MS)
		soak_violation(job->soak,
			       "%s: a node answered 404 for the accepted job",
			       job->id);
	root = whole && status == 200 ? json_tokener_parse(body->str) : NULL;
	if (root && json_object_object_get_ex(root, "Results", &results)) {
		for (i = 0; i < json_object_array_length(results); i++)
			check_result(job, i,
				     json_object_array_get_idx(results, i));
	}
	if (root)
		json_object_put(root);
	if (job->result_ids->len < job->items)
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
		job->abandoned = true;
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
	job->result_ids = g_ptr_array_new_with_free_func(g_free);
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

		if (!job->abandoned &&
		    (!job->accepted || job->result_ids->len < job->items))
			return false;
	}
	return soak->open_calls == 0;
}

static void on_client_closed(uv_handle_t *handle)
{
	struct client *client = handle->data;

	if (client->connection.link)
		http_link_close(client->connection.link);
	g_free(client->connection.address);
	g_free(client->id);
	g_free(client);
}

static void on_job_closed(uv_handle_t *handle)
{
	struct job *job = handle->data;

	g_ptr_array_free(job->result_ids, TRUE);
	g_string_free(job->text, TRUE);
	g_free(job->id);
	g_free(job);
}

static bool no_open_calls(void *ctx)
{
	return ((struct soak *)ctx)->open_calls == 0;
}

void soak_clients_free(struct soak *soak)
{
	guint i;

	soak_wait(soak, no_open_calls, soak, CALL_TIMEOUT_MS);
	for (i = 0; i < soak->clients->len; i++) {
		struct client *client = g_ptr_array_index(soak->clients, i);

		uv_close((uv_handle_t *)&client->timer, on_client_closed);
	}
	for (i = 0; i < soak->jobs->len; i++) {
		struct job *job = g_ptr_array_index(soak->jobs, i);

		uv_close((uv_handle_t *)&job->timer, on_job_closed);
	}
}

/* Final check: compares run counts with the answers that callers got. */

struct run_counts {
	GHashTable *runs;
	unsigned left;
};

static void on_runs(void *ctx, int status, bool whole, const GString *body)
{
	struct run_counts *run_counts = ctx;
	struct json_object *root =
		whole && status == 200 ? json_tokener_parse(body->str) : NULL;

	run_counts->left--;
	if (!root)
		return;
	json_object_object_foreach(root, id, nr)
	{
		guint before = GPOINTER_TO_UINT(
			g_hash_table_lookup(run_counts->runs, id));
		guint runs = (guint)json_object_get_int(nr);

		g_hash_table_insert(run_counts->runs, g_strdup(id),
				    GUINT_TO_POINTER(before + runs));
	}
	json_object_put(root);
}

static bool all_counts_read(void *ctx)
{
	return ((struct run_counts *)ctx)->left == 0;
}

static void check_job_runs(struct soak *soak, struct run_counts *run_counts,
			   struct job *job)
{
	unsigned i;

	if (job->accepted && job->result_ids->len < job->items)
		soak_violation(soak, "%s: only %u of %u items have results",
			       job->id, job->result_ids->len, job->items);
	for (i = 0; job->only_refused && i < job->items; i++) {
		char *item = g_strdup_printf("%s-%u", job->id, i);

		if (g_hash_table_contains(run_counts->runs, item))
			soak_violation(soak, "%s ran although %s was refused",
				       item, job->id);
		g_free(item);
	}
}

void soak_check_end(struct soak *soak)
{
	struct run_counts run_counts = { .left = SOAK_SERVERS };
	GHashTableIter iter;
	gpointer id, runs;
	guint i;

	run_counts.runs =
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
			.ctx = &run_counts,
		};

		soak_call_start(soak, &call);
	}
	if (!soak_wait(soak, all_counts_read, &run_counts, CALL_TIMEOUT_MS))
		soak_violation(soak, "a server did not return its run counts");
	g_hash_table_iter_init(&iter, run_counts.runs);
	while (g_hash_table_iter_next(&iter, &id, &runs)) {
		if (*(char *)id == 'o' && GPOINTER_TO_UINT(runs) > 1)
			soak_violation(soak, "%s ran %u times", (char *)id,
				       GPOINTER_TO_UINT(runs));
		if (GPOINTER_TO_INT(g_hash_table_lookup(soak->reported, id)) ==
		    SOAK_REPORTED_NOT_RUN)
			soak_violation(soak, "%s ran although it was refused",
				       (char *)id);
	}
	for (i = 0; i < soak->jobs->len; i++)
		check_job_runs(soak, &run_counts,
			       g_ptr_array_index(soak->jobs, i));
	g_hash_table_destroy(run_counts.runs);
}
