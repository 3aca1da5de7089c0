/*
 * The table of configuration keys, and the checks of keys and values.
 */
#include <inttypes.h>
#include <string.h>

#include <glib.h>
#include <json-c/json.h>

#include "common/error.h"
#include "core/config_keys.h"

#define KEY_MAX_BYTES 200
#define NAME_MAX_BYTES 64
#define VALUE_MAX_BYTES 4096
#define TEXT_MAX_BYTES 256

static const char *const levels[] = { "error", "warn", "info", "debug", NULL };

const struct config_key config_keys[] = {
	{ "config.snapshot_interval_s", CONFIG_KEY_INT, 10, 86400, "s", "300",
	  .help = "interval of configuration snapshots in the log; must be "
		  "well below the log's retention" },
	{ "log.level", CONFIG_KEY_CHOICE, .choices = levels,
	  .help = "minimum severity that every node logs" },
	{ "node.*.log_level", CONFIG_KEY_CHOICE, .choices = levels,
	  .help = "minimum severity that one node logs" },
	{ "orders.max_changes", CONFIG_KEY_INT, 1, 64, "servers", "2",
	  .help = "number of servers of the fleet that may change their model "
		  "or role at a time" },
	{ "server.*.adapter", CONFIG_KEY_TEXT,
	  .help = "adapter that the server must have loaded" },
	{ "server.*.drained", CONFIG_KEY_BOOL, .default_value = "false",
	  .help = "the server gets no new work" },
	{ "server.*.model", CONFIG_KEY_TEXT,
	  .help = "model that the server must have loaded" },
	{ "server.*.role", CONFIG_KEY_TEXT,
	  .help = "role that the server must have" },
	{ "server.*.version", CONFIG_KEY_TEXT,
	  .help = "version of the model that the server must have loaded" },
	{ "service.*.batch_weight", CONFIG_KEY_INT, 0, 100, "percent", "50",
	  .help = "0 protects online tail latency, "
		  "100 favours batch throughput" },
	{ "service.*.created", CONFIG_KEY_BOOL, .default_value = "false",
	  .help = "the service exists" },
	{ "service.*.first_byte_target_ms", CONFIG_KEY_INT, 1, 600000, "ms",
	  "1000", .help = "target for the time to the first byte" },
	{ "service.*.idempotent", CONFIG_KEY_BOOL, .default_value = "false",
	  .help = "requests are idempotent unless they say otherwise" },
	{ "service.*.item_attempts", CONFIG_KEY_INT, 1, 100, "attempts", "3",
	  .help = "attempts after which a batch item fails" },
	{ "service.*.timeout_ms", CONFIG_KEY_INT, 1, 86400000, "ms", "60000",
	  .help = "time limit of a request that sets none" },
	{ "service.*.token_gap_target_ms", CONFIG_KEY_INT, 1, 60000, "ms",
	  "100", .help = "target for the time between tokens" },
	{ 0 },
};

bool config_name_valid(const char *name, size_t len)
{
	size_t i;

	if (!len || len > NAME_MAX_BYTES)
		return false;
	for (i = 0; i < len; i++) {
		if (!g_ascii_isalnum(name[i]) && name[i] != '-' &&
		    name[i] != '_')
			return false;
	}
	return true;
}

/* Matches one part, up to the next dot, of a pattern and of a key. */
static bool part_matches(const char *pattern, size_t pattern_len,
			 const char *key, size_t key_len)
{
	if (pattern_len == 1 && *pattern == '*')
		return true;
	return pattern_len == key_len && !memcmp(pattern, key, key_len);
}

static bool pattern_matches(const char *pattern, const char *key)
{
	for (;;) {
		size_t pattern_len = strcspn(pattern, ".");
		size_t key_len = strcspn(key, ".");

		if (!part_matches(pattern, pattern_len, key, key_len))
			return false;
		pattern += pattern_len;
		key += key_len;
		if (!*pattern || !*key)
			return *pattern == *key;
		pattern++;
		key++;
	}
}

