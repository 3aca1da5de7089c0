/**
 * Sends commands to an entry and waits for the answer.
 */
#ifndef BRIARPLANKCTL_CLIENT_H
#define BRIARPLANKCTL_CLIENT_H

#include <stddef.h>

#include <json-c/json.h>

struct client;

/** Exit statuses, also of single commands. */
enum client_status {
	CLIENT_DONE = 0,
	CLIENT_REFUSED = 1,
	CLIENT_USAGE = 2,
	CLIENT_NOT_REACHED = 3,
	CLIENT_PARTIAL = 4,
};

struct client_options {
	/** "http://IP:PORT", several parted by commas. */
	const char *urls;
	/** Bearer key, or NULL. */
	const char *key;
};

/** A request that is safe to send again. */
struct client_request {
	const char *method;
	/** Path with the query, escaped. */
	const char *path;
	/** NULL for none. */
	const char *body;
	size_t body_len;
};

/** What a command came to. */
struct client_answer {
	enum client_status status;
	char *message;
	/** Body as it came, or NULL. */
	char *body;
	/** Rows of the answer, or NULL. */
	struct json_object *rows;
	struct json_object *root;
};

/** Makes a client; NULL with an error message for bad options. */
struct client *client_create(const struct client_options *options);
void client_destroy(struct client *client);

/**
 * Sends a command, with the text of its items below it or NULL. An answer that
 * is lost is asked for again under the same id, which may be NULL for a new
 * one.
 */
void client_run(struct client *client, const char *command, const char *items,
		const char *id, struct client_answer *answer);

/**
 * Sends a request to one entry after the other until one has carried it out
 * or refused it for good.
 */
void client_request_run(struct client *client,
			const struct client_request *request,
			struct client_answer *answer);
void client_answer_clear(struct client_answer *answer);

#endif
