#include <stdio.h>

#include "briarplankd/access.h"
#include "briarplankd/daemon_settings.h"
#include "bus_auth.h"
#include "common/error.h"
#include "common/json_lines.h"

#define FIELD(type, member) offsetof(struct type, member)
#define DAEMON(member) FIELD(daemon_settings, member)

static const char *const roles[] = { "entry", "agent", NULL };
static const char *const server_kinds[] = { "engine", "plain", NULL };
static const char *const levels[] = { "error", "warn", "info", "debug", NULL };

static const struct setting_spec peer_specs[] = {
	{ "name", SETTING_STRING, FIELD(peer_settings, name), .required = true,
	  .help = "name of the node" },
	{ "role", SETTING_CHOICE, FIELD(peer_settings, role), .required = true,
	  .choices = roles, .help = "role of the node" },
	{ "address", SETTING_ADDRESS, FIELD(peer_settings, address),
	  .required = true, .help = "bus address of the node" },
	{ "data_centre", SETTING_STRING, FIELD(peer_settings, data_centre),
	  .required = true, .help = "data centre of the node" },
	{ "region", SETTING_STRING, FIELD(peer_settings, region),
	  .required = true, .help = "region of the node" },
	{ "service", SETTING_STRING, FIELD(peer_settings, service),
	  .help = "service of the server beside an agent" },
	{ 0 },
};

static const struct setting_spec access_specs[] = {
	{ "name", SETTING_STRING, FIELD(access_settings, name),
	  .required = true, .help = "name of the caller or operator" },
	{ "key_sha256", SETTING_STRING, FIELD(access_settings, key_sha256),
	  .required = true, .help = "SHA-256 of the bearer key, hexadecimal" },
	{ "class", SETTING_STRING, FIELD(access_settings, class),
	  .default_value = "\"default\"",
	  .help = "label of the caller's histograms" },
	{ "operator", SETTING_BOOL, FIELD(access_settings, operator),
	  .default_value = "false", .help = "may use the operators' commands" },
	{ "requests_per_s", SETTING_INT, FIELD(access_settings, requests_per_s),
	  .min = 1, .max = 1000000, .unit = "requests/s",
	  .default_value = "1000",
	  .help = "sustained rate of online requests at one entry" },
	{ "burst", SETTING_INT, FIELD(access_settings, burst), .min = 1,
	  .max = 1000000, .unit = "requests", .default_value = "200",
	  .help = "requests above the rate that are admitted in a burst" },
	{ 0 },
};

const struct setting_spec daemon_setting_specs[] = {
	{ "node.name", SETTING_STRING, DAEMON(name), .required = true,
	  .help = "name of this node, unique in the fleet" },
	{ "node.role", SETTING_CHOICE, DAEMON(role), .required = true,
	  .choices = roles, .help = "entry or agent" },
	{ "node.data_centre", SETTING_STRING, DAEMON(data_centre),
	  .required = true, .help = "data centre of this VM" },
	{ "node.region", SETTING_STRING, DAEMON(region), .required = true,
	  .help = "region of this VM" },
	{ "node.bus", SETTING_ADDRESS, DAEMON(bus_address), .required = true,
	  .help = "address for messages between nodes" },
	{ "node.bus_advertised", SETTING_ADDRESS, DAEMON(bus_advertised),
	  .help = "address at which nodes of other regions reach node.bus, if it is behind a network gateway" },
	{ "node.stop_grace_ms", SETTING_INT, DAEMON(stop_grace_ms), .min = 0,
	  .max = 600000, .unit = "ms", .default_value = "1000",
	  .help = "time for which a stopping node accepts connections but refuses requests, so that the load balancer can see that it isn't ready" },
	{ "node.stop_limit_ms", SETTING_INT, DAEMON(stop_limit_ms), .min = 0,
	  .max = 3600000, .unit = "ms", .default_value = "60000",
	  .help = "timeout of a graceful stop" },
	{ "log.level", SETTING_CHOICE, DAEMON(log_level), .choices = levels,
	  .default_value = "\"info\"",
	  .help = "least severe level that is logged" },

	{ "web.listen", SETTING_ADDRESS, DAEMON(web_address),
	  .help = "address for callers, operators and metrics" },
	{ "web.max_body_bytes", SETTING_INT, DAEMON(web_max_body_bytes),
	  .min = 1024, .max = 1 << 30, .unit = "bytes",
	  .default_value = "16777216", .help = "largest body of a request" },
	{ "web.request_timeout_ms", SETTING_INT, DAEMON(web_request_timeout_ms),
	  .min = 100, .max = 600000, .unit = "ms", .default_value = "10000",
	  .help = "timeout for receiving a complete request" },
	{ "web.tls_certificate", SETTING_STRING, DAEMON(web_tls_certificate),
	  .help = "PEM file of the certificate chain" },
	{ "web.tls_key", SETTING_STRING, DAEMON(web_tls_key),
	  .help = "PEM file of the private key" },

	{ "platform.log", SETTING_ADDRESS, DAEMON(log_service),
	  .help = "address of the log service" },
	{ "platform.log_timeout_ms", SETTING_INT, DAEMON(log_timeout_ms),
	  .min = 50, .max = 60000, .unit = "ms", .default_value = "2000",
	  .help = "timeout of a call to the log, after which its outcome is unknown" },
	{ "platform.log_retention_ms", SETTING_INT, DAEMON(log_retention_ms),
	  .min = 0, .max = 31536000000, .unit = "ms",
	  .default_value = "86400000",
	  .help = "retention time of the log's records, 0 for unlimited" },
	{ "platform.vm_list", SETTING_ADDRESS, DAEMON(vm_list),
	  .help = "address of the VM list service" },
	{ "platform.weight_store", SETTING_ADDRESS, DAEMON(weight_store),
	  .help = "address of the weight store" },

	{ "server.service", SETTING_STRING, DAEMON(service),
	  .help = "service of the server beside this agent" },
	{ "server.address", SETTING_ADDRESS, DAEMON(server),
	  .help = "address of the server beside this agent" },
	{ "server.kind", SETTING_CHOICE, DAEMON(server_kind),
	  .choices = server_kinds, .default_value = "\"engine\"",
	  .help = "model engine or plain service" },
	{ "server.checks_fencing", SETTING_BOOL, DAEMON(server_checks_fencing),
	  .default_value = "false",
	  .help = "the server rejects orders with an old fencing number" },

	{ "keys.public", SETTING_STRING, DAEMON(bus_public_key),
	  .help = "CURVE public key that all nodes share, Z85" },
	{ "keys.secret", SETTING_STRING, DAEMON(bus_secret_key),
	  .help = "CURVE secret key that all nodes share, Z85" },

	{ "keys.other_public", SETTING_STRING, DAEMON(bus_other_public_key),
	  .help = "CURVE public key of the next or previous pair, also accepted during a key rotation, Z85" },

	{ "ledger.shards", SETTING_INT, DAEMON(ledger_shards), .min = 1,
	  .max = 1024, .unit = "shards", .default_value = "8",
	  .help = "number of shards of the job ledger, the same on every node" },

	{ "peers", SETTING_LIST, DAEMON(peers), .item_specs = peer_specs,
	  .item_size = sizeof(struct peer_settings),
	  .help = "nodes that need not be in the VM list" },
	{ "access", SETTING_LIST, DAEMON(access), .item_specs = access_specs,
	  .item_size = sizeof(struct access_settings),
	  .help = "callers and operators" },
	{ 0 },
};

