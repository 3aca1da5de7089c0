/**
 * Settings of the daemon, and the table that describes and validates them.
 */
#ifndef BRIARPLANKD_DAEMON_SETTINGS_H
#define BRIARPLANKD_DAEMON_SETTINGS_H

#include "common/settings.h"

enum daemon_role { ROLE_ENTRY, ROLE_AGENT };
enum server_kind { SERVER_ENGINE, SERVER_PLAIN };

/** A peer node that is configured rather than found in the VM list. */
struct peer_settings {
	char *name;
	int role;
	char *address;
	char *data_centre;
	char *region;
	char *service;
};

/** A caller or operator with the hexadecimal SHA-256 of its key. */
struct access_settings {
	char *name;
	char *key_sha256;
	/** Label of the caller's metrics. */
	char *class;
	bool operator;
	int64_t requests_per_s;
	int64_t burst;
};

/** All settings of a node. */
struct daemon_settings {
	char *name;
	int role;
	char *data_centre;
	char *region;
	char *bus_address;
	/** Bus address for nodes of other regions; NULL: bus_address. */
	char *bus_advertised;
	int log_level;

	char *web_address;
	int64_t web_max_body_bytes;
	int64_t web_request_timeout_ms;
	char *web_tls_certificate;
	char *web_tls_key;

	char *log_service;
	int64_t log_timeout_ms;
	int64_t log_retention_ms;
	char *vm_list;
	char *weight_store;

	char *service;
	char *server;
	int server_kind;
	bool server_checks_fencing;

	char *bus_public_key;
	char *bus_secret_key;
	char *bus_other_public_key;

	int64_t ledger_shards;
	int64_t stop_limit_ms;
	int64_t stop_grace_ms;

	struct setting_array peers;
	struct setting_array access;
};

extern const struct setting_spec daemon_setting_specs[];

/**
 * Loads and validates a settings file. Prints each error with its line number
 * and returns false if there were any. A role other than NULL overrides the one
 * in the file.
 */
bool daemon_settings_load(const char *file, const enum daemon_role *role,
			  struct daemon_settings *settings);

/** Frees what daemon_settings_load() allocated. */
void daemon_settings_clear(struct daemon_settings *settings);

#endif