const struct config_key *config_key_find(const char *key)
{
	const struct config_key *entry;

	for (entry = config_keys; entry->pattern; entry++) {
		if (pattern_matches(entry->pattern, key))
			return entry;
	}
	return NULL;
}

static bool key_well_formed(const char *key)
{
	const char *part = key;

	if (strlen(key) > KEY_MAX_BYTES)
		return false;
	for (;;) {
		size_t len = strcspn(part, ".");

		if (!config_name_valid(part, len))
			return false;
		if (!part[len])
			return true;
		part += len + 1;
	}
}

static bool check_int(const struct config_key *entry, const char *key,
		      struct json_object *value)
{
	int64_t nr = json_object_get_int64(value);

	if (json_object_is_type(value, json_type_int) && nr >= entry->min &&
	    nr <= entry->max)
		return true;
	error_set("%s must be a whole number between %" PRId64 " and %" PRId64
		  " %s, not %s",
		  key, entry->min, entry->max, entry->unit,
		  json_object_to_json_string(value));
	return false;
}

static bool check_text(const char *key, struct json_object *value)
{
	if (json_object_is_type(value, json_type_string) &&
	    json_object_get_string_len(value) <= TEXT_MAX_BYTES)
		return true;
	error_set("%s must be a string of at most %d bytes", key,
		  TEXT_MAX_BYTES);
	return false;
}

static bool check_choice(const struct config_key *entry, const char *key,
			 struct json_object *value)
{
	const char *text = json_object_get_string(value);
	char *all;

	if (json_object_is_type(value, json_type_string) &&
	    g_strv_contains(entry->choices, text))
		return true;
	all = g_strjoinv(", ", (char **)entry->choices);
	error_set("%s must be one of %s, not %s", key, all,
		  json_object_to_json_string(value));
	g_free(all);
	return false;
}

static bool check_value(const struct config_key *entry, const char *key,
			struct json_object *value)
{
	switch (entry->type) {
	case CONFIG_KEY_INT:
		return check_int(entry, key, value);
	case CONFIG_KEY_TEXT:
		return check_text(key, value);
	case CONFIG_KEY_CHOICE:
		return check_choice(entry, key, value);
	case CONFIG_KEY_BOOL:
		if (json_object_is_type(value, json_type_boolean))
			return true;
		error_set("%s must be true or false, not %s", key,
			  json_object_to_json_string(value));
		return false;
	}
	return false;
}

static struct json_object *parse_value(const char *value)
{
	struct json_tokener *tok = json_tokener_new();
	struct json_object *root;
	size_t len = strlen(value);

	json_tokener_set_flags(tok, JSON_TOKENER_STRICT);
	root = json_tokener_parse_ex(tok, value, (int)len + 1);
	if (json_tokener_get_error(tok) != json_tokener_success ||
	    json_tokener_get_parse_end(tok) < len) {
		json_object_put(root);
		root = NULL;
	}
	json_tokener_free(tok);
	return root;
}

enum config_check config_key_check(const char *key, const char *value)
{
	const struct config_key *entry = config_key_find(key);
	struct json_object *root;
	bool valid;

	if (!key_well_formed(key)) {
		error_set("\"%.64s\" is not a well-formed key", key);
		return CONFIG_CHECK_INVALID;
	}
	if (!entry)
		error_set("there is no key %s", key);
	if (!*value)
		return entry ? CONFIG_CHECK_VALID : CONFIG_CHECK_UNKNOWN_KEY;
	root = strlen(value) <= VALUE_MAX_BYTES ? parse_value(value) : NULL;
	if (!root) {
		error_set(
			"the value of %s is not JSON text of at most %d bytes",
			key, VALUE_MAX_BYTES);
		return CONFIG_CHECK_INVALID;
	}
	valid = !entry || check_value(entry, key, root);
	json_object_put(root);
	if (!valid)
		return CONFIG_CHECK_INVALID;
	return entry ? CONFIG_CHECK_VALID : CONFIG_CHECK_UNKNOWN_KEY;
}
