/**
 * Synchronous HTTP client that sends commands to an entry.
 */
#ifndef BRIARPLANKCTL_CLIENT_H
#define BRIARPLANKCTL_CLIENT_H

#include <stddef.h>

#include <json-c/json.h>

struct client;

/** Status of a command, also used as the exit status. */
enum client_status {
	CLIENT_DONE = 0,
	CLIENT_REFUSED = 1,
	CLIENT_USAGE = 2,
	CLIENT_NOT_REACHED = 3,
	CLIENT_PARTIAL = 4,
};

struct client_options {
	/** Comma-separated list of "http://IP:PORT". */
	const char *urls;
	/** Key that is sent as the bearer token, or NULL. */
	const char *key;
};

/** A request that is safe to retry. */
struct client_request {
	const char *method;
	/** Path and query of the request, with escapes. */
	const char *path;
	/** Request body, or NULL. */
	const char *body;
	size_t body_len;
};

/** The result of a command. */
struct client_answer {
	enum client_status status;
	char *message;
	/** Response body as received, or NULL. */
	char *body;
	/** Rows of the answer, owned by root, or NULL. */
	struct json_object *rows;
	struct json_object *root;
};

/** Creates a client; returns NULL with error_set() for invalid options. */
struct client *client_create(const struct client_options *options);
void client_destroy(struct client *client);

/**
 * Sends a command, followed by its items if items is not NULL. When the result
 * is unknown, the command is retried with the same id, so that it takes effect
 * once. A NULL id stands for a new random one.
 */
void client_run(struct client *client, const char *command, const char *items,
		const char *id, struct client_answer *answer);

/**
 * Sends a request to the entries in turn until one completes it or rejects it
 * permanently, up to a limit of attempts.
 */
void client_request_run(struct client *client,
			const struct client_request *request,
			struct client_answer *answer);
void client_answer_clear(struct client_answer *answer);

#endif
