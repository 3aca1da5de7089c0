#include <string.h>

#include "accounts.h"
#include "common/log.h"
#include "directory.h"
#include "peers.h"
#include "platform/codec.h"

/* Maximum number of accounts in one load report: about 600 bytes. */
#define REPORT_ACCOUNTS_MAX 30
/* One-way latency within a region and between two, in ms. */
#define NEAR_LATENCY_MS 2
#define FAR_LATENCY_MS 31
/* Heartbeats without which an entry counts as silent, and the least time of that, in
 * ms. */
#define SILENT_HEARTBEATS 2.5
#define SILENT_MIN_MS 700
#define SWEEP_INTERVAL_MS 5000
/* Retry-After while it isn't known whether a key is valid, in s. */
#define UNSURE_RETRY_AFTER_S 0.3

struct accounts {
	struct gateway *gateway;
	struct account_limits *limits;
	uv_timer_t sweep_timer;
};

/* Returns the accounts of the configuration in use, or NULL. */
static const struct account_table *table_of(const struct accounts *accounts)
{
	const struct route_table *config = accounts->gateway->config;

	return config ? config->accounts : NULL;
}

static void count(struct accounts *accounts, const char *outcome)
{
	char *labels = g_strdup_printf("outcome=\"%s\"", outcome);

	counter_add(metrics_counter(accounts->gateway->metrics,
				    "briarplank_account_calls_total", labels),
		    1);
	g_free(labels);
}

/* Returns the key of a call, NULL if it has none or several; the caller frees it. */
static char *key_of(const struct web_request *web)
{
	const char *credentials = NULL;
	const char *name, *value;
	size_t i;

	for (i = 0; i < web_headers_nr(web); i++) {
		web_header_at(web, i, &name, &value);
		if (g_ascii_strcasecmp(name, platform_fields.credentials) != 0)
			continue;
		if (credentials)
			return NULL;
		credentials = value;
	}
	return platform_key_parse(credentials);
}

enum caller_kind accounts_identify(struct accounts *accounts,
				   const struct web_request *web,
				   const struct route *route,
				   const struct account **account)
{
	const struct account_table *table = table_of(accounts);
	char *key;

	*account = NULL;
	if (!table || (route && route->is_public))
		return CALLER_ANYONE;
	key = key_of(web);
	if (key)
		*account = account_table_find(table, key);
	g_free(key);
	if (*account)
		return CALLER_ACCOUNT;
	/* Without a key no version allows the call. */
	if (!key || directory_config_is_current(accounts->gateway->directory))
		return CALLER_UNKNOWN;
	return CALLER_UNSURE;
}

void accounts_turn_away(struct accounts *accounts, struct web_request *web,
			enum caller_kind kind)
{
	const char *id = web_header(web, platform_fields.request_id);
	bool unsure = kind == CALLER_UNSURE;

	log_event("request_failed", LOG_LEVEL_WARN,
		  "request=%s path=%s status=%d version=%" PRIu64
		  " config_age_ms=%" PRIu64 " %s",
		  id ? id : "-", web_path(web), unsure ? 503 : 401,
		  accounts->gateway->config->version,
		  directory_config_age_ms(accounts->gateway->directory),
		  unsure ?
			  "a key isn't known, and the configuration may be out "
			  "of date" :
			  "no account has the key");
	count(accounts, unsure ? "unsure" : "unknown");
	if (unsure)
		gateway_refuse(web, 503, UNSURE_RETRY_AFTER_S,
			       "it isn't known yet whether the key is valid");
	else
		web_problem(web, 401, "No such key", "no account has the key");
}

static struct account_limit limit_of_account(const struct account *account)
{
	struct account_limit limit = {
		.account = account->hash,
		.rate = account->rate,
		.burst = account->burst,
	};

	return limit;
}

bool accounts_admit(struct accounts *accounts, const char *name,
		    double *retry_s)
{
	const struct account_table *table = table_of(accounts);
	const struct account *account =
		table ? account_table_find_name(table, name) : NULL;
	struct account_limit limit;
	double retry_ms;

	if (!account || account->rate <= 0)
		return true;
	limit = limit_of_account(account);
	if (account_limits_admit(accounts->limits, &limit,
				 uv_now(accounts->gateway->loop), &retry_ms)) {
		count(accounts, "admitted");
		return true;
	}
	count(accounts, "over_rate");
	*retry_s = retry_ms / 1000;
	return false;
}

