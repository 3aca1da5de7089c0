/**
 * Admission control and fair queueing of online requests at a backend server.
 *
 * A request is refused at once if its predicted start is past its deadline, if
 * the queue is full, or if its caller already has its fair share of a queue
 * that is at least half full. Callers are served by deficit round robin.
 * Requests whose deadline has passed are removed from the queue.
 */
#ifndef BRIARPLANK_CORE_ADMISSION_H
#define BRIARPLANK_CORE_ADMISSION_H

#include <stdbool.h>
#include <stdint.h>

struct admission;

enum admission_status {
	ADMISSION_QUEUED,
	/** The predicted start is past the deadline, or the queue is full. */
	ADMISSION_OVERLOADED,
	/** The caller already has its fair share of the queue. */
	ADMISSION_CALLER_LIMIT,
	/** The deadline has passed. */
	ADMISSION_DEADLINE,
};

struct admission_options {
	/** Maximum number of queued requests. */
	unsigned max_waiting;
	/** Cost credited to a caller in each round. */
	uint32_t quantum;
};

/** A request to be queued. */
struct admission_request {
	/**
	 * Pointer that identifies the request; returned when the request leaves
	 * the queue.
	 */
	void *owner;
	const char *caller;
	uint64_t deadline_us;
	/** Expected cost to the server, in units of the quantum. */
	uint32_t cost;
};

struct admission *admission_create(const struct admission_options *options);
void admission_destroy(struct admission *admission);

/**
 * Queues a request or refuses it. running is the number of requests that run at
 * the server, limit the number of its slots. On a refusal, retry_after_us is
 * the time after which a slot should be free.
 */
enum admission_status admission_enqueue(struct admission *admission,
					const struct admission_request *request,
					unsigned running, unsigned limit,
					uint64_t now_us,
					uint64_t *retry_after_us);

/** Removes the next request by deficit round robin and returns its owner; NULL
 * if the queue is empty. */
void *admission_next(struct admission *admission, uint64_t now_us);

/** Removes a request whose deadline has passed and returns its owner, or
 * NULL. */
void *admission_expired(struct admission *admission, uint64_t now_us);

/** Removes a request, for example when its caller disconnected; returns false
 * if it isn't queued. */
bool admission_remove(struct admission *admission, const void *owner);

/** Records the service time of a request that ended, in us. */
void admission_record_service(struct admission *admission, uint64_t service_us);

/** Returns the number of queued requests. */
unsigned admission_waiting(const struct admission *admission);

/** Returns the expected wait of a request that arrives now, in us. */
uint64_t admission_wait_us(const struct admission *admission, unsigned running,
			   unsigned limit);

#endif
