/**
 * The queue of online requests before a backend server.
 *
 * A request is refused at once when the predicted wait passes its deadline,
 * when the queue is full, or when its caller already holds more than a fair
 * share of a filling queue. Callers take turns by deficit round robin. What
 * can no longer be started in time is given up at once.
 */
#ifndef BRIARPLANK_CORE_ADMISSION_H
#define BRIARPLANK_CORE_ADMISSION_H

#include <stdbool.h>
#include <stdint.h>

struct admission;

enum admission_status {
	ADMISSION_QUEUED,
	/** The predicted wait passes the deadline, or the queue is full. */
	ADMISSION_OVERLOADED,
	/** The caller holds its fair share of the queue. */
	ADMISSION_CALLER_LIMIT,
	/** The deadline has passed. */
	ADMISSION_DEADLINE,
};

struct admission_options {
	/** Requests that wait at most. */
	unsigned max_waiting;
	/** Cost that a caller may spend in one turn. */
	uint32_t quantum;
};

/** One waiting request. */
struct admission_request {
	/** Given back when the request's turn comes. */
	void *owner;
	const char *caller;
	uint64_t deadline_us;
	/** Expected cost to the server, in units of the quantum. */
	uint32_t cost;
};

struct admission *admission_create(const struct admission_options *options);
void admission_destroy(struct admission *admission);

/**
 * Offers a request while running requests hold the server's limit of slots.
 * On a refusal, retry_after_us says when a slot should be free.
 */
enum admission_status admission_offer(struct admission *admission,
				      const struct admission_request *request,
				      unsigned running, unsigned limit,
				      uint64_t now_us,
				      uint64_t *retry_after_us);

/** Takes the request whose turn it is, or NULL when none waits. */
void *admission_next(struct admission *admission, uint64_t now_us);

/** Takes a request whose deadline has passed, or NULL. */
void *admission_expired(struct admission *admission, uint64_t now_us);

/** Takes a request out, such as when its caller left; false if absent. */
bool admission_remove(struct admission *admission, const void *owner);

/** Notes how long the server worked on a request that ended. */
void admission_served(struct admission *admission, uint64_t service_us);

/** Number of requests that wait. */
unsigned admission_waiting(const struct admission *admission);

/** Expected wait of a request that came now, in us. */
uint64_t admission_wait_us(const struct admission *admission, unsigned running,
			   unsigned limit);

#endif
