/**
 * Tells the other entries which software version began each stream, and asks them when a
 * caller takes up a stream that another entry began.
 *
 * A stream is told to a few entries that its id selects, as soon as its first event
 * arrives. Nothing is sent while its route keeps its services and weights, and the service
 * has one version.
 */
#ifndef BRIARPLANKD_GATEWAY_STREAM_SHARE_H
#define BRIARPLANKD_GATEWAY_STREAM_SHARE_H

#include <netinet/in.h>

#include "gateway.h"
#include "nodeload.pb-c.h"

struct stream_share *stream_share_create(struct gateway *gateway);
void stream_share_destroy(struct stream_share *share);

/** A stream, as the request that begins it or takes it up names it. */
struct stream_name {
	/** Id of the attempt that brought its first event; NULL if it isn't known. */
	const char *attempt;
	/** Route, and the hash of its services and weights (route_picks_hash()). */
	const char *route;
	uint64_t picks;
	/** Service that these pick for the attempt, at which the stream began if they were
	 * the same then; NULL if they can't tell. */
	const char *service;
	/** Timeout of its route, in ms. */
	uint32_t timeout_ms;
};

/** Remembers the version that began a stream, and tells the other entries. */
void stream_share_begun(struct stream_share *share,
			const struct stream_name *name, uint64_t software);

/** Returns the hash of the version that began a stream, or 0 if this entry has neither
 * begun it nor been told of it. */
uint64_t stream_share_find(struct stream_share *share,
			   const struct stream_name *name);

struct stream_question;

/**
 * Finds the version that began a stream, and a list of servers that is as new as the
 * question: asks the other entries unless known is the version, and reads the list. The
 * version is also known if the route has picked services by the same weights since the
 * stream can have begun, and that list shows that only one version has served in the one
 * that they pick. done is called once, not from within this function, with 0 if the version
 * stays unknown.
 */
struct stream_question *stream_share_ask(
	struct stream_share *share, const struct stream_name *name,
	uint64_t known, void (*done)(void *ctx, uint64_t software), void *ctx);

/** Drops a question that was not answered yet. */
void stream_question_cancel(struct stream_question *question);

/** Handles what another entry tells, asks or answers; from is its packed address. */
void stream_share_receive(struct stream_share *share, const NodeLoad *message,
			  uint64_t from);

#endif