void accounts_limit_state(struct accounts *accounts,
			  const struct account *account,
			  struct account_limit_state *state)
{
	struct account_limit limit = limit_of_account(account);

	account_limits_state(accounts->limits, &limit,
			     uv_now(accounts->gateway->loop), state);
}

char *accounts_job_id(const struct gateway *gateway,
		      const struct account *account, const char *id)
{
	char *name, *job;

	if (!gateway->config || !gateway->config->accounts)
		return g_strdup(id);
	/* The first slash ends the account's name, which is empty for a job of a
	 * public route. */
	name = g_uri_escape_string(account ? account->name : "", NULL, FALSE);
	job = g_strdup_printf("%s/%s", name, id);
	g_free(name);
	return job;
}

void accounts_expect(struct accounts *accounts, uint64_t address)
{
	account_limits_expect(accounts->limits, address);
}

void accounts_forget(struct accounts *accounts, uint64_t address)
{
	account_limits_forget(accounts->limits, address);
}

static void add_use(void *ctx, const struct account_use *use)
{
	NodeLoad *load = ctx;
	AccountUse *message = g_new(AccountUse, 1);

	account_use__init(message);
	message->account = use->account;
	message->used = use->used;
	message->rate = (float)use->rate;
	load->accounts =
		g_renew(AccountUse *, load->accounts, load->n_accounts + 1);
	load->accounts[load->n_accounts++] = message;
}

void accounts_add_to_report(struct accounts *accounts,
			    enum account_audience audience, NodeLoad *load)
{
	account_limits_report(accounts->limits, uv_now(accounts->gateway->loop),
			      audience, REPORT_ACCOUNTS_MAX, add_use, load);
}

void accounts_free_report(NodeLoad *load)
{
	size_t i;

	for (i = 0; i < load->n_accounts; i++)
		g_free(load->accounts[i]);
	g_free(load->accounts);
}

void accounts_apply_report(struct accounts *accounts, const struct peer *peer,
			   const NodeLoad *load)
{
	struct account_use *uses;
	size_t i;

	if (load->leaving) {
		account_limits_forget(accounts->limits, peer->address);
		return;
	}
	uses = g_new(struct account_use, load->n_accounts);
	for (i = 0; i < load->n_accounts; i++) {
		uses[i].account = load->accounts[i]->account;
		uses[i].used = load->accounts[i]->used;
		uses[i].rate = load->accounts[i]->rate;
	}
	account_limits_hear(
		accounts->limits, peer->address,
		peer->same_region ? NEAR_LATENCY_MS : FAR_LATENCY_MS, uses,
		load->n_accounts, uv_now(accounts->gateway->loop));
	g_free(uses);
}

/* Fills in the limit of an account that another entry reports. */
static bool limit_of(void *ctx, uint64_t hash, struct account_limit *limit)
{
	const struct account_table *table = table_of(ctx);
	const struct account *account =
		table ? account_table_find_hash(table, hash) : NULL;

	if (!account || account->rate <= 0)
		return false;
	*limit = limit_of_account(account);
	return true;
}

static void on_sweep(uv_timer_t *timer)
{
	struct accounts *accounts = timer->data;
	struct gateway *gateway = accounts->gateway;
	double silent_ms =
		SILENT_HEARTBEATS * (double)peers_heartbeat_ms(gateway->peers);

	account_limits_set_silence(accounts->limits,
				   MAX(SILENT_MIN_MS, (uint64_t)silent_ms));
	account_limits_sweep(accounts->limits, uv_now(gateway->loop));
}

struct accounts *accounts_create(struct gateway *gateway)
{
	struct accounts *accounts = g_new0(struct accounts, 1);
	struct account_limits_options options = {
		.now_ms = uv_now(gateway->loop),
		.limit_of = limit_of,
		.ctx = accounts,
	};

	accounts->gateway = gateway;
	accounts->limits = account_limits_create(&options);
	uv_timer_init(gateway->loop, &accounts->sweep_timer);
	accounts->sweep_timer.data = accounts;
	uv_timer_start(&accounts->sweep_timer, on_sweep, SWEEP_INTERVAL_MS,
		       SWEEP_INTERVAL_MS);
	return accounts;
}

static void on_closed(uv_handle_t *handle)
{
	g_free(handle->data);
}

void accounts_destroy(struct accounts *accounts)
{
	account_limits_destroy(accounts->limits);
	uv_close((uv_handle_t *)&accounts->sweep_timer, on_closed);
}
