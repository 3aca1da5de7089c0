/*
 * Builds the rows that the show commands return.
 */
#include <string.h>

#include <json-c/json.h>

#include "accounts.h"
#include "briarplankd/rows.h"
#include "common/error.h"
#include "common/log.h"
#include "core/peer_table.h"
#include "evidence_share.h"
#include "job_store.h"
#include "net/address.h"
#include "operator.h"
#include "peers.h"
#include "refusals.h"
#include "store_route.h"

/* Maximum number of rows in one response. Its message tells when rows were left
 * out. */
#define ROWS_MAX 5000

static void config_rows(struct gateway *gateway, struct json_object *rows)
{
	static const char *const kinds[] = {
		[ROUTE_SAFE] = "safe",
		[ROUTE_UNSAFE] = "unsafe",
		[ROUTE_STREAM] = "stream",
		[ROUTE_BATCH] = "batch",
	};
	guint i;

	for (i = 0; gateway->config && i < gateway->config->routes->len; i++) {
		const struct route *route =
			g_ptr_array_index(gateway->config->routes, i);
		struct json_object *row = json_object_new_object();
		char *key = g_strdup_printf("route.%s", route->name);
		GString *value = g_string_new(NULL);
		size_t target;

		g_string_append_printf(value, "%s %s%s timeout_ms=%u to",
				       kinds[route->kind], route->host,
				       route->prefix, route->timeout_ms);
		for (target = 0; target < route->targets_nr; target++)
			g_string_append_printf(value, " %s=%u",
					       route->targets[target].service,
					       route->targets[target].weight);
		row_add_text(row, "key", key);
		row_add_text(row, "value", value->str);
		row_add_number(row, "revision", gateway->config->version);
		json_object_array_add(rows, row);
		g_string_free(value, TRUE);
		g_free(key);
	}
}

/* Number of a job's items by state. */
struct job_counts {
	unsigned running;
	unsigned done;
	unsigned dead;
};

static struct job_counts count_items(const struct job *job)
{
	struct job_counts counts = { 0 };
	size_t i;

	for (i = 0; i < job->items_nr; i++) {
		const struct job_item *item = &job->items[i];

		counts.done += item->state == JOB_ITEM_DONE;
		counts.dead += item->state == JOB_ITEM_DEAD;
		counts.running += item->state == JOB_ITEM_OPEN && item->run;
	}
	return counts;
}

static void job_rows(struct gateway *gateway, struct json_object *rows)
{
	struct list *pos;

	list_for_each (pos, job_log_jobs(job_store_log(gateway->job_store))) {
		const struct job *job = list_entry(pos, struct job, link);
		struct job_counts counts = count_items(job);
		struct json_object *row = json_object_new_object();

		row_add_text(row, "id", job->id);
		row_add_text(row, "route", job->route);
		row_add_text(row, "state",
			     job->ended ? "ended" :
					  (job->open_nr ? "open" : "done"));
		row_add_number(row, "items", job->items_nr);
		row_add_number(row, "waiting",
			       job->ended ? 0 : job->open_nr - counts.running);
		row_add_number(row, "running", counts.running);
		row_add_number(row, "done", counts.done);
		row_add_number(row, "failed", counts.dead);
		row_add_time(row, "due", job->due_ms);
		row_add_text(row, "node", job->node);
		json_object_array_add(rows, row);
	}
}

static void add_self(struct gateway *gateway, struct json_object *rows)
{
	struct json_object *row = json_object_new_object();

	row_add_text(row, "node", gateway->identity);
	row_add_text(row, "role", "gateway");
	row_add_text(row, "state", gateway->stopping ? "leaving" : "up");
	row_add_text(row, "data_centre", gateway->settings->data_centre);
	row_add_text(row, "region", gateway->settings->region);
	row_add_text(row, "address", peers_address(gateway->peers));
	row_add_number(row, "config_revision",
		       gateway->config ? gateway->config->version : 0);
	row_add_bool(row, "reaches_store",
		     store_route_is_direct(gateway->store_route));
	json_object_array_add(rows, row);
}

static void node_rows(struct gateway *gateway, struct json_object *rows)
{
	uint64_t now = uv_now(gateway->loop);
	struct list *pos;

	add_self(gateway, rows);
	list_for_each (pos, peers_list(gateway->peers)) {
		const struct peer *peer = list_entry(pos, struct peer, link);
		struct sockaddr_in addr = address_unpack(peer->address);
		struct json_object *row = json_object_new_object();
		char *address = address_format(&addr);

		row_add_text(row, "node", peer->identity);
		row_add_text(row, "role", "gateway");
		row_add_text(row, "state",
			     !peer->alive ? "down" :
					    (peer->leaving ? "leaving" : "up"));
		row_add_text(row, "region",
			     peer->same_region ? "own" : "other");
		row_add_text(row, "address", address);
		row_add_number(row, "age_ms", now - peer->heard_ms);
		row_add_bool(row, "reaches_store", peer->reaches_store);
		json_object_array_add(rows, row);
		g_free(address);
	}
}

