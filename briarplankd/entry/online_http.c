/*
 * HTTP side of online requests: reads and checks callers' requests, and sets
 * status and header fields of the answers.
 */
#include <stdarg.h>
#include <string.h>

#include "briarplankd/members_task.h"
#include "briarplankd/online.h"
#include "common/hash.h"
#include "standalone/http_client.h"

#define SERVICES_PREFIX "/v1/services/"
/* Range of the timeout that a caller may set, in ms. */
#define TIMEOUT_MIN_MS 1
#define TIMEOUT_MAX_MS 3600000
#define MS_PER_S 1000
#define US_PER_MS 1000
/* Largest request body; messages between nodes are limited to 8 MiB. */
#define MAX_BODY_BYTES (7 << 20)
/* Number of leading bytes of a body that are hashed as its prefix. */
#define HASHED_PREFIX_BYTES 256

/*
 * Header fields that are not forwarded: they belong to one connection or are
 * set by this system.
 */
static const char *const unforwarded_fields[] = {
	"authorization",
	"briarplank-idempotent",
	"briarplank-outcome",
	"briarplank-request-id",
	"briarplank-timeout",
	"connection",
	"content-length",
	"date",
	"expect",
	"host",
	"keep-alive",
	"proxy-authenticate",
	"proxy-authorization",
	"server",
	"te",
	"trailer",
	"transfer-encoding",
	"upgrade",
};

bool online_http_forwards_field(const char *name)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(unforwarded_fields); i++) {
		if (!g_ascii_strcasecmp(name, unforwarded_fields[i]))
			return false;
	}
	return true;
}

/* Rate that all callers share when no access list is configured. */
static const struct limiter_rate anonymous_rate = {
	.requests_per_s = 100000,
	.burst = 10000,
};

static bool identify_caller(struct online_request *request)
{
	const struct access_index *index = request->online->super.node->access;
	const struct access_settings *access;

	if (access_allows_anyone(index)) {
		request->caller = g_strdup("anonymous");
		request->class = g_strdup("default");
		request->rate = anonymous_rate;
		return true;
	}
	access = access_find(index, web_header(request->web, "authorization"));
	if (!access) {
		online_http_problem(
			request, 401, 0, "Unknown key",
			"the bearer key does not belong to any caller");
		return false;
	}
	request->caller = g_strdup(access->name);
	request->class = g_strdup(access->class);
	request->rate.requests_per_s = access->requests_per_s;
	request->rate.burst = access->burst;
	return true;
}

static bool parse_target(struct online_request *request)
{
	const char *rest = web_path(request->web) + strlen(SERVICES_PREFIX);
	const char *slash = strchr(rest, '/');
	const char *query = web_query(request->web);

	if (!slash || slash == rest) {
		online_http_problem(request, 404, 0, "Not found",
				    "the path must be " SERVICES_PREFIX
				    "SERVICE/PATH");
		return false;
	}
	request->service = g_strndup(rest, slash - rest);
	request->path = g_strconcat(slash, *query ? "?" : "", query, NULL);
	return true;
}

/* A service exists if an operator created it or an agent announces it. */
static bool check_service(struct online_request *request)
{
	struct node *node = request->online->super.node;
	struct list *pos;

	config_service_policy(node, request->service, &request->policy);
	if (request->policy.exists)
		return true;
	list_for_each (pos, members_all(node_members(node))) {
		struct member *member = list_entry(pos, struct member, link);

		if (member->role == MEMBER_AGENT &&
		    !strcmp(member->service, request->service))
			return true;
	}
	online_http_problem(request, 404, 0, "Unknown service",
			    "service %s does not exist", request->service);
	return false;
}

static bool read_idempotent(struct online_request *request)
{
	const char *field = web_header(request->web, "briarplank-idempotent");
	bool idempotent = request->policy.idempotent;

	if (field && !g_ascii_strcasecmp(field, "true")) {
		idempotent = true;
	} else if (field && !g_ascii_strcasecmp(field, "false")) {
		idempotent = false;
	} else if (field) {
		online_http_problem(request, 400, 0, "Bad field",
				    "Briarplank-Idempotent must be true or "
				    "false");
		return false;
	}
	outcome_init(&request->outcome, idempotent);
	return true;
}

/* Parses "1500ms" or "2s". Returns 0 if malformed or above the maximum. */
static uint64_t parse_timeout(const char *text)
{
	char *end;
	uint64_t amount = g_ascii_strtoull(text, &end, 10);

	if (!g_ascii_isdigit(*text) || amount > TIMEOUT_MAX_MS)
		return 0;
	if (!strcmp(end, "s"))
		amount *= MS_PER_S;
	else if (strcmp(end, "ms") != 0)
		return 0;
	return amount <= TIMEOUT_MAX_MS ? amount : 0;
}

