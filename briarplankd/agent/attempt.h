/**
 * One online attempt at the gate, between attempt.c (its life) and
 * attempt_messages.c (what entries say about it).
 */
#ifndef BRIARPLANKD_AGENT_ATTEMPT_H
#define BRIARPLANKD_AGENT_ATTEMPT_H

#include "gate.h"

enum attempt_state {
	/** Waits in the queue of online requests. */
	ATTEMPT_QUEUED,
	/** Handed to the adapter; no byte has left yet. */
	ATTEMPT_STARTED,
	/** The server may have seen the request. */
	ATTEMPT_SENT,
	/** The outcome is known; the answer may still be on its way. */
	ATTEMPT_ENDED,
};

struct attempt {
	struct gate *gate;
	/* Request id and attempt number; names the call to the server too. */
	char *key;
	char *entry;
	Briarplank__Dispatch *dispatch;
	enum attempt_state state;
	uint64_t received_us;
	uint64_t started_us;
	uint64_t deadline_us;
	uint64_t last_token_us;
	/* When the last of the outcome went out; 0 before. */
	uint64_t told_us;
	uint64_t entry_down_us;
	struct backend_call *call;
	struct answer_buffer *buffer;
	Briarplank__AnswerHead *head;
	bool head_sent;
	bool streams;
	bool paused;
	bool confirmed;
	bool failed;
	bool failure_sent;
	Briarplank__AnswerFailed__Cause cause;
};

/** Names an attempt by request id and number. Freed with g_free. */
char *attempt_key(const char *request_id, uint32_t number);

struct attempt *attempt_find(struct gate *gate, const char *request_id,
			     uint32_t number);

/** Makes an attempt of a dispatch; it is neither queued nor started. */
struct attempt *attempt_create(struct gate *gate, const char *entry,
			       const Briarplank__Dispatch *dispatch);

/** Queues a new attempt, or refuses it when it would wait too long. */
void attempt_offer(struct attempt *attempt);

/** Removes an attempt; its id is remembered. */
void attempt_remove(struct attempt *attempt, enum tombstone_kind kind);

/** Sends what may go out now, in order; the rest waits for credit or a tick. */
void attempt_pump(struct attempt *attempt);

/** Time left to a dispatch; one read after a thaw may be as old as the freeze. */
uint64_t attempt_remaining_ms(const struct gate *gate,
			      const Briarplank__Dispatch *dispatch);

void attempt_send_admitted(struct attempt *attempt);

/** Tells an entry that nothing of an attempt ran. */
void attempt_send_refused(struct gate *gate, const char *entry,
			  const char *request_id, uint32_t number,
			  Briarplank__Refused__Reason reason,
			  uint32_t retry_after_ms);

#endif
