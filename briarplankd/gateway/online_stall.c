/*
 * Looks for another server for a stream whose server is silent. The silent one may be sound:
 * a server pauses a stream when its memory runs out. So its call is given up only once the
 * other server has begun to answer.
 */
#include "common/log.h"
#include "online_request.h"
#include "waiting_room.h"

/* Time in which another server refuses the stream or begins to answer, in ms. The silent
 * server's call isn't read meanwhile: had it gone on, both would run the stream. */
#define OFFER_MS 250
/* Interval at which another server is looked for while there is none, in ms. */
#define LOOK_INTERVAL_MS 200

/* Tells whether the silent server has sent anything since, for this stream or another. */
static bool server_is_alive(const struct gateway_request *request)
{
	const struct server *server =
		fleet_find_hash(request->gateway->fleet, request->server);

	return server && server->data_ms > request->last_data_ms;
}

static void log_offer(const struct gateway_request *request,
		      const char *outcome)
{
	log_event("stall", LOG_LEVEL_INFO,
		  "request=%s server=%s %s silent_ms=%" PRIu64
		  " alive=%d last_event=%" PRId64,
		  request->id,
		  request->inputs.server ? request->inputs.server : "-",
		  outcome, gateway_request_now(request) - request->last_data_ms,
		  server_is_alive(request), request->last_event);
}

/* Goes on with the silent server, as the other one doesn't take the stream. */
static void keep_server(struct gateway_request *request, const char *outcome)
{
	log_offer(request, outcome);
	request->offer = NULL;
	request->look_ms = gateway_request_now(request) + LOOK_INTERVAL_MS;
	server_call_resume(request->call);
	gateway_request_arm_timer(request);
}

/* Gives up the silent server, as the other one takes the stream. */
static void change_server(struct gateway_request *request, const char *outcome)
{
	log_offer(request, outcome);
	server_call_cancel(request->call);
	gateway_request_call_ended(request);
	request->call = request->offer;
	request->offer = NULL;
	request->server = request->offered_server;
	request->call_software = request->offered_software;
	request->last_data_ms = gateway_request_now(request);
	request->sent_ms = request->last_data_ms;
	event_stream_reset(request->events);
	if (request->competes)
		waiting_room_note_sent(request->gateway->waiting_room, request);
	gateway_request_arm_timer(request);
}

static void on_head(void *ctx, const struct server_response *answer)
{
	struct gateway_request *request = ctx;

	if (request->offer && answer->status / 100 == 2 && answer->is_signed &&
	    !answer->not_events)
		change_server(request, "answers");
	if (!request->offer) {
		gateway_request_on_head(request, answer);
		return;
	}
	server_call_reject(request->offer, "it can't go on with the stream");
	keep_server(request, "can't go on with it");
}

static void on_body(void *ctx, const char *data, size_t len)
{
	gateway_request_on_body(ctx, data, len);
}

static void on_end(void *ctx, enum server_call_end end)
{
	struct gateway_request *request = ctx;

	if (!request->offer) {
		gateway_request_on_end(request, end);
		return;
	}
	if (end == SERVER_CALL_NOT_RUN)
		request->runs--;
	keep_server(request, end == SERVER_CALL_NOT_RUN ? "refuses it" :
							  "gives no answer");
}

void gateway_request_offer_over(struct gateway_request *request)
{
	if (!server_is_alive(request) && server_call_sent(request->offer)) {
		change_server(request, "has not refused it");
		return;
	}
	if (!server_call_sent(request->offer))
		request->runs--;
	server_call_cancel(request->offer);
	keep_server(request, "has not begun to answer");
}

void gateway_request_look_elsewhere(struct gateway_request *request)
{
	struct server_call_options options;
	struct fleet_choice choice = { 0 };
	uint64_t now = gateway_request_now(request);

	request->look_ms = now + LOOK_INTERVAL_MS;
	if (gateway_request_allowed(request))
		choice = gateway_request_choose(request);
	/* A server that is alive goes on sooner than one where the stream waits. */
	if (!choice.server ||
	    (choice.wait_ms > 0 && server_is_alive(request))) {
		gateway_request_arm_timer(request);
		return;
	}
	options = gateway_request_options(request, choice.server);
	options.on_head = on_head;
	options.on_body = on_body;
	options.on_end = on_end;
	gateway_request_note_try(request, choice.server);
	server_call_pause(request->call);
	request->offered_server = choice.server->hash;
	request->offered_software = choice.server->software_hash;
	request->offer_until_ms = now + OFFER_MS;
	request->offer = server_call_start(&options);
	log_offer(request, "is offered it");
	gateway_request_arm_timer(request);
}