static bool read_timeout(struct online_request *request)
{
	const char *field = web_header(request->web, "briarplank-timeout");
	uint64_t timeout_ms = request->policy.timeout_ms;

	if (field)
		timeout_ms = parse_timeout(field);
	if (timeout_ms < TIMEOUT_MIN_MS) {
		online_http_problem(
			request, 400, 0, "Bad field",
			"Briarplank-Timeout must be a duration such as "
			"1500ms, at most %d ms",
			TIMEOUT_MAX_MS);
		return false;
	}
	request->deadline_ms =
		node_now_ms(request->online->super.node) + timeout_ms;
	return true;
}

/*
 * Hashes the prefix of the body, so that requests with the same prefix are
 * routed to a server that has it cached.
 */
static void hash_prefix(struct online_request *request)
{
	size_t len;
	const char *body = web_body(request->web, &len);

	if (len >= HASHED_PREFIX_BYTES)
		request->prefix_hash =
			hash_bytes(body, HASHED_PREFIX_BYTES, 0) | 1;
}

/*
 * Refuses a body that is too large: a message over the size limit would break
 * the connection to the agent.
 */
static bool check_body_size(struct online_request *request)
{
	size_t len;

	web_body(request->web, &len);
	if (len <= MAX_BODY_BYTES)
		return true;
	online_http_problem(request, 413, 0, "Body too large",
			    "a request body may have at most %d bytes",
			    MAX_BODY_BYTES);
	return false;
}

static bool check_limits(struct online_request *request)
{
	struct online *online = request->online;
	uint64_t now_ms = node_now_ms(online->super.node);
	uint64_t retry_after_us;

	if (!limiter_admit(online->limiter, request->caller, &request->rate,
			   node_now_us(), &retry_after_us)) {
		online_view_add_refusal(request, 429, "the caller's rate");
		online_http_problem(request, 429,
				    retry_after_us / US_PER_MS + 1,
				    "Too many requests",
				    "the caller has exceeded its request rate");
		return false;
	}
	if (limiter_within_share(online->limiter, request->service,
				 request->caller, now_ms))
		return true;
	online_view_add_refusal(request, 503, "the caller's share");
	online_http_problem(request, 503, 0, "Not run",
			    "the service is full and the caller already uses "
			    "its share");
	return false;
}

struct online_request *online_http_accept(struct online *online,
					  struct web_request *web)
{
	struct online_request *request = online_request_create(online, web);

	if (identify_caller(request) && parse_target(request) &&
	    check_service(request) && read_idempotent(request) &&
	    read_timeout(request) && check_body_size(request) &&
	    check_limits(request)) {
		hash_prefix(request);
		return request;
	}
	online_request_destroy(request);
	return NULL;
}

static void add_outcome_fields(struct online_request *request,
			       enum outcome_statement statement)
{
	web_add_header(request->web, "Briarplank-Request-Id", request->id);
	web_add_header(request->web, "Briarplank-Outcome",
		       outcome_statement_text(statement));
}

void online_http_problem(struct online_request *request, int status,
			 uint32_t retry_after_ms, const char *title,
			 const char *fmt, ...)
{
	char *detail, *seconds;
	va_list args;

	if (!request->web)
		return;
	va_start(args, fmt);
	detail = g_strdup_vprintf(fmt, args);
	va_end(args);
	add_outcome_fields(request, outcome_statement(&request->outcome));
	if (status == 429 || status == 503) {
		seconds = g_strdup_printf(
			"%u",
			MAX(1, (retry_after_ms + MS_PER_S - 1) / MS_PER_S));
		web_add_header(request->web, "Retry-After", seconds);
		g_free(seconds);
	}
	web_problem(request->web, status, title, "%s", detail);
	g_free(detail);
}

static void field_free(void *data)
{
	Briarplank__HeaderField *field = data;

	g_free(field->name);
	g_free(field->value);
	g_free(field);
}

static void add_field(GPtrArray *fields, const char *name, const char *value)
{
	Briarplank__HeaderField *field = g_new(Briarplank__HeaderField, 1);

	briarplank__header_field__init(field);
	field->name = g_strdup(name);
	field->value = g_strdup(value);
	g_ptr_array_add(fields, field);
}

GPtrArray *online_http_forwarded_fields(struct online_request *request)
{
	GPtrArray *fields = g_ptr_array_new_with_free_func(field_free);
	size_t i;

	for (i = 0; i < web_headers_nr(request->web); i++) {
		const char *name, *value;

		web_header_at(request->web, i, &name, &value);
		if (online_http_forwards_field(name))
			add_field(fields, name, value);
	}
	add_field(fields, "briarplank-request-id", request->id);
	return fields;
}

void online_http_start_stream(struct online_request *request)
{
	guint i;

	for (i = 0; i < request->fields->len; i++) {
		const struct http_field *field = request->fields->pdata[i];

		web_add_header(request->web, field->name, field->value);
	}
	add_outcome_fields(request, OUTCOME_COMPLETED);
	web_stream_begin(request->web, request->status, NULL);
}