static void quarantine_rows(struct gateway *gateway, struct json_object *rows)
{
	struct quarantine *quarantine =
		evidence_share_quarantine(gateway->evidence);
	struct list *pos;

	list_for_each (pos, quarantine_suspects(quarantine)) {
		const struct suspect *suspect =
			list_entry(pos, struct suspect, link);
		const struct evidence *evidence = &suspect->evidence;
		unsigned crashes = evidence_crashes(evidence);
		struct json_object *row = json_object_new_object();
		char *key = g_strdup_printf("%016" PRIx64, evidence->key);

		row_add_text(row, quarantine_key_label(evidence->key), key);
		row_add_text(row, "state",
			     suspect->quarantined ?
				     "quarantined" :
				     (crashes ? "suspected" : "cleared"));
		row_add_number(row, "crashes", crashes);
		row_add_number(row, "refuted", evidence->crashes_nr - crashes);
		row_add_number(row, "trials",
			       evidence_trials_in_vain(evidence));
		row_add_time(row, "last_crash", evidence_crashed_ms(evidence));
		json_object_array_add(rows, row);
		g_free(key);
	}
}

static void add_refusal(void *ctx, const struct refusal *refusal)
{
	struct json_object *row = json_object_new_object();

	row_add_time(row, "time", refusal->wall_ms);
	row_add_text(row, "id", refusal->id);
	row_add_text(row, "service", refusal->service);
	row_add_number(row, "http_status", (uint64_t)refusal->status);
	row_add_text(row, "reason", refusal->reason);
	json_object_array_add(ctx, row);
}

static void refusal_rows(struct gateway *gateway, struct json_object *rows)
{
	refusals_each(gateway->refusals, add_refusal, rows);
}

static void add_request(void *ctx, const struct online_request_info *info)
{
	struct json_object *row = json_object_new_object();

	row_add_text(row, "id", info->id);
	row_add_text(row, "route", info->route);
	row_add_text(row, "service", info->service);
	row_add_text(row, "state", info->streaming ? "streaming" : "sent");
	row_add_text(row, "server", info->server);
	row_add_number(row, "age_ms", info->age_ms);
	json_object_array_add(ctx, row);
}

static void request_rows(struct gateway *gateway, struct json_object *rows)
{
	online_requests_each(gateway, add_request, rows);
}

static void add_limit(struct json_object *row, const struct server *server)
{
	char *limit;

	if (server->rate_limit <= 0)
		return;
	limit = g_strdup_printf("%.2f", server->rate_limit);
	row_add_text(row, "rate_limit", limit);
	row_add_number(row, "permits", server->permits.nr);
	g_free(limit);
}

static void server_rows(struct gateway *gateway, struct json_object *rows)
{
	uint64_t now = uv_now(gateway->loop);
	struct list *pos;

	list_for_each (pos, fleet_servers(gateway->fleet)) {
		const struct server *server =
			list_entry(pos, struct server, link);
		struct json_object *row = json_object_new_object();

		row_add_text(row, "server", server->id);
		row_add_text(row, "service", server->service);
		row_add_text(row, "software", server->software);
		row_add_text(row, "state",
			     !server->listed ?
				     "unlisted" :
				     (server->avoid_until_ms > now ? "avoided" :
								     "up"));
		row_add_bool(row, "drained",
			     server->draining || server->leaving);
		row_add_number(row, "slots", server->slots);
		add_limit(row, server);
		row_add_number(row, "running_online",
			       server->own[WORK_ONLINE] +
				       server->others[WORK_ONLINE]);
		row_add_number(row, "running_batch",
			       server->own[WORK_BATCH] +
				       server->others[WORK_BATCH]);
		row_add_text(row, "data_centre", server->data_centre);
		row_add_text(row, "address", server->address);
		json_object_array_add(rows, row);
	}
}

static void service_rows(struct gateway *gateway, struct json_object *rows)
{
	guint i;

	for (i = 0; gateway->config && i < gateway->config->services->len;
	     i++) {
		const struct service *service =
			g_ptr_array_index(gateway->config->services, i);
		struct json_object *row = json_object_new_object();
		unsigned servers_nr = 0;
		struct list *pos;

		list_for_each (pos, fleet_servers(gateway->fleet))
			servers_nr += !strcmp(
				list_entry(pos, struct server, link)->service,
				service->name);
		row_add_text(row, "service", service->name);
		row_add_number(row, "servers", servers_nr);
		row_add_number(row, "servers_usable",
			       fleet_usable(gateway->fleet, service->name,
					    uv_now(gateway->loop)));
		json_object_array_add(rows, row);
	}
}

