#include <glib.h>

#include "core/server_pace.h"

/* Requests at the start: one that shows how the server answers, and one beside it. */
#define START 2.0
/* An answer is in time if it takes at most this many times as long as usual, and this much
 * more, in ms, for what the network adds. */
#define IN_TIME_FACTOR 2.0
#define IN_TIME_MS 15.0

void server_pace_begin(struct server_pace *pace)
{
	pace->allowed = START;
}

bool server_pace_has_grown(const struct server_pace *pace)
{
	return pace->allowed > START;
}

bool server_pace_allows(const struct server_pace *pace, double load)
{
	return pace->allowed <= 0 || load < pace->allowed;
}

static void halve(struct server_pace *pace)
{
	pace->allowed = MAX(pace->allowed / 2, 1);
}

void server_pace_answered(struct server_pace *pace, double first_ms,
			  double usual_ms, unsigned slots)
{
	if (pace->allowed <= 0)
		return;
	if (first_ms > usual_ms * IN_TIME_FACTOR + IN_TIME_MS) {
		halve(pace);
		return;
	}
	/* One more with each answer doubles the number in a round. */
	pace->allowed += 1;
	if (pace->allowed >= slots)
		pace->allowed = 0;
}

void server_pace_failed(struct server_pace *pace)
{
	if (pace->allowed > 0)
		halve(pace);
}

void server_pace_heard(struct server_pace *pace, double allowed)
{
	if (pace->allowed <= 0)
		return;
	pace->allowed = allowed <= 0 ? 0 : MAX(pace->allowed, allowed);
}
