/*
 * Sends attempts and cancellations to agents.
 */
#include "briarplankd/members_task.h"
#include "briarplankd/online.h"
#include "common/log.h"

#define PART "online"

/*
 * Time that an agent has to admit an attempt, beyond its expected wait, in ms.
 * After that it is probed.
 */
#define ADMIT_TIMEOUT_MS 500
#define US_PER_MS 1000

static bool send_dispatch(struct online_request *request, uint64_t now_ms)
{
	struct node *node = request->online->super.node;
	GPtrArray *fields = online_http_forwarded_fields(request);
	Briarplank__Envelope env = BRIARPLANK__ENVELOPE__INIT;
	Briarplank__Dispatch dispatch = BRIARPLANK__DISPATCH__INIT;
	enum bus_status status;

	dispatch.request_id = request->id;
	dispatch.attempt = request->outcome.attempt;
	dispatch.agent_incarnation = request->outcome.incarnation;
	dispatch.service = request->service;
	dispatch.method = (char *)web_method(request->web);
	dispatch.path = request->path;
	dispatch.headers = (Briarplank__HeaderField **)fields->pdata;
	dispatch.n_headers = fields->len;
	dispatch.body.data =
		(uint8_t *)web_body(request->web, &dispatch.body.len);
	dispatch.idempotent = request->outcome.idempotent;
	dispatch.remaining_ms = request->deadline_ms - now_ms;
	dispatch.caller = request->caller;
	dispatch.credit_bytes = ONLINE_WINDOW_BYTES;
	dispatch.prefix_hash = request->prefix_hash;
	env.body_case = BRIARPLANK__ENVELOPE__BODY_DISPATCH;
	env.dispatch = &dispatch;
	status = bus_send(node->bus, request->agent, &env);
	g_ptr_array_free(fields, TRUE);
	return status == BUS_OK;
}

static void begin_attempt(struct online_request *request,
			  const struct member *member, uint64_t now_ms)
{
	g_free(request->agent);
	request->agent = g_strdup(member->name);
	online_answer_reset(request);
	outcome_dispatch(&request->outcome, member->incarnation);
	request->probes = 0;
	request->probe_at_ms = now_ms + ADMIT_TIMEOUT_MS +
			       member->load.expected_wait_us / US_PER_MS;
	online_routing_dispatched(request);
	if (request->outcome.attempt > 1)
		online_view_retried(request);
	log_debug(PART, "%s: attempt %u of %s to %s", request->id,
		  request->outcome.attempt, request->service, request->reason);
}

void online_dispatch(struct online_request *request)
{
	uint64_t now_ms = node_now_ms(request->online->super.node);
	const struct member *member;

	request->dispatch_at_ms = 0;
	while (now_ms < request->deadline_ms &&
	       (member = online_routing_choose(request)) != NULL) {
		begin_attempt(request, member, now_ms);
		if (send_dispatch(request, now_ms)) {
			online_request_arm_timer(request);
			return;
		}
		outcome_proven_not_run(&request->outcome);
		online_routing_attempt_ended(request);
		online_routing_failed(request);
		g_ptr_array_add(request->excluded_agents,
				g_strdup(member->name));
	}
	online_request_give_up(request, request->failure ?
						request->failure :
						"no server of the service "
						"can take it");
}

void online_dispatch_cancel(struct online_request *request,
			    bool only_if_not_started)
{
	struct node *node = request->online->super.node;
	Briarplank__Envelope env = BRIARPLANK__ENVELOPE__INIT;
	Briarplank__Cancel cancel = BRIARPLANK__CANCEL__INIT;

	if (!request->agent)
		return;
	cancel.request_id = request->id;
	cancel.attempt = request->outcome.attempt;
	cancel.only_if_not_started = only_if_not_started;
	env.body_case = BRIARPLANK__ENVELOPE__BODY_CANCEL;
	env.cancel = &cancel;
	bus_send(node->bus, request->agent, &env);
}