struct account_rows {
	struct gateway *gateway;
	struct json_object *rows;
};

static void add_account_row(void *ctx, const struct account *account)
{
	struct account_rows *out = ctx;
	struct json_object *row = json_object_new_object();
	struct account_limit_state state;

	row_add_text(row, "account", account->name);
	row_add_number(row, "rank", (uint64_t)account->rank);
	row_add_number(row, "keys", account->keys_nr);
	row_add_number(row, "rate_limit", (uint64_t)account->rate);
	row_add_number(row, "burst", (uint64_t)account->burst);
	if (account->rate > 0) {
		accounts_limit_state(out->gateway->accounts, account, &state);
		row_add_number(row, "left", (uint64_t)MAX(state.level, 0));
		row_add_number(row, "share_permille",
			       (uint64_t)(state.share * 1000));
		row_add_number(row, "silent_permille",
			       (uint64_t)(state.silent_share * 1000));
		row_add_number(row, "rate", (uint64_t)state.rate);
	}
	json_object_array_add(out->rows, row);
}

static void account_rows(struct gateway *gateway, struct json_object *rows)
{
	struct account_rows out = { .gateway = gateway, .rows = rows };

	if (gateway->config && gateway->config->accounts)
		account_table_each(gateway->config->accounts, add_account_row,
				   &out);
}

/* Subjects of the show command, sorted by name, with the functions that build
 * their rows. */
static const struct {
	const char *name;
	void (*rows)(struct gateway *gateway, struct json_object *rows);
} subjects[] = {
	{ "accounts", account_rows },
	{ "config", config_rows },
	{ "jobs", job_rows },
	{ "nodes", node_rows },
	{ "quarantine", quarantine_rows },
	{ "refusals", refusal_rows },
	{ "requests", request_rows },
	{ "servers", server_rows },
	{ "services", service_rows },
};

static void send_response(struct web_request *web, const char *status,
			  const char *message, struct json_object *rows)
{
	struct json_object *root = json_object_new_object();
	const char *text;

	row_add_text(root, "status", status);
	row_add_text(root, "message", message);
	json_object_object_add(root, "rows", rows);
	text = json_object_to_json_string_ext(
		root, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE);
	web_answer(web, 200, "application/json", text, strlen(text));
	json_object_put(root);
}

static void show_rows(struct gateway *gateway, struct web_request *web,
		      const struct command *command)
{
	struct json_object *all = json_object_new_array();
	struct json_object *rows = json_object_new_array();
	char *message;
	size_t i, nr, matching = 0;

	for (i = 0; i < G_N_ELEMENTS(subjects); i++) {
		if (!strcmp(subjects[i].name, command->subject))
			subjects[i].rows(gateway, all);
	}
	nr = json_object_array_length(all);
	for (i = 0; i < nr; i++) {
		struct json_object *row = json_object_array_get_idx(all, i);

		if (row_matches(command, row) && matching++ < ROWS_MAX)
			json_object_array_add(rows, json_object_get(row));
	}
	json_object_put(all);
	message = g_strdup_printf("%zu rows%s, as known to %s", matching,
				  matching > ROWS_MAX ? ", not all shown" : "",
				  gateway->identity);
	send_response(web, "done", message, rows);
	g_free(message);
}

static void run_command(struct gateway *gateway, struct web_request *web,
			const char *text)
{
	unsigned column;
	struct command *command = command_parse(text, &column);

	if (!command) {
		web_problem(web, 400, "Not understood", "%s", error_last());
		return;
	}
	if (command->kind == COMMAND_SHOW)
		show_rows(gateway, web, command);
	else
		web_problem(
			web, 409, "Refused",
			"a gateway only shows state: configuration is written to "
			"the platform's store, and jobs are ended there by "
			"their callers");
	command_free(command);
}

void operator_request(void *ctx, struct web_request *web)
{
	struct gateway *gateway = ctx;
	const char *body;
	char *text;
	size_t len;

	if (strcmp(web_method(web), "POST") != 0) {
		web_problem(web, 405, "Not allowed",
			    "commands must be sent with POST");
		return;
	}
	body = web_body(web, &len);
	text = g_strndup(body ? body : "", len);
	log_event("operator", LOG_LEVEL_INFO, "command=\"%.*s\"",
		  (int)strcspn(text, "\r\n\""), text);
	run_command(gateway, web, text);
	g_free(text);
}
