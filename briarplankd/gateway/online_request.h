/**
 * An online request of a caller: state shared by the files that handle it.
 *
 * online.c reads callers' requests and ends them, online_choice.c chooses servers,
 * online_answer.c relays the response, and online_stall.c looks for another server when
 * one is silent.
 */
#ifndef BRIARPLANKD_GATEWAY_ONLINE_REQUEST_H
#define BRIARPLANKD_GATEWAY_ONLINE_REQUEST_H

#include "core/event_stream.h"
#include "gateway.h"
#include "server_call.h"
#include "stream_share.h"

/** Maximum number of servers that one request is sent to, including those that
 * refuse it. */
#define SERVERS_TRIED_MAX 4
/** A request is neither sent nor retried with less time than this left until its
 * deadline, in ms. */
#define SEND_TIME_LEFT_MIN_MS 30
/** Retry-After while no server is usable, in s: about one heartbeat. */
#define NO_SERVER_RETRY_AFTER_S 0.6

/** State on which the last choice of a server was based, for the log. */
struct choice_inputs {
	char *server;
	/* Version of the server's software. */
	char *software;
	/* Expected wait for a slot, and time to the first byte, in ms. */
	double wait_ms;
	double first_ms;
	/* Number of requests at the server from this node and from other
	 * entries. */
	unsigned own[WORK_CLASSES];
	unsigned others[WORK_CLASSES];
	/* Number of usable servers of the service. */
	unsigned usable;
	/* Age of the oldest load report of another entry, in ms. */
	uint64_t peers_age_ms;
};

struct gateway_request {
	struct list link;
	struct gateway *gateway;
	struct web_request *web;
	/* Name of the route, copied when the request arrived. */
	char *route;
	/* Service that runs it; for a stream that is taken up, that of the version that
	 * began it. */
	char *service;
	/* Hash of the route's services and weights as it arrived, and the service that they
	 * pick for the attempt that began the stream; NULL if they can't tell. */
	uint64_t picks;
	char *picked_service;
	/* Name of the client account, copied when the request arrived; NULL for
	 * none. */
	char *account;
	/* The account's rate has allowed the request. */
	bool admitted;
	/* Callers compete for the servers, so that it may have to wait here for its
	 * turn; and it waits now. */
	bool competes;
	bool waiting;
	/* Its caller first asked longer ago than the objective. */
	bool overdue;
	/* Rank of its account and route among those that wait; 0 is the highest. */
	int rank;
	/* Its size, in tokens that take about the same time. */
	uint32_t work;
	/* Time at which it was sent to the current server. */
	uint64_t sent_ms;
	enum route_kind kind;
	bool repeatable;
	uint32_t objective_ms;
	unsigned runs_max;
	struct prompt prompt;
	char *id;
	/* The caller takes up a stream, and the id of the attempt that brought its first
	 * event; NULL if the caller doesn't say. */
	bool taken_up;
	char *resumes;
	/* Hash of the service and software version that the stream is bound to, as it
	 * has an event; 0 before. */
	uint64_t software;
	/* That of the server of the current call. */
	uint64_t call_software;
	/* Other entries are asked for the version; NULL otherwise. */
	struct stream_question *question;
	/* Timeout of the route, in ms. */
	uint32_t timeout_ms;
	char *method;
	char *target;
	char *host;
	/* Header fields to forward, as text. */
	char *fields;
	const char *body;
	size_t body_len;
	uint64_t arrived_ms;
	/* The earlier of the caller's deadline and the route's timeout. */
	uint64_t deadline_ms;
	/* Version of the configuration that holds the route. */
	uint64_t config_version;
	struct choice_inputs inputs;
	/* Hashes of the servers that the request was sent to. */
	uint64_t tried[SERVERS_TRIED_MAX];
	size_t tried_nr;
	/* Number of servers that may have run the request. */
	unsigned runs;
	struct server_call *call;
	/* Hash of the server of the call. */
	uint64_t server;
	/* Call that offers the stream of a silent server to another one, the loop time in
	 * ms by which that one has to take it, its hash and that of its software; NULL
	 * without one. */
	struct server_call *offer;
	uint64_t offer_until_ms;
	uint64_t offered_server;
	uint64_t offered_software;
	/* Loop time before which no other server is looked for, in ms. */
	uint64_t look_ms;
	uv_timer_t timer;
	/* Time of the last data from the server, of a stream that of the last whole
	 * event. */
	uint64_t last_data_ms;
	/* Status and framing of the current response. */
	int status;
	enum http_link_framing framing;
	/* The response is relayed as it arrives, not buffered. */
	bool streaming;
	/* The stream has a gap in its events, or was broken off towards the
	 * caller. */
	bool broken;
	bool ended;
	/* Alternating names and values, sent with the complete response. */
	GPtrArray *response_fields;
	GString *buffer;
	struct event_stream *events;
	/* Number of events that were relayed, and the maximum by the caller's tokens; 0
	 * if the caller doesn't say. */
	uint64_t events_nr;
	uint64_t events_max;
	/* Id of the last event that the caller has; -1 for none. */
	int64_t last_event;
	/* Time at which the first byte of the body arrived; 0 before it. */
	uint64_t first_ms;
};

/** Retry-After of a stream that can't go on, in s: longer than a caller takes it up
 * again, as it must begin anew. */
#define STREAM_LOST_RETRY_AFTER_S 60

/** Returns the loop time, in ms. */
uint64_t gateway_request_now(const struct gateway_request *request);

/** Logs the outcome and frees the request after it was answered. */
void gateway_request_finish(struct gateway_request *request,
			    const char *outcome);

/** Ends a request that no server has run with a refusal. */
void gateway_request_refuse(struct gateway_request *request, int status,
			    double retry_s, const char *reason);

/** Ends a request that a server may have run. */
void gateway_request_fail(struct gateway_request *request, int status,
			  const char *reason);

/** Tells whether the request may be sent to another server. */
bool gateway_request_can_retry(const struct gateway_request *request);

/** Sets the timer to the deadline, or to the time at which the stream stalls or another
 * server has to take it. */
void gateway_request_arm_timer(struct gateway_request *request);

/** Chooses a server and sends it the request, or ends the request. */
void gateway_request_dispatch(struct gateway_request *request);

/** Tells whether the request, or a part of its prompt, isn't quarantined. */
bool gateway_request_allowed(const struct gateway_request *request);

/** Chooses a server that the request wasn't sent to; it is NULL if there is none. */
struct fleet_choice gateway_request_choose(struct gateway_request *request);

/** Returns the options of a call that sends the request to a server. */
struct server_call_options gateway_request_options(
	struct gateway_request *request, struct server *server);

/** Notes that the request is sent to a server. */
void gateway_request_note_try(struct gateway_request *request,
			      const struct server *server);

/** Offers the stream of a silent server to another one, if there is any. */
void gateway_request_look_elsewhere(struct gateway_request *request);

/** Decides between the servers when the time of an offer is over. */
void gateway_request_offer_over(struct gateway_request *request);

/** Returns the name by which entries know the stream of the request. */
struct stream_name gateway_request_stream(
	const struct gateway_request *request);

/** Notes that the current call ends. */
void gateway_request_call_ended(struct gateway_request *request);

/** Callbacks that relay the response of a server; their ctx is the request. */
void gateway_request_on_head(void *ctx, const struct server_response *answer);
void gateway_request_on_body(void *ctx, const char *data, size_t len);
void gateway_request_on_end(void *ctx, enum server_call_end end);

#endif
