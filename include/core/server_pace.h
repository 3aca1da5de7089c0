/**
 * Pace of a server that has just started or recovered.
 *
 * It answers the load of releases and restarts at a peak: a server that gets its whole
 * part of the requests at once answers them late, and one that is held back for a fixed
 * time is idle. All entries together send it a few requests at first, twice as many with
 * each round of answers that come in time, and half as many when they don't.
 */
#ifndef BRIARPLANK_CORE_SERVER_PACE_H
#define BRIARPLANK_CORE_SERVER_PACE_H

#include <stdbool.h>

struct server_pace {
	/** Requests that it may have at once from all entries; 0 for no limit. */
	double allowed;
};

/** Begins again with a few requests. */
void server_pace_begin(struct server_pace *pace);

/** Tells whether answers have let the pace grow. */
bool server_pace_has_grown(const struct server_pace *pace);

/** Tells whether a server with a load, in requests, may get a further one. */
bool server_pace_allows(const struct server_pace *pace, double load);

/** Notes the time to the first byte of an answer; usual_ms is that of the servers of its
 * service, and slots the number of requests that it runs at once. */
void server_pace_answered(struct server_pace *pace, double first_ms,
			  double usual_ms, unsigned slots);

/** Notes that a request failed. */
void server_pace_failed(struct server_pace *pace);

/** Notes the pace that another entry has found; 0 if it has found no limit. */
void server_pace_heard(struct server_pace *pace, double allowed);

#endif
