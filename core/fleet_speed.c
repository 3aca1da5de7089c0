/*
 * How fast servers are now: what they say of their neighbours on the same machine, and the
 * pace of those that have just started or recovered.
 */
#include <math.h>

#include "fleet_private.h"

/* Time in which what a server has said of its speed loses its worth, in ms: neighbours
 * come and go several times a second. */
#define SLOWDOWN_MS 400.0
/* Weight of a new figure in the usual one. */
#define SLOWDOWN_SMOOTHING 0.05
/* Time for which other entries are told that a server's pace has ended, in ms. */
#define PACE_TOLD_MS 3000

void fleet_slowdown_reported(struct server *server, double slowdown,
			     uint64_t now_ms)
{
	if (!server->slowdown_ms)
		server->slowdown_usual = slowdown;
	server->slowdown_usual +=
		SLOWDOWN_SMOOTHING * (slowdown - server->slowdown_usual);
	server->slowdown = slowdown;
	server->slowdown_ms = now_ms;
}

double server_slowdown(const struct server *server, uint64_t now_ms)
{
	double age_ms;

	if (!server->slowdown_ms)
		return 1;
	age_ms = (double)(now_ms - server->slowdown_ms);
	return server->slowdown_usual +
	       (server->slowdown - server->slowdown_usual) *
		       exp(-age_ms / SLOWDOWN_MS);
}

void fleet_begin_pacing(struct fleet *fleet)
{
	fleet->paces = true;
}

void server_begin_pace(struct server *server)
{
	if (server->fleet->paces)
		server_pace_begin(&server->pace);
}

bool server_is_paced(const struct server *server)
{
	return !server_pace_allows(&server->pace,
				   server_load(server, WORK_ONLINE) +
					   server_load(server, WORK_BATCH));
}

/* Returns the usual time to the first byte of a service's servers, in ms: the mean of
 * those that aren't paced. */
static double usual_first_ms(const struct server *server)
{
	double sum = 0;
	unsigned nr = 0;
	struct list *pos;

	list_for_each (pos, &server->fleet->servers) {
		const struct server *other =
			list_entry(pos, struct server, link);

		if (other->service_hash != server->service_hash ||
		    other->pace.allowed > 0)
			continue;
		sum += other->first_ms;
		nr++;
	}
	return nr ? sum / nr : server->first_ms;
}

void server_note_pace(struct server *server, double first_ms, uint64_t now_ms)
{
	if (server->pace.allowed <= 0)
		return;
	server_pace_answered(&server->pace, first_ms, usual_first_ms(server),
			     server->slots);
	if (server->pace.allowed <= 0)
		server->pace_ended_ms = now_ms;
}

void fleet_pace_heard(struct server *server, double allowed, uint64_t now_ms)
{
	if (server->pace.allowed <= 0)
		return;
	server_pace_heard(&server->pace, allowed);
	if (server->pace.allowed <= 0)
		server->pace_ended_ms = now_ms;
}

bool fleet_pace_is_told(const struct server *server, uint64_t now_ms)
{
	return server_pace_has_grown(&server->pace) ||
	       (server->pace_ended_ms &&
		now_ms - server->pace_ended_ms < PACE_TOLD_MS);
}
