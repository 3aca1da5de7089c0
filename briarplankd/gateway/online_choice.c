/*
 * Chooses a server for an online request and sends it, or refuses it.
 */
#include <string.h>

#include "accounts.h"
#include "batch.h"
#include "common/log.h"
#include "core/request_key.h"
#include "directory.h"
#include "evidence_share.h"
#include "online_request.h"
#include "peers.h"
#include "waiting_room.h"

/* Bounds of Retry-After under overload, in s. */
#define RETRY_AFTER_MIN_S 0.15
#define RETRY_AFTER_MAX_S 1.5

struct server_call_options gateway_request_options(
	struct gateway_request *request, struct server *server)
{
	struct server_call_options options = {
		.gateway = request->gateway,
		.server = server,
		.class = WORK_ONLINE,
		.method = request->method,
		.target = request->target,
		.host = request->host,
		.request_id = request->id,
		.account = request->account,
		.prompt = &request->prompt,
		.fields = request->fields,
		.body = request->body,
		.body_len = request->body_len,
		.has_body = request->body_len ||
			    strcmp(request->method, "GET") != 0,
		.deadline_ms =
			request->deadline_ms - gateway_request_now(request),
		.last_event = request->last_event,
		.recent_connection_only = !request->repeatable,
		.events =
			request->kind == ROUTE_STREAM ? request->events : NULL,
		.on_head = gateway_request_on_head,
		.on_body = gateway_request_on_body,
		.on_end = gateway_request_on_end,
		.ctx = request,
	};

	return options;
}

void gateway_request_note_try(struct gateway_request *request,
			      const struct server *server)
{
	request->tried[request->tried_nr++] = server->hash;
	request->runs++;
}

static void send_to_server(struct gateway_request *request,
			   struct server *server)
{
	uint64_t now = gateway_request_now(request);
	struct server_call_options options =
		gateway_request_options(request, server);

	gateway_request_note_try(request, server);
	request->server = server->hash;
	request->last_data_ms = now;
	request->sent_ms = now;
	if (request->competes)
		waiting_room_note_sent(request->gateway->waiting_room, request);
	request->call_software = server->software_hash;
	request->call = server_call_start(&options);
	gateway_request_arm_timer(request);
	/* Lets batch items yield to the request at once. */
	batch_load_changed(request->gateway->batch);
}

/* Returns the Retry-After under the limits of servers, in s, or 0 if the service
 * has no server with a limit. */
static double retry_after_limits(const struct gateway_request *request)
{
	double ms =
		fleet_retry_after_ms(request->gateway->fleet, request->service,
				     gateway_request_now(request));

	return ms > 0 ? MAX(ms / 1000, RETRY_AFTER_MIN_S) : 0;
}

static double retry_after(const struct gateway_request *request,
			  const struct fleet_choice *choice)
{
	double excess_ms = choice->first_ms - request->objective_ms / 2.0;
	double limited_s = retry_after_limits(request);

	if (limited_s > 0)
		return limited_s;
	return CLAMP(excess_ms / 1000, RETRY_AFTER_MIN_S, RETRY_AFTER_MAX_S);
}

static void record_choice_inputs(struct gateway_request *request,
				 const struct fleet_choice *choice,
				 uint64_t now)
{
	struct choice_inputs *inputs = &request->inputs;
	struct gateway *gateway = request->gateway;

	inputs->usable = fleet_usable(gateway->fleet, request->service, now);
	inputs->peers_age_ms = peers_age_ms(gateway->peers);
	inputs->wait_ms = choice->wait_ms;
	inputs->first_ms = choice->first_ms;
	if (!choice->server)
		return;
	g_free(inputs->server);
	inputs->server = g_strdup(choice->server->id);
	g_free(inputs->software);
	inputs->software = g_strdup(choice->server->software);
	memcpy(inputs->own, choice->server->own, sizeof(inputs->own));
	memcpy(inputs->others, choice->server->others, sizeof(inputs->others));
}

/* Ends a request that is quarantined, or whose prompt has a quarantined part. */
static void end_quarantined(struct gateway_request *request,
			    const struct quarantine_verdict *verdict)
{
	const char *reason = "the quarantined parts are not known yet";

	if (verdict->crashes)
		reason = is_request_key(verdict->key) ?
				 "the request crashes servers" :
				 "a part of its prompt crashes servers";

	log_event("quarantine", LOG_LEVEL_WARN,
		  "request=%s %s=%016" PRIx64 " crashes=%u parts=\"%s\"",
		  request->id, quarantine_key_label(verdict->key), verdict->key,
		  verdict->crashes,
		  request->prompt.text ? request->prompt.text : "");
	if (request->runs)
		gateway_request_fail(request, 502, reason);
	else
		gateway_request_refuse(request, 503,
				       (double)verdict->retry_after_ms / 1000,
				       reason);
}