/* State of the checks that the table can't express. */
struct settings_check {
	const struct daemon_settings *settings;
	GPtrArray *faults;
	/* Maps the path of a key in the settings file to its line number. */
	GHashTable *lines;
};

static void add_fault(struct settings_check *check, const char *path,
		      const char *message)
{
	settings_error_add(check->faults, json_lines_find(check->lines, path),
			   "%s: %s", path, message);
}

/* Rejects malformed digests, which would otherwise never match any key. */
static void check_access(struct settings_check *check)
{
	const struct access_settings *access = check->settings->access.items;
	uint8_t digest[ACCESS_DIGEST_BYTES];
	size_t i;

	for (i = 0; i < check->settings->access.nr; i++) {
		char *path;

		if (access_parse_digest(access[i].key_sha256, digest))
			continue;
		path = g_strdup_printf("access[%zu].key_sha256", i);
		add_fault(check, path, "must be 64 hexadecimal digits");
		g_free(path);
	}
}

static void check_role(struct settings_check *check)
{
	const struct daemon_settings *settings = check->settings;

	if (settings->role == ROLE_ENTRY && !settings->web_address)
		add_fault(check, "web.listen", "is required for an entry");
	if (settings->role != ROLE_AGENT)
		return;
	if (!settings->service)
		add_fault(check, "server.service", "is required for an agent");
	if (!settings->server)
		add_fault(check, "server.address", "is required for an agent");
}

static void check_keys(struct settings_check *check)
{
	const struct daemon_settings *settings = check->settings;
	const char *public_key = settings->bus_public_key;
	const char *secret_key = settings->bus_secret_key;

	if (!secret_key != !public_key)
		add_fault(check, "keys",
			  "keys.public and keys.secret must be set together");
	else if (secret_key && !bus_auth_check_keys(public_key, secret_key))
		add_fault(check, "keys", error_last());
	if (settings->bus_other_public_key && !public_key)
		add_fault(check, "keys.other_public",
			  "requires keys.public and keys.secret");
	else if (settings->bus_other_public_key &&
		 !bus_auth_check_public(settings->bus_other_public_key))
		add_fault(check, "keys.other_public", error_last());
	if (!settings->web_tls_key != !settings->web_tls_certificate)
		add_fault(check, "web",
			  "web.tls_key and web.tls_certificate must be set "
			  "together");
}

static void check_settings(const char *file,
			   const struct daemon_settings *settings,
			   GPtrArray *faults)
{
	struct settings_check check = { .settings = settings,
					.faults = faults };
	char *text;

	if (!g_file_get_contents(file, &text, NULL, NULL))
		text = g_strdup("");
	check.lines = json_lines_index(text);
	check_role(&check);
	check_keys(&check);
	check_access(&check);
	g_hash_table_destroy(check.lines);
	g_free(text);
}

static bool print_faults(const char *file, const GPtrArray *faults)
{
	guint i;

	for (i = 0; i < faults->len; i++) {
		const struct settings_error *fault = faults->pdata[i];

		fprintf(stderr, "%s:%d: %s\n", file, fault->line,
			fault->message);
	}
	return faults->len == 0;
}

bool daemon_settings_load(const char *file, const enum daemon_role *role,
			  struct daemon_settings *settings)
{
	GPtrArray *faults = settings_errors_new();
	enum settings_status status;
	bool valid;

	status = settings_load(file, daemon_setting_specs, settings, faults);
	if (role)
		settings->role = (int)*role;
	if (status == SETTINGS_OK)
		check_settings(file, settings, faults);
	valid = print_faults(file, faults);
	g_ptr_array_free(faults, TRUE);
	return valid;
}

void daemon_settings_clear(struct daemon_settings *settings)
{
	settings_clear(daemon_setting_specs, settings);
}
