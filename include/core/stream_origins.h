/**
 * The software version that began each stream, by the attempt that brought its first
 * event. What two versions write doesn't fit together, so that a stream goes on only at
 * servers of the version that began it.
 *
 * Entries tell each other of the streams that they begin, as the caller of a stream may
 * take it up at any of them after the first has ended.
 */
#ifndef BRIARPLANK_CORE_STREAM_ORIGINS_H
#define BRIARPLANK_CORE_STREAM_ORIGINS_H

#include <stdbool.h>
#include <stdint.h>

/** Shortest time for which a stream is remembered after its first event, in ms. */
#define STREAM_ORIGIN_MS 30000
/** Maximum number of streams that are remembered. */
#define STREAM_ORIGINS_MAX 65536

struct stream_origins;

struct stream_origin {
	/** Hash of the attempt's id. */
	uint64_t stream;
	/** Hash of the service and the version (fleet_software_hash()). */
	uint64_t software;
	/** This entry began the stream. */
	bool own;
	/** Loop time at which it is forgotten, in ms. */
	uint64_t expires_ms;
};

struct stream_origins *stream_origins_create(void);
void stream_origins_destroy(struct stream_origins *origins);

/** Remembers a stream. The first statement counts. */
void stream_origins_add(struct stream_origins *origins,
			const struct stream_origin *origin, uint64_t now_ms);

/** Returns the software that began a stream, or 0 if it isn't known. */
uint64_t stream_origins_find(const struct stream_origins *origins,
			     uint64_t stream, uint64_t now_ms);

/** Calls fn for each stream that this entry began. */
void stream_origins_each_own(
	const struct stream_origins *origins, uint64_t now_ms,
	void (*fn)(void *ctx, const struct stream_origin *origin), void *ctx);

/** Returns how long a stream is remembered whose attempts may last this long. */
uint64_t stream_origin_ttl_ms(uint32_t timeout_ms);

#endif
