/**
 * Online requests that wait at this entry for room at the servers, where callers compete
 * for it: the accounts' ranks come first, then requests that can still be answered within
 * their objective, and accounts of one rank take turns.
 */
#ifndef BRIARPLANKD_GATEWAY_WAITING_ROOM_H
#define BRIARPLANKD_GATEWAY_WAITING_ROOM_H

#include "online_request.h"

struct waiting_room;

struct waiting_room *waiting_room_create(struct gateway *gateway);
void waiting_room_destroy(struct waiting_room *room);

/** What becomes of a request for which a server was chosen. */
enum waiting_verdict {
	WAITING_SEND,
	/** The request waits; it is dispatched again once it has a turn. */
	WAITING_HELD,
	/** It can't be served in time. */
	WAITING_REFUSE,
};

/** Decides on a request that no server has got yet. wait_ms is the expected wait for a
 * slot of the chosen server. *retry_s is set on a refusal. */
enum waiting_verdict waiting_room_enter(struct waiting_room *room,
					struct gateway_request *request,
					double wait_ms, double *retry_s);

/** Removes a request that ends, if it waits. */
void waiting_room_leave(struct waiting_room *room,
			struct gateway_request *request);

/** Notes that a request was sent to a server, and that its call has ended. */
void waiting_room_note_sent(struct waiting_room *room,
			    struct gateway_request *request);
void waiting_room_note_ended(struct waiting_room *room,
			     struct gateway_request *request);

/**
 * Notes the time that a caller of a route gives its request, in ms. Returns the longest
 * time that a caller of the route has given; a repeated request has less left.
 */
uint64_t waiting_room_note_time(struct waiting_room *room, const char *route,
				uint64_t ms);

#endif
