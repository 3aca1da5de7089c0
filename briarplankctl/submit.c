#include <inttypes.h>
#include <string.h>

#include <glib.h>

#include "common/error.h"
#include "core/command.h"
#include "submit.h"

/* Maximum size in bytes of the items in one request. A larger job is sent in
 * parts of at most this size; only a part with a single line may exceed it. */
#define PART_BYTES (4 << 20)
/* Maximum number of lines in a part. */
#define PART_LINES 20000
/* Maximum number of parts of a job that entries accept. */
#define PARTS_MAX 1024

struct submit {
	struct client *client;
	const struct command *command;
	/* Path of the job with its name escaped. */
	char *path;
	/* Start of the items that are not sent yet. */
	const char *at;
	const char *end;
	uint32_t line;
	uint32_t parts;
};

bool submit_needs_parts(const char *line, const char *items)
{
	unsigned column;
	struct command *command;
	bool submits;

	if (!items || strlen(items) <= PART_BYTES)
		return false;
	command = command_parse(line, &column);
	if (!command)
		return false;
	submits = command->kind == COMMAND_SUBMIT;
	command_free(command);
	return submits;
}

/* Returns the end of the next part and stores its number of lines. */
static const char *part_end(const struct submit *submit, uint32_t *lines)
{
	const char *end = submit->at;

	*lines = 0;
	while (end < submit->end && *lines < PART_LINES) {
		const char *eol = memchr(end, '\n', submit->end - end);
		const char *next = eol ? eol + 1 : submit->end;

		if (*lines && next - submit->at > PART_BYTES)
			break;
		end = next;
		++*lines;
	}
	return end;
}

static bool send_part(struct submit *submit, struct client_answer *answer)
{
	uint32_t lines;
	const char *end = part_end(submit, &lines);
	char *path =
		g_strdup_printf("%s/parts/%" PRIu32 "?line=%" PRIu32,
				submit->path, ++submit->parts, submit->line);
	struct client_request request = {
		.method = "PUT",
		.path = path,
		.body = submit->at,
		.body_len = end - submit->at,
	};

	client_request_run(submit->client, &request, answer);
	g_free(path);
	if (answer->status != CLIENT_DONE)
		return false;
	submit->at = end;
	submit->line += lines;
	return true;
}

static bool send_parts(struct submit *submit, struct client_answer *answer)
{
	while (submit->at < submit->end) {
		if (submit->parts == PARTS_MAX) {
			answer->status = CLIENT_USAGE;
			answer->message = g_strdup_printf(
				"a job has at most %d parts", PARTS_MAX);
			return false;
		}
		if (!send_part(submit, answer))
			return false;
		client_answer_clear(answer);
	}
	return true;
}

static char *seal_path(const struct submit *submit)
{
	const struct command *command = submit->command;
	GString *path = g_string_new(submit->path);
	size_t i;

	g_string_append_printf(path, "?parts=%" PRIu32, submit->parts);
	for (i = 0; i < command->pairs_nr; i++) {
		char *value = g_uri_escape_string(command->pairs[i].value, NULL,
						  FALSE);

		g_string_append_printf(path, "&%s=%s", command->pairs[i].name,
				       value);
		g_free(value);
	}
	return g_string_free(path, FALSE);
}

/* Converts the job's state into the answer format of commands. */
static void set_accepted(struct client_answer *answer)
{
	struct json_object *job = answer->root;
	struct json_object *rows = json_object_new_array();
	struct json_object *name = NULL;

	json_object_object_get_ex(job, "job", &name);
	json_object_object_add(job, "name", json_object_get(name));
	json_object_object_del(job, "job");
	json_object_array_add(rows, job);
	answer->root = json_object_new_object();
	answer->rows = rows;
	g_free(answer->message);
	answer->message = g_strdup("the job is accepted");
	json_object_object_add(answer->root, "status",
			       json_object_new_string("done"));
	json_object_object_add(answer->root, "message",
			       json_object_new_string(answer->message));
	json_object_object_add(answer->root, "rows", rows);
	g_free(answer->body);
	answer->body = g_strdup(json_object_to_json_string(answer->root));
}

static void send_seal(struct submit *submit, struct client_answer *answer)
{
	char *path = seal_path(submit);
	struct client_request request = { .method = "PUT", .path = path };

	client_request_run(submit->client, &request, answer);
	if (answer->status == CLIENT_DONE)
		set_accepted(answer);
	g_free(path);
}

static void submit_run(struct submit *submit, struct client_answer *answer)
{
	char *name = g_uri_escape_string(submit->command->subject, NULL, FALSE);

	submit->path = g_strdup_printf("/v1/jobs/%s", name);
	if (send_parts(submit, answer))
		send_seal(submit, answer);
	g_free(submit->path);
	g_free(name);
}

/* Returns the name of the first required word that the command lacks, or NULL.
 * A job that is sent in one command requires the same words. */
static const char *missing_word(const struct command *command)
{
	if (!command_pair_value(command, "service"))
		return "service";
	return command_pair_value(command, "path") ? NULL : "path";
}

void submit_parts(struct client *client, const char *line, const char *items,
		  struct client_answer *answer)
{
	unsigned column;
	struct command *command = command_parse(line, &column);
	struct submit submit = {
		.client = client,
		.command = command,
		.at = items,
		.end = items + strlen(items),
		.line = 1,
	};
	const char *missing = command ? missing_word(command) : NULL;

	memset(answer, 0, sizeof(*answer));
	if (!command || missing) {
		answer->status = CLIENT_USAGE;
		answer->message =
			command ? g_strdup_printf(
					  "submit job needs %s and a value",
					  missing) :
				  g_strdup(error_last());
	} else {
		submit_run(&submit, answer);
	}
	if (command)
		command_free(command);
}
