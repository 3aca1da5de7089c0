/*
 * Metrics of online requests, and the running and refused requests that
 * operators can list.
 */
#include <string.h>

#include "briarplankd/online.h"
#include "common/log.h"

#define PART "online"

static void add_to_counter(struct online_request *request, const char *name,
			   const char *key, const char *value)
{
	char *labels =
		g_strdup_printf("class=\"%s\",service=\"%s\",%s=\"%s\"",
				request->class, request->service, key, value);

	counter_add(metrics_counter(request->online->super.node->metrics, name,
				    labels),
		    1);
	g_free(labels);
}

static struct histogram *get_histogram(struct online_request *request,
				       const char *name)
{
	char *labels = g_strdup_printf("class=\"%s\",service=\"%s\"",
				       request->class, request->service);
	struct histogram *histogram = metrics_histogram(
		request->online->super.node->metrics, name, labels);

	g_free(labels);
	return histogram;
}

static void refusal_clear(struct online_refusal *refusal)
{
	g_free(refusal->id);
	g_free(refusal->caller);
	g_free(refusal->service);
	g_free(refusal->reason);
}

void online_view_add_refusal(struct online_request *request, int status,
			     const char *reason)
{
	struct online *online = request->online;
	struct online_refusal *refusal =
		&online->refusals[online->refusals_nr++ % ONLINE_MAX_REFUSALS];

	refusal_clear(refusal);
	*refusal = (struct online_refusal){
		.wall_ms = node_wall_ms(),
		.id = g_strdup(request->id),
		.caller = g_strdup(request->caller),
		.service = g_strdup(request->service),
		.reason = g_strdup(reason),
		.status = status,
		.statement = outcome_statement(&request->outcome),
	};
	add_to_counter(request, "briarplank_online_refusals_total", "reason",
		       reason);
	log_debug(PART, "%s: %d %s: %s", request->id, status,
		  outcome_statement_text(refusal->statement), reason);
}

void online_view_clear(struct online *online)
{
	size_t i;

	for (i = 0; i < ONLINE_MAX_REFUSALS; i++)
		refusal_clear(&online->refusals[i]);
}

void online_view_retried(struct online_request *request)
{
	bool may_have_run = request->outcome.may_have_run;

	add_to_counter(request, "briarplank_online_retries_total", "after",
		       may_have_run ? "lost" : "not_run");
}

void online_view_first_byte(struct online_request *request)
{
	struct histogram *first_byte =
		get_histogram(request, "briarplank_online_first_byte_seconds");

	request->last_chunk_us = node_now_us();
	histogram_record(first_byte,
			 request->last_chunk_us - request->arrived_us);
	request->token_gap =
		get_histogram(request, "briarplank_online_token_gap_seconds");
}

void online_view_chunk(struct online_request *request)
{
	uint64_t now = node_now_us();

	histogram_record(request->token_gap, now - request->last_chunk_us);
	request->last_chunk_us = now;
}

void online_view_ended(struct online_request *request)
{
	add_to_counter(
		request, "briarplank_online_requests_total", "outcome",
		outcome_statement_text(outcome_statement(&request->outcome)));
}

static struct online *find_online_task(struct node *node)
{
	struct list *pos;

	list_for_each (pos, &node->tasks) {
		struct task *task = list_entry(pos, struct task, link);

		if (!strcmp(task->ops->name, "online"))
			return (struct online *)task;
	}
	return NULL;
}

void online_view_requests(struct node *node,
			  void (*fn)(void *ctx,
				     const struct online_request *request),
			  void *ctx)
{
	struct online *online = find_online_task(node);
	struct list *pos;

	if (!online)
		return;
	list_for_each (pos, &online->requests)
		fn(ctx, list_entry(pos, struct online_request, link));
}

void online_view_refusals(struct node *node,
			  void (*fn)(void *ctx,
				     const struct online_refusal *refusal),
			  void *ctx)
{
	struct online *online = find_online_task(node);
	uint64_t i;

	if (!online)
		return;
	i = online->refusals_nr > ONLINE_MAX_REFUSALS ?
		    online->refusals_nr - ONLINE_MAX_REFUSALS :
		    0;
	for (; i < online->refusals_nr; i++)
		fn(ctx, &online->refusals[i % ONLINE_MAX_REFUSALS]);
}
