#include <glib.h>

#include "core/poll_pace.h"

/* Share of the store's read rate available to polls. The rest is needed for
 * bodies, outputs and entries that start. */
#define POLL_SHARE 0.5
/* Polls/s of one entry at the shortest intervals below. */
#define POLLS_PER_S_MAX 11.0

/* Long poll: the store answers as soon as there is a new configuration. The
 * timeout bounds the delay caused by a connection that stopped responding, so
 * that a configuration is active within three seconds, including the time by
 * which such a call may exceed its timeout. */
#define CONFIG_WAIT_MS 1000
#define CONFIG_WAIT_MAX_MS 2000
/* A draining server must get no new requests three seconds after it announced
 * that it leaves. */
#define SERVERS_PAUSE_MS 500
#define SERVERS_PAUSE_MAX_MS 1500
/* With this pause one read returns the index records of many entries; results
 * still become visible at all entries within a second. */
#define INDEX_PAUSE_MS 120
#define INDEX_PAUSE_MAX_MS 450

struct poll_pace poll_pace_for(unsigned entries, unsigned reads_per_s)
{
	double allowed = reads_per_s * POLL_SHARE / MAX(entries, 1);
	double slower = MAX(POLLS_PER_S_MAX / allowed, 1);
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
