/**
 * One attempt of an online request: its states and the functions shared by
 * attempt.c (scheduling and responses) and attempt_messages.c (messages from
 * entries).
 */
#ifndef BRIARPLANKD_AGENT_ATTEMPT_H
#define BRIARPLANKD_AGENT_ATTEMPT_H

#include "gate.h"

enum attempt_state {
	/** The attempt waits in the queue of online requests. */
	ATTEMPT_QUEUED,
	/**
	 * The attempt was handed to the backend; no byte has been written yet.
	 */
	ATTEMPT_STARTED,
	/** The server may have seen the request. */
	ATTEMPT_SENT,
	/** The outcome is known; parts of the response may be unsent. */
	ATTEMPT_ENDED,
};

struct attempt {
	struct gate *gate;
	/*
	 * Request id and attempt number; the server knows the call by it too.
	 */
	char *key;
	char *entry;
	Briarplank__Dispatch *dispatch;
	enum attempt_state state;
	uint64_t received_us;
	uint64_t started_us;
	uint64_t deadline_us;
	uint64_t last_token_us;
	/*
	 * Time at which the whole outcome had been sent to the entry; 0 before.
	 */
	uint64_t outcome_sent_us;
	/*
	 * Time at which the connection to the entry was lost; 0 while it is up.
	 */
	uint64_t entry_down_us;
	struct backend_call *call;
	struct answer_buffer *buffer;
	Briarplank__AnswerHead *head;
	bool head_sent;
	bool is_stream;
	struct stream_tail tail;
	bool paused;
	/* The entry has acknowledged the whole response. */
	bool confirmed;
	bool failed;
	bool failure_sent;
	Briarplank__AnswerFailed__Cause cause;
};

/** Returns the key of an attempt; the caller frees it with g_free(). */
char *attempt_key(const char *request_id, uint32_t number);

/** Returns the attempt with this id and number, or NULL. */
struct attempt *attempt_find(struct gate *gate, const char *request_id,
			     uint32_t number);

/** Creates an attempt from a dispatch; it is neither queued nor started. */
struct attempt *attempt_create(struct gate *gate, const char *entry,
			       const Briarplank__Dispatch *dispatch);

/**
 * Queues a new attempt, or refuses and frees it if the queue is full, its
 * caller is over the limit, or it would wait past its deadline.
 */
void attempt_enqueue(struct attempt *attempt);

/**
 * Frees an attempt. Keeps a tombstone of this kind for its key, so that a late
 * message does not start it again.
 */
void attempt_remove(struct attempt *attempt, enum tombstone_kind kind);

/**
 * Sends the parts of the response that credit allows, in order. The rest is
 * sent on the next credit or timer tick.
 */
void attempt_send_pending(struct attempt *attempt);

/**
 * Returns the time left until the deadline of a dispatch, in ms. If this
 * process was frozen until just now, the length of the freeze is subtracted, as
 * the message may have waited unread for that long.
 */
uint64_t attempt_remaining_ms(const struct gate *gate,
			      const Briarplank__Dispatch *dispatch);

/** Tells the entry that the request was sent to the server. */
void attempt_send_admitted(struct attempt *attempt);

/** Tells an entry that an attempt was refused and did not run at all. */
void attempt_send_refused(struct gate *gate, const char *entry,
			  const char *request_id, uint32_t number,
			  Briarplank__Refused__Reason reason,
			  uint32_t retry_after_ms);

#endif
