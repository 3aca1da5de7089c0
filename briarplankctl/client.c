#include <stdbool.h>
#include <string.h>

#include <glib.h>
#include <uv.h>

#include "client.h"
#include "common/error.h"
#include "common/settings.h"
#include "standalone/http_fetch.h"

/* Maximum number of header fields of a request. */
#define FIELDS_MAX 3
#define SCHEME "http://"
#define CONNECT_TIMEOUT_MS 2000
#define ANSWER_TIMEOUT_MS 20000
/* Maximum number of attempts before the result counts as unknown. */
#define COMMAND_ATTEMPTS_MAX 4
#define COMMAND_RETRY_MS 500
/* Maximum number of attempts of a request that is safe to retry. */
#define REQUEST_ATTEMPTS_MAX 30
#define REQUEST_RETRY_MS 1000

struct client {
	uv_loop_t loop;
	struct http_client *http;
	/* IP:PORT of each entry. */
	char **addresses;
	unsigned next;
	char *authorization;
};

/* One attempt of a request. */
struct exchange {
	bool ended;
	enum http_result end;
	int status;
	GString *body;
};

static char *address_of_url(const char *url)
{
	const char *start = url + strlen(SCHEME);
	char *address;

	if (!g_str_has_prefix(url, SCHEME)) {
		error_set("%s does not start with " SCHEME, url);
		return NULL;
	}
	address = g_strndup(start, strcspn(start, "/"));
	if (settings_address_valid(address))
		return address;
	error_set("%s does not contain an IP address with a port", url);
	g_free(address);
	return NULL;
}

static bool parse_urls(struct client *client, const char *urls)
{
	char **parts = g_strsplit(urls, ",", -1);
	guint i, nr = g_strv_length(parts);
	bool valid = nr > 0;

	client->addresses = g_new0(char *, nr + 1);
	for (i = 0; valid && i < nr; i++) {
		client->addresses[i] = address_of_url(parts[i]);
		valid = client->addresses[i] != NULL;
	}
	g_strfreev(parts);
	return valid;
}

struct client *client_create(const struct client_options *options)
{
	struct client *client = g_new0(struct client, 1);

	uv_loop_init(&client->loop);
	client->http = http_client_create(&client->loop);
	if (options->key)
		client->authorization =
			g_strdup_printf("Bearer %s", options->key);
	if (parse_urls(client, options->urls))
		return client;
	client_destroy(client);
	return NULL;
}

void client_destroy(struct client *client)
{
	http_client_destroy(client->http);
	uv_run(&client->loop, UV_RUN_NOWAIT);
	uv_loop_close(&client->loop);
	g_strfreev(client->addresses);
	g_free(client->authorization);
	g_free(client);
}

static void on_answer(void *ctx, const struct http_answer *answer)
{
	struct exchange *exchange = ctx;

	exchange->ended = true;
	exchange->end = answer->end;
	exchange->status = answer->status;
	g_string_append_len(exchange->body, answer->body, (gssize)answer->len);
}

static void exchange_send(struct client *client,
			  const struct client_request *request, const char *id,
			  struct exchange *exchange)
{
	struct http_field fields[FIELDS_MAX] = {
		{ "Content-Type", "text/plain" },
	};
	size_t fields_nr = 1;
	struct http_call_options options = {
		.address = client->addresses[client->next],
		.method = request->method,
		.path = request->path,
		.fields = fields,
		.body = request->body,
		.body_len = request->body_len,
		.connect_timeout_ms = CONNECT_TIMEOUT_MS,
		.first_byte_timeout_ms = ANSWER_TIMEOUT_MS,
		.idle_timeout_ms = ANSWER_TIMEOUT_MS,
	};

	if (client->authorization)
		fields[fields_nr++] =
			(struct http_field){ "Authorization",
					     client->authorization };
	if (id)
		fields[fields_nr++] =
			(struct http_field){ "Idempotency-Key", id };
	options.fields_nr = fields_nr;
	exchange->ended = false;
	g_string_truncate(exchange->body, 0);
	http_fetch(client->http, &options, on_answer, exchange);
	while (!exchange->ended)
		uv_run(&client->loop, UV_RUN_ONCE);
}

/*
 * Returns whether the result of an attempt is unknown and the request must be
 * retried.
 */
