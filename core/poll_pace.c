#include <glib.h>

#include "core/poll_pace.h"

/* Share of the store's reads that polls may take: bodies, outputs and entries
 * that start need the rest. */
#define POLL_SHARE 0.5
/* Polls of one entry at the shortest times below, a second. */
#define FASTEST_POLLS 11.0

/* A configuration is answered as soon as there is one; the wait bounds how
 * long a connection that went silent hides it. With the time that such a call
 * may take beyond, it stays in force within three seconds. */
#define CONFIG_WAIT_MS 1000
#define CONFIG_WAIT_MAX_MS 2000
/* A server that leaves must get nothing new three seconds after it said so. */
#define SERVERS_PAUSE_MS 500
#define SERVERS_PAUSE_MAX_MS 1500
/* Gathers what many entries write to the index; results show at all entries
 * within a second. */
#define INDEX_PAUSE_MS 120
#define INDEX_PAUSE_MAX_MS 450

struct poll_pace poll_pace_of(unsigned entries, unsigned reads_per_s)
{
	double allowed = reads_per_s * POLL_SHARE / MAX(entries, 1);
	double slower = MAX(FASTEST_POLLS / allowed, 1);
	struct poll_pace pace = {
		.config_wait_ms = (unsigned)MIN(CONFIG_WAIT_MS * slower,
						CONFIG_WAIT_MAX_MS),
		.servers_pause_ms = (uint64_t)MIN(SERVERS_PAUSE_MS * slower,
						  SERVERS_PAUSE_MAX_MS),
		.index_pause_ms = (uint64_t)MIN(INDEX_PAUSE_MS * slower,
						INDEX_PAUSE_MAX_MS),
	};

	return pace;
}