/* Refuses a request for which no server can be chosen. */
static void refuse_without_server(struct gateway_request *request)
{
	struct gateway *gateway = request->gateway;
	double limited_s = retry_after_limits(request);

	if (!directory_loaded(gateway->directory))
		gateway_request_refuse(request, 503, STARTING_RETRY_AFTER_S,
				       "no server can run it");
	else if (limited_s > 0)
		gateway_request_refuse(request, 503, limited_s,
				       "the servers have reached their limits");
	else
		gateway_request_refuse(request, 503, NO_SERVER_RETRY_AFTER_S,
				       "no server can run it");
}

/* Tells whether no server is left that has the version that began the stream, by a list
 * of servers that is newer than the request. */
static bool software_is_gone(const struct gateway_request *request)
{
	return request->software &&
	       directory_servers_as_of_ms(request->gateway->directory) >=
		       request->arrived_ms &&
	       fleet_software_gone(request->gateway->fleet, request->service,
				   request->software);
}

/* Ends a stream whose software version no longer serves. */
static void end_lost_stream(struct gateway_request *request)
{
	static const char reason[] =
		"no server has the software version that began the stream";

	if (request->runs)
		gateway_request_fail(request, 502, reason);
	else
		gateway_request_refuse(request, 503, STREAM_LOST_RETRY_AFTER_S,
				       reason);
}

/* Returns the time after which the first byte comes too late, in ms: the objective, or
 * all the time there is for a request that is late anyway, and for a stream that can go on
 * at only some of the servers, as these are no less busy later. */
static double first_byte_limit_ms(const struct gateway_request *request)
{
	bool bound =
		request->software &&
		!fleet_sole_software(request->gateway->fleet, request->service,
				     gateway_request_now(request));

	return bound || request->overdue ?
		       (double)(request->deadline_ms - request->arrived_ms) :
		       request->objective_ms;
}

/* Refuses a request that exceeds its account's rate; returns whether it does. A request
 * counts once, however many servers it is sent to. */
static bool over_rate(struct gateway_request *request)
{
	double retry_s;

	if (!request->account || request->admitted)
		return false;
	request->admitted = accounts_admit(request->gateway->accounts,
					   request->account, &retry_s);
	if (request->admitted)
		return false;
	gateway_request_refuse(request, 429, retry_s,
			       "the account's rate is exceeded");
	return true;
}

/* Holds a request that has to wait for its turn, or refuses it; returns whether it
 * does. */
static bool has_to_wait(struct gateway_request *request,
			const struct fleet_choice *choice)
{
	double retry_s;

	if (!request->competes || request->runs)
		return false;
	switch (waiting_room_enter(request->gateway->waiting_room, request,
				   choice->wait_ms, &retry_s)) {
	case WAITING_SEND:
		return false;
	case WAITING_HELD:
		return true;
	default:
		gateway_request_refuse(request, 503, retry_s,
				       "no room within its time");
		return true;
	}
}

bool gateway_request_allowed(const struct gateway_request *request)
{
	struct quarantine_verdict verdict;

	return evidence_share_allows(request->gateway->evidence,
				     &request->prompt, &verdict);
}

static bool has_time_to_send(const struct gateway_request *request)
{
	return request->deadline_ms >
	       gateway_request_now(request) + SEND_TIME_LEFT_MIN_MS;
}

struct fleet_choice gateway_request_choose(struct gateway_request *request)
{
	struct fleet_query query = {
		.service = request->service,
		.now_ms = gateway_request_now(request),
		.prefix_hash = prompt_hash(&request->prompt),
		.software = request->software,
		.tried = request->tried,
		.tried_nr = request->tried_nr,
	};
	struct fleet_choice choice = { 0 };

	if (has_time_to_send(request) && request->tried_nr < SERVERS_TRIED_MAX)
		choice = fleet_choose(request->gateway->fleet, &query);
	record_choice_inputs(request, &choice, query.now_ms);
	return choice;
}

void gateway_request_dispatch(struct gateway_request *request)
{
	struct quarantine_verdict verdict;
	struct fleet_choice choice;
	bool has_time = has_time_to_send(request);
	double waited_ms =
		(double)(gateway_request_now(request) - request->arrived_ms);

	if (!evidence_share_allows(request->gateway->evidence, &request->prompt,
				   &verdict)) {
		end_quarantined(request, &verdict);
		return;
	}
	choice = gateway_request_choose(request);
	if (!choice.server && has_time && software_is_gone(request)) {
		end_lost_stream(request);
		return;
	}
	if (!choice.server) {
		if (request->runs)
			gateway_request_fail(request, 502,
					     "no further server could run it");
		else
			refuse_without_server(request);
		return;
	}
	/* A response after the objective is of little use to the caller, who
	 * can retry earlier than that. */
	if (!request->runs && choice.wait_ms > 0 &&
	    waited_ms + choice.first_ms > first_byte_limit_ms(request)) {
		gateway_request_refuse(request, 503,
				       retry_after(request, &choice),
				       "all servers are busy");
		return;
	}
	if (has_to_wait(request, &choice) || over_rate(request))
		return;
	send_to_server(request, choice.server);
}