static bool result_unknown(const struct exchange *exchange)
{
	return exchange->end != HTTP_COMPLETE || exchange->status == 504;
}

static void select_next_entry(struct client *client)
{
	client->next++;
	if (!client->addresses[client->next])
		client->next = 0;
}

static enum client_status status_of(const struct exchange *exchange,
				    struct json_object *root)
{
	struct json_object *status;

	switch (exchange->status) {
	case 201:
		return CLIENT_DONE;
	case 200:
		status = json_object_object_get(root, "status");
		return status && !strcmp(json_object_get_string(status),
					 "partial") ?
			       CLIENT_PARTIAL :
			       CLIENT_DONE;
	case 400:
		return CLIENT_USAGE;
	case 401:
	case 403:
	case 409:
	case 429:
	case 503:
		return CLIENT_REFUSED;
	default:
		return CLIENT_NOT_REACHED;
	}
}

static void parse_answer(const struct exchange *exchange,
			 struct client_answer *answer)
{
	const char *field = exchange->status < 300 ? "message" : "detail";
	struct json_object *text = NULL;

	answer->body = g_strdup(exchange->body->str);
	answer->root = json_tokener_parse(exchange->body->str);
	if (!json_object_is_type(answer->root, json_type_object)) {
		answer->status = CLIENT_NOT_REACHED;
		answer->message = g_strdup(
			"the server's answer is not one of a briarplank entry");
		return;
	}
	answer->status = status_of(exchange, answer->root);
	json_object_object_get_ex(answer->root, field, &text);
	json_object_object_get_ex(answer->root, "rows", &answer->rows);
	answer->message = g_strdup(text ? json_object_get_string(text) : "");
}

static void set_unreached(const struct client *client,
			  const struct exchange *exchange, bool sent,
			  const char *id, struct client_answer *answer)
{
	answer->status = CLIENT_NOT_REACHED;
	if (sent)
		answer->message = g_strdup_printf(
			"no answer arrived and the command may have taken effect; "
			"retry it with --id %s",
			id);
	else
		answer->message = g_strdup_printf(
			"%s cannot be reached; nothing was sent",
			client->addresses[client->next]);
}

void client_run(struct client *client, const char *command, const char *items,
		const char *id, struct client_answer *answer)
{
	char *text = items ? g_strconcat(command, "\n", items, NULL) :
			     g_strdup(command);
	char *own_id = id ? g_strdup(id) : g_uuid_string_random();
	struct exchange exchange = { .body = g_string_new(NULL) };
	struct client_request request = {
		.method = "POST",
		.path = "/v1/operator",
		.body = text,
		.body_len = strlen(text),
	};
	bool sent = false;
	unsigned i;

	memset(answer, 0, sizeof(*answer));
	for (i = 0; i < COMMAND_ATTEMPTS_MAX; i++) {
		if (i)
			g_usleep(COMMAND_RETRY_MS * 1000);
		exchange_send(client, &request, own_id, &exchange);
		if (!result_unknown(&exchange))
			break;
		sent |= exchange.end != HTTP_NOT_SENT;
		select_next_entry(client);
	}
	if (result_unknown(&exchange))
		set_unreached(client, &exchange, sent, own_id, answer);
	else
		parse_answer(&exchange, answer);
	g_string_free(exchange.body, TRUE);
	g_free(own_id);
	g_free(text);
}

void client_request_run(struct client *client,
			const struct client_request *request,
			struct client_answer *answer)
{
	struct exchange exchange = { .body = g_string_new(NULL) };
	unsigned i;

	memset(answer, 0, sizeof(*answer));
	for (i = 0; i < REQUEST_ATTEMPTS_MAX; i++) {
		if (i)
			g_usleep(REQUEST_RETRY_MS * 1000);
		exchange_send(client, request, NULL, &exchange);
		if (!result_unknown(&exchange) && exchange.status != 503)
			break;
		select_next_entry(client);
	}
	if (result_unknown(&exchange)) {
		answer->status = CLIENT_NOT_REACHED;
		answer->message = g_strdup("no entry answered; run the same "
					   "command again later");
	} else {
		parse_answer(&exchange, answer);
	}
	g_string_free(exchange.body, TRUE);
}

void client_answer_clear(struct client_answer *answer)
{
	json_object_put(answer->root);
	g_free(answer->message);
	g_free(answer->body);
	memset(answer, 0, sizeof(*answer));
}
